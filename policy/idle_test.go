package policy

import (
	"fmt"
	"math/rand/v2"
	"reflect"
	"runtime"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// maxIdleBytes bounds the memory of an idle destination with one endpoint.
const maxIdleBytes = 300

// destinationCounts lists the numbers of destinations for which memory is measured.
var destinationCounts = []int{1_000, 10_000, 60_000, 170_000}

// singleEndpointList returns a complete endpoint list of a number of destinations with one endpoint each.
func singleEndpointList(destinations int, rate float64) EndpointUpdate {
	list := EndpointUpdate{Complete: true}
	for i := range destinations {
		list.Entries = append(list.Entries, Entry{Endpoint: EndpointID(i + 1), Destination: i, State: Ready, Rate: 100, AssignedRate: rate})
	}
	return list
}

// heapBytes returns the size of the heap after garbage collection.
func heapBytes() float64 {
	var stats runtime.MemStats
	runtime.GC()
	runtime.GC() // collects objects that were finalized in the first collection
	runtime.ReadMemStats(&stats)
	return float64(stats.HeapAlloc)
}

// The endpoint list may contain 170,000 destinations, of which most have no messages. Such an idle destination must take
// few bytes, whatever the number of destinations and senders. It must not be in the sets that each step iterates over,
// and must request no wake-up.
func TestIdleDestinationMemoryIsBounded(t *testing.T) {
	for _, c := range []struct {
		senders int
		rate    float64
	}{{1, 0}, {1500, 0}, {1500, 5}} {
		for _, n := range destinationCounts {
			t.Run(fmt.Sprintf("senders=%d/rate=%v/destinations=%d", c.senders, c.rate, n), func(t *testing.T) {
				set := testSettings()
				set.Senders, set.RateAccuracy, set.PeerMessages = c.senders, RateRough, true
				s := New(set, 1)
				before := heapBytes()
				actions := s.Step(time.Hour, []Event{singleEndpointList(n, c.rate)}, nil)
				bytes := (heapBytes() - before) / float64(n)
				t.Logf("%.0f bytes for each of %d idle destinations", bytes, n)
				if bytes > maxIdleBytes {
					t.Errorf("got %.0f bytes for an idle destination, want %d at most", bytes, maxIdleBytes)
				}
				if len(actions) > 0 || s.queues.nonEmpty.Len()+s.slots.calling.Len()+s.registry.removed.Len()+s.registry.unused.Len() > 0 {
					t.Errorf("got actions %v, or idle destinations in the sets that a step iterates over, want neither", actions)
				}
				runtime.KeepAlive(s)
			})
		}
	}
}

// A destination that has had a message retains its measurements of calls (traffic, health). Their memory must be bounded.
func TestUsedDestinationMemoryIsBounded(t *testing.T) {
	const n, maxUsedBytes = 20_000, 1_200
	set := testSettings()
	set.MaxInFlight, set.Senders, set.RateAccuracy = 0, 1500, RateRough
	s := New(set, 1)
	now := time.Hour
	before := heapBytes()
	s.Step(now, []Event{singleEndpointList(n, 0)}, nil)
	for i := range n {
		now += set.Tick
		id := MessageID(i + 1)
		for _, a := range s.Step(now, []Event{Arrived{Message: id, Destination: i, GiveUpAt: now + time.Second}}, nil) {
			if send, ok := a.(Send); ok {
				s.Step(now, []Event{AttemptCompleted{Message: send.Message, Endpoint: send.Endpoint, Outcome: Delivered, Duration: time.Millisecond}}, nil)
			}
		}
	}
	now += time.Minute
	s.Step(now, []Event{Woken{}}, nil)
	bytes := (heapBytes() - before) / n
	t.Logf("%.0f bytes for each of %d destinations that were used once", bytes, n)
	if bytes > maxUsedBytes || len(s.queues.messages) > 0 {
		t.Errorf("got %.0f bytes for a used destination and %d messages, want %d bytes at most and 0 messages", bytes, len(s.queues.messages), maxUsedBytes)
	}
	runtime.KeepAlive(s)
}

// A change of an idle destination's assigned rate does not activate the destination. Its first messages must be limited by
// the latest rate, and not sent at all under NoCalls.
func TestIdleDestinationAppliesLatestAssignedRate(t *testing.T) {
	set := testSettings()
	s := New(set, 1)
	now := time.Hour
	for _, rate := range []float64{0, 5, NoCalls, 1} {
		s.Step(now, []Event{singleEndpointList(1, rate)}, nil)
		now += time.Minute
	}
	if s.registry.destinations[0].active {
		t.Fatal("got a destination activated by the endpoint list, want it idle")
	}
	calls := 0
	for id := range MessageID(20) {
		for _, a := range s.Step(now, []Event{Arrived{Message: id, GiveUpAt: now + time.Second}}, nil) {
			if send, ok := a.(Send); ok {
				calls++
				s.Step(now, []Event{AttemptCompleted{Message: send.Message, Endpoint: send.Endpoint, Duration: time.Millisecond}}, nil)
			}
		}
		now += 100 * time.Millisecond
	}
	if calls != 2 {
		t.Errorf("got %d calls in 2 s at an assigned rate of 1 a second, want 2", calls)
	}
	s = New(set, 1)
	s.Step(now, []Event{singleEndpointList(1, 5)}, nil)
	s.Step(now, []Event{singleEndpointList(1, NoCalls)}, nil)
	for _, a := range s.Step(now, []Event{Arrived{Message: 1, GiveUpAt: now + time.Second}}, nil) {
		if send, ok := a.(Send); ok {
			t.Errorf("got %+v under NoCalls, want no send", send)
		}
	}
}

// If each destination that had a message kept its backlog, memory would grow with the number of destinations. The backlog
// must be released with the last message, and only maxSpareBacklogs may be kept for reuse.
func TestBacklogIsFreedWithLastMessage(t *testing.T) {
	set := testSettings()
	set.MaxInFlight = 0
	s := New(set, 1)
	now := time.Hour
	s.Step(now, []Event{singleEndpointList(3*maxSpareBacklogs, 0)}, nil)
	for id := range MessageID(3 * maxSpareBacklogs) {
		s.Step(now, []Event{Arrived{Message: id, Destination: int(id), GiveUpAt: now + time.Second}}, nil)
	}
	now += time.Minute
	for id := range MessageID(3 * maxSpareBacklogs) {
		s.Step(now, []Event{Withdrawn{Message: id}, AttemptCompleted{Message: id, Endpoint: EndpointID(id + 1), Outcome: NotSent}}, nil)
	}
	if len(s.queues.messages) > 0 || s.queues.nonEmpty.Len() > 0 || s.slots.calling.Len() > 0 || s.queues.backlogs.Len() != maxSpareBacklogs {
		t.Errorf("got %d messages, %d destinations with queues, %d endpoints with calls and %d spare backlogs, want 0, 0, 0 and %d", len(s.queues.messages), s.queues.nonEmpty.Len(), s.slots.calling.Len(), s.queues.backlogs.Len(), maxSpareBacklogs)
	}
	for _, d := range s.registry.destinations {
		if d.backlog != nil {
			t.Fatalf("got a backlog of destination %d, want none", d.number)
		}
	}
}

// A destination is activated by its first message, report or restored health. If activation drew random numbers or set
// values that depend on the current time, it would change decisions. A sender must return the same actions as one whose
// destinations are activated as soon as they are added, for few senders and for many.
func TestLazyActivationMatchesEagerActivation(t *testing.T) {
	sends := 0
	rapid.Check(t, func(t *rapid.T) {
		set := testSettings()
		set.Senders = rapid.SampledFrom([]int{1, 3, 16, 300}).Draw(t, "senders")
		set.RateAccuracy, set.PeerMessages = RateAccuracy(rapid.IntRange(0, 2).Draw(t, "rate accuracy")), rapid.Bool().Draw(t, "peer messages")
		lazy, eager := New(set, 1), New(set, 1)
		now, next := time.Hour, MessageID(0)
		entry := func(endpoint EndpointID, state EndpointState) Entry {
			destination := int(endpoint) % 5
			return Entry{
				Endpoint: endpoint, Destination: destination, Kind: destination % 2, Zone: int(endpoint) % 2, State: state,
				Rate: float64(endpoint * endpoint), AssignedRate: []float64{0, 0, 0, 3, NoCalls}[destination],
			}
		}
		list := EndpointUpdate{Complete: true}
		for endpoint := range EndpointID(8) {
			list.Entries = append(list.Entries, entry(endpoint+1, Ready))
		}
		pending := []Event{list}
		for range rapid.IntRange(30, 120).Draw(t, "steps") {
			events := pending
			pending = nil
			endpoint := EndpointID(rapid.IntRange(1, 12).Draw(t, "endpoint"))
			switch rapid.IntRange(0, 9).Draw(t, "event") {
			case 0:
				state := EndpointState(rapid.IntRange(0, 2).Draw(t, "state"))
				events = append(events, EndpointUpdate{Entries: []Entry{entry(endpoint, state)}})
			case 1:
				events = append(events, PeerMessage{Endpoint: endpoint, Event: PeerEvent(rapid.IntRange(0, 3).Draw(t, "peer event"))})
			case 2:
				events = append(events, HealthRestored{Endpoint: endpoint, CallTimes: []Time{now - time.Second}, Failed: rapid.Bool().Draw(t, "failed"), FailedAt: now - time.Second})
			default:
				next++
				class := rapid.IntRange(0, len(set.Classes)-1).Draw(t, "class")
				events = append(events, Arrived{Message: next, Destination: int(endpoint) % 5, Class: class, GiveUpAt: now + set.Classes[class].Deadline})
			}
			got, want := lazy.Step(now, events, nil), eager.Step(now, events, nil)
			if !reflect.DeepEqual(got, want) {
				t.Fatalf("at %v, events %+v:\nlazy  %+v\neager %+v", now, events, got, want)
			}
			for _, d := range eager.registry.destinations {
				eager.activate(d)
			}
			for _, a := range got {
				if send, ok := a.(Send); ok {
					sends++
					pending = append(pending, AttemptCompleted{
						Message: send.Message, Endpoint: send.Endpoint, Duration: 10 * time.Millisecond,
						Outcome: Outcome(rapid.IntRange(int(Delivered), int(NotSent)).Draw(t, "outcome")),
					})
				}
			}
			now += time.Duration(rapid.SampledFrom([]int{1, 20, 500, 30_000}).Draw(t, "pause")) * time.Millisecond
		}
	})
	t.Logf("%d sends", sends)
	if sends == 0 {
		t.Error("got no send in all runs, want some")
	}
}

// A step iterates over the destinations with queued messages and the endpoints with outstanding calls, instead of all.
// If these sets missed one, its messages would not be sent; if they kept one too long, steps would become slow. After
// every step of a random run the sets must match the state, and no backlog may be empty.
func TestStepSetsMatchState(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		set := testSettings()
		set.Slots = rapid.IntRange(1, 5).Draw(t, "slots")
		s := New(set, 1)
		now := time.Hour
		s.Step(now, []Event{singleEndpointList(6, 0)}, nil)
		rng := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		var outstanding []Send
		for id := range MessageID(rapid.IntRange(1, 200).Draw(t, "steps")) {
			events := []Event{Arrived{Message: id, Destination: rng.IntN(8), GiveUpAt: now + time.Second}}
			for len(outstanding) > 0 && rng.IntN(2) == 0 {
				events = append(events, AttemptCompleted{Message: outstanding[0].Message, Endpoint: outstanding[0].Endpoint, Outcome: Outcome(rng.IntN(int(NotSent) + 1))})
				outstanding = outstanding[1:]
			}
			for _, a := range s.Step(now, events, nil) {
				if send, ok := a.(Send); ok {
					outstanding = append(outstanding, send)
				}
			}
			now += time.Duration(rng.IntN(300)) * time.Millisecond
			checkSets(t, s)
		}
	})
}

// checkSets fails the test if nonEmpty, calling or a backlog differs from the state of the destinations and endpoints.
func checkSets(t *rapid.T, s *Sender) {
	queued, calling := 0, 0
	for _, d := range s.registry.destinations {
		if d.backlog != nil && d.queue.Len() > 0 {
			queued++
		}
		if d.backlog != nil && d.unfinished == 0 {
			t.Fatalf("got an empty backlog of destination %d, want none", d.number)
		}
	}
	for e := range s.registry.endpoints.All() {
		if e.health != nil && len(e.calls) > 0 {
			calling++
		}
	}
	var last uint64
	for i, d := range s.queues.nonEmpty.Values() {
		if d.queue.Len() == 0 || i > 0 && d.order <= last {
			t.Fatalf("got destination %d in nonEmpty with an empty queue or out of order", d.number)
		}
		last = d.order
	}
	for _, e := range s.slots.calling.Values() {
		if len(e.calls) == 0 {
			t.Fatalf("got endpoint %d without outstanding calls in calling", e.id)
		}
	}
	if s.queues.nonEmpty.Len() != queued || s.slots.calling.Len() != calling {
		t.Fatalf("got %d destinations in nonEmpty and %d endpoints in calling, want %d and %d", s.queues.nonEmpty.Len(), s.slots.calling.Len(), queued, calling)
	}
}

// Clients may use any number of keys. If the sender kept them, its memory would grow without bound. A key must be deleted
// with its last message, or at the end of its cooldown if that is later.
func TestKeyIsDeletedAfterLastMessageAndCooldown(t *testing.T) {
	set := testSettings()
	set.MaxInFlight = 0
	for i := range set.Classes {
		set.Classes[i].Ordered = true
	}
	set.KeyCooldown = 10 * time.Second
	s := New(set, 1)
	now := time.Hour
	s.Step(now, []Event{singleEndpointList(1, 0)}, nil)
	for id := range MessageID(1000) {
		s.Step(now, []Event{Arrived{Message: id, Key: uint64(id + 1), GiveUpAt: now + time.Second}}, nil)
		outcome := Delivered
		if id%2 == 0 {
			outcome = TimedOut
		}
		s.Step(now, []Event{AttemptCompleted{Message: id, Endpoint: 1, Outcome: outcome}, Withdrawn{Message: id}}, nil)
		now += set.Tick
	}
	if n := s.queues.keys.Len(); n > 500 {
		t.Errorf("got %d keys, want at most the 500 in cooldown", n)
	}
	now += set.KeyCooldown
	s.Step(now, []Event{Woken{}}, nil)
	if n := s.queues.keys.Len(); n > 0 || len(s.queues.messages) > 0 {
		t.Errorf("got %d keys and %d messages after the cooldown, want none", n, len(s.queues.messages))
	}
}
