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

// faultyTransport is a transport with which a test can make requests fail, and drop or alter responses to polls.
type faultyTransport struct {
	*http.Transport
	disconnected atomic.Bool                              // all requests fail
	alter        atomic.Pointer[func(text []byte) []byte] // alters the bodies of responses to polls
	toDrop       atomic.Int32                             // number of responses with changed assignments still to be dropped
}

func newFaultyTransport(t *testing.T) *faultyTransport {
	t.Helper()
	n := &faultyTransport{Transport: &http.Transport{}}
	t.Cleanup(n.CloseIdleConnections)
	return n
}

var errDisconnected = errors.New("disconnected by the test")

// RoundTrip implements [http.RoundTripper].
func (n *faultyTransport) RoundTrip(request *http.Request) (*http.Response, error) {
	if n.disconnected.Load() {
		return nil, errDisconnected
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
	if bytes.Contains(text, []byte(`"assignments"`)) && n.toDrop.Add(-1) >= 0 {
		<-request.Context().Done() // the response never arrives
		return nil, request.Context().Err()
	}
	if alter := n.alter.Load(); alter != nil {
		text = (*alter)(text)
	}
	response.Body = io.NopCloser(bytes.NewReader(text))
	return response, nil
}

// startNodeWithTransport starts a node whose agent uses a transport.
func startNodeWithTransport(t *testing.T, transport *faultyTransport, name placement.NodeID, addresses ...string) *testNode {
	t.Helper()
	return startNode(t, AgentConfig{Node: name, Addresses: addresses, Transport: transport})
}

// A reply with a changed assignment is lost on its way to the node. The server must send the change again, after the
// poll has timed out.
func TestLostUpdateIsResentWithinSevenSeconds(t *testing.T) {
	t.Parallel()
	const destinations = 10
	config := testServerConfig(t, testSpec(2, destinations))
	config.Lease = lease.DefaultDuration
	server, _ := startServer(t, config)
	transport := newFaultyTransport(t)
	nodes := []*testNode{startNodeWithTransport(t, transport, "n1", server.Addr()), startNodes(t, server, "n2")[0]}
	eventually(t, "all quota is granted", func() bool { return allGranted(nodes, destinations) })
	transport.toDrop.Store(1)
	if err := server.SetSpec(testSpec(2, destinations+1)); err != nil {
		t.Fatal(err)
	}
	changed := time.Now()
	eventually(t, "the node has the new destination", func() bool {
		_, ok := nodes[0].Assignment(destinations + 1)
		return ok
	})
	if transport.toDrop.Load() > 0 {
		t.Fatal("no update was dropped")
	}
	if took := time.Since(changed); took > 7*time.Second {
		t.Fatalf("got the update after %v, want 7s at most", took)
	}
}

// A malformed reply must neither change assignments nor end polling. The cases alter replies on their way to the node.
func TestMalformedReplyKeepsAssignments(t *testing.T) {
	t.Parallel()
	const destinations = 10
	config := testServerConfig(t, testSpec(2, destinations+1))
	config.Lease = time.Minute
	config.Spec = testSpec(2, destinations)
	server, _ := startServer(t, config)
	transport := newFaultyTransport(t)
	log := newTestLog()
	node := startNode(t, AgentConfig{
		Node: "n1", Addresses: []string{server.Addr()}, Transport: transport, Log: log.logger(),
		PollWait: 50 * time.Millisecond,
	})
	all := []*testNode{node, startNodes(t, server, "n2")[0]}
	eventually(t, "all quota is granted", func() bool { return allGranted(all, destinations) })
	for name, alter := range map[string]func([]byte) []byte{
		"not JSON":       func([]byte) []byte { return []byte("<html>") },
		"truncated":      func(text []byte) []byte { return text[:len(text)/2] },
		"empty":          func([]byte) []byte { return nil },
		"wrong type":     func([]byte) []byte { return []byte(`{"assignments":{"a":1}}`) },
		"no incarnation": func([]byte) []byte { return []byte(`{}`) },
		"quota of 2": func(text []byte) []byte {
			return bytes.Replace(text, []byte(`"complete":false`), []byte(`"complete":false,"assignments":[{"destination":1,"epoch":99999999999999,"share":2}]`), 1)
		},
		"excessive lease duration": func(text []byte) []byte {
			return bytes.Replace(text, []byte(`"duration":`), []byte(`"duration":99`), 1)
		},
		"changes to an unknown version": func(text []byte) []byte {
			return bytes.Replace(text, []byte(`"from":`), []byte(`"from":7`), 1)
		},
	} {
		log.reset()
		transport.alter.Store(&alter)
		eventually(t, name+" is logged", func() bool { return log.contains("lease not renewed") })
		if node.Quota(1) != 0.5 || node.Len() != destinations {
			t.Fatalf("%s: got changed assignments, want the previous assignments", name)
		}
		transport.alter.Store(nil)
	}
	transport.alter.Store(nil)
	if err := server.SetSpec(testSpec(2, destinations+1)); err != nil {
		t.Fatal(err)
	}
	eventually(t, "a valid reply is applied", func() bool { return allGranted(all, destinations+1) })
}

func TestDecodeResponseRejectsOversizedBody(t *testing.T) {
	t.Parallel()
	var into map[string]any
	err := decodeResponse(strings.NewReader(strings.Repeat(" ", 100)+"{}"), 50, &into)
	if !errors.Is(err, ErrOversized) {
		t.Fatalf("got %v, want ErrOversized", err)
	}
}

// testClock reads the system clocks, with a wall clock that a test can step.
type testClock struct {
	read func() clockValues
	step atomic.Int64 // added to the wall clock
}

func newTestClock() *testClock { return &testClock{read: systemClock()} }

func (c *testClock) now() clockValues {
	now := c.read()
	now.wall += time.Duration(c.step.Load())
	return now
}

// The monotonic clock stops during a suspension, and the wall clock can be stepped. Neither may extend a lease.
func TestClockStepNeverExtendsLease(t *testing.T) {
	t.Parallel()
	const destinations = 4
	config := testServerConfig(t, testSpec(1, destinations))
	config.Lease = 10 * time.Second
	server, _ := startServer(t, config)
	clock := newTestClock()
	transport := newFaultyTransport(t)
	node := startNode(t, AgentConfig{Node: "n1", Addresses: []string{server.Addr()}, Transport: transport, clock: clock.now})
	nodes := []*testNode{node}
	eventually(t, "all quota is granted", func() bool { return allGranted(nodes, destinations) })
	transport.disconnected.Store(true)
	remaining := node.LeaseRemaining()
	clock.step.Store(-int64(time.Hour))
	if now := node.LeaseRemaining(); now > remaining {
		t.Fatalf("backward clock step: remaining lease grew from %v to %v", remaining, now)
	}
	clock.step.Store(int64(time.Hour))
	if node.LeaseValid() {
		t.Fatal("after a forward clock step: got a valid lease")
	}
	transport.disconnected.Store(false)
	eventually(t, "the lease is renewed", func() bool { return allGranted(nodes, destinations) })
	transport.disconnected.Store(true)
	clock.step.Store(int64(time.Hour + 11*time.Second)) // suspension: the monotonic clock did not advance
	if node.LeaseValid() {
		t.Fatal("after a suspension: got a valid lease")
	}
}

// A paused node can't renew its lease. Its quota is granted to others after expiry, so it must not use any afterwards.
func TestPausedOwnerHasNoQuotaAfterLeaseExpiry(t *testing.T) {
	t.Parallel()
	const destinations = 10
	server, _ := startServer(t, testServerConfig(t, testSpec(3, destinations)))
	transport := newFaultyTransport(t)
	paused := startNodeWithTransport(t, transport, "n1", server.Addr())
	others := startNodes(t, server, "n2", "n3")
	all := append(others[:2:2], paused)
	watchTotalQuotas(t, fixedNodes(all), destinations)
	eventually(t, "all quota is granted", func() bool { return allGranted(all, destinations) })
	transport.disconnected.Store(true) // a paused node sends nothing either
	eventually(t, "the others have all quota", func() bool { return allGranted(others, destinations) })
	for i := 1; i <= destinations; i++ {
		if quota := paused.Quota(placement.DestinationID(i)); quota != 0 {
			t.Fatalf("destination %d: got a quota of %v after the pause, want 0", i, quota)
		}
	}
	transport.disconnected.Store(false)
	eventually(t, "the paused node has assignments again", func() bool { return acceptingCount(paused, destinations) > 0 && allGranted(all, destinations) })
}

// Two servers with separate state run at once. Nodes report the newer incarnation to the older server, which must stop
// issuing leases.
func TestOlderOfTwoServersIsSuperseded(t *testing.T) {
	t.Parallel()
	const destinations = 10
	config := testServerConfig(t, testSpec(2, destinations))
	older, _ := startServer(t, config)
	nodes := startNodes(t, older, "n1", "n2")
	eventually(t, "all quota is granted", func() bool { return allGranted(nodes, destinations) })
	config.StateDir, config.AboveIncarnation, config.NoEarlierLeases = t.TempDir(), 4, false
	newer, _ := startServer(t, config)
	for _, n := range nodes {
		n.stop(t)
	}
	nodes = nil
	for _, name := range []placement.NodeID{"n1", "n2"} {
		nodes = append(nodes, startNode(t, AgentConfig{Node: name, Addresses: []string{newer.Addr(), older.Addr()}}))
	}
	watchTotalQuotas(t, fixedNodes(nodes), destinations)
	eventually(t, "the newer server has granted all quota", func() bool {
		return allGranted(nodes, destinations) && nodes[0].highestIncarnation() == 5 && nodes[1].highestIncarnation() == 5
	})
	nodes[0].client.useNextAddress() // switch to the older server
	eventually(t, "the older server is superseded", func() bool { return older.State().SupersededBy == 5 })
	other := startNodes(t, older, "n1")[0]
	time.Sleep(testLease / 2)
	if other.LeaseValid() {
		t.Fatal("the superseded server granted a lease")
	}
	eventually(t, "the newer server has granted all quota", func() bool { return allGranted(nodes, destinations) })
}

func TestDestinationsMoveWhenAllOwnersFail(t *testing.T) {
	t.Parallel()
	const destinations = 10
	server, _ := startServer(t, testServerConfig(t, testSpec(4, destinations)))
	transport := newFaultyTransport(t)
	failing := []*testNode{startNodeWithTransport(t, transport, "n1", server.Addr()), startNodeWithTransport(t, transport, "n2", server.Addr())}
	eventually(t, "all quota is granted", func() bool { return allGranted(failing, destinations) })
	others := startNodes(t, server, "n3", "n4")
	all := append(others[:2:2], failing...)
	watchTotalQuotas(t, fixedNodes(all), destinations)
	transport.disconnected.Store(true)
	eventually(t, "the other nodes have all quota", func() bool { return allGranted(others, destinations) })
}

func TestSessionAboveLimitIsRejected(t *testing.T) {
	t.Parallel()
	config := testServerConfig(t, testSpec(3, 2))
	config.MaxSessions = 2
	config.Lease = time.Minute
	server, _ := startServer(t, config)
	startNodes(t, server, "n1", "n2")
	eventually(t, "two nodes have a session", func() bool { return server.sessions() == 2 })
	c := newClient([]string{server.Addr()}, newTransport(t))
	_, err := c.renew(t.Context(), pollRequest{Request: lease.Request{Node: "n3", Process: 1, Sequence: 1}}, 0)
	var rejected *ReplyError
	if !errors.As(err, &rejected) || rejected.Status != http.StatusServiceUnavailable || rejected.Code != codeFull {
		t.Fatalf("session above the limit: got %v, want status 503 and code %s", err, codeFull)
	}
	_, err = c.renew(t.Context(), pollRequest{Request: lease.Request{Node: "nobody", Process: 1, Sequence: 1}}, 0)
	if !errors.As(err, &rejected) || rejected.Code != codeUnknown {
		t.Fatalf("unknown node: got %v, want code %s", err, codeUnknown)
	}
}

func TestConnectionAboveLimitIsRejected(t *testing.T) {
	t.Parallel()
	config := testServerConfig(t, testSpec(1, 1))
	server, err := NewServer(config)
	if err != nil {
		t.Fatal(err)
	}
	server.listener.(*boundedListener).slots = make(chan struct{}, 1)
	run(t, server.Run)
	first := newTransport(t)
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
		t.Fatalf("first connection: got status %d, error %v, want 200", status, err)
	}
	if status, err := get(newTransport(t)); status != http.StatusServiceUnavailable || err != nil {
		t.Fatalf("connection above the limit: got status %d, error %v, want 503", status, err)
	}
	first.CloseIdleConnections()
	eventually(t, "the slot is free again", func() bool {
		status, err := get(newTransport(t))
		return err == nil && status == http.StatusOK
	})
}

func TestOversizedRequestIsRejected(t *testing.T) {
	t.Parallel()
	server, _ := startServer(t, testServerConfig(t, testSpec(1, 1)))
	for _, size := range []int{maxSmallRequest + 1, maxRequest + 1} {
		body := io.MultiReader(strings.NewReader(`{"node":"`), strings.NewReader(strings.Repeat("x", size)))
		request, _ := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+server.Addr()+pathRenew, body)
		response, err := newTransport(t).RoundTrip(request)
		if err != nil {
			continue // the server closed the connection
		}
		_ = response.Body.Close()
		if response.StatusCode != http.StatusBadRequest {
			t.Fatalf("request of more than %d bytes: got status %s, want 400", size, response.Status)
		}
	}
}

// Each release cancels a waiting poll. Frequent releases must not prevent the lease from being renewed.
func TestManyReleasesDoNotPreventRenewals(t *testing.T) {
	t.Parallel()
	const destinations = 400
	config := testServerConfig(t, testSpec(2, destinations))
	server, _ := startServer(t, config)
	nodes := startNodes(t, server, "n1", "n2")
	eventually(t, "all quota is granted", func() bool { return allGranted(nodes, destinations) })
	if err := server.Drain("n1", true); err != nil {
		t.Fatal(err)
	}
	eventually(t, "the draining node accepts messages for no destination", func() bool { return acceptingCount(nodes[0], destinations) == 0 })
	for i := 1; i <= destinations; i++ {
		nodes[0].Release(placement.DestinationID(i))
		time.Sleep(2 * testLease / destinations)
		if !nodes[0].LeaseValid() {
			t.Fatalf("lease expired after %d releases", i)
		}
	}
	eventually(t, "the draining node has no assignments", func() bool { return nodes[0].Len() == 0 })
}

// testLog collects log output.
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
