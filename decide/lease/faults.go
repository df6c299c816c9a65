package lease

import "time"

// faults are defects that tests inject into a Grantor, to show that the model checker finds them. The zero value injects
// none.
type faults struct {
	// expireEarly ends a session after half of the required wait.
	expireEarly bool
	// ignoreConfirmation grants the difference of a lowered quota to others before the holder has confirmed it.
	ignoreConfirmation bool
	// ignoreEpoch accepts a release that names any epoch, and a release of an accepting grant: see releaseCounts.
	ignoreEpoch bool
}

// adjustExpiryWait returns the wait for the expiry of a lease: half of it with the fault expireEarly.
func (f faults) adjustExpiryWait(wait time.Duration) time.Duration {
	if f.expireEarly {
		return wait / 2
	}
	return wait
}

// unconfirmedQuota returns the amount by which quotas of a destination were lowered without confirmation. With the fault
// ignoreConfirmation raiseQuota counts it as available. Without the fault it is 0.
func (f faults) unconfirmedQuota(a *allocation) units {
	var unconfirmed units
	if !f.ignoreConfirmation {
		return unconfirmed
	}
	for _, other := range a.grants {
		unconfirmed += other.reserved - other.quota
	}
	return unconfirmed
}
