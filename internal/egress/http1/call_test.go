package http1

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"sync/atomic"
	"syscall"
	"testing"
	"time"
	"wingmount/internal/egress"
	"wingmount/internal/failpoint"
	"wingmount/internal/message"
	"wingmount/internal/store"
	"wingmount/internal/testkit"
	"wingmount/policy"
)

// A timeout closes the connection, so that endpoints that do not respond use up no sockets.
func TestTimeoutClosesConnection(t *testing.T) {
	readEnded := make(chan error, 1)
	addr := rawServer(t, func(_ int64, conn net.Conn) {
		defer func() { _ = conn.Close() }()
		_ = conn.SetReadDeadline(time.Now().Add(testTimeout))
		_, err := io.Copy(io.Discard, conn)
		readEnded <- err
	})
	f := newCallFixture(t, addr)
	m := f.start(100*time.Millisecond, 1)[0]
	if e := f.next(); e.Outcome != policy.TimedOut {
		t.Errorf("got outcome %v, want a timeout", e.Outcome)
	}
	if err := <-readEnded; err != nil {
		t.Errorf("got %v from the connection, want it closed", err)
	}
	if !m.History.MayHaveRun {
		t.Error("got a call that timed out as one that never ran, want one that may have run")
	}
}

// A batch ends at the shortest limit of its messages, and its connection is closed. Otherwise the
// message with that limit could be retried while its attempt is outstanding, and a late response
// would complete the other messages although the endpoint no longer counts the call.
func TestBatchEndsAtShortestLimitOfItsMessages(t *testing.T) {
	readEnded, respondLate := make(chan error, 1), make(chan struct{})
	addr := rawServer(t, func(_ int64, conn net.Conn) {
		defer func() { _ = conn.Close() }()
		r := bufio.NewReader(conn)
		_ = conn.SetReadDeadline(time.Now().Add(testTimeout))
		if err := readRequest(r); err != nil {
			readEnded <- err
			return
		}
		_, err := r.ReadByte() // blocks until the call ends
		readEnded <- err
		<-respondLate
		body := "a done\r\nb done\r\n"
		_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	})
	f := newCallFixture(t, addr)
	call := &egress.Call{Endpoint: f.endpoint, Addr: f.addr, DecidedAt: time.Now()}
	a, b := newMessage("a", 20), newMessage("b", 20)
	for m, timeout := range map[*message.Message]time.Duration{a: time.Second, b: testTimeout} {
		testkit.Must(t, f.store.Accept(t.Context(), m))
		call.Add(m, timeout)
	}
	f.carrier.Start(context.Background(), call)
	for range 2 {
		if e := f.next(); e.Outcome != policy.TimedOut || e.Duration > testTimeout/2 {
			t.Errorf("got outcome %v after %v, want a timeout at the shortest limit", e.Outcome, e.Duration)
		}
	}
	if err := <-readEnded; !errors.Is(err, io.EOF) {
		t.Errorf("got %v from the connection, want EOF when the batch ends", err)
	}
	close(respondLate)
	if !a.History.MayHaveRun || !b.History.MayHaveRun {
		t.Error("got a call that timed out as one that never ran, want one that may have run")
	}
}

// A gate that is closed by the time a call has connected stops the call before its first byte.
func TestClosedGateStopsConnectedCall(t *testing.T) {
	var received atomic.Int64
	addr := rawServer(t, func(_ int64, conn net.Conn) {
		defer func() { _ = conn.Close() }()
		n, _ := io.Copy(io.Discard, conn)
		received.Add(n)
	})
	for name, closeGate := range map[string]func(*egress.Endpoint){
		"drain":       func(e *egress.Endpoint) { e.DrainGate.CloseAt(time.Now()) },
		"Retry-After": func(e *egress.Endpoint) { e.RetryAfterGate.CloseUntil(time.Now().Add(time.Minute)) },
	} {
		t.Run(name, func(t *testing.T) {
			f := newCallFixture(t, addr)
			closeGate(f.endpoint)
			m := f.start(5*time.Second, 1)[0]
			if e := f.next(); e.Outcome != policy.NotSent || e.Final {
				t.Errorf("got %+v, want a call that was not sent", e)
			}
			if m.History.MayHaveRun {
				t.Error("got a message that may have run, want one that never ran")
			}
			f.carrier.running.Wait()
			f.carrier.pool.closeIdleSince(time.Now(), nil)
			if n := received.Load(); n != 0 {
				t.Errorf("endpoint got %d bytes, want none", n)
			}
		})
	}
}

// A call is not sent if the idempotency key of its message has expired by the time it has connected.
func TestCallIsNotSentAfterKeyWindow(t *testing.T) {
	addr := rawServer(t, func(_ int64, conn net.Conn) {
		defer func() { _ = conn.Close() }()
		if readRequest(bufio.NewReader(conn)) == nil {
			_, _ = fmt.Fprint(conn, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
		}
	})
	for _, c := range []struct {
		name string
		ago  time.Duration // since the first attempt
		want policy.Outcome
	}{
		{"within the window", 5 * time.Second, policy.Delivered},
		{"after the window", 13 * time.Second, policy.NotSent},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := newCallFixture(t, addr)
			m := newMessage("a", 5)
			m.KeyWindow = 12 * time.Second
			ctx, at := t.Context(), time.Now().Add(-c.ago)
			testkit.Must(t, f.store.Accept(ctx, m))
			testkit.Must(t, f.store.RecordAttempt(ctx, store.Attempt{Endpoint: "e1", At: at, Messages: []*message.Message{m}}))
			testkit.Must(t, f.store.RecordOutcome(ctx, store.Outcome{Message: m, Outcome: policy.TimedOut, Endpoint: "e1", At: time.Now()}))
			f.call(5*time.Second, m)
			if e := f.next(); e.Outcome != c.want {
				t.Errorf("got %v, want %v", e.Outcome, c.want)
			}
		})
	}
}

// isReset reports whether the peer has reset a connection.
func isReset(conn syscall.RawConn) bool {
	var err error
	controlErr := conn.Control(func(fd uintptr) {
		_, _, err = syscall.Recvfrom(int(fd), make([]byte, 1), syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	})
	return controlErr == nil && errors.Is(err, syscall.ECONNRESET)
}

// Guards against a keyed message that runs a second time, because the first connection of its attempt breaks before the
// call is written, and the next one comes up after the key's window.
func TestLaterConnectionOfAttemptIsNotUsedAfterKeyWindow(t *testing.T) {
	var received atomic.Int64
	connected := make(chan struct{})
	addr := rawServer(t, func(n int64, conn net.Conn) {
		if n == 1 {
			<-connected                          // a reset before that is an error of the dial
			_ = conn.(*net.TCPConn).SetLinger(0) // Close resets the connection
			_ = conn.Close()
			return
		}
		defer func() { _ = conn.Close() }()
		if readRequest(bufio.NewReader(conn)) == nil {
			received.Add(1)
			_, _ = fmt.Fprint(conn, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
		}
	})
	f := newCallFixture(t, addr)
	m := newMessage("a", 5)
	m.KeyWindow = 12 * time.Second
	ctx, ranAt := t.Context(), time.Now().Add(time.Second-m.KeyWindow)
	testkit.Must(t, f.store.Accept(ctx, m))
	testkit.Must(t, f.store.RecordAttempt(ctx, store.Attempt{Endpoint: "e1", At: ranAt, Messages: []*message.Message{m}}))
	testkit.Must(t, f.store.RecordOutcome(ctx, store.Outcome{Message: m, Outcome: policy.TimedOut, Endpoint: "e1", At: time.Now()}))
	var first syscall.RawConn
	dials := 0
	f.carrier.dialer.Control = func(_, _ string, conn syscall.RawConn) error {
		if dials++; dials > 1 {
			time.Sleep(time.Until(ranAt.Add(m.KeyWindow))) // the handshake takes until the key has expired
			return nil
		}
		first = conn
		return nil
	}
	disarm, err := failpoint.Set("carrier/after-attempt", func() error {
		close(connected)
		testkit.Eventually(t, "first connection reset", func() bool { return isReset(first) })
		return nil
	})
	testkit.Must(t, err)
	defer disarm()
	f.call(5*time.Second, m)
	if e := f.next(); e.Outcome != policy.NotSent {
		t.Errorf("got %v, want a call that was not sent", e.Outcome)
	}
	if n := received.Load(); n != 0 {
		t.Errorf("calls after the window: got %d, want none", n)
	}
	f.carrier.running.Wait()
	if dials != 2 {
		t.Errorf("connections: got %d, want 2", dials)
	}
}
