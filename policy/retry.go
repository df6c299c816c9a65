package policy

import (
	"slices"
	"time"
	"wingmount/internal/estimate"
)

const (
	// The backoff is backoffBase after the first failed attempt at a message, and doubles with each further
	// one up to backoffMax.
	backoffBase, backoffMax = 200 * time.Millisecond, 4 * time.Second
	// maxBackoffDoublings keeps the doubled backoff from overflowing.
	maxBackoffDoublings = 10
)

// mayRetry reports whether a message may be sent to an endpoint after its earlier attempts. If one of them
// may have run, a repeat is safe only for Idempotent messages, and for endpoints that drop repeats.
func (s *Sender) mayRetry(m *message, e *endpoint) bool {
	if m.call != nil || m.done || s.cannotRetry(m) {
		return false
	}
	unrestricted := !m.mayHaveRun || m.class.Repeat == Idempotent
	return unrestricted || m.class.GroupAll || m.class.GroupZone && e.zone == m.firstRunZone
}

// cannotRetry reports whether a message may no longer be sent to any endpoint, because an attempt may have
// run.
func (s *Sender) cannotRetry(m *message) bool {
	return m.mayHaveRun && (m.class.Repeat == AtMostOnce ||
		m.class.Repeat == Deduplicated && s.now-m.firstRunAt >= m.class.DedupWindow)
}

// mayReject reports whether a message may be rejected. A rejection promises the client that it is safe to
// submit the message again.
func (s *Sender) mayReject(m *message) bool {
	return !m.mayHaveRun || m.class.Repeat == Idempotent || m.class.Repeat == Deduplicated && m.class.GroupAll
}

// isReady reports whether a message may be attempted now, regardless of endpoints: no attempt is outstanding,
// its backoff is over, it has attempts and time left, it is the first message of its key, and the key is not
// cooling down if this is the first attempt.
func (s *Sender) isReady(m *message) bool {
	if m.call != nil || m.done || s.now < m.notBefore || m.attempts >= s.settings.MaxAttempts ||
		s.giveUpTime(m)-s.now <= 2*s.settings.Tick {
		return false
	}
	return m.key.IsFirst(m) && (m.attempts > 0 || !m.key.CoolingDown(s.now))
}

// backoff returns the delay before the next attempt after a number of attempts, with jitter.
func (s *Sender) backoff(attempts int) time.Duration {
	backoff := min(backoffMax, backoffBase<<min(attempts-1, maxBackoffDoublings))
	return backoff/2 + estimate.Jitter(s.rng, backoff/2)
}

// startAttempt moves a message from its queue into a call.
func (s *Sender) startAttempt(m *message, c *call) {
	c.size++
	c.unfinished++
	m.call = c
	m.attempts++
	if !m.mayHaveRun {
		m.mayHaveRun, m.firstRunAt, m.firstRunZone = true, s.now, c.endpoint.zone
	}
	s.dequeue(m)
}

// completeAttempt applies the outcome of an attempt to its call, its endpoint and its message. The message is
// then done, or queued again.
func (s *Sender) completeAttempt(completed AttemptCompleted) {
	m := s.queues.messages[completed.Message]
	if m == nil || m.call == nil {
		return
	}
	c := m.call
	m.call = nil
	s.completeCall(c, completed)
	s.updateMayHaveRun(m, completed.Outcome)
	switch {
	case !m.done && (completed.Final || completed.Outcome == Delivered):
		s.finish(m)
	case m.done:
		s.remove(m)
	default:
		m.lastFailed = nil
		if completed.Outcome != RateLimited && completed.Outcome != NotSent {
			m.lastFailed = c.endpoint
			m.notBefore = s.now + s.backoff(m.attempts)
		}
		s.enqueue(m)
	}
}

// completeCall applies the outcome of one of a call's attempts. Only the call's first outcome that is neither
// NotSent, nor Cancelled, nor due to a stale connection counts for the endpoint's health. Each Retry-After
// counts, because the messages of a call may complete at different times.
func (s *Sender) completeCall(c *call, completed AttemptCompleted) {
	if c.unfinished--; c.unfinished == 0 {
		s.releaseCall(c)
	}
	wasMade := completed.Outcome != NotSent && completed.Outcome != Cancelled
	if !c.recorded && wasMade && !completed.StaleConnection {
		c.recorded = true
		s.recordOutcome(c, completed.Outcome, completed.RetryAfter, completed.Duration)
	}
	if completed.RetryAfter > 0 {
		c.endpoint.path.limiter.blockUntil(s.now + completed.RetryAfter)
	}
}

// updateMayHaveRun records whether a completed attempt at a message may have run. If it may still run, the
// cooldown of the message's key begins.
func (s *Sender) updateMayHaveRun(m *message, outcome Outcome) {
	switch outcome {
	case RateLimited, Unreachable, NotSent: // it did not run
		if !m.earlierMayHaveRun {
			m.mayHaveRun = false
		}
	case TimedOut, Reset, Cancelled:
		m.earlierMayHaveRun = true
		m.key.CoolDown(s.now + s.settings.KeyCooldown)
	default:
		m.earlierMayHaveRun = true
	}
}

// releaseCall removes a completed call from its endpoint.
func (s *Sender) releaseCall(c *call) {
	e := c.endpoint
	e.calls = slices.DeleteFunc(e.calls, func(o *call) bool { return o == c })
	if len(e.calls) == 0 {
		s.slots.calling.Remove(uint64(e.id))
	}
	s.addOutstanding(e.path, -1)
}

// addOutstanding adds n to the numbers of outstanding calls of a path, of its destination and in total.
func (s *Sender) addOutstanding(p *path, n int) {
	s.slots.outstanding += n
	p.outstanding += n
	p.dest.outstanding += n
}
