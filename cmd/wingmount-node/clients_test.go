package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"
	"wingmount/internal/fake/badclient"
	"wingmount/internal/loopback"
	"wingmount/internal/testkit"
)

const (
	// leastMemoryMB is the least memory that a node of the platform gets, in MiB, and nodeSockets its file descriptors.
	leastMemoryMB = 32
	nodeSockets   = 1024
	// clientPatience is how long a client of the platform waits for its answer.
	clientPatience = 400 * time.Millisecond
	// soundInterval is between two requests of the sound client.
	soundInterval = 50 * time.Millisecond
	waitTimeout   = 15 * time.Second
)

// settings are what the platform configures in the node.
const settings = `{"NInstances":1,"Me":0,"TickUs":5000,"Classes":[{"Name":"meter-message","AimUs":3000000,
	"DeadlineUs":12000000,"WindowUs":12000000,"Group":"zone","Idempotency":"deduplicated","Worth":1,"LateWorth":0.5}],
	"MachineTypes":["major","general"],"FailureDomains":["a","b"],"WeightSource":"rough","Discovery":"automatic",
	"Extra":{"BundleMax":[5,1],"RoutesApart":[true,false],"FeeByZone":[0.06,0],"Late":"even","MaxCalls":8},
	"PolicyLimits":{"MaxAttempts":6,"MaxOpen":168,"MaxRetryAfterUs":2000000,"ConnectTimeoutUs":1000000,
	"RetryAfter":true,"MayTell":false,"IdleCloseUs":15000000},
	"Obligations":{"DrainGraceUs":1000000,"WarmUpUs":14000000,"FallUs":1500000,"ColdFrom":0.21,"FallMultiple":2}}`

// program builds the node's program without the race detector, whose memory is not the node's. Tests share it.
var program = sync.OnceValues(func() (string, error) {
	dir, err := os.MkdirTemp("", "wingmount-node")
	if err != nil {
		return "", err
	}
	path := filepath.Join(dir, "wingmount-node")
	build := exec.Command("go", "build", "-ldflags=-linkmode=external", "-o", path, ".")
	build.Env = append(os.Environ(), "CGO_ENABLED=1")
	if out, err := build.CombinedOutput(); err != nil {
		return "", fmt.Errorf("%w: %s", err, out)
	}
	return path, nil
})

func TestMain(m *testing.M) {
	code := m.Run()
	if path, err := program(); err == nil {
		_ = os.RemoveAll(filepath.Dir(path))
	}
	os.Exit(code)
}

// testNode is a process of the node, with discovery and one endpoint around it.
type testNode struct {
	address string
	process *exec.Cmd
	log     bytes.Buffer

	mu    sync.Mutex
	calls map[string]int // at the endpoint, by message id
}

// startNode starts a node with some memory and waits until it is ready.
func startNode(t *testing.T, memoryMB int) *testNode {
	t.Helper()
	path, err := program()
	testkit.Must(t, err)
	n := &testNode{calls: map[string]int{}}
	endpoint := httptest.NewServer(http.HandlerFunc(n.serveEndpoint))
	t.Cleanup(endpoint.Close)
	member := fmt.Sprintf(`{"id":"s1","host_port":%q,"locality":"a","flavor":"general","cell":7,"phase":"active","size":1000}`, endpoint.Listener.Addr())
	discovery := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		switch {
		case r.URL.Path == "/v2/finals":
			_, _ = io.Copy(io.Discard, r.Body)
			w.WriteHeader(http.StatusNoContent)
		case r.URL.Query().Get("index") == "":
			_, _ = fmt.Fprintf(w, `{"revision":1,"complete":true,"members":[%s]}`, member)
		default:
			select {
			case <-r.Context().Done():
			case <-time.After(time.Second):
				_, _ = io.WriteString(w, `{"revision":1,"complete":false,"members":[]}`)
			}
		}
	}))
	t.Cleanup(discovery.Close)
	t.Cleanup(discovery.CloseClientConnections)
	var ports loopback.Ports
	t.Cleanup(func() { testkit.Must(t, ports.Close()) })
	n.address, err = ports.Next()
	testkit.Must(t, err)
	dir := t.TempDir()
	config := filepath.Join(dir, "config.json")
	testkit.Must(t, os.WriteFile(config, fmt.Appendf(nil, `{"name":"n0","listen":%q,"discovery":%q,"seed":"8c1f30d27a5be964",
		"limits":{"cores":1,"memory_mb":%d,"sockets":%d,"disk_mb":3},"known":{"revision":0,"complete":true,"members":[]},"settings":%s}`,
		n.address, discovery.Listener.Addr(), memoryMB, nodeSockets, settings), 0o600))
	state := filepath.Join(dir, "state")
	testkit.Must(t, os.Mkdir(state, 0o700))
	n.process = exec.Command("sh", "-c", fmt.Sprintf(`ulimit -n %d; exec "$0"`, nodeSockets), path)
	n.process.Env = append(os.Environ(), "PROXY_CONFIG="+config, "PROXY_STATE="+state, "PROXY_DISCOVERY="+discovery.Listener.Addr().String(), "GOMAXPROCS=1")
	n.process.Stderr = &n.log
	testkit.Must(t, n.process.Start())
	t.Cleanup(func() {
		_ = n.process.Process.Kill()
		_ = n.process.Wait()
	})
	for end := time.Now().Add(waitTimeout); ; time.Sleep(5 * time.Millisecond) {
		if status, _, err := badclient.Answered(n.address, []byte("GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n"), time.Second); err == nil && status == http.StatusOK {
			return n
		}
		if time.Now().After(end) {
			t.Fatalf("the node is not ready: %s", n.log.String())
		}
	}
}

func (n *testNode) serveEndpoint(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	n.mu.Lock()
	n.calls[r.Header.Get("X-Request-ID")]++
	n.mu.Unlock()
	_, _ = io.WriteString(w, r.Header.Get("X-Request-ID"))
}

// header returns the header of a message with a body of some length.
func header(id string, length int) string {
	return fmt.Sprintf("POST /meter-message HTTP/1.1\r\nHost: x\r\nX-Request-ID: %s\r\nX-Priority-Class: meter-message\r\nX-Timeout-Ms: 8000\r\n"+
		"X-Route-To: dest=7\r\nIdempotency-Key: key-%s\r\nContent-Length: %d\r\n\r\n", id, id, length)
}

func request(id string) []byte { return []byte(header(id, 4) + "body") }

// residentBytes returns the resident memory of the node's process.
func (n *testNode) residentBytes(t *testing.T) int64 {
	t.Helper()
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", n.process.Process.Pid))
	testkit.Must(t, err)
	_, rest, found := strings.Cut(string(text), "VmRSS:")
	if !found {
		t.Fatalf("the process has ended: %s", n.log.String())
	}
	kib, err := strconv.ParseInt(strings.Fields(rest)[0], 10, 64)
	testkit.Must(t, err)
	return kib << 10
}

// observation is what was seen while clients misbehaved.
type observation struct {
	peak    int64 // resident bytes of the process
	sound   int   // requests of the sound client
	unsound int   // of them, those without 202 within clientPatience
	slowest time.Duration
}

// stallWatch measures for how long this process had no processor, which is not the node's doing.
type stallWatch struct {
	mu     sync.Mutex
	stalls []stall
}

// stall is a time by which a goroutine ran late.
type stall struct {
	end  time.Time
	late time.Duration
}

// watchStalls measures until the context ends.
func watchStalls(ctx context.Context) *stallWatch {
	const interval, usual = 5 * time.Millisecond, 5 * time.Millisecond
	w := &stallWatch{}
	go func() {
		for ctx.Err() == nil {
			due := time.Now().Add(interval)
			time.Sleep(interval)
			if late := time.Since(due); late > usual {
				w.mu.Lock()
				w.stalls = append(w.stalls, stall{time.Now(), late})
				w.mu.Unlock()
			}
		}
	}()
	return w
}

// since returns for how long this process was stalled since a time.
func (w *stallWatch) since(start time.Time) (sum time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, s := range w.stalls {
		sum += min(s.late, max(0, s.end.Sub(start)))
	}
	return sum
}

// observe runs clients that misbehave, and meanwhile measures the memory of the process and the answers to a sound client.
func (n *testNode) observe(t *testing.T, misbehave func(ctx context.Context)) observation {
	t.Helper()
	var o observation
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	done := make(chan struct{})
	go func() {
		defer close(done)
		misbehave(ctx)
	}()
	stalls := watchStalls(ctx)
	sampled := time.NewTicker(20 * time.Millisecond)
	defer sampled.Stop()
	asked := time.NewTicker(soundInterval)
	defer asked.Stop()
	var sound sync.WaitGroup
	var mu sync.Mutex
	for running := true; running; {
		select {
		case <-done:
			running = false
		case <-sampled.C:
			o.peak = max(o.peak, n.residentBytes(t))
		case <-asked.C:
			id := fmt.Sprint("sound-", o.sound)
			o.sound++
			sound.Go(func() {
				start := time.Now()
				status, took, err := badclient.Answered(n.address, request(id), 5*time.Second)
				took -= stalls.since(start)
				mu.Lock()
				defer mu.Unlock()
				o.slowest = max(o.slowest, took)
				if err != nil || status != http.StatusAccepted || took > clientPatience {
					o.unsound++
					t.Logf("%s: status %d after %v, %v", id, status, took, err)
				}
			})
		}
	}
	sound.Wait()
	o.peak = max(o.peak, n.residentBytes(t))
	t.Logf("peak %.1f MB, %d sound requests, %d of them not answered as usual, the slowest after %v", float64(o.peak)/1e6, o.sound, o.unsound, o.slowest)
	return o
}

// Guards against a node that is killed for its memory: hundreds of clients that send slowly, stop within a large request or
// send headers of thousands of fields keep it within the least memory of a node, and cost a sound client nothing.
func TestSlowClientsKeepNodeWithinItsMemory(t *testing.T) {
	const clients, maxBody = 300, 64 << 10
	for name, misbehave := range map[string]func(ctx context.Context, g badclient.Group){
		"slow fields": func(ctx context.Context, g badclient.Group) { g.SlowFields(ctx, 20*time.Millisecond) },
		"many fields": func(ctx context.Context, g badclient.Group) { g.ManyFields(ctx, 16<<10, 1900*time.Millisecond) },
		"partial bodies": func(ctx context.Context, g badclient.Group) {
			g.PartialBodies(ctx, maxBody, 1, func(number int) string { return header(fmt.Sprint("bad-", number), maxBody) })
		},
		"bodies that are too long": func(ctx context.Context, g badclient.Group) {
			const length = 60 << 20
			g.PartialBodies(ctx, 2*maxBody, 1, func(number int) string { return header(fmt.Sprint("bad-", number), length) })
		},
		"bodies that are not sent": func(ctx context.Context, g badclient.Group) {
			g.PartialBodies(ctx, 0, 0, func(number int) string {
				return strings.Replace(header(fmt.Sprint("bad-", number), maxBody), "\r\n", "\r\nExpect: 100-continue\r\n", 1)
			})
		},
		"silent": func(ctx context.Context, g badclient.Group) {
			g.Leave(ctx, 2*time.Second, func(int) []byte { return nil })
		},
	} {
		t.Run(name, func(t *testing.T) {
			n := startNode(t, leastMemoryMB)
			o := n.observe(t, func(ctx context.Context) {
				ctx, cancel := context.WithTimeout(ctx, 8*time.Second)
				defer cancel()
				for range 2 {
					misbehave(ctx, badclient.Group{Address: n.address, Clients: clients})
				}
			})
			if o.peak > leastMemoryMB<<20 {
				t.Errorf("got a peak of %d bytes, want %d at most", o.peak, leastMemoryMB<<20)
			}
			if o.unsound > 0 {
				t.Errorf("%d of %d sound requests were not accepted within %v", o.unsound, o.sound, clientPatience)
			}
		})
	}
}

// Guards against a client that takes the node from others: requests on one connection at full speed, sound or not, under
// ever new ids, must neither delay the answers to others nor make memory grow.
func TestFloodOnOneConnectionCostsOthersNothing(t *testing.T) {
	const memoryMB, floodTime = 64, 6 * time.Second
	for name, make := range map[string]func(number int) []byte{
		"sound":         func(number int) []byte { return request(fmt.Sprint("flood-", number)) },
		"unknown paths": func(number int) []byte { return fmt.Appendf(nil, "GET /none-%d HTTP/1.1\r\nHost: x\r\n\r\n", number) },
		"health checks": func(int) []byte { return []byte("GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n") },
		"short time": func(number int) []byte {
			return bytes.Replace(request(fmt.Sprint("flood-", number)), []byte("Ms: 8000"), []byte("Ms: 1"), 1)
		},
	} {
		t.Run(name, func(t *testing.T) {
			n := startNode(t, memoryMB)
			sent := 0
			o := n.observe(t, func(ctx context.Context) {
				ctx, cancel := context.WithTimeout(ctx, floodTime)
				defer cancel()
				sent = badclient.Group{Address: n.address, Clients: 1}.Flood(ctx, func(_, number int) []byte { return make(number) })
			})
			t.Logf("%d requests sent", sent)
			if o.peak > memoryMB<<20 {
				t.Errorf("got a peak of %d bytes, want %d at most", o.peak, memoryMB<<20)
			}
			if o.unsound > 0 {
				t.Errorf("%d of %d sound requests were not accepted within %v", o.unsound, o.sound, clientPatience)
			}
		})
	}
}
