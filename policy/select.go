package policy

import "slices"

// This file selects the endpoint for a message, by the endpoint list, rate limits, health, idempotency, fees
// and load.

// selectEndpoint returns the endpoint for a message, or nil if the message must wait. Paths without a fee are
// preferred. A path with a fee is used if waiting for the others would cost more value than the fee.
func (s *Sender) selectEndpoint(m *message) *endpoint {
	var best *endpoint
	freeWait := s.waitForFreePath(m)
	for _, p := range m.dest.paths {
		if !s.allowsCall(p) {
			continue
		}
		if p.fee > 0 && freeWait >= 0 && !s.slotsScarce() {
			age := s.now - m.createdAt + p.latency.Mean
			if m.value.At(age)-m.value.At(age+freeWait) < p.fee*m.class.Value {
				continue
			}
		}
		for _, e := range p.endpoints {
			if s.canTake(e, m) && (best == nil || s.preferred(e, best, m)) {
				best = e
			}
		}
	}
	return best
}

// slotsScarce reports whether there are more than twice as many messages in flight as slots. Slot time then
// costs more than a fee, so the faster route is used.
func (s *Sender) slotsScarce() bool { return s.queues.deadline.Len() > 2*s.settings.Slots }

// preferred reports whether endpoint a is better than b for a message. The criteria, in order, are: not the
// endpoint at which the message just failed, not an outlier, the lower fee (if fees differ and slots are
// scarce, the lower latency), a due probe, fewer outstanding calls, the longer time since its last call.
func (s *Sender) preferred(a, b *endpoint, m *message) bool {
	if x, y := a == m.lastFailed, b == m.lastFailed; x != y {
		return y
	}
	if x, y := s.isOutlier(a), s.isOutlier(b); x != y {
		return y
	}
	if a.path.fee != b.path.fee {
		if s.slotsScarce() {
			return a.path.latency.Mean < b.path.latency.Mean
		}
		return a.path.fee < b.path.fee
	}
	if a.circuit.open != b.circuit.open {
		return a.circuit.open
	}
	if len(a.calls) != len(b.calls) {
		return len(a.calls) < len(b.calls)
	}
	return a.lastSentAt < b.lastSentAt
}

// canTake reports whether an endpoint may take a message now: a retry there is safe, the message may be used
// as a probe if it would be one, and the recovery ramp has capacity. Two kinds of senders need no ramp
// capacity for a probe: a probe leader, because no other sender probes, and a sender that receives no
// reports, because probeInterval keeps its probes within the ramp budget.
func (s *Sender) canTake(e *endpoint, m *message) bool {
	if !s.mayRetry(m, e) || (e.circuit.open || e.circuit.suspect) && !s.fitsProbe(m) || !s.isAvailable(e) {
		return false
	}
	if e.circuit.open {
		return e.circuit.probeLeader || !s.receivesReports() || s.rampAllows(e)
	}
	return !e.ramp.active || s.rampAllows(e)
}

// isAvailable reports whether an endpoint may take some message now, by the endpoint list and its health.
func (s *Sender) isAvailable(e *endpoint) bool {
	c := &e.circuit
	return s.permittedByList(e) && !s.isStalled(e) && (!c.open && !c.suspect || s.mayCallSuspects()) &&
		(!c.open || s.probeDue(e.path)) && (!c.suspect || len(e.calls) == 0)
}

// permittedByList reports whether the endpoint list permits calls to an endpoint. A draining endpoint gets
// calls only if its destination has no ready endpoint, and only for half of the drain grace, so that the
// calls end within it.
func (s *Sender) permittedByList(e *endpoint) bool {
	if e.state == Ready {
		return true
	}
	if e.state == Removed || s.now-e.stateChangedAt >= s.settings.DrainGrace/2 {
		return false
	}
	return !slices.ContainsFunc(e.path.dest.paths, func(p *path) bool { return p.countReady() > 0 })
}
