package inflight

import (
	"sync/atomic"
	"time"
	"wingmount/decide/admission"
)

// minLoadMeasurement is the minimum interval over which the engine's utilization is measured.
const minLoadMeasurement = 250 * time.Millisecond

// engineRounds measures the engine's load. The engine writes startedAt and busy without a lock. The registry's lock guards
// the other fields.
type engineRounds struct {
	startedAt atomic.Int64 // start of the round in progress, in nanoseconds after the registry's origin; 0 for none
	busy      atomic.Int64 // total duration of the completed rounds, in nanoseconds

	measuredFrom time.Duration // start of the measurement in progress
	busyAtStart  time.Duration // time spent in rounds before measuredFrom
	utilization  float64       // result of the last completed measurement, 0 to 1
}

// RoundBegan records that the engine starts a round. It does not block.
func (r *Registry) RoundBegan() { r.rounds.startedAt.Store(max(1, int64(time.Since(r.origin)))) }

// RoundEnded records that the engine has executed the actions of its round. It does not block.
func (r *Registry) RoundEnded() {
	startedAt := r.rounds.startedAt.Swap(0)
	if startedAt > 0 {
		r.rounds.busy.Add(int64(time.Since(r.origin)) - startedAt)
	}
}

// load returns the engine's lag and utilization. Both include the time since the start of a round in progress. The
// caller holds the registry's lock.
func (e *engineRounds) load(now time.Duration) admission.EngineLoad {
	busy, lag := time.Duration(e.busy.Load()), time.Duration(0)
	if startedAt := time.Duration(e.startedAt.Load()); startedAt > 0 {
		lag = max(0, now-startedAt)
	}
	if duration := now - e.measuredFrom; duration >= minLoadMeasurement {
		e.utilization = max(0, min(1, float64(busy+lag-e.busyAtStart)/float64(duration)))
		e.measuredFrom, e.busyAtStart = now, busy+lag
	}
	return admission.EngineLoad{Lag: lag, Utilization: e.utilization}
}
