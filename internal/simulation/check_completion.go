package simulation

import (
	"slices"
	"time"
	"wingmount/policy"
)

const (
	// completionSlack is how long after its deadline a message may complete.
	completionSlack = 300 * time.Millisecond
	// catchUpTime is how long after a start deadlines may be missed.
	catchUpTime = 1500 * time.Millisecond
)

// observeInterruption records that a node's process ended or was paused, which gives the next one, or what continues,
// time to catch up. It notes when the interrupted process had started: one that started after a message was due had the
// message overdue at its own start, and its interruption excuses nothing.
func (c *Checker) observeInterruption(n *node) { c.interruptions[n] = n.startedAt }

// checkUndelivered evaluates a final response that is no delivery.
func (c *Checker) checkUndelivered(now policy.Time, n *node, m *message, rejected bool) {
	class := c.settings.Classes[m.class]
	if m.completed {
		c.report(RuleCompletion, "message %d completes twice", m.id)
	}
	repeatable := class.Repeat == policy.Idempotent || class.Repeat == policy.Deduplicated && class.GroupAll
	if rejected && m.mayHaveRun && !repeatable {
		c.report(RuleDuplicate, "message %d may have run and is rejected", m.id)
	}
	c.checkDeadline(now, n, m)
}

// checkDeadline evaluates whether a message completes in time.
func (c *Checker) checkDeadline(now policy.Time, n *node, m *message) {
	limit := m.deadline + completionSlack
	if interruptedSince, ok := c.interruptions[n]; ok && interruptedSince < limit {
		limit = max(limit, n.startedAt+catchUpTime)
	}
	if now > limit {
		c.LateCompletions++
		c.report(RuleCompletion, "message %d completes %v after its deadline", m.id, now-m.deadline)
	}
}

// checkResponse evaluates a response to a batch. The messages of a call have one outcome: a delivery that comes
// when one of them has completed comes after the call's timeout, and the destination does not count it for the
// others.
func (c *Checker) checkResponse(n *node, call *outgoingCall, outcome policy.Outcome) {
	if outcome != policy.Delivered || !slices.ContainsFunc(call.messages, func(m *message) bool { return m.completed }) {
		return
	}
	for _, m := range call.messages {
		if !m.completed {
			c.report(RuleCompletion, "node %d takes message %d for delivered by a response after the call's timeout", n.index, m.id)
		}
	}
}

// checkUnfinished evaluates a message that has not completed at the end of a run.
func (c *Checker) checkUnfinished(now policy.Time, n *node, m *message) {
	if !m.completed && n.up && now > m.deadline+completionSlack && now > n.startedAt+catchUpTime {
		c.report(RuleCompletion, "message %d of node %d never completes", m.id, n.index)
	}
}
