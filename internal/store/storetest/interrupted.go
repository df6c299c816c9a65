package storetest

import (
	"testing"
	"time"
	"wingmount/internal/message"
	"wingmount/internal/store"
	"wingmount/policy"
)

// testInterruptedAttempt guards against a message that runs twice: a process leaves an attempt outstanding, and the next
// one fails to connect, which proves nothing about that attempt. Every later process must know that it may have run.
func (s Suite) testInterruptedAttempt(t *testing.T) {
	for _, outcome := range []policy.Outcome{policy.Unreachable, policy.NotSent, policy.RateLimited} {
		dir := t.TempDir()
		opened, _ := s.open(t, dir)
		m := NewMessage("a", 10)
		at := time.Now().Add(-3 * time.Second).Truncate(time.Microsecond)
		must(t, opened.Accept(ctx, m))
		must(t, opened.RecordAttempt(ctx, newAttempt(at, 1, m)))
		must(t, opened.Close())

		opened, recovered := s.open(t, dir)
		must(t, opened.RecordOutcome(ctx, store.Outcome{Message: recovered.Pending[0], Outcome: outcome, Endpoint: "e2", At: at.Add(time.Second)}))
		must(t, opened.Close())

		opened, recovered = s.open(t, dir)
		if len(recovered.Pending) != 1 {
			t.Fatalf("outcome %d without an attempt: got pending messages %v, want one", outcome, recovered.Pending)
		}
		want := message.History{Attempts: 1, CompletedMayHaveRun: true, MayHaveRun: true, RanAt: at, RanZone: 1}
		if difference := historyDifference(recovered.Pending[0].History, want); difference != "" {
			t.Errorf("outcome %d without an attempt: %s", outcome, difference)
		}
		must(t, opened.Close())
	}
}
