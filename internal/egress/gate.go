package egress

import (
	"sync/atomic"
	"time"
)

// Gates limit an endpoint's calls to a time interval of the wall clock. The policy module applies the same interval when
// it decides on a call. A gate stops a call that was decided before the interval changed and is still connecting.

// Gate is closed until a time. The zero Gate is open. A Gate is safe for concurrent use.
type Gate struct {
	closedUntil atomic.Int64 // Unix nanoseconds
}

// IsOpen reports whether a call may be sent at now.
func (g *Gate) IsOpen(now time.Time) bool { return now.UnixNano() >= g.closedUntil.Load() }

// CloseUntil closes the gate until the given time. It never shortens a closure already set.
func (g *Gate) CloseUntil(until time.Time) {
	for {
		old := g.closedUntil.Load()
		if old >= until.UnixNano() || g.closedUntil.CompareAndSwap(old, until.UnixNano()) {
			return
		}
	}
}

// DrainGate is closed from a time on. The zero DrainGate is open. A DrainGate is safe for concurrent use.
type DrainGate struct {
	closedFrom atomic.Int64 // Unix nanoseconds, 0 if no closing time is set
}

// IsOpen reports whether a call may be sent at now.
func (g *DrainGate) IsOpen(now time.Time) bool {
	from := g.closedFrom.Load()
	return from == 0 || now.UnixNano() < from
}

// CloseAt closes the gate from the given time until Reopen is called. It does nothing if a
// closing time is already set.
func (g *DrainGate) CloseAt(at time.Time) { g.closedFrom.CompareAndSwap(0, at.UnixNano()) }

// CloseScheduled reports whether CloseAt has set a closing time, past or future.
func (g *DrainGate) CloseScheduled() bool { return g.closedFrom.Load() != 0 }

// Reopen removes the closing time set by CloseAt.
func (g *DrainGate) Reopen() { g.closedFrom.Store(0) }
