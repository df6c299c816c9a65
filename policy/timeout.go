package policy

import (
	"slices"
	"time"
)

const (
	// initialLatency is the assumed latency of a path before any response.
	initialLatency = 500 * time.Millisecond
	// A timeout is the mean latency plus timeoutDeviations deviations. It is doubled while half of the slots
	// are idle, because a call whose response comes too late is wasted.
	timeoutDeviations = 5
	// A timeout is at least minTimeoutLatencies latencies, but this minimum is at most maxTimeoutFloor: a
	// lost call occupies its slot until the timeout. Settings.MinTimeout is an additional minimum.
	maxTimeoutFloor     = 1600 * time.Millisecond
	minTimeoutLatencies = 8
	// maxTimeoutDoublings limits the doublings for timeouts in a row.
	maxTimeoutDoublings = 4
	// batchItemCost is the time that each further message adds to a call, as a fraction of the duration of a
	// call with one message.
	batchItemCost = 0.2

	// An endpoint is stalled while a call has had no response for stallLatencies latencies, and for at least
	// minStallTime.
	stallLatencies = 4
	minStallTime   = 500 * time.Millisecond
)

// batchCost returns the expected duration of a call with size messages, relative to a call with one.
func batchCost(size int) float64 { return 1 + batchItemCost*float64(size-1) }

// attemptTimeout returns the timeout of an attempt at a message in a call with size messages. It is long
// enough not to discard a response that is on its way. It doubles with each timeout in a row, because a slow
// endpoint cannot be distinguished at first from one that does not respond.
func (s *Sender) attemptTimeout(e *endpoint, m *message, size int) time.Duration {
	latency := &e.path.latency
	deviation := max(latency.Deviation, latency.Mean/4)
	if e.path.successes.Total == 0 {
		deviation = initialLatency
	}
	expected := float64(latency.Mean + timeoutDeviations*deviation)
	expected *= max(1, s.slots.relativeLatency)
	expected *= batchCost(size)
	if s.slots.outstanding <= s.settings.Slots/2 {
		expected *= 2
	}
	if e.ramp.active {
		expected /= s.warmUpFactor(e.ramp.startedAt)
	}
	least := min(maxTimeoutFloor, minTimeoutLatencies*latency.Mean)
	first := max(least, time.Duration(expected), s.settings.MinTimeout)
	longest := max(first, (m.class.Deadline-m.class.SoftDeadline)/4)
	timeout := min(first<<min(e.circuit.consecutiveTimeouts, maxTimeoutDoublings), longest)
	if m.class.Repeat == AtMostOnce {
		// A timeout ends the message, which can then be neither sent again nor rejected. A failed connection
		// proves that the attempt did not run, so the timeout must not expire before ConnectTimeout.
		timeout = 2*timeout + s.settings.ConnectTimeout
	}
	return timeout
}

// isStalled reports whether a call to an endpoint has been outstanding for longer than its stall limit
// (stallLatencies, minStallTime), with no success of the endpoint since it was sent. A stall is detected
// before the call times out, and ended by a single late success.
func (s *Sender) isStalled(e *endpoint) bool {
	limit := stallLatencies * max(1, s.slots.relativeLatency) * float64(e.path.latency.Mean)
	return slices.ContainsFunc(e.calls, func(c *call) bool {
		allowed := max(minStallTime, time.Duration(limit*batchCost(c.size)))
		return s.now-c.sentAt > allowed && e.circuit.lastSuccessAt <= c.sentAt
	})
}
