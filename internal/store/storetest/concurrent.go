package storetest

import (
	"errors"
	"fmt"
	"sync"
	"testing"
	"time"
	"wingmount/internal/message"
	"wingmount/internal/store"
	"wingmount/policy"
)

// testConcurrent has many goroutines accept, attempt and complete messages of their own, and accept shared ids, of
// which each may be accepted once.
func (s Suite) testConcurrent(t *testing.T) {
	const workers, messagesEach = 16, 20
	dir := t.TempDir()
	opened, _ := s.open(t, dir)
	var wg sync.WaitGroup
	var mu sync.Mutex
	acceptedShared := map[string]int{}
	acceptShared := func(id string) {
		var duplicate *store.DuplicateError
		switch err := opened.Accept(ctx, NewMessage(id, 10)); {
		case err == nil:
			mu.Lock()
			defer mu.Unlock()
			acceptedShared[id]++
		case !errors.As(err, &duplicate):
			t.Errorf("accepting a shared id: %v", err)
		}
	}
	for worker := range workers {
		wg.Go(func() {
			for i := range messagesEach {
				own := NewMessage(fmt.Sprint("m", worker, "-", i), 200)
				if err := opened.Accept(ctx, own); err != nil {
					t.Errorf("accepting: %v", err)
					return
				}
				acceptShared(sharedID(i))
				if err := attemptAndComplete(opened, own, i); err != nil {
					t.Error(err)
				}
			}
		})
	}
	wg.Wait()
	for i := range messagesEach {
		if got := acceptedShared[sharedID(i)]; got != 1 {
			t.Errorf("%s: got accepted %d times, want 1", sharedID(i), got)
		}
	}
	must(t, opened.Close())
	s.checkInProgress(t, dir, messagesEach+workers*(messagesEach/3))
}

func sharedID(i int) string { return fmt.Sprint("shared", i) }

// attemptAndComplete records an attempt at the i-th message of a worker, and one of three outcomes in turn: delivered,
// failed and completed, or rate limited and left pending.
func attemptAndComplete(s store.Store, m *message.Message, i int) error {
	at := time.Now()
	recordOutcome := func(outcome policy.Outcome) error {
		return s.RecordOutcome(ctx, store.Outcome{Message: m, Outcome: outcome, Endpoint: "e1", At: at})
	}
	errs := []error{s.RecordAttempt(ctx, newAttempt(at, 0, m))}
	switch i % 3 {
	case 0:
		errs = append(errs, recordOutcome(policy.Delivered))
	case 1:
		errs = append(errs, recordOutcome(policy.Failed), s.Complete(ctx, store.Completion{Message: m}))
	default:
		errs = append(errs, recordOutcome(policy.RateLimited))
	}
	if i%3 < 2 && m.FinalResponse != nil {
		errs = append(errs, s.MarkNotified(ctx, m))
	}
	return errors.Join(errs...)
}

// checkInProgress opens the store again and checks how many messages are pending, all of them without a final
// response.
func (s Suite) checkInProgress(t *testing.T, dir string, want int) {
	t.Helper()
	opened, recovered := s.open(t, dir)
	defer func() { must(t, opened.Close()) }()
	inProgress := 0
	for _, m := range recovered.Pending {
		if m.FinalResponse == nil {
			inProgress++
		}
	}
	if inProgress != want || len(recovered.Pending) != want {
		t.Errorf("got %d pending, %d of them in progress; want %d of both", len(recovered.Pending), inProgress, want)
	}
}
