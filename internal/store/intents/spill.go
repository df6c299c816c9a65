package intents

import (
	"errors"
	"fmt"
	"time"
)

// catchUpRetryDelay is the pause after a barrier of the store has failed.
const catchUpRetryDelay = time.Second

// spill writes either all of the intents to the log or none of them, and starts waitForStore if it is not running. The cause
// is the error of the store. spill returns nil if the intents are durable, otherwise the cause or an error that wraps it.
func (s *Store) spill(cause error, intents []intent) error {
	var b []byte
	for _, i := range intents {
		b = i.append(b)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closing.Err() != nil {
		return cause
	}
	if s.size+int64(len(b)) > s.cfg.MaxBytes {
		return fmt.Errorf("%w, and the intent log is full", cause)
	}
	if _, err := s.file.WriteAt(b, s.size); err != nil {
		// If truncation fails too, the next write overwrites the partial one, or a reader detects a torn tail.
		return errors.Join(cause, fmt.Errorf("writing the intent log: %w", err), s.file.Truncate(s.size))
	}
	if s.cfg.Sync {
		if err := s.file.Sync(); err != nil {
			return errors.Join(cause, fmt.Errorf("syncing the intent log: %w", err), s.file.Truncate(s.size))
		}
	}
	s.size += int64(len(b))
	_ = atWritten.At() // the intents are durable, so an injected error changes nothing
	if !s.catchingUp {
		s.catchingUp = true
		s.log.Warn("store: slow or unavailable, using the intent log", "err", cause)
		s.background.Go(s.waitForStore)
	}
	return nil
}

// waitForStore waits until the store has persisted all records of the log, and empties the log. It returns early if the
// store is closed, and the next process replays the log.
func (s *Store) waitForStore() {
	for {
		s.mu.Lock()
		size := s.size
		s.mu.Unlock()
		// The store applies records in the order of their calls, so all earlier ones are durable when this barrier succeeds.
		if err := s.Store.Complete(s.closing); err != nil {
			if s.closing.Err() != nil {
				return
			}
			s.log.Error("store: barrier failed while catching up with the intent log", "err", err)
			select {
			case <-s.closing.Done():
				return
			case <-time.After(catchUpRetryDelay):
			}
			continue
		}
		if s.emptyIfUnchanged(size) {
			s.log.Info("store: caught up, intent log emptied")
			return
		}
	}
}

// emptyIfUnchanged empties the log if it still has the given size in bytes, because then the store has persisted all of its
// records. It reports whether it emptied the log.
func (s *Store) emptyIfUnchanged(size int64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.size != size {
		return false
	}
	if err := s.truncate(); err != nil {
		s.log.Error("store: emptying the intent log failed", "err", err)
		return false
	}
	s.catchingUp = false
	return true
}
