package scaletest

import (
	"context"
	"errors"
	"fmt"
	"io/fs"
	"log/slog"
	"os"
	"path/filepath"
	"sync"
	"sync/atomic"
	"time"
	"wingmount/internal/message"
	"wingmount/internal/store"
	"wingmount/internal/store/journal"
	"wingmount/internal/store/sqlite"
)

const (
	bodySize       = 500     // bytes of a message's body
	storeClients   = 64      // that persist messages at the same time
	maxJournalSize = 2 << 30 // bytes
)

// opener opens a store in a folder and recovers what is there.
type opener func(dir string) (store.Store, store.Recovered, error)

func measureSQLite(ctx context.Context, _ Slope, size int, _ uint64, _ environment) ([]value, error) {
	return measureStore(ctx, size, func(dir string) (store.Store, store.Recovered, error) {
		return sqlite.Open(sqlite.Config{Path: filepath.Join(dir, "store.db"), Durability: sqlite.Process, NoCheck: true}, quiet())
	})
}

func measureJournal(ctx context.Context, _ Slope, size int, _ uint64, _ environment) ([]value, error) {
	return measureStore(ctx, size, func(dir string) (store.Store, store.Recovered, error) {
		return journal.Open(journal.Config{Dir: dir, MaxBytes: maxJournalSize}, quiet())
	})
}

// quiet returns a logger that drops all messages.
func quiet() *slog.Logger { return slog.New(slog.DiscardHandler) }

// measureStore measures bytes on disk, memory and processor time by messages that were persisted and are pending, and
// the cost of their recovery.
func measureStore(ctx context.Context, size int, open opener) (_ []value, err error) {
	dir, err := os.MkdirTemp("", "wingmount-scale-")
	if err != nil {
		return nil, err
	}
	defer func() { _ = os.RemoveAll(dir) }()
	s, _, err := open(dir)
	if err != nil {
		return nil, err
	}
	before, began := heapInUse(), cpuTime()
	err = putAll(ctx, s, size)
	used, memory := cpuTime()-began, heapInUse()-before
	if closeErr := s.Close(); err == nil {
		err = closeErr
	}
	if err != nil {
		return nil, err
	}
	bytes, err := folderSize(dir)
	if err != nil {
		return nil, err
	}
	recovery, err := measureRecovery(dir, size, open)
	return append([]value{
		{"disk", "B", float64(bytes)},
		{"memory of the store", "B", float64(memory)},
		{"processor time", "µs", float64(used.Microseconds())},
	}, recovery...), err
}

// errNotRecovered is the error of a store that did not recover what was persisted.
var errNotRecovered = errors.New("the store found another number of messages")

// measureRecovery measures the opening of a store with a number of pending messages.
func measureRecovery(dir string, size int, open opener) ([]value, error) {
	before, began, processor := heapInUse(), time.Now(), cpuTime()
	s, recovered, err := open(dir)
	if err != nil {
		return nil, err
	}
	took, used := time.Since(began), cpuTime()-processor
	memory := heapInUse() - before
	if found := len(recovered.Pending); found != size {
		err = fmt.Errorf("%w: %d of %d", errNotRecovered, found, size)
	}
	return []value{
		{"recovery: time", "ms", milliseconds(took)},
		{"recovery: processor time", "µs", float64(used.Microseconds())},
		{"recovery: memory", "B", float64(memory)},
	}, errors.Join(err, s.Close())
}

// putAll persists messages from many goroutines, which all end before it returns.
func putAll(ctx context.Context, s store.Store, size int) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	var next atomic.Int64
	var clients sync.WaitGroup
	for range storeClients {
		clients.Go(func() {
			for ctx.Err() == nil {
				number := next.Add(1)
				if number > int64(size) {
					return
				}
				m := &message.Message{ID: fmt.Sprintf("message-%08d", number), Deadline: time.Now().Add(time.Hour), Body: make([]byte, bodySize)}
				if err := s.Accept(ctx, m); err != nil {
					cancel(err)
				}
			}
		})
	}
	clients.Wait()
	return context.Cause(ctx)
}

// folderSize returns the bytes of all files in a folder.
func folderSize(dir string) (bytes int64, err error) {
	err = filepath.WalkDir(dir, func(_ string, entry fs.DirEntry, err error) error {
		if err != nil || entry.IsDir() {
			return err
		}
		info, err := entry.Info()
		if err != nil {
			return err
		}
		bytes += info.Size()
		return nil
	})
	return bytes, err
}
