package egress

import (
	"context"
	"errors"
	"testing"
	"time"
	"wingmount/internal/message"
	"wingmount/internal/store"
	"wingmount/internal/testkit"
	"wingmount/policy"
)

var errNoDisk = errors.New("no disk")

// recordingStore records attempts and outcomes, and calls onRecordAttempt, if set, in RecordAttempt.
// RecordOutcome always fails with errNoDisk.
type recordingStore struct {
	store.Store
	attempts        []store.Attempt
	outcomes        []store.Outcome
	onRecordAttempt func() error
}

func (s *recordingStore) RecordAttempt(ctx context.Context, a store.Attempt) error {
	if err := ctx.Err(); err != nil {
		return err
	}
	s.attempts = append(s.attempts, a)
	for _, m := range a.Messages {
		m.History.RecordAttempt(a.Zone, a.At)
	}
	if s.onRecordAttempt != nil {
		return s.onRecordAttempt()
	}
	return nil
}

func (s *recordingStore) RecordOutcome(_ context.Context, o store.Outcome) error {
	s.outcomes = append(s.outcomes, o)
	return errNoDisk
}

func newCall() *Call {
	now := time.Now()
	deadline := now.Add(time.Minute)
	return &Call{
		Endpoint: &Endpoint{ID: 9, Name: "e1", Zone: 1, RetryAfterGate: &Gate{}}, DecidedAt: now,
		Parts: []*Part{
			{Message: &message.Message{Seq: 4, ID: "a", Deadline: deadline}},
			{Message: &message.Message{Seq: 5, ID: "b", Deadline: deadline}, Attempt: 2},
		},
	}
}

// A gate that closes before the first byte stops the call. If it closes while the attempts are
// persisted, Begin still returns an error, and the attempts stay persisted.
func TestBeginWithClosedGateOrStoreErrorFails(t *testing.T) {
	for name, c := range map[string]struct {
		before        func(*Call)
		duringPersist func(*Call) error
		want          error
		recorded      bool
	}{
		"open":                       {nil, nil, nil, true},
		"draining":                   {func(call *Call) { call.Endpoint.DrainGate.CloseAt(time.Now()) }, nil, ErrClosed, false},
		"draining later":             {func(call *Call) { call.Endpoint.DrainGate.CloseAt(time.Now().Add(time.Hour)) }, nil, nil, true},
		"Retry-After before":         {func(call *Call) { call.Endpoint.RetryAfterGate.CloseUntil(time.Now().Add(time.Hour)) }, nil, ErrClosed, false},
		"Retry-After during persist": {nil, func(call *Call) error { call.Endpoint.RetryAfterGate.CloseUntil(time.Now().Add(time.Hour)); return nil }, ErrClosed, true},
		"store unavailable":          {nil, func(*Call) error { return store.ErrUnavailable }, store.ErrUnavailable, true},
		"key expired during persist": {func(call *Call) { call.Parts[1].Message.KeyWindow = time.Hour }, func(call *Call) error { call.Parts[1].Message.History.RanAt = time.Now().Add(-time.Hour); return nil }, store.ErrKeyExpired, true},
	} {
		t.Run(name, func(t *testing.T) {
			call, s := newCall(), &recordingStore{}
			if c.before != nil {
				c.before(call)
			}
			if c.duringPersist != nil {
				s.onRecordAttempt = func() error { return c.duringPersist(call) }
			}
			r := &Recorder{Store: s, Log: testkit.QuietLog()}
			if err := r.Begin(t.Context(), call); !errors.Is(err, c.want) {
				t.Errorf("got %v, want %v", err, c.want)
			}
			if (len(s.attempts) == 1) != c.recorded {
				t.Errorf("got attempts %+v, want one: %t", s.attempts, c.recorded)
			}
			if c.recorded && (s.attempts[0].Endpoint != "e1" || s.attempts[0].Zone != 1 || len(s.attempts[0].Messages) != 2) {
				t.Errorf("got attempt %+v, want two messages at e1 in zone 1", s.attempts[0])
			}
		})
	}
}

// Only the first outcome of a part is persisted and reported. If it could not be persisted, it is
// reported with the store's error.
func TestFinishReportsFirstOutcomeOnly(t *testing.T) {
	call, s := newCall(), &recordingStore{}
	var reported []policy.AttemptCompleted
	r := &Recorder{Store: s, Log: testkit.QuietLog(), OnOutcome: func(e policy.AttemptCompleted, storeErr error) {
		if !errors.Is(storeErr, errNoDisk) {
			t.Errorf("message %d: got store error %v, want %v", e.Message, storeErr, errNoDisk)
		}
		reported = append(reported, e)
	}}
	r.Finish(call, call.Parts[1], policy.AttemptCompleted{Outcome: policy.Delivered, Final: true})
	r.Finish(call, call.Parts[1], policy.AttemptCompleted{Outcome: policy.TimedOut})
	r.Finish(call, call.Parts[0], policy.AttemptCompleted{Outcome: policy.NotSent, Final: true})
	if len(s.outcomes) != 2 || s.outcomes[0].CompletesUndelivered || !s.outcomes[1].CompletesUndelivered || s.outcomes[0].Endpoint != "e1" {
		t.Errorf("got outcomes %+v, want a delivery, then an outcome that completes its message undelivered", s.outcomes)
	}
	if len(reported) != 2 || reported[0].Message != 5 || reported[0].Attempt != 2 || reported[0].Endpoint != 9 ||
		reported[0].Outcome != policy.Delivered || reported[1].Message != 4 {
		t.Errorf("got events %+v, want a delivery of message 5, then message 4", reported)
	}
}

// stalledStore blocks in RecordOutcome until the context is done.
type stalledStore struct{ store.Store }

func (stalledStore) RecordOutcome(ctx context.Context, _ store.Outcome) error {
	<-ctx.Done()
	return ctx.Err()
}

// Finish waits for the store until the write context is cancelled, and then reports the outcome.
func TestFinishReturnsWhenWriteContextIsCancelled(t *testing.T) {
	call := newCall()
	writeCtx, cancelWrites := context.WithCancel(t.Context())
	reported := make(chan error, 1)
	r := &Recorder{Store: stalledStore{}, WriteContext: writeCtx, Log: testkit.QuietLog(), OnOutcome: func(_ policy.AttemptCompleted, storeErr error) {
		reported <- storeErr
	}}
	finished := make(chan struct{})
	go func() {
		defer close(finished)
		r.Finish(call, call.Parts[0], policy.AttemptCompleted{Outcome: policy.Delivered, Final: true})
	}()
	select {
	case err := <-reported:
		t.Errorf("got outcome reported with store error %v before the write context was cancelled, want it later", err)
	case <-time.After(20 * time.Millisecond): // long enough to detect a Finish that does not wait
	}
	cancelWrites()
	<-finished
	if err := <-reported; !errors.Is(err, context.Canceled) {
		t.Errorf("got store error %v, want context.Canceled", err)
	}
}

// The time for persisting the attempts is added to the call's limit, up to the call's deadline. For a
// store that does not respond, Begin waits for RecordTimeout at most, and not beyond the deadline.
func TestBeginExtendsLimitByTimeToPersist(t *testing.T) {
	slow := func(d time.Duration) *slowStore { return &slowStore{delay: d} }
	callWith := func(timeout, left time.Duration) *Call {
		call := newCall()
		call.Limit = timeout
		for _, p := range call.Parts {
			p.Message.Deadline = call.DecidedAt.Add(left)
		}
		return call
	}
	call := callWith(5*time.Millisecond, time.Minute)
	testkit.Must(t, (&Recorder{Store: slow(30 * time.Millisecond), Log: testkit.QuietLog()}).Begin(t.Context(), call))
	if call.Limit < 35*time.Millisecond || call.Limit > 5*time.Millisecond+RecordTimeout {
		t.Errorf("got a limit of %v after 30 ms of persisting, want 5 ms plus 30 to 250 ms", call.Limit)
	}
	call = callWith(50*time.Millisecond, 70*time.Millisecond)
	testkit.Must(t, (&Recorder{Store: slow(30 * time.Millisecond), Log: testkit.QuietLog()}).Begin(t.Context(), call))
	if call.Limit != 60*time.Millisecond {
		t.Errorf("got a limit of %v with a deadline in 70 ms, want 60 ms", call.Limit)
	}
	for _, c := range []struct{ left, most time.Duration }{{time.Minute, RecordTimeout}, {60 * time.Millisecond, 50 * time.Millisecond}} {
		call, s := callWith(time.Second, c.left), slow(time.Hour)
		if err := (&Recorder{Store: s, Log: testkit.QuietLog()}).Begin(t.Context(), call); !errors.Is(err, context.DeadlineExceeded) {
			t.Errorf("got %v with a store that does not respond, want context.DeadlineExceeded", err)
		}
		if got := s.deadline.Sub(call.DecidedAt); got > c.most+20*time.Millisecond { // tolerance for scheduling
			t.Errorf("with %v until the deadline: got a timeout of %v, want at most %v", c.left, got, c.most)
		}
		if call.Limit != time.Second {
			t.Errorf("got a limit of %v for a dropped call, want 1 s", call.Limit)
		}
	}
}

// slowStore persists each attempt after a delay.
type slowStore struct {
	store.Store
	delay    time.Duration
	deadline time.Time // of the context of the last RecordAttempt
}

func (s *slowStore) RecordAttempt(ctx context.Context, _ store.Attempt) error {
	s.deadline, _ = ctx.Deadline()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(s.delay):
		return nil
	}
}

// Guards against a call that is sent on a later connection after the key of a message has expired: CheckPermitted, which is
// called for each connection, refuses it from then on.
func TestCheckPermittedRefusesExpiredKey(t *testing.T) {
	call, s := newCall(), &recordingStore{}
	const window = time.Hour
	var expiry time.Time
	s.onRecordAttempt = func() error {
		for i, p := range call.Parts {
			p.Message.KeyWindow = window
			p.Message.History.RanAt = call.DecidedAt.Add(time.Duration(-i) * time.Minute)
		}
		expiry = call.DecidedAt.Add(window - time.Minute)
		return nil
	}
	r := &Recorder{Store: s, Log: testkit.QuietLog()}
	testkit.Must(t, r.Begin(t.Context(), call))
	if !call.KeyExpiry().Equal(expiry) {
		t.Errorf("got key expiry %v, want that of the message that may have run first, %v", call.KeyExpiry(), expiry)
	}
	testkit.Must(t, r.CheckPermitted(call, expiry.Add(-time.Nanosecond)))
	if err := r.CheckPermitted(call, expiry); !errors.Is(err, store.ErrKeyExpired) {
		t.Errorf("got %v at the expiry, want ErrKeyExpired", err)
	}
}
