package policy

import (
	"testing"
	"time"
)

// An outage can cause rejections, of calls before the circuit opens and of probes afterwards. If they cut the shared
// quota, the destination would get too few calls after the outage. Opening the circuit must therefore undo the recent
// cuts, and rejections while it is open must not cut the quota.
func TestRejectionsDuringOutageDoNotCutQuota(t *testing.T) {
	set := testSettings()
	set.Senders, set.PeerMessages, set.RateAccuracy = 80, true, RateRough
	s := New(set, 1)
	now := time.Hour
	s.Step(now, []Event{EndpointUpdate{Complete: true, Entries: []Entry{{Endpoint: 1, State: Ready, Rate: 60}}}}, nil)
	e := s.activeEndpoint(1)
	rate := func() float64 {
		r, _ := e.path.limiter.quota.Rate(now)
		return r
	}
	healthy := rate()
	for range 20 { // rejections that peers report
		now += 20 * time.Millisecond
		s.Step(now, []Event{PeerMessage{Tag: TagOf(1), Event: PeerRateLimited}}, nil)
	}
	congested := rate()
	if congested > 0.8*healthy || e.circuit.open {
		t.Fatalf("rate %v before and %v after twenty rejections, circuit open %v; want a rate cut by 20%% and a closed circuit", healthy, congested, e.circuit.open)
	}
	s.Step(now, []Event{PeerMessage{Tag: TagOf(1), Event: PeerDown}}, nil)
	if r := rate(); !e.circuit.open || r < 0.9*healthy {
		t.Errorf("after a report of an outage: got circuit open %v and rate %v, want it open and the former rate %v", e.circuit.open, r, healthy)
	}
	for range 20 { // rejected probes of peers
		now += 20 * time.Millisecond
		s.Step(now, []Event{PeerMessage{Tag: TagOf(1), Event: PeerRateLimited}}, nil)
	}
	if r := rate(); r < 0.9*healthy {
		t.Errorf("got rate %v after rejected probes, want %v", r, healthy)
	}
}
