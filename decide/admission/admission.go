// Package admission decides whether a node accepts a message, before anything is persisted. A message that would fail
// later is rejected immediately, with a delay after which it can be accepted.
//
// # Rules
//
// Three rules are applied to each message, in this order. Each is a function in rules.go:
//
//   - checkSaturation: the engine, which all destinations share, must process the message in time;
//   - checkCapacity: a destination may use a bounded multiple of the free capacity (dynamic thresholds: Choudhury
//     and Hahne, 1998), so that an overloaded destination leaves capacity for the others;
//   - checkDeadline: the destination must accept the message in time. By Little's law the wait is the number of messages
//     ahead of it divided by the rate at which the destination accepts calls.
//
// The rate of a destination is measured only while messages wait for it. Until it is known, it causes no rejection by
// checkDeadline. The delivery rate of the node is measured at all times. Until it is known, checkSaturation uses the
// time since the saturation began.
//
// # Concurrency
//
// The package does no I/O, starts no goroutine and reads no clock: the caller passes the time, and the same sequence of
// calls gives the same decisions. A [Controller] is not safe for concurrent use. It stores a few numbers for each
// destination that has messages in flight or was used within [Retention], and nothing for each message.
//
// Start reading at [Controller.Admit].
package admission

import (
	"math"
	"time"
	"wingmount/policy"
)

// Time is a reading of the clock of the caller, measured from an arbitrary fixed origin.
type Time = time.Duration

// Retention is how long a rate is valid without a new sample, and how long a destination without messages is kept.
const Retention = 30 * time.Second

// callDurationGain is the weight of a new call in the moving average of call durations.
const callDurationGain = 0.1

// Settings configures a [Controller].
type Settings struct {
	// Weights contains the priority weight of each class. A weight that is not positive counts as the lowest positive
	// weight, or as 1 if there is none.
	Weights []float64
	// Capacity is the maximum number of messages in flight; 0 means no limit.
	Capacity int
}

// Reason states why a message is admitted or rejected.
type Reason int

// The reasons.
const (
	Admitted   Reason = iota
	NoCapacity        // the destination uses its share of the capacity
	TooLate           // the destination would not accept the message in time
	Saturated         // the engine would not process the message in time
)

// String returns the reason in lower case.
func (r Reason) String() string {
	return [...]string{"admitted", "no capacity", "too late", "saturated"}[r]
}

// Decision is the result of [Controller.Admit].
type Decision struct {
	Reason Reason
	// RetryAfter is the delay after which the message can be admitted if nothing else arrives; 0 for an admitted
	// message. Clients that are rejected together receive increasing delays, spaced at the rate at which messages
	// complete.
	RetryAfter time.Duration
}

// ObservationKind is the kind of an observation.
type ObservationKind int

// The kinds of observations.
const (
	CallStarted      ObservationKind = iota // a call with the message was started
	CallCompleted                           // a call with the message ended: Outcome, RetryAfter and Duration are set
	MessageCompleted                        // the message has its final response: Class and MessageID are set
)

// Observation is an event of one message that the node reports to the controller.
type Observation struct {
	Kind        ObservationKind
	Destination int
	Class       int
	MessageID   string // for the caller; the controller ignores it
	Outcome     policy.Outcome
	RetryAfter  time.Duration // requested by the destination; 0 for none
	Duration    time.Duration // of the call
}

// Controller decides on the messages of one node.
type Controller struct {
	capacity        int
	weights         []float64 // by class
	capacityFactors []float64 // of the free capacity, by class
	inFlight        int       // messages, of all destinations
	destinations    map[int]*destination
	lastEvictionAt  Time
	engine          engineState
}

// New returns a controller for a node that has no messages in flight.
func New(s Settings) *Controller {
	c := &Controller{capacity: s.Capacity, destinations: map[int]*destination{}}
	lowest, highest := math.Inf(1), 0.0
	for _, w := range s.Weights {
		if w > 0 {
			lowest, highest = min(lowest, w), max(highest, w)
		}
	}
	if highest == 0 {
		lowest, highest = 1, 1
	}
	for _, w := range s.Weights {
		if !(w > 0) {
			w = lowest
		}
		c.weights = append(c.weights, w)
		c.capacityFactors = append(c.capacityFactors, CapacityFactor*max(minCapacityFactorFraction, w/highest))
	}
	return c
}

// InFlight returns the number of messages in flight.
func (c *Controller) InFlight() int { return c.inFlight }

// Destinations returns the number of destinations that the controller stores.
func (c *Controller) Destinations() int { return len(c.destinations) }

// destinationState returns the state of a destination, and creates it if necessary.
func (c *Controller) destinationState(now Time, number int) *destination {
	d := c.destinations[number]
	if d == nil {
		d = newDestination(now, len(c.weights))
		c.destinations[number] = d
	}
	d.lastUsedAt = now
	return d
}

// Admit decides on a message whose deadline is timeLeft from now. An admitted message counts as in flight until
// [Controller.Release] is called or a [MessageCompleted] is observed.
func (c *Controller) Admit(now Time, destination, class int, timeLeft time.Duration) Decision {
	c.evictIdleDestinations(now)
	d := c.destinationState(now, destination)
	if decision := c.checkSaturation(now, timeLeft); decision.Reason != Admitted {
		return decision
	}
	if decision := c.checkCapacity(now, d, class); decision.Reason != Admitted {
		return decision
	}
	if decision := c.checkDeadline(now, d, class, timeLeft); decision.Reason != Admitted {
		return decision
	}
	c.addInFlight(now, d, class)
	return Decision{}
}

// Adopt counts a message as in flight without a decision. It is called for messages that an earlier process or
// another node accepted.
func (c *Controller) Adopt(now Time, destination, class int) {
	c.addInFlight(now, c.destinationState(now, destination), class)
}

// Release stops counting an admitted message that the node then did not accept.
func (c *Controller) Release(now Time, destination, class int) {
	c.removeInFlight(c.destinationState(now, destination), class)
}

func (c *Controller) addInFlight(now Time, d *destination, class int) {
	c.inFlight++
	d.inFlight++
	if d.failing {
		c.engine.inFlightToFailing++
	}
	d.byClass[class]++
	d.admitted[class].add(now)
	d.updateSampling(now)
}

// removeInFlight must be called only for messages that are in flight.
func (c *Controller) removeInFlight(d *destination, class int) {
	c.inFlight--
	d.inFlight--
	if d.failing {
		c.engine.inFlightToFailing--
	}
	d.byClass[class]--
}

// Observe updates the controller with an observation of the node.
func (c *Controller) Observe(now Time, o Observation) {
	d := c.destinationState(now, o.Destination)
	switch o.Kind {
	case CallStarted:
		d.outstanding++
	case CallCompleted:
		d.outstanding = max(0, d.outstanding-1)
		c.observeOutcome(now, d, o)
		if o.RetryAfter > 0 {
			d.closedUntil = max(d.closedUntil, now+o.RetryAfter)
		}
	case MessageCompleted:
		c.removeInFlight(d, o.Class)
	}
	d.updateSampling(now)
}

func (c *Controller) observeOutcome(now Time, d *destination, o Observation) {
	switch o.Outcome {
	case policy.Delivered:
		if d.outage(now) {
			d.rate.restartSample(now) // a rate does not include the duration of an outage
		}
		c.setFailing(d, false)
		c.engine.observeDelivery(now)
		d.observeCallDuration(o.Duration)
		d.rate.observeDelivery(now, d.knownRate(now) > 0)
	case policy.NotSent, policy.Cancelled: // give no information about the destination
	default:
		if !d.failing {
			c.setFailing(d, true)
			d.failingSince = now
		}
	}
}

// setFailing records whether the last call to a destination failed. The messages of a failing destination wait for
// the destination, not for the engine.
func (c *Controller) setFailing(d *destination, failing bool) {
	if d.failing == failing {
		return
	}
	d.failing = failing
	if failing {
		c.engine.inFlightToFailing += d.inFlight
	} else {
		c.engine.inFlightToFailing -= d.inFlight
	}
}

// evictIdleDestinations removes destinations that have no messages and were not used within Retention. It scans the
// destinations at most once in each Retention.
func (c *Controller) evictIdleDestinations(now Time) {
	if now-c.lastEvictionAt < Retention {
		return
	}
	c.lastEvictionAt = now
	for number, d := range c.destinations {
		if d.inFlight == 0 && now-d.lastUsedAt >= Retention {
			delete(c.destinations, number)
		}
	}
}
