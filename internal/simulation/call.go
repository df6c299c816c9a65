package simulation

import (
	"slices"
	"time"
	"wingmount/policy"
)

const (
	// minResponsePart is the part of a destination's mean response time that each response takes.
	minResponsePart = 0.3
	// refusedConnectionTime is how long a refused connection takes.
	refusedConnectionTime = 2 * time.Millisecond
)

// startCall makes a call where the node's lease permits it, and schedules its outcome.
func (c *Cluster) startCall(n *node, call *outgoingCall, timeout time.Duration) {
	n.outstanding = append(n.outstanding, call)
	if c.control != nil && !c.permits(n, call.endpoint.destination) {
		c.block(n, call)
		return
	}
	c.Counts.Calls++
	if load, warmsUp := call.endpoint.destination.loadBy(c.now, n, c.config.Settings); warmsUp {
		c.Checker.checkOverload(call.endpoint.destination, load)
	}
	if c.control != nil {
		c.Checker.checkRate(c.now, n, call.endpoint.destination)
	}
	n.historyOf(call.endpoint.id).recordCall(c.now)
	outcome, ran := c.serve(call, timeout)
	if ran {
		for _, m := range call.messages {
			c.Checker.checkExecution(c.now, m, call.endpoint)
		}
	}
	c.afterOn(n, outcome.Duration, func() { c.completeCall(n, call, outcome) })
}

// serve has an endpoint serve a call. It returns the outcome, and whether the messages of the call ran.
func (c *Cluster) serve(call *outgoingCall, timeout time.Duration) (outcome policy.AttemptCompleted, ran bool) {
	e := call.endpoint
	d := e.destination
	outcome = policy.AttemptCompleted{
		Endpoint: e.id, Outcome: policy.Delivered,
		Duration: time.Duration(float64(d.ResponseTime) * (minResponsePart + (1-minResponsePart)*c.rng.ExpFloat64())),
	}
	d.refill(c.now)
	switch {
	case e.state == policy.Removed || e.health == Refusing:
		outcome.Outcome, outcome.Duration = policy.Unreachable, refusedConnectionTime
		return outcome, false
	case e.health == Silent:
		outcome.Outcome, outcome.Duration = policy.TimedOut, timeout
		return outcome, false
	case e.health == Failing:
		outcome.Outcome = policy.Failed
		return outcome, true
	case e.state == policy.Draining || d.tokens < 1 || d.recovery.overloaded(c.now):
		outcome.Outcome, outcome.Duration, outcome.RetryAfter = policy.RateLimited, rejectionTime, d.RetryAfter
		c.Counts.RateLimited++
		d.tokens = max(0, d.tokens-1)
		return outcome, false
	}
	d.tokens--
	if e.health == Slow {
		outcome.Duration = time.Duration(float64(slowResponseTime) * c.rng.ExpFloat64())
	}
	if c.rng.Float64() < c.config.ResponseLoss {
		outcome.Outcome = policy.Reset
	}
	if outcome.Duration > timeout {
		outcome.Outcome, outcome.Duration = policy.TimedOut, timeout
	}
	return outcome, true
}

// completeCall passes the outcome of a call to its node.
func (c *Cluster) completeCall(n *node, call *outgoingCall, outcome policy.AttemptCompleted) {
	n.outstanding = slices.DeleteFunc(n.outstanding, func(other *outgoingCall) bool { return other == call })
	n.historyOf(call.endpoint.id).recordOutcome(c.now, outcome.Outcome)
	c.Checker.observeOutcome(c.now, n, call.endpoint, outcome)
	c.Checker.checkResponse(n, call, outcome.Outcome)
	var events []policy.Event
	for _, m := range call.messages {
		c.completeAttempt(n, call, m, outcome.Outcome)
		attempt := outcome
		attempt.Message, attempt.Attempt, attempt.Final = m.id, m.attempts-1, m.completed
		events = append(events, attempt)
	}
	c.step(n, events...)
}

// completeAttempt takes the outcome of a message's attempt.
func (c *Cluster) completeAttempt(n *node, call *outgoingCall, m *message, outcome policy.Outcome) {
	m.inFlight = nil
	c.Checker.observeAttempt(c.now, n, m, outcome)
	switch outcome {
	case policy.RateLimited, policy.Unreachable, policy.NotSent:
		m.mayHaveRun = m.firstRunAt < call.sentAt // an earlier attempt may have run; this one did not
	case policy.Delivered:
		if !m.completed {
			m.completed = true
			c.Counts.Delivered++
			c.Counts.Value += c.value(m)
		}
	}
	if m.completed {
		delete(n.unfinished, m.id)
	}
}
