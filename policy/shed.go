package policy

import (
	"cmp"
	"slices"
	"time"
)

const (
	// reservedFraction is the fraction of the in-flight capacity that is kept free: messages that arrive at
	// full capacity are rejected before the sender sees them, whatever their value.
	reservedFraction = 0.15
	// maxShedValue is the expected value, as a fraction of a message's full value, below which it may be
	// given up to free capacity.
	maxShedValue = 0.9
	// noRejectionValue is added to the expected value of a message that can't be rejected: its client would
	// not know whether it is safe to submit it again.
	noRejectionValue = 0.1
)

// UsableCapacity returns the part of an in-flight capacity, in messages, above which the sender gives up
// messages to free capacity.
func UsableCapacity(capacity int) int {
	return capacity - max(1, int(reservedFraction*float64(capacity)))
}

// giveUpTime returns the latest time to give up a message: a tick before giveUpAt, so that its client is
// notified in time even if a step is late.
func (s *Sender) giveUpTime(m *message) Time { return m.giveUpAt - s.settings.Tick }

// giveUpDue gives up the messages whose giveUpTime has been reached, and those that can no longer be sent.
func (s *Sender) giveUpDue() {
	due := s.queues.undeliverable
	add := func(m *message) { due = append(due, m) }
	s.queues.deadline.PopUntil(int64(s.now+s.settings.Tick), add)
	s.queues.dedupExpiry.PopUntil(int64(s.now), add)
	slices.SortFunc(due, func(a, b *message) int { return cmp.Compare(a.entry.Seq, b.entry.Seq) })
	for _, m := range due {
		if !m.done {
			s.giveUp(m)
		}
	}
	clear(due)
	s.queues.undeliverable = due[:0]
}

// giveUp ends a message without delivery. The message is rejected if that is allowed, because its client may
// then submit it again, and fails otherwise.
func (s *Sender) giveUp(m *message) {
	if s.mayReject(m) {
		var wait time.Duration
		if s.settings.AdviseRetryAfter {
			wait = min(s.settings.MaxRetryAfter, s.expectedQueueDelay(m.dest))
		}
		s.actions = append(s.actions, Reject{Message: m.id, RetryAfter: wait})
	} else {
		s.actions = append(s.actions, Fail{Message: m.id})
	}
	s.finish(m)
}

// shedLoad gives up messages while more than the usable in-flight capacity is in use, beginning with those
// that are expected to earn the smallest fraction of their value. It does nothing if Settings.MaxInFlight is
// 0.
func (s *Sender) shedLoad() {
	if s.settings.MaxInFlight <= 0 {
		return
	}
	usable := UsableCapacity(s.settings.MaxInFlight)
	if s.queues.deadline.Len() <= usable {
		return
	}
	for _, d := range s.queues.nonEmpty.Values() {
		s.findShedCandidate(d)
	}
	for s.queues.deadline.Len() > usable {
		var first candidate
		for _, d := range s.queues.nonEmpty.Values() {
			if first.message == nil || d.shedCandidate.before(first) {
				first = d.shedCandidate
			}
		}
		if first.message == nil {
			return
		}
		s.giveUp(first.message)
		s.findShedCandidate(first.message.dest)
	}
}

// findShedCandidate sets the shedCandidate of a destination to the message that is expected to earn the
// smallest fraction of its value, if that is below maxShedValue. Of the plain messages of a class it
// considers only the oldest, because value falls with age. The score of the candidate is the negated
// fraction.
func (s *Sender) findShedCandidate(d *destination) {
	if d.backlog == nil {
		return
	}
	d.shedCandidate = candidate{}
	delay, slotFactor := s.expectedQueueDelay(d), 1.0
	// While all slots are in use, a message to a slow destination earns less per second of slot time.
	if s.slots.outstanding >= s.settings.Slots && len(d.paths) > 0 {
		slotFactor = min(1, s.slots.meanLatency/d.paths[0].latency.Mean.Seconds())
	}
	consider := func(m *message) bool {
		value := m.value.At(s.now-m.createdAt+delay) / m.class.Value * slotFactor
		if !s.mayReject(m) {
			value += noRejectionValue
		}
		c := candidate{message: m, score: -value}
		isFirst := d.shedCandidate.message == nil || c.before(d.shedCandidate)
		if m.class.Value > 0 && value < maxShedValue && isFirst {
			d.shedCandidate = c
		}
		return true
	}
	d.queue.Distinct()(consider)
	d.queue.OldestPlain()(consider)
}
