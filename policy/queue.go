package policy

import (
	"wingmount/internal/container"
	"wingmount/internal/estimate"
)

// maxSpareBacklogs is the maximum number of backlogs that are kept for reuse.
const maxSpareBacklogs = 1024

// minPlainTicks is the minimum time left, in ticks, of a plain message. A plain message also has no key and
// no earlier attempt, so it differs from other plain messages of its class only by age.
const minPlainTicks = 3

// message is one message, from its arrival until it is done and no attempt at it is outstanding.
type message struct {
	id        MessageID
	class     *Class
	value     *estimate.Value
	dest      *destination
	key       *container.KeyQueue[*message] // nil without a key
	createdAt Time                          // when it was first submitted
	giveUpAt  Time

	entry           container.Entry[*message] // in the queue of its destination
	deadlineItem    container.Item[*message]
	dedupItem       container.Item[*message]
	plainExpiryItem container.Item[*message]

	attempts   int
	call       *call     // the call with the outstanding attempt, or nil
	notBefore  Time      // end of its backoff
	lastFailed *endpoint // that of the last failed attempt, or nil

	firstRunAt        Time  // when the first attempt that may have run was sent
	firstRunZone      int32 // the zone to which it was sent
	mayHaveRun        bool  // an attempt may have run, or is outstanding
	earlierMayHaveRun bool  // an attempt that is over may have run
	done              bool  // it has its outcome
}

// call is one outstanding call, with one message or a batch.
type call struct {
	endpoint   *endpoint
	sentAt     Time
	size       int  // number of messages
	unfinished int  // number of messages without an outcome
	recorded   bool // an outcome has been applied to the endpoint's health
}

// backlog contains the unfinished messages of a destination.
type backlog struct {
	outstanding int                       // number of outstanding calls
	queue       container.Queue[*message] // messages without an outstanding attempt
	unfinished  int                       // number of messages, including those with an outstanding attempt

	rankedAt      int         // the step in which ranked was computed; 0 if it must be computed again
	ranked        []candidate // candidates to be sent next: the best at index 0, the others unsorted
	shedCandidate candidate   // see findShedCandidate
}

// messageQueues contains the messages of all destinations, with the indexes that a step uses.
type messageQueues struct {
	messages map[MessageID]*message
	keys     container.KeyQueues[*message] // messages with an ordered key
	arrivals uint64                        // number of messages that have arrived
	waiting  int                           // number of messages in the queues of destinations
	nonEmpty container.OrderedSet[*destination]
	backlogs container.Pool[backlog]

	plainExpiry   container.Heap[*message] // plain messages, by the time until which they are plain
	deadline      container.Heap[*message] // messages that are not done, by giveUpAt
	dedupExpiry   container.Heap[*message] // queued messages, by the end of their dedup window
	undeliverable []*message               // can no longer be sent; some may be done
}

func newMessageQueues() messageQueues {
	return messageQueues{
		messages: map[MessageID]*message{},
		backlogs: container.Pool[backlog]{MaxSpare: maxSpareBacklogs},
	}
}

// addMessage adds a message that has arrived, or was restored. It panics if its class is not in the settings.
func (s *Sender) addMessage(a Arrived) {
	q := &s.queues
	class := &s.settings.Classes[a.Class]
	m := &message{
		id: a.Message, class: class, value: &s.values[a.Class], dest: s.destination(a.Destination),
		createdAt: min(s.now, a.GiveUpAt-class.Deadline), giveUpAt: a.GiveUpAt,
		attempts: a.Past.Attempts, mayHaveRun: a.Past.MayHaveRun, earlierMayHaveRun: a.Past.MayHaveRun,
		firstRunAt: a.Past.FirstRunAt, firstRunZone: int32(a.Past.FirstRunZone),
	}
	q.arrivals++
	m.deadlineItem.Value, m.dedupItem.Value, m.plainExpiryItem.Value = m, m, m
	m.entry = container.Entry[*message]{
		Value: m, Class: a.Class, CreatedAt: int64(m.createdAt), Seq: q.arrivals,
	}
	q.messages[m.id] = m
	s.activate(m.dest)
	if m.dest.backlog == nil {
		m.dest.backlog = q.backlogs.Get()
		m.dest.rankedAt = 0
	}
	m.dest.unfinished++
	q.deadline.Set(&m.deadlineItem, int64(m.giveUpAt))
	if class.Ordered && a.Key != 0 {
		m.key = q.keys.Add(a.Key, m)
	}
	if m.entry.Plain = m.key == nil && m.attempts == 0 && !m.mayHaveRun; m.entry.Plain {
		q.plainExpiry.Set(&m.plainExpiryItem, int64(m.giveUpAt-minPlainTicks*s.settings.Tick))
	}
	s.enqueue(m)
}

// enqueue adds a message without an outstanding attempt to the queue of its destination.
func (s *Sender) enqueue(m *message) {
	q := &s.queues
	if m.attempts > 0 || m.mayHaveRun {
		m.dest.queue.MakeDistinct(&m.entry)
	}
	m.dest.queue.Add(&m.entry)
	q.nonEmpty.Add(m.dest.order, m.dest)
	q.waiting++
	switch {
	case m.attempts >= s.settings.MaxAttempts || m.mayHaveRun && m.class.Repeat == AtMostOnce:
		q.undeliverable = append(q.undeliverable, m)
	case m.mayHaveRun && m.class.Repeat == Deduplicated:
		q.dedupExpiry.Set(&m.dedupItem, int64(m.firstRunAt+m.class.DedupWindow))
	}
}

// dequeue removes a message from the queue of its destination, if it is there.
func (s *Sender) dequeue(m *message) {
	q := &s.queues
	if m.dest.queue.Remove(&m.entry) {
		q.waiting--
		q.dedupExpiry.Remove(&m.dedupItem)
		if m.dest.queue.Len() == 0 {
			q.nonEmpty.Remove(m.dest.order)
		}
	}
}

// finish marks a message as done. It deletes the message, unless an attempt is outstanding: completeAttempt
// then deletes it.
func (s *Sender) finish(m *message) {
	m.done = true
	s.queues.deadline.Remove(&m.deadlineItem)
	s.queues.plainExpiry.Remove(&m.plainExpiryItem)
	s.dequeue(m)
	if m.call == nil {
		s.remove(m)
	}
}

// remove deletes a message that is done.
func (s *Sender) remove(m *message) {
	q := &s.queues
	delete(q.messages, m.id)
	q.keys.Remove(m.key, m, s.now)
	if m.dest.unfinished--; m.dest.unfinished == 0 {
		clear(m.dest.ranked)
		q.backlogs.Put(m.dest.backlog)
		m.dest.backlog = nil
	}
}
