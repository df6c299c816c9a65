package http1

import (
	"context"
	"errors"
	"fmt"
	"syscall"
	"time"
	"wingmount/internal/egress"
)

// exhaustedRetryDelay is the delay between two attempts to connect while this machine has no free
// descriptors, ports or memory.
const exhaustedRetryDelay = 20 * time.Millisecond

// errLocalResources means that this machine was out of a resource while a call was connecting,
// and that the call's context ended before a connection was made.
var errLocalResources = errors.New("local resources for a connection are exhausted")

// connect returns an idle connection to the call's endpoint. If there is none, if fresh is set, or if
// the endpoint has repeated a response, it returns a new connection. While this machine is out of a resource, connect retries until ctx
// ends, and then returns errLocalResources.
func (c *Carrier) connect(ctx context.Context, call *egress.Call, fresh bool) (*connection, error) {
	if !fresh && !call.Endpoint.Bodies.Repeated() {
		if conn := c.pool.get(call.Endpoint, call.Addr, time.Now().Add(-c.idleTimeout)); conn != nil {
			return conn, nil
		}
	}
	exhausted := false // whether an earlier dial for this call failed for lack of a local resource
	for {
		conn, err := c.dialer.DialContext(ctx, "tcp", call.Addr)
		switch {
		case err == nil:
			return newConnection(conn, call.Endpoint, call.Addr), nil
		case isLocalExhaustion(err):
			exhausted = true
		case exhausted && hasEnded(ctx):
			return nil, fmt.Errorf("%w: %w", errLocalResources, err)
		default:
			return nil, fmt.Errorf("connecting to %s: %w", call.Addr, err)
		}
		c.pool.closeOldest() // frees a descriptor
		select {
		case <-time.After(exhaustedRetryDelay):
		case <-ctx.Done():
			return nil, fmt.Errorf("%w: %w", errLocalResources, err)
		}
	}
}

// hasEnded reports whether a context is done or its deadline has passed. The dialer compares the
// deadline with the clock itself and may give up before the context's timer has fired.
func hasEnded(ctx context.Context) bool {
	deadline, limited := ctx.Deadline()
	return ctx.Err() != nil || limited && !time.Now().Before(deadline)
}

// isLocalExhaustion reports whether connecting failed because this machine is out of a
// resource. Such an error is not evidence of an endpoint failure.
func isLocalExhaustion(err error) bool {
	for _, e := range []syscall.Errno{syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.EADDRNOTAVAIL} {
		if errors.Is(err, e) {
			return true
		}
	}
	return false
}
