package storetest

import (
	"errors"
	"slices"
	"testing"
	"time"
	"wingmount/internal/message"
	"wingmount/internal/store"
	"wingmount/policy"
)

// contractRun checks the contract of a store call by call, and what it recovers after a restart. Each message is
// named for what happens to it.
type contractRun struct {
	Suite
	store store.Store
	at    time.Time // of the first attempts
	// The endpoint e1 fails after it was called, and recovers by a delivery.
	failedAt, recoveredAt time.Time

	accepted, retried, outstanding, rejected, delivered, withdrawn, notified *message.Message

	numbers map[policy.MessageID]bool // the assigned ones, and 0, which no message gets
}

// testContract checks the promise of each call, one after the other.
func (s Suite) testContract(t *testing.T) {
	dir := t.TempDir()
	opened, recovered := s.open(t, dir)
	if len(recovered.Pending) != 0 || len(recovered.EndpointHealth) != 0 {
		t.Fatalf("a new store: got pending messages %v, health %v; want none", recovered.Pending, recovered.EndpointHealth)
	}
	c := &contractRun{
		Suite: s, store: opened, at: time.Now().Add(-3 * time.Second).Truncate(time.Microsecond),
		accepted: NewMessage("accepted", 10), retried: NewMessage("retried", 0), outstanding: NewMessage("outstanding", 3),
		rejected: NewMessage("rejected", 3), delivered: NewMessage("delivered", 5), withdrawn: NewMessage("withdrawn", 5),
		notified: NewMessage("notified", 5), numbers: map[policy.MessageID]bool{0: true},
	}
	c.failedAt, c.recoveredAt = c.at.Add(time.Second), c.at.Add(2*time.Second)
	c.accepted.Destination, c.rejected.Destination = WideDestination, WideDestination
	c.accept(t)
	c.recordAttempts(t)
	c.complete(t)
	c.deliverAndWithdraw(t)
	c.expireKey(t)
	must(t, c.store.Close())

	c.store, recovered = s.open(t, dir)
	c.checkPending(t, recovered)
	c.checkHealth(t, recovered)
	c.acceptAgain(t)
	must(t, c.store.Close())
}

// accept has the store accept the messages, and checks their numbers and the error of a duplicate.
func (c *contractRun) accept(t *testing.T) {
	t.Helper()
	for _, m := range []*message.Message{c.accepted, c.retried, c.outstanding, c.rejected, c.delivered, c.withdrawn, c.notified} {
		must(t, c.store.Accept(ctx, m))
		if c.numbers[m.Seq] {
			t.Errorf("%s: got number %d, which is 0 or that of another message", m.ID, m.Seq)
		}
		c.numbers[m.Seq] = true
	}
	var duplicate *store.DuplicateError
	if err := c.store.Accept(ctx, NewMessage("accepted", 10)); !errors.As(err, &duplicate) || duplicate.Response != nil {
		t.Errorf("a duplicate: got %v, want that its message is in progress", err)
	}
}

// recordAttempts records attempts with and without an outcome.
func (c *contractRun) recordAttempts(t *testing.T) {
	t.Helper()
	c.checkFind(t, "without a response", "accepted")
	must(t, c.store.RecordAttempt(ctx, newAttempt(c.at, 1, c.retried, c.outstanding)))
	must(t, c.store.RecordOutcome(ctx, store.Outcome{Message: c.retried, Outcome: policy.TimedOut, Endpoint: "e1", At: c.failedAt}))
	must(t, c.store.RecordAttempt(ctx, newAttempt(c.failedAt, 0, c.retried)))
	must(t, c.store.RecordOutcome(ctx, store.Outcome{Message: c.retried, Outcome: policy.RateLimited, Endpoint: "e1", At: c.failedAt}))
	must(t, c.store.RecordAttempt(ctx, newAttempt(c.at, 1, c.rejected)))
	must(t, c.store.RecordOutcome(ctx, store.Outcome{Message: c.rejected, Outcome: policy.Unreachable, Endpoint: "e2", At: c.at}))
}

// complete records final responses. The first one stays, and no attempt may follow it.
func (c *contractRun) complete(t *testing.T) {
	t.Helper()
	must(t, c.store.Complete(ctx, store.Completion{Message: c.rejected, Response: message.FinalResponse{Kind: message.Rejected, RetryAfter: 500 * time.Millisecond}},
		store.Completion{Message: c.notified, Response: message.FinalResponse{Kind: message.Failed}}))
	if c.rejected.FinalResponse == nil || c.rejected.FinalResponse.Kind != message.Rejected {
		t.Errorf("got response %+v, want rejected", c.rejected.FinalResponse)
	}
	c.checkFind(t, "with a response", "rejected")
	must(t, c.store.Complete(ctx, store.Completion{Message: c.rejected, Response: message.FinalResponse{Kind: message.Failed}}))
	if c.rejected.FinalResponse.Kind != message.Rejected {
		t.Errorf("after a second response: got %+v, want the first", c.rejected.FinalResponse)
	}
	if err := c.store.RecordAttempt(ctx, newAttempt(c.at, 0, c.accepted, c.rejected)); !errors.Is(err, store.ErrCompleted) || c.accepted.History.Attempts != 0 {
		t.Errorf("a batch with a completed message: got %v, history %+v of the other one; want an error and no attempt", err, c.accepted.History)
	}
	must(t, c.store.MarkNotified(ctx, c.notified))
}

// deliverAndWithdraw records outcomes that complete a message: a delivery, and a withdrawal.
func (c *contractRun) deliverAndWithdraw(t *testing.T) {
	t.Helper()
	must(t, c.store.RecordAttempt(ctx, newAttempt(c.at, 0, c.delivered)))
	must(t, c.store.RecordOutcome(ctx, store.Outcome{Message: c.delivered, Outcome: policy.Delivered, Endpoint: "e1", At: c.recoveredAt}))
	if c.NotifiesDelivered != (c.delivered.FinalResponse != nil) {
		t.Errorf("a delivered message: got response %+v, want one: %t", c.delivered.FinalResponse, c.NotifiesDelivered)
	}
	// A later failure must not replace the delivery: see acceptAgain.
	must(t, c.store.Complete(ctx, store.Completion{Message: c.delivered, Response: message.FinalResponse{Kind: message.Failed}}))
	must(t, c.store.RecordAttempt(ctx, newAttempt(c.at, 0, c.withdrawn)))
	must(t, c.store.RecordOutcome(ctx, store.Outcome{Message: c.withdrawn, Outcome: policy.NotSent, Endpoint: "e1", At: c.at, CompletesUndelivered: true}))
}

// expireKey records an attempt, and checks that none is allowed once the window of the key is over.
func (c *contractRun) expireKey(t *testing.T) {
	t.Helper()
	late := NewMessage("late", 1)
	must(t, c.store.Accept(ctx, late))
	late.KeyWindow = 2 * time.Second
	must(t, c.store.RecordAttempt(ctx, newAttempt(c.at, 0, late)))
	must(t, c.store.RecordOutcome(ctx, store.Outcome{Message: late, Outcome: policy.Reset, Endpoint: "e3", At: c.at}))
	if err := c.store.RecordAttempt(ctx, newAttempt(c.at.Add(2*time.Second), 0, late)); !errors.Is(err, store.ErrKeyExpired) {
		t.Errorf("an attempt after the key's window: got %v, want it rejected", err)
	}
}

// checkFind finds an id that the store has, which must fail as accepting it does, and one that it does not have.
func (c *contractRun) checkFind(t *testing.T, when, id string) {
	t.Helper()
	finder, ok := c.store.(store.Finder)
	if !ok {
		t.Fatalf("got a %T, want a store.Finder", c.store)
	}
	var onAccept, onFind *store.DuplicateError
	if err := c.store.Accept(ctx, NewMessage(id, 1)); !errors.As(err, &onAccept) {
		t.Fatalf("%s: accepting a known id: got %v, want a duplicate", when, err)
	}
	if err := finder.Find(ctx, id); !errors.As(err, &onFind) || onFind.Error() != onAccept.Error() {
		t.Errorf("%s: finding a known id: got %v, want %v as for accepting it", when, err, onAccept)
	}
	must(t, finder.Find(ctx, "never submitted"))
}

// checkPending checks which messages are recovered, in which order and with which fields.
func (c *contractRun) checkPending(t *testing.T, recovered store.Recovered) {
	t.Helper()
	byID := map[string]*message.Message{}
	var got []string
	for _, m := range recovered.Pending {
		byID[m.ID] = m
		got = append(got, m.ID)
	}
	want := []string{"accepted", "retried", "outstanding", "rejected", "late"}
	if c.NotifiesDelivered {
		want = []string{"accepted", "retried", "outstanding", "rejected", "delivered", "late"}
	}
	if !slices.Equal(got, want) {
		t.Fatalf("got pending messages %v, want %v", got, want)
	}
	c.checkAccepted(t, byID["accepted"])
	c.checkHistories(t, byID)
	c.checkResponses(t, byID)
}

// checkAccepted checks all fields of the recovered message that was only accepted.
func (c *contractRun) checkAccepted(t *testing.T, got *message.Message) {
	t.Helper()
	if got.Key != "k-accepted" || got.Class != 1 || got.Destination != WideDestination || !got.Deadline.Equal(c.accepted.Deadline) ||
		string(got.Body) != string(c.accepted.Body) || got.History != (message.History{}) || got.FinalResponse != nil || got.Seq != c.accepted.Seq {
		t.Errorf("got %+v, want %+v", got, c.accepted)
	}
}

// checkHistories checks the attempts of recovered messages.
func (c *contractRun) checkHistories(t *testing.T, byID map[string]*message.Message) {
	t.Helper()
	if got := byID["retried"].History; got.Attempts != 2 || !got.MayHaveRun || !got.CompletedMayHaveRun || got.Outstanding || got.RanZone != 1 || !got.RanAt.Equal(c.at) {
		t.Errorf("retried: got history %+v, want two attempts, of which the first may have run", got)
	}
	if got := byID["outstanding"].History; got.Attempts != 1 || !got.MayHaveRun || !got.CompletedMayHaveRun || got.Outstanding {
		t.Errorf("outstanding: got history %+v, want an interrupted attempt that may have run", got)
	}
}

// checkResponses checks the final responses of recovered messages.
func (c *contractRun) checkResponses(t *testing.T, byID map[string]*message.Message) {
	t.Helper()
	if got := byID["rejected"].Destination; got != WideDestination {
		t.Errorf("rejected: got destination %d, want %d", got, WideDestination)
	}
	if got := byID["rejected"].FinalResponse; got == nil || got.Kind != message.Rejected || got.RetryAfter != 500*time.Millisecond {
		t.Errorf("rejected: got response %+v, want rejected with a retry after 500ms", got)
	}
	if !c.NotifiesDelivered {
		return
	}
	if got := byID["delivered"].FinalResponse; got == nil || got.Kind != message.Delivered {
		t.Errorf("delivered: got response %+v, want delivered", got)
	}
}

// checkHealth checks what is recovered of the health of endpoints.
func (c *contractRun) checkHealth(t *testing.T, recovered store.Recovered) {
	t.Helper()
	e1, e3 := recovered.EndpointHealth["e1"], recovered.EndpointHealth["e3"]
	if e1 == nil || len(e1.CallTimes) == 0 || !e1.FailedAt.Equal(c.failedAt) || !e1.RecoveredAt.Equal(c.recoveredAt) {
		t.Errorf("e1: got health %+v, want calls, a failure and a recovery after it", e1)
	}
	if e3 == nil || !e3.FailedAt.Equal(c.at) || !e3.RecoveredAt.IsZero() {
		t.Errorf("e3: got health %+v, want a failure and no recovery", e3)
	}
}

// acceptAgain submits ids of completed messages, and a new message, which must get a number of its own.
func (c *contractRun) acceptAgain(t *testing.T) {
	t.Helper()
	for id, want := range map[string]message.ResponseKind{"rejected": message.Rejected, "notified": message.Failed, "delivered": message.Delivered} {
		notified := id == "notified" || id == "delivered" && !c.NotifiesDelivered
		err := c.store.Accept(ctx, NewMessage(id, 1))
		var duplicate *store.DuplicateError
		switch {
		case notified && !c.RetainsResponses:
			must(t, err)
		case !errors.As(err, &duplicate) || duplicate.Response == nil || duplicate.Response.Kind != want:
			t.Errorf("%s again: got %v, want a duplicate with response %v", id, err, want)
		}
	}
	next := NewMessage("next", 1)
	must(t, c.store.Accept(ctx, next))
	if c.numbers[next.Seq] {
		t.Errorf("got number %d, which was assigned before", next.Seq)
	}
}
