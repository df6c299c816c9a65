package policy

import (
	"testing"
	"time"
)

// minStepTime returns the shortest measured duration of a step with a number of waiting messages. All endpoints are
// suspect and have the maximum number of outstanding calls, so that no message can be sent.
func minStepTime(messages int) time.Duration {
	set := testSettings()
	set.Slots, set.MaxInFlight = 20, 0
	s := New(set, 1)
	now := time.Hour
	var entries []Entry
	for i := range 16 {
		entries = append(entries, Entry{Endpoint: EndpointID(i + 1), Destination: i / 2, State: Ready})
	}
	s.Step(now, []Event{EndpointUpdate{Complete: true, Entries: entries}}, nil)
	for e := range s.registry.endpoints.All() {
		s.activate(e.path.dest)
		e.circuit.suspect = true
	}
	var events []Event
	for i := range messages {
		events = append(events, Arrived{Message: MessageID(i + 1), Destination: i % 8, GiveUpAt: now + time.Minute})
	}
	s.Step(now, events, nil)
	shortest := time.Hour
	for range 20 {
		now += set.Tick
		start := time.Now()
		s.Step(now, []Event{Woken{}}, nil)
		shortest = min(shortest, time.Since(start))
	}
	return shortest
}

// A step that compared each waiting message with all outstanding ones would take quadratic time. In an outage hundreds
// of messages wait, and a node has only a part of a core.
func TestStepTimeIsBoundedWithManyMessages(t *testing.T) {
	few, many := minStepTime(100), minStepTime(1600)
	if ratio := float64(many) / float64(few); ratio > 64 {
		t.Errorf("a step took %v with 100 messages and %v with 1600: got a ratio of %.0f, want 64 at most", few, many, ratio)
	}
}
