package http1

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"sync/atomic"
	"testing"
	"time"
	"wingmount/internal/egress"
	"wingmount/internal/testkit"
	"wingmount/policy"
)

// A call reuses an idle connection only if it is still open. It never uses one that the endpoint closed.
func TestCallsReuseOpenConnectionsOnly(t *testing.T) {
	var conns, calls atomic.Int64
	closed := make(chan struct{}, 1)
	addr := rawServer(t, func(n int64, conn net.Conn) {
		defer func() { _ = conn.Close() }()
		conns.Store(n)
		r := bufio.NewReader(conn)
		for range 2 {
			if readRequest(r) != nil {
				return
			}
			_, _ = fmt.Fprint(conn, deliveredResponse(calls.Add(1)))
		}
		_ = conn.Close()
		closed <- struct{}{}
	})
	f := newCallFixture(t, addr)
	f.learnBodies()
	for i := range 2 {
		f.start(5*time.Second, 1)
		if e := f.next(); e.Outcome != policy.Delivered {
			t.Fatalf("call %d: got %+v, want it delivered", i, e)
		}
		f.carrier.running.Wait()
	}
	if n := conns.Load(); n != 2 {
		t.Errorf("got %d connections, want 1 for the first call and 1 for the two calls after it", n)
	}
	<-closed
	deadline := time.Now().Add(testTimeout)
	for p := &f.carrier.pool; p.all.Len() > 0 && p.all.Front().Value.(*connection).isReusable() && time.Now().Before(deadline); {
		time.Sleep(time.Millisecond)
	}
	f.start(5*time.Second, 1)
	if e := f.next(); e.Outcome != policy.Delivered {
		t.Errorf("after the endpoint closed an idle connection: got %+v, want it delivered", e)
	}
}

// The pool limits the idle connections to one endpoint and to all endpoints. It never returns a
// connection of another endpoint, even if both have the same address.
func TestPoolLimitsAndSeparatesIdleConnections(t *testing.T) {
	addr := rawServer(t, func(_ int64, conn net.Conn) {
		defer func() { _ = conn.Close() }()
		_, _ = io.Copy(io.Discard, conn) // until the client closes the connection
	})
	f := newCallFixture(t, addr)
	p := &f.carrier.pool
	fill := func(e *egress.Endpoint) {
		for range 3 * minIdlePerEndpoint {
			conn, err := f.carrier.dialer.Dial("tcp", addr)
			testkit.Must(t, err)
			p.put(newConnection(conn, e, addr))
		}
	}
	fill(f.endpoint)
	if p.get(&egress.Endpoint{ID: 2}, addr, time.Now().Add(-time.Minute)) != nil {
		t.Error("got a connection of another endpoint, want nil")
	}
	if n := p.all.Len(); n != minIdlePerEndpoint {
		t.Errorf("got %d idle connections to one endpoint, want %d", n, minIdlePerEndpoint)
	}
	p.maxIdle = minIdlePerEndpoint + 2
	fill(&egress.Endpoint{})
	if n := p.all.Len(); n != p.maxIdle {
		t.Errorf("got %d idle connections to all endpoints, want %d", n, p.maxIdle)
	}
	p.closeIdleSince(time.Time{}, f.endpoint)
	if n := p.all.Len(); n != minIdlePerEndpoint {
		t.Errorf("got %d idle connections after closing those to one endpoint, want only those to the other", n)
	}
	p.closeIdleSince(time.Now(), nil)
	if n := p.all.Len(); n != 0 {
		t.Errorf("got %d idle connections after closing all, want none", n)
	}
}
