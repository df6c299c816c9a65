package sqlite

import (
	"bytes"
	"cmp"
	"context"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"time"
	"wingmount/internal/failpoint"
	"wingmount/internal/message"
	"wingmount/internal/store"
	"wingmount/internal/store/storetest"
	"wingmount/internal/testkit"
	"wingmount/policy"

	"github.com/ncruces/go-sqlite3"
)

var ctx = context.Background()

func mustOpen(t *testing.T, c Config) (*Store, store.Recovered) {
	t.Helper()
	s, r, err := Open(c, testkit.QuietLog())
	testkit.Must(t, err)
	return s, r
}

// checkpoint moves the content of the WAL into the database file, as another program may do.
func checkpoint(c Config) error {
	db, err := sqlite3.Open("file:" + c.Path)
	if err != nil {
		return err
	}
	return errors.Join(db.BusyTimeout(10*time.Second), db.Exec("PRAGMA wal_checkpoint(TRUNCATE)"), db.Close())
}

// Open rejects a damaged, incomplete or foreign file with an error on one line, and changes neither the file nor its WAL.
func TestOpenRejectsDamagedFileUnchanged(t *testing.T) {
	// crashImage returns the config of a store with 50 messages, in the state of a killed process, with its WAL.
	crashImage := func(t *testing.T) Config {
		t.Helper()
		dir := t.TempDir()
		s, _ := mustOpen(t, config(dir))
		for i := range 40 {
			testkit.Must(t, s.Accept(ctx, storetest.NewMessage(fmt.Sprint("m", i), 3000)))
		}
		testkit.Must(t, checkpoint(config(dir)))
		for i := range 10 {
			testkit.Must(t, s.Accept(ctx, storetest.NewMessage(fmt.Sprint("late", i), 3000)))
		}
		to := t.TempDir()
		testkit.Must(t, storetest.Image(dir, to))
		testkit.Must(t, s.Close())
		return config(to)
	}
	edit := func(t *testing.T, path string, f func([]byte) []byte) {
		t.Helper()
		data, err := os.ReadFile(path)
		testkit.Must(t, err)
		testkit.Must(t, os.WriteFile(path, f(data), 0o600))
	}
	sql := func(t *testing.T, c Config, text string) {
		t.Helper()
		db, err := sqlite3.Open("file:" + c.Path)
		testkit.Must(t, err)
		testkit.Must(t, db.Exec(text))
		testkit.Must(t, db.Close())
	}
	for name, c := range map[string]struct {
		damage func(*testing.T, Config)
		want   string // part of the error
	}{
		"corrupt page": {func(t *testing.T, c Config) {
			t.Helper()
			edit(t, c.Path, func(b []byte) []byte { copy(b[30*pageBytes:], bytes.Repeat([]byte{0xa5}, 2*pageBytes)); return b })
		}, "is damaged"},
		"one bit of a body": {func(t *testing.T, c Config) {
			t.Helper()
			edit(t, c.Path, func(b []byte) []byte { b[30*pageBytes+pageBytes/2] ^= 1; return b })
		}, "is damaged"},
		"not a database": {func(t *testing.T, c Config) {
			t.Helper()
			testkit.Must(t, os.Remove(c.Path+"-wal"))
			testkit.Must(t, os.WriteFile(c.Path, bytes.Repeat([]byte("what? "), 2000), 0o600))
		}, "is damaged or not a database"},
		"truncated file": {func(t *testing.T, c Config) {
			t.Helper()
			edit(t, c.Path, func(b []byte) []byte { return b[:len(b)/2/pageBytes*pageBytes] })
		}, "is damaged"},
		"truncated WAL": {func(t *testing.T, c Config) {
			t.Helper()
			edit(t, c.Path+"-wal", func(b []byte) []byte { return b[:len(b)/2] })
		}, "has lost commits"},
		"no WAL": {func(t *testing.T, c Config) {
			t.Helper()
			testkit.Must(t, os.Remove(c.Path+"-wal"))
		}, "has lost commits"},
		"newer schema": {func(t *testing.T, c Config) {
			t.Helper()
			sql(t, c, fmt.Sprintf("PRAGMA user_version = %d", len(migrations)+1))
		}, "a newer program wrote the file"},
		"database of another program": {func(t *testing.T, c Config) {
			t.Helper()
			for _, end := range []string{"", "-wal", "-witness"} {
				testkit.Must(t, os.Remove(c.Path+end))
			}
			sql(t, c, "CREATE TABLE cats (name TEXT)")
		}, "a database of another program"},
	} {
		t.Run(name, func(t *testing.T) {
			conf := crashImage(t)
			c.damage(t, conf)
			before, err := os.ReadFile(conf.Path)
			testkit.Must(t, err)
			wal, _ := os.ReadFile(conf.Path + "-wal") // may not exist
			_, _, err = Open(conf, testkit.QuietLog())
			if err == nil || !strings.Contains(err.Error(), c.want) || strings.Contains(err.Error(), "\n") {
				t.Errorf("Open: got error %v, want one line with %q", err, c.want)
			}
			after, err := os.ReadFile(conf.Path)
			testkit.Must(t, err)
			walAfter, _ := os.ReadFile(conf.Path + "-wal")
			if !bytes.Equal(before, after) || !bytes.Equal(wal, walAfter) {
				t.Error("Open changed the database file or its WAL")
			}
		})
	}
	t.Run("undamaged", func(t *testing.T) {
		s, r := mustOpen(t, crashImage(t))
		if len(r.Pending) != 50 {
			t.Errorf("pending messages: got %d, want 50", len(r.Pending))
		}
		testkit.Must(t, s.Close())
	})
}

// Open rejects a file that another node uses. The first node is not affected.
func TestOpenRejectsFileInUse(t *testing.T) {
	c := config(t.TempDir())
	s, _ := mustOpen(t, c)
	if _, _, err := Open(c, testkit.QuietLog()); err == nil || !strings.Contains(err.Error(), "in use by another node") {
		t.Errorf("second Open: got %v, want an error that the file is in use", err)
	}
	testkit.Must(t, s.Accept(ctx, storetest.NewMessage("a", 1)))
	testkit.Must(t, s.Close())
	s, r := mustOpen(t, c)
	if len(r.Pending) != 1 {
		t.Errorf("pending messages: got %v, want 1", r.Pending)
	}
	testkit.Must(t, s.Close())
}

// lockDatabase acquires SQLite's write lock of a file, until unlock is called.
func lockDatabase(t *testing.T, c Config) (unlock func()) {
	t.Helper()
	db, err := sqlite3.Open("file:" + c.Path)
	testkit.Must(t, err)
	testkit.Must(t, db.BusyTimeout(10*time.Second))
	testkit.Must(t, db.Exec("BEGIN IMMEDIATE"))
	return func() {
		testkit.Must(t, db.Exec("ROLLBACK"))
		testkit.Must(t, db.Close())
	}
}

// Guards against a node that can't start while another program holds the write lock: a store that has nothing to write
// opens, and one that has new names to write waits for the lock.
func TestOpenOfLockedFile(t *testing.T) {
	c := config(t.TempDir())
	c.Names = store.Names{Classes: []string{"urgent"}, Zones: []string{"north"}}
	s, _ := mustOpen(t, c)
	testkit.Must(t, s.Accept(ctx, storetest.NewMessage("m", 10)))
	testkit.Must(t, s.Close())
	unlock := lockDatabase(t, c)
	s, r := mustOpen(t, c)
	if len(r.Pending) != 1 {
		t.Errorf("pending messages: got %d, want 1", len(r.Pending))
	}
	testkit.Must(t, s.Close())
	c.Names.Classes = append(c.Names.Classes, "bulk")
	opened := make(chan error)
	go func() {
		s, _, err := Open(c, testkit.QuietLog())
		if err == nil {
			err = s.Close()
		}
		opened <- err
	}()
	select {
	case err := <-opened:
		t.Errorf("Open of a locked file with new names: returned %v before the lock was released", err)
	case <-time.After(10 * beginTimeout):
	}
	unlock()
	testkit.Must(t, <-opened)
}

// While another writer has locked the file, new messages are rejected: the first one when the writer fails to begin a
// transaction, later ones immediately. Rejected messages are never recovered. All other records are written once, when the
// lock is released.
func TestLockedFileRejectsAcceptsAndDelaysUpdates(t *testing.T) {
	c := config(t.TempDir())
	s, _ := mustOpen(t, c)
	var ms []*message.Message
	for i := range 20 {
		m := storetest.NewMessage(fmt.Sprint("m", i), 100)
		testkit.Must(t, s.Accept(ctx, m))
		ms = append(ms, m)
	}
	unlock := lockDatabase(t, c)
	shortCtx, cancel := context.WithTimeout(ctx, 250*time.Millisecond)
	defer cancel()
	if err := s.Accept(shortCtx, storetest.NewMessage("first", 1)); !errors.Is(err, store.ErrUnavailable) {
		t.Errorf("first Accept on a locked file: got %v, want ErrUnavailable", err)
	}
	testkit.Eventually(t, "failed transaction", func() bool { return s.Failure() != nil })
	for i := range 100 {
		start := time.Now()
		err := s.Accept(ctx, storetest.NewMessage(fmt.Sprint("more", i), 1))
		if took := time.Since(start); !errors.Is(err, store.ErrUnavailable) || took > 100*time.Millisecond {
			t.Fatalf("Accept %d: got %v after %v, want ErrUnavailable within 100 ms", i, err, took)
		}
	}
	// Calls that must be durable wait until their contexts end; their records remain queued.
	cancelledCtx, cancel2 := context.WithCancel(ctx)
	cancel2()
	if err := s.RecordAttempt(cancelledCtx, store.Attempt{Endpoint: "e1", At: time.Now(), Messages: ms[:1]}); !errors.Is(err, store.ErrUnavailable) {
		t.Errorf("RecordAttempt: got %v, want ErrUnavailable", err)
	}
	testkit.Must(t, s.RecordOutcome(ctx, store.Outcome{Message: ms[0], Outcome: policy.NotSent, Endpoint: "e1", At: time.Now()}))
	completed := make(chan error, len(ms))
	for _, m := range ms[1:] {
		go func() {
			completed <- s.Complete(ctx, store.Completion{Message: m, Response: message.FinalResponse{Kind: message.Rejected}})
		}()
	}
	testkit.Eventually(t, "completions queued", func() bool { return s.Pending() == len(ms)+1 })
	if len(completed) != 0 {
		t.Error("Complete returned before its record could be written")
	}
	unlock()
	for range ms[1:] {
		testkit.Must(t, <-completed)
	}
	testkit.Must(t, s.Accept(ctx, storetest.NewMessage("after", 1)))
	testkit.Must(t, s.Close())
	s, r := mustOpen(t, c)
	var running, responses []string
	for _, m := range r.Pending {
		if m.FinalResponse == nil {
			running = append(running, fmt.Sprint(m.ID, " ", m.History.Attempts, " ", m.History.MayHaveRun))
		} else {
			responses = append(responses, m.ID)
		}
	}
	if fmt.Sprint(running) != "[m0 1 false after 0 false]" || len(responses) != len(ms)-1 {
		t.Errorf("got running messages %v and %d responses, want m0 and after, and %d responses", running, len(responses), len(ms)-1)
	}
	testkit.Must(t, s.Close())
}

// A transaction that fails, at any point, rejects its new messages and loses no other record. Messages are accepted again
// as soon as transactions succeed.
func TestFailedTransactionRejectsOnlyNewMessages(t *testing.T) {
	for _, point := range []string{"store/sqlite/after-begin", "store/sqlite/before-commit"} {
		t.Run(filepath.Base(point), func(t *testing.T) {
			c := config(t.TempDir())
			s, _ := mustOpen(t, c)
			m := storetest.NewMessage("m", 10)
			testkit.Must(t, s.Accept(ctx, m))
			disarm, err := failpoint.Set(point, func() error { return failpoint.InjectedError{Point: point} })
			testkit.Must(t, err)
			defer disarm()
			if err := s.Accept(ctx, storetest.NewMessage("x", 10)); !errors.Is(err, store.ErrUnavailable) {
				t.Errorf("Accept: got %v, want ErrUnavailable", err)
			}
			completed := make(chan error)
			go func() { completed <- s.Complete(ctx, store.Completion{Message: m}) }()
			testkit.Eventually(t, "completion queued", func() bool { return s.Pending() == 1 })
			disarm()
			testkit.Must(t, <-completed)
			testkit.Eventually(t, "messages accepted again", func() bool { return s.Accept(ctx, storetest.NewMessage("y", 10)) == nil })
			testkit.Must(t, s.Close())
			s, r := mustOpen(t, c)
			if len(r.Pending) != 2 || r.Pending[0].FinalResponse == nil || r.Pending[1].ID != "y" {
				t.Errorf("got %d pending messages, want m with a response, and y", len(r.Pending))
			}
			testkit.Must(t, s.Close())
		})
	}
}

// After a message was rejected while no other record was queued, later messages are accepted: the queue itself tests whether
// the database can be written again.
func TestAcceptsResumeWithoutOtherRecords(t *testing.T) {
	c := config(t.TempDir())
	s, _ := mustOpen(t, c)
	unlock := lockDatabase(t, c)
	if err := s.Accept(ctx, storetest.NewMessage("x", 10)); !errors.Is(err, store.ErrUnavailable) {
		t.Errorf("Accept: got %v, want ErrUnavailable", err)
	}
	unlock()
	testkit.Eventually(t, "messages accepted again", func() bool { return s.Accept(ctx, storetest.NewMessage("x", 10)) == nil })
	testkit.Must(t, s.Close())
}

// Close of a store whose file is locked reports the number of records that could not be written.
func TestCloseOfLockedFileReportsUnwrittenRecords(t *testing.T) {
	c := config(t.TempDir())
	s, _ := mustOpen(t, c)
	m := storetest.NewMessage("m", 10)
	testkit.Must(t, s.Accept(ctx, m))
	unlock := lockDatabase(t, c)
	testkit.Must(t, s.MarkNotified(ctx, m))
	if err := s.Close(); err == nil || !strings.Contains(err.Error(), "1 records could not be written") {
		t.Errorf("Close: got %v, want an error that 1 record could not be written", err)
	}
	unlock()
}

// After their retention, final responses are deleted in several transactions, and their ids are accepted again. Pending
// responses are never deleted, and a crash between the transactions loses none of them.
func TestRetentionDeletesOnlyNotifiedResponses(t *testing.T) {
	c := config(t.TempDir())
	c.ResponseRetention = 0
	s, _ := mustOpen(t, c)
	images := []string{}
	var notified atomic.Bool
	disarm, err := failpoint.Set("store/sqlite/during-retention", func() error {
		if notified.Load() && len(images) < 4 {
			to := t.TempDir()
			if err := storetest.Image(filepath.Dir(c.Path), to); err != nil {
				return err
			}
			images = append(images, to)
		}
		return nil
	})
	testkit.Must(t, err)
	defer disarm()
	const n = 2*maxSweptRows + 10
	var ms []*message.Message
	var completions []store.Completion
	for i := range n {
		m := storetest.NewMessage(fmt.Sprint("m", i), 0)
		ms = append(ms, m)
		completions = append(completions, store.Completion{Message: m})
	}
	parallel(64, n, func(i int) { testkit.Must(t, s.Accept(ctx, ms[i])) })
	testkit.Must(t, s.Complete(ctx, completions...))
	pending := ms[7]
	testkit.Must(t, s.MarkNotified(ctx, append(append([]*message.Message(nil), ms[:7]...), ms[8:]...)...))
	testkit.Must(t, s.Complete(ctx)) // barrier: the notifications are durable
	notified.Store(true)
	// The last response in the order of the file: no sweep that deletes others follows, whose image would have the new message.
	last := slices.MaxFunc(ms, func(a, b *message.Message) int { return cmp.Compare(a.Seq, b.Seq) })
	testkit.Eventually(t, "notified responses deleted", func() bool {
		m := storetest.NewMessage(last.ID, 0)
		err := s.Accept(ctx, m)
		return err == nil
	})
	var duplicate *store.DuplicateError
	if err := s.Accept(ctx, storetest.NewMessage(pending.ID, 0)); !errors.As(err, &duplicate) || duplicate.Response == nil {
		t.Errorf("Accept of the id of a pending response: got %v, want a duplicate with a response", err)
	}
	testkit.Must(t, s.Close())
	disarm()
	if len(images) < 2 {
		t.Fatalf("sweeps: got %d, want 2 or more, one for each %d rows", len(images), maxSweptRows)
	}
	for _, dir := range images {
		recovered, r := mustOpen(t, config(dir))
		if len(r.Pending) != 1 || r.Pending[0].ID != pending.ID {
			t.Errorf("after a crash during a sweep: got %d pending messages, want only %s", len(r.Pending), pending.ID)
		}
		testkit.Must(t, recovered.Close())
	}
}
