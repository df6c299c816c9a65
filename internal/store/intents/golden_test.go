package intents

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"
	"wingmount/internal/message"
	"wingmount/internal/store"
	"wingmount/internal/testkit"
	"wingmount/policy"
)

// goldenLog is a log that an earlier version wrote.
const goldenLog = "golden/intents"

// goldenStart is the time of the golden log's first record.
var goldenStart = time.Date(2000, time.January, 1, 0, 0, 0, 1000, time.UTC)

// unavailableStore is a store that applies calls to their messages and returns store.ErrUnavailable.
type unavailableStore struct{ store.Store }

func (unavailableStore) RecordAttempt(_ context.Context, a store.Attempt) error {
	for _, m := range a.Messages {
		m.History.RecordAttempt(a.Zone, a.At)
	}
	return store.ErrUnavailable
}

func (unavailableStore) RecordOutcome(context.Context, store.Outcome) error {
	return store.ErrUnavailable
}

func (unavailableStore) Complete(ctx context.Context, completions ...store.Completion) error {
	for _, c := range completions {
		c.Message.FinalResponse = &c.Response
	}
	if len(completions) == 0 { // the barrier of waitForStore
		<-ctx.Done()
	}
	return store.ErrUnavailable
}

func (unavailableStore) Close() error { return store.ErrUnavailable }

// recordingStore is a store that records its calls as text.
type recordingStore struct {
	store.Store
	calls strings.Builder
}

func (r *recordingStore) RecordAttempt(_ context.Context, a store.Attempt) error {
	for _, m := range a.Messages {
		fmt.Fprintf(&r.calls, "attempt message=%d endpoint=%q zone=%d at=%s\n", m.Seq, a.Endpoint, a.Zone, a.At.UTC().Format(time.RFC3339Nano))
		m.History.RecordAttempt(a.Zone, a.At)
	}
	return nil
}

func (r *recordingStore) RecordOutcome(_ context.Context, o store.Outcome) error {
	fmt.Fprintf(&r.calls, "outcome message=%d outcome=%d endpoint=%q at=%s over=%t\n", o.Message.Seq, o.Outcome, o.Endpoint, o.At.UTC().Format(time.RFC3339Nano), o.CompletesUndelivered)
	return nil
}

func (r *recordingStore) Complete(_ context.Context, completions ...store.Completion) error {
	for _, c := range completions {
		fmt.Fprintf(&r.calls, "end message=%d kind=%d retry=%v implied=%t\n", c.Message.Seq, c.Response.Kind, c.Response.RetryAfter, c.Response.Implied)
		c.Message.FinalResponse = &c.Response
	}
	return nil
}

func (r *recordingStore) Close() error { return nil }

// goldenMessages returns messages with sequence numbers as stores assign them. The second number is one of a store that
// several nodes share.
func goldenMessages() []*message.Message {
	return []*message.Message{{Seq: 1, ID: "a"}, {Seq: 3<<32 + 7, ID: "b"}, {Seq: 3, ID: "c"}, {Seq: 4, ID: "d"}}
}

// The log's bytes must equal those that earlier versions wrote.
func TestLogBytesEqualGoldenLog(t *testing.T) {
	path := filepath.Join(t.TempDir(), "intents")
	synctest.Test(t, func(t *testing.T) {
		s, err := Open(ctx, Config{Path: path, MaxBytes: 1 << 20, StoreTimeout: -1}, firstBarrierStore{unavailableStore{}, new(atomic.Int64)}, &store.Recovered{}, testkit.QuietLog())
		testkit.Must(t, err)
		ms := goldenMessages()
		at := goldenStart
		testkit.Must(t, s.RecordAttempt(ctx, store.Attempt{Endpoint: "e1", Zone: 1, At: at, Messages: ms[:2]}))
		testkit.Must(t, s.RecordAttempt(ctx, store.Attempt{Endpoint: "", Zone: 300, At: at.Add(time.Second), Messages: ms[2:3]}))
		testkit.Must(t, s.RecordOutcome(ctx, store.Outcome{Message: ms[0], Outcome: policy.Delivered, Endpoint: "e1", At: at.Add(2 * time.Second)}))
		testkit.Must(t, s.Complete(ctx,
			store.Completion{Message: ms[1], Response: message.FinalResponse{Kind: message.Failed}},
			store.Completion{Message: ms[3], Response: message.FinalResponse{Kind: message.Rejected, RetryAfter: 2500 * time.Millisecond}}))
		if err := s.Close(); err == nil {
			t.Error("Close of an unavailable store: got nil, want an error")
		}
	})
	data, err := os.ReadFile(path)
	testkit.Must(t, err)
	testkit.Golden(t, goldenLog, data)
}

// firstBarrierStore is a store whose first barrier, that of Open with an empty log, succeeds.
type firstBarrierStore struct {
	store.Store
	barriers *atomic.Int64
}

func (f firstBarrierStore) Complete(ctx context.Context, completions ...store.Completion) error {
	if f.barriers.Add(1) == 1 && len(completions) == 0 {
		return nil
	}
	return f.Store.Complete(ctx, completions...)
}

// A log that an earlier version wrote is replayed into the store with every field unchanged.
func TestGoldenLogIsReplayedUnchanged(t *testing.T) {
	path := filepath.Join(t.TempDir(), "intents")
	testkit.CopyGolden(t, goldenLog, path)
	inner := &recordingStore{}
	r := store.Recovered{Pending: goldenMessages()}
	s, err := Open(ctx, Config{Path: path, MaxBytes: 1 << 20, StoreTimeout: -1}, inner, &r, testkit.QuietLog())
	testkit.Must(t, err)
	testkit.Must(t, s.Close())
	var unfinished []string
	for _, m := range r.Pending {
		unfinished = append(unfinished, m.ID)
	}
	testkit.Golden(t, "landed.txt", fmt.Appendf(nil, "%sunfinished %q\n", inner.calls.String(), unfinished))
}
