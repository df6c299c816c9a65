package admission

import (
	"testing"
	"time"
	"wingmount/policy"
)

// The tests in this file check each comparison and each sum of times at its boundary: the decision at the exact time,
// and one nanosecond before or after it.

const (
	start = time.Hour // virtual time at which each test begins
	tick  = time.Nanosecond
)

// adoptMessages puts n messages of a class to a destination in flight.
func adoptMessages(c *Controller, now Time, dest, class, n int) {
	for range n {
		c.Adopt(now, dest, class)
	}
}

// deliverCalls completes n successful calls to a destination.
func deliverCalls(c *Controller, now Time, dest, n int, callDuration time.Duration) {
	for range n {
		c.Observe(now, Observation{Kind: CallStarted, Destination: dest})
		c.Observe(now, Observation{Kind: CallCompleted, Destination: dest, Outcome: policy.Delivered, Duration: callDuration})
	}
}

// failCall completes a failed call to destination 1.
func failCall(c *Controller, now Time, retryAfter time.Duration) {
	c.Observe(now, Observation{Kind: CallStarted, Destination: 1})
	c.Observe(now, Observation{Kind: CallCompleted, Destination: 1, Outcome: policy.Failed, RetryAfter: retryAfter})
}

func wantReason(t *testing.T, when string, got Decision, want Reason) {
	t.Helper()
	if got.Reason != want {
		t.Errorf("%s: got %v (retry after %v), want %v", when, got.Reason, got.RetryAfter, want)
	}
}

// wantRateKnown checks whether the rate of destination 1 is known: a message after a long backlog is rejected only
// with a known rate.
func wantRateKnown(t *testing.T, when string, c *Controller, now Time, want bool) {
	t.Helper()
	adoptMessages(c, now, 1, 0, 100_000)
	if got := c.Admit(now, 1, 0, 10*time.Minute).Reason == TooLate; got != want {
		t.Errorf("%s: rate known: got %v, want %v", when, got, want)
	}
}

// controllerWithKnownRate returns a controller and the time of its last rate sample. Its destination 1 has 10
// messages in flight and a measured rate of 30 messages a second.
func controllerWithKnownRate(weights ...float64) (*Controller, Time) {
	c := New(Settings{Weights: weights})
	adoptMessages(c, start, 1, 0, 10)
	measuredAt := start + 100*time.Millisecond
	deliverCalls(c, measuredAt, 1, 3, 0)
	return c, measuredAt
}

func TestFirstRateSampleRequiresDurationAndDeliveries(t *testing.T) {
	for _, test := range []struct {
		name      string
		after     time.Duration
		delivered int
		want      bool
	}{
		{"three before the shortest sample", 100*time.Millisecond - tick, 3, false},
		{"three at the shortest sample", 100 * time.Millisecond, 3, true},
		{"two at the shortest sample", 100 * time.Millisecond, 2, false},
		{"one before the longest sample", 2*time.Second - tick, 1, false},
		{"one at the longest sample", 2 * time.Second, 1, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := New(Settings{Weights: []float64{1}})
			adoptMessages(c, start, 1, 0, 10)
			deliverCalls(c, start+test.after, 1, test.delivered, 0)
			wantRateKnown(t, "after the sample", c, start+test.after, test.want)
		})
	}
}

// A sample after the first one is complete with eight deliveries, or at the longest duration of a sample.
func TestLaterRateSampleRequiresMoreDeliveries(t *testing.T) {
	for _, test := range []struct {
		name      string
		after     time.Duration
		delivered int
		want      Reason // for a message that may wait for 110 s, with 3,000 ahead of it: at 30 a second it waits 100 s
	}{
		{"seven", 700 * time.Millisecond, 7, Admitted},
		{"eight, slower than before", 700 * time.Millisecond, 8, TooLate}, // 30 + 0.25 * (11.4 - 30): 119 s
		{"one before the longest sample", 2*time.Second - tick, 1, Admitted},
		{"one at the longest sample", 2 * time.Second, 1, TooLate},
	} {
		t.Run(test.name, func(t *testing.T) {
			c, at := controllerWithKnownRate(1)
			deliverCalls(c, at+test.after, 1, test.delivered, 0)
			adoptMessages(c, at+test.after, 1, 0, 2990)
			wantReason(t, "after 3,000 messages", c.Admit(at+test.after, 1, 0, 220*time.Second), test.want)
		})
	}
}

// A sample that ends because no message waits must raise the rate if it was long enough.
func TestSampleEndedByEmptyBacklogRaisesRate(t *testing.T) {
	for _, test := range []struct {
		name           string
		sampleDuration time.Duration
		want           Reason // for a message that may wait for 10 s, with 1,000 ahead: 5 s at 200 a second, 33 s at 30
	}{
		{"before the shortest sample", 100*time.Millisecond - tick, TooLate},
		{"at the shortest sample", 100 * time.Millisecond, Admitted},
	} {
		t.Run(test.name, func(t *testing.T) {
			c, at := controllerWithKnownRate(1)
			deliverCalls(c, at+50*time.Millisecond, 1, 20, 0)
			for range 10 {
				c.Observe(at+test.sampleDuration, Observation{Kind: MessageCompleted, Destination: 1})
			}
			adoptMessages(c, at+test.sampleDuration, 1, 0, 1000)
			wantReason(t, "after 1,000 messages", c.Admit(at+test.sampleDuration, 1, 0, 20*time.Second), test.want)
		})
	}
}

func TestRateExpiresUnlessCallsFail(t *testing.T) {
	for _, test := range []struct {
		name    string
		age     time.Duration
		failing bool
		want    bool
	}{
		{"at its age limit", 30 * time.Second, false, true},
		{"past its age limit", 30*time.Second + tick, false, false},
		{"past its age limit while calls fail", 30*time.Second + tick, true, true},
		{"a minute old while calls fail", time.Minute, true, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			c, at := controllerWithKnownRate(1)
			if test.failing {
				failCall(c, at+time.Second, 0)
			}
			wantRateKnown(t, "at that age", c, at+test.age, test.want)
		})
	}
}

// A message may wait for half of the time until its deadline, and must have the time of four calls left when it is
// sent.
func TestDeadlineRequiresHalfTheTimeAndFourCalls(t *testing.T) {
	c := New(Settings{Weights: []float64{1}})
	c.Observe(start, Observation{Kind: CallCompleted, Destination: 1, Outcome: policy.Cancelled, RetryAfter: 10 * time.Second})
	wantReason(t, "a wait of half its time", c.Admit(start, 1, 0, 20*time.Second), Admitted)
	wantReason(t, "a wait of more than half its time", c.Admit(start, 1, 0, 20*time.Second-2*tick), TooLate)
	wantReason(t, "a nanosecond later", c.Admit(start+tick, 1, 0, 20*time.Second-2*tick), Admitted)
	deliverCalls(c, start, 2, 1, time.Second)
	wantReason(t, "time for four calls", c.Admit(start, 2, 0, 4*time.Second), Admitted)
	wantReason(t, "less time than four calls take", c.Admit(start, 2, 0, 4*time.Second-tick), TooLate)
}

// Failures that continue for one second count as an outage, which is expected to last for as long as it has lasted so
// far.
func TestOutageStartsAfterOneSecondOfFailures(t *testing.T) {
	for _, test := range []struct {
		name           string
		failingFor     time.Duration
		timeLeft       time.Duration
		inFlight       int
		retryAfter     time.Duration
		want           Reason
		wantRetry      time.Duration
		failsInBetween bool
	}{
		{name: "before one second", failingFor: time.Second - tick, timeLeft: time.Second, inFlight: 4, want: Admitted},
		{name: "at one second", failingFor: time.Second, timeLeft: time.Second, inFlight: 4, want: TooLate, wantRetry: 500 * time.Millisecond},
		{name: "counted from the first failure", failingFor: time.Second, timeLeft: time.Second, inFlight: 4, want: TooLate, wantRetry: 500 * time.Millisecond, failsInBetween: true},
		{name: "expected to last for 3 s more", failingFor: 3 * time.Second, timeLeft: 6 * time.Second, inFlight: 4, want: Admitted},
		{name: "expected to last longer than the message may wait", failingFor: 3*time.Second + tick, timeLeft: 6 * time.Second, inFlight: 4, want: TooLate, wantRetry: 100 * time.Millisecond},
		{name: "with fewer messages in flight than allowed for trials", failingFor: time.Minute, timeLeft: time.Second, inFlight: 3, want: Admitted},
		{name: "a trial that Retry-After allows in time", failingFor: 2 * time.Second, timeLeft: 3 * time.Second, inFlight: 1, retryAfter: 3500 * time.Millisecond, want: Admitted},
		{name: "a trial that Retry-After allows too late", failingFor: 2 * time.Second, timeLeft: 3 * time.Second, inFlight: 1, retryAfter: 3500*time.Millisecond + tick, want: TooLate, wantRetry: 500 * time.Millisecond},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := New(Settings{Weights: []float64{1}})
			adoptMessages(c, start, 1, 0, test.inFlight)
			failCall(c, start, test.retryAfter)
			if test.failsInBetween {
				failCall(c, start+test.failingFor/2, 0)
			}
			got := c.Admit(start+test.failingFor, 1, 0, test.timeLeft)
			wantReason(t, "decision", got, test.want)
			if got.RetryAfter != test.wantRetry {
				t.Errorf("retry delay: got %v, want %v", got.RetryAfter, test.wantRetry)
			}
		})
	}
}

// Deliveries before an outage must not count in the rate after it.
func TestOutageRestartsRateSample(t *testing.T) {
	for _, test := range []struct {
		name       string
		failingFor time.Duration
		want       bool
	}{
		{"a shorter failure period is included in the sample", time.Second - tick, true},
		{"an outage starts a new sample", time.Second, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := New(Settings{Weights: []float64{1}})
			adoptMessages(c, start, 1, 0, 10)
			failCall(c, start, 0)
			deliverCalls(c, start+test.failingFor, 1, 3, 0)
			wantRateKnown(t, "after three deliveries", c, start+test.failingFor, test.want)
		})
	}
}

func TestRetryAfterIsLimited(t *testing.T) {
	for _, test := range []struct {
		name             string
		retryAfter, want time.Duration // the destination's Retry-After, and the client's; the message may wait for 10 s
	}{
		{"below the minimum", 10*time.Second + tick, 100 * time.Millisecond},
		{"the minimum", 10*time.Second + 100*time.Millisecond, 100 * time.Millisecond},
		{"above the minimum", 10*time.Second + 100*time.Millisecond + tick, 100*time.Millisecond + tick},
		{"below the maximum", 40*time.Second - tick, 30*time.Second - tick},
		{"the maximum", 40 * time.Second, 30 * time.Second},
		{"above the maximum", 40*time.Second + tick, 30 * time.Second},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := New(Settings{Weights: []float64{1}})
			c.Observe(start, Observation{Kind: CallCompleted, Destination: 1, Outcome: policy.Cancelled, RetryAfter: test.retryAfter})
			if got := c.Admit(start, 1, 0, 20*time.Second); got.Reason != TooLate || got.RetryAfter != test.want {
				t.Errorf("got %v, retry after %v, want %v", got.Reason, got.RetryAfter, test.want)
			}
		})
	}
}

// Clients that are rejected together must retry at the rate at which the destination accepts calls.
func TestRetryAfterIsSpacedByRate(t *testing.T) {
	c, at := controllerWithKnownRate(1)
	adoptMessages(c, at, 1, 0, 590) // 20 s
	gap := time.Second / 30
	for i, now := range []Time{at, at, at + 5*time.Millisecond} {
		got := c.Admit(now, 1, 0, 20*time.Second)
		want := 10*time.Second + time.Duration(i)*gap - (now - at)
		if got.Reason != TooLate || got.RetryAfter < want-tick*5 || got.RetryAfter > want+tick*5 {
			t.Errorf("client %d: got %v, retry after %v, want %v", i, got.Reason, got.RetryAfter, want)
		}
	}
}

// The rate available to a class excludes the admissions of higher weight, averaged over two seconds.
func TestRateExcludesAdmissionsOfHigherWeight(t *testing.T) {
	for _, test := range []struct {
		name  string
		after time.Duration
		want  time.Duration // retry delay of a message that may wait for 20 s, with 1,030 ahead of it
	}{
		{"immediately", 0, 31500 * time.Millisecond},                     // 1,030 at 20 a second; limited to 30 s below
		{"after two seconds", 2 * time.Second, 19132 * time.Millisecond}, // 1,030 at 26.32 a second
	} {
		t.Run(test.name, func(t *testing.T) {
			c, at := controllerWithKnownRate(1, 10)
			adoptMessages(c, at, 1, 0, 1000)
			adoptMessages(c, at, 1, 1, 20)
			got := c.Admit(at+test.after, 1, 0, 40*time.Second)
			want := min(test.want, 30*time.Second)
			if got.Reason != TooLate || got.RetryAfter < want-2*time.Millisecond || got.RetryAfter > want+2*time.Millisecond {
				t.Errorf("got %v, retry after %v, want %v", got.Reason, got.RetryAfter, want)
			}
		})
	}
}

func TestIdleDestinationIsEvictedAfterRetention(t *testing.T) {
	for _, test := range []struct {
		name                string
		lastUse, admitAfter time.Duration
		want                int // destinations, including that of the message admitted after admitAfter
	}{
		{"before the next eviction scan", 0, 30*time.Second - tick, 2},
		{"at the next eviction scan", 0, 30 * time.Second, 1},
		{"used after the last eviction scan", tick, 30 * time.Second, 2},
		{"used after the last eviction scan, which runs later", tick, 30*time.Second + tick, 1},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := New(Settings{Weights: []float64{1}})
			c.Admit(start, 1, 0, time.Minute) // runs an eviction scan
			c.Observe(start+test.lastUse, Observation{Kind: MessageCompleted, Destination: 1})
			c.Admit(start+test.admitAfter, 2, 0, time.Minute)
			if got := c.Destinations(); got != test.want {
				t.Errorf("got %d destinations, want %d", got, test.want)
			}
		})
	}
	c := New(Settings{Weights: []float64{1}})
	c.Admit(start, 1, 0, time.Minute)
	c.Admit(start+time.Hour, 2, 0, time.Minute)
	if got := c.Destinations(); got != 2 {
		t.Errorf("with a message in flight: got %d destinations, want 2", got)
	}
}

// The engine is saturated at a lag of at least half a second or a utilization of at least 0.9.
func TestSaturationStartsAtLagOrUtilizationLimit(t *testing.T) {
	for _, test := range []struct {
		name     string
		load     EngineLoad
		after    time.Duration // since the saturation began
		timeLeft time.Duration
		want     Reason
	}{
		{"lag shorter than a stall", EngineLoad{Lag: 500*time.Millisecond - tick}, 0, time.Hour, Admitted},
		{"lag of a stall", EngineLoad{Lag: 500 * time.Millisecond}, 0, time.Hour, Saturated},
		{"utilization below the limit", EngineLoad{Utilization: 0.8999}, time.Second, time.Second, Admitted},
		{"utilization at the limit", EngineLoad{Utilization: 0.9}, time.Second, time.Second, Saturated},
		{"without a rate, expected to last for 1 s more", EngineLoad{Utilization: 0.9}, time.Second, 2 * time.Second, Admitted},
		{"without a rate, expected to last longer than the message may wait", EngineLoad{Utilization: 0.9}, time.Second + tick, 2 * time.Second, Saturated},
		{"lag included in the wait", EngineLoad{Utilization: 0.9, Lag: 400 * time.Millisecond}, 600 * time.Millisecond, 2 * time.Second, Admitted},
		{"longer lag included in the wait", EngineLoad{Utilization: 0.9, Lag: 400*time.Millisecond + tick}, 600 * time.Millisecond, 2 * time.Second, Saturated},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := New(Settings{Weights: []float64{1}})
			c.SetEngineLoad(start, test.load)
			c.SetEngineLoad(start+test.after, test.load)
			wantReason(t, "decision", c.Admit(start+test.after, 1, 0, test.timeLeft), test.want)
		})
	}
}

// The rate of the node includes only deliveries since the saturation began, and is known after a tenth of a second.
// Samples of one second are averaged.
func TestNodeRateUsesSamplesSinceSaturation(t *testing.T) {
	for _, test := range []struct {
		name     string
		sample   time.Duration // 30 messages are delivered by its end, and one more at 1.5 s
		at       time.Duration
		inFlight int
		timeLeft time.Duration
		want     Reason
	}{
		{"before the rate is known", 50 * time.Millisecond, 100*time.Millisecond - tick, 10_000, 10 * time.Second, Admitted},
		{"once the rate is known", 50 * time.Millisecond, 100 * time.Millisecond, 10_000, 10 * time.Second, Saturated}, // 33 s at 300/s
		{"a complete sample", time.Second, 1500 * time.Millisecond, 300, 24 * time.Second, Admitted},                   // 10 s at 30/s
		{"a sample in progress", time.Second - tick, 1500 * time.Millisecond, 300, 24 * time.Second, Saturated},        // 14.5 s at 20.7/s
	} {
		t.Run(test.name, func(t *testing.T) {
			c := New(Settings{Weights: []float64{1}})
			c.SetEngineLoad(start-time.Second, EngineLoad{})
			deliverCalls(c, start-time.Second, 2, 500, 0) // ignored, since they precede the saturation
			c.SetEngineLoad(start, EngineLoad{Utilization: 1})
			adoptMessages(c, start, 1, 0, test.inFlight)
			deliverCalls(c, start+min(test.sample, 50*time.Millisecond), 2, 29, 0)
			deliverCalls(c, start+test.sample, 2, 1, 0)
			if test.at >= 1500*time.Millisecond {
				deliverCalls(c, start+1500*time.Millisecond, 2, 1, 0)
			}
			c.SetEngineLoad(start+test.at, EngineLoad{Utilization: 1})
			wantReason(t, "decision", c.Admit(start+test.at, 3, 0, test.timeLeft), test.want)
		})
	}
}

// A message that waits for a saturated engine also waits for the round in progress.
func TestExpectedEngineWaitIncludesLag(t *testing.T) {
	for _, test := range []struct {
		name string
		lag  time.Duration
		want Reason // for a message that may wait for 10.4 s, with 100 ahead of it at 10 a second
	}{
		{"within the allowed wait", 400 * time.Millisecond, Admitted},
		{"beyond the allowed wait", 400*time.Millisecond + tick, Saturated},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := New(Settings{Weights: []float64{1}})
			load := EngineLoad{Lag: test.lag, Utilization: 1}
			c.SetEngineLoad(start, load)
			adoptMessages(c, start, 1, 0, 100)
			deliverCalls(c, start+100*time.Millisecond, 2, 1, 0)
			c.SetEngineLoad(start+100*time.Millisecond, load)
			wantReason(t, "decision", c.Admit(start+100*time.Millisecond, 3, 0, 20800*time.Millisecond), test.want)
		})
	}
}

// A destination may use eight times the free capacity; with messages of the lowest weight, a sixteenth of that.
func TestCapacityShareDependsOnFreeCapacityAndWeight(t *testing.T) {
	for _, test := range []struct {
		name            string
		capacity, other int // capacity, and messages in flight to another destination
		own, class      int
		want            Reason
		wantRetry       time.Duration
	}{
		{"last message of the share", 90, 0, 79, 1, Admitted, 0}, // 80 of 8 * 11
		{"exactly the share", 89, 0, 79, 1, Admitted, 0},         // 80 of 8 * 10
		{"one more than the share", 90, 0, 80, 1, NoCapacity, time.Second},
		{"no free capacity", 90, 90, 0, 1, NoCapacity, time.Second},
		{"low weight, far above the share", 90, 70, 9, 0, NoCapacity, time.Second}, // 10 of 0.5 * 11
		{"low weight within the share", 90, 70, 5, 0, Admitted, 0},                 // 6 of 0.5 * 15
		{"low weight, above the share", 90, 70, 7, 0, NoCapacity, time.Second},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := New(Settings{Weights: []float64{1, 100}, Capacity: test.capacity})
			adoptMessages(c, start, 2, 1, test.other)
			adoptMessages(c, start, 1, test.class, test.own)
			got := c.Admit(start, 1, test.class, time.Minute)
			wantReason(t, "decision", got, test.want)
			if got.RetryAfter != test.wantRetry {
				t.Errorf("retry delay: got %v, want %v", got.RetryAfter, test.wantRetry)
			}
		})
	}
}
