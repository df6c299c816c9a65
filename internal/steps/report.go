package steps

import (
	"fmt"
	"slices"
	"time"
	"wingmount/policy"
)

// Cause is why a message was not delivered, as far as a recording shows.
type Cause int

// The causes. Those from NoEndpoint on are of messages that were given up near their deadline.
const (
	NoCapacity         Cause = iota // rejected long before its deadline, so that others could be accepted
	AttemptsExhausted               // all its attempts were made
	MayHaveRun                      // it may have run and must not be sent again
	NoEndpoint                      // its destination had no endpoint
	DestinationFailing              // the last call to its destination had failed
	NoCallSlot                      // all slots for calls were in use for most of the last second
	RateLimited                     // slots were free: the rate limits of its destination delayed it
	causes                          // the number of causes
)

// String returns what reports call a cause.
func (c Cause) String() string {
	if c < 0 || c >= causes {
		return fmt.Sprintf("Cause(%d)", int(c))
	}
	return [...]string{"no place in the hold", "attempts used up", "may have run", "no endpoint", "destination fails", "no slot", "paced"}[c]
}

const (
	// nearDeadline is how long before its deadline a message counts as given up because of that.
	nearDeadline = 100 * time.Millisecond
	// slotWindow is the time over which the use of slots for calls is observed.
	slotWindow = time.Second
)

// Report counts the outcomes of the messages of a recording during its replay.
type Report struct {
	Steps, Differing int
	FirstDiffering   *Step           // the first step in which this build decides differently
	Decided          []policy.Action // what it decides there
	Destinations     map[int]*DestinationReport

	unfinished        map[policy.MessageID]*unfinishedMessage
	destinationOf     map[policy.EndpointID]int
	readyEndpoints    map[int]map[policy.EndpointID]bool // by destination
	failing           map[int]bool                       // destinations whose last call failed
	outstanding       int                                // messages in calls
	maxOutstanding    int                                // so far: an estimate of the number of slots
	recentSteps       []policy.Time                      // within slotWindow
	recentStepsNoSlot []policy.Time                      // those after which no slot was free
}

// DestinationReport counts the outcomes of the messages for one destination.
type DestinationReport struct {
	Arrived, Sent, Delivered int
	Undelivered              [causes]int     // by cause
	Waits                    []time.Duration // of delivered messages, from arrival to the last attempt
}

// unfinishedMessage is a message without an outcome.
type unfinishedMessage struct {
	arrived    policy.Arrived
	arrivedAt  policy.Time
	sentAt     policy.Time // of the last attempt
	attempts   int
	mayHaveRun bool
}

// NewReport returns an empty report.
func NewReport() *Report {
	return &Report{
		Destinations: map[int]*DestinationReport{}, unfinished: map[policy.MessageID]*unfinishedMessage{},
		destinationOf: map[policy.EndpointID]int{}, readyEndpoints: map[int]map[policy.EndpointID]bool{}, failing: map[int]bool{},
	}
}

// destination returns the report of a destination, and adds it if there is none.
func (r *Report) destination(number int) *DestinationReport {
	if r.Destinations[number] == nil {
		r.Destinations[number] = &DestinationReport{}
	}
	return r.Destinations[number]
}

// Add counts a step. It is a function for [Replay], and never fails.
func (r *Report) Add(recorded Step, decided []policy.Action) error {
	r.Steps++
	if !sameActions(recorded.Actions, decided) {
		if r.Differing++; r.Differing == 1 {
			r.FirstDiffering, r.Decided = &recorded, decided
		}
	}
	for _, e := range recorded.Events {
		r.addEvent(recorded.Now, e)
	}
	for _, a := range recorded.Actions {
		r.addAction(recorded.Now, a)
	}
	r.observeSlots(recorded.Now)
	return nil
}

func (r *Report) addEvent(now policy.Time, e policy.Event) {
	switch e := e.(type) {
	case policy.EndpointUpdate:
		r.updateEndpoints(e)
	case policy.Arrived:
		r.unfinished[e.Message] = &unfinishedMessage{arrived: e, arrivedAt: now, attempts: e.Past.Attempts, mayHaveRun: e.Past.MayHaveRun}
		r.destination(e.Destination).Arrived++
	case policy.AttemptCompleted:
		r.completeAttempt(e)
	case policy.Withdrawn:
		delete(r.unfinished, e.Message)
	}
}

func (r *Report) addAction(now policy.Time, a policy.Action) {
	switch a := a.(type) {
	case policy.Send:
		r.outstanding++
		if m := r.unfinished[a.Message]; m != nil {
			m.sentAt, m.attempts = now, m.attempts+1
			r.destination(m.arrived.Destination).Sent++
		}
	case policy.Reject:
		r.countUndelivered(now, a.Message)
	case policy.Fail:
		r.countUndelivered(now, a.Message)
	}
}

// observeSlots records whether a slot for calls is free after a step.
func (r *Report) observeSlots(now policy.Time) {
	r.maxOutstanding = max(r.maxOutstanding, r.outstanding)
	old := func(at policy.Time) bool { return now-at > slotWindow }
	r.recentSteps = append(slices.DeleteFunc(r.recentSteps, old), now)
	if r.recentStepsNoSlot = slices.DeleteFunc(r.recentStepsNoSlot, old); r.outstanding >= r.maxOutstanding {
		r.recentStepsNoSlot = append(r.recentStepsNoSlot, now)
	}
}

// updateEndpoints applies an endpoint list or changes to it.
func (r *Report) updateEndpoints(update policy.EndpointUpdate) {
	if update.Complete {
		clear(r.readyEndpoints)
	}
	for _, e := range update.Entries {
		r.destinationOf[e.Endpoint] = e.Destination
		if r.readyEndpoints[e.Destination] == nil {
			r.readyEndpoints[e.Destination] = map[policy.EndpointID]bool{}
		}
		if e.State == policy.Ready {
			r.readyEndpoints[e.Destination][e.Endpoint] = true
		} else {
			delete(r.readyEndpoints[e.Destination], e.Endpoint)
		}
	}
}

// completeAttempt counts the outcome of an attempt.
func (r *Report) completeAttempt(e policy.AttemptCompleted) {
	r.outstanding--
	switch e.Outcome {
	case policy.NotSent, policy.Cancelled: // say nothing of the destination
	default:
		r.failing[r.destinationOf[e.Endpoint]] = e.Outcome != policy.Delivered
	}
	m := r.unfinished[e.Message]
	if m == nil {
		return
	}
	switch e.Outcome {
	case policy.RateLimited, policy.Unreachable, policy.NotSent: // it did not run
	default:
		m.mayHaveRun = true
	}
	if e.Outcome == policy.Delivered {
		d := r.destination(m.arrived.Destination)
		d.Delivered++
		d.Waits = append(d.Waits, m.sentAt-m.arrivedAt)
	}
	if e.Outcome == policy.Delivered || e.Final {
		delete(r.unfinished, e.Message)
	}
}

// countUndelivered counts a message that was rejected or failed, by its cause.
func (r *Report) countUndelivered(now policy.Time, id policy.MessageID) {
	m := r.unfinished[id]
	if m == nil {
		return
	}
	delete(r.unfinished, id)
	r.destination(m.arrived.Destination).Undelivered[r.cause(now, m)]++
}

// cause returns why a message is not delivered that is given up now.
func (r *Report) cause(now policy.Time, m *unfinishedMessage) Cause {
	early := m.arrived.GiveUpAt-now > nearDeadline
	switch {
	case early && m.mayHaveRun:
		return MayHaveRun
	case early && m.attempts > 1:
		return AttemptsExhausted
	case early:
		return NoCapacity
	case len(r.readyEndpoints[m.arrived.Destination]) == 0:
		return NoEndpoint
	case r.failing[m.arrived.Destination]:
		return DestinationFailing
	case len(r.recentStepsNoSlot) > len(r.recentSteps)/2:
		return NoCallSlot
	}
	return RateLimited
}
