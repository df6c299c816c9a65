package pgserver

import (
	"errors"
	"slices"
	"time"
)

// Point is a place at which a fault can be injected.
type Point string

// The points.
const (
	AtStartup    Point = "startup"       // before a connection is accepted
	AtStatement  Point = "statement"     // before a statement runs
	BeforeCommit Point = "before-commit" // COMMIT has arrived, and nothing is committed
	DuringCommit Point = "during-commit" // it is committed, and the client was not informed
	AfterCommit  Point = "after-commit"  // the client was informed
)

// Fault is what happens at a point, once. Without Delay, Hang and SQLState the connection is closed.
type Fault struct {
	At       Point
	Nth      int           // pass of the point since the injection; the first by default
	Delay    time.Duration // the session continues after it
	Hang     bool          // the session does not respond any more, and the connection stays open
	SQLState string        // the session fails with it
}

// injectedFault is a fault that has not happened yet.
type injectedFault struct {
	Fault
	passes int // of its point since the injection
}

// errConnectionClosed ends a session.
var errConnectionClosed = errors.New("the connection is closed")

// Inject adds a fault.
func (s *Server) Inject(f Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = append(s.faults, &injectedFault{Fault: f})
}

// FaultCount returns how many faults have happened at a point.
func (s *Server) FaultCount(point Point) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faultCounts[point]
}

// pass passes a point and causes the fault that is due there. It returns errConnectionClosed, an error with SQLSTATE, or
// nil.
func (x *session) pass(point Point) error {
	fault, ok := x.server.takeFault(point)
	switch {
	case !ok:
		return nil
	case fault.Delay > 0:
		return x.delay(fault.Delay)
	case fault.Hang:
		x.hang()
	case fault.SQLState != "":
		return newStateError(fault.SQLState, "injected at "+string(point))
	}
	return errConnectionClosed
}

// takeFault counts a pass of a point for all of its faults. It removes and returns the first one that is due, and reports
// false if there is none. Others that are due happen at the following passes.
func (s *Server) takeFault(point Point) (Fault, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	due := -1
	for i, f := range s.faults {
		if f.At != point {
			continue
		}
		f.passes++
		if due < 0 && f.passes >= max(1, f.Nth) {
			due = i
		}
	}
	if due < 0 {
		return Fault{}, false
	}
	fault := s.faults[due].Fault
	s.faults = slices.Delete(s.faults, due, due+1)
	s.faultCounts[point]++
	return fault, true
}

// delay waits for a time. It returns errConnectionClosed if the server closes before.
func (x *session) delay(d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-x.server.ctx.Done():
		return errConnectionClosed
	}
}
