package admission

import (
	"fmt"
	"testing"
	"time"
	"wingmount/policy"
)

// simulatedEngine is an engine on virtual time that delivers a limited number of messages in each round, in order of
// acceptance.
type simulatedEngine struct {
	c         *Controller
	waiting   []waitingMessage
	admitted  int
	expired   int // accepted, but past their deadline before delivery
	delivered int
}

type waitingMessage struct {
	destination int
	deadline    Time
}

// endRound completes the messages that are delivered in a round or past their deadline at its end.
func (e *simulatedEngine) endRound(now Time, capacity int) {
	for ; len(e.waiting) > 0 && (capacity > 0 || e.waiting[0].deadline <= now); e.waiting = e.waiting[1:] {
		p := e.waiting[0]
		expired := p.deadline <= now
		if expired {
			e.expired++
		} else {
			capacity--
			e.delivered++
			e.c.Observe(now, Observation{Kind: CallStarted, Destination: p.destination})
			e.c.Observe(now, Observation{Kind: CallCompleted, Destination: p.destination, Outcome: policy.Delivered, Duration: time.Millisecond})
		}
		e.c.Observe(now, Observation{Kind: MessageCompleted, Destination: p.destination})
	}
}

// The engine is offered more messages than it can process, for many destinations of which none is slow. Messages must
// be rejected with a retry delay before they are accepted, no accepted message may expire, and the capacity of the
// engine must be used.
func TestSaturatedEngineRejectsInsteadOfExpiring(t *testing.T) {
	const (
		offered      = 2400 // messages a second
		destinations = 1000
		deadline     = 20 * time.Second
		duration     = time.Minute
	)
	for _, engine := range []struct {
		round    time.Duration
		capacity int // messages a round
	}{{50 * time.Millisecond, 5}, {50 * time.Millisecond, 50}, {100 * time.Millisecond, 25}, {400 * time.Millisecond, 100}, {450 * time.Millisecond, 256}} {
		t.Run(fmt.Sprintf("%d in %v", engine.capacity, engine.round), func(t *testing.T) {
			e := &simulatedEngine{c: New(Settings{Weights: []float64{1}})}
			rejected, saturated, offeredAt := 0, Reason(0), Time(0)
			for roundStart := Time(0); roundStart < duration+deadline; roundStart += engine.round {
				for ; offeredAt < min(roundStart+engine.round, duration); offeredAt += time.Second / offered {
					e.c.SetEngineLoad(offeredAt, EngineLoad{Lag: offeredAt - roundStart, Utilization: min(1, offeredAt.Seconds()*4)})
					i := e.admitted + rejected
					d := e.c.Admit(offeredAt, i%destinations, 0, deadline)
					if d.Reason == Admitted {
						e.admitted++
						e.waiting = append(e.waiting, waitingMessage{i % destinations, offeredAt + deadline})
						continue
					}
					rejected++
					saturated += d.Reason / Saturated
					if d.Reason != Saturated && d.Reason != TooLate || d.RetryAfter < minRetryAfter || d.RetryAfter > MaxRetryAfter {
						t.Fatalf("at %v: got %v, retry after %v, want Saturated or TooLate with a delay within its limits", offeredAt, d.Reason, d.RetryAfter)
					}
				}
				e.endRound(roundStart+engine.round, engine.capacity)
			}
			capacity := float64(engine.capacity) / engine.round.Seconds()
			t.Logf("of %d: %d accepted, %d rejected (%d as saturated), %d delivered of %.0f, %d expired", e.admitted+rejected, e.admitted, rejected, saturated, e.delivered, capacity*duration.Seconds(), e.expired)
			if e.expired > 0 {
				t.Errorf("got %d accepted messages expired, want none", e.expired)
			}
			if saturated == 0 || float64(e.delivered) < 0.9*min(capacity, offered)*duration.Seconds() {
				t.Errorf("got %d messages rejected as saturated, %d rejected in total, %d delivered, want some saturated and 90%% of the capacity delivered", saturated, rejected, e.delivered)
			}
			if e.c.InFlight() != 0 || e.c.engine.inFlightToFailing != 0 {
				t.Errorf("got %d messages in flight, %d of them to failing destinations, want none", e.c.InFlight(), e.c.engine.inFlightToFailing)
			}
		})
	}
}

// A stalled engine must accept no messages until it continues. A saturated engine with few messages must accept all,
// also if many messages wait for a failing destination.
func TestStalledEngineRejectsUntilItContinues(t *testing.T) {
	c := New(Settings{Weights: []float64{1}})
	admit := func(now Time) Decision { return c.Admit(now, 1, 0, 20*time.Second) }
	if d := admit(0); d.Reason != Admitted {
		t.Fatalf("idle engine: got %v, want Admitted", d)
	}
	c.SetEngineLoad(time.Second, EngineLoad{Lag: minStallDuration - 1, Utilization: 0.5})
	if d := admit(time.Second); d.Reason != Admitted {
		t.Errorf("round shorter than a stall: got %v, want Admitted", d)
	}
	c.SetEngineLoad(time.Second, EngineLoad{Lag: 3 * time.Second, Utilization: 1})
	first, second := admit(time.Second), admit(time.Second)
	if first.Reason != Saturated || first.RetryAfter != 3*time.Second || second.RetryAfter < first.RetryAfter {
		t.Errorf("stall of 3s: got %v, %v, want Saturated with delays of 3s or more", first, second)
	}
	c.SetEngineLoad(2*time.Second, EngineLoad{Utilization: 1})
	if d := admit(2 * time.Second); d.Reason != Admitted {
		t.Errorf("after the stall: got %v, want Admitted", d)
	}
	// 2,000 messages wait for a failing destination, and another destination has 5 deliveries a second.
	c.Observe(2*time.Second, Observation{Kind: CallStarted, Destination: 2})
	c.Observe(2*time.Second, Observation{Kind: CallCompleted, Destination: 2, Outcome: policy.Failed})
	for range 2000 {
		c.Adopt(2*time.Second, 2, 0)
	}
	for now := 2 * time.Second; now < 10*time.Second; now += 200 * time.Millisecond {
		c.SetEngineLoad(now, EngineLoad{Utilization: 1})
		c.Observe(now, Observation{Kind: CallStarted, Destination: 1})
		c.Observe(now, Observation{Kind: CallCompleted, Destination: 1, Outcome: policy.Delivered})
		if d := admit(now); d.Reason != Admitted {
			t.Fatalf("at %v: got %v, want Admitted", now, d)
		}
		c.Observe(now, Observation{Kind: MessageCompleted, Destination: 1})
	}
}
