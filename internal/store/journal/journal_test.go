package journal

import (
	"context"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"testing"
	"time"
	"wingmount/internal/failpoint"
	"wingmount/internal/message"
	"wingmount/internal/store"
	"wingmount/internal/testkit"
	"wingmount/policy"
)

var ctx = context.Background()

func mustOpen(t *testing.T, dir string, limit int64) (*Journal, []*message.Message) {
	t.Helper()
	j, r, err := Open(Config{Dir: dir, MaxBytes: limit}, testkit.QuietLog())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = j.Close() })
	return j, r.Pending
}

func newMessage(id string, size int) *message.Message {
	return &message.Message{ID: id, Key: "k-" + id, Destination: 7, Deadline: time.Now().Add(20 * time.Second), Body: make([]byte, size)}
}

// dirSize counts a folder as the platform does.
func dirSize(t *testing.T, dir string) int64 {
	t.Helper()
	files, err := os.ReadDir(dir)
	testkit.Must(t, err)
	sum := int64(0)
	for _, f := range files {
		info, err := f.Info()
		testkit.Must(t, err)
		sum += bytesOnDisk(info.Size())
	}
	return sum
}

// A new process recovers the pending messages with their attempts and responses, and the health of endpoints.
func TestRestartRecoversPendingMessages(t *testing.T) {
	dir := t.TempDir()
	j, _ := mustOpen(t, dir, MinDisk)
	at := time.Now().Add(-3 * time.Second).Truncate(time.Microsecond)
	fresh, tried, outstanding, limited, completed, delivered := newMessage("fresh", 10), newMessage("tried", 0), newMessage("outstanding", 3),
		newMessage("limited", 3), newMessage("completed", 5), newMessage("delivered", 5)
	fresh.Body = []byte("0123456\r\n9")
	for _, m := range []*message.Message{fresh, tried, outstanding, limited, completed, delivered} {
		testkit.Must(t, j.Accept(ctx, m))
	}
	testkit.Must(t, j.RecordAttempt(ctx, store.Attempt{Endpoint: "e1", Zone: 1, At: at, Messages: []*message.Message{tried}}))
	testkit.Must(t, j.RecordOutcome(ctx, store.Outcome{Message: tried, Outcome: policy.TimedOut, Endpoint: "e1", At: at}))
	testkit.Must(t, j.RecordAttempt(ctx, store.Attempt{Endpoint: "e1", Zone: 1, At: at.Add(time.Second), Messages: []*message.Message{tried}}))
	testkit.Must(t, j.RecordOutcome(ctx, store.Outcome{Message: tried, Outcome: policy.RateLimited, Endpoint: "e1", At: at.Add(time.Second)}))
	testkit.Must(t, j.RecordAttempt(ctx, store.Attempt{Endpoint: "e2", Zone: 1, At: at, Messages: []*message.Message{outstanding}}))
	testkit.Must(t, j.RecordAttempt(ctx, store.Attempt{Endpoint: "e2", Zone: 1, At: at, Messages: []*message.Message{limited}}))
	testkit.Must(t, j.RecordOutcome(ctx, store.Outcome{Message: limited, Outcome: policy.RateLimited, Endpoint: "e2", At: at}))
	testkit.Must(t, j.Complete(ctx, store.Completion{Message: completed, Response: message.FinalResponse{Kind: message.Rejected, RetryAfter: 500 * time.Millisecond}}))
	testkit.Must(t, j.RecordAttempt(ctx, store.Attempt{Endpoint: "e3", Zone: 0, At: at, Messages: []*message.Message{delivered}}))
	testkit.Must(t, j.RecordOutcome(ctx, store.Outcome{Message: delivered, Outcome: policy.Delivered, Endpoint: "e3", At: at}))
	testkit.Must(t, j.Close())

	again, recovered, err := Open(Config{Dir: dir, MaxBytes: MinDisk}, testkit.QuietLog())
	testkit.Must(t, err)
	t.Cleanup(func() { _ = again.Close() })
	pending := recovered.Pending
	got := map[string]*message.Message{}
	for _, m := range pending {
		got[m.ID] = m
	}
	if len(got) != 5 || got["delivered"] != nil {
		t.Fatalf("pending: got %v, want all but delivered", got)
	}
	m := got["fresh"]
	if string(m.Body) != string(fresh.Body) || m.Key != "k-fresh" || m.Destination != 7 || m.History != (message.History{}) ||
		m.Deadline.UnixMicro() != fresh.Deadline.UnixMicro() {
		t.Errorf("fresh: got %+v", m)
	}
	if p := got["tried"].History; p.Attempts != 2 || !p.MayHaveRun || !p.CompletedMayHaveRun || p.RanZone != 1 || !p.RanAt.Equal(at) {
		t.Errorf("tried: got %+v", p)
	}
	if p := got["outstanding"].History; p.Attempts != 1 || !p.MayHaveRun || !p.CompletedMayHaveRun || p.Outstanding {
		t.Errorf("outstanding: got %+v, want an attempt that may have run", p)
	}
	if p := got["limited"].History; p.Attempts != 1 || p.MayHaveRun {
		t.Errorf("limited: got %+v, want an attempt that did not run", p)
	}
	if n := got["completed"].FinalResponse; n == nil || n.Kind != message.Rejected || n.RetryAfter != 500*time.Millisecond {
		t.Errorf("completed: got response %+v", n)
	}
	if e := recovered.EndpointHealth["e1"]; e == nil || len(e.CallTimes) != 2 || !e.FailedAt.Equal(at) || !e.RecoveredAt.IsZero() {
		t.Errorf("health of e1: got %+v", e)
	}
	next := newMessage("next", 1)
	testkit.Must(t, again.Accept(ctx, next))
	if next.Seq <= delivered.Seq {
		t.Errorf("number %d was assigned before", next.Seq)
	}
}

// Recovery survives a record that a kill has cut off, or a disk has changed.
func TestRecoveryWithTornTail(t *testing.T) {
	for name, spoil := range map[string]func([]byte) []byte{
		"torn":    func(b []byte) []byte { return b[:len(b)-5] },
		"head":    func(b []byte) []byte { return append(b, 9, 9, 9) },
		"length":  func(b []byte) []byte { return append(b, 255, 255, 255, 255, 0, 0, 0, 0) },
		"changed": func(b []byte) []byte { b[len(b)-3] ^= 1; return b },
	} {
		t.Run(name, func(t *testing.T) {
			dir := t.TempDir()
			j, _ := mustOpen(t, dir, MinDisk)
			testkit.Must(t, j.Accept(ctx, newMessage("a", 100)))
			testkit.Must(t, j.Accept(ctx, newMessage("b", 100)))
			testkit.Must(t, j.Close())
			path := segmentPath(dir, 1)
			data, err := os.ReadFile(path)
			testkit.Must(t, err)
			testkit.Must(t, os.WriteFile(path, spoil(data), 0o600))
			j, pending := mustOpen(t, dir, MinDisk)
			if len(pending) == 0 || pending[0].ID != "a" {
				t.Fatalf("pending: got %v, want a at least", pending)
			}
			testkit.Must(t, j.Accept(ctx, newMessage("c", 100)))
			testkit.Must(t, j.Close())
			_, pending = mustOpen(t, dir, MinDisk)
			if last := pending[len(pending)-1]; last.ID != "c" {
				t.Errorf("last message after the torn tail: got %q, want c", last.ID)
			}
		})
	}
}

// The folder stays within its bound at every moment, messages are rejected before it is exceeded, and compaction loses no
// pending message.
func TestFolderStaysWithinBound(t *testing.T) {
	dir := t.TempDir()
	const limit = 1 << 20
	j, _ := mustOpen(t, dir, limit)
	var open []*message.Message
	rejected := 0
	for i := range 600 {
		m := newMessage(fmt.Sprint("m", i), message.MaxBodyLength-i%3*30000)
		switch err := j.Accept(ctx, m); {
		case errors.Is(err, store.ErrFull):
			rejected++
			if len(open) == 0 {
				t.Fatal("rejected without a pending message")
			}
			for range 3 { // the newest complete, so that old ones must be copied
				last := open[len(open)-1]
				open = open[:len(open)-1]
				testkit.Must(t, j.Complete(ctx, store.Completion{Message: last}))
				testkit.Must(t, j.MarkNotified(ctx, last))
			}
		case err != nil:
			t.Fatal(err)
		default:
			open = append(open, m)
			for range 6 {
				testkit.Must(t, j.RecordAttempt(ctx, store.Attempt{Endpoint: "endpoint", Zone: 1, At: time.Now(), Messages: []*message.Message{m}}))
				testkit.Must(t, j.RecordOutcome(ctx, store.Outcome{Message: m, Outcome: policy.RateLimited, Endpoint: "endpoint", At: time.Now()}))
			}
		}
		if size := dirSize(t, dir); size > limit {
			t.Fatalf("folder after message %[2]d: got %[1]d bytes, want %[3]d at most", size, i, limit)
		}
	}
	if rejected == 0 {
		t.Fatal("rejected messages: got 0, want some")
	}
	testkit.Must(t, j.Close())
	_, pending := mustOpen(t, dir, limit)
	if size := dirSize(t, dir); size > limit {
		t.Errorf("folder after the next start: got %d bytes, want no more than its bound", size)
	}
	if len(pending) != len(open) {
		t.Fatalf("recovered messages: got %d, want %d", len(pending), len(open))
	}
	for i, m := range pending {
		if m.ID != open[i].ID || len(m.Body) != len(open[i].Body) || m.History.Attempts != 6 {
			t.Errorf("message %d: got %s with %d bytes and %d attempts", i, m.ID, len(m.Body), m.History.Attempts)
		}
	}
}

// A failed write rejects the message; the journal works again once the disk does.
func TestFailedWriteRejectsMessage(t *testing.T) {
	dir := t.TempDir()
	j, _ := mustOpen(t, dir, MinDisk)
	full, err := os.OpenFile("/dev/full", os.O_WRONLY, 0)
	if err != nil {
		t.Skip("no /dev/full here")
	}
	good := j.file
	j.file = full
	if err := j.Accept(ctx, newMessage("a", 10)); err == nil || errors.Is(err, store.ErrFull) {
		t.Fatalf("Accept on a full disk: got %v, want an error other than ErrFull", err)
	}
	j.file = good
	testkit.Must(t, full.Close())
	testkit.Must(t, j.Accept(ctx, newMessage("b", 10)))
	testkit.Must(t, j.Close())
	testkit.Must(t, os.WriteFile(filepath.Join(dir, "unrelated"), []byte("x"), 0o600))
	_, pending := mustOpen(t, dir, MinDisk)
	if len(pending) != 1 || pending[0].ID != "b" {
		t.Errorf("pending: got %v, want b", pending)
	}
}

// A journal that rejects new messages has capacity for all records that the pending ones need until they are closed.
func TestFullJournalCompletesItsMessages(t *testing.T) {
	for _, size := range []int{0, 900, message.MaxBodyLength} {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			dir := t.TempDir()
			j, _ := mustOpen(t, dir, MinDisk)
			var open []*message.Message
			for {
				m := newMessage(fmt.Sprint("m", len(open)), size)
				err := j.Accept(ctx, m)
				if errors.Is(err, store.ErrFull) {
					break
				}
				testkit.Must(t, err)
				open = append(open, m)
			}
			for range 6 {
				for _, m := range open {
					testkit.Must(t, j.RecordAttempt(ctx, store.Attempt{Endpoint: "an-endpoint-with-a-long-name", Zone: 1, At: time.Now(), Messages: []*message.Message{m}}))
					testkit.Must(t, j.RecordOutcome(ctx, store.Outcome{Message: m, Outcome: policy.TimedOut, Endpoint: "an-endpoint-with-a-long-name", At: time.Now()}))
				}
			}
			for _, m := range open {
				testkit.Must(t, j.Complete(ctx, store.Completion{Message: m}))
			}
			if n := dirSize(t, dir); n > MinDisk {
				t.Errorf("folder: got %d bytes, want %d at most", n, MinDisk)
			}
			for _, m := range open {
				testkit.Must(t, j.MarkNotified(ctx, m))
			}
			testkit.Must(t, j.Accept(ctx, newMessage("next", size)))
		})
	}
}

// The files of names of classes and availability zones count for the bound of the folder, also while a new one exists beside
// the old one.
func TestNamesCountForFolderBound(t *testing.T) {
	dir, names := t.TempDir(), store.Names{}
	for i := range 200 {
		names.Classes = append(names.Classes, fmt.Sprintf("a-class-with-a-long-name-%d", i))
	}
	for incarnation := range 3 {
		names.Zones = append(names.Zones, fmt.Sprint("zone ", incarnation))
		j, r, err := Open(Config{Dir: dir, MaxBytes: MinDisk, Names: names}, testkit.QuietLog())
		testkit.Must(t, err)
		if len(r.Names.Classes) != 200 || len(r.Names.Zones) != incarnation+1 {
			t.Fatalf("names: got %d classes and %d availability zones", len(r.Names.Classes), len(r.Names.Zones))
		}
		text, err := os.ReadFile(filepath.Join(dir, namesFile))
		testkit.Must(t, err)
		most, full := int64(0), false
		for i := 0; !full; i++ {
			full = errors.Is(j.Accept(ctx, newMessage(fmt.Sprint(incarnation, " ", i), 3000)), store.ErrFull)
			most = max(most, dirSize(t, dir))
		}
		if most+bytesOnDisk(int64(len(text))) > MinDisk {
			t.Errorf("incarnation %d: got %d bytes in the folder beside a new file of names, want %d at most", incarnation, most, int64(MinDisk))
		}
		for _, m := range r.Pending {
			testkit.Must(t, j.MarkNotified(ctx, m)) // capacity for the next incarnation
		}
		testkit.Must(t, j.Close())
	}
}

// A node starts with an unreadable file of names. Running messages then have the unknown class, because the meaning of their
// numbers is lost; final responses are notified all the same.
func TestUnreadableNames(t *testing.T) {
	for _, text := range []string{"", "{", `{"Classes":7}`, "\x00\x00"} {
		dir, names := t.TempDir(), store.Names{Classes: []string{"a", "b"}, Zones: []string{"x"}}
		j, _, err := Open(Config{Dir: dir, MaxBytes: MinDisk, Names: names}, testkit.QuietLog())
		testkit.Must(t, err)
		running, completed := newMessage("running", 3), newMessage("completed", 3)
		running.Class = 1
		testkit.Must(t, j.Accept(ctx, running))
		testkit.Must(t, j.Accept(ctx, completed))
		testkit.Must(t, j.Complete(ctx, store.Completion{Message: completed, Response: message.FinalResponse{Kind: message.Rejected}}))
		testkit.Must(t, j.Close())
		path := filepath.Join(dir, namesFile)
		testkit.Must(t, os.WriteFile(path, []byte(text), 0o600))
		for incarnation := range 2 {
			j, r, err := Open(Config{Dir: dir, MaxBytes: MinDisk, Names: names}, testkit.QuietLog())
			testkit.Must(t, err)
			if len(r.Pending) != 2 || incarnation == 0 && r.Pending[0].Class != unknownClass || r.Pending[1].FinalResponse == nil || len(r.Names.Classes) != 2 {
				t.Errorf("%q, incarnation %d: got pending %+v, names %v", text, incarnation, r.Pending, r.Names)
			}
			testkit.Must(t, j.Close())
		}
	}
}

// Guards against a message that runs twice: if the outcome of an attempt that did not run can't be written, the replay must
// not take that attempt for the next one, which may have run.
func TestAttemptAfterUnwrittenOutcomeIsReplayedWithIt(t *testing.T) {
	dir := t.TempDir()
	j, _ := mustOpen(t, dir, MinDisk)
	const rejectingZone, runningZone = 0, 1
	rejectedAt := time.Now().Add(-10 * time.Second).Truncate(time.Microsecond)
	ranAt := rejectedAt.Add(time.Second)
	m := newMessage("m", 10)
	testkit.Must(t, j.Accept(ctx, m))
	testkit.Must(t, j.RecordAttempt(ctx, store.Attempt{Endpoint: "e1", Zone: rejectingZone, At: rejectedAt, Messages: []*message.Message{m}}))
	disarm, err := failpoint.Set("store/journal/before-write", func() error { return errors.New("no space left") })
	testkit.Must(t, err)
	if err := j.RecordOutcome(ctx, store.Outcome{Message: m, Outcome: policy.RateLimited, Endpoint: "e1", At: rejectedAt}); err == nil {
		t.Error("outcome that can't be written: got nil, want an error")
	}
	attempt := store.Attempt{Endpoint: "e2", Zone: runningZone, At: ranAt, Messages: []*message.Message{m}}
	if err := j.RecordAttempt(ctx, attempt); err == nil || m.History.Attempts != 1 {
		t.Errorf("attempt while the outcome before it can't be written: got %v, %d attempts, want an error and 1", err, m.History.Attempts)
	}
	disarm()
	testkit.Must(t, j.RecordAttempt(ctx, attempt))
	testkit.Must(t, j.Close())
	_, pending := mustOpen(t, dir, MinDisk)
	if h := pending[0].History; h.Attempts != 2 || !h.MayHaveRun || h.RanZone != runningZone || !h.RanAt.Equal(ranAt) {
		t.Errorf("got history %+v, want 2 attempts, and that it ran in zone %d at %v", h, runningZone, ranAt)
	}
}
