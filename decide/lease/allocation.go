package lease

import (
	"slices"
	"wingmount/decide/placement"
)

// The weights by which a limit is divided. A node that only finishes its accepted messages gets half the quota of an
// owner: it receives no new messages, whereas the owners have to send the destination's new messages at once.
const (
	ownerWeight     = 2
	finishingWeight = 1
)

// role determines how a session handles a destination's messages.
type role uint8

const (
	// roleFinishing sends the node's accepted messages and accepts no new ones.
	roleFinishing role = iota
	// roleOwner accepts and sends messages.
	roleOwner
	// roleReleased neither accepts nor sends messages: the holder released the destination. The grant is deleted once
	// the holder has confirmed its removal.
	roleReleased
)

// weight returns the role's weight in the division of a limit.
func (r role) weight() units {
	switch r {
	case roleOwner:
		return ownerWeight
	case roleFinishing:
		return finishingWeight
	default:
		return 0
	}
}

// grant assigns a role and a quota of one destination to one session.
type grant struct {
	allocation *allocation
	session    *session
	role       role
	reported   bool // created because the node reported unfinished messages
	epoch      Epoch
	accepting  bool  // as last sent to the holder
	quota      units // as last sent to the holder
	// reserved is the largest quota that the holder may use. It equals quota, or exceeds it until the holder has
	// confirmed a lowered quota or its lease has expired.
	reserved units
	version  Version
	// previous and next link the grants of the session's grantList.
	previous, next *grant
}

// assignment returns the grant in the form that is sent to the holder.
func (g *grant) assignment() Assignment {
	return Assignment{
		Destination: g.allocation.destination,
		Epoch:       g.epoch,
		Quota:       g.quota.fraction(),
		Accepting:   g.accepting,
		Removed:     g.role == roleReleased,
	}
}

// allocation divides the limit of a destination among sessions.
type allocation struct {
	destination placement.DestinationID
	ownersKnown bool // SetOwners was called; until then rebalance changes no grant
	owners      []placement.NodeID
	grants      []*grant
	quarantined units
}

// findGrant returns the grant of a session, or nil if there is none.
func (a *allocation) findGrant(s *session) *grant {
	for _, g := range a.grants {
		if g.session == s {
			return g
		}
	}
	return nil
}

// remove deletes a grant and its reservation.
func (a *allocation) remove(removed *grant) {
	a.grants = slices.DeleteFunc(a.grants, func(g *grant) bool { return g == removed })
}

// available returns the quota that may be granted: the full limit, less the quotas that holders may use now, less the
// quotas that former holders may have used within the window.
func (a *allocation) available() units {
	available := fullLimit - a.quarantined
	for _, g := range a.grants {
		available -= g.reserved
	}
	return available
}

// totalWeight returns the sum of the weights of all grants.
func (a *allocation) totalWeight() units {
	var total units
	for _, g := range a.grants {
		total += g.role.weight()
	}
	return total
}

// targetQuota returns the quota of a role once rebalancing is complete: the fraction of the full limit that the role's
// weight is of the total weight, rounded down.
func targetQuota(r role, totalWeight units) units { return fullLimit * r.weight() / totalWeight }

// rebalance moves the quotas of a destination towards their targets. It lowers quotas at once, and raises them only by
// available quota, so that reservations never exceed the full limit. During the grace period it raises none.
func (g *Grantor) rebalance(a *allocation) {
	if !a.ownersKnown {
		return
	}
	total := a.totalWeight()
	for _, grant := range a.grants {
		if grant.role != roleReleased {
			g.lowerQuota(grant, targetQuota(grant.role, total))
		}
	}
	if !g.graceOver {
		return
	}
	for _, grant := range a.grants {
		if grant.role != roleReleased {
			g.raiseQuota(grant, targetQuota(grant.role, total))
		}
	}
}

// lowerQuota lowers a grant's quota to its target, and sets whether the holder accepts messages. The reservation is
// unchanged until the holder has confirmed the new quota.
func (g *Grantor) lowerQuota(grant *grant, target units) {
	accepting := grant.role == roleOwner
	if grant.quota <= target && grant.accepting == accepting {
		return
	}
	grant.quota = min(grant.quota, target)
	grant.accepting = accepting
	g.newEpoch(grant)
}

// raiseQuota raises a grant's quota towards its target, up to the sum of its reservation and the available quota.
func (g *Grantor) raiseQuota(grant *grant, target units) {
	available := grant.allocation.available() + g.faults.unconfirmedQuota(grant.allocation)
	quota := min(target, grant.reserved+available)
	if quota <= grant.quota {
		return
	}
	grant.quota = quota
	grant.reserved = max(grant.reserved, quota)
	g.newEpoch(grant)
}

// newEpoch gives a grant the next epoch and version, so that the next reply to the holder contains the grant.
func (g *Grantor) newEpoch(grant *grant) {
	g.lastEpoch++
	grant.epoch = g.lastEpoch
	grant.session.newVersion(grant)
	g.markUpdated(grant.session)
}
