package lease

import (
	"maps"
	"slices"
	"time"
	"wingmount/decide/placement"
)

// SetOwners sets the nodes that own a destination from now on. Quotas change in steps during which their sum never
// exceeds the full limit.
func (g *Grantor) SetOwners(now time.Duration, destination placement.DestinationID, owners []placement.NodeID) {
	g.advance(now)
	a := g.allocationFor(destination)
	a.ownersKnown = true
	for _, id := range a.owners {
		if !slices.Contains(owners, id) {
			n := g.nodes[id]
			delete(n.owned, destination)
			g.deleteNodeIfUnused(n)
		}
	}
	a.owners = slices.Clone(owners)
	for _, id := range owners {
		n := g.nodeFor(id)
		n.owned[destination] = a
		if active := n.active(); active != nil {
			g.ensureGrant(a, active)
		}
	}
	for _, granted := range a.grants {
		if granted.role == roleReleased {
			continue
		}
		granted.role = roleFinishing
		if granted.session.isActive() && slices.Contains(owners, granted.session.node.id) {
			granted.role = roleOwner
		}
	}
	g.rebalance(a)
	g.deleteAllocationIfUnused(a)
}

// MarkOwnersComplete records that SetOwners was called for every destination that has owners. Reclaimed destinations for
// which it was not called have no owners.
func (g *Grantor) MarkOwnersComplete(now time.Duration) {
	g.advance(now)
	if g.ownersComplete {
		return
	}
	g.ownersComplete = true
	for _, destination := range slices.Sorted(maps.Keys(g.allocations)) {
		if !g.allocations[destination].ownersKnown {
			g.SetOwners(now, destination, nil)
		}
	}
}

// Refresh sends all holders of a destination their assignment again, with the same epoch and the same quota. The caller
// uses it after a change of other data that the holders have received about the destination.
func (g *Grantor) Refresh(destination placement.DestinationID) {
	a := g.allocations[destination]
	if a == nil {
		return
	}
	for _, granted := range a.grants {
		if granted.role == roleReleased {
			continue
		}
		granted.session.newVersion(granted)
		g.markUpdated(granted.session)
	}
}

// ensureGrant returns a session's grant of a destination. It adds the grant if there is none, and takes back a release.
// In both cases the grant has no quota yet.
func (g *Grantor) ensureGrant(a *allocation, s *session) *grant {
	granted := a.findGrant(s)
	if granted == nil {
		granted = &grant{allocation: a, session: s}
		g.addGrant(granted)
	}
	if granted.role == roleReleased {
		granted.role = roleFinishing
		g.newEpoch(granted)
	}
	return granted
}

// addGrant adds a grant without a quota to its allocation and its session.
func (g *Grantor) addGrant(added *grant) {
	added.allocation.grants = append(added.allocation.grants, added)
	added.session.addGrant(added)
	g.newEpoch(added)
}
