package group

import (
	"errors"
	"slices"
	"time"
	"wingmount/internal/message"
	"wingmount/internal/store"
)

// queueStatus is the part of the queue's state that determines the writer's next step.
type queueStatus struct {
	records int // queued
	closing bool
	closeBy time.Time // set if closing is
	failure error     // of the last transaction, nil if it succeeded
}

// runWriter is the writer's goroutine. It returns when the queue is closed and all records are written, when a transaction
// fails after closeBy, or when the node is fenced.
func (q *Queue) runWriter() {
	defer close(q.writerDone)
	ticker := time.NewTicker(maintenanceInterval)
	defer ticker.Stop()
	lastMaintenance := time.Now()
	for {
		s := q.status()
		q.answerFinds()
		if now := time.Now(); s.failure == nil && !s.closing && now.Sub(lastMaintenance) >= maintenanceInterval {
			lastMaintenance = now
			if !q.maintain(now) {
				return
			}
		}
		switch {
		// After a failure the writer commits even without records: an empty transaction tests whether messages can be
		// accepted again.
		case s.records > 0, s.failure != nil && !s.closing:
			if !q.commitOrPause(s) {
				return
			}
			continue
		case s.closing:
			return
		}
		select {
		case <-q.wake:
		case <-ticker.C:
		}
	}
}

// status returns the current status of the queue.
func (q *Queue) status() queueStatus {
	q.mu.Lock()
	defer q.mu.Unlock()
	return queueStatus{records: len(q.updates) + len(q.accepts), closing: q.closing, closeBy: q.closeBy, failure: q.failure}
}

// commitOrPause commits one transaction, and pauses for commitRetryDelay if it fails. It returns false if the writer must
// return.
func (q *Queue) commitOrPause(s queueStatus) bool {
	err := q.commit()
	if errors.Is(err, store.ErrFenced) {
		q.stopFenced(err)
		return false
	}
	if err == nil {
		if s.failure != nil {
			q.log.Info("store: writable again, accepting new messages")
		}
		return true
	}
	if s.failure == nil || s.failure.Error() != err.Error() { // log each fault once
		q.log.Error("store: commit failed, rejecting new messages", "err", err)
	}
	if s.closing && time.Now().After(s.closeBy) {
		q.failRemaining(err)
		return false
	}
	time.Sleep(commitRetryDelay)
	return true
}

// maintain calls maintainBackend and handles its errors. It returns false if the writer must return.
func (q *Queue) maintain(now time.Time) bool {
	err := q.maintainBackend(now)
	if errors.Is(err, store.ErrFenced) {
		q.stopFenced(err)
		return false
	}
	if err != nil {
		q.log.Debug("store: maintenance failed", "err", err) // retried after maintenanceInterval
	}
	return true
}

// maintainBackend calls the backend's Maintain, then takes over messages of nodes whose leases have expired.
func (q *Queue) maintainBackend(now time.Time) error {
	if err := q.backend.Maintain(now); err != nil {
		return err
	}
	taker, ok := q.backend.(Taker)
	q.mu.Lock()
	capacity, adopt := q.capacity, q.adopt
	q.mu.Unlock()
	if !ok || adopt == nil {
		return nil
	}
	recovered, err := taker.TakeOver(now, capacity())
	if err != nil || len(recovered.Pending) == 0 {
		return err
	}
	q.mu.Lock()
	for _, m := range recovered.Unfinished() {
		q.unfinished[m.Seq] = m
	}
	q.mu.Unlock()
	adopt(recovered)
	return nil
}

// stopFenced makes all queued records and all later calls fail with the given error, because the node is fenced and must
// not write any further record. The new owner of the messages decides those final responses that were not written, so
// stopFenced removes them from the messages here.
func (q *Queue) stopFenced(err error) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.log.Error("store: node fenced, writes stopped permanently", "err", err)
	q.failure, q.fencedErr = err, err
	q.retractUnwritten()
	close(q.fenced)
	for _, r := range slices.Concat(q.updates, q.accepts) {
		r.done <- err
	}
	q.updates, q.accepts = nil, nil
}

// failRemaining sends the error to the callers of records that were not written by closeBy. The records stay queued, so
// that Close can count them.
func (q *Queue) failRemaining(err error) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, r := range slices.Concat(q.updates, q.accepts) {
		r.done <- q.classifyError(err)
	}
}

// batch is the content of one transaction.
type batch struct {
	records []*Record
	updates int // number of elements that it uses from the head of Queue.updates
	accepts int // number of elements that it uses from the head of Queue.accepts, including cancelled ones
}

// commit writes one transaction: the first updates and, after them, Accept records. Updates go first so that messages to
// accept, however many, delay neither calls nor final responses. The records of one message still stay in order, because
// its updates are queued only after its Accept has returned. If the transaction fails, all queued messages to accept are
// rejected, and the updates stay queued.
func (q *Queue) commit() error {
	// Records are claimed only after the transaction has begun: until then Accept calls can be cancelled.
	if err := q.backend.Begin(); err != nil {
		q.rejectAccepts(err)
		return err
	}
	b := q.claimBatch()
	results, err := q.backend.Commit(b.records)
	if err != nil {
		q.batchLimit = max(minBatchRecords, q.batchLimit/2)
		q.unclaim(b)
		q.rejectAccepts(err)
		return err
	}
	q.batchLimit = q.nextBatchLimit(len(b.records))
	onLate, late := q.finishBatch(b, results)
	for _, m := range late {
		onLate(m)
	}
	for i, r := range b.records {
		r.done <- results[i]
	}
	return nil
}

// nextBatchLimit returns the limit of records after a successful transaction with a number of them. A limit of time bounds
// how long messages to accept wait for updates on a slow or busy machine.
func (q *Queue) nextBatchLimit(written int) int {
	limit := min(maxBatchRecords, q.batchLimit*2)
	timer, ok := q.backend.(WriteTimer)
	if !ok || written == 0 {
		return limit
	}
	perRecord := timer.WriteTime() / time.Duration(written)
	if perRecord <= 0 {
		return limit
	}
	return min(limit, max(minBatchRecords, int(maxWriteTime/perRecord)))
}

// claimBatch claims the records of the next transaction; a claimed record can't be cancelled. Updates go first. If messages
// to accept are queued, 1/acceptShareDivisor of the batch is reserved for them.
func (q *Queue) claimBatch() batch {
	q.mu.Lock()
	defer q.mu.Unlock()
	reserved := min(len(q.accepts), q.batchLimit/acceptShareDivisor)
	b := batch{updates: min(len(q.updates), q.batchLimit-reserved)}
	b.records = make([]*Record, 0, min(len(q.updates)+len(q.accepts), q.batchLimit))
	b.records = append(b.records, q.updates[:b.updates]...)
	for b.accepts < len(q.accepts) && len(b.records) < q.batchLimit {
		if r := q.accepts[b.accepts]; r.state != cancelled {
			b.records = append(b.records, r)
		}
		b.accepts++
	}
	for _, r := range b.records {
		r.state = claimed
	}
	return b
}

// unclaim sets the records of a failed transaction, including abandoned ones, back to queued. They are still in the queue.
func (q *Queue) unclaim(b batch) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, r := range b.records {
		r.state = queued
	}
}

// finishBatch removes the records of a committed transaction from the queue. It returns the messages that were accepted
// after their callers had stopped waiting, and the function to call with each.
func (q *Queue) finishBatch(b batch, results []error) (onLate func(*message.Message), late []*message.Message) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.failure = nil // before any caller returns, because a caller may submit another message immediately
	q.updates, q.accepts = slices.Delete(q.updates, 0, b.updates), slices.Delete(q.accepts, 0, b.accepts)
	for i, r := range b.records {
		if r.Kind == Accept && results[i] == nil {
			q.unfinished[r.Message.Seq] = r.Message
			if r.state == abandoned {
				late = append(late, r.Message)
			}
		}
		r.state = decided
		if len(r.Responses) == 0 {
			continue
		}
		for _, seq := range r.Seqs {
			delete(q.unwritten, seq)
		}
	}
	return q.onLate, late
}

// rejectAccepts rejects the queued messages to accept. It also sets q.failure, so that later ones are rejected until a
// transaction succeeds: clients must not wait for a database that currently can't be written.
func (q *Queue) rejectAccepts(err error) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.failure = err // rejects further messages immediately
	for _, r := range q.accepts {
		r.state = cancelled
		r.done <- q.classifyError(err)
	}
	clear(q.accepts)
	q.accepts = q.accepts[:0]
}
