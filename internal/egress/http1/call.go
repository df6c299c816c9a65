package http1

import (
	"context"
	"errors"
	"net/http"
	"time"
	"wingmount/internal/egress"
	"wingmount/policy"
)

// maxConnectionTries limits the connections that one attempt uses if each of them breaks before
// the call is completely written.
const maxConnectionTries = 3

// exchange is the result of sending a call on one connection.
type exchange struct {
	response response
	results  map[string]result // by message ID; nil unless the response has a result for each message
	err      error
	reused   bool // whether the connection carried an earlier call
}

// run makes a call and finishes each of its parts. If a connection breaks before the call is
// completely written, run sends the same attempt again on another connection, unless the attempt
// may no longer be sent by then.
func (c *Carrier) run(parent context.Context, call *egress.Call) {
	ctx, cancel := context.WithDeadline(parent, call.DecidedAt.Add(call.Limit))
	defer cancel()
	var x exchange
	for try := range maxConnectionTries {
		first := try == 0
		conn, req, ok := c.prepare(ctx, parent, call, first)
		if !ok {
			return
		}
		if first {
			// Persisting the attempts has extended the limit.
			extended, cancelExtended := context.WithDeadline(parent, call.DecidedAt.Add(call.Limit))
			defer cancelExtended()
			ctx = extended
		}
		x = c.exchangeOn(ctx, call, conn, req)
		if !errors.Is(x.err, errUnsent) || ctx.Err() != nil {
			break
		}
	}
	c.finish(ctx, call, x)
}

// prepare returns a connection and the request for a call. On the first try it also persists
// the call's attempts. If the call can't be sent, it finishes all parts and returns ok = false.
func (c *Carrier) prepare(ctx, parent context.Context, call *egress.Call, first bool) (conn *connection, req *http.Request, ok bool) {
	conn, err := c.connectInTime(ctx, call, !first)
	if err != nil {
		outcome := classifyConnectError(ctx, call, err, first)
		c.log.Debug("egress: connecting for call failed", "endpoint", call.Endpoint.Name, "outcome", outcome, "err", err)
		c.finishAll(call, result{outcome: outcome}, 0)
		return nil, nil, false
	}
	if !c.begin(parent, call, first) {
		c.pool.put(conn)
		c.finishAll(call, result{outcome: policy.NotSent}, 0)
		return nil, nil, false
	}
	req, err = c.newRequest(call)
	if err != nil {
		c.pool.put(conn)
		c.log.Error("egress: request not created", "err", err)
		c.finishAll(call, result{outcome: policy.NotSent}, 0)
		return nil, nil, false
	}
	return conn, req, true
}

// connectInTime returns a connection for a call, as connect does, but waits no longer than until a key of the call expires:
// nothing may be sent afterwards.
func (c *Carrier) connectInTime(ctx context.Context, call *egress.Call, fresh bool) (*connection, error) {
	if expiry := call.KeyExpiry(); !expiry.IsZero() {
		limited, cancel := context.WithDeadline(ctx, expiry)
		defer cancel()
		ctx = limited
	}
	return c.connect(ctx, call, fresh)
}

// classifyConnectError returns the outcome of a call for which no connection was made. It returns
// NotSent if the error is not evidence of an endpoint failure: this machine was out of a resource,
// the first try ended because of a message's deadline, not because of the call's own timeout, or the key of a message has expired.
func classifyConnectError(ctx context.Context, call *egress.Call, err error, first bool) policy.Outcome {
	switch {
	case errors.Is(err, errLocalResources), call.HasExpiredKey(time.Now()), first && ctx.Err() != nil && call.LimitedByDeadline():
		return policy.NotSent
	}
	return policy.Unreachable
}

// begin reports whether a call may be sent now. On the first try it also persists the call's
// attempts.
func (c *Carrier) begin(ctx context.Context, call *egress.Call, first bool) bool {
	var err error
	if first {
		err = c.recorder.Begin(ctx, call)
	} else {
		err = c.recorder.CheckPermitted(call, time.Now())
	}
	if err != nil && !errors.Is(err, egress.ErrClosed) {
		c.log.Warn("egress: call not sent", "endpoint", call.Endpoint.Name, "err", err)
	}
	return err == nil
}

// exchangeOn makes a call on a connection. Afterwards it returns the connection to the pool if it
// is reusable, and closes it otherwise. This happens before the outcome is reported, except for
// a delivered single message: the outcome may start the next call to the endpoint, which may need the connection.
func (c *Carrier) exchangeOn(ctx context.Context, call *egress.Call, conn *connection, req *http.Request) exchange {
	stop := conn.abandonAfter(ctx)
	stopAtExpiry := conn.abandonUnacknowledgedAt(call.KeyExpiry())
	x := c.exchange(call, conn, req)
	stopped, inTime := stop(), stopAtExpiry()
	if stopped && inTime && c.mayCarryAnotherCall(conn, call, x) {
		c.pool.put(conn)
	} else {
		_ = conn.Close()
	}
	if conn.copies > 0 {
		call.Endpoint.Bodies.MarkRepeated()
		c.repeatedBodies.Store(true)
		c.log.Warn("egress: ignored copies of earlier responses", "endpoint", call.Endpoint.Name, "count", conn.copies)
	}
	return x
}

// exchange sends a call and reads its response. A single message counts as delivered as soon as
// a status line with 200 is read that can't belong to an earlier call on the connection, regardless
// of the rest of the response.
func (c *Carrier) exchange(call *egress.Call, conn *connection, req *http.Request) exchange {
	x := exchange{reused: conn.reused}
	batch := len(call.Parts) > 1
	x.err = conn.send(req, call.KeyExpiry(), func() error { return c.recorder.CheckPermitted(call, time.Now()) })
	if x.err != nil {
		return x
	}
	deliversSingle := func(status int) bool {
		if batch || status != http.StatusOK {
			return false
		}
		c.finishPart(call, call.Parts[0], result{outcome: policy.Delivered}, 0)
		return true
	}
	x.response, x.err = conn.receive(req, deliversSingle)
	if x.err != nil && !conn.mayBeCopy(x.response, x.err) {
		deliversSingle(x.response.status) // already finished, unless the connection carried an earlier call
	}
	if x.err == nil && batch && x.response.status == http.StatusOK {
		x.results, x.err = parseBatchResults(x.response.body, call.Parts)
	}
	return x
}

// finish finishes all parts of a call after its last exchange. It also closes the endpoint's
// Retry-After gate if the response has a Retry-After.
func (c *Carrier) finish(ctx context.Context, call *egress.Call, x exchange) {
	wait := retryAfter(x.response)
	if wait > 0 {
		// The policy module waits for the same duration. If the gate opened later, it would stop
		// the next call that the policy module decides on, and that would use up an attempt.
		call.Endpoint.RetryAfterGate.CloseUntil(time.Now().Add(wait))
	}
	switch {
	case x.err != nil:
		c.finishFailed(ctx, call, x, wait)
	case x.results == nil:
		c.finishAll(call, c.classifyStatus(call, x.response), wait)
	default:
		for _, p := range call.Parts {
			c.finishPart(call, p, x.results[p.Message.ID], wait)
		}
	}
}

// finishFailed finishes all parts of a call that got no valid response.
func (c *Carrier) finishFailed(ctx context.Context, call *egress.Call, x exchange, wait time.Duration) {
	outcome, stale := policy.Reset, false
	switch {
	case errors.Is(x.err, errNotPermitted), errors.Is(x.err, errUnsent) && call.HasExpiredKey(time.Now()):
		outcome = policy.NotSent
	case errors.Is(x.err, errUnsent):
		outcome = policy.Unreachable
	case errors.Is(x.err, errInvalidResponse):
		outcome = policy.Failed
		c.invalidResponses.Add(1)
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		outcome = policy.TimedOut
	default:
		stale = x.reused && x.response.status == 0
	}
	c.log.Debug("egress: call ended without a valid response", "endpoint", call.Endpoint.Name, "err", x.err)
	for _, p := range call.Parts {
		c.recorder.Finish(call, p, policy.AttemptCompleted{Outcome: outcome, RetryAfter: wait, StaleConnection: stale})
	}
}

func (c *Carrier) finishAll(call *egress.Call, r result, wait time.Duration) {
	for _, p := range call.Parts {
		c.finishPart(call, p, r, wait)
	}
}

func (c *Carrier) finishPart(call *egress.Call, p *egress.Part, r result, wait time.Duration) {
	c.recorder.Finish(call, p, policy.AttemptCompleted{
		Outcome: r.outcome, RetryAfter: wait, Final: r.final || r.outcome == policy.Delivered,
	})
}
