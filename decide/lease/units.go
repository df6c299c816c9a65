package lease

import "math"

// units is a share in whole parts of a limit, so that sums are exact. Each value has an exact float64.
type units int64

// whole is all of a limit.
const whole units = 1 << 24

// float is the share as a part of 1.
func (u units) float() float64 { return float64(u) / float64(whole) }

// validShare tells whether a share is between 0 and 1.
func validShare(share float64) bool { return share >= 0 && share <= 1 }

// unitsOf is the least number of units that a valid share fits in.
func unitsOf(share float64) units { return units(math.Ceil(share * float64(whole))) }
