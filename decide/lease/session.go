package lease

import (
	"fmt"
	"maps"
	"slices"
	"time"
	"wingmount/decide/placement"
	"wingmount/internal/container"
)

// session is the grantor's state of one process's lease.
type session struct {
	id             SessionID
	process        ProcessID
	node           *node
	sequence       uint64  // of the latest request
	version        Version // of the latest change, from 1 on
	appliedVersion Version // the latest one that the holder has confirmed
	expiry         time.Duration
	expiryItem     container.Item[*session]
	markedUpdated  bool // in Grantor.updated
	reportedGrants int  // number of grants with reported set
	grantList
}

// isActive reports whether the session receives the node's assignments.
func (s *session) isActive() bool { return s.node.active() == s }

// addGrant adds a grant with the next version.
func (s *session) addGrant(g *grant) {
	if g.reported {
		s.reportedGrants++
	}
	s.grantCount++
	s.version++
	s.append(g, s.version)
}

func (s *session) removeGrant(g *grant) {
	if g.reported {
		s.reportedGrants--
	}
	s.grantCount--
	s.unlink(g)
}

// newVersion gives a grant the next version, so that the next reply contains it.
func (s *session) newVersion(g *grant) {
	s.unlink(g)
	s.version++
	s.append(g, s.version)
}

// needsCompleteReply reports whether the reply to a request has to contain all assignments: the request opens the
// session, requests all assignments, or names a version before the confirmed one.
func (s *session) needsCompleteReply(request Request) bool {
	return request.Session != s.id || request.AppliedVersion == 0 || request.AppliedVersion < s.appliedVersion
}

// node is a grantor's state of a node.
type node struct {
	id placement.NodeID
	// sessions contains the sessions that have not ended. The first one is active: it receives the node's assignments.
	// The other processes of the node wait until it has ended.
	sessions []*session
	owned    map[placement.DestinationID]*allocation
}

// active returns the session that receives the node's assignments, or nil if there is none.
func (n *node) active() *session {
	if len(n.sessions) == 0 {
		return nil
	}
	return n.sessions[0]
}

// findSession returns the session of a process, or nil if there is none.
func (g *Grantor) findSession(id placement.NodeID, process ProcessID) *session {
	n := g.nodes[id]
	if n == nil {
		return nil
	}
	for _, s := range n.sessions {
		if s.process == process {
			return s
		}
	}
	return nil
}

// openSession opens a session. During the grace period it returns ErrReclaimRequired to a process that may have a lease
// of an earlier incarnation and does not reclaim its assignments.
func (g *Grantor) openSession(request Request) (*session, error) {
	reclaims := !g.graceOver && request.Session != 0 && request.Session.Incarnation() < g.incarnation
	if reclaims && !request.Reclaiming {
		return nil, ErrReclaimRequired
	}
	if len(g.sessions) >= g.config.MaxSessions {
		return nil, fmt.Errorf("%w: %d", ErrTooManySessions, len(g.sessions))
	}
	n := g.nodeFor(request.Node)
	if len(n.sessions) >= maxSessionsPerNode {
		return nil, fmt.Errorf("%w: %d of node %q", ErrTooManySessions, len(n.sessions), request.Node)
	}
	g.lastSession++
	s := &session{id: g.lastSession, process: request.Process, node: n, version: 1}
	s.expiryItem.Value = s
	g.sessions[s.id] = s
	n.sessions = append(n.sessions, s)
	g.extendSession(s)
	if reclaims {
		g.reclaim(s, request.Reclaims)
	}
	if s.isActive() {
		g.activateSession(s)
	}
	return s, nil
}

// reclaim adds grants for the assignments that a session received from earlier incarnations.
func (g *Grantor) reclaim(s *session, assignments []Assignment) {
	for _, assignment := range assignments {
		a := g.allocationFor(assignment.Destination)
		if assignment.Removed || assignment.Epoch.Incarnation() >= g.incarnation || a.findGrant(s) != nil {
			g.deleteAllocationIfUnused(a)
			continue
		}
		quota := unitsFromFraction(assignment.Quota)
		reclaimed := &grant{
			allocation: a, session: s, accepting: assignment.Accepting,
			epoch: assignment.Epoch, quota: quota, reserved: quota,
		}
		if assignment.Accepting && !a.ownersKnown {
			reclaimed.role = roleOwner
		}
		a.grants = append(a.grants, reclaimed)
		s.addGrant(reclaimed)
		g.rebalance(a)
	}
}

// activateSession makes a session the owner of the node's destinations.
func (g *Grantor) activateSession(s *session) {
	for _, destination := range slices.Sorted(maps.Keys(s.node.owned)) {
		a := s.node.owned[destination]
		g.ensureGrant(a, s).role = roleOwner
		g.rebalance(a)
	}
}

// extendSession renews a session's lease as of now.
func (g *Grantor) extendSession(s *session) {
	s.expiry = g.now + g.faults.adjustExpiryWait(g.sessionTimeout)
	g.expiries.Set(&s.expiryItem, int64(s.expiry))
}

// endSession ends a session and releases its grants. The node's next session receives its assignments. It does nothing
// if s is nil.
func (g *Grantor) endSession(s *session) {
	if s == nil {
		return
	}
	g.expiries.Remove(&s.expiryItem)
	delete(g.sessions, s.id)
	n := s.node
	wasActive := s.isActive()
	n.sessions = slices.DeleteFunc(n.sessions, func(other *session) bool { return other == s })
	for granted := s.oldest; granted != nil; granted = granted.next {
		g.quarantineQuota(granted.allocation, granted.reserved)
		granted.allocation.remove(granted)
	}
	for granted := s.oldest; granted != nil; granted = granted.next {
		g.rebalance(granted.allocation)
		g.deleteAllocationIfUnused(granted.allocation)
	}
	if len(n.sessions) == 0 {
		g.disconnected = append(g.disconnected, n.id)
		g.deleteNodeIfUnused(n)
	} else if wasActive {
		g.activateSession(n.active())
	}
}
