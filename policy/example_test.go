package policy_test

import (
	"fmt"
	"time"
	"wingmount/policy"
)

// A node passes its observations to Step as events, and executes the returned actions.
func Example() {
	s := policy.New(policy.Settings{
		Senders: 1, Slots: 4, MaxInFlight: 100, MaxAttempts: 5, Tick: 5 * time.Millisecond,
		Kinds: []policy.Kind{{MaxBatch: 1}},
		Classes: []policy.Class{{
			Repeat: policy.Idempotent, SoftDeadline: time.Second,
			Deadline: 10 * time.Second, Value: 1,
		}},
		DrainGrace: time.Second, InitialCapacity: 0.2, WarmUp: 10 * time.Second,
		OverloadFactor: 2, OverloadWindow: 2 * time.Second,
	}, 1)

	now := time.Hour // a reading of the node's clock
	actions := s.Step(now, []policy.Event{
		policy.EndpointUpdate{Complete: true, Entries: []policy.Entry{{Endpoint: 7, State: policy.Ready}}},
		policy.Arrived{Message: 1, GiveUpAt: now + 10*time.Second},
	}, nil)
	for _, a := range actions {
		switch a := a.(type) {
		case policy.Send:
			fmt.Printf("send message %d to endpoint %d\n", a.Message, a.Endpoint)
		case policy.Wake:
			fmt.Println("wake in", (a.At - now).Round(time.Second))
		}
	}
	// Output:
	// send message 1 to endpoint 7
	// wake in 10s
}
