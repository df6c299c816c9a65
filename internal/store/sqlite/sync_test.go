package sqlite

import (
	"context"
	"errors"
	"path/filepath"
	"strings"
	"sync/atomic"
	"testing"
	"time"
	"wingmount/internal/message"
	"wingmount/internal/store"
	"wingmount/internal/store/storetest"
	"wingmount/internal/testkit"

	"github.com/ncruces/go-sqlite3"
	"github.com/ncruces/go-sqlite3/vfs"
)

// failingSyncVFS is the default file system, except that a given number of syncs of the WAL fail.
type failingSyncVFS struct {
	vfs.VFSFilename
	remaining atomic.Int64 // number of further syncs that fail
	failed    atomic.Int64 // number of syncs that have failed
}

type failingSyncWAL struct {
	vfs.File
	fs *failingSyncVFS
}

func (f *failingSyncVFS) OpenFilename(name *vfs.Filename, flags vfs.OpenFlag) (vfs.File, vfs.OpenFlag, error) {
	file, out, err := f.VFSFilename.OpenFilename(name, flags)
	if err == nil && name != nil && strings.HasSuffix(name.String(), "-wal") {
		file = failingSyncWAL{file, f}
	}
	return file, out, err
}

func (w failingSyncWAL) Sync(flags vfs.SyncFlag) error {
	if w.fs.remaining.Load() > 0 {
		w.fs.remaining.Add(-1)
		w.fs.failed.Add(1)
		return sqlite3.IOERR_FSYNC
	}
	return w.File.Sync(flags)
}

// When the sync of a COMMIT fails, the rejected message is not on record, even if the process is killed at that moment.
// Everything that was persisted before remains on record. The test guards against a failed transaction that remains
// complete in the WAL and that the next process reads as committed.
func TestFailedSyncPersistsNoRejectedMessage(t *testing.T) {
	defaultVFS, ok := vfs.Find("").(vfs.VFSFilename)
	if !ok {
		t.Fatal("the default file system does not implement vfs.VFSFilename")
	}
	f := &failingSyncVFS{VFSFilename: defaultVFS}
	vfs.Register("faulty", f)
	defer vfs.Unregister("faulty")
	for _, fails := range []int64{1, 3, 1 << 40} {
		c := config(t.TempDir())
		c.Durability, c.vfs = Power, "faulty"
		s, _ := mustOpen(t, c)
		late := make(chan *message.Message, 1)
		s.OnLate(func(m *message.Message) { late <- m })
		testkit.Must(t, s.Accept(ctx, storetest.NewMessage("before", 10)))
		f.remaining.Store(fails)
		acceptCtx, cancel := context.WithTimeout(ctx, 500*time.Millisecond)
		err := s.Accept(acceptCtx, storetest.NewMessage("x", 10))
		cancel()
		image := t.TempDir()
		testkit.Must(t, storetest.Image(filepath.Dir(c.Path), image))
		if f.failed.Load() == 0 {
			t.Fatal("no sync failed")
		}
		want := store.ErrUnavailable
		if fails > 100 {
			want = store.ErrUndecided
		}
		if !errors.Is(err, want) {
			t.Errorf("%d failing syncs: got %v, want %v", fails, err, want)
		}
		killed, r := mustOpen(t, config(image))
		if rejected := !errors.Is(err, store.ErrUndecided); rejected && len(r.Pending) != 1 || len(r.Pending) == 0 || r.Pending[0].ID != "before" {
			t.Errorf("%d failing syncs, after a kill: got %d pending messages, want only before", fails, len(r.Pending))
		}
		testkit.Must(t, killed.Close())
		f.remaining.Store(0)
		testkit.Eventually(t, "messages accepted again", func() bool { return s.Accept(ctx, storetest.NewMessage("y", 10)) == nil })
		testkit.Must(t, s.Close())
		if len(late) != 0 {
			t.Errorf("%d failing syncs: OnLate received a message that was rolled back", fails)
		}
		s, r = mustOpen(t, config(filepath.Dir(c.Path)))
		if len(r.Pending) != 2 {
			t.Errorf("%d failing syncs: got %d pending messages, want before and y", fails, len(r.Pending))
		}
		testkit.Must(t, s.Close())
	}
}
