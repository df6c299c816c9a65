package sqlite

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"sync"
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

// An Inspector reads the store of a running node: its check succeeds, and its statistics and entries match the messages.
func TestInspectorReadsRunningStore(t *testing.T) {
	c := config(t.TempDir())
	s, _ := mustOpen(t, c)
	var ms []*message.Message
	for i := range 5 {
		m := storetest.NewMessage(fmt.Sprint("m", i), 100)
		m.Destination = storetest.WideDestination - i
		testkit.Must(t, s.Accept(ctx, m))
		ms = append(ms, m)
	}
	at := time.Now()
	testkit.Must(t, s.RecordAttempt(ctx, store.Attempt{Endpoint: "e1", At: at, Messages: ms[:2]}))
	testkit.Must(t, s.RecordOutcome(ctx, store.Outcome{Message: ms[0], Outcome: policy.Delivered, Endpoint: "e1", At: at}))
	testkit.Must(t, s.Complete(ctx, store.Completion{Message: ms[2], Response: message.FinalResponse{Kind: message.Rejected, RetryAfter: time.Second}}))
	testkit.Must(t, s.MarkNotified(ctx, ms[0]))
	testkit.Must(t, s.Complete(ctx))
	i, err := Inspect(c.Path)
	testkit.Must(t, err)
	testkit.Must(t, i.Check(ctx))
	st, err := i.Stat(ctx)
	testkit.Must(t, err)
	figures := map[string]any{}
	for _, f := range st {
		figures[f.Name] = f.Value
	}
	for name, want := range map[string]int64{"schema": int64(len(migrations)), "running": 3, "answers owed": 1, "answers kept": 1, "attempts at running": 1} {
		if figures[name] != want {
			t.Errorf("Stat: %s: got %v, want %d", name, figures[name], want)
		}
	}
	if figures["oldest running"] == "-" || figures["pages"].(int64) < 1 {
		t.Errorf("Stat: got %+v, want an oldest running message and at least one page", st)
	}
	var got []string
	testkit.Must(t, i.Entries(ctx, "", func(e store.Entry) error {
		got = append(got, fmt.Sprint(e.ID, " ", e.State, " ", e.Outcome, " ", e.Attempts, " ", e.Outstanding, " ", e.Dest))
		return nil
	}))
	want := []string{"m0 told delivered 1 false 4294967295", "m1 running  1 true 4294967294", "m2 owed refused 0 false 4294967293", "m3 running  0 false 4294967292", "m4 running  0 false 4294967291"}
	if fmt.Sprint(got) != fmt.Sprint(want) {
		t.Errorf("Entries: got %q, want %q", got, want)
	}
	n := 0
	testkit.Must(t, i.Entries(ctx, "m2", func(store.Entry) error { n++; return nil }))
	if n != 1 {
		t.Errorf("Entries of m2: got %d, want 1", n)
	}
	testkit.Must(t, i.Close())
	testkit.Must(t, s.Close())
	if _, err := Inspect(filepath.Join(t.TempDir(), "none.db")); err == nil {
		t.Error("Inspect of a missing file: got no error, want one")
	}
}

// A backup that is made while messages are accepted is a consistent snapshot, and can be opened as a store.
func TestBackupOfRunningStoreIsConsistent(t *testing.T) {
	dir := t.TempDir()
	c := config(dir)
	s, _ := mustOpen(t, c)
	stop := make(chan struct{})
	var accepted atomic.Int64
	var accepting sync.WaitGroup
	accepting.Go(func() {
		for n := 0; ; n++ {
			select {
			case <-stop:
				return
			default:
				if err := s.Accept(ctx, storetest.NewMessage(fmt.Sprint("m", n), 200)); err != nil {
					t.Error(err)
					return
				}
				accepted.Add(1)
			}
		}
	})
	testkit.Eventually(t, "more than 50 accepted messages", func() bool { return accepted.Load() > 50 })
	for k := range 3 {
		i, err := Inspect(c.Path)
		testkit.Must(t, err)
		to := filepath.Join(dir, fmt.Sprint("copy", k))
		testkit.Must(t, i.Backup(ctx, to))
		if err := i.Backup(ctx, to); err == nil || !strings.Contains(err.Error(), "already exists") {
			t.Errorf("Backup to an existing file: got %v, want an error that it already exists", err)
		}
		testkit.Must(t, i.Close())
		copied, r := mustOpen(t, Config{Path: to, Durability: Power, ResponseRetention: time.Hour, NotifyDelivered: true})
		if len(r.Pending) < 50 {
			t.Errorf("messages in the backup: got %d, want 50 or more", len(r.Pending))
		}
		for n, m := range r.Pending {
			if m.ID != fmt.Sprint("m", n) {
				t.Fatalf("message %d of the backup: got id %s, want m%d", n, m.ID, n)
			}
		}
		testkit.Must(t, copied.Accept(ctx, storetest.NewMessage("new", 1)))
		testkit.Must(t, copied.Close())
	}
	close(stop)
	accepting.Wait()
	testkit.Must(t, s.Close())
}

// If the process is killed during a backup, no file remains that looks like a complete backup. The next backup succeeds,
// and the store is unchanged.
func TestCrashDuringBackupLeavesNoBackupFile(t *testing.T) {
	for _, point := range []string{"store/sqlite/during-backup", "store/sqlite/before-backup-rename"} {
		t.Run(filepath.Base(point), func(t *testing.T) {
			dir, image := t.TempDir(), t.TempDir()
			c := config(dir)
			s, _ := mustOpen(t, c)
			testkit.Must(t, s.Accept(ctx, storetest.NewMessage("a", 1)))
			i, err := Inspect(c.Path)
			testkit.Must(t, err)
			disarm, err := failpoint.Set(point, func() error { return storetest.Image(dir, image) })
			testkit.Must(t, err)
			defer disarm()
			testkit.Must(t, i.Backup(ctx, filepath.Join(dir, "copy")))
			disarm()
			testkit.Must(t, i.Close())
			testkit.Must(t, s.Close())
			if _, err := os.Stat(filepath.Join(image, "copy")); !errors.Is(err, os.ErrNotExist) {
				t.Errorf("file at the path of the backup: got %v, want ErrNotExist", err)
			}
			s, r := mustOpen(t, config(image))
			if len(r.Pending) != 1 {
				t.Errorf("pending messages: got %v, want 1", r.Pending)
			}
			i, err = Inspect(config(image).Path)
			testkit.Must(t, err)
			testkit.Must(t, i.Backup(ctx, filepath.Join(image, "copy")))
			testkit.Must(t, i.Close())
			testkit.Must(t, s.Close())
		})
	}
}

// Migrate migrates the file of a stopped node, and rejects a file that is in use.
func TestMigrateRequiresStoppedNode(t *testing.T) {
	c := config(t.TempDir())
	s, _ := mustOpen(t, c)
	if _, _, err := Migrate(c); err == nil || !strings.Contains(err.Error(), "in use") {
		t.Errorf("Migrate of a file in use: got %v, want an error that it is in use", err)
	}
	testkit.Must(t, s.Close())
	c = config(t.TempDir())
	db, err := sqlite3.Open("file:" + c.Path)
	testkit.Must(t, err)
	testkit.Must(t, db.Exec(migrations[0]+"; INSERT INTO message VALUES (1, 'a', '', 1, 7, 1, 1, x'01')")) // a file with the first schema
	testkit.Must(t, db.Exec(fmt.Sprintf("PRAGMA application_id = %d; PRAGMA user_version = 1", applicationID)))
	testkit.Must(t, db.Close())
	if _, err := Inspect(c.Path); err == nil || !strings.Contains(err.Error(), "store migrate") {
		t.Errorf("Inspect of an old schema: got %v, want an error that names store migrate", err)
	}
	from, to, err := Migrate(c)
	if err != nil || from != 1 || to != len(migrations) {
		t.Errorf("Migrate: got versions %d to %d, %v, want 1 to %d", from, to, err, len(migrations))
	}
	s, r := mustOpen(t, c)
	if len(r.Pending) != 1 {
		t.Errorf("pending messages: got %v, want 1", r.Pending)
	}
	testkit.Must(t, s.Close())
}
