package lease

import (
	"time"
	"wingmount/decide/placement"
)

// GrantStatus is the state of one holder's grant of a destination.
type GrantStatus struct {
	Node       placement.NodeID
	Session    SessionID
	Assignment Assignment // as last sent to the holder
	Reserved   float64    // the largest fraction of the limit that the holder may use, 0 to 1
	Confirmed  bool       // the holder has applied the assignment
	Expiry     time.Duration
}

// Grants returns the state of each grant of a destination.
func (g *Grantor) Grants(destination placement.DestinationID) []GrantStatus {
	a := g.allocations[destination]
	if a == nil {
		return nil
	}
	grants := make([]GrantStatus, 0, len(a.grants))
	for _, granted := range a.grants {
		grants = append(grants, GrantStatus{
			Node:       granted.session.node.id,
			Session:    granted.session.id,
			Assignment: granted.assignment(),
			Reserved:   granted.reserved.fraction(),
			Confirmed:  granted.session.appliedVersion >= granted.version,
			Expiry:     granted.session.expiry,
		})
	}
	return grants
}

// AcceptingNodes returns, by destination, the nodes whose last sent assignments accept messages.
func (g *Grantor) AcceptingNodes() map[placement.DestinationID][]placement.NodeID {
	accepting := make(map[placement.DestinationID][]placement.NodeID, len(g.allocations))
	for destination, a := range g.allocations {
		for _, granted := range a.grants {
			if granted.accepting {
				accepting[destination] = append(accepting[destination], granted.session.node.id)
			}
		}
	}
	return accepting
}

// SessionStatus is the state of a session.
type SessionStatus struct {
	Node            placement.NodeID
	Session         SessionID
	Process         ProcessID
	Active          bool // it receives the node's assignments
	AssignmentCount int
	Version         Version
	AppliedVersion  Version
	Expiry          time.Duration
}

// Sessions calls yield with the state of each session, in unspecified order, until yield returns false.
func (g *Grantor) Sessions(yield func(SessionStatus) bool) {
	for _, s := range g.sessions {
		status := SessionStatus{
			Node:            s.node.id,
			Session:         s.id,
			Process:         s.process,
			Active:          s.isActive(),
			AssignmentCount: s.grantCount,
			Version:         s.version,
			AppliedVersion:  s.appliedVersion,
			Expiry:          s.expiry,
		}
		if !yield(status) {
			return
		}
	}
}
