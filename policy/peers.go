package policy

import (
	"time"
)

// peerReports contains the times of the last reports from and to the other senders.
type peerReports struct {
	lastReceivedAt, lastSentAt Time // or 0
}

// receivesReports reports whether a peer's report has arrived recently. Otherwise this sender must assume
// that its own reports are lost as well, and must not act as the only prober of an endpoint.
func (s *Sender) receivesReports() bool {
	return s.peers.lastReceivedAt > 0 && s.now-s.peers.lastReceivedAt < s.settings.OverloadWindow
}

// reportToPeers reports an event to the other senders if that is allowed, and returns whether it did. While
// no reports arrive, the rate of all senders together is limited to one a tick: each report goes to all
// senders, and in a network outage hundreds would be lost anyway.
func (s *Sender) reportToPeers(e *endpoint, event PeerEvent) bool {
	interval := time.Duration(s.settings.Senders) * s.settings.Tick
	allowed := s.settings.PeerMessages && (s.receivesReports() || s.now-s.peers.lastSentAt >= interval)
	if allowed {
		s.peers.lastSentAt = s.now
		s.actions = append(s.actions, NotifyPeers{Tag: TagOf(e.id), Event: event})
	}
	return allowed
}

// receiveReport applies another sender's observation about an endpoint.
func (s *Sender) receiveReport(report PeerMessage) {
	e := s.registry.endpoints.Current(report.Tag)
	if report.Endpoint != 0 {
		e = s.findEndpoint(report.Endpoint)
	}
	if e != nil {
		s.activate(e.path.dest)
	}
	s.peers.lastReceivedAt = s.now
	if e == nil {
		return
	}
	switch report.Event {
	case PeerRateLimited:
		s.applyRejectionReport(e)
	case PeerDown:
		s.applyOutageReport(e, report.ProbeDelay)
	default:
		if e.circuit.open || e.circuit.suspect {
			s.closeCircuit(e, report.Event)
			s.countReportAsCall(e)
			e.circuit.reset()
		}
	}
}

// applyRejectionReport applies a reported rejection of another sender's call. It has no effect on a rate that
// is assigned to this sender.
func (s *Sender) applyRejectionReport(e *endpoint) {
	l := &e.path.limiter
	switch {
	case l.quota.Exclusive():
	case l.quota != nil:
		s.recordQuotaRejection(e, false)
	case l.allotment <= 1 || !l.limited() && s.expectedRate(e.path) <= 1/narrowWindow.Seconds():
		s.pauseForCongestion(l)
	}
}

// applyOutageReport opens the circuit of an endpoint, unless this sender has just had a success. For at least
// probeDelay only other senders probe the endpoint. After that this sender sends rare probes of its own,
// because reports get lost.
func (s *Sender) applyOutageReport(e *endpoint, probeDelay time.Duration) {
	c := &e.circuit
	if c.open && probeDelay == 0 || s.now-c.lastSuccessAt < recentSuccessTime && c.lastSuccessAt > 0 {
		return
	}
	if !c.open {
		s.openCircuit(e, false)
		s.countReportAsCall(e)
	}
	e.path.nextProbeAt = s.now + max(probeDelay, s.probeInterval(e))
}
