// Package intents adds a bounded local intent log to a store of record, so that a node continues to deliver while the
// store is slow, locked or unavailable. A record that must be durable before the node acts on it is written to the log if
// the store does not persist it in time. The store persists the record, once, when it is available again.
//
// Only one node may own the messages of such a store, because no other node reads the log. New messages are never written
// to the log. The log survives a crash of the process; it survives a crash of the machine only if Config.Sync is set. The
// log is emptied as soon as the store has persisted all records.
//
// # Concurrency
//
// A [Store] is safe for concurrent use; its mutex guards the log. While the log is not empty, one goroutine waits until the
// store has persisted all records; Close ends it.
//
// Start reading at [Store.RecordAttempt]; spill.go writes the log, and replay.go reads it when the node starts.
package intents

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"os"
	"sync"
	"time"
	"wingmount/internal/failpoint"
	"wingmount/internal/message"
	"wingmount/internal/store"
	"wingmount/policy"
)

// Config configures the log.
type Config struct {
	Path string // of the log file
	// MaxBytes bounds the file. While it is full, calls that need the log return the store's error. A record has up to 60
	// bytes and the name of an endpoint.
	MaxBytes int64
	// StoreTimeout is how long a call waits for the store before it uses the log. If it is negative, calls use the log
	// immediately.
	StoreTimeout time.Duration
	// Sync syncs each write, so that the log survives a crash of the machine.
	Sync bool
}

// Failpoints.
var (
	atWritten  = failpoint.New("store/intents/after-write")
	atTruncate = failpoint.New("store/intents/before-truncate")
	atReplay   = failpoint.New("store/intents/during-replay")
)

// Store is a store of record with an intent log.
type Store struct {
	store.Store // the methods that are not overridden never use the log
	cfg         Config
	log         *slog.Logger
	expired     context.Context    // already cancelled, for calls that only queue
	stop        context.CancelFunc // cancels closing
	closing     context.Context    // cancelled by Close

	mu         sync.Mutex // guards all fields below
	file       *os.File
	size       int64          // of the file, in bytes
	catchingUp bool           // the log may contain records that the store lacks, and waitForStore runs
	background sync.WaitGroup // of waitForStore
}

// Open adds a log to a store that was just opened. It first replays the log of an earlier process into the store, and
// updates the recovered messages accordingly.
func Open(ctx context.Context, c Config, inner store.Store, r *store.Recovered, log *slog.Logger) (*Store, error) {
	f, err := os.OpenFile(c.Path, os.O_RDWR|os.O_CREATE, 0o600)
	if err != nil {
		return nil, fmt.Errorf("opening the intent log: %w", err)
	}
	s := &Store{Store: inner, cfg: c, log: log, file: f}
	expired, cancel := context.WithCancel(context.Background())
	cancel()
	s.expired = expired
	s.closing, s.stop = context.WithCancel(context.Background())
	if err := s.replay(ctx, r); err != nil {
		return nil, errors.Join(fmt.Errorf("replaying the intent log %s: %w", c.Path, err), f.Close())
	}
	return s, nil
}

// storeContext returns the context for a call of the inner store. It expires after Config.StoreTimeout. If the store has
// records to catch up on, or the timeout is negative, the context is already cancelled: then the call only queues its
// record.
func (s *Store) storeContext(ctx context.Context) (context.Context, context.CancelFunc) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.catchingUp || s.cfg.StoreTimeout < 0 {
		return s.expired, func() {}
	}
	return context.WithTimeout(ctx, s.cfg.StoreTimeout)
}

// OnLate implements [store.Late] if the inner store does.
func (s *Store) OnLate(f func(*message.Message)) {
	if l, ok := s.Store.(store.Late); ok {
		l.OnLate(f)
	}
}

// Find implements [store.Finder] if the inner store does.
func (s *Store) Find(ctx context.Context, id string) error {
	if f, ok := s.Store.(store.Finder); ok {
		return f.Find(ctx, id)
	}
	return fmt.Errorf("%w: the store does not support id lookups", store.ErrUnavailable)
}

// RecordAttempt implements [store.Store]. If the store is unavailable and the caller still waits, it writes the attempt to
// the log.
func (s *Store) RecordAttempt(ctx context.Context, a store.Attempt) error {
	bounded, cancel := s.storeContext(ctx)
	defer cancel()
	err := s.Store.RecordAttempt(bounded, a)
	if !errors.Is(err, store.ErrUnavailable) || ctx.Err() != nil {
		return err
	}
	intents := make([]intent, len(a.Messages))
	for i, m := range a.Messages {
		intents[i] = intent{kind: kindAttemptWithHistory, seq: m.Seq, history: m.History, zone: a.Zone, at: a.At, endpoint: a.Endpoint}
	}
	return s.spill(err, intents)
}

// RecordOutcome implements [store.Store]. It writes only deliveries to the log. Other outcomes need not be durable by
// themselves; the intent of the message's next attempt contains them.
func (s *Store) RecordOutcome(ctx context.Context, o store.Outcome) error {
	if o.Outcome != policy.Delivered {
		return s.Store.RecordOutcome(ctx, o)
	}
	bounded, cancel := s.storeContext(ctx)
	defer cancel()
	err := s.Store.RecordOutcome(bounded, o)
	if !errors.Is(err, store.ErrUnavailable) {
		return err
	}
	return s.spill(err, []intent{{kind: kindDelivered, seq: o.Message.Seq, at: o.At, endpoint: o.Endpoint}})
}

// Complete implements [store.Store]. If the store is unavailable, it writes the final responses to the log.
func (s *Store) Complete(ctx context.Context, completions ...store.Completion) error {
	bounded, cancel := s.storeContext(ctx)
	defer cancel()
	err := s.Store.Complete(bounded, completions...)
	if !errors.Is(err, store.ErrUnavailable) {
		return err
	}
	var intents []intent
	for _, c := range completions {
		if m := c.Message; m.FinalResponse != nil { // the message's first response, possibly set by an earlier call
			intents = append(intents, intent{kind: kindResponse, seq: m.Seq, response: *m.FinalResponse})
		}
	}
	return s.spill(err, intents)
}

// Close implements [store.Store]. Records that the store can't persist before it closes remain in the log, and the next
// Open replays them.
func (s *Store) Close() error {
	s.mu.Lock()
	s.stop()
	s.mu.Unlock()
	s.background.Wait()
	err := s.Store.Close()
	if err == nil {
		err = s.file.Truncate(0) // the store has persisted everything
	}
	return errors.Join(err, s.file.Close())
}
