package placement

import "math"

// load is a rate in fixed point. Sums of it do not depend on the order of the summands, so that all readers
// find the same loads.
type load int64

// loadScale is the number of load units in one message a second. MaxDestinations times MaxRate fits in a load.
const loadScale = 1 << 16

// loadOf returns the rate in fixed point; the smallest load is one unit.
func loadOf(rate float64) load {
	return max(1, load(math.Round(rate*loadScale)))
}

// rate returns the load in messages a second.
func (l load) rate() float64 { return float64(l) / loadScale }
