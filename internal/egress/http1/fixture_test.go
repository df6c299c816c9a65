package http1

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"
	"wingmount/internal/egress"
	"wingmount/internal/message"
	"wingmount/internal/store"
	"wingmount/internal/store/journal"
	"wingmount/internal/testkit"
	"wingmount/policy"
)

// testTimeout limits how long a test waits for an expected event.
const testTimeout = 10 * time.Second

// newMessage returns a message with a body of zeros.
func newMessage(id string, size int) *message.Message {
	return &message.Message{ID: id, Key: "k-" + id, Destination: 7, Deadline: time.Now().Add(20 * time.Second), Body: make([]byte, size)}
}

// callFixture makes calls to one address and collects their outcomes.
type callFixture struct {
	t        *testing.T
	carrier  *Carrier
	endpoint *egress.Endpoint
	addr     string
	outcomes chan policy.AttemptCompleted
	store    store.Store
	seq      int
}

func newCallFixture(t *testing.T, addr string) *callFixture {
	t.Helper()
	f := &callFixture{t: t, addr: addr, outcomes: make(chan policy.AttemptCompleted, 16)}
	j, _, err := journal.Open(journal.Config{Dir: t.TempDir(), MaxBytes: journal.MinDisk}, testkit.QuietLog())
	testkit.Must(t, err)
	t.Cleanup(func() { _ = j.Close() })
	f.store = j
	recorder := &egress.Recorder{Store: j, Log: testkit.QuietLog(), OnOutcome: func(e policy.AttemptCompleted, _ error) { f.outcomes <- e }}
	f.carrier = New(Config{ConnectTimeout: time.Second, ServerIdleTimeout: 15 * time.Second}, recorder, testkit.QuietLog())
	f.endpoint = &egress.Endpoint{ID: 1, Name: "e1", RetryAfterGate: &egress.Gate{}}
	t.Cleanup(func() { f.carrier.running.Wait() })
	return f
}

// call starts a call with messages that the store has already accepted.
func (f *callFixture) call(limit time.Duration, ms ...*message.Message) {
	c := &egress.Call{Endpoint: f.endpoint, Addr: f.addr, DecidedAt: time.Now(), Limit: limit}
	for _, m := range ms {
		c.Add(m, limit)
	}
	f.carrier.Start(context.Background(), c)
}

// start adds n messages to the store and starts a call with them.
func (f *callFixture) start(limit time.Duration, n int) []*message.Message {
	f.t.Helper()
	var messages []*message.Message
	for range n {
		f.seq++
		m := newMessage(fmt.Sprint("id", f.seq), 20)
		testkit.Must(f.t, f.store.Accept(f.t.Context(), m))
		messages = append(messages, m)
	}
	f.call(limit, messages...)
	return messages
}

// next waits for the next outcome and returns it.
func (f *callFixture) next() policy.AttemptCompleted {
	f.t.Helper()
	select {
	case e := <-f.outcomes:
		return e
	case <-time.After(testTimeout):
		f.t.Fatal("got no outcome, want one")
		return policy.AttemptCompleted{}
	}
}

// rawServer starts a TCP server and returns its address. It calls serve in a new goroutine for each
// connection, with the connection's number, from 1.
func rawServer(t *testing.T, serve func(n int64, conn net.Conn)) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	testkit.Must(t, err)
	t.Cleanup(func() { _ = l.Close() })
	var n atomic.Int64
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go serve(n.Add(1), conn)
		}
	}()
	return l.Addr().String()
}

// deliveredResponse returns a response with status 200 whose body is the text of a number. An endpoint whose bodies differ
// is one whose connections carry several calls.
func deliveredResponse(n int64) string {
	body := fmt.Sprintf("%04d", n)
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
}

// learnBodies makes a call on a connection of its own, so that the responses of later calls are known to differ. The endpoint
// must respond with deliveredResponse.
func (f *callFixture) learnBodies() {
	f.t.Helper()
	f.start(testTimeout, 1)
	if e := f.next(); e.Outcome != policy.Delivered {
		f.t.Fatalf("first call: got %+v, want it delivered", e)
	}
	f.carrier.running.Wait()
}

// readRequest reads and discards a request with its body.
func readRequest(r *bufio.Reader) error {
	req, err := http.ReadRequest(r)
	if err != nil {
		return err
	}
	_, err = io.Copy(io.Discard, req.Body)
	return err
}
