package control

import "time"

// stepTolerance is the largest change of the offset between wall clock and monotonic clock that does not count as a
// step of the wall clock.
const stepTolerance = time.Millisecond

// clockValues are simultaneous readings of the machine's clocks, each relative to a fixed origin.
type clockValues struct {
	monotonic time.Duration
	wall      time.Duration
}

// clock is a clock for leases. It never goes back, and advances at least as much as the monotonic clock and, to within
// stepTolerance, the wall clock: the monotonic clock stops while a machine is suspended, which must not extend a lease.
// A forward step of the wall clock counts as elapsed time, so it shortens or ends leases; this is not logged. A
// backward step is ignored. The clock is not safe for concurrent use.
type clock struct {
	read    func() clockValues
	offset  time.Duration // wall clock minus monotonic clock, after the latest step
	skipped time.Duration // time that the monotonic clock did not count
	latest  time.Duration
}

func newClock(read func() clockValues) *clock {
	first := read()
	return &clock{read: read, offset: first.wall - first.monotonic, latest: first.monotonic}
}

// systemClock returns a function that reads the machine's clocks.
func systemClock() func() clockValues {
	origin := time.Now()
	return func() clockValues {
		now := time.Now()
		return clockValues{monotonic: now.Sub(origin), wall: now.Round(0).Sub(origin.Round(0))}
	}
}

// now returns the time since the monotonic clock's origin, including suspended time.
func (c *clock) now() time.Duration {
	current := c.read()
	offset := current.wall - current.monotonic
	if step := offset - c.offset; step > stepTolerance {
		c.skipped += step
		c.offset = offset
	} else if step < -stepTolerance {
		c.offset = offset
	}
	c.latest = max(c.latest, current.monotonic+c.skipped)
	return c.latest
}
