package consensus

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"path/filepath"
	"sync"
	"testing"
	"time"
	"wingmount/internal/store/frame"

	pb "go.etcd.io/raft/v3/raftpb"
	"go.uber.org/goleak"
	"google.golang.org/protobuf/proto"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

const testTimeout = 15 * time.Second

// lockedRecorder is a recorder that a test may read while the member runs.
type lockedRecorder struct {
	mu sync.Mutex
	recorder
}

func (r *lockedRecorder) Apply(index uint64, data []byte) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.recorder.Apply(index, data)
}

func (r *lockedRecorder) Snapshot() func() ([]byte, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.recorder.Snapshot()
}

func (r *lockedRecorder) Restore(data []byte) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.recorder.Restore(data)
}

// has reports whether an entry was applied.
func (r *lockedRecorder) has(entry string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, e := range r.entries {
		if string(e) == entry {
			return true
		}
	}
	return false
}

// testNode is a running member.
type testNode struct {
	*Node
	machine   *lockedRecorder
	transport *Transport
	cancel    context.CancelFunc
	ended     chan error // result of Run
}

// testQuorum is a set of members that communicate over loopback HTTP.
type testQuorum struct {
	t         *testing.T
	dir       string
	initial   []uint64 // ids of the initial members
	addresses map[uint64]string
	handlers  map[uint64]*memberHandler
	nodes     map[uint64]*testNode
}

// memberHandler serves messages for a receiver that can be replaced; it responds with 503 without one.
type memberHandler struct {
	mu       sync.Mutex
	receiver Receiver
}

func (h *memberHandler) set(receiver Receiver) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.receiver = receiver
}

func (h *memberHandler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h.mu.Lock()
	receiver := h.receiver
	h.mu.Unlock()
	if receiver == nil {
		http.Error(w, "down", http.StatusServiceUnavailable)
		return
	}
	ServeMessages(w, r, "one", receiver)
}

func newTestQuorum(t *testing.T, members int) *testQuorum {
	t.Helper()
	q := &testQuorum{t: t, dir: t.TempDir(), addresses: map[uint64]string{}, handlers: map[uint64]*memberHandler{}, nodes: map[uint64]*testNode{}}
	for id := uint64(1); id <= uint64(members); id++ {
		q.initial = append(q.initial, id)
		q.handlers[id] = &memberHandler{}
		server := httptest.NewServer(q.handlers[id])
		t.Cleanup(server.Close)
		q.addresses[id] = server.Listener.Addr().String()
	}
	for _, id := range q.initial {
		q.start(id)
	}
	t.Cleanup(func() {
		for id := range q.nodes {
			q.stop(id)
		}
	})
	return q
}

func (q *testQuorum) start(id uint64) {
	q.t.Helper()
	n := &testNode{machine: &lockedRecorder{}, transport: NewTransport("one", nil, Config{}.withDefaults().Log), ended: make(chan error, 1)}
	n.transport.SetMembers(q.addresses)
	var err error
	n.Node, err = Open(Config{
		ID: id, Dir: filepath.Join(q.dir, fmt.Sprint(id)), InitialMembers: q.initial, Machine: n.machine, Tick: 5 * time.Millisecond,
		CompactBytes: 4 << 10,
	}, n.transport)
	testMust(q.t, err)
	n.transport.SetReporter(n.Node)
	ctx, cancel := context.WithCancel(context.Background())
	n.cancel = cancel
	go func() { n.ended <- n.Run(ctx) }()
	q.handlers[id].set(n.Node)
	q.nodes[id] = n
}

func (q *testQuorum) stop(id uint64) {
	q.handlers[id].set(nil)
	n := q.nodes[id]
	n.cancel()
	if err := <-n.ended; err != nil {
		q.t.Errorf("member %d: %v", id, err)
	}
	delete(q.nodes, id)
}

// propose proposes an entry until all running members have applied it.
func (q *testQuorum) propose(entry string) {
	q.t.Helper()
	deadline := time.Now().Add(testTimeout)
	for time.Now().Before(deadline) {
		for _, n := range q.nodes {
			_ = n.Propose([]byte(entry)) // a dropped proposal is repeated
			break
		}
		for range 10 {
			if q.allHave(entry) {
				return
			}
			time.Sleep(10 * time.Millisecond)
		}
	}
	q.t.Fatalf("%q was not applied by all running members within %v", entry, testTimeout)
}

func (q *testQuorum) allHave(entry string) bool {
	for _, n := range q.nodes {
		if !n.machine.has(entry) {
			return false
		}
	}
	return true
}

// leader waits until a member is the leader, and returns its id.
func (q *testQuorum) leader() uint64 {
	q.t.Helper()
	for deadline := time.Now().Add(testTimeout); time.Now().Before(deadline); time.Sleep(5 * time.Millisecond) {
		for id, n := range q.nodes {
			if n.Status().Leader == id {
				return id
			}
		}
	}
	q.t.Fatal("got no leader, want one")
	return 0
}

// Members that communicate over HTTP still commit entries after the leader has stopped, and it catches up by a
// snapshot after its restart.
func TestQuorumOverHTTPSurvivesLeaderRestart(t *testing.T) {
	q := newTestQuorum(t, 3)
	q.propose("first")
	stopped := q.leader()
	q.stop(stopped)
	for i := range 30 {
		q.propose(fmt.Sprintf("%0300d", i))
	}
	q.start(stopped)
	q.propose("last")
	if !q.nodes[stopped].machine.has("first") || !q.nodes[stopped].machine.has(fmt.Sprintf("%0300d", 7)) {
		t.Error("got missing entries on the restarted member, want none")
	}
	if size := q.nodes[q.leader()].Status().LogSize; size > 64<<10 {
		t.Errorf("got a log of %d bytes, want a compacted one", size)
	}
}

// A member without a majority commits nothing.
func TestProposeWithoutMajorityIsNotCommitted(t *testing.T) {
	q := newTestQuorum(t, 3)
	q.propose("first")
	q.stop(1)
	q.stop(2)
	left := q.nodes[3]
	_ = left.Propose([]byte("alone"))
	time.Sleep(500 * time.Millisecond) // time for several elections
	if left.machine.has("alone") {
		t.Error("got an entry committed by a minority, want none")
	}
	q.start(1)
	q.propose("together")
}

// A member rejects malformed bodies, ignores a message for another member, and still commits entries afterwards.
func TestMalformedMessagesAreRejected(t *testing.T) {
	q := newTestQuorum(t, 1)
	q.propose("first")
	for _, body := range [][]byte{[]byte("x"), frame.Append(nil, []byte{0xff, 0xff})} {
		response, err := http.Post("http://"+q.addresses[1]+MessagesPath, "", bytes.NewReader(body))
		testMust(t, err)
		testMust(t, response.Body.Close())
		if response.StatusCode == http.StatusNoContent {
			t.Errorf("got status 204 for the body %q, want an error", body)
		}
	}
	other := uint64(9)
	kind := pb.MsgApp
	text, err := proto.Marshal(&pb.Message{Type: &kind, To: &other, From: &other})
	testMust(t, err)
	testMust(t, q.nodes[1].Receive(text))
	q.propose("second")
	if err := q.nodes[1].Propose(make([]byte, MaxEntryBytes+1)); !errors.Is(err, ErrTooLong) {
		t.Errorf("got %v for an entry that is too long, want ErrTooLong", err)
	}
	http.DefaultClient.CloseIdleConnections()
}

// A member rejects messages from a member whose log began differently.
func TestServeMessagesWithOtherOriginRespondsConflict(t *testing.T) {
	q := newTestQuorum(t, 1)
	q.propose("first")
	for origin, want := range map[string]int{"": http.StatusNoContent, "one": http.StatusNoContent, "other": http.StatusConflict} {
		request, err := http.NewRequest(http.MethodPost, "http://"+q.addresses[1]+MessagesPath, nil)
		testMust(t, err)
		request.Header.Set(originHeader, origin)
		response, err := http.DefaultClient.Do(request)
		testMust(t, err)
		testMust(t, response.Body.Close())
		if response.StatusCode != want {
			t.Errorf("messages of origin %q: got %d, want %d", origin, response.StatusCode, want)
		}
	}
	if a, b := Origin([]uint64{1, 2}, []byte("x")), Origin([]uint64{1, 2}, []byte("y")); a == b || a == "" || Origin(nil, nil) != "" {
		t.Errorf("got the origins %q and %q, want two different ones", a, b)
	}
	http.DefaultClient.CloseIdleConnections()
}

// A stopped member returns ErrStopped, and can be started again.
func TestStoppedNodeReturnsErrStopped(t *testing.T) {
	q := newTestQuorum(t, 1)
	q.propose("first")
	n := q.nodes[1]
	q.stop(1)
	if err := n.Propose([]byte("x")); !errors.Is(err, ErrStopped) {
		t.Errorf("got %v, want ErrStopped", err)
	}
	if err := n.Receive(nil); !errors.Is(err, ErrStopped) {
		t.Errorf("got %v, want ErrStopped", err)
	}
	q.start(1)
	q.propose("second")
}

// FuzzReceive passes malformed messages to a member, which may stop but must not panic.
func FuzzReceive(f *testing.F) {
	kind, to, from, term := pb.MsgApp, uint64(1), uint64(2), uint64(9)
	text, err := proto.Marshal(&pb.Message{Type: &kind, To: &to, From: &from, Term: &term})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(text)
	f.Fuzz(func(t *testing.T, text []byte) {
		n, err := Open(Config{ID: 1, Dir: t.TempDir(), InitialMembers: []uint64{1, 2, 3}, Machine: &recorder{}}, discardSender{})
		testMust(t, err)
		ctx, cancel := context.WithCancel(context.Background())
		ended := make(chan struct{})
		go func() {
			defer close(ended)
			_ = n.Run(ctx) // the message may stop the member
		}()
		_ = n.Receive(text)
		done := make(chan struct{})
		if n.enqueue(func() error { close(done); return nil }) == nil {
			select {
			case <-done:
			case <-ended:
			}
		}
		cancel()
		<-ended
	})
}

// discardSender drops all messages.
type discardSender struct{}

func (discardSender) Send(Message) {}
func (discardSender) Close()       {}
