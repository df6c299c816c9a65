// Package estimate contains the estimators of the decision module: response latency, the rate of successful calls, the
// value of a message at an age, and delays with backoff and jitter. It does no I/O and reads no clock.
package estimate

import (
	"math"
	"math/rand/v2"
	"time"
	"wingmount/internal/container"
)

const (
	// Gain is the weight of a new value in a moving average.
	Gain = 0.2
	// SlowGain is the weight of a new value in a slow baseline.
	SlowGain = 0.02
	// peakDeviations is the expected distance of the best window (Rate.Peak) above the mean, in standard deviations.
	peakDeviations = 2
	// minWindowSuccesses is the lowest mean number of successes per window to which peakDeviations applies. With a
	// lower mean the best window is further above the mean.
	minWindowSuccesses = 2
	// minRatio and maxRatio bound the ratio of one response's latency to the mean.
	minRatio, maxRatio = 0.2, 5
)

// Latency estimates the latency of responses by moving averages.
type Latency struct {
	Mean      time.Duration // initially an estimate that the caller sets
	Deviation time.Duration // mean absolute deviation from Mean
	Baseline  time.Duration // slow moving average, 0 before the first response
	observed  bool
}

// Observe records the latency of a response. It returns the ratio of the latency to the mean, limited to minRatio and
// maxRatio. The first response has no ratio, and only half of its latency counts: the averages start at the mean of
// that latency and the initial Mean.
func (l *Latency) Observe(latency time.Duration) (ratio float64, ok bool) {
	if !l.observed {
		latency = (latency + l.Mean) / 2
		l.Mean, l.Baseline, l.Deviation, l.observed = latency, latency, latency, true
		return 0, false
	}
	ratio = min(maxRatio, max(minRatio, float64(latency)/float64(l.Mean)))
	l.Deviation += time.Duration((math.Abs(float64(latency-l.Mean)) - float64(l.Deviation)) * Gain)
	l.Mean += time.Duration(float64(latency-l.Mean) * Gain)
	l.Baseline += time.Duration(float64(latency-l.Baseline) * SlowGain)
	return ratio, true
}

// Slow reports whether the mean latency exceeds the baseline by more than a factor.
func (l *Latency) Slow(factor float64) bool {
	return l.Baseline > 0 && float64(l.Mean) > factor*float64(l.Baseline)
}

// WarmUpFactor returns the available fraction of the capacity at an age since recovery. The fraction rises linearly from
// initial to 1 over the warm-up time. It is 1 if the warm-up time is 0.
func WarmUpFactor(age, warmUp time.Duration, initial float64) float64 {
	if warmUp <= 0 {
		return 1
	}
	return min(1, initial+(1-initial)*float64(age)/float64(warmUp))
}

// Jitter returns a random duration from 0 up to, but not including, d. It returns 0 if d is not positive.
func Jitter(rng *rand.Rand, d time.Duration) time.Duration {
	if d <= 0 {
		return 0
	}
	return time.Duration(rng.Int64N(int64(d)))
}

// Rate estimates the rate of successful calls of one of several senders to a destination.
type Rate struct {
	Window container.Window // times of recent successes
	Total  int              // number of successes so far
	Peak   int              // highest number of successes within a window so far
}

// Record records a successful call.
func (r *Rate) Record(now time.Duration) {
	r.Total++
	r.Window.Record(now)
	r.Peak = max(r.Peak, r.Window.Count(now))
}

// SenderShare returns the rate of this sender's successful calls, in calls per second, over the elapsed time since it
// started sending. The shares of all senders add up to the destination's rate.
//
// The share is max(mean rate, best window's rate - chance). The best window of one sender is peakDeviations standard
// deviations above its mean. The best windows of different senders are at different times, so the excess of all n
// senders together is only 1/sqrt(n) of the sum of their excesses. Each sender subtracts the rest as due to chance.
func (r *Rate) SenderShare(elapsed time.Duration, senders int) float64 {
	span := r.Window.Span
	mean := float64(r.Total) / max(span, elapsed).Seconds()
	chanceFraction := 1 - 1/math.Sqrt(float64(senders))
	chance := peakDeviations * chanceFraction * math.Sqrt(max(minWindowSuccesses, mean*span.Seconds()))
	return max(mean, (float64(r.Peak)-chance)/span.Seconds())
}

// Value is the value of delivering a message, as a function of the message's age. It is Full until SoftDeadline, then
// falls to no less than the fraction LateFraction of Full, and is 0 from Deadline on.
type Value struct {
	SoftDeadline, Deadline time.Duration
	Full, LateFraction     float64
	// Halves selects an exponential fall: the value halves with each further SoftDeadline of age, down to LateFraction
	// of Full. Otherwise the value falls linearly.
	Halves bool
}

// At returns the value at an age.
func (v *Value) At(age time.Duration) float64 {
	late := float64(age - v.SoftDeadline)
	switch {
	case age >= v.Deadline:
		return 0
	case age <= v.SoftDeadline:
		return v.Full
	case v.Halves:
		return v.Full * max(v.LateFraction, math.Exp2(-late/float64(v.SoftDeadline)))
	}
	return v.Full * (1 - (1-v.LateFraction)*late/float64(v.Deadline-v.SoftDeadline))
}

// Breakpoints returns the ages at which the formula of the value changes. The loss over an interval is
// At(age) - At(age+interval). As long as neither age nor age+interval passes a breakpoint, the loss is convex or rising.
func (v *Value) Breakpoints() []time.Duration {
	floor := v.Deadline // age at which an exponential fall reaches LateFraction
	if v.Halves && v.LateFraction > 0 {
		floor = v.SoftDeadline + time.Duration(float64(v.SoftDeadline)*-math.Log2(v.LateFraction))
	}
	return []time.Duration{v.SoftDeadline, floor, v.Deadline}
}

// LossBreakpoints returns the ages at which the formula of the loss over an interval changes, for an interval that
// begins the given delay after the age.
func (v *Value) LossBreakpoints(delay, interval time.Duration) (ages []time.Duration) {
	for _, at := range v.Breakpoints() {
		ages = append(ages, at-delay, at-delay-interval)
	}
	return ages
}
