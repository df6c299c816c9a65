package admission

import "time"

const (
	// stallTime is for how long an engine is at one round before it counts as standing still.
	stallTime = 500 * time.Millisecond
	// saturatedBusy is the part of its time that a saturated engine is at work, at the least.
	saturatedBusy = 0.9
	// stalledWait is longer than any message may wait.
	stalledWait = 365 * 24 * time.Hour
	// nodeSample is over how long the node's rate is sampled.
	nodeSample = time.Second
	nodeGain   = 0.5
)

// EngineLoad is how an engine keeps up. It works in rounds: each takes in all that has come before it, decides
// and carries out. What comes meanwhile waits for the next.
type EngineLoad struct {
	// Lag is for how long the round has gone on that the engine is at: the oldest event that it has not taken
	// in waits for no longer. 0 between rounds.
	Lag time.Duration
	// Busy is the part of the time of late that the engine was at a round, 0 to 1.
	Busy float64
}

// saturated tells that an engine does not keep up, or is about not to.
func (l EngineLoad) saturated() bool { return l.Lag >= stallTime || l.Busy >= saturatedBusy }

// engine is what is known of the engine that all destinations share.
type engine struct {
	load     EngineLoad
	blocked  int  // messages held for destinations that fail: they do not wait for the engine
	since    Time // when it came to be saturated
	from     Time // when the sample under way began
	done     int  // delivered in it
	rate     float64
	promised Time // the last time that was told to a client
}

// SetEngineLoad tells how the engine keeps up.
func (c *Controller) SetEngineLoad(now Time, load EngineLoad) {
	e := &c.engine
	if load.saturated() && !e.load.saturated() {
		// What was delivered before tells nothing of what can be.
		e.since, e.from, e.done, e.rate = now, now, 0, 0
	}
	e.load = load
}

// hold counts messages that begin or cease to be held for a destination.
func (e *engine) hold(d *dest, n int) {
	if d.failing {
		e.blocked += n
	}
}

// setFailing notes whether a destination fails.
func (e *engine) setFailing(d *dest, failing bool) {
	if d.failing == failing {
		return
	}
	d.failing = failing
	if failing {
		e.blocked += d.total
	} else {
		e.blocked -= d.total
	}
}

// delivered counts for the sample under way.
func (e *engine) delivered(now Time) {
	e.done++
	over := now - e.from
	if over < nodeSample {
		return
	}
	sample := float64(e.done) / over.Seconds()
	if e.rate == 0 {
		e.rate = sample
	}
	e.rate += nodeGain * (sample - e.rate)
	e.from, e.done = now, 0
}

// pace is at which rate the node delivers, as far as it is known; 0 where it is not.
func (e *engine) pace(now Time) float64 {
	if over := now - e.from; e.rate == 0 && over >= SampleTime {
		return float64(e.done) / over.Seconds()
	}
	return e.rate
}

// wait foresees how long one more message waits for the engine, while the node holds so many: 0 where the
// engine keeps up, and longer than any message may where it stands still.
func (e *engine) wait(now Time, held int) time.Duration {
	if !e.load.saturated() {
		return 0
	}
	if e.load.Lag >= stallTime {
		return stalledWait
	}
	pace := e.pace(now)
	if pace == 0 {
		return e.load.Lag + now - e.since // taken to last as long again
	}
	return e.load.Lag + seconds(float64(held-e.blocked)/pace)
}

// promise is the time that a client is told which is turned away since it would have to wait for the engine for
// longer than it may, by so much. Clients come one after the other, as those of one destination do.
func (e *engine) promise(now Time, over time.Duration) time.Duration {
	if e.load.Lag >= stallTime {
		over = e.load.Lag // taken to last as long again
	}
	gap := time.Duration(0)
	if pace := e.pace(now); pace > 0 {
		gap = seconds(1 / pace)
	}
	at := min(max(now+over, e.promised+gap), now+MaxRetry)
	e.promised = at
	return max(leastRetry, at-now)
}
