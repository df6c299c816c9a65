package policy_test

import (
	"fmt"
	"testing"
	"time"
	"wingmount/policy"
	"wingmount/policy/internal/reference"
)

// stepper is an implementation of a sender: policy.Sender or the reference.
type stepper interface {
	Step(policy.Time, []policy.Event, []policy.Action) []policy.Action
}

// loadedModule drives a sender that has a constant number of messages in flight and all slots in use. Each call
// of exchange is a step with one new message and one completed attempt.
type loadedModule struct {
	module       stepper
	set          policy.Settings
	destinations int // number of destinations with messages
	now          policy.Time
	next         policy.MessageID
	outstanding  []policy.Send
	sent         int
	notDelivered int
}

func newLoadedModule(module func(policy.Settings, uint64) stepper, inFlight, destinations, idle, maxInFlight int) *loadedModule {
	b := &loadedModule{destinations: destinations, now: time.Hour, set: policy.Settings{
		Senders: 1, Slots: 64, MaxInFlight: maxInFlight, MaxAttempts: 6, Tick: 5 * time.Millisecond, MaxRetryAfter: 30 * time.Second,
		ConnectTimeout: time.Second, DrainGrace: time.Second, InitialCapacity: 0.2, WarmUp: 15 * time.Second, OverloadFactor: 2, OverloadWindow: 1500 * time.Millisecond,
		RateAccuracy: policy.RateRough, Kinds: []policy.Kind{{MaxBatch: 1}}, ZoneFee: []float64{0},
		Classes: []policy.Class{{Repeat: policy.Deduplicated, GroupZone: true, DedupWindow: 1000 * time.Second, SoftDeadline: 3 * time.Second, Deadline: 1000 * time.Second, Value: 1, LateValue: 0.5}},
	}}
	b.module = module(b.set, 1)
	list := policy.EndpointUpdate{Complete: true}
	for d := range destinations + idle {
		list.Entries = append(list.Entries, policy.Entry{Endpoint: policy.EndpointID(d + 1), Destination: d, State: policy.Ready, Rate: 100_000})
	}
	events := []policy.Event{list}
	for range inFlight {
		events = append(events, b.arrival())
	}
	b.step(events)
	return b
}

func (b *loadedModule) arrival() policy.Event {
	b.next++
	return policy.Arrived{Message: b.next, Destination: int(b.next) % b.destinations, GiveUpAt: b.now + b.set.Classes[0].Deadline}
}

func (b *loadedModule) step(events []policy.Event) {
	for _, a := range b.module.Step(b.now, events, nil) {
		switch a := a.(type) {
		case policy.Send:
			b.outstanding = append(b.outstanding, a)
			b.sent++
		case policy.Reject, policy.Fail:
			b.notDelivered++
		}
	}
}

// exchange adds a message and delivers the oldest outstanding one, in one step.
func (b *loadedModule) exchange() {
	b.now += time.Millisecond
	events := []policy.Event{b.arrival()}
	if len(b.outstanding) > 0 {
		s := b.outstanding[0]
		b.outstanding = b.outstanding[1:]
		events = append(events, policy.AttemptCompleted{Message: s.Message, Endpoint: s.Endpoint, Outcome: policy.Delivered, Duration: time.Millisecond})
	}
	b.step(events)
}

// BenchmarkStep measures the cost of a message for the current implementation and the reference, by the number of
// messages in flight, the number of destinations, and whether the in-flight capacity is exhausted.
func BenchmarkStep(b *testing.B) {
	modules := []struct {
		name string
		make func(policy.Settings, uint64) stepper
	}{
		{"current", func(s policy.Settings, seed uint64) stepper { return policy.New(s, seed) }},
		{"reference", func(s policy.Settings, seed uint64) stepper { return reference.NewModule(s, seed) }},
	}
	for _, full := range []bool{false, true} {
		for _, destinations := range []int{1, 8, 1000} {
			for _, inFlight := range []int{10, 1000, 20_000, 100_000} {
				for _, m := range modules {
					b.Run(fmt.Sprintf("full=%v/destinations=%d/inflight=%d/%s", full, destinations, inFlight, m.name), func(b *testing.B) {
						maxInFlight := 0
						if full {
							maxInFlight = inFlight + 16
						}
						x := newLoadedModule(m.make, inFlight, destinations, 0, maxInFlight)
						b.ReportAllocs()
						for b.Loop() {
							x.exchange()
						}
						if x.sent == 0 {
							b.Error("nothing was sent")
						}
					})
				}
			}
		}
	}
}

// BenchmarkStepByConfiguredDestinations measures the cost of a message by the number of destinations in the endpoint
// list, of which 1,000 have messages, with few messages in flight and with a backlog.
func BenchmarkStepByConfiguredDestinations(b *testing.B) {
	const active = 1000
	for _, inFlight := range []int{32, 20_000} {
		for _, configured := range []int{1_000, 10_000, 60_000, 170_000} {
			b.Run(fmt.Sprintf("inflight=%d/active=%d/configured=%d", inFlight, active, configured), func(b *testing.B) {
				x := newLoadedModule(func(s policy.Settings, seed uint64) stepper { return policy.New(s, seed) }, inFlight, active, configured-active, 0)
				b.ReportAllocs()
				for b.Loop() {
					x.exchange()
				}
				if x.sent == 0 {
					b.Error("nothing was sent")
				}
			})
		}
	}
}
