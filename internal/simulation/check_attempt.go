package simulation

import (
	"time"
	"wingmount/policy"
)

const (
	// networkSlack is by how much each time limit is extended over a network.
	networkSlack = 50 * time.Millisecond
	// crossingSlack permits calls that were under way when a Retry-After came.
	crossingSlack = 100 * time.Millisecond
	// maxAttempts is how many attempts a message may have.
	maxAttempts = 6
)

// retryWait is the time in which a node must not call a destination.
type retryWait struct{ receivedAt, until policy.Time }

// execution is a message in a group of endpoints that drop duplicates together.
type execution struct {
	message policy.MessageID
	zone    int // allZones where all endpoints do
}

// allZones is the group of all endpoints.
const allZones = -1

// observeWithdrawal records that a node must know that an endpoint drains or is removed.
func (c *Checker) observeWithdrawal(now policy.Time, n *node, e *endpoint) {
	key := nodeEndpoint{n, e.id}
	if _, ok := c.withdrawals[key]; !ok {
		c.withdrawals[key] = now
	}
}

// checkAttempt evaluates the rules on an attempt, before it is made.
func (c *Checker) checkAttempt(now policy.Time, n *node, m *message, e *endpoint) {
	c.checkRepetition(now, m, e)
	if at, ok := c.withdrawals[nodeEndpoint{n, e.id}]; ok && now-at > c.settings.DrainGrace+networkSlack {
		c.report(RuleDrain, "node %d sends to endpoint %d %v after it knew of its removal", n.index, e.id, now-at)
	}
	wait, ok := c.retryWaits[nodeDestination{n, e.destination}]
	if ok && now < wait.until && now > wait.receivedAt+crossingSlack {
		c.report(RuleRetryAfter, "node %d sends %v before the end of a Retry-After", n.index, wait.until-now)
	}
	if c.settings.Classes[m.class].Ordered {
		c.checkOrder(now, n, m)
	}
}

// checkRepetition evaluates whether a message may have another attempt.
func (c *Checker) checkRepetition(now policy.Time, m *message, e *endpoint) {
	class := c.settings.Classes[m.class]
	deduplicated := m.mayHaveRun && class.Repeat == policy.Deduplicated
	switch {
	case m.inFlight != nil:
		c.report(RuleDuplicate, "message %d has two attempts in flight", m.id)
	case m.completed:
		c.report(RuleDuplicate, "message %d is sent after its completion", m.id)
	case m.attempts >= maxAttempts:
		c.report(RuleDuplicate, "message %d has more than %d attempts", m.id, maxAttempts)
	case m.mayHaveRun && class.Repeat == policy.AtMostOnce:
		c.report(RuleDuplicate, "message %d may have run and is sent again", m.id)
	case deduplicated && now-m.firstRunAt > class.DedupWindow+networkSlack:
		c.report(RuleDuplicate, "message %d is sent again %v after it may have run", m.id, now-m.firstRunAt)
	case deduplicated && class.GroupZone && e.zone != m.firstRunZone:
		c.report(RuleDuplicate, "message %d is sent again in another zone", m.id)
	case now > m.deadline+completionSlack:
		c.report(RuleCompletion, "message %d is sent after its deadline", m.id)
	}
}

// checkExecution evaluates whether a message that runs may have run before.
func (c *Checker) checkExecution(now policy.Time, m *message, e *endpoint) {
	class := c.settings.Classes[m.class]
	c.Executions++
	if class.Repeat == policy.Idempotent {
		return
	}
	key := execution{m.id, e.zone}
	if class.GroupAll {
		key.zone = allZones
	}
	firstAt, repeated := c.firstRuns[key]
	elsewhere := (class.Repeat == policy.AtMostOnce || class.GroupZone) && c.ranInOtherZone(m, e)
	if elsewhere || repeated && (class.Repeat == policy.AtMostOnce || now-firstAt > class.DedupWindow+networkSlack) {
		c.report(RuleDuplicate, "message %d is executed twice", m.id)
	}
	if !repeated {
		c.firstRuns[key] = now
	}
}

// ranInOtherZone reports whether a message ran in a zone other than that of an endpoint.
func (c *Checker) ranInOtherZone(m *message, e *endpoint) bool {
	for zone := range zones {
		if _, ran := c.firstRuns[execution{m.id, zone}]; ran && zone != e.zone {
			return true
		}
	}
	return false
}

// observeOutcome records what a node learns from the outcome of a call.
func (c *Checker) observeOutcome(now policy.Time, n *node, e *endpoint, o policy.AttemptCompleted) {
	if o.RetryAfter > 0 {
		key := nodeDestination{n, e.destination}
		if until := now + o.RetryAfter; until > c.retryWaits[key].until {
			c.retryWaits[key] = retryWait{now, until}
		}
	}
	if e.destination.recovery.down && o.Outcome != policy.Delivered {
		c.outageOf(e.destination).witnesses[n] = true
	}
}
