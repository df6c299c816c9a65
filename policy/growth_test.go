package policy

import (
	"testing"
	"time"
)

// Endpoints are replaced repeatedly, and destinations are added and removed. If the sender kept state for removed ones,
// its memory would grow without bound.
func TestSenderEvictsRemovedEndpoints(t *testing.T) {
	set := Settings{
		Senders: 2, Slots: 8, MaxInFlight: 100, MaxAttempts: 6, Tick: 5 * time.Millisecond,
		DrainGrace: time.Second, InitialCapacity: 0.2, WarmUp: 14 * time.Second, OverloadFactor: 2, OverloadWindow: 1500 * time.Millisecond,
		Kinds: []Kind{{SeparateRoutes: true, MaxBatch: 5}, {MaxBatch: 1}},
		Classes: []Class{{
			Repeat: Deduplicated, GroupZone: true, DedupWindow: 5 * time.Second, SoftDeadline: 3 * time.Second,
			Deadline: 12 * time.Second, Value: 1, LateValue: 0.5,
		}},
	}
	s := New(set, 1)
	now, last := time.Hour, 0
	var id EndpointID
	var seq MessageID
	var actions []Action
	var events []Event
	for generation := range 300 {
		var entries []Entry
		for dest := range 8 {
			id++
			// Every 50 generations all destination numbers change too.
			entries = append(entries, Entry{Endpoint: id, Destination: dest + 8*(generation/50), Kind: dest % 2, State: Ready, Rate: 5})
		}
		events = append(events, EndpointUpdate{Complete: true, Entries: entries})
		for range 100 {
			seq++
			if seq%20 == 0 {
				events = append(events, Arrived{Message: seq, Destination: 8*(generation/50) + int(seq/20%8), GiveUpAt: now + 12*time.Second})
			}
			actions = s.Step(now, events, actions[:0])
			events = events[:0]
			now += 10 * time.Millisecond
			for _, a := range actions {
				if send, ok := a.(Send); ok {
					events = append(events, AttemptCompleted{Message: send.Message, Endpoint: send.Endpoint, Outcome: Delivered, Final: true, Duration: 10 * time.Millisecond})
				}
			}
		}
		if generation == 100 {
			last = countEndpoints(s)
		}
	}
	paths := 0
	for _, d := range s.registry.destinations {
		paths += len(d.paths)
		for _, p := range d.paths {
			for _, e := range p.endpoints {
				if e.health != nil && e.ramp.calls.Len() > 1 {
					t.Fatalf("got %d calls in the ramp window of an endpoint, want 1 at most", e.ramp.calls.Len())
				}
			}
		}
	}
	// 8 endpoints are added each second, and kept for as long as a message may wait.
	const most = 8 * 16
	endpoints := countEndpoints(s)
	if endpoints > most || endpoints > last+8 || paths > most {
		t.Errorf("got %d endpoints (%d after a third of the run) and %d paths after adding 2400 endpoints, want %d at most", endpoints, last, paths, most)
	}
	if n := len(s.registry.destinations); n > 24 || s.registry.unused.Len() > n {
		t.Errorf("got %d destinations and %d to be evicted after adding 48, want 24 at most", n, s.registry.unused.Len())
	}
	if s.queues.nonEmpty.Len() > len(s.registry.destinations) || s.slots.calling.Len() > set.Slots || s.registry.removed.Len() > endpoints {
		t.Errorf("got %d destinations with queues, %d endpoints with calls and %d removed endpoints, want at most %d destinations, %d slots and %d endpoints", s.queues.nonEmpty.Len(), s.slots.calling.Len(), s.registry.removed.Len(),
			len(s.registry.destinations), set.Slots, endpoints)
	}
	if len(s.queues.messages) > set.MaxInFlight || last == 0 {
		t.Errorf("got %d messages and %d endpoints after a third of the run, want %d messages at most and more than 0 endpoints", len(s.queues.messages), last, set.MaxInFlight)
	}
}
