package intents

import (
	"context"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"reflect"
	"testing"
	"time"
	"wingmount/internal/failpoint"
	"wingmount/internal/message"
	"wingmount/internal/store"
	"wingmount/internal/store/sqlite"
	"wingmount/internal/store/storetest"
	"wingmount/internal/testkit"
	"wingmount/policy"

	"github.com/ncruces/go-sqlite3"
	"go.uber.org/goleak"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

var ctx = context.Background()

// open opens a SQLite store with an intent log of at most limit bytes in dir.
func open(dir string, storeTimeout time.Duration, limit int64) (store.Store, store.Recovered, error) {
	inner, r, err := sqlite.Open(sqlite.Config{Path: filepath.Join(dir, "wingmount.db"), Durability: sqlite.Process, ResponseRetention: time.Hour, NotifyDelivered: true}, testkit.QuietLog())
	if err != nil {
		return nil, r, err
	}
	s, err := Open(ctx, Config{Path: filepath.Join(dir, "intents"), MaxBytes: limit, StoreTimeout: storeTimeout}, inner, &r, testkit.QuietLog())
	if err != nil {
		return nil, r, errors.Join(err, inner.Close())
	}
	return s, r, nil
}

// TestConformance runs the complete suite with a negative StoreTimeout, so that every record that may use the log does.
// After a crash, the store and its log together must contain everything that the contract of store.Store promises.
func TestConformance(t *testing.T) {
	storetest.Run(t, storetest.Suite{
		Failpoints: "store/intents/", FailpointsElsewhere: []string{"store/intents/during-replay"}, RetainsResponses: true, NotifiesDelivered: true, Spills: true, Histories: 40,
		Open: func(dir string) (store.Store, store.Recovered, error) { return open(dir, -1, 1<<20) },
	})
}

// openLocked returns a store with n accepted messages, whose database another writer has locked until unlock is called.
func openLocked(t *testing.T, dir string, n int, limit int64) (s store.Store, ms []*message.Message, unlock func()) {
	t.Helper()
	s, _, err := open(dir, 20*time.Millisecond, limit)
	testkit.Must(t, err)
	for i := range n {
		m := storetest.NewMessage(fmt.Sprint("m", i), 100)
		testkit.Must(t, s.Accept(ctx, m))
		ms = append(ms, m)
	}
	db, err := sqlite3.Open("file:" + filepath.Join(dir, "wingmount.db"))
	testkit.Must(t, err)
	testkit.Must(t, db.BusyTimeout(10*time.Second))
	testkit.Must(t, db.Exec("BEGIN IMMEDIATE"))
	return s, ms, func() {
		testkit.Must(t, db.Exec("ROLLBACK"))
		testkit.Must(t, db.Close())
	}
}

// recordProgress records attempts, outcomes and completions of messages. A locked store writes these to the log.
func recordProgress(t *testing.T, s store.Store, ms []*message.Message) {
	t.Helper()
	at := time.Now()
	for i, m := range ms {
		testkit.Must(t, s.RecordAttempt(ctx, store.Attempt{Endpoint: "e1", Zone: 1, At: at, Messages: []*message.Message{m}}))
		switch i % 4 {
		case 0:
			testkit.Must(t, s.RecordOutcome(ctx, store.Outcome{Message: m, Outcome: policy.Delivered, Endpoint: "e1", At: at}))
		case 1:
			testkit.Must(t, s.RecordOutcome(ctx, store.Outcome{Message: m, Outcome: policy.Failed, Endpoint: "e1", At: at}))
			testkit.Must(t, s.Complete(ctx, store.Completion{Message: m}))
		case 2:
			testkit.Must(t, s.RecordOutcome(ctx, store.Outcome{Message: m, Outcome: policy.RateLimited, Endpoint: "e1", At: at}))
			testkit.Must(t, s.RecordAttempt(ctx, store.Attempt{Endpoint: "e1", Zone: 1, At: at, Messages: []*message.Message{m}}))
		}
	}
}

// checkProgress checks that the next process has recovered the records of recordProgress.
func checkProgress(t *testing.T, r store.Recovered, ms []*message.Message) {
	t.Helper()
	if len(r.Pending) != len(ms) {
		t.Fatalf("pending messages: got %d, want %d", len(r.Pending), len(ms))
	}
	for i, m := range r.Pending {
		want := [][2]any{{message.Delivered, 0}, {message.Failed, 0}, {nil, 2}, {nil, 1}}[i%4]
		var kind any
		if m.FinalResponse != nil {
			kind = m.FinalResponse.Kind
		}
		if kind != want[0] || m.FinalResponse == nil && (m.History.Attempts != want[1] || !m.History.MayHaveRun || !m.History.CompletedMayHaveRun) {
			t.Errorf("message %d: got response %v and history %+v, want response and attempts %v", i, kind, m.History, want)
		}
	}
}

// While the database is locked, accepted messages are sent and completed without delay, and the store catches up once it is
// unlocked. If the process is killed before that, the next process recovers all records from the log, and so does the
// process after it.
func TestLockedStoreRecordsToLogAndCatchesUp(t *testing.T) {
	dir := t.TempDir()
	s, ms, unlock := openLocked(t, dir, 40, 1<<20)
	start := time.Now()
	recordProgress(t, s, ms)
	if took := time.Since(start); took > 5*time.Second {
		t.Errorf("recording %d messages on a locked database: took %v, want 5s at most", len(ms), took)
	}
	image := t.TempDir()
	testkit.Must(t, storetest.Image(dir, image))
	unlock()
	testkit.Must(t, s.Complete(ctx))
	s.(*Store).background.Wait()
	if info, err := os.Stat(filepath.Join(dir, "intents")); err != nil || info.Size() != 0 {
		t.Errorf("log after the store caught up: got %d bytes, %v, want 0", info.Size(), err)
	}
	testkit.Must(t, s.Close())
	for name, d := range map[string]string{"caught up": dir, "killed while locked": image} {
		t.Run(name, func(t *testing.T) {
			s, r, err := open(d, time.Second, 1<<20)
			testkit.Must(t, err)
			checkProgress(t, r, ms)
			testkit.Must(t, s.Close())
			s, r, err = open(d, time.Second, 1<<20)
			testkit.Must(t, err)
			checkProgress(t, r, ms)
			testkit.Must(t, s.Close())
		})
	}
}

// Guards against a message that runs twice: after a crash while the database is locked, the attempt that may have run is
// the one that the next process knows, not an earlier one whose outcome proved that it did not run.
func TestReplayKnowsThatEarlierAttemptsDidNotRun(t *testing.T) {
	dir := t.TempDir()
	s, ms, unlock := openLocked(t, dir, 4, 1<<20)
	const rejectingZone, runningZone = 0, 1
	rejectedAt := time.Now().Add(-10 * time.Second).Truncate(time.Microsecond)
	ranAt := rejectedAt.Add(time.Second)
	for _, m := range ms {
		testkit.Must(t, s.RecordAttempt(ctx, store.Attempt{Endpoint: "e1", Zone: rejectingZone, At: rejectedAt, Messages: []*message.Message{m}}))
		testkit.Must(t, s.RecordOutcome(ctx, store.Outcome{Message: m, Outcome: policy.RateLimited, Endpoint: "e1", At: rejectedAt}))
		testkit.Must(t, s.RecordAttempt(ctx, store.Attempt{Endpoint: "e2", Zone: runningZone, At: ranAt, Messages: []*message.Message{m}}))
	}
	testkit.Must(t, s.RecordOutcome(ctx, store.Outcome{Message: ms[0], Outcome: policy.Reset, Endpoint: "e2", At: ranAt}))
	testkit.Must(t, s.RecordAttempt(ctx, store.Attempt{Endpoint: "e2", Zone: runningZone, At: ranAt.Add(time.Second), Messages: ms[:1]}))
	image := t.TempDir()
	testkit.Must(t, storetest.Image(dir, image))
	unlock()
	testkit.Must(t, s.Close())
	for _, process := range []string{"process that replays", "process after it"} {
		s, r, err := open(image, time.Second, 1<<20)
		testkit.Must(t, err)
		if len(r.Pending) != len(ms) {
			t.Fatalf("%s: got %d pending messages, want %d", process, len(r.Pending), len(ms))
		}
		for i, m := range r.Pending {
			want := message.History{Attempts: 2, CompletedMayHaveRun: true, MayHaveRun: true, RanZone: runningZone}
			if i == 0 {
				want.Attempts = 3
			}
			got := m.History
			if !got.RanAt.Equal(ranAt) {
				t.Errorf("%s: message %d ran at: got %v, want %v", process, i, got.RanAt, ranAt)
			}
			if got.RanAt = (time.Time{}); got != want {
				t.Errorf("%s: message %d: got history %+v, want %+v", process, i, got, want)
			}
		}
		testkit.Must(t, s.Close())
	}
}

// Guards against a message that runs twice after the clock was set back: the key of an attempt that only the log has counts
// as expired, as it does with the attempts of the store.
func TestReplayAfterClockWasSetBackExpiresKey(t *testing.T) {
	dir := t.TempDir()
	s, ms, unlock := openLocked(t, dir, 1, 1<<20)
	const setBack, keyWindow = time.Hour, 12 * time.Second
	at := time.Now().Add(setBack)
	testkit.Must(t, s.RecordAttempt(ctx, store.Attempt{Endpoint: "e1", Zone: 1, At: at, Messages: ms}))
	image := t.TempDir()
	testkit.Must(t, storetest.Image(dir, image))
	unlock()
	testkit.Must(t, s.Close())
	for _, process := range []string{"process that replays", "process after it"} {
		s, r, err := open(image, time.Second, 1<<20)
		testkit.Must(t, err)
		if len(r.Pending) != 1 {
			t.Fatalf("%s: got %d pending messages, want 1", process, len(r.Pending))
		}
		m := r.Pending[0]
		if !m.History.KeyExpired(keyWindow, time.Now()) {
			t.Errorf("%s: got that it ran at %v, want a key that has expired", process, m.History.RanAt)
		}
		if left, want := time.Until(m.Deadline), ms[0].Deadline.Sub(at); left > want+time.Second || left < want-10*time.Second {
			t.Errorf("%s: got %v until the deadline, want %v", process, left, want)
		}
		testkit.Must(t, s.Close())
	}
}

// A crash at any step of the replay neither loses nor duplicates a record.
func TestCrashDuringReplayKeepsEachRecordOnce(t *testing.T) {
	dir := t.TempDir()
	s, ms, unlock := openLocked(t, dir, 12, 1<<20)
	recordProgress(t, s, ms)
	image := t.TempDir()
	testkit.Must(t, storetest.Image(dir, image))
	unlock()
	testkit.Must(t, s.Close())
	for _, point := range []string{"store/intents/during-replay", "store/intents/before-truncate"} {
		for nth := 1; ; nth++ {
			replayDir, crashDir := t.TempDir(), t.TempDir()
			testkit.Must(t, storetest.Image(image, replayDir))
			passes := 0
			disarm := setFailpoint(t, point, func() error {
				if passes++; passes == nth {
					return storetest.Image(replayDir, crashDir)
				}
				return nil
			})
			s, r, err := open(replayDir, time.Second, 1<<20)
			testkit.Must(t, err)
			checkProgress(t, r, ms)
			disarm()
			testkit.Must(t, s.Close())
			if passes < nth {
				if nth == 1 {
					t.Errorf("failpoint %s was never reached", point)
				}
				break
			}
			s, r, err = open(crashDir, time.Second, 1<<20)
			testkit.Must(t, err)
			checkProgress(t, r, ms)
			testkit.Must(t, s.Close())
		}
	}
}

// While the log is full, calls return the store's error and the file does not exceed its bound. The records in the log are
// still replayed.
func TestFullLogReturnsStoreErrorAndIsReplayed(t *testing.T) {
	dir := t.TempDir()
	const limit = 400
	s, ms, unlock := openLocked(t, dir, 40, limit)
	done := 0
	var err error
	for _, m := range ms {
		if err = s.Complete(ctx, store.Completion{Message: m}); err != nil {
			break
		}
		done++
	}
	if !errors.Is(err, store.ErrUnavailable) || done == 0 {
		t.Errorf("got %d completions, then error %v, want at least 1, then ErrUnavailable", done, err)
	}
	if info, err := os.Stat(filepath.Join(dir, "intents")); err != nil || info.Size() > limit {
		t.Errorf("log: got %d bytes, %v, want %d bytes at most", info.Size(), err, limit)
	}
	image := t.TempDir()
	testkit.Must(t, storetest.Image(dir, image))
	unlock()
	testkit.Must(t, s.Close())
	s, r, err := open(image, time.Second, limit)
	testkit.Must(t, err)
	completed := 0
	for _, m := range r.Pending {
		if m.FinalResponse != nil {
			completed++
		}
	}
	if completed != done {
		t.Errorf("recovered completions: got %d, want %d", completed, done)
	}
	testkit.Must(t, s.Close())
}

// decode returns the intent that append encoded, and rejects a truncated or corrupted encoding.
func TestDecodeReturnsIntentAndDetectsDamage(t *testing.T) {
	response := intent{kind: kindResponse, seq: 7, zone: 1, at: time.UnixMicro(1234567), endpoint: "e1", response: message.FinalResponse{Kind: message.Rejected, RetryAfter: time.Second}}
	attempt := intent{kind: kindAttemptWithHistory, seq: 7, zone: 2, at: time.UnixMicro(1234567), endpoint: "e1"}
	attempt.history = message.History{Attempts: 3, Outstanding: true, MayHaveRun: true, CompletedMayHaveRun: true, RanAt: time.UnixMicro(1234), RanZone: 1}
	for _, want := range []intent{response, attempt} {
		testDecode(t, want)
	}
}

// testDecode tests decode with the encoding of one intent.
func testDecode(t *testing.T, want intent) {
	t.Helper()
	b := want.append(nil)
	got, rest, ok := decode(append(b[:len(b):len(b)], 1, 2, 3))
	if !ok || !reflect.DeepEqual(got, want) || len(rest) != 3 {
		t.Errorf("got %+v, rest %v, ok %v, want %+v and 3 remaining bytes", got, rest, ok, want)
	}
	for i := range b {
		if _, _, ok := decode(b[:i]); ok {
			t.Errorf("truncated to %d bytes: decoded, want failure", i)
		}
		corrupted := append([]byte(nil), b...)
		corrupted[i] ^= 1
		if got, _, ok := decode(corrupted); ok {
			t.Errorf("byte %d corrupted: decoded as %+v, want failure", i, got)
		}
	}
}

// FuzzDecode checks that decode does not panic, and that each intent it decodes can be encoded and decoded again.
func FuzzDecode(f *testing.F) {
	f.Add(intent{kind: kindAttemptWithHistory, seq: 1, endpoint: "x"}.append(nil))
	f.Add(intent{kind: kindAttempt, seq: 1, endpoint: "x"}.append(nil))
	f.Fuzz(func(t *testing.T, data []byte) {
		if i, rest, ok := decode(data); ok {
			if _, _, again := decode(i.append(nil)); !again || len(rest) >= len(data) {
				t.Errorf("%+v: got %d of %d bytes remaining, decoded again: %v", i, len(rest), len(data), again)
			}
		}
	})
}

// setFailpoint sets the hook of a failpoint until disarm is called.
func setFailpoint(t *testing.T, point string, hook func() error) (disarm func()) {
	t.Helper()
	disarm, err := failpoint.Set(point, hook)
	testkit.Must(t, err)
	return disarm
}
