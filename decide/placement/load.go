package placement

import "math"

// load is a rate as a fixed-point number. Sums do not depend on the order of the summands, so all processes compute
// the same loads.
type load int64

// loadScale is the number of load units in one message a second. A load can represent MaxDestinations times MaxRate.
const loadScale = 1 << 16

// loadFromRate converts a rate to fixed point; the result is at least one unit.
func loadFromRate(rate float64) load {
	return max(1, load(math.Round(rate*loadScale)))
}

// rate returns the load in messages a second.
func (l load) rate() float64 { return float64(l) / loadScale }
