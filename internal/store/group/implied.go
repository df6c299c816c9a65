package group

import (
	"time"
	"wingmount/internal/message"
)

// unwrittenResponse is a final response whose record is not written yet.
type unwrittenResponse struct {
	message  *message.Message
	record   *Record
	index    int // of the response in record.Responses
	queuedAt time.Time
}

// trackUnwritten tracks a final response until it is written. It is called, with the lock held, for each response of which
// the client will be notified.
func (q *Queue) trackUnwritten(m *message.Message, r *Record, index int) {
	q.unwritten[m.Seq] = unwrittenResponse{message: m, record: r, index: index, queuedAt: time.Now()}
}

// retractUnwritten removes the unwritten final responses from their messages. It keeps responses that the lease implies,
// because their clients may have been notified. It is called with the lock held, before the callers waiting for the
// records return.
func (q *Queue) retractUnwritten() {
	for _, u := range q.unwritten {
		u.message.FinalResponse = nil
	}
	clear(q.unwritten)
}

// runImplied periodically replaces unwritten final responses by those that the lease implies, and passes their messages to
// onImplied. It returns when the writer has ended.
func (q *Queue) runImplied(lease Implier) {
	ticker := time.NewTicker(impliedCheckInterval)
	defer ticker.Stop()
	for {
		select {
		case <-q.writerDone:
			return
		case <-ticker.C:
		}
		notify, messages := q.applyImplied(time.Now(), lease.ImpliedUntil)
		for _, m := range messages {
			notify(m)
		}
	}
}

// applyImplied replaces each unwritten response for which isImplied is true by the implied failure. It returns the affected
// messages, and the function to call with each.
func (q *Queue) applyImplied(now time.Time, impliedUntil func() time.Time) (notify func(*message.Message), messages []*message.Message) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.onImplied == nil || q.fencedErr != nil {
		return q.onImplied, nil
	}
	until := impliedUntil()
	for seq, u := range q.unwritten {
		if !u.isImplied(now, until) {
			continue
		}
		delete(q.unwritten, seq)
		u.record.Responses[u.index] = message.FinalResponse{Kind: message.Failed, Implied: true}
		u.message.FinalResponse = &u.record.Responses[u.index]
		messages = append(messages, u.message)
	}
	return q.onImplied, messages
}

// isImplied reports whether an unwritten response must be replaced by the failure that the lease implies. The message's
// deadline must not be after impliedUntil, and both the deadline and the queueing of the response must be at least
// impliedDelay ago. A response in a transaction whose result is unknown is excluded, because that transaction may persist
// it unchanged.
func (u unwrittenResponse) isImplied(now, impliedUntil time.Time) bool {
	deadline := u.message.Deadline
	if u.record.state != queued || deadline.After(impliedUntil) {
		return false
	}
	return now.Sub(deadline) >= impliedDelay && now.Sub(u.queuedAt) >= impliedDelay
}
