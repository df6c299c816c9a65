package container

import (
	"math"
	"slices"
	"time"
)

// Window is a sliding window of times in ascending order, such as the times of calls. The zero Window has length 0.
type Window struct {
	Span  time.Duration // length of the window; a time is outside once its age is Span or more
	times []time.Duration
}

// Record adds a time, which must not be before the last one.
func (w *Window) Record(now time.Duration) { w.times = append(w.times, now) }

// RecordOnly adds a time and drops all others. It is for windows of which only the last time is used.
func (w *Window) RecordOnly(now time.Duration) { w.times = append(w.times[:0], now) }

// Count returns the number of times in the window, and drops the times outside. It keeps the last time even if that is
// outside, for NthLatest and Next.
func (w *Window) Count(now time.Duration) int {
	outside := 0
	for outside < len(w.times) && now-w.times[outside] >= w.Span {
		outside++
	}
	n := len(w.times) - outside
	if n == 0 && outside > 0 {
		outside--
	}
	w.times = w.times[outside:] // append reallocates at the end of the array, which frees the dropped times
	return n
}

// NthLatest returns the nth latest time; n = 1 is the latest. It returns false if fewer than n times are kept.
func (w *Window) NthLatest(n int) (at time.Duration, ok bool) {
	if n < 1 || len(w.times) < n {
		return 0, false
	}
	return w.times[len(w.times)-n], true
}

// Next returns the earliest time at which another event may be recorded, so that the mean gap between events is at least
// gap. The gap is in nanoseconds and above 0. The caller checks once per tick, so all events that are due within a tick
// may be recorded at once.
func (w *Window) Next(gap float64, tick time.Duration) time.Duration {
	dueInTick := max(1, math.Ceil(float64(tick)/gap))
	earlier, ok := w.NthLatest(int(min(dueInTick, float64(len(w.times)+1))))
	if !ok {
		return 0
	}
	return earlier + time.Duration(dueInTick*gap)
}

// Len returns the number of kept times, which may include one outside the window.
func (w *Window) Len() int { return len(w.times) }

// Insert inserts times at their positions in ascending order. They may be before the last time.
func (w *Window) Insert(times []time.Duration) {
	for _, at := range times {
		i := len(w.times)
		for i > 0 && w.times[i-1] > at {
			i--
		}
		w.times = slices.Insert(w.times, i, at)
	}
}
