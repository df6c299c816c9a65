package control

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"time"
	"wingmount/decide/lease"
	"wingmount/decide/placement"
)

// File names in the state folder of a server.
const (
	stateName = "control.json"
	lockName  = "control.lock"
)

// ErrIncarnationsExhausted reports that there is no incarnation left, since lease.MaxIncarnation has been used.
var ErrIncarnationsExhausted = errors.New("maximum incarnation exceeded")

// serverState is the content of a server's state file.
type serverState struct {
	Incarnation lease.Incarnation `json:"incarnation"`
	// LongestLease is the longest lease that may still be valid.
	LongestLease time.Duration      `json:"longest_lease"`
	Draining     []placement.NodeID `json:"draining,omitempty"`
}

// stateFolder is the locked state folder of a server.
type stateFolder struct {
	path string
	lock *os.File
}

// openStateFolder locks a folder, and creates it if it does not exist.
func openStateFolder(path string) (*stateFolder, error) {
	if err := os.MkdirAll(path, 0o700); err != nil {
		return nil, fmt.Errorf("creating the state folder: %w", err)
	}
	lock, err := lockFile(filepath.Join(path, lockName))
	if err != nil {
		return nil, err
	}
	return &stateFolder{path: path, lock: lock}, nil
}

// beginIncarnation persists a state with the next incarnation, greater than the lower bound above, and returns it and
// the previous state. The longest lease that may be valid is the longer of the previous state's and this server's.
func (f *stateFolder) beginIncarnation(above lease.Incarnation, duration time.Duration) (next, previous serverState, err error) {
	if err := readState(f.file(), &previous); err != nil {
		return next, previous, err
	}
	next = previous
	next.Incarnation = max(previous.Incarnation, above) + 1
	next.LongestLease = max(previous.LongestLease, duration)
	if next.Incarnation > lease.MaxIncarnation {
		return next, previous, ErrIncarnationsExhausted
	}
	return next, previous, f.persist(next)
}

func (f *stateFolder) file() string { return filepath.Join(f.path, stateName) }

// persist writes a state to disk.
func (f *stateFolder) persist(state serverState) error { return writeState(f.file(), state) }

// close releases the lock.
func (f *stateFolder) close() error { return f.lock.Close() }
