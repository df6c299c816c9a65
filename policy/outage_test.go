package policy_test

import (
	"testing"
	"time"
	"wingmount/policy"
)

// runOutage simulates one sender for 40 s. 40 messages a second arrive for a destination that has an advertised rate,
// enforces no limit, and rejects all calls without Retry-After from begin until recoveredAt. It returns the number of
// delivered calls by second, the time since the start at which, after recoveredAt, fewer than 3 messages were first
// undelivered (0 if never), and the number of undelivered messages at the end.
func runOutage(t *testing.T, advertised float64, begin, recoveredAt policy.Time) (delivered map[int]int, caughtUpAt policy.Time, waiting int) {
	t.Helper()
	const (
		rate, latency = 40, 20 * time.Millisecond
		duration      = 40 * time.Second
		tick          = time.Millisecond
	)
	s := policy.New(policy.Settings{
		Senders: 1, Slots: 64, MaxAttempts: 1000, Tick: tick, RateAccuracy: policy.RateRough, DrainGrace: time.Second,
		InitialCapacity: 0.2, WarmUp: 15 * time.Second, OverloadFactor: 2, OverloadWindow: 1500 * time.Millisecond,
		Kinds: []policy.Kind{{MaxBatch: 1}}, Classes: []policy.Class{{SoftDeadline: time.Second, Deadline: time.Minute, Value: 1, LateValue: 0.5}},
	}, 1)
	const start = time.Hour
	type completion struct {
		at    policy.Time
		event policy.AttemptCompleted
	}
	var pending []completion // sorted by time: all calls take the same time
	var wake policy.Time
	attempts := map[policy.MessageID]int{}
	var id policy.MessageID
	done := 0
	delivered = map[int]int{}
	events := []policy.Event{policy.EndpointUpdate{Complete: true, Entries: []policy.Entry{{Endpoint: 1, Destination: 1, State: policy.Ready, Rate: advertised}}}}
	for now := start; now < start+duration; now += tick {
		since := now - start
		for time.Duration(id)*time.Second/rate <= since {
			id++
			events = append(events, policy.Arrived{Message: id, Destination: 1, GiveUpAt: now + time.Minute})
		}
		for len(pending) > 0 && pending[0].at <= now {
			events = append(events, pending[0].event)
			pending = pending[1:]
		}
		if wake > 0 && wake <= now {
			wake = 0
			events = append(events, policy.Woken{})
		}
		if len(events) == 0 {
			continue
		}
		for _, a := range s.Step(now, events, nil) {
			switch a := a.(type) {
			case policy.Send:
				e := policy.AttemptCompleted{Message: a.Message, Attempt: attempts[a.Message], Endpoint: 1, Outcome: policy.Delivered, Final: true, Duration: latency}
				if since >= begin && since < recoveredAt {
					e.Outcome, e.Final = policy.RateLimited, false
				} else {
					done++
					delivered[int(since.Seconds())]++
				}
				attempts[a.Message]++
				pending = append(pending, completion{now + latency, e})
			case policy.Wake:
				wake = a.At
			case policy.Reject, policy.Fail:
				t.Fatalf("at %v: %+v", since, a)
			}
		}
		events = events[:0]
		if caughtUpAt == 0 && since > recoveredAt && int(id)-done < 3 {
			caughtUpAt = since
		}
	}
	return delivered, caughtUpAt, int(id) - done
}

// A destination that rejects all calls for 6 s has an outage, and its rejections give no information about its limit.
// If they cut the allotment, the backlog would take too long to drain after the recovery. The destination must not be
// overloaded while it warms up.
func TestRejectionsDuringOutageDoNotDelayRecovery(t *testing.T) {
	const recoveredAt = 11 * time.Second
	delivered, caughtUpAt, waiting := runOutage(t, 100, 5*time.Second, recoveredAt)
	t.Logf("delivered calls by second: %v", delivered)
	// Calls at twice its current capacity for 1.5 s overload it. At first it has a fifth of its full capacity.
	for s := int(recoveredAt.Seconds()); s < int(recoveredAt.Seconds())+3; s++ {
		if delivered[s] > 2*40 {
			t.Errorf("got %d calls in second %d, soon after the recovery, want 80 at most", delivered[s], s)
		}
	}
	if caughtUpAt == 0 || caughtUpAt > recoveredAt+20*time.Second {
		t.Errorf("backlog was empty at %v (0 if never), with %d messages waiting at the end; want it empty within 20 s of the recovery at %v", caughtUpAt, waiting, recoveredAt)
	}
}

// Under a large allotment the gaps between calls are shorter than waitingCheckInterval. Without additional wake-ups the
// allotment would never be exhausted, and so would never grow to the rate that the destination accepts.
func TestAllotmentWithCloseCallsGrows(t *testing.T) {
	if delivered, _, waiting := runOutage(t, 24, 0, 0); delivered[30] < 40 {
		t.Errorf("got %d calls in second 30 at an advertised rate of 24 a second, want the offered 40; %d messages wait; calls by second: %v", delivered[30], waiting, delivered)
	}
}
