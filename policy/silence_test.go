package policy

import (
	"slices"
	"testing"
	"time"
)

// Each endpoint of a path with many endpoints gets too few calls to show an outage by itself. If no endpoint of the path
// has answered for two overload windows, two timeouts must open and report the circuit of each endpoint with a timeout,
// but not that of an endpoint without a call. A recent answer of any endpoint, or a sender that has just started, means
// that single calls were lost: the circuits must then stay closed.
func TestUnresponsivePathOpensCircuits(t *testing.T) {
	for _, c := range []struct {
		name     string
		age      time.Duration // of the sender
		answered time.Duration // the time since the third endpoint answered; 0 for never
		open     []EndpointID
	}{
		{"no answer", time.Minute, 0, []EndpointID{1, 2}},
		{"answered long ago", time.Minute, 10 * time.Second, []EndpointID{1, 2}},
		{"one answers", time.Minute, 500 * time.Millisecond, nil},
		{"just started", time.Second, 0, nil},
	} {
		t.Run(c.name, func(t *testing.T) {
			set := testSettings()
			set.Senders, set.PeerMessages, set.RateAccuracy = 80, true, RateRough
			s := New(set, 1)
			now := time.Hour
			var entries []Entry
			for id := range EndpointID(3) {
				entries = append(entries, Entry{Endpoint: id + 1, State: Ready, Rate: 8000})
			}
			s.Step(now, []Event{EndpointUpdate{Complete: true, Entries: entries}, PeerMessage{Tag: 1, Event: PeerRecovered}}, nil)
			now += c.age
			if c.answered > 0 {
				s.activeEndpoint(3).circuit.lastSuccessAt = now - c.answered
			}
			var reported []Tag
			for id := EndpointID(1); id <= 2; id++ {
				e := s.activeEndpoint(id)
				k := &call{endpoint: e, sentAt: now, size: 1}
				s.now = now
				s.peers.lastReceivedAt = now // peers' reports arrive, so that this sender reports too
				s.recordOutcome(k, TimedOut, 0, time.Second)
				now += time.Millisecond
			}
			for _, a := range s.actions {
				if t, ok := a.(NotifyPeers); ok && t.Event == PeerDown {
					reported = append(reported, t.Tag)
				}
			}
			for id := EndpointID(1); id <= 3; id++ {
				want := slices.Contains(c.open, id)
				if open := s.activeEndpoint(id).circuit.open; open != want || slices.Contains(reported, TagOf(id)) != want {
					t.Errorf("endpoint %d: got circuit open %v and reported %v, want %v for both", id, open, slices.Contains(reported, TagOf(id)), want)
				}
			}
		})
	}
}
