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

// Logs that earlier versions wrote. Those of legacyLog did not store the history of a message with its attempt.
const (
	legacyLog = "golden/intents"
	goldenLog = "golden/intents-with-history"
)

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
		testkit.Must(t, s.RecordAttempt(ctx, store.Attempt{Endpoint: "e2", Zone: 2, At: at.Add(1500 * time.Millisecond), Messages: ms[2:3]}))
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
	testkit.Golden(t, "landed.txt", replayGolden(t, legacyLog, goldenMessages()))
	testkit.Golden(t, "landed-with-history.txt", replayGolden(t, goldenLog, goldenMessages()))
}

// replayGolden replays a golden log for recovered messages. It returns the calls of the store and the pending messages.
func replayGolden(t *testing.T, log string, ms []*message.Message) []byte {
	t.Helper()
	path := filepath.Join(t.TempDir(), "intents")
	testkit.CopyGolden(t, log, path)
	inner := &recordingStore{}
	r := store.Recovered{Pending: ms}
	s, err := Open(ctx, Config{Path: path, MaxBytes: 1 << 20, StoreTimeout: -1}, inner, &r, testkit.QuietLog())
	testkit.Must(t, err)
	testkit.Must(t, s.Close())
	var unfinished []string
	for _, m := range r.Pending {
		unfinished = append(unfinished, m.ID)
	}
	return fmt.Appendf(nil, "%sunfinished %q\n", inner.calls.String(), unfinished)
}

// Guards against a message that runs twice after an upgrade. A log of an earlier version has no outcomes of earlier attempts,
// but an attempt in another zone was made only after all earlier ones had surely not run.
func TestAttemptOfLegacyLogMovesRanZone(t *testing.T) {
	ms := goldenMessages()
	const attemptZone = 1 // of the first message in the log
	first := ms[0]
	first.History = message.History{CompletedMayHaveRun: true, MayHaveRun: true, RanAt: goldenStart.Add(-time.Second), RanZone: 0}
	replayGolden(t, legacyLog, ms)
	h := first.History
	if !h.MayHaveRun || h.RanZone != attemptZone || !h.RanAt.Equal(goldenStart.Add(-time.Second)) {
		t.Errorf("got %+v, want that it ran in zone %d at the time of the earlier attempt", h, attemptZone)
	}
}
