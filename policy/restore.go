package policy

import "cmp"

// restoreHealth applies the observations about an endpoint that the node made before it restarted. Its calls
// still count for the rate limit. The circuit of an endpoint that had not recovered is opened, so that a
// restored backlog waits for a probe. An endpoint that recovered less than a warm-up time ago continues its
// recovery ramp.
func (s *Sender) restoreHealth(r HealthRestored) {
	e := s.findEndpoint(r.Endpoint)
	if e == nil {
		return
	}
	p := e.path
	s.activate(p.dest)
	p.limiter.restoreCalls(s.now, r.CallTimes)
	switch {
	case !r.Failed:
	case !r.Recovered:
		e.circuit.restore(s.now, r.FailedAt)
		p.nextProbeAt = max(p.nextProbeAt, s.now+s.probeInterval(e))
	case s.warmUpFactor(r.RecoveredAt) < 1:
		e.ramp.start(r.RecoveredAt)
		e.circuit.unhealthySince = cmp.Or(e.circuit.unhealthySince, r.FailedAt)
		e.ramp.calls.Insert(r.CallTimes)
	}
}
