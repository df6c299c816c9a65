// Package sqlite is a store of record in one SQLite file, for one node.
//
// With [Power] a committed record survives a crash of the machine, provided that the disk really persists the writes whose
// sync it acknowledges. With [Process] it survives the end of the process, but a crash of the machine may lose the last
// commits. Records are committed in groups. While the file can't be written, new messages are rejected immediately, and all
// other records wait in memory; their number is bounded by the messages in flight. Final responses are retained for a
// configured time after their clients were notified.
//
// # Concurrency
//
// A [Store] is safe for concurrent use. Its [group.Queue] calls the backend from one goroutine, which uses the connection
// and all fields; Full and Closing may run in other goroutines. A lock file prevents other nodes from opening the store;
// an [Inspector] can read it while a node runs.
//
// Start reading at [Open], then Commit in writer.go and writeRecord in records.go. ids.go implements the lookup of
// duplicate ids.
package sqlite

import (
	"errors"
	"fmt"
	"log/slog"
	"os"
	"sync/atomic"
	"syscall"
	"time"
	"wingmount/internal/failpoint"
	"wingmount/internal/store"
	"wingmount/internal/store/group"
	"wingmount/policy"

	"github.com/ncruces/go-sqlite3"
)

// Durability determines which failure a committed record survives.
type Durability int

// The durability levels.
const (
	Power   Durability = iota // survives a crash of the machine: each commit is synced
	Process                   // survives the end of the process
)

const (
	// beginTimeout is how long an attempt to begin a transaction waits for another writer's lock.
	beginTimeout = 50 * time.Millisecond
	// openTimeout is how long opening the file waits for another program's lock.
	openTimeout = 5 * time.Second
	// reservePages is the number of pages that new messages must leave free for the final responses of messages in flight.
	reservePages = 256
	minFileBytes = 4 << 20
	pageBytes    = 4096
)

// Failpoints.
var (
	afterBegin      = failpoint.New("store/sqlite/after-begin")
	beforeCommit    = failpoint.New("store/sqlite/before-commit")
	afterCommit     = failpoint.New("store/sqlite/after-commit")
	afterWitness    = failpoint.New("store/sqlite/after-witness")
	duringRetention = failpoint.New("store/sqlite/during-retention")
)

// Config configures a store.
type Config struct {
	Path       string // of the database file; further files have this path with the suffix -wal, -shm, -lock or -witness
	Durability Durability
	// MaxBytes bounds the database file. It is at least 4 MiB; 0 means no bound. The WAL, a separate file, is limited to
	// about 4 MiB unless another process keeps a long read transaction open.
	MaxBytes int64
	// ResponseRetention is how long a final response is retained after its client was notified. Until then, a client that
	// submits the id again receives the same response.
	ResponseRetention time.Duration
	// NotifyDelivered is set if clients are notified of deliveries too, not only of other final responses.
	NotifyDelivered bool
	// NoCheck skips the check of all pages when the store is opened.
	NoCheck bool
	// Names are the names of classes and zones that the node uses.
	Names store.Names

	vfs     string // name of a file system that injects faults, for tests
	segment int    // number of responses in a segment of ids; 0 means maxSegmentResponses
}

// Store is a store of record in a SQLite file.
type Store struct{ *group.Queue }

// backend implements [group.Backend]. Only the queue's writer goroutine uses its fields, except closing.
type backend struct {
	cfg     Config
	log     *slog.Logger
	lock    *os.File
	witness *witness
	bootID  uint64 // identifies the machine's boot, see bootID

	conn      *sqlite3.Conn
	st        statements
	ids       idIndex
	commits   int64         // number of commits in the file
	writeTime time.Duration // of the last transaction's records
	nextSweep time.Time
	lastSwept int64                     // the last seq that findExpired has read, 0 to start from the oldest
	closing   atomic.Pointer[time.Time] // when overwrite must stop retrying, set by Closing; safe for concurrent use
}

// Open opens the store in a file, or creates it. It returns an error, and does not change the file, if the file is
// damaged, has lost commits, was written by another program or a newer version, or is in use.
func Open(cfg Config, log *slog.Logger) (_ *Store, _ store.Recovered, err error) {
	var none store.Recovered
	if cfg.MaxBytes != 0 && cfg.MaxBytes < minFileBytes {
		return nil, none, fmt.Errorf("opening %s: maximum size is %d bytes, want %d or more", cfg.Path, cfg.MaxBytes, minFileBytes)
	}
	s := &backend{cfg: cfg, log: log, bootID: bootID()}
	defer func() {
		if err != nil {
			err = singleLineError{errors.Join(err, s.Close())}
		}
	}()
	if s.lock, err = lockFile(cfg.Path); err != nil {
		return nil, none, err
	}
	if s.conn, err = openConnection("file:"+cfg.Path+"?vfs="+cfg.vfs, sqlite3.OPEN_READWRITE|sqlite3.OPEN_CREATE|sqlite3.OPEN_URI); err != nil {
		return nil, none, fmt.Errorf("opening %s: %w", cfg.Path, err)
	}
	recovered, last, err := s.start()
	if err != nil {
		return nil, none, err
	}
	queue := group.New(group.Config{
		NotifyDelivered: cfg.NotifyDelivered, LastSeq: last, Unfinished: recovered.Unfinished(), EndpointHealth: recovered.EndpointHealth,
	}, s, log)
	return &Store{queue}, recovered, nil
}

// lockFile acquires the store's lock file, so that no other node opens the store until the returned file is closed.
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

// start checks the file, migrates it and reads the recovered messages.
func (s *backend) start() (_ store.Recovered, last policy.MessageID, _ error) {
	var none store.Recovered
	// A rejected file must not change, so it must not be checkpointed when the connection closes.
	if _, err := s.conn.Config(sqlite3.DBCONFIG_NO_CKPT_ON_CLOSE, true); err != nil {
		return none, 0, err
	}
	if err := s.conn.BusyTimeout(openTimeout); err != nil {
		return none, 0, err
	}
	v, err := s.checkFile()
	if err != nil {
		return none, 0, err
	}
	if err := s.checkWitness(); err != nil {
		return none, 0, err
	}
	if _, err := s.conn.Config(sqlite3.DBCONFIG_NO_CKPT_ON_CLOSE, false); err != nil {
		return none, 0, err
	}
	if err := s.configure(); err != nil {
		return none, 0, err
	}
	if err := migrate(s.conn, v); err != nil {
		return none, 0, err
	}
	if err := s.st.prepare(s.conn); err != nil {
		return none, 0, err
	}
	recovered, last, err := s.readRecovered()
	if err != nil {
		return none, 0, err
	}
	return recovered, last, s.conn.BusyTimeout(beginTimeout)
}

// checkFile checks that the file is a store and that its content is undamaged. It sets s.commits to the file's number of
// commits and returns the version of its schema, which is 0 for a new file.
func (s *backend) checkFile() (migrations int, err error) {
	v, err := version(s.conn, s.cfg.Path)
	if err != nil {
		if code := errorCode(err); code == sqlite3.NOTADB || code == sqlite3.CORRUPT {
			err = fmt.Errorf("%s is damaged or not a database; it was not changed: %w", s.cfg.Path, err)
		}
		return 0, err
	}
	if v == 0 {
		return 0, nil
	}
	if !s.cfg.NoCheck {
		if err := s.checkContent(v); err != nil {
			return 0, err
		}
	}
	s.commits, err = queryInt(s.conn, "SELECT commits FROM meta")
	return v, err
}

// checkContent checks the pages, indexes and rows of a file with a schema version.
func (s *backend) checkContent(version int) error {
	if version < checksumSchema {
		// Before any other check: pages in the cache are not read again.
		if err := warnOfStalePages(s.conn, s.cfg.Path, s.log); err != nil {
			return err
		}
	}
	return checkContent(s.conn, s.cfg.Path, version)
}

// checkWitness opens the witness and compares its number of commits with that of the file. The file may lack commits only
// with [Process], and only if the machine has restarted since they were made; otherwise checkWitness returns
// errLostCommits.
func (s *backend) checkWitness() error {
	witness, want, boot, err := openWitness(s.cfg.Path + "-witness")
	s.witness = witness
	if err != nil || want <= s.commits {
		return err
	}
	if s.cfg.Durability == Power || boot == s.bootID {
		return fmt.Errorf("%s: %w: got %d, want %d. Its WAL was truncated or removed, or the file was replaced by an older copy. "+
			"It was not changed; to continue without the missing commits, remove %s-witness", s.cfg.Path, errLostCommits, s.commits, want, s.cfg.Path)
	}
	s.log.Warn("store: last commits lost in a crash of the machine", "had", want, "has", s.commits)
	return nil
}

// configure sets the connection's pragmas.
func (s *backend) configure() error {
	sync := "FULL"
	if s.cfg.Durability == Process {
		sync = "NORMAL"
	}
	// The page size applies to a new file only. The size limit truncates a WAL that has grown larger.
	if err := s.conn.Exec(fmt.Sprintf("PRAGMA page_size=%d; PRAGMA journal_mode=WAL; PRAGMA synchronous=%s; PRAGMA journal_size_limit=%d; PRAGMA wal_autocheckpoint=1000; PRAGMA cache_size=-16384",
		pageBytes, sync, minFileBytes)); err != nil {
		return fmt.Errorf("opening %s: %w", s.cfg.Path, err)
	}
	if s.cfg.MaxBytes > 0 {
		return s.conn.Exec(fmt.Sprintf("PRAGMA max_page_count=%d", s.cfg.MaxBytes/pageBytes))
	}
	return nil
}

// errorCode returns the primary SQLite error code of an error, or 0 if it has none.
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

// Full implements [group.Backend]. It is safe for concurrent use.
func (s *backend) Full(err error) bool {
	return errorCode(err) == sqlite3.FULL || errors.Is(err, syscall.ENOSPC)
}

// Close implements [group.Backend].
func (s *backend) Close() error {
	var errs []error
	if s.conn != nil {
		s.st.close()
		errs = append(errs, s.conn.Close())
	}
	if s.witness != nil {
		errs = append(errs, s.witness.close())
	}
	if s.lock != nil {
		errs = append(errs, s.lock.Close())
	}
	return errors.Join(errs...)
}
