package control

import "time"

// stepTolerance is by how much the wall clock may go on faster than the monotonic one before it counts as a step.
const stepTolerance = time.Millisecond

// reading is what the machine's clocks show, from any fixed origins.
type reading struct {
	monotonic time.Duration
	wall      time.Duration
}

// clock is a node's clock for its lease. It never goes back, and never shows that less time has passed than the
// monotonic clock or the wall clock does: the monotonic clock stands still while a machine is suspended, which
// must not lengthen a lease. A step forward of the wall clock counts as time that has passed, a step back does not
// count. The clock is not safe for concurrent use.
type clock struct {
	read       func() reading
	difference time.Duration // of the wall clock from the monotonic one, when it last stepped
	skipped    time.Duration // what the monotonic clock did not count
	latest     time.Duration
}

func newClock(read func() reading) *clock {
	first := read()
	return &clock{read: read, difference: first.wall - first.monotonic, latest: first.monotonic}
}

// systemClock reads the machine's clocks.
func systemClock() func() reading {
	origin := time.Now()
	return func() reading {
		now := time.Now()
		return reading{monotonic: now.Sub(origin), wall: now.Round(0).Sub(origin.Round(0))}
	}
}

// now is the time.
func (c *clock) now() time.Duration {
	current := c.read()
	difference := current.wall - current.monotonic
	if step := difference - c.difference; step > stepTolerance {
		c.skipped += step
		c.difference = difference
	} else if step < -stepTolerance {
		c.difference = difference
	}
	c.latest = max(c.latest, current.monotonic+c.skipped)
	return c.latest
}
