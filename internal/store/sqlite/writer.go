package sqlite

import (
	"errors"
	"fmt"
	"time"
	"wingmount/internal/store"
	"wingmount/internal/store/group"
)

// overwriteInterval is the pause between two attempts to overwrite a transaction whose COMMIT failed.
const overwriteInterval = 20 * time.Millisecond

// Begin implements [group.Backend]. If the open segment of ids is full, Begin seals it first.
func (s *backend) Begin() error {
	if s.ids.recent.len() >= s.ids.segmentSize {
		// The lowest seq that can complete from now on: that of the first unfinished message or, without any, the next seq.
		next, err := queryInt(s.conn, "SELECT coalesce((SELECT min(seq) FROM message), (SELECT seq + 1 FROM sqlite_sequence WHERE name = 'message'), 0)")
		if err != nil {
			return err
		}
		if err := s.seal(next); err != nil {
			return err
		}
	}
	return s.begin()
}

// begin begins a write transaction.
func (s *backend) begin() error {
	if err := s.conn.Exec("BEGIN IMMEDIATE"); err != nil {
		return err
	}
	if err := afterBegin.At(); err != nil {
		return errors.Join(err, s.conn.Exec("ROLLBACK"))
	}
	return nil
}

// Commit implements [group.Backend].
func (s *backend) Commit(batch []*group.Record) ([]error, error) {
	results := make([]error, len(batch))
	s.ids.begin()
	if err := s.write(batch, results); err != nil {
		if !s.conn.GetAutocommit() {
			if e := s.conn.Exec("ROLLBACK"); e != nil {
				s.log.Error("store: rollback failed", "err", e)
			}
		}
		var u unresolvedCommitError
		if errors.As(err, &u) {
			err = s.overwrite(err)
		}
		return nil, err
	}
	s.ids.commit()
	_ = afterCommit.At() // the records are persisted, so an injected error changes nothing
	if err := s.witness.write(s.commits, s.bootID); err != nil {
		s.log.Warn("store: writing the witness failed", "err", err) // a later loss of commits may not be detected
	}
	_ = afterWitness.At()
	return results, nil
}

// WriteTime implements [group.WriteTimer].
func (s *backend) WriteTime() time.Duration { return s.writeTime }

// write writes the records of a batch and commits. For each message that is not accepted it sets the record's result.
func (s *backend) write(batch []*group.Record, results []error) error {
	began := time.Now()
	free, err := s.freePages()
	if err != nil {
		return err
	}
	for i, r := range batch {
		if r.Kind == group.Accept {
			need := int64(len(r.Message.Body))/pageBytes + 1
			if free < need+reservePages {
				results[i] = store.ErrFull
				continue
			}
			free -= need
		}
		if results[i], err = s.writeRecord(r); err != nil {
			return err
		}
	}
	s.writeTime = time.Since(began)
	if err := beforeCommit.At(); err != nil {
		return err
	}
	latest := time.Now()
	for _, r := range batch {
		if r.At.After(latest) {
			latest = r.At
		}
	}
	if err := exec(s.st.meta, s.commits+1, latest.UnixMicro()); err != nil {
		return err
	}
	if err := s.conn.Exec("COMMIT"); err != nil {
		return unresolvedCommitError{err}
	}
	s.commits++
	return nil
}

// unresolvedCommitError is the error of a failed COMMIT. SQLite has rolled the transaction back, but if only the sync
// failed, the complete transaction may be in the WAL until another one overwrites it. If this process is killed before
// that, the next process would read the transaction as committed.
type unresolvedCommitError struct{ error }

func (u unresolvedCommitError) Unwrap() error { return u.error }

// overwrite commits another transaction over the one whose COMMIT failed, so that no part of the failed one is persisted,
// and then returns the cause. It adds a microsecond to the latest time, because SQLite writes nothing for a transaction
// without a change. It retries until the time that Closing has set, and then returns [store.ErrUndecided].
func (s *backend) overwrite(cause error) error {
	for {
		err := s.conn.Exec("BEGIN IMMEDIATE; UPDATE meta SET latest = latest + 1, checksum = row_checksum(one, commits, latest + 1, seed); COMMIT")
		if err == nil {
			return cause
		}
		if !s.conn.GetAutocommit() {
			err = s.rollback(err)
		}
		if by := s.closing.Load(); by != nil && time.Now().After(*by) {
			return fmt.Errorf("%w: %w", store.ErrUndecided, errors.Join(cause, err))
		}
		time.Sleep(overwriteInterval)
	}
}

// Closing implements [group.Backend]. It is safe for concurrent use.
func (s *backend) Closing(by time.Time) { s.closing.Store(&by) }

// freePages returns the number of pages that can still be filled.
func (s *backend) freePages() (int64, error) {
	if s.cfg.MaxBytes == 0 {
		return 1 << 40, nil
	}
	pages, err := pragma(s.conn, "page_count")
	if err != nil {
		return 0, err
	}
	free, err := pragma(s.conn, "freelist_count")
	if err != nil {
		return 0, err
	}
	return s.cfg.MaxBytes/pageBytes - pages + free, nil
}

// rollback rolls the transaction back and returns the cause, joined with the error of the rollback.
func (s *backend) rollback(cause error) error { return errors.Join(cause, s.conn.Exec("ROLLBACK")) }
