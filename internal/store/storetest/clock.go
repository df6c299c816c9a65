package storetest

import (
	"testing"
	"time"
	"wingmount/internal/store"
	"wingmount/policy"
)

// testClock sets the clock back between two processes: no message gets more time by that, and no key a longer window.
func (s Suite) testClock(t *testing.T) {
	const timeout, keyWindow = 20 * time.Second, 12 * time.Second
	dir := t.TempDir()
	opened, _ := s.open(t, dir)
	earlierNow := time.Now().Add(time.Hour) // by the clock of the earlier process
	m := NewMessage("a", 10)
	m.Deadline = earlierNow.Add(timeout)
	must(t, opened.Accept(ctx, m))
	must(t, opened.RecordAttempt(ctx, newAttempt(earlierNow, 0, m)))
	must(t, opened.RecordOutcome(ctx, store.Outcome{Message: m, Outcome: policy.TimedOut, Endpoint: "e1", At: earlierNow}))
	must(t, opened.Close())
	opened, recovered := s.open(t, dir)
	defer func() { must(t, opened.Close()) }()
	if len(recovered.Pending) != 1 {
		t.Fatalf("got pending messages %v, want one", recovered.Pending)
	}
	got := recovered.Pending[0]
	if left := time.Until(got.Deadline); left > timeout || left < 0 {
		t.Errorf("got %v until the deadline, want 0 to %v", left, timeout)
	}
	if !got.History.KeyExpired(keyWindow, time.Now()) {
		t.Error("got a key in its window, want it expired: for how long the node was down is not known")
	}
	if health := recovered.EndpointHealth["e1"]; health == nil || health.FailedAt.After(time.Now()) {
		t.Errorf("got health %+v, want a failure that is not in the future", health)
	}
}
