package admission

import "time"

const (
	// minStallDuration is the shortest duration of a round that counts as a stall of the engine.
	minStallDuration = 500 * time.Millisecond
	// minSaturatedUtilization is the lowest utilization that counts as saturated.
	minSaturatedUtilization = 0.9
	// stalledWait is the expected wait for a stalled engine; it is longer than any message may wait.
	stalledWait = 365 * 24 * time.Hour
	// nodeSampleDuration is the minimum duration of a sample of the delivery rate of the node.
	nodeSampleDuration = time.Second
	nodeSampleGain     = 0.5
)

// EngineLoad describes the load of the engine. The engine works in rounds: each round processes all events that
// arrived before it, decides on actions and executes them. Later events wait for the next round.
type EngineLoad struct {
	// Lag is how long the round in progress has lasted, or 0 between rounds. It is the longest time that an event for
	// the next round has waited so far; the event also waits for the rest of the round.
	Lag time.Duration
	// Utilization is the fraction of recent time that the engine spent in rounds, from 0 to 1.
	Utilization float64
}

func (l EngineLoad) stalled() bool { return l.Lag >= minStallDuration }

// saturated reports whether the engine processes events more slowly than they arrive, or is close to that.
func (l EngineLoad) saturated() bool {
	return l.stalled() || l.Utilization >= minSaturatedUtilization
}

// engineState is the state of the engine, which all destinations share.
type engineState struct {
	load              EngineLoad
	inFlightToFailing int  // messages in flight to failing destinations; they do not wait for the engine
	saturatedSince    Time // valid while the load is saturated

	sampleStart Time
	deliveries  int     // in the sample in progress
	perSecond   float64 // messages a second delivered by the node; 0 before the first complete sample

	retries retryPacer
}

// SetEngineLoad sets the current load of the engine.
func (c *Controller) SetEngineLoad(now Time, load EngineLoad) {
	e := &c.engine
	if load.saturated() && !e.load.saturated() {
		// Deliveries before the saturation were limited by arrivals and do not show the rate that the engine can
		// reach.
		e.saturatedSince, e.sampleStart, e.deliveries, e.perSecond = now, now, 0, 0
	}
	e.load = load
}

// observeDelivery adds a delivery to the sample in progress.
func (e *engineState) observeDelivery(now Time) {
	e.deliveries++
	duration := now - e.sampleStart
	if duration < nodeSampleDuration {
		return
	}
	sample := float64(e.deliveries) / duration.Seconds()
	if e.perSecond == 0 {
		e.perSecond = sample
	}
	e.perSecond += nodeSampleGain * (sample - e.perSecond)
	e.sampleStart, e.deliveries = now, 0
}

// rate returns the delivery rate of the node in messages a second, or 0 if it is unknown. Before the first complete
// sample it is the rate of the sample in progress, once that has lasted minSample.
func (e *engineState) rate(now Time) float64 {
	if duration := now - e.sampleStart; e.perSecond == 0 && duration >= minSample {
		return float64(e.deliveries) / duration.Seconds()
	}
	return e.perSecond
}

// expectedWait returns how long a further message waits for the engine, given the number of messages in flight. It is
// 0 unless the engine is saturated, and stalledWait while it is stalled. Otherwise it is the time to deliver the
// messages in flight to destinations that are not failing, at the delivery rate of the node. If the rate is unknown,
// the saturation is expected to last for as long as it has lasted so far.
func (e *engineState) expectedWait(now Time, inFlight int) time.Duration {
	if !e.load.saturated() {
		return 0
	}
	if e.load.stalled() {
		return stalledWait
	}
	rate := e.rate(now)
	if rate == 0 {
		return e.load.Lag + now - e.saturatedSince
	}
	return e.load.Lag + durationFromSeconds(float64(inFlight-e.inFlightToFailing)/rate)
}

// retryAfter returns the delay for a client whose message was rejected because its expected wait for the engine is too
// long by excess. A stall is expected to last for as long as it has lasted so far.
func (e *engineState) retryAfter(now Time, excess time.Duration) time.Duration {
	if e.load.stalled() {
		excess = e.load.Lag
	}
	return e.retries.next(now, excess, e.rate(now))
}
