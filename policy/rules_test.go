package policy

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// eventStream generates a seeded stream of random but valid events for one sender. It checks each action against the
// rules that can be checked from the state of one node.
type eventStream struct {
	t                *testing.T
	rng              *rand.Rand
	set              Settings
	sender           *Sender
	now              Time
	destinationCount int
	entries          []Entry
	notReady         map[EndpointID]Time // when the list changed it to draining or removed
	retryAfters      map[limitKey]Time   // when the latest Retry-After ends
	messages         map[MessageID]*streamMessage
	keyOrder         map[uint64][]*streamMessage // by key: not done, or with an outstanding attempt
	cooldowns        map[uint64]Time             // by key
	wakes            []Time
	lastID           MessageID
	outstanding      []*attempt
	sends            int
}

// limitKey identifies a rate limit: that of one endpoint with a separate route, otherwise that of a destination.
type limitKey struct {
	destination int
	endpoint    EndpointID // 0 for all endpoints of the destination
}

// streamMessage is the expected state of a message.
type streamMessage struct {
	id           MessageID
	class        int
	destination  int
	key          uint64
	giveUpAt     Time
	done         bool
	attempts     int
	outstanding  *attempt
	mayHaveRun   bool
	firstRunAt   Time
	firstRunZone int
}

// attempt is an outstanding attempt, with its future outcome.
type attempt struct {
	message    *streamMessage
	number     int
	entry      Entry
	sent       Time
	due        Time
	outcome    Outcome
	retryAfter time.Duration
	call       int
}

func testSettings() Settings {
	return Settings{
		Senders: 2, Slots: 6, MaxInFlight: 60, MaxAttempts: 6, MaxRetryAfter: 3 * time.Second, AdviseRetryAfter: true,
		Tick: 5 * time.Millisecond, ConnectTimeout: time.Second,
		Kinds: []Kind{{MaxBatch: 1}, {MaxBatch: 4}, {MaxBatch: 3, SeparateRoutes: true}},
		Classes: []Class{
			{Repeat: Idempotent, SoftDeadline: time.Second, Deadline: 5 * time.Second, Value: 1},
			{
				Repeat: Deduplicated, GroupAll: true, DedupWindow: 4 * time.Second, SoftDeadline: 2 * time.Second,
				Deadline: 12 * time.Second, Value: 3, LateValue: 0.4,
			},
			{
				Repeat: Deduplicated, GroupZone: true, DedupWindow: 6 * time.Second, SoftDeadline: 2 * time.Second,
				Deadline: 12 * time.Second, Value: 1, LateValue: 0.4,
			},
			{Repeat: AtMostOnce, SoftDeadline: 2 * time.Second, Deadline: 9 * time.Second, Value: 4, LateValue: 0.2},
			{
				Repeat: Deduplicated, GroupAll: true, DedupWindow: 6 * time.Second, Ordered: true,
				SoftDeadline: 2 * time.Second, Deadline: 10 * time.Second, Value: 1, LateValue: 0.4,
			},
			{Repeat: AtMostOnce, Ordered: true, SoftDeadline: 2 * time.Second, Deadline: 10 * time.Second, Value: 1},
		},
		ZoneFee: []float64{0.05, 0}, DrainGrace: time.Second, InitialCapacity: 0.2, WarmUp: 8 * time.Second,
		OverloadFactor: 2, OverloadWindow: 2 * time.Second, KeyCooldown: 300 * time.Millisecond,
	}
}

func (s *eventStream) limitKey(e Entry) limitKey {
	if s.set.Kinds[e.Kind].SeparateRoutes {
		return limitKey{e.Destination, e.Endpoint}
	}
	return limitKey{destination: e.Destination}
}

func (s *eventStream) entry(id EndpointID) *Entry {
	for i := range s.entries {
		if s.entries[i].Endpoint == id {
			return &s.entries[i]
		}
	}
	return nil
}

// events returns the events of one step, with new messages if arrivals is true.
func (s *eventStream) events(arrivals bool) []Event {
	var events []Event
	pending := s.outstanding[:0]
	for _, a := range s.outstanding {
		if a.due > s.now {
			pending = append(pending, a)
			continue
		}
		m := a.message
		m.outstanding = nil
		final := a.outcome == Delivered && !m.done
		events = append(events, AttemptCompleted{
			Message: m.id, Attempt: a.number, Endpoint: a.entry.Endpoint,
			Outcome: a.outcome, RetryAfter: a.retryAfter, Final: final || m.done, Duration: s.now - a.sent,
		})
		switch a.outcome {
		case RateLimited, Unreachable, NotSent:
			if a.retryAfter > 0 {
				p := s.limitKey(a.entry)
				s.retryAfters[p] = max(s.retryAfters[p], s.now+a.retryAfter)
			}
		default:
			if !m.mayHaveRun {
				m.mayHaveRun, m.firstRunAt, m.firstRunZone = true, a.sent, a.entry.Zone
			}
		}
		if a.outcome == TimedOut || a.outcome == Reset || a.outcome == Cancelled {
			s.cooldowns[m.key] = max(s.cooldowns[m.key], s.now+s.set.KeyCooldown)
		}
		if final {
			s.finish(m)
		} else if m.done {
			s.removeFromKeyOrder(m)
		}
	}
	s.outstanding = pending
	if s.rng.IntN(400) == 0 { // an endpoint is drained, removed or ready again
		e := &s.entries[s.rng.IntN(len(s.entries))]
		state := EndpointState(s.rng.IntN(3))
		if state == Ready {
			delete(s.notReady, e.Endpoint)
		} else if e.State == Ready {
			s.notReady[e.Endpoint] = s.now
		}
		e.State = state
		if s.rng.IntN(2) == 0 {
			events = append(events, EndpointUpdate{Entries: []Entry{*e}})
		} else {
			var complete []Entry
			for _, e := range s.entries {
				if e.State != Removed {
					complete = append(complete, e)
				}
			}
			events = append(events, EndpointUpdate{Complete: true, Entries: complete})
		}
	}
	for arrivals && s.rng.IntN(5) == 0 && s.unfinished() < s.set.MaxInFlight {
		s.lastID++
		m := &streamMessage{
			id: s.lastID, class: s.rng.IntN(len(s.set.Classes)),
			destination: s.rng.IntN(s.destinationCount),
		}
		class := s.set.Classes[m.class]
		m.giveUpAt = s.now + class.Deadline - time.Duration(s.rng.Int64N(int64(class.Deadline/4)))
		if class.Ordered {
			m.key = uint64(s.rng.IntN(4))
			if m.key != 0 {
				s.keyOrder[m.key] = append(s.keyOrder[m.key], m)
			}
		}
		s.messages[m.id] = m
		events = append(events, Arrived{
			Message: m.id, Destination: m.destination, Class: m.class, Key: m.key,
			GiveUpAt: m.giveUpAt,
		})
	}
	if s.rng.IntN(300) == 0 {
		id := MessageID(s.rng.Uint64N(uint64(s.lastID)+1)) + 1
		if m := s.messages[id]; m != nil && !m.done {
			s.finish(m)
		}
		events = append(events, Withdrawn{Message: id}) // sometimes of a message that is done
	}
	remaining := s.wakes[:0]
	for _, w := range s.wakes {
		if w <= s.now {
			events = append(events, Woken{})
		} else {
			remaining = append(remaining, w)
		}
	}
	s.wakes = remaining
	return events
}

// completeList returns the event with the initial endpoint list.
func (s *eventStream) completeList() []Event {
	return []Event{EndpointUpdate{Complete: true, Entries: s.entries}}
}

// unfinished returns how many messages are not done.
func (s *eventStream) unfinished() int {
	n := 0
	for _, m := range s.messages {
		if !m.done {
			n++
		}
	}
	return n
}

// finish marks a message as done. It is removed from the order of its key once no attempt is outstanding.
func (s *eventStream) finish(m *streamMessage) {
	m.done = true
	if m.outstanding == nil {
		s.removeFromKeyOrder(m)
	}
}

func (s *eventStream) removeFromKeyOrder(m *streamMessage) {
	s.keyOrder[m.key] = slices.DeleteFunc(s.keyOrder[m.key], func(o *streamMessage) bool { return o == m })
}

// check applies the actions of a step, and fails the test if one breaks a rule.
func (s *eventStream) check(actions []Action) {
	batchSizes := map[EndpointID]int{}
	callNumbers := map[EndpointID]int{}
	for _, a := range actions {
		switch a := a.(type) {
		case Wake:
			if a.At <= s.now {
				s.t.Fatalf("%v: got a wake-up at %v, want it after now", s.now, a.At)
			}
			s.wakes = append(s.wakes, a.At)
		case Reject, Fail:
			var id MessageID
			reject, rejected := a.(Reject)
			if rejected {
				id = reject.Message
			} else {
				id = a.(Fail).Message
			}
			m := s.messages[id]
			if m == nil || m.done {
				s.t.Fatalf("%v: got an outcome of message %d, which is unknown or done", s.now, id)
			}
			class := s.set.Classes[m.class]
			ran := m.mayHaveRun || m.outstanding != nil
			if rejected && ran && (class.Repeat == AtMostOnce || class.Repeat == Deduplicated && !class.GroupAll) {
				s.t.Fatalf("%v: message %d of class %d rejected though it may have run", s.now, id, m.class)
			}
			s.finish(m)
		case Send:
			s.checkSend(a, batchSizes, callNumbers)
		}
	}
}

// checkSend fails the test if a send breaks a rule, and otherwise applies it and draws its outcome. Both maps are
// keyed by endpoint: batchSizes contains the size of the last call of this step, callNumbers its number.
func (s *eventStream) checkSend(a Send, batchSizes, callNumbers map[EndpointID]int) {
	m, e := s.messages[a.Message], s.entry(a.Endpoint)
	fail := func(format string, args ...any) {
		problem := fmt.Sprintf(format, args...)
		s.t.Fatalf("%v: send of message %d to endpoint %d: %s", s.now, a.Message, a.Endpoint, problem)
	}
	if m == nil || m.done {
		fail("the message is unknown or done")
	}
	if m.outstanding != nil {
		fail("an attempt is outstanding")
	}
	if e.Destination != m.destination {
		fail("the endpoint belongs to another destination")
	}
	since, notReady := s.notReady[e.Endpoint]
	if notReady && (e.State == Removed || s.now-since > s.set.DrainGrace) {
		fail("the endpoint has been in state %d since %v", e.State, since)
	}
	if until := s.retryAfters[s.limitKey(*e)]; s.now < until {
		fail("a Retry-After lasts until %v", until)
	}
	if m.attempts >= s.set.MaxAttempts {
		fail("all %d attempts have been made", m.attempts)
	}
	if a.Timeout <= 0 || s.now+a.Timeout > m.giveUpAt {
		fail("timeout %v is not between 0 and the %v left", a.Timeout, m.giveUpAt-s.now)
	}
	class := s.set.Classes[m.class]
	if m.mayHaveRun {
		if class.Repeat == AtMostOnce {
			fail("the AtMostOnce message may have run")
		}
		repeatable := s.now-m.firstRunAt < class.DedupWindow && (!class.GroupZone || e.Zone == m.firstRunZone)
		if class.Repeat == Deduplicated && !repeatable {
			fail("the message may have run at %v in zone %d, and the endpoint does not drop the repeat", m.firstRunAt, m.firstRunZone)
		}
	}
	if m.key != 0 {
		if s.keyOrder[m.key][0] != m {
			fail("message %d precedes it in the order of its key", s.keyOrder[m.key][0].id)
		}
		if m.attempts == 0 && s.now < s.cooldowns[m.key] {
			fail("its key is cooling down until %v", s.cooldowns[m.key])
		}
	}
	s.sends++
	if n := batchSizes[e.Endpoint]; n == 0 || n == s.set.Kinds[e.Kind].MaxBatch {
		batchSizes[e.Endpoint], callNumbers[e.Endpoint] = 0, s.sends
	}
	batchSizes[e.Endpoint]++
	next := &attempt{message: m, number: m.attempts, entry: *e, sent: s.now, call: callNumbers[e.Endpoint]}
	calls := map[int]bool{next.call: true}
	for _, o := range s.outstanding {
		calls[o.call] = true
	}
	if len(calls) > s.set.Slots {
		fail("%d calls are outstanding with %d slots", len(calls), s.set.Slots)
	}
	next.outcome = Outcome(s.rng.IntN(int(NotSent)))
	if s.rng.IntN(3) > 0 {
		next.outcome = Delivered
	}
	next.due = s.now + time.Duration(s.rng.Int64N(int64(400*time.Millisecond)))
	if next.outcome == TimedOut || next.due > s.now+a.Timeout {
		next.outcome, next.due = TimedOut, s.now+a.Timeout
	}
	if next.outcome == RateLimited && s.rng.IntN(2) == 0 {
		next.retryAfter = time.Duration(1+s.rng.IntN(4000)) * time.Millisecond
	}
	m.attempts++
	m.outstanding = next
	s.outstanding = append(s.outstanding, next)
}

func newEventStream(t *testing.T, seed uint64) *eventStream {
	t.Helper()
	s := &eventStream{
		t: t, rng: rand.New(rand.NewPCG(seed, 1)), set: testSettings(), destinationCount: 6, now: time.Hour,
		notReady: map[EndpointID]Time{}, retryAfters: map[limitKey]Time{},
		messages: map[MessageID]*streamMessage{},
		keyOrder: map[uint64][]*streamMessage{}, cooldowns: map[uint64]Time{},
	}
	s.sender = New(s.set, seed)
	for i := range 12 {
		s.entries = append(s.entries, Entry{
			Endpoint: EndpointID(100 + i), Destination: i % s.destinationCount,
			Kind: i % s.destinationCount % 3, Zone: i / s.destinationCount, State: Ready,
		})
	}
	return s
}

// TestActionsObeyRulesOnRandomStreams runs seeded streams with every outcome, drains, complete lists and withdrawals. It
// checks all rules on every action: for deadlines, retries, key order, Retry-After, slots and endpoint states.
func TestActionsObeyRulesOnRandomStreams(t *testing.T) {
	for seed := uint64(1); seed <= 12; seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			s := newEventStream(t, seed)
			s.check(s.sender.Step(s.now, s.completeList(), nil))
			for i := range 16000 {
				s.now += s.set.Tick
				events := s.events(i < 12000)
				if len(events) > 0 {
					s.check(s.sender.Step(s.now, events, nil))
				}
				for _, m := range s.messages {
					if !m.done && s.now > m.giveUpAt+20*time.Millisecond {
						t.Fatalf("%v: message %d of class %d has no outcome, want one by %v",
							s.now, m.id, m.class, m.giveUpAt)
					}
				}
			}
			if s.unfinished() > 0 || s.sends < 300 {
				t.Errorf("got %d unfinished messages and %d sends at the end, want 0 and at least 300", s.unfinished(), s.sends)
			}
			queues, calls := &s.sender.queues, s.sender.slots.outstanding
			if len(queues.messages) > 0 || calls > 0 || queues.deadline.Len() > 0 {
				t.Errorf("sender still has %d messages, %d outstanding calls and %d deadlines at the end, want none", len(queues.messages), calls, queues.deadline.Len())
			}
		})
	}
}

// TestSameEventsAndSeedGiveSameActions runs a stream twice. The actions must depend only on the events, their times and
// the seed, for example not on the order of map iteration.
func TestSameEventsAndSeedGiveSameActions(t *testing.T) {
	runStream := func() string {
		s := newEventStream(t, 7)
		log := fmt.Sprint(s.sender.Step(s.now, s.completeList(), nil))
		for range 4000 {
			s.now += s.set.Tick
			actions := s.sender.Step(s.now, s.events(true), nil)
			s.check(actions)
			log += fmt.Sprint(actions)
		}
		return log
	}
	if first, second := runStream(), runStream(); first != second {
		t.Error("got different actions in two runs of the same stream")
	}
}
