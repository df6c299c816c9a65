package lease

import "math"

// units is a quota in multiples of 1/fullLimit of a limit. Sums of integers are exact, and each value up to fullLimit
// has an exact float64.
type units int64

// fullLimit is the number of units in a full limit.
const fullLimit units = 1 << 24

// fraction returns the quota as a fraction of the limit, 0 to 1.
func (u units) fraction() float64 { return float64(u) / float64(fullLimit) }

// validQuota reports whether a fraction is between 0 and 1.
func validQuota(fraction float64) bool { return fraction >= 0 && fraction <= 1 }

// unitsFromFraction converts a valid fraction to units, rounded up.
func unitsFromFraction(fraction float64) units {
	return units(math.Ceil(fraction * float64(fullLimit)))
}
