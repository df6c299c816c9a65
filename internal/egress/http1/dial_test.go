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
	"wingmount/internal/testkit"
	"wingmount/policy"
)

func TestCallToClosedPortIsUnreachable(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	testkit.Must(t, err)
	addr := l.Addr().String()
	testkit.Must(t, l.Close())
	f := newCallFixture(t, addr)
	m := f.start(5*time.Second, 1)[0]
	if e := f.next(); e.Outcome != policy.Unreachable {
		t.Errorf("got outcome %v, want unreachable", e.Outcome)
	}
	if m.History.MayHaveRun || m.History.Attempts != 0 {
		t.Errorf("got history %+v of a call that was never sent, want no attempt", m.History)
	}
}

// blockDials makes all connection attempts block until their context is done.
func (f *callFixture) blockDials() {
	f.carrier.dialer.ControlContext = func(ctx context.Context, _, _ string, _ syscall.RawConn) error {
		<-ctx.Done()
		return ctx.Err()
	}
}

// Failing to connect within the limit of a call is evidence of an endpoint outage. If the deadline of a
// message ended the call, the failure is not evidence of an outage. In both cases the call never ran.
func TestConnectTimeoutIsUnreachableUnlessDeadlineEndsCall(t *testing.T) {
	for _, c := range []struct {
		name string
		left time.Duration // until the deadline of the message
		want policy.Outcome
	}{
		{"limit of the call", testTimeout, policy.Unreachable},
		{"deadline of the message", 60 * time.Millisecond, policy.NotSent},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := newCallFixture(t, "127.0.0.1:1")
			f.blockDials()
			m := newMessage("a", 20)
			m.Deadline = time.Now().Add(c.left)
			testkit.Must(t, f.store.Accept(t.Context(), m))
			f.call(50*time.Millisecond, m)
			if e := f.next(); e.Outcome != c.want || e.Final || m.History.MayHaveRun {
				t.Errorf("got %+v, history %+v, want %v for a call that never ran", e, m.History, c.want)
			}
		})
	}
}

// A lack of descriptors is not evidence of an endpoint outage: the call retries to connect within
// its limit and closes idle connections to free descriptors.
func TestLocalExhaustionRetriesThenIsNotSent(t *testing.T) {
	addr := rawServer(t, func(_ int64, conn net.Conn) {
		defer func() { _ = conn.Close() }()
		if readRequest(bufio.NewReader(conn)) == nil {
			_, _ = fmt.Fprint(conn, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
		}
	})
	f := newCallFixture(t, addr)
	// Fails with the error of a process that has no descriptor left.
	var exhausted atomic.Int64
	f.carrier.dialer.ControlContext = func(context.Context, string, string, syscall.RawConn) error {
		if exhausted.Add(-1) >= 0 {
			return syscall.EMFILE
		}
		return nil
	}
	idle, err := net.Dial("tcp", addr)
	testkit.Must(t, err)
	f.carrier.pool.put(newConnection(idle, &egress.Endpoint{ID: 2}, addr))
	testkit.Must(t, idle.SetReadDeadline(time.Now().Add(testTimeout))) // limits the read below if the connection is not closed
	exhausted.Store(2)
	f.start(testTimeout, 1)
	if e := f.next(); e.Outcome != policy.Delivered {
		t.Errorf("after two failed attempts to connect: got %+v, want it delivered", e)
	}
	if n, err := idle.Read(make([]byte, 1)); !errors.Is(err, net.ErrClosed) {
		t.Errorf("got %d bytes, %v from the idle connection, want it closed", n, err)
	}
	f.carrier.running.Wait()
	f.carrier.pool.closeIdleSince(time.Now(), nil)
	exhausted.Store(1 << 30)
	m := f.start(100*time.Millisecond, 1)[0]
	if e := f.next(); e.Outcome != policy.NotSent || e.Final || m.History.MayHaveRun {
		t.Errorf("exhausted until the limit of the call: got %+v, history %+v, want a call that was not sent", e, m.History)
	}
}

// If this machine was out of a resource and the call's limit ends a later attempt to connect, the failure does
// not count as the endpoint's. If the endpoint refuses the connection or exceeds the connect timeout, it is
// unreachable, even after a lack of resources.
func TestDialAfterLocalExhaustionIsNotSentIfLimitEnds(t *testing.T) {
	const limit = 100 * time.Millisecond
	untilEnd := func(ctx context.Context) error {
		<-ctx.Done()
		return ctx.Err()
	}
	for _, c := range []struct {
		name           string
		shortages      int64 // number of attempts that fail for lack of a descriptor before later is called
		later          func(context.Context) error
		limit          time.Duration
		connectTimeout time.Duration
		want           policy.Outcome
	}{
		{"call ends in the second attempt", 1, untilEnd, limit, testTimeout, policy.NotSent},
		{"call ends in the third attempt", 2, untilEnd, limit, testTimeout, policy.NotSent},
		{"no shortage", 0, untilEnd, limit, testTimeout, policy.Unreachable},
		{"refused after a shortage", 1, func(context.Context) error { return syscall.ECONNREFUSED }, testTimeout, testTimeout, policy.Unreachable},
		{"connect timeout after a shortage", 1, untilEnd, testTimeout, limit, policy.Unreachable},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := newCallFixture(t, "127.0.0.1:1")
			var attempts atomic.Int64
			f.carrier.dialer.Timeout = c.connectTimeout
			f.carrier.dialer.ControlContext = func(ctx context.Context, _, _ string, _ syscall.RawConn) error {
				if attempts.Add(1) <= c.shortages {
					return syscall.EMFILE
				}
				return c.later(ctx)
			}
			m := f.start(c.limit, 1)[0]
			if e := f.next(); e.Outcome != c.want || e.Final || m.History.MayHaveRun {
				t.Errorf("got %+v, history %+v, want outcome %v for a call that never ran", e, m.History, c.want)
			}
			if got := attempts.Load(); got != c.shortages+1 {
				t.Errorf("got %d attempts to connect, want %d", got, c.shortages+1)
			}
		})
	}
}

// lateContext is a context whose timer never fires, even after its deadline.
type lateContext struct {
	context.Context
	deadline time.Time
}

func (c lateContext) Deadline() (time.Time, bool) { return c.deadline, true }

// The dialer stops at the deadline of a call even if the timer of the call's context has not fired. connect
// must still return errLocalResources then.
func TestLocalExhaustionEndsAtDeadlineBeforeTimer(t *testing.T) {
	f := newCallFixture(t, "127.0.0.1:1")
	f.carrier.dialer.ControlContext = func(context.Context, string, string, syscall.RawConn) error { return syscall.EMFILE }
	ctx := lateContext{context.Background(), time.Now().Add(2 * exhaustedRetryDelay)}
	_, err := f.carrier.connect(ctx, &egress.Call{Endpoint: f.endpoint, Addr: f.addr}, true)
	if !errors.Is(err, errLocalResources) || ctx.Err() != nil {
		t.Errorf("got %v, context error %v, want errLocalResources before the context's timer", err, ctx.Err())
	}
	if time.Now().Before(ctx.deadline) {
		t.Error("got an error before the deadline, want it at or after the deadline")
	}
}

// Guards against work that goes to the wrong place: while a call connects, its endpoint goes and a new process comes up at the
// address. Nothing is sent to that, and the attempt counts as not sent.
func TestCallIsNotSentToSuccessorAtAddress(t *testing.T) {
	received := make(chan int64, 1)
	addr := rawServer(t, func(_ int64, conn net.Conn) {
		n, _ := io.Copy(io.Discard, conn)
		received <- n
	})
	f := newCallFixture(t, addr)
	f.carrier.dialer.Control = func(string, string, syscall.RawConn) error {
		f.endpoint.Supersede()
		return nil
	}
	m := f.start(testTimeout, 1)[0]
	if e := f.next(); e.Outcome != policy.NotSent {
		t.Errorf("got outcome %d, want %d", e.Outcome, policy.NotSent)
	}
	if m.History.Attempts != 0 {
		t.Errorf("got %d attempts on record, want none", m.History.Attempts)
	}
	f.carrier.CloseIdle(f.endpoint)
	if n := <-received; n != 0 {
		t.Errorf("the new process received %d bytes, want none", n)
	}
}
