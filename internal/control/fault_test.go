package control

import (
	"bytes"
	"errors"
	"io"
	"log/slog"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"
	"wingmount/decide/lease"
	"wingmount/decide/placement"
)

// network is a transport whose answers a test can lose or change.
type network struct {
	*http.Transport
	cut   atomic.Bool                              // requests fail
	alter atomic.Pointer[func(text []byte) []byte] // the bodies of answers to polls
	lost  atomic.Int32                             // answers with changes that are still to be lost
}

func newNetwork(t *testing.T) *network {
	t.Helper()
	n := &network{Transport: &http.Transport{}}
	t.Cleanup(n.CloseIdleConnections)
	return n
}

var errCut = errors.New("cut")

// RoundTrip implements [http.RoundTripper].
func (n *network) RoundTrip(request *http.Request) (*http.Response, error) {
	if n.cut.Load() {
		return nil, errCut
	}
	response, err := n.Transport.RoundTrip(request)
	if err != nil || request.URL.Path != pathRenew {
		return response, err
	}
	text, err := io.ReadAll(response.Body)
	_ = response.Body.Close()
	if err != nil {
		return nil, err
	}
	if bytes.Contains(text, []byte(`"assignments"`)) && n.lost.Add(-1) >= 0 {
		<-request.Context().Done() // it never comes
		return nil, request.Context().Err()
	}
	if alter := n.alter.Load(); alter != nil {
		text = (*alter)(text)
	}
	response.Body = io.NopCloser(bytes.NewReader(text))
	return response, nil
}

// startNodeOn starts a node on a network.
func startNodeOn(t *testing.T, network *network, name placement.NodeID, addresses ...string) *testNode {
	t.Helper()
	return startNode(t, AgentConfig{Node: name, Addresses: addresses, Transport: network})
}

func TestLostUpdateIsDeliveredWithinSevenSeconds(t *testing.T) {
	t.Parallel()
	const destinations = 10
	config := testServerConfig(t, testSpec(2, destinations))
	config.Lease = lease.DefaultDuration
	server, _ := startServer(t, config)
	network := newNetwork(t)
	nodes := []*testNode{startNodeOn(t, network, "n1", server.Addr()), startNodes(t, server, "n2")[0]}
	eventually(t, "all is granted", func() bool { return allGranted(nodes, destinations) })
	network.lost.Store(1)
	if err := server.SetSpec(testSpec(2, destinations+1)); err != nil {
		t.Fatal(err)
	}
	changed := time.Now()
	eventually(t, "the change is there", func() bool {
		_, ok := nodes[0].Assignment(destinations + 1)
		return ok
	})
	if network.lost.Load() > 0 {
		t.Fatal("no change was lost")
	}
	if took := time.Since(changed); took > 7*time.Second {
		t.Fatalf("got the update after %v, want 7s at most", took)
	}
}

func TestMalformedAndOversizedReplies(t *testing.T) {
	t.Parallel()
	const destinations = 10
	config := testServerConfig(t, testSpec(2, destinations+1))
	config.Lease = time.Minute
	config.Spec = testSpec(2, destinations)
	server, _ := startServer(t, config)
	network := newNetwork(t)
	log := newTestLog()
	node := startNode(t, AgentConfig{
		Node: "n1", Addresses: []string{server.Addr()}, Transport: network, Log: log.logger(),
		PollWait: 50 * time.Millisecond,
	})
	all := []*testNode{node, startNodes(t, server, "n2")[0]}
	eventually(t, "all is granted", func() bool { return allGranted(all, destinations) })
	for name, alter := range map[string]func([]byte) []byte{
		"no JSON":        func([]byte) []byte { return []byte("<html>") },
		"cut":            func(text []byte) []byte { return text[:len(text)/2] },
		"empty":          func([]byte) []byte { return nil },
		"another form":   func([]byte) []byte { return []byte(`{"assignments":{"a":1}}`) },
		"no incarnation": func([]byte) []byte { return []byte(`{}`) },
		"a quota of 2": func(text []byte) []byte {
			return bytes.Replace(text, []byte(`"complete":false`), []byte(`"complete":false,"assignments":[{"destination":1,"epoch":99999999999999,"share":2}]`), 1)
		},
		"an endless lease": func(text []byte) []byte {
			return bytes.Replace(text, []byte(`"duration":`), []byte(`"duration":99`), 1)
		},
		"changes to another version": func(text []byte) []byte {
			return bytes.Replace(text, []byte(`"from":`), []byte(`"from":7`), 1)
		},
	} {
		log.reset()
		network.alter.Store(&alter)
		eventually(t, name+" is logged", func() bool { return log.contains("lease not renewed") })
		if node.Quota(1) != 0.5 || node.Len() != destinations {
			t.Fatalf("%s: got changed assignments, want the previous ones", name)
		}
		network.alter.Store(nil)
	}
	network.alter.Store(nil)
	if err := server.SetSpec(testSpec(2, destinations+1)); err != nil {
		t.Fatal(err)
	}
	eventually(t, "a good reply counts", func() bool { return allGranted(all, destinations+1) })
}

func TestOversizedAnswerIsRejected(t *testing.T) {
	t.Parallel()
	var into map[string]any
	err := decodeResponse(strings.NewReader(strings.Repeat(" ", 100)+"{}"), 50, &into)
	if !errors.Is(err, ErrOversized) {
		t.Fatal(err)
	}
}

// testClock is a clock that a test can step.
type testClock struct {
	read func() clockValues
	step atomic.Int64 // of the wall clock
}

func newTestClock() *testClock { return &testClock{read: systemClock()} }

func (c *testClock) now() clockValues {
	now := c.read()
	now.wall += time.Duration(c.step.Load())
	return now
}

func TestClockStepEndsTheLease(t *testing.T) {
	t.Parallel()
	const destinations = 4
	config := testServerConfig(t, testSpec(1, destinations))
	config.Lease = 10 * time.Second
	server, _ := startServer(t, config)
	clock := newTestClock()
	network := newNetwork(t)
	node := startNode(t, AgentConfig{Node: "n1", Addresses: []string{server.Addr()}, Transport: network, clock: clock.now})
	nodes := []*testNode{node}
	eventually(t, "all is granted", func() bool { return allGranted(nodes, destinations) })
	network.cut.Store(true)
	remaining := node.LeaseRemaining()
	clock.step.Store(-int64(time.Hour))
	if now := node.LeaseRemaining(); now > remaining {
		t.Fatalf("a step back lengthens the lease from %v to %v", remaining, now)
	}
	clock.step.Store(int64(time.Hour))
	if node.LeaseValid() {
		t.Fatal("after a step forward: got a valid lease")
	}
	network.cut.Store(false)
	eventually(t, "the lease begins again", func() bool { return allGranted(nodes, destinations) })
	network.cut.Store(true)
	clock.step.Store(int64(time.Hour + 11*time.Second)) // suspended: the monotonic clock stood still
	if node.LeaseValid() {
		t.Fatal("after a suspension: got a valid lease")
	}
}

func TestPausedOwnerHasNoQuotaOnceItsLeaseHasExpired(t *testing.T) {
	t.Parallel()
	const destinations = 10
	server, _ := startServer(t, testServerConfig(t, testSpec(3, destinations)))
	network := newNetwork(t)
	paused := startNodeOn(t, network, "n1", server.Addr())
	others := startNodes(t, server, "n2", "n3")
	all := append(others[:2:2], paused)
	watchSums(t, fixed(all), destinations)
	eventually(t, "all is granted", func() bool { return allGranted(all, destinations) })
	network.cut.Store(true) // as a pause: nothing of the node's comes through
	eventually(t, "the others have all", func() bool { return allGranted(others, destinations) })
	for i := 1; i <= destinations; i++ {
		if share := paused.Quota(placement.DestinationID(i)); share != 0 {
			t.Fatalf("destination %d: got a quota of %v after the pause, want 0", i, share)
		}
	}
	network.cut.Store(false)
	eventually(t, "it has its part again", func() bool { return accepting(paused, destinations) > 0 && allGranted(all, destinations) })
}

func TestTwoServersAtOnce(t *testing.T) {
	t.Parallel()
	const destinations = 10
	config := testServerConfig(t, testSpec(2, destinations))
	older, _ := startServer(t, config)
	nodes := startNodes(t, older, "n1", "n2")
	eventually(t, "all is granted", func() bool { return allGranted(nodes, destinations) })
	config.StateDir, config.AboveIncarnation, config.NoEarlierLeases = t.TempDir(), 4, false
	newer, _ := startServer(t, config)
	for _, n := range nodes {
		n.stop(t)
	}
	nodes = nil
	for _, name := range []placement.NodeID{"n1", "n2"} {
		nodes = append(nodes, startNode(t, AgentConfig{Node: name, Addresses: []string{newer.Addr(), older.Addr()}}))
	}
	watchSums(t, fixed(nodes), destinations)
	eventually(t, "all is granted by the newer", func() bool {
		return allGranted(nodes, destinations) && nodes[0].highestIncarnation() == 5 && nodes[1].highestIncarnation() == 5
	})
	nodes[0].client.useNextAddress() // to the older one
	eventually(t, "the older one is superseded", func() bool { return older.State().SupersededBy == 5 })
	fresh := startNodes(t, older, "n1")[0]
	time.Sleep(testLease / 2)
	if fresh.LeaseValid() {
		t.Fatal("the older one still grants")
	}
	eventually(t, "the newer one still grants", func() bool { return allGranted(nodes, destinations) })
}

func TestAllOwnersDie(t *testing.T) {
	t.Parallel()
	const destinations = 10
	server, _ := startServer(t, testServerConfig(t, testSpec(4, destinations)))
	network := newNetwork(t)
	dying := []*testNode{startNodeOn(t, network, "n1", server.Addr()), startNodeOn(t, network, "n2", server.Addr())}
	eventually(t, "all is granted", func() bool { return allGranted(dying, destinations) })
	others := startNodes(t, server, "n3", "n4")
	all := append(others[:2:2], dying...)
	watchSums(t, fixed(all), destinations)
	network.cut.Store(true)
	eventually(t, "others have all that they owned", func() bool { return allGranted(others, destinations) })
}

func TestSessionsAreBounded(t *testing.T) {
	t.Parallel()
	config := testServerConfig(t, testSpec(3, 2))
	config.MaxSessions = 2
	config.Lease = time.Minute
	server, _ := startServer(t, config)
	startNodes(t, server, "n1", "n2")
	eventually(t, "two have a session", func() bool { return server.sessions() == 2 })
	c := newClient([]string{server.Addr()}, transport(t))
	_, err := c.renew(t.Context(), pollRequest{Request: lease.Request{Node: "n3", Process: 1, Sequence: 1}}, 0)
	var refused *ReplyError
	if !errors.As(err, &refused) || refused.Status != http.StatusServiceUnavailable || refused.Code != codeFull {
		t.Fatal(err)
	}
	_, err = c.renew(t.Context(), pollRequest{Request: lease.Request{Node: "nobody", Process: 1, Sequence: 1}}, 0)
	if !errors.As(err, &refused) || refused.Code != codeUnknown {
		t.Fatal(err)
	}
}

func TestConnectionsAreBounded(t *testing.T) {
	t.Parallel()
	config := testServerConfig(t, testSpec(1, 1))
	server, err := NewServer(config)
	if err != nil {
		t.Fatal(err)
	}
	server.listener.(*boundedListener).slots = make(chan struct{}, 1)
	run(t, server.Run)
	first := transport(t)
	get := func(transport *http.Transport) (int, error) {
		request, _ := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://"+server.Addr()+pathState, nil)
		response, err := transport.RoundTrip(request)
		if err != nil {
			return 0, err
		}
		_, _ = io.Copy(io.Discard, response.Body)
		return response.StatusCode, response.Body.Close()
	}
	if status, err := get(first); status != http.StatusOK || err != nil {
		t.Fatal(status, err)
	}
	if status, err := get(transport(t)); status != http.StatusServiceUnavailable || err != nil {
		t.Fatal(status, err)
	}
	first.CloseIdleConnections()
	eventually(t, "the place is free again", func() bool {
		status, err := get(transport(t))
		return err == nil && status == http.StatusOK
	})
}

func TestOversizedRequestIsRejected(t *testing.T) {
	t.Parallel()
	server, _ := startServer(t, testServerConfig(t, testSpec(1, 1)))
	for _, size := range []int{maxSmallRequest + 1, maxRequest + 1} {
		body := io.MultiReader(strings.NewReader(`{"node":"`), strings.NewReader(strings.Repeat("x", size)))
		request, _ := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+server.Addr()+pathRenew, body)
		response, err := transport(t).RoundTrip(request)
		if err != nil {
			continue // it was cut off
		}
		_ = response.Body.Close()
		if response.StatusCode != http.StatusBadRequest {
			t.Fatalf("%d bytes: %s", size, response.Status)
		}
	}
}

func TestManyReleasesDoNotStopRenewals(t *testing.T) {
	t.Parallel()
	const destinations = 400
	config := testServerConfig(t, testSpec(2, destinations))
	server, _ := startServer(t, config)
	nodes := startNodes(t, server, "n1", "n2")
	eventually(t, "all is granted", func() bool { return allGranted(nodes, destinations) })
	if err := server.Drain("n1", true); err != nil {
		t.Fatal(err)
	}
	eventually(t, "it accepts for none", func() bool { return accepting(nodes[0], destinations) == 0 })
	for i := 1; i <= destinations; i++ {
		nodes[0].Release(placement.DestinationID(i))
		time.Sleep(2 * testLease / destinations)
		if !nodes[0].LeaseValid() {
			t.Fatalf("after %d releases the lease has ended", i)
		}
	}
	eventually(t, "it has none", func() bool { return nodes[0].Len() == 0 })
}

// testLog keeps what is logged.
type testLog struct {
	mu   sync.Mutex
	text strings.Builder
}

func newTestLog() *testLog { return &testLog{} }

// Write implements [io.Writer].
func (l *testLog) Write(text []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.Write(text)
}

func (l *testLog) reset() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.text.Reset()
}

func (l *testLog) contains(part string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return strings.Contains(l.text.String(), part)
}

func (l *testLog) logger() *slog.Logger { return slog.New(slog.NewTextHandler(l, nil)) }
