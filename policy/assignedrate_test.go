package policy

import (
	"math"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// assignedSender drives a sender with an assigned rate in virtual time. Its only destination responds at once.
type assignedSender struct {
	sender      *Sender
	now         Time
	last        MessageID
	sent        []Time          // times of calls
	rejects     func(Time) bool // whether the destination rejects a call at a time; nil means never
	rejected    int             // calls that the destination rejected
	retryAfters []time.Duration // of messages that the sender rejected
}

const assignedSenderTick = 5 * time.Millisecond

func newAssignedSender(rate float64, change func(*Settings)) *assignedSender {
	set := Settings{
		Senders: 1500, Slots: 64, MaxInFlight: 400, MaxAttempts: 6, Tick: assignedSenderTick, PeerMessages: true, AdviseRetryAfter: true,
		MaxRetryAfter: 30 * time.Second, RateAccuracy: RateRough, ConnectTimeout: time.Second, DrainGrace: time.Second, InitialCapacity: 0.2,
		WarmUp: 15 * time.Second, OverloadFactor: 2, OverloadWindow: 1500 * time.Millisecond, Kinds: []Kind{{MaxBatch: 1}},
		Classes: []Class{{SoftDeadline: 3 * time.Second, Deadline: 12 * time.Second, Value: 1, LateValue: 0.5}},
	}
	if change != nil {
		change(&set)
	}
	s := &assignedSender{sender: New(set, 1), now: time.Hour}
	s.assignRate(rate)
	return s
}

func (s *assignedSender) assignRate(rate float64) {
	s.step(EndpointUpdate{Complete: true, Entries: []Entry{{Endpoint: 1, State: Ready, Rate: 20, AssignedRate: rate}}})
}

// step passes events to the sender. The destination responds to calls in the same step, with a reported duration of
// 10 ms.
func (s *assignedSender) step(events ...Event) {
	for len(events) > 0 {
		var next []Event
		for _, a := range s.sender.Step(s.now, events, nil) {
			switch a := a.(type) {
			case Send:
				s.sent = append(s.sent, s.now)
				e := AttemptCompleted{Message: a.Message, Endpoint: a.Endpoint, Outcome: Delivered, Final: true, Duration: 10 * time.Millisecond}
				if s.rejects != nil && s.rejects(s.now) {
					s.rejected++
					e.Outcome, e.Final = RateLimited, false
				}
				next = append(next, e)
			case Reject:
				s.retryAfters = append(s.retryAfters, a.RetryAfter)
			}
		}
		events = next
	}
}

// run advances time by d while messages arrive at a rate in messages a second.
func (s *assignedSender) run(d time.Duration, rate float64) {
	due := 0.0
	for until := s.now + d; s.now < until; s.now += assignedSenderTick {
		due += rate * assignedSenderTick.Seconds()
		var events []Event
		for ; due >= 1; due-- {
			s.last++
			events = append(events, Arrived{Message: s.last, GiveUpAt: s.now + 12*time.Second})
		}
		s.step(append(events, Woken{})...)
	}
}

// maxInWindow returns the maximum number of calls since from in any period of length window.
func (s *assignedSender) maxInWindow(window time.Duration, from Time) (most int) {
	first := 0
	for i, at := range s.sent {
		for s.sent[first] <= at-window || s.sent[first] < from {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

// callsSince returns the number of calls since a time.
func (s *assignedSender) callsSince(from Time) (n int) {
	for _, at := range s.sent {
		if at >= from {
			n++
		}
	}
	return n
}

// An assigned rate must be used fully, since no other sender may use it, and never exceeded, since other senders use the
// rest of the limit. Low rates and rates with a fraction are hard: a window contains an integer number of calls. A
// narrow window may contain the calls that the rate allows, rounded up, and a wide window six times as many.
func TestAssignedRateIsFullyUsedAndNotExceeded(t *testing.T) {
	for _, rate := range []float64{0.1, 0.24, 0.4, 0.75, 1, 5.0 / 3, 2.5, 10, 20.0 / 3, 33.3, 90} {
		s := newAssignedSender(rate, nil)
		s.run(2*time.Minute, 2*rate)
		from := s.now
		s.run(2*time.Minute, 2*rate)
		if n, want := float64(s.callsSince(from)), 120*rate; n < 0.97*want-1 || n > want+1 {
			t.Errorf("rate %.2f: got %.0f calls, want %.0f", rate, n, want)
		}
		for _, window := range []time.Duration{narrowWindow, wideWindow} {
			if n, want := s.maxInWindow(window, 0), window.Seconds()*math.Ceil(2*rate-1e-9)/2; float64(n) > want {
				t.Errorf("rate %.2f: got %d calls in %v, want %.0f at most", rate, n, window, want)
			}
		}
	}
}

// The jitter that separates senders under a shared quota would waste part of an assigned rate. Calls under an assigned
// rate must therefore not depend on the seed.
func TestAssignedRateDecisionsIgnoreSeed(t *testing.T) {
	a, b := newAssignedSender(0.7, nil), newAssignedSender(0.7, nil)
	b.sender = New(b.sender.settings, 99)
	b.assignRate(0.7)
	a.run(time.Minute, 2)
	b.run(time.Minute, 2)
	if len(a.sent) == 0 || len(a.sent) != len(b.sent) {
		t.Fatalf("got %d and %d calls with two seeds, want equal numbers above 0", len(a.sent), len(b.sent))
	}
	for i := range a.sent {
		if a.sent[i] != b.sent[i] {
			t.Fatalf("call %d: got times %v and %v with two seeds, want equal times", i, a.sent[i], b.sent[i])
		}
	}
}

// Calls that were made before the rate changes count under the new rate. If a reduced rate ignored them, the sender
// would exceed it. A raised rate must be used at once.
func TestAssignedRateChangeAppliesAtOnce(t *testing.T) {
	s := newAssignedSender(20, nil)
	s.run(20*time.Second, 30)
	cut := s.now
	s.assignRate(5)
	s.run(narrowWindow, 30)
	// The narrow window is full of calls at the old rate: no call is allowed until it has capacity again.
	if n := s.callsSince(cut); n > 5 {
		t.Errorf("got %d calls in the window after a cut to 5 a second, want 5 at most", n)
	}
	settled := s.now
	s.run(20*time.Second, 30)
	if n := s.callsSince(settled); n < 85 || n > 105 {
		t.Errorf("got %d calls in 20 s at 5 a second, want 100", n)
	}
	grown := s.now
	s.assignRate(20)
	s.run(10*time.Second, 30)
	if n := s.callsSince(grown); n < 185 || n > 205 {
		t.Errorf("got %d calls in 10 s at 20 a second, want 200", n)
	}
}

// Under NoCalls the sender must make no call, not even a probe of an endpoint in an outage: messages wait, and the
// Retry-After of rejected messages is within its limits. Calls must resume with the next assigned rate.
func TestNoCallsRateStopsCallsUntilNextRate(t *testing.T) {
	for _, outage := range []bool{false, true} {
		s := newAssignedSender(NoCalls, nil)
		if outage {
			s.assignRate(10)
			s.rejects = func(Time) bool { return true }
			s.run(20*time.Second, 5)
			s.rejects = nil
			s.assignRate(NoCalls)
		}
		from := s.now
		s.run(30*time.Second, 10)
		if n := s.callsSince(from); n != 0 {
			t.Fatalf("outage %v: got %d calls under NoCalls, want 0", outage, n)
		}
		for _, wait := range s.retryAfters {
			if wait <= 0 || wait > 30*time.Second {
				t.Fatalf("outage %v: got Retry-After %v, want above 0 and 30 s at most", outage, wait)
			}
		}
		if len(s.retryAfters) == 0 {
			t.Fatalf("outage %v: got no rejected message, want some with a Retry-After", outage)
		}
		s.assignRate(10)
		open := s.now
		s.run(20*time.Second, 10)
		if n := s.callsSince(open); n < 100 || n > 205 {
			t.Errorf("outage %v: got %d calls in 20 s at 10 a second, want 100 to 205", outage, n)
		}
	}
}

// A destination may accept less than the assigned rate for a time. Rejections must then cut the rate of calls, which must
// later grow back to the assigned rate without exceeding it.
func TestRejectionsBelowAssignedRateCutThenRegrow(t *testing.T) {
	s := newAssignedSender(10, nil)
	s.run(20*time.Second, 15)
	tokens, filled := 3.0, s.now
	s.rejects = func(now Time) bool { // the destination accepts half of the assigned rate
		tokens, filled = min(3, tokens+5*(now-filled).Seconds()), now
		if tokens < 1 {
			return true
		}
		tokens--
		return false
	}
	s.run(20*time.Second, 15)
	from, before := s.now, s.rejected
	s.run(20*time.Second, 15)
	if n, rejected := s.callsSince(from), s.rejected-before; n > 130 || n-rejected < 75 || rejected > 30 {
		t.Errorf("got %d calls in 20 s while 5 a second are accepted, %d of them rejected; want 130 calls at most, 75 accepted at least, 30 rejected at most", n, rejected)
	}
	s.rejects = nil
	s.run(10*time.Second, 15)
	from = s.now
	s.run(20*time.Second, 15)
	if n := s.callsSince(from); n < 190 || n > 201 {
		t.Errorf("got %d calls in 20 s after the limit rose to 10 a second again, want 190 to 201", n)
	}
}

// After its assigned rate is withdrawn a path learns its allotment from rejections, beginning with the former rate.
// Without rejections the allotment must grow beyond that rate.
func TestWithdrawnAssignedRateAllowsGrowth(t *testing.T) {
	s := newAssignedSender(10, nil)
	s.run(10*time.Second, 30)
	s.assignRate(0)
	from := s.now
	s.run(30*time.Second, 30)
	if n := s.callsSince(from); n < 400 {
		t.Errorf("got %d calls in 30 s without an assigned rate, want 400 at least", n)
	}
}

// For random sequences of assigned rates, loads and rejections, the sender must make no call under NoCalls. At each call
// the narrow window must contain no more calls than the current rate allows, and at low rates the calls must be spaced.
func TestAssignedRateIsNotExceededAfterAnyChange(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		draw := func() float64 {
			return rapid.SampledFrom([]float64{NoCalls, 0.05, 0.3, 0.8, 1.7, 3, 8, 25}).Draw(t, "assigned rate")
		}
		rate := draw()
		s := newAssignedSender(rate, func(set *Settings) { set.Senders = rapid.SampledFrom([]int{1, 3, 1500}).Draw(t, "senders") })
		behavior := 0
		s.rejects = func(now Time) bool { return behavior == 1 || behavior == 2 && now%time.Second < 300*time.Millisecond }
		for range rapid.IntRange(2, 12).Draw(t, "changes") {
			if rapid.Bool().Draw(t, "changes rate") {
				rate = draw()
				s.assignRate(rate)
			}
			behavior = rapid.SampledFrom([]int{0, 0, 1, 2}).Draw(t, "behavior")
			from := len(s.sent)
			s.run(time.Duration(rapid.IntRange(1, 80).Draw(t, "time"))*100*time.Millisecond, rapid.SampledFrom([]float64{1, 40}).Draw(t, "message rate"))
			if rate < 0 && len(s.sent) > from {
				t.Fatalf("got %d calls under NoCalls, want 0", len(s.sent)-from)
			}
			for i := from; i < len(s.sent); i++ {
				n := 0
				for j := i; j >= 0 && s.sent[i]-s.sent[j] < narrowWindow; j-- {
					n++
				}
				if most := max(1, math.Ceil(2*rate-1e-9)); float64(n) > most {
					t.Fatalf("got %d calls in %v at %v a second, want %v at most", n, narrowWindow, rate, most)
				}
				if i > from && rate < 0.5 && s.sent[i]-s.sent[i-1] < time.Duration(float64(time.Second)/rate)-time.Microsecond {
					t.Fatalf("got %v between two calls at %v a second, want 1 s divided by the rate at least", s.sent[i]-s.sent[i-1], rate)
				}
			}
		}
	})
}
