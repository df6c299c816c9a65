package lease

import "time"

// faults are mistakes that tests put into a Grantor, to show that the checker finds them. The zero faults are none.
type faults struct {
	// grantEarly takes leases to end early.
	grantEarly bool
	// ignoreConfirmation takes a lowered share as in force at the holder at once.
	ignoreConfirmation bool
	// ignoreEpoch takes a release of any grant for one of the latest.
	ignoreEpoch bool
}

// shortened is the wait for the end of a lease.
func (f faults) shortened(wait time.Duration) time.Duration {
	if f.grantEarly {
		return wait / 2
	}
	return wait
}

// unconfirmed is what others were told to give up and have not confirmed, where that is taken for free.
func (f faults) unconfirmed(to *grant) units {
	var unconfirmed units
	if !f.ignoreConfirmation {
		return unconfirmed
	}
	for _, other := range to.allotment.grants {
		unconfirmed += other.reserved - other.share
	}
	return unconfirmed
}
