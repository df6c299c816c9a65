package admission

import (
	"math"
	"time"
)

const (
	// minSample and maxSample are the limits of the duration of a rate sample.
	minSample = 100 * time.Millisecond
	maxSample = 2 * time.Second
	// minFirstDeliveries and minDeliveries are the numbers of deliveries that a sample needs to complete before
	// maxSample.
	minFirstDeliveries = 3 // until a rate is known
	minDeliveries      = 8
	// riseGain and fallGain are the weights of a new sample. The average follows a rising rate faster than a falling
	// one.
	riseGain, fallGain = 0.5, 0.25
	// admittedRateWindow is the time constant over which the rate of admitted messages is averaged.
	admittedRateWindow = 2 * time.Second
)

// deliveryRate measures the rate at which a destination accepts calls. It samples only while messages wait, since
// without a backlog the delivery rate equals the arrival rate.
type deliveryRate struct {
	perSecond float64 // messages a second; 0 before the first sample
	updatedAt Time    // completion time of the last sample

	sampling    bool // a sample is in progress
	sampleStart Time
	deliveries  int // in the sample in progress
}

// setBacklog starts a sample when messages begin to wait, and ends it when no message waits. The delivery rate of a
// sample that ends in this way is a lower bound of the rate.
func (r *deliveryRate) setBacklog(now Time, waiting bool) {
	switch {
	case waiting && !r.sampling:
		r.sampling = true
		r.restartSample(now)
	case !waiting && r.sampling:
		r.sampling = false
		if duration := now - r.sampleStart; r.perSecond > 0 && duration >= minSample {
			if lowerBound := float64(r.deliveries) / duration.Seconds(); lowerBound > r.perSecond {
				r.perSecond, r.updatedAt = lowerBound, now
			}
		}
	}
}

// restartSample discards the sample in progress and starts another.
func (r *deliveryRate) restartSample(now Time) { r.sampleStart, r.deliveries = now, 0 }

// observeDelivery adds a delivery to the sample in progress and, once the sample is complete, the sample to the rate.
// known reports whether a rate is known: the first sample needs fewer deliveries and is not averaged.
func (r *deliveryRate) observeDelivery(now Time, known bool) {
	if !r.sampling {
		return
	}
	r.deliveries++
	duration := now - r.sampleStart
	needed := minDeliveries
	if !known {
		needed = minFirstDeliveries
	}
	if duration < minSample || r.deliveries < needed && duration < maxSample {
		return
	}
	sample := float64(r.deliveries) / duration.Seconds()
	switch {
	case !known:
		r.perSecond = sample
	case sample > r.perSecond:
		r.perSecond += riseGain * (sample - r.perSecond)
	default:
		r.perSecond += fallGain * (sample - r.perSecond)
	}
	r.updatedAt = now
	r.restartSample(now)
}

// admittedRate is the rate of admitted messages, as an exponentially weighted average.
type admittedRate struct {
	count     float64 // messages, decayed until updatedAt
	updatedAt Time
}

// perSecond returns the rate in messages a second.
func (a *admittedRate) perSecond(now Time) float64 {
	a.count *= math.Exp(-float64(now-a.updatedAt) / float64(admittedRateWindow))
	a.updatedAt = now
	return a.count / admittedRateWindow.Seconds()
}

// add counts one admitted message.
func (a *admittedRate) add(now Time) {
	a.perSecond(now) // decays the count
	a.count++
}

// durationFromSeconds converts seconds to a Duration of at most one hour.
func durationFromSeconds(s float64) time.Duration {
	return time.Duration(min(s, time.Hour.Seconds()) * float64(time.Second))
}
