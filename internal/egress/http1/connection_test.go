package http1

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"sync/atomic"
	"testing"
	"time"
	"wingmount/internal/store"
	"wingmount/internal/testkit"
	"wingmount/policy"
)

// http.Transport repeats a request with an Idempotency-Key if a cached connection has been closed.
// Such a copy would not be persisted as an attempt, so a Carrier must never send one.
func TestCallOnClosedCachedConnectionIsNotRepeated(t *testing.T) {
	var copies atomic.Int64
	addr := rawServer(t, func(n int64, conn net.Conn) {
		defer func() { _ = conn.Close() }()
		r := bufio.NewReader(conn)
		for i := 0; ; i++ {
			if readRequest(r) != nil {
				return
			}
			copies.Add(1)
			if n == 2 && i == 1 {
				return // a cached connection, closed after the request was read
			}
			_, _ = fmt.Fprint(conn, deliveredResponse(copies.Load()))
		}
	})
	f := newCallFixture(t, addr)
	f.learnBodies()
	f.start(5*time.Second, 1)
	if e := f.next(); e.Outcome != policy.Delivered {
		t.Fatalf("first call on the cached connection: got %+v, want it delivered", e)
	}
	f.carrier.running.Wait()
	f.start(5*time.Second, 1)
	if e := f.next(); e.Outcome != policy.Reset || !e.StaleConnection {
		t.Errorf("got %+v for a call on a cached connection closed without a response, want a stale reset", e)
	}
	f.carrier.running.Wait()
	if n := copies.Load(); n != 3 {
		t.Errorf("got %d requests, want 3 for 3 calls", n)
	}
}

// discardingStore accepts messages of any size and stores nothing.
type discardingStore struct{ store.Store }

func (discardingStore) RecordAttempt(context.Context, store.Attempt) error { return nil }
func (discardingStore) RecordOutcome(context.Context, store.Outcome) error { return nil }

// If a connection breaks before the last byte of a call is written, the same attempt continues on a
// new connection. If a new connection breaks after the last byte, the call may have run, and the
// reset is evidence of an endpoint failure.
func TestUnsentCallContinuesOnAnotherConnection(t *testing.T) {
	var complete atomic.Int64
	addr := rawServer(t, func(n int64, conn net.Conn) {
		defer func() { _ = conn.Close() }()
		if n == 1 {
			testkit.Must(t, conn.(*net.TCPConn).SetLinger(0)) // sends a reset while most of the call is unread
			_, _ = conn.Read(make([]byte, 100))
			return
		}
		if readRequest(bufio.NewReader(conn)) == nil && complete.Add(1) == 1 {
			_, _ = fmt.Fprint(conn, "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 0\r\n\r\n")
		}
	})
	f := newCallFixture(t, addr)
	original := f.carrier.recorder.Store
	f.carrier.recorder.Store = discardingStore{}
	m := newMessage("large", 32<<20) // larger than the socket buffers between client and server
	f.call(testTimeout, m)
	if e := f.next(); e.Outcome != policy.Delivered || complete.Load() != 1 {
		t.Errorf("got outcome %+v with %d complete requests, want a delivery with 1 request", e, complete.Load())
	}
	f.carrier.running.Wait()
	f.carrier.recorder.Store = original
	f.start(testTimeout, 1)
	if e := f.next(); e.Outcome != policy.Reset || e.StaleConnection {
		t.Errorf("got %+v for a new connection that broke after the call was written, want a reset that is not stale", e)
	}
}

// A second copy of a response must not be read as the response to the next call, whether the copy
// arrives together with the first response or later.
func TestSurplusBytesAreNotReadAsNextResponse(t *testing.T) {
	good := deliveredResponse(2)
	for name, later := range map[string]bool{"together": false, "later": true} {
		t.Run(name, func(t *testing.T) {
			sendCopy := make(chan struct{})
			addr := rawServer(t, func(n int64, conn net.Conn) {
				defer func() { _ = conn.Close() }()
				r := bufio.NewReader(conn)
				if readRequest(r) != nil {
					return
				}
				switch {
				case n == 1:
					_, _ = fmt.Fprint(conn, deliveredResponse(1))
				case n > 2:
					_, _ = fmt.Fprint(conn, "HTTP/1.1 500 X\r\nContent-Length: 0\r\n\r\n")
				case later:
					_, _ = fmt.Fprint(conn, good)
					<-sendCopy
					_, _ = fmt.Fprint(conn, good)
					sendCopy <- struct{}{}
				default:
					_, _ = fmt.Fprint(conn, good, good)
				}
				_ = readRequest(r) // keeps the connection open
			})
			f := newCallFixture(t, addr)
			f.learnBodies()
			f.start(testTimeout, 1)
			if e := f.next(); e.Outcome != policy.Delivered {
				t.Fatalf("first call: got %+v, want it delivered", e)
			}
			f.carrier.running.Wait()
			if later {
				sendCopy <- struct{}{}
				<-sendCopy // the copy was sent
			}
			f.start(testTimeout, 1)
			if e := f.next(); e.Outcome != policy.Failed {
				t.Errorf("got %v for the second call, want the failure from its own response", e.Outcome)
			}
		})
	}
}
