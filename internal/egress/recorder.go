// Package egress defines outgoing calls independently of the protocol: the call itself, the gates
// that can stop it before its first byte is sent, and the recorder that persists and reports its
// outcomes.
//
// A protocol implementation calls [Recorder.Begin] right before the first byte of a call and
// [Recorder.Finish] for each of its messages. Gates and the recorder are safe for concurrent use.
// A call belongs to one goroutine, except that several goroutines may call Finish: for each
// message, only the first Finish has an effect.
//
// Start reading at [Recorder].
package egress

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"time"
	"wingmount/internal/failpoint"
	"wingmount/internal/message"
	"wingmount/internal/store"
	"wingmount/policy"
)

const (
	// MaxRetryAfter is the longest Retry-After accepted from an endpoint, so that one wrong value
	// does not close a destination for days.
	MaxRetryAfter = 5 * time.Minute
	// RecordTimeout limits the time for persisting the attempts of a call; after it the call is
	// dropped. The time used is added to the call's limit, so that a slow store does not use up
	// the attempts of messages whose endpoint responds.
	RecordTimeout = 250 * time.Millisecond
)

// ErrClosed means that no call may be sent to an endpoint: it is draining, was removed, has moved, or
// sent a Retry-After. See also [ErrNoQuota].
var ErrClosed = errors.New("endpoint is closed to calls")

// ErrNoQuota means that this node may not call the destination now: the node's lease has expired
// or it has no quota of the destination's limit. ErrNoQuota wraps [ErrClosed].
var ErrNoQuota = fmt.Errorf("%w: this node has no quota of the destination's limit", ErrClosed)

// Failpoints around sending an attempt and persisting its outcome.
var (
	beforeAttempt = failpoint.New("carrier/before-attempt")
	afterAttempt  = failpoint.New("carrier/after-attempt")
	beforeOutcome = failpoint.New("carrier/before-outcome")
	afterOutcome  = failpoint.New("carrier/after-outcome")
)

// CallAuthorizer reports whether this node may call a destination now. It is used where
// destinations are assigned to nodes. MayCall is called before the first byte of each call;
// implementations must be fast and safe for concurrent use.
type CallAuthorizer interface{ MayCall(destination int) bool }

// Recorder persists the attempts and outcomes of calls and reports the outcomes. It is safe for
// concurrent use.
type Recorder struct {
	Store store.Store
	// Authorizer can forbid calls; nil allows all calls.
	Authorizer CallAuthorizer
	// WriteContext bounds the writes of outcomes; if it is nil, they are unbounded. It is cancelled only if the node
	// stops and the store could not persist the outcomes in time. Those outcomes stay queued in the store.
	WriteContext context.Context
	Log          *slog.Logger
	// OnOutcome is called once for each part. storeErr is the store's error if the outcome was not persisted.
	OnOutcome func(e policy.AttemptCompleted, storeErr error)
}

// CheckPermitted returns nil if a call whose attempts are persisted may be sent now. It is called
// right before the first byte on each connection of the call. It returns [ErrClosed] if a gate
// forbids the call, [ErrNoQuota] if the authorizer does, [store.ErrKeyExpired] if the idempotency
// key of a message has expired, and [store.ErrFenced] if the node's lease on the store has expired,
// for example because the process was paused.
func (r *Recorder) CheckPermitted(c *Call, now time.Time) error {
	if err := r.checkAllowed(c, now); err != nil {
		return err
	}
	if c.HasExpiredKey(now) {
		return fmt.Errorf("call to %s: %w", c.Endpoint.Name, store.ErrKeyExpired)
	}
	if s, ok := r.Store.(store.Shared); ok && !s.Owned() {
		return fmt.Errorf("the store lease has expired: %w", store.ErrFenced)
	}
	return nil
}

// checkAllowed returns nil if the endpoint's gates and the authorizer allow the call now, or else
// [ErrClosed] or [ErrNoQuota].
func (r *Recorder) checkAllowed(c *Call, now time.Time) error {
	if !c.IsOpen(now) {
		return ErrClosed
	}
	if r.Authorizer != nil && !r.Authorizer.MayCall(c.Endpoint.Destination) {
		return ErrNoQuota
	}
	return nil
}

// Begin persists the attempts of a call within [RecordTimeout] and extends the call's limit by
// the time used, up to the call's deadline. The caller may send the first byte only if Begin
// returns nil, and must then do so immediately. Begin returns
//   - [ErrClosed] if a gate forbids the call, or [ErrNoQuota], which wraps ErrClosed, if the
//     authorizer does, before or after the attempts are persisted,
//   - [store.ErrFenced] if the node's lease on the store has expired,
//   - [store.ErrKeyExpired] if the idempotency key of a message has expired,
//   - [store.ErrCompleted] if a message is completed.
//
// Any other error is from the store, including an exceeded deadline, or from a failpoint.
// After an error the attempts may have been persisted, but nothing was sent.
func (r *Recorder) Begin(ctx context.Context, c *Call) error {
	now := time.Now()
	if err := r.checkAllowed(c, now); err != nil {
		return err
	}
	if err := beforeAttempt.At(); err != nil {
		return err
	}
	if err := r.recordAttempts(ctx, c, now); err != nil {
		return err
	}
	c.setKeyExpiry()
	c.extend(min(RecordTimeout, time.Since(now)))
	if err := afterAttempt.At(); err != nil {
		return err
	}
	return r.CheckPermitted(c, time.Now())
}

// recordAttempts persists one attempt for each message of a call.
func (r *Recorder) recordAttempts(ctx context.Context, c *Call, now time.Time) error {
	messages := make([]*message.Message, len(c.Parts))
	for i, p := range c.Parts {
		messages[i] = p.Message
	}
	ctx, cancel := context.WithDeadline(ctx, c.recordDeadline(now))
	defer cancel()
	return r.Store.RecordAttempt(ctx, store.Attempt{
		Endpoint: c.Endpoint.Name, Zone: int(c.Endpoint.Zone), At: now,
		Until: c.DecidedAt.Add(c.Limit + RecordTimeout), Messages: messages,
	})
}

// writeContext returns the context of the writes of outcomes. The context of the call is not used because it may have
// expired, and the outcome must be persisted even then.
func (r *Recorder) writeContext() context.Context {
	if r.WriteContext == nil {
		return context.Background()
	}
	return r.WriteContext
}

// Finish persists the outcome of one message and reports it to OnOutcome. Only the first Finish
// for a part has an effect. Finish sets Message, Attempt, Endpoint and Duration of the event. If
// the outcome could not be persisted, it is reported with the store's error.
func (r *Recorder) Finish(c *Call, p *Part, e policy.AttemptCompleted) {
	if !c.finish(p) {
		return
	}
	_ = beforeOutcome.At() // an injected error does not change the outcome
	err := r.Store.RecordOutcome(r.writeContext(), store.Outcome{
		Message: p.Message, Outcome: e.Outcome, Endpoint: c.Endpoint.Name, At: time.Now(),
		CompletesUndelivered: e.Final && e.Outcome != policy.Delivered,
	})
	if err != nil {
		// Only the attempt is persisted, so after a restart it counts as an attempt that may have run.
		r.Log.Error("egress: call outcome not persisted", "id", p.Message.ID, "err", err)
	}
	_ = afterOutcome.At()
	e.Message, e.Attempt, e.Endpoint, e.Duration = p.Message.Seq, p.Attempt, c.Endpoint.ID, time.Since(c.DecidedAt)
	r.OnOutcome(e, err)
}
