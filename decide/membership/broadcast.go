package membership

import "math"

// pendingUpdate is an update with remaining transmissions.
type pendingUpdate struct {
	Update
	sent int // transmissions so far
}

// sentLessOften orders pending updates by number of transmissions, then by member.
func sentLessOften(a, b *pendingUpdate) bool {
	return a.sent < b.sent || a.sent == b.sent && a.Member < b.Member
}

// broadcast queues an update for all other members. It replaces a pending update of the same member.
func (n *Node) broadcast(u Update) {
	n.cancelBroadcast(u.Member)
	n.broadcasts[u.Member] = &pendingUpdate{Update: u}
	n.queue.ReplaceOrInsert(n.broadcasts[u.Member])
}

// cancelBroadcast removes the pending update of a member, if there is one.
func (n *Node) cancelBroadcast(p Peer) {
	if r := n.broadcasts[p]; r != nil {
		n.queue.Delete(r)
		delete(n.broadcasts, p)
	}
}

// piggyback returns the updates for a packet in this order: the recipient's own state if this node considers it not
// alive, the pending updates with the fewest transmissions, and, if the recipient's view differs, a part of this
// node's view.
func (n *Node) piggyback(to Peer, differs bool) []Update {
	var all []Update
	if m := n.members[to]; m != nil && m.Status != Alive {
		all = append(all, m.Update)
	}
	transmissions := int(math.Ceil(n.settings.RetransmitFactor * logScale(n.size())))
	for _, r := range n.nextBroadcasts(MaxUpdates-len(all), to) {
		all = append(all, r.Update)
		n.recordTransmission(r, transmissions)
	}
	if !differs {
		return all
	}
	known := n.all
	all = append(all, Update{Member: n.settings.Self, Status: n.ownStatus(), Incarnation: n.incarnation})
	for range known {
		if len(all) >= MaxUpdates {
			break
		}
		n.syncCursor = (n.syncCursor + 1) % len(known)
		if u := n.members[known[n.syncCursor]].Update; u.Member != to {
			all = append(all, u)
		}
	}
	return all[:min(len(all), MaxUpdates)]
}

// nextBroadcasts returns up to limit pending updates with the fewest transmissions, except an update of the peer
// exclude.
func (n *Node) nextBroadcasts(limit int, exclude Peer) []*pendingUpdate {
	first := make([]*pendingUpdate, 0, MaxUpdates)
	n.queue.Ascend(func(r *pendingUpdate) bool {
		if len(first) < limit && r.Member != exclude {
			first = append(first, r)
		}
		return len(first) < limit
	})
	return first
}

// recordTransmission counts a transmission of an update and removes the update after the last one.
func (n *Node) recordTransmission(r *pendingUpdate, transmissions int) {
	n.queue.Delete(r)
	if r.sent++; r.sent >= transmissions {
		delete(n.broadcasts, r.Member)
		return
	}
	n.queue.ReplaceOrInsert(r)
}
