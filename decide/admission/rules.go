package admission

import "time"

const (
	// CapacityFactor is the multiple of the free capacity that one destination may use with messages of the highest
	// weight. If n destinations are overloaded, 1/(1+n*CapacityFactor) of the capacity stays free for the others.
	CapacityFactor = 8
	// minCapacityFactorFraction is the smallest fraction of CapacityFactor that applies to a class.
	minCapacityFactorFraction = 1.0 / 16
	// MaxWaitFraction is the maximum expected wait as a fraction of the time until the deadline. The remainder allows
	// for falling rates, failing calls and the call itself.
	MaxWaitFraction = 0.5
	// minCallsLeft is the number of mean call durations that must remain when a message is sent.
	minCallsLeft = 4
	// minRateFraction is the fraction of a rate that is available to each class, regardless of the admitted messages
	// of higher weight.
	minRateFraction = 1.0 / 16
	// minTrialMessages is the number of messages that a failing destination may have in flight even if the expected
	// outage is too long: without a message to send, the node would not detect the end of the outage.
	minTrialMessages = 4
)

// checkSaturation rejects a message that the engine would not process in time.
//
// The inputs are the expected wait for the engine (see engineState.expectedWait) and the time until the deadline. A
// message is rejected if its expected wait exceeds MaxWaitFraction of that time.
//
// If the engine cannot process a message in time, the message would expire after it was accepted, regardless of its
// destination.
func (c *Controller) checkSaturation(now Time, timeLeft time.Duration) Decision {
	wait, maxWait := c.engine.expectedWait(now, c.inFlight), MaxWaitFraction*float64(timeLeft)
	if float64(wait) <= maxWait {
		return Decision{}
	}
	return Decision{Saturated, c.engine.retryAfter(now, wait-time.Duration(maxWait))}
}

// checkCapacity rejects a message whose destination already uses its share of the capacity.
//
// The inputs are the numbers of messages in flight, in total and of the destination, and the priority weight of the
// class. The messages in flight to a destination are limited to the factor of the class times the free capacity.
// The factor is CapacityFactor for the class of the highest weight, and proportionally less for others.
//
// The share shrinks as the capacity is used up, so an overloaded destination leaves capacity for the others.
func (c *Controller) checkCapacity(now Time, d *destination, class int) Decision {
	if c.capacity <= 0 {
		return Decision{}
	}
	limit := c.capacityFactors[class] * float64(c.capacity-c.inFlight)
	excess := float64(d.inFlight) + 1 - limit
	if c.inFlight < c.capacity && excess <= 0 {
		return Decision{}
	}
	earliest, rate := defaultRetryAfter, d.knownRate(now)
	if rate > 0 {
		earliest = durationFromSeconds(max(1, excess) / rate)
	}
	return Decision{NoCapacity, d.retries.next(now, earliest, rate)}
}

// checkDeadline rejects a message that its destination would not accept in time.
//
// The inputs are the expected wait (see expectedWait), the time until the deadline and the mean call duration. A
// message is rejected if its expected wait exceeds MaxWaitFraction of that time, or if less than minCallsLeft mean
// call durations would remain. A failing destination may still have minTrialMessages in flight, if its Retry-After
// ends early enough to send one of them in time.
//
// A message that expires in the queue costs storage and memory, and its client receives the failure late.
func (c *Controller) checkDeadline(now Time, d *destination, class int, timeLeft time.Duration) Decision {
	wait, rate := c.expectedWait(now, d, class)
	maxWait := min(time.Duration(MaxWaitFraction*float64(timeLeft)), timeLeft-minCallsLeft*d.meanCallDuration)
	isTrial := d.failing && d.inFlight < minTrialMessages && d.closedUntil-now <= maxWait
	if wait <= maxWait || isTrial {
		return Decision{}
	}
	return Decision{TooLate, d.retries.next(now, wait-maxWait, rate)}
}

// expectedWait returns how long a message of a class waits at a destination before it is sent, and the rate at which
// messages of that class are delivered, in messages a second, or 0 if that is unknown.
//
// The message waits for the end of an outage, and for the messages in flight that have at least its weight. Those are
// delivered at the rate of the destination less the rate at which messages of higher weight are admitted.
func (c *Controller) expectedWait(now Time, d *destination, class int) (time.Duration, float64) {
	outage, rate := d.expectedOutage(now), d.knownRate(now)
	if rate == 0 {
		return outage, 0
	}
	ahead, higherRate := 0, 0.0
	for i, n := range d.byClass {
		if c.weights[i] >= c.weights[class] {
			ahead += n
		}
		if c.weights[i] > c.weights[class] {
			higherRate += d.admitted[i].perSecond(now)
		}
	}
	rate = max(rate-higherRate, minRateFraction*rate)
	return outage + durationFromSeconds(float64(ahead)/rate), rate
}
