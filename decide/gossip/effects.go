package gossip

import (
	"time"
	"wingmount/decide/evidence"
)

// Effect is a change of an endpoint's state that peers' reports caused.
type Effect struct {
	Endpoint evidence.Endpoint
	Down     bool // a quorum reported failures; false means that it has recovered and slow start begins
	// ProbePause is how long this node sends no probes to an endpoint that peers report as down. All members together
	// send about one probe per Evidence.ProbeInterval, and each member at least one per 1.5 times Evidence.MaxAge.
	ProbePause time.Duration
}

// Effects returns the effects since the last call, in the order in which they occurred.
func (c *Core) Effects() []Effect {
	effects := c.effects
	c.effects = nil
	return effects
}

// assess updates the state of all suspected endpoints and of those with new reports or calls, and appends an effect
// for each change.
func (c *Core) assess(now time.Duration) {
	for id := range c.suspected {
		c.toAssess[id] = true
	}
	ids := sortedEndpoints(c.toAssess)
	clear(c.toAssess)
	for _, id := range ids {
		c.assessEndpoint(now, id)
	}
}

func (c *Core) assessEndpoint(now time.Duration, id evidence.Endpoint) {
	isSuspected, wasSuspected, o := c.evaluator.Assess(now, id).Suspected, c.suspected[id], c.endpoints[id]
	recovered := c.evaluator.Recovered(now, id) && (wasSuspected || o.down)
	switch {
	case recovered && o.recoveredAt > 0 && now-o.recoveredAt < c.settings.Window:
		c.toAssess[id] = true // at most one recovery per window
	case recovered:
		delete(c.suspected, id)
		// Peers observed the recovery first, so this node has nothing to report. The next failure counts as a change.
		o.down, o.previous, o.current, o.recoveredAt = false, tally{}, tally{}, now
		c.counts.Recovered++
		c.effects = append(c.effects, Effect{Endpoint: id})
	case isSuspected && (!wasSuspected || o.failedSinceEffect): // after a failed probe this node pauses again
		if !wasSuspected {
			c.counts.Suspected++
		}
		c.suspected[id], o.failedSinceEffect = true, false
		c.effects = append(c.effects, Effect{Endpoint: id, Down: true, ProbePause: c.probePause()})
	case !isSuspected:
		// The suspicion ended because a call of this node succeeded or because reports no longer suffice. There is no
		// effect: this node's own probes decide when it sends again.
		delete(c.suspected, id)
	}
}

// probePause returns a random pause of this node's probes, from half to one and a half times the mean.
func (c *Core) probePause() time.Duration {
	mean := min(c.settings.Evidence.MaxAge, time.Duration(len(c.present)+1)*c.settings.Evidence.ProbeInterval)
	return mean/2 + time.Duration(c.random.Int64N(int64(mean)))
}
