package policy

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"
	"wingmount/internal/estimate"
)

const (
	// waitingCheckInterval is the longest time between two steps while messages wait in queues.
	waitingCheckInterval = 20 * time.Millisecond
	// minPacedAllotment is the allotment of calls in a narrow window above which the sender also wakes as
	// soon as the spacing of calls on a path allows the next one: the gaps are then at most
	// twice waitingCheckInterval.
	minPacedAllotment = 40
)

// Sender makes the delivery decisions of one node. It is not safe for concurrent use.
type Sender struct {
	settings Settings
	rng      *rand.Rand
	values   []estimate.Value // value of a message by its age, for each class
	// maxMessageAge is the longest time that a message may wait, or the overload window if that is longer.
	maxMessageAge time.Duration
	// lowAllotmentCut is the factor by which a rejection cuts an allotment of one call or less.
	lowAllotmentCut float64

	steps     int      // number of steps, including the current one
	startedAt Time     // time of the first step
	now       Time     // time of the current step
	actions   []Action // actions of the current step
	wakeAt    Time     // the earliest pending wake-up, or 0

	registry     registry
	queues       messageQueues
	slots        slotUsage
	peers        peerReports
	subscription subscription
}

// subscription is the state of the subscription to the endpoint list.
type subscription struct {
	active  bool // the subscription exists, or the request for it is in progress
	retryAt Time // when to subscribe again after a failure
}

// New returns a sender without destinations, endpoints and messages. All its randomness comes from seed.
func New(settings Settings, seed uint64) *Sender {
	settings.Senders = max(settings.Senders, 1)
	settings.Slots = max(settings.Slots, 1)
	// The last kind and the last fee apply to entries with an unknown kind or zone.
	settings.Kinds = append(slices.Clone(settings.Kinds), Kind{MaxBatch: 1})
	settings.ZoneFee = append(slices.Clone(settings.ZoneFee), 0)
	s := &Sender{
		settings:        settings,
		rng:             rand.New(rand.NewPCG(seed, seed^0x9e3779b97f4a7c15)),
		maxMessageAge:   settings.OverloadWindow,
		lowAllotmentCut: math.Pow(float64(settings.Senders), -1.0/rejectionsToMinAllotment),
		registry:        newRegistry(settings.Senders),
		queues:          newMessageQueues(),
		slots:           slotUsage{meanLatency: initialLatency.Seconds(), relativeLatency: 1},
	}
	for _, c := range settings.Classes {
		s.maxMessageAge = max(s.maxMessageAge, c.Deadline)
		s.values = append(s.values, estimate.Value{
			SoftDeadline: c.SoftDeadline, Deadline: c.Deadline, Full: c.Value,
			LateFraction: c.LateValue, Halves: settings.HalvesLate,
		})
	}
	return s
}

// Step applies the events observed since the last step, and appends the actions that the node must execute
// now. The node calls it when it has observed events, and when a requested [Wake] is due.
//
// now must come from a monotonic clock. Step does not detect a time before that of the last step: pauses,
// timeouts and rates are then measured from times in the future. Step panics if the class of a message is not
// in the settings.
func (s *Sender) Step(now Time, events []Event, actions []Action) []Action {
	s.now, s.actions = now, actions
	if s.steps++; s.steps == 1 {
		s.startedAt = now
	}
	onlyReports := len(events) > 0
	for _, event := range events {
		_, isReport := event.(PeerMessage)
		onlyReports = onlyReports && isReport
		s.handle(event)
	}
	s.evict()
	if !onlyReports { // reports free no capacity, and a wake-up is already pending for waiting messages
		s.decide()
	}
	actions, s.actions = s.actions, nil
	return actions
}

// handle applies one event. It panics if the class of a message is not in the settings.
func (s *Sender) handle(event Event) {
	switch e := event.(type) {
	case EndpointUpdate:
		s.applyEndpointList(e)
	case SubscriptionFailed:
		s.subscription.active = false
		s.subscription.retryAt = s.now + backoffMax/2 + estimate.Jitter(s.rng, backoffMax/2)
	case Arrived:
		s.addMessage(e)
	case AttemptCompleted:
		s.completeAttempt(e)
	case Withdrawn:
		if m := s.queues.messages[e.Message]; m != nil && !m.done {
			s.finish(m)
		}
	case PeerMessage:
		s.receiveReport(e)
	case HealthRestored:
		s.restoreHealth(e)
	case Woken:
		if s.wakeAt <= s.now {
			s.wakeAt = 0
		}
	}
}

// decide appends the actions that are due: a subscription, outcomes of messages, calls, and the next wake-up.
func (s *Sender) decide() {
	if s.settings.MustSubscribe && !s.subscription.active && s.now >= s.subscription.retryAt {
		s.subscription.active = true
		s.actions = append(s.actions, Subscribe{})
	}
	s.queues.plainExpiry.PopUntil(int64(s.now), func(m *message) { m.dest.queue.MakeDistinct(&m.entry) })
	s.giveUpDue()
	s.shedLoad()
	s.dispatch()
	s.scheduleWake()
}

// scheduleWake requests the next step: within waitingCheckInterval while messages wait in queues, otherwise
// when the next message must be given up.
func (s *Sender) scheduleWake() {
	next := Time(math.MaxInt64)
	if s.settings.MustSubscribe && !s.subscription.active {
		next = s.subscription.retryAt
	}
	if first, _ := s.queues.deadline.Min(); first != nil {
		next = min(next, s.giveUpTime(first.Value))
	}
	if s.queues.waiting > 0 {
		next = min(next, s.now+waitingCheckInterval)
	}
	for _, d := range s.queues.nonEmpty.Values() {
		for _, p := range d.paths {
			at := p.limiter.nextCallAt(s.settings.Tick)
			if at > s.now && p.limiter.allotment > minPacedAllotment {
				next = min(next, at)
			}
		}
	}
	next = max(next, s.now+1)
	if next < math.MaxInt64 && (s.wakeAt == 0 || next < s.wakeAt) {
		s.wakeAt = next
		s.actions = append(s.actions, Wake{At: next})
	}
}
