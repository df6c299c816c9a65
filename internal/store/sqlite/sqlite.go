// Package sqlite is a store of record in one SQLite file, for one node.
//
// With Power what is durable outlasts the machine as far as the disk tells the truth; with
// Process it outlasts the process, and the machine's end may take the last commits. Records
// are committed in groups by one goroutine; while the file can't be written new messages are
// refused at once, and everything else waits in memory, bounded by the messages that are
// held, until it can. Answers are kept for a stated time after they have been told.
package sqlite

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"os"
	"sync"
	"syscall"
	"time"

	"github.com/ncruces/go-sqlite3"

	"wingmount/internal/fail"
	"wingmount/internal/message"
	"wingmount/internal/store"
	"wingmount/policy"
)

// Durability is what a commit outlasts.
type Durability int

// The levels.
const (
	Power   Durability = iota // the machine's end: each commit is synced
	Process                   // the process's end
)

const (
	// batchMax is how many records go into one transaction.
	batchMax = 512
	// lockWait is how long one try to begin a transaction waits for another writer.
	lockWait = 50 * time.Millisecond
	// retryPause is the pause after a transaction that failed.
	retryPause = 50 * time.Millisecond
	// closeWait is how long Close tries to write what is left.
	closeWait = 5 * time.Second
	// sweepEvery is how often what is too old is looked for, and sweepMax how many rows
	// of each table one look deletes: a slice that stalls nobody.
	sweepEvery = 200 * time.Millisecond
	sweepMax   = 500
	// callsKept is how long calls are kept for the windows of the next life.
	callsKept = 5 * time.Minute
	// endpointsKept is how long failures of endpoints are kept.
	endpointsKept = time.Hour
	// reservePages are kept free of takes, for the ends of what is held.
	reservePages = 256
	minBytes     = 4 << 20
	pageSize     = 4096
)

// Where a crash matters.
var (
	atBegun  = fail.New("store/sqlite/after-begin")
	atRows   = fail.New("store/sqlite/before-commit")
	atCommit = fail.New("store/sqlite/after-commit")
	atTold   = fail.New("store/sqlite/after-witness")
	atSweep  = fail.New("store/sqlite/during-retention")
)

// Config is what a store is told.
type Config struct {
	Path       string // of the database file; others are made beside it: -wal, -shm, -lock, -witness
	Durability Durability
	// MaxBytes bounds the database file: 4 MiB at least, 0 for no bound. The WAL beside it
	// is kept to about 4 MiB while no other process reads for long.
	MaxBytes int64
	// Keep is how long an answer is kept after it was told: for so long a client that hands
	// in the same id hears it again.
	Keep time.Duration
	// TellDelivered says that deliveries are told like other answers.
	TellDelivered bool
	// NoCheck leaves out the check of all pages at the start.
	NoCheck bool
}

// Store is a store of record in a SQLite file.
type Store struct {
	cfg  Config
	log  *slog.Logger
	lock *os.File
	wit  *witness
	boot uint64

	mu       sync.Mutex
	queue    []*op
	closing  bool
	stuck    error // why the last transaction failed, nil once one was good
	next     policy.MessageID
	live     map[policy.MessageID]*message.Message
	memories map[string]*store.Memory // failures only, to write what changes
	wake     chan struct{}
	done     chan struct{}

	// The writer's own.
	conn    *sqlite3.Conn
	st      statements
	commits int64
	sweepAt time.Time
	swept   int64 // the last seq that a sweep has looked at
}

// kind of a record.
type kind int

const (
	opTake kind = iota
	opAttempt
	opPast // an outcome
	opEnd
	opTold
)

// op is one record on its way to the file.
type op struct {
	kind     kind
	seqs     []policy.MessageID
	m        *message.Message // opTake: not written by anybody else before it is done
	pasts    []message.Past   // opAttempt, opPast
	ends     []message.End    // opEnd, opPast for a delivery
	over     bool             // opPast: nothing is to be told
	endpoint string
	at       time.Time
	memory   *store.Memory // opPast: as it is now, nil where it did not change

	state  opState // guarded by the store
	waited bool    // somebody waits for done
	done   chan error
}

type opState int

const (
	queued opState = iota
	claimed
	withdrawn
)

// Open opens the store in a file, or makes one. It refuses a file that is damaged, has lost
// commits, is another program's or a newer one's, or is in use, and leaves it as it is.
func Open(cfg Config, log *slog.Logger) (_ *Store, _ store.Recovered, err error) {
	var none store.Recovered
	if cfg.MaxBytes != 0 && cfg.MaxBytes < minBytes {
		return nil, none, fmt.Errorf("a store needs %d bytes at least, not %d", minBytes, cfg.MaxBytes)
	}
	s := &Store{cfg: cfg, log: log, boot: bootID(), wake: make(chan struct{}, 1), done: make(chan struct{}),
		live: map[policy.MessageID]*message.Message{}, memories: map[string]*store.Memory{}}
	defer func() {
		if err != nil {
			err = plain{errors.Join(err, s.release())}
		}
	}()
	if s.lock, err = lockFile(cfg.Path); err != nil {
		return nil, none, err
	}
	if s.conn, err = sqlite3.Open("file:" + cfg.Path); err != nil {
		return nil, none, fmt.Errorf("opening %s: %w", cfg.Path, err)
	}
	r, err := s.start()
	if err != nil {
		return nil, none, err
	}
	go s.run()
	return s, r, nil
}

// lockFile keeps other nodes off a file, until it is closed.
func lockFile(path string) (*os.File, error) {
	f, err := os.OpenFile(path+"-lock", os.O_RDWR|os.O_CREATE, 0o600)
	if err != nil {
		return nil, fmt.Errorf("opening the store: %w", err)
	}
	if err := syscall.Flock(int(f.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		return nil, errors.Join(fmt.Errorf("%s is in use by another node: %w", path, err), f.Close())
	}
	return f, nil
}

// start checks the file, migrates it and reads what is owed.
func (s *Store) start() (store.Recovered, error) {
	var none store.Recovered
	// Closing a file that is refused must not change it.
	if _, err := s.conn.Config(sqlite3.DBCONFIG_NO_CKPT_ON_CLOSE, true); err != nil {
		return none, err
	}
	if err := s.conn.BusyTimeout(closeWait); err != nil {
		return none, err
	}
	v, err := version(s.conn, s.cfg.Path)
	if err != nil {
		if code := errorCode(err); code == sqlite3.NOTADB || code == sqlite3.CORRUPT {
			err = fmt.Errorf("%s is damaged, or no database, and is left as it is: %w", s.cfg.Path, err)
		}
		return none, err
	}
	if v > 0 && !s.cfg.NoCheck {
		if err := check(s.conn, s.cfg.Path); err != nil {
			return none, err
		}
	}
	if v > 0 {
		if s.commits, err = number(s.conn, "SELECT commits FROM meta"); err != nil {
			return none, err
		}
	}
	var boot uint64
	var seen int64
	if s.wit, seen, boot, err = openWitness(s.cfg.Path + "-witness"); err != nil {
		return none, err
	}
	if seen > s.commits {
		if s.cfg.Durability == Power || boot == s.boot {
			return none, fmt.Errorf("%s: %w: it has %d, and had %d. Its WAL was cut off or removed, or an older copy was put in its place. "+
				"It is left as it is; to go on without what is missing, remove %s-witness", s.cfg.Path, errBehind, s.commits, seen, s.cfg.Path)
		}
		s.log.Warn("store: the machine's end took the last commits", "had", seen, "has", s.commits)
	}
	if _, err := s.conn.Config(sqlite3.DBCONFIG_NO_CKPT_ON_CLOSE, false); err != nil {
		return none, err
	}
	sync := "FULL"
	if s.cfg.Durability == Process {
		sync = "NORMAL"
	}
	// The page size counts for a new file only; the WAL is cut back to its usual size.
	if err := s.conn.Exec(fmt.Sprintf("PRAGMA page_size=%d; PRAGMA journal_mode=WAL; PRAGMA synchronous=%s; PRAGMA journal_size_limit=%d; PRAGMA wal_autocheckpoint=1000; PRAGMA cache_size=-16384",
		pageSize, sync, minBytes)); err != nil {
		return none, fmt.Errorf("opening %s: %w", s.cfg.Path, err)
	}
	if v == 0 { // a new file
		if err := s.conn.EnableChecksums("main"); err != nil {
			return none, fmt.Errorf("opening %s: %w", s.cfg.Path, err)
		}
	}
	if s.cfg.MaxBytes > 0 {
		if err := s.conn.Exec(fmt.Sprintf("PRAGMA max_page_count=%d", s.cfg.MaxBytes/pageSize)); err != nil {
			return none, err
		}
	}
	if err := migrate(s.conn, v); err != nil {
		return none, err
	}
	if err := s.conn.BusyTimeout(lockWait); err != nil {
		return none, err
	}
	if err := s.st.prepare(s.conn); err != nil {
		return none, err
	}
	return s.recover()
}

func errorCode(err error) sqlite3.ErrorCode {
	var e *sqlite3.Error
	var c sqlite3.ErrorCode
	var x sqlite3.ExtendedErrorCode
	switch {
	case errors.As(err, &e):
		return e.Code()
	case errors.As(err, &c):
		return c
	case errors.As(err, &x):
		return x.Code()
	}
	return 0
}

// add queues a record. It is called with the lock held, so that the queue has the order in
// which things were decided.
func (s *Store) add(o *op) {
	o.done = make(chan error, 1)
	s.queue = append(s.queue, o)
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// wait waits for a record to be durable.
func (s *Store) wait(ctx context.Context, o *op) error {
	select {
	case err := <-o.done:
		return err
	case <-ctx.Done():
		return fmt.Errorf("%w: %w", store.ErrUnavailable, ctx.Err())
	}
}

var errClosed = fmt.Errorf("%w: it is closed", store.ErrUnavailable)

// Take implements [store.Store]. While the file can't be written it refuses at once.
func (s *Store) Take(ctx context.Context, m *message.Message) error {
	s.mu.Lock()
	if s.closing {
		s.mu.Unlock()
		return errClosed
	}
	if s.stuck != nil {
		err := s.stuck
		s.mu.Unlock()
		return refusal(err)
	}
	s.next++
	m.Seq = s.next
	o := &op{kind: opTake, m: m, seqs: []policy.MessageID{m.Seq}, at: time.Now(), waited: true}
	s.add(o)
	s.mu.Unlock()
	select {
	case err := <-o.done:
		return err
	case <-ctx.Done():
	}
	s.mu.Lock()
	if o.state == queued {
		o.state = withdrawn
		s.mu.Unlock()
		return fmt.Errorf("%w: %w", store.ErrUnavailable, ctx.Err())
	}
	s.mu.Unlock()
	return <-o.done // it may be on record in this moment: what came of it must be known
}

// refusal is what a take hears of a transaction that failed.
func refusal(err error) error {
	if errorCode(err) == sqlite3.FULL || errors.Is(err, syscall.ENOSPC) {
		return fmt.Errorf("%w: %w", store.ErrFull, err)
	}
	return fmt.Errorf("%w: %w", store.ErrUnavailable, err)
}

// Attempt implements [store.Store].
func (s *Store) Attempt(ctx context.Context, a store.Attempt) error {
	s.mu.Lock()
	if s.closing {
		s.mu.Unlock()
		return errClosed
	}
	o := &op{kind: opAttempt, endpoint: a.Endpoint, at: a.At, waited: true}
	for _, m := range a.Messages {
		var err error
		if s.live[m.Seq] == nil {
			err = store.ErrOver
		} else if m.Past.Forgotten(m.Window, a.At) {
			err = store.ErrForgotten
		}
		if err != nil {
			s.mu.Unlock()
			return fmt.Errorf("message %s: %w", m.ID, err)
		}
	}
	for _, m := range a.Messages {
		m.Past.Attempt(a.Zone, a.At)
		o.seqs, o.pasts = append(o.seqs, m.Seq), append(o.pasts, m.Past)
	}
	s.add(o)
	s.mu.Unlock()
	return s.wait(ctx, o)
}

// Outcome implements [store.Store].
func (s *Store) Outcome(ctx context.Context, out store.Outcome) error {
	m := out.Message
	s.mu.Lock()
	if s.closing {
		s.mu.Unlock()
		return errClosed
	}
	if s.live[m.Seq] == nil {
		s.mu.Unlock()
		return nil
	}
	m.Past.Outcome(out.Outcome)
	o := &op{kind: opPast, seqs: []policy.MessageID{m.Seq}, pasts: []message.Past{m.Past}, endpoint: out.Endpoint, at: out.At,
		memory: s.remember(out)}
	switch {
	case out.Outcome == policy.Delivered:
		o.ends, o.over, o.waited = []message.End{{Kind: message.Delivered}}, !s.cfg.TellDelivered, true
		if s.cfg.TellDelivered {
			m.End = &o.ends[0]
		}
		delete(s.live, m.Seq)
	case out.Over:
		o.ends, o.over = []message.End{{Kind: message.Failed}}, true
		delete(s.live, m.Seq)
	}
	s.add(o)
	s.mu.Unlock()
	if !o.waited {
		return nil
	}
	return s.wait(ctx, o)
}

// remember takes an outcome into what is known of its endpoint. It returns what is to be
// written, nil where nothing changed.
func (s *Store) remember(o store.Outcome) *store.Memory {
	e := s.memories[o.Endpoint]
	switch o.Outcome {
	case policy.Failed, policy.TimedOut, policy.Unreachable, policy.Reset:
		e = &store.Memory{FailedAt: o.At}
	case policy.Delivered:
		if e == nil || !e.BackAt.IsZero() {
			return nil
		}
		e = &store.Memory{FailedAt: e.FailedAt, BackAt: o.At}
	default:
		return nil
	}
	s.memories[o.Endpoint] = e
	return e
}

// End implements [store.Store].
func (s *Store) End(ctx context.Context, ends ...store.Ending) error {
	s.mu.Lock()
	if s.closing {
		s.mu.Unlock()
		return errClosed
	}
	o := &op{kind: opEnd, at: time.Now(), waited: true}
	for _, e := range ends {
		m := e.Message
		if s.live[m.Seq] == nil {
			continue
		}
		m.End = &e.End
		delete(s.live, m.Seq)
		o.seqs, o.ends = append(o.seqs, m.Seq), append(o.ends, e.End)
	}
	s.add(o)
	s.mu.Unlock()
	return s.wait(ctx, o)
}

// Told implements [store.Store].
func (s *Store) Told(_ context.Context, ms ...*message.Message) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closing {
		return errClosed
	}
	o := &op{kind: opTold, at: time.Now()}
	for _, m := range ms {
		o.seqs = append(o.seqs, m.Seq)
	}
	s.add(o)
	return nil
}

// Close implements [store.Store].
func (s *Store) Close() error {
	s.mu.Lock()
	if s.closing {
		s.mu.Unlock()
		return errClosed
	}
	s.closing = true
	s.mu.Unlock()
	select {
	case s.wake <- struct{}{}:
	default:
	}
	<-s.done
	s.mu.Lock()
	left := len(s.queue)
	s.mu.Unlock()
	var err error
	if left > 0 {
		err = fmt.Errorf("closing the store: %d records could not be written: %w", left, s.stuck)
	}
	return errors.Join(err, s.release())
}

// release lets go of the files.
func (s *Store) release() error {
	var errs []error
	if s.conn != nil {
		s.st.close()
		errs = append(errs, s.conn.Close())
	}
	if s.wit != nil {
		errs = append(errs, s.wit.close())
	}
	if s.lock != nil {
		errs = append(errs, s.lock.Close())
	}
	return errors.Join(errs...)
}
