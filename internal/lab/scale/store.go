package scale

import (
	"context"
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
	storeBody    = 500 // bytes of a message's body
	storeClients = 64  // who put messages on record at the same time
	journalBytes = 2 << 30
)

func measureSQLite(ctx context.Context, _ Slope, size int, _ uint64, _ environment) ([]value, error) {
	return measureStore(ctx, size, func(dir string, log *slog.Logger) (store.Store, error) {
		s, _, err := sqlite.Open(sqlite.Config{Path: filepath.Join(dir, "store.db"), Durability: sqlite.Process, NoCheck: true}, log)
		return s, err
	})
}

func measureJournal(ctx context.Context, _ Slope, size int, _ uint64, _ environment) ([]value, error) {
	return measureStore(ctx, size, func(dir string, log *slog.Logger) (store.Store, error) {
		s, _, err := journal.Open(journal.Config{Dir: dir, MaxBytes: journalBytes}, log)
		return s, err
	})
}

// measureStore: bytes on disk and processor time by messages that were put on record and are not over.
func measureStore(ctx context.Context, size int, open func(string, *slog.Logger) (store.Store, error)) (_ []value, err error) {
	dir, err := os.MkdirTemp("", "wingmount-scale-")
	if err != nil {
		return nil, err
	}
	defer os.RemoveAll(dir)
	s, err := open(dir, slog.New(slog.DiscardHandler))
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
	return []value{
		{"disk", "B", float64(bytes)},
		{"memory of the store", "B", float64(memory)},
		{"processor time", "µs", float64(used.Microseconds())},
	}, err
}

// putAll puts messages on record from many goroutines, which all end before it returns.
func putAll(ctx context.Context, s store.Store, size int) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	var next atomic.Int64
	var all sync.WaitGroup
	for range storeClients {
		all.Go(func() {
			for ctx.Err() == nil {
				number := next.Add(1)
				if number > int64(size) {
					return
				}
				m := &message.Message{ID: fmt.Sprintf("message-%08d", number), Deadline: time.Now().Add(time.Hour), Body: make([]byte, storeBody)}
				if err := s.Take(ctx, m); err != nil {
					cancel(err)
				}
			}
		})
	}
	all.Wait()
	return context.Cause(ctx)
}

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
