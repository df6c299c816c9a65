package estimate

import (
	"math"
	"slices"
	"testing"
	"time"
	"wingmount/internal/container"

	"pgregory.net/rapid"
)

// Between two breakpoints, the loss over an interval is highest at one end. The scheduler relies on this: it considers
// only the oldest and the youngest messages between two breakpoints. The value never rises with age.
func TestLossIsHighestAtBreakpoints(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		v := Value{
			SoftDeadline: time.Duration(rapid.IntRange(1, 300).Draw(t, "soft deadline")) * time.Millisecond, Full: 1,
			LateFraction: rapid.SampledFrom([]float64{0, 0.1, 0.5, 1}).Draw(t, "late fraction"), Halves: rapid.Bool().Draw(t, "halves"),
		}
		v.Deadline = v.SoftDeadline * time.Duration(rapid.IntRange(1, 6).Draw(t, "deadline"))
		interval := time.Duration(rapid.IntRange(1, 500).Draw(t, "interval")) * time.Millisecond
		var breakpoints []time.Duration
		for _, at := range v.Breakpoints() {
			breakpoints = append(breakpoints, at, at-interval)
		}
		slices.Sort(breakpoints)
		loss := func(age time.Duration) float64 { return v.At(age) - v.At(age+interval) }
		from := time.Duration(0)
		for _, to := range append(breakpoints, 2*v.Deadline) {
			if to <= from {
				continue
			}
			highest := max(loss(from), loss(to-1))
			for age := from; age < to; age += max(1, (to-from)/50) {
				if loss(age) > highest+1e-6 {
					t.Fatalf("%+v over %v: got a loss of %f at %v, want at most %f, the loss at the ends of %v to %v", v, interval, loss(age), age, highest, from, to)
				}
			}
			from = to
		}
		last := math.Inf(1)
		for age := time.Duration(0); age < v.Deadline+time.Second; age += 7 * time.Millisecond {
			if value := v.At(age); value > last {
				t.Fatalf("at %v: got value %f, want at most the earlier value %f", age, value, last)
			} else {
				last = value
			}
		}
	})
}

// The averages follow the observed latencies, the first response counts half, and the ratio is limited.
func TestLatencyFollowsResponses(t *testing.T) {
	l := Latency{Mean: 500 * time.Millisecond}
	if _, ok := l.Observe(100 * time.Millisecond); ok || l.Mean != 300*time.Millisecond || l.Baseline != l.Mean {
		t.Errorf("after one response: got %+v, want a mean and a baseline of 300ms, and no ratio", l)
	}
	if r, ok := l.Observe(time.Minute); !ok || r != maxRatio {
		t.Errorf("ratio of a response after 1m: got %f, want %v", r, maxRatio)
	}
	for range 100 {
		l.Observe(100 * time.Millisecond)
	}
	if l.Mean > 101*time.Millisecond || l.Deviation > time.Millisecond || l.Baseline < 2*l.Mean {
		t.Errorf("after 101 responses: got %+v, want a mean near 100ms, no deviation and a baseline above twice the mean", l)
	}
}

// The share of a single sender is the rate of its best window. With many senders the excess due to chance is subtracted,
// but the share is never below the mean rate.
func TestSenderShareIsBestWindowLessChance(t *testing.T) {
	r := Rate{Window: container.Window{Span: 2 * time.Second}}
	for i := range 20 {
		r.Record(time.Hour + time.Duration(i)*time.Millisecond)
	}
	if got := r.SenderShare(10*time.Second, 1); got != 10 {
		t.Errorf("single sender: got %f calls per second, want 10", got)
	}
	if got := r.SenderShare(10*time.Second, 100); got >= 10 || got < 2 {
		t.Errorf("one of 100 senders: got %f calls per second, want less than 10 and at least 2", got)
	}
}
