package gossip

import (
	"time"
	"wingmount/decide/evidence"
	"wingmount/decide/membership"
)

// tally counts the calls in a window.
type tally struct {
	from, to      time.Duration
	calls, failed int
}

// observedEndpoint contains this node's observations of an endpoint and the state of its report on it.
type observedEndpoint struct {
	id                evidence.Endpoint
	current, previous tally
	down              bool          // state in the latest scheduled report
	recoveredAt       time.Duration // time of the last recovery that peers' reports showed
	failedSinceEffect bool          // a call of this node failed since the last Down effect

	report pendingReport
}

// pendingReport is the state of the report on an endpoint.
type pendingReport struct {
	queued        bool
	lastDue       time.Duration // due time of the latest scheduled report, even if never sent; 0 if none
	due           time.Duration // earliest time to send it
	contradictory bool          // it only contradicts a peer's report, so it is sent after all others
	recipients    []membership.Peer
	priority      priority
}

// recentCalls returns the calls of the current and the previous window. It omits the previous one if the gap between
// them is longer than both together.
func (o *observedEndpoint) recentCalls() tally {
	sum, previous := o.current, o.previous
	gap := sum.from - previous.to
	if previous.calls > 0 && gap <= sum.to-sum.from+previous.to-previous.from {
		sum.from = previous.from
		sum.calls += previous.calls
		sum.failed += previous.failed
	}
	return sum
}

// ObserveCall records the outcome of a call of this node and schedules a report if the endpoint's state changed, or
// if it still fails and RefreshInterval has passed.
func (c *Core) ObserveCall(now time.Duration, id evidence.Endpoint, began time.Duration, succeeded bool) {
	o := c.endpoints[id]
	if o == nil {
		return
	}
	c.evaluator.ObserveCall(now, id, began, succeeded)
	c.toAssess[id] = true
	o.count(now, succeeded, c.settings.Window)
	sum := o.recentCalls()
	down := 2*sum.failed > sum.calls
	changed := down != o.down
	if changed || down && now-o.report.lastDue >= c.settings.RefreshInterval {
		o.down = down
		c.schedule(now, o, false)
	}
}

// count adds a call to the current window. A success after a reported failure resets the counts, so that earlier
// failures no longer count.
func (o *observedEndpoint) count(now time.Duration, succeeded bool, window time.Duration) {
	switch {
	case succeeded && o.down:
		o.previous, o.current = tally{}, tally{from: now}
	case o.current.calls == 0 || now-o.current.from > window:
		o.previous, o.current = o.current, tally{from: now}
	}
	o.current.to = now
	o.current.calls++
	if !succeeded {
		o.current.failed++
		o.failedSinceEffect = true
	}
}

// contradicts reports whether this node's calls to an endpoint succeed although a peer reports failures, and this
// node has not reported on it for RefreshInterval. A report is then sent to all peers, which include those that
// received the peer's report.
func (c *Core) contradicts(now time.Duration, o *observedEndpoint) bool {
	if o == nil || o.down || o.current.calls == 0 || now-o.current.to > c.settings.Evidence.OwnSuccessTime {
		return false
	}
	return o.report.lastDue == 0 || now-o.report.lastDue >= c.settings.RefreshInterval
}
