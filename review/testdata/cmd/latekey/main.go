// Command latekey is the test of the case "a keyed message on a later connection, after its key's window": a delivery
// node of the platform by the deploy file's command, discovery, and one endpoint for each of some destinations.
package main

import (
	"bufio"
	"flag"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"runtime"
	"sync"
	"syscall"
	"time"

	"wingmount-review/stand"
)

const (
	destinations = 16
	warmUps      = 6
	callTime     = 200 * time.Millisecond
	window       = 3000 * time.Millisecond
	deadline     = 8 * time.Second
	// slack: each time limit is 50 ms longer on sockets, and a node may be held up for 0.15 s before it writes.
	slack = 200 * time.Millisecond
	// late is until when the full queue of a listener is emptied: the connection that was held up comes up with the
	// next try of its handshake, 1 s after the first.
	late = 600 * time.Millisecond
	// delayStep is by how much longer than at the one before it an endpoint waits before it resets the connection: on
	// any machine some resets come between the node's connect and its write.
	delayStep = 10 * time.Microsecond
	// stagger is between the troubles of two endpoints.
	stagger = 350 * time.Millisecond
)

const settings = `{"Classes":[{"AimUs":2000000,"DeadlineUs":8000000,"Group":"all","Idempotency":"deduplicated","LateWorth":0.3,"Name":"payment-order","Streamed":false,"WindowUs":3000000,"Worth":1.0}],
"Clients":{"MarksRetry":true},"CountedBy":"request","Discovery":"automatic",
"Extra":{"BundleMax":[1],"FeeByZone":[0.0],"Late":"even","MaxCalls":40,"RefusalCost":0.03,"RoutesApart":[false]},
"FailureDomains":["dc1"],"Family":"deliver","Layers":["receivers"],"MachineTypes":["general"],"Me":0,"NInstances":1,
"Obligations":{"AnswerSlackUs":20000,"ColdFrom":0.3,"DrainGraceUs":2000000,"FallMultiple":1.5,"FallUs":3000000,"WarmUpUs":10000000},
"PolicyLimits":{"Cancel":true,"ConnectTimeoutUs":1500000,"IdleCloseUs":10000000,"MaxAttempts":8,"MaxOpen":200,"MaxRetryAfterUs":3000000,"MayTell":false,"ParallelTries":false,"Probes":false,"RetryAfter":true,"StreamsPerConn":1},
"Stage":0,"Tenants":[],"TickUs":5000,"WeightSource":"rough","Zone":0}`

// endpoint is the one endpoint of a destination. It accepts by hand: its listener has the smallest queue.
type endpoint struct {
	number   int
	record   *stand.Record
	fd       int
	sockaddr syscall.Sockaddr
	address  string
	gaveUp   chan struct{} // closed when the node has given up the call whose answer was lost

	mu      sync.Mutex
	lose    bool // the next call runs, and its answer is lost
	keys    map[string]time.Time
	effects map[string][]time.Time
}

func newEndpoint(number int, record *stand.Record) (*endpoint, error) {
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		return nil, err
	}
	if err := syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}); err != nil {
		return nil, err
	}
	if err := syscall.Listen(fd, 0); err != nil {
		return nil, err
	}
	sa, err := syscall.Getsockname(fd)
	if err != nil {
		return nil, err
	}
	return &endpoint{
		number: number, record: record, fd: fd, sockaddr: sa, gaveUp: make(chan struct{}), address: fmt.Sprintf("127.0.0.1:%d", sa.(*syscall.SockaddrInet4).Port),
		keys: map[string]time.Time{}, effects: map[string][]time.Time{},
	}, nil
}

// fill puts a connection of its own into the queue, which is full then: further handshakes get no answer meanwhile.
func (e *endpoint) fill() int {
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC|syscall.SOCK_NONBLOCK, 0)
	if err == nil {
		_ = syscall.Connect(fd, e.sockaddr)
	}
	return fd
}

// run accepts connections, until the process ends.
func (e *endpoint) run() {
	runtime.LockOSThread()
	for {
		fd, _, err := syscall.Accept4(e.fd, syscall.SOCK_CLOEXEC)
		if err != nil {
			continue
		}
		file := os.NewFile(uintptr(fd), "conn")
		conn, err := net.FileConn(file)
		_ = file.Close()
		if err != nil {
			continue
		}
		e.mu.Lock()
		lose := e.lose
		e.lose = false
		e.mu.Unlock()
		go e.serve(conn, lose)
		if lose {
			<-e.gaveUp // then the next attempt comes, after a backoff of 100 ms and more
			time.Sleep(60 * time.Millisecond)
			e.resetNext()
		}
	}
}

// resetNext resets the next connection as soon as it is up, and lets those after it come up late.
func (e *endpoint) resetNext() {
	_ = syscall.SetNonblock(e.fd, true)
	defer func() { _ = syscall.SetNonblock(e.fd, false) }()
	for end := time.Now().Add(time.Second); time.Now().Before(end); {
		fd, _, err := syscall.Accept4(e.fd, syscall.SOCK_CLOEXEC)
		if err != nil {
			continue
		}
		for up := time.Now(); time.Since(up) < time.Duration(e.number-1)*delayStep; { // a sleep would be too coarse
		}
		// An abortive close: the peer gets a reset.
		_ = syscall.SetsockoptLinger(fd, syscall.SOL_SOCKET, syscall.SO_LINGER, &syscall.Linger{Onoff: 1, Linger: 0})
		_ = syscall.Close(fd)
		filler := e.fill()
		e.record.Printf("endpoint %d: connection reset at its begin; the next one comes up late", e.number)
		time.Sleep(late)
		_ = syscall.Close(filler)
		return
	}
	e.record.Printf("endpoint %d: no connection came to be reset", e.number)
}

func (e *endpoint) serve(conn net.Conn, lose bool) {
	defer func() { _ = conn.Close() }()
	request, err := http.ReadRequest(bufio.NewReader(conn))
	if err != nil {
		return
	}
	if _, err := io.ReadAll(request.Body); err != nil {
		return
	}
	now := time.Now()
	id, key := request.Header.Get("X-Request-ID"), request.Header.Get("Idempotency-Key")
	e.mu.Lock()
	began, known := e.keys[key]
	repeat := known && now.Sub(began) < window+slack
	if !repeat {
		e.keys[key] = now
		e.effects[key] = append(e.effects[key], now)
	}
	n := len(e.effects[key])
	e.mu.Unlock()
	if repeat {
		e.record.Printf("endpoint %d: call id=%s key=%s is a repeat of %.3f s ago, dropped", e.number, id, key, now.Sub(began).Seconds())
	} else {
		e.record.Printf("endpoint %d: call id=%s key=%s runs, effect %d", e.number, id, key, n)
	}
	if lose {
		e.record.Printf("endpoint %d: call id=%s: the connection falls silent, the answer is lost", e.number, id)
		_, _ = io.Copy(io.Discard, conn) // until the node gives up
		close(e.gaveUp)
		return
	}
	time.Sleep(callTime)
	_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\nConnection: close\r\n\r\n")
}

func main() { os.Exit(run()) }

func run() int {
	dir := flag.String("dir", ".", "the folder of the case")
	command := flag.String("node", "exec bin/wingmount", "the deploy file's command of a delivery node")
	trouble := flag.Bool("trouble", true, "with the disruption")
	flag.Parse()
	record, err := stand.NewRecord(filepath.Join(*dir, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return stand.NoRun
	}
	defer record.Close()
	code, err := play(*dir, *command, *trouble, record)
	if err != nil {
		record.Printf("could not run: %v", err)
		fmt.Fprintln(os.Stderr, "could not run:", err)
		return stand.NoRun
	}
	return code
}

func play(dir, command string, trouble bool, record *stand.Record) (int, error) {
	root, err := stand.Root(dir)
	if err != nil {
		return 0, err
	}
	tmp, err := os.MkdirTemp("", "review-latekey-")
	if err != nil {
		return 0, err
	}
	defer func() { _ = os.RemoveAll(tmp) }()
	var endpoints []*endpoint
	var members []stand.Member
	for n := 1; n <= destinations; n++ {
		e, err := newEndpoint(n, record)
		if err != nil {
			return 0, err
		}
		go e.run()
		endpoints = append(endpoints, e)
		members = append(members, stand.Member{ID: fmt.Sprintf("s-%04d", n), HostPort: e.address, Locality: "dc1", Flavor: "general", Cell: n, Phase: "active", Size: 10})
	}
	platform, err := stand.NewPlatform(record, members)
	if err != nil {
		return 0, err
	}
	defer platform.Close()
	listen, err := stand.FreeAddress()
	if err != nil {
		return 0, err
	}
	state := filepath.Join(tmp, "state")
	if err := os.Mkdir(state, 0o700); err != nil {
		return 0, err
	}
	env, err := stand.NodeConfig{Listen: listen, Discovery: platform.Address(), State: state, Path: filepath.Join(tmp, "config.json"), Members: members, Settings: settings}.Write()
	if err != nil {
		return 0, err
	}
	node, err := stand.Start(root, command, filepath.Join(tmp, "node.log"), env...)
	if err != nil {
		return 0, err
	}
	defer node.Kill()
	if err := node.AwaitReady(listen, 20*time.Second); err != nil {
		return 0, err
	}
	record.Printf("node ready at %s; window %v, deadline %v, connect time-out 1.5 s", listen, window, deadline)
	client := &http.Client{Timeout: 2 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 64}}
	send := func(key string, destination int) {
		status, _, text, err := stand.Send(client, listen, stand.HandIn{ID: key, Key: "k-" + key, Class: "payment-order", Destination: destination, Timeout: deadline, Body: []byte("order " + key)})
		record.Printf("client: id=%s dest=%d handed in: %d %s %v", key, destination, status, text, err)
	}
	var all sync.WaitGroup
	for _, e := range endpoints {
		all.Go(func() {
			for i := range warmUps {
				send(fmt.Sprintf("w%02d-%d", e.number, i), e.number)
				time.Sleep(callTime + 150*time.Millisecond)
			}
			time.Sleep(time.Duration(e.number) * stagger)
			if trouble {
				e.mu.Lock()
				e.lose = true
				e.mu.Unlock()
			}
			send(fmt.Sprintf("x%02d", e.number), e.number)
		})
	}
	all.Wait()
	time.Sleep(deadline + 500*time.Millisecond)
	if node.Ended() {
		record.Printf("the node has ended")
		return stand.Broken, nil
	}
	broken, ran := 0, 0
	for _, e := range endpoints {
		e.mu.Lock()
		for key, at := range e.effects {
			ran++
			if len(at) > 1 {
				broken++
				record.Printf("BROKEN: key %s had %d effects at endpoint %d, %.3f s apart; its window is %v, and %v of slack",
					key, len(at), e.number, at[1].Sub(at[0]).Seconds(), window, slack)
			}
		}
		e.mu.Unlock()
	}
	record.Printf("keys with an effect: %d, with more than one: %d", ran, broken)
	fmt.Printf("keys with an effect %d, with more than one %d\n", ran, broken)
	switch {
	case ran < destinations*(warmUps+1):
		return stand.NoRun, fmt.Errorf("only %d keys had an effect", ran)
	case broken > 0:
		return stand.Broken, nil
	}
	return stand.Held, nil
}
