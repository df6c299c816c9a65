package group

import (
	"context"
	"errors"
	"fmt"
	"time"
	"wingmount/internal/message"
	"wingmount/internal/store"
	"wingmount/policy"
)

var errClosed = fmt.Errorf("%w: the store is closed", store.ErrUnavailable)

// Accept implements [store.Store]. If the last transaction failed, it rejects the message immediately.
func (q *Queue) Accept(ctx context.Context, m *message.Message) error {
	r, err := q.enqueueAccept(m)
	if err != nil {
		return err
	}
	select {
	case err := <-r.done:
		return err
	case <-ctx.Done():
	}
	if err := q.giveUpAccept(r); err != nil {
		return fmt.Errorf("%w: %w", err, ctx.Err())
	}
	return <-r.done
}

// enqueueAccept assigns the next sequence number to a message and queues its Accept record.
func (q *Queue) enqueueAccept(m *message.Message) (*Record, error) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if err := q.closedOrFenced(); err != nil {
		return nil, err
	}
	if q.failure != nil {
		return nil, q.classifyError(q.failure)
	}
	q.lastSeq++
	m.Seq = q.lastSeq
	r := &Record{Kind: Accept, Message: m, Seqs: []policy.MessageID{m.Seq}, At: time.Now(), hasWaiter: true}
	q.enqueue(r)
	return r, nil
}

// giveUpAccept is called when the context of Accept ends. It returns the error for the caller. It returns nil if the
// caller must continue to wait: a transaction may be persisting the record, and without onLate nothing else would receive
// the message.
func (q *Queue) giveUpAccept(r *Record) error {
	q.mu.Lock()
	defer q.mu.Unlock()
	switch {
	case r.state == queued:
		r.state = cancelled
		return store.ErrUnavailable
	case r.state == claimed && q.onLate != nil:
		r.state = abandoned
		return store.ErrUndecided
	}
	return nil
}

// RecordAttempt implements [store.Store].
func (q *Queue) RecordAttempt(ctx context.Context, a store.Attempt) error {
	r, err := q.enqueueAttempt(a)
	if err != nil {
		return err
	}
	return q.wait(ctx, r)
}

// enqueueAttempt queues the record of an attempt. It returns an error if one of its messages must not be sent.
func (q *Queue) enqueueAttempt(a store.Attempt) (*Record, error) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if err := q.closedOrFenced(); err != nil {
		return nil, err
	}
	for _, m := range a.Messages {
		if q.unfinished[m.Seq] == nil {
			return nil, fmt.Errorf("message %s: %w", m.ID, store.ErrCompleted)
		}
		if m.History.KeyExpired(m.KeyWindow, a.At) {
			return nil, fmt.Errorf("message %s: %w", m.ID, store.ErrKeyExpired)
		}
	}
	r := &Record{Kind: Attempt, Endpoint: a.Endpoint, At: a.At, Until: a.Until, hasWaiter: true}
	for _, m := range a.Messages {
		m.History.RecordAttempt(a.Zone, a.At)
		r.Seqs, r.Histories = append(r.Seqs, m.Seq), append(r.Histories, m.History)
	}
	q.enqueue(r)
	return r, nil
}

// RecordOutcome implements [store.Store]. For a delivery it waits until the record is durable; it only queues other
// outcomes.
func (q *Queue) RecordOutcome(ctx context.Context, o store.Outcome) error {
	r, err := q.enqueueOutcome(o)
	if err != nil || r == nil || !r.hasWaiter {
		return err
	}
	return q.wait(ctx, r)
}

// enqueueOutcome queues the record of an outcome. It returns a nil record if the message is already completed.
func (q *Queue) enqueueOutcome(o store.Outcome) (*Record, error) {
	m := o.Message
	q.mu.Lock()
	defer q.mu.Unlock()
	if err := q.closedOrFenced(); err != nil {
		return nil, err
	}
	if q.unfinished[m.Seq] == nil {
		return nil, nil
	}
	m.History.RecordOutcome(o.Outcome)
	r := &Record{
		Kind: Outcome, Seqs: []policy.MessageID{m.Seq}, Histories: []message.History{m.History}, Endpoint: o.Endpoint, At: o.At,
		EndpointHealth: q.updateEndpointHealth(o),
	}
	switch {
	case o.Outcome == policy.Delivered:
		r.Responses, r.WithoutNotification, r.hasWaiter = []message.FinalResponse{{Kind: message.Delivered}}, !q.cfg.NotifyDelivered, true
		if q.cfg.NotifyDelivered {
			m.FinalResponse = &r.Responses[0]
			q.trackUnwritten(m, r, 0)
		}
		delete(q.unfinished, m.Seq)
	case o.CompletesUndelivered:
		r.Responses, r.WithoutNotification = []message.FinalResponse{{Kind: message.Failed}}, true
		delete(q.unfinished, m.Seq)
	}
	q.enqueue(r)
	return r, nil
}

// updateEndpointHealth applies an outcome to the health of its endpoint. It returns the new health, which must be written,
// or nil if the health did not change.
func (q *Queue) updateEndpointHealth(o store.Outcome) *store.EndpointHealth {
	h := q.endpointHealth[o.Endpoint]
	switch o.Outcome {
	case policy.Failed, policy.TimedOut, policy.Unreachable, policy.Reset:
		h = &store.EndpointHealth{FailedAt: o.At}
	case policy.Delivered:
		if h == nil || !h.RecoveredAt.IsZero() {
			return nil
		}
		h = &store.EndpointHealth{FailedAt: h.FailedAt, RecoveredAt: o.At}
	default:
		return nil
	}
	q.endpointHealth[o.Endpoint] = h
	return h
}

// Complete implements [store.Store].
func (q *Queue) Complete(ctx context.Context, completions ...store.Completion) error {
	r, err := q.enqueueCompletions(completions)
	if err != nil {
		return err
	}
	return q.wait(ctx, r)
}

// enqueueCompletions queues one record with the completions of unfinished messages. If there are none, the record is only
// a barrier.
func (q *Queue) enqueueCompletions(completions []store.Completion) (*Record, error) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if err := q.closedOrFenced(); err != nil {
		return nil, err
	}
	r := &Record{Kind: Complete, At: time.Now(), hasWaiter: true}
	for _, c := range completions {
		m := c.Message
		if q.unfinished[m.Seq] == nil {
			continue
		}
		m.FinalResponse = &c.Response
		delete(q.unfinished, m.Seq)
		r.Seqs, r.Responses = append(r.Seqs, m.Seq), append(r.Responses, c.Response)
		q.trackUnwritten(m, r, len(r.Responses)-1)
	}
	q.enqueue(r)
	return r, nil
}

// MarkNotified implements [store.Store].
func (q *Queue) MarkNotified(_ context.Context, ms ...*message.Message) error {
	q.mu.Lock()
	defer q.mu.Unlock()
	if err := q.closedOrFenced(); err != nil {
		return err
	}
	r := &Record{Kind: Notified, At: time.Now()}
	for _, m := range ms {
		r.Seqs = append(r.Seqs, m.Seq)
	}
	q.enqueue(r)
	return nil
}

// closedOrFenced returns the error of a closed or fenced queue, to which no record may be added, or nil. It is called with
// the lock held.
func (q *Queue) closedOrFenced() error {
	if q.closing {
		return errClosed
	}
	return q.fencedErr
}

// wait waits until a record is decided and returns its result.
func (q *Queue) wait(ctx context.Context, r *Record) error {
	select {
	case err := <-r.done:
		return err
	case <-ctx.Done():
		return fmt.Errorf("%w: %w", store.ErrUnavailable, ctx.Err())
	}
}

// classifyError wraps a transaction's error for the callers whose records failed: in [store.ErrFull] or
// [store.ErrUnavailable]. It returns [store.ErrFenced] and [store.ErrUndecided] unchanged.
func (q *Queue) classifyError(err error) error {
	if errors.Is(err, store.ErrFenced) || errors.Is(err, store.ErrUndecided) {
		return err
	}
	if q.backend.Full(err) {
		return fmt.Errorf("%w: %w", store.ErrFull, err)
	}
	return fmt.Errorf("%w: %w", store.ErrUnavailable, err)
}
