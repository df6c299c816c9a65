package admission

import "time"

// minOutageDuration is the time without a success after which consecutive failures count as an outage.
const minOutageDuration = time.Second

// destination is the state of one destination.
type destination struct {
	inFlight    int   // messages in flight
	byClass     []int // messages in flight, by class
	outstanding int   // messages in calls that have not ended
	admitted    []admittedRate

	rate             deliveryRate
	meanCallDuration time.Duration // 0 before the first call

	failing      bool // the last outcome was a failure
	failingSince Time // time of the first consecutive failure
	closedUntil  Time // end of the latest Retry-After

	retries    retryPacer
	lastUsedAt Time
}

func newDestination(now Time, classes int) *destination {
	return &destination{byClass: make([]int, classes), admitted: make([]admittedRate, classes), rate: deliveryRate{updatedAt: now}}
}

// updateSampling starts or ends a rate sample. The rate is sampled only while messages wait.
func (d *destination) updateSampling(now Time) {
	d.rate.setBacklog(now, d.inFlight > d.outstanding)
}

// observeCallDuration adds a call to the moving average of call durations.
func (d *destination) observeCallDuration(duration time.Duration) {
	if d.meanCallDuration == 0 {
		d.meanCallDuration = duration
	}
	d.meanCallDuration += time.Duration(callDurationGain * float64(duration-d.meanCallDuration))
}

// knownRate returns the rate at which the destination accepts calls, in messages a second, or 0 if it is unknown. A
// rate expires after Retention, except while calls fail, since no rate can be measured then.
func (d *destination) knownRate(now Time) float64 {
	if now-d.rate.updatedAt > Retention && !d.failing {
		return 0
	}
	return d.rate.perSecond
}

// outage reports whether calls have failed for long enough to count as an outage.
func (d *destination) outage(now Time) bool {
	return d.failing && now-d.failingSince >= minOutageDuration
}

// expectedOutage returns how long the destination is expected to accept no calls: until its Retry-After ends, or for
// as long as the current outage has lasted, whichever is longer.
func (d *destination) expectedOutage(now Time) time.Duration {
	wait := max(0, d.closedUntil-now)
	if d.outage(now) {
		wait = max(wait, now-d.failingSince)
	}
	return wait
}
