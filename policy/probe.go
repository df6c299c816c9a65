package policy

import (
	"slices"
	"time"
	"wingmount/internal/estimate"
)

// Another call to a suspect endpoint starts only while the messages in such calls are fewer than
// 1/suspectSlotDivisor of the slots, or fewer than half of them while half of all slots are idle. Each
// message of a batch counts as one slot: see mayCallSuspects.
const suspectSlotDivisor = 4

// unknownCount marks a count that must be computed again.
const unknownCount = -1

// probeDue reports whether a path may be probed now: probes are spaced, and at most one is outstanding.
func (s *Sender) probeDue(p *path) bool {
	probed := func(e *endpoint) bool { return e.circuit.open && len(e.calls) > 0 }
	return s.now >= p.nextProbeAt && !slices.ContainsFunc(p.endpoints, probed)
}

// fitsProbe reports whether a message may be sent to an endpoint that is suspect or probed. A timeout would
// end an AtMostOnce message, so such a message is used only after half of Class.Deadline.
func (s *Sender) fitsProbe(m *message) bool {
	return m.class.Repeat != AtMostOnce || s.now-m.createdAt > m.class.Deadline/2
}

// probeInterval returns the time between two probes of this sender: about an overload window for a probe
// leader that receives reports, and otherwise long enough that this sender stays within its ramp budget.
func (s *Sender) probeInterval(e *endpoint) time.Duration {
	interval := s.settings.OverloadWindow + estimate.Jitter(s.rng, s.settings.OverloadWindow/2)
	budget := s.rampBudget(e, s.warmUpFactor(s.now))
	if budget > 0 && (!e.circuit.probeLeader || !s.receivesReports()) {
		interval = max(interval, time.Duration(float64(s.settings.OverloadWindow)*s.drawJitter()/budget))
	}
	return interval
}

// inheritOutage opens the circuit of an endpoint that is added to a path that has an open circuit and no
// ready endpoint with a closed one. The new endpoint may be a replacement that is still warming up and must
// not get the full backlog of the outage, so it is probed first.
func (s *Sender) inheritOutage(e *endpoint) {
	anyOpen := false
	for _, sibling := range e.path.endpoints {
		if sibling != e && sibling.state == Ready && !sibling.circuit.open {
			return
		}
		anyOpen = anyOpen || sibling.circuit.open
	}
	e.circuit.open, e.circuit.openedAt = anyOpen, s.now
}

// mayCallSuspects reports whether one more call to an endpoint that is suspect or whose circuit is open may
// start. Most slots stay free for healthy endpoints, even if many calls to the others hang. While half of the
// slots are idle, the messages in calls to suspect endpoints may number up to half of all slots: single calls
// get lost anywhere, so an endpoint that is suspect is often healthy.
func (s *Sender) mayCallSuspects() bool {
	if s.slots.suspectMessages == unknownCount {
		s.slots.suspectMessages = s.countSuspectMessages()
	}
	n, slots := s.slots.suspectMessages, s.settings.Slots
	return n < max(1, slots/suspectSlotDivisor) || n < slots/2 && s.slots.outstanding <= slots/2
}

// countSuspectMessages counts the messages in calls to endpoints that are suspect, stalled or have an open
// circuit.
func (s *Sender) countSuspectMessages() (n int) {
	for _, e := range s.slots.calling.Values() {
		if e.circuit.open || e.circuit.suspect || s.isStalled(e) {
			for _, c := range e.calls {
				n += c.unfinished
			}
		}
	}
	return n
}
