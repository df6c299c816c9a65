package storetest

import (
	"errors"
	"fmt"
	"testing"
	"time"
	"wingmount/internal/message"
	"wingmount/internal/store"
	"wingmount/policy"
)

// maxMessagesToFill is by far more than the messages that a store with a capacity accepts.
const maxMessagesToFill = 5000

// testFull fills the store. All records of the accepted messages fit until their results are notified, and then it
// accepts messages again.
func (s Suite) testFull(t *testing.T) {
	const attemptsEach = 6
	dir := t.TempDir()
	opened, _ := s.open(t, dir)
	accepted := acceptUntilFull(t, opened)
	for range attemptsEach {
		for _, m := range accepted {
			must(t, opened.RecordAttempt(ctx, newAttempt(time.Now(), 1, m)))
			must(t, opened.RecordOutcome(ctx, store.Outcome{Message: m, Outcome: policy.TimedOut, Endpoint: "an-endpoint-with-a-long-name", At: time.Now()}))
		}
	}
	for _, m := range accepted {
		must(t, opened.Complete(ctx, store.Completion{Message: m}))
	}
	must(t, opened.MarkNotified(ctx, accepted...))
	must(t, opened.Accept(ctx, NewMessage("next", message.MaxBodyLength)))
	must(t, opened.Close())
	opened, recovered := s.open(t, dir)
	if len(recovered.Pending) != 1 || recovered.Pending[0].ID != "next" {
		t.Errorf("got %d pending messages, want the last one", len(recovered.Pending))
	}
	must(t, opened.Close())
}

// acceptUntilFull has the store accept messages of the maximal length until it is full, and returns them.
func acceptUntilFull(t *testing.T, s store.Store) []*message.Message {
	t.Helper()
	var accepted []*message.Message
	for len(accepted) <= maxMessagesToFill {
		m := NewMessage(fmt.Sprint("m", len(accepted)), message.MaxBodyLength)
		err := s.Accept(ctx, m)
		if errors.Is(err, store.ErrFull) {
			return accepted
		}
		must(t, err)
		accepted = append(accepted, m)
	}
	t.Fatalf("got %d messages accepted, want that the store is full", len(accepted))
	return nil
}
