package policy

import (
	"time"
	"wingmount/internal/container"
	"wingmount/internal/estimate"
)

const (
	// rampMargin is the fraction of the overload threshold that a ramp budget uses. The rest is for calls
	// that are outstanding when the endpoint recovers, and for senders that did not notice the outage.
	rampMargin = 0.85
	// minDestinationRate is the rate that any destination is assumed to sustain once it has warmed up, in
	// calls a second of all senders together. With less, small destinations would hardly be probed.
	minDestinationRate = 6
	// minInitialCapacity keeps the warm-up factor above 0.
	minInitialCapacity = 0.01
)

// recoveryRamp limits the calls to an endpoint that has recovered from an outage and may still be warming up.
type recoveryRamp struct {
	active    bool
	startedAt Time             // when its recovery was first observed
	calls     container.Window // contains only the last call
	jitter    float64          // random factor on the time until the next call, with its batch cost
}

// start begins a ramp.
func (r *recoveryRamp) start(now Time) { r.active, r.startedAt = true, now }

// warmUpFactor returns a lower bound of the fraction of its capacity that a destination has now if it
// recovered at recoveredAt.
func (s *Sender) warmUpFactor(recoveredAt Time) float64 {
	initial := max(minInitialCapacity, s.settings.InitialCapacity)
	return estimate.WarmUpFactor(s.now-recoveredAt, s.settings.WarmUp, initial)
}

// rampBudget returns how many calls in an overload window this sender may make to a path that may be warming
// up, at a warm-up factor. The budget is proportional to the largest of three rates: this sender's share of
// the minimum rate that the path sustains, the rate at which the path accepted this sender's calls, and one
// call in the time over which the messages of the outage accumulated. The budgets of all senders together
// stay below the overload threshold although the senders do not coordinate: see the proof in
// docs/design/core.md. 0 means that the settings have no overload threshold.
func (s *Sender) rampBudget(e *endpoint, warmUpFactor float64) float64 {
	l := &e.path.limiter
	safeRate := max(l.safeRate, minDestinationRate/float64(s.settings.Senders))
	outage := max(s.settings.OverloadWindow, s.now-e.circuit.unhealthySince)
	accumulation := min(s.maxMessageAge, outage).Seconds()
	threshold := rampMargin * s.settings.OverloadFactor * warmUpFactor * s.settings.OverloadWindow.Seconds()
	return threshold * max(safeRate, l.quota.Cap(s.ownRate(e.path)), 1/accumulation)
}

// rampAllows reports whether an endpoint that may be warming up may get a call. It divides the budget by the
// maximum number of the path's endpoints that were ready at the same time, because this endpoint may be the
// only one that has recovered. The budget is applied as a time between two calls, which avoids rounding to an
// integer.
func (s *Sender) rampAllows(e *endpoint) bool {
	recoveredAt := s.now
	if e.ramp.active {
		recoveredAt = e.ramp.startedAt
	}
	budget := s.rampBudget(e, s.warmUpFactor(recoveredAt)) / float64(e.path.maxReady)
	if budget <= 0 {
		return true
	}
	windowsPerCall := 1 / budget
	if budget < 1 {
		windowsPerCall = max(1, e.ramp.jitter/budget)
	}
	e.ramp.calls.Span = time.Duration(float64(s.settings.OverloadWindow) * windowsPerCall)
	return e.ramp.calls.Count(s.now) < 1
}

// countReportAsCall counts a received report as a call to the endpoint. All senders receive the report at
// about the same time, and would otherwise all call the endpoint at that time.
func (s *Sender) countReportAsCall(e *endpoint) {
	e.ramp.jitter = s.rng.Float64()
	e.ramp.calls.RecordOnly(s.now)
}

// ownRate returns the rate at which a path accepted calls of this sender, in calls a second. The rates of all
// senders add up to the rate that the path accepted.
func (s *Sender) ownRate(p *path) float64 {
	return p.successes.SenderShare(s.now-s.startedAt, s.settings.Senders)
}
