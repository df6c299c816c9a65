package control

import (
	"time"
	"wingmount/decide/lease"
	"wingmount/decide/placement"
)

// State is the state of a server.
type State struct {
	Incarnation lease.Incarnation `json:"incarnation"`
	// SupersededBy is a newer incarnation that a node has reported, 0 if none. A superseded server rejects all polls.
	SupersededBy lease.Incarnation `json:"superseded,omitempty"`
	// GraceSeconds is the remaining time until leases of earlier incarnations must have expired.
	GraceSeconds float64     `json:"waits_seconds"`
	LeaseSeconds float64     `json:"lease_seconds"`
	Destinations int         `json:"destinations"`
	Unplaced     int         `json:"unplaced"` // destinations without an owner
	Nodes        []NodeState `json:"nodes"`
}

// NodeState describes a node.
type NodeState struct {
	Node     placement.NodeID `json:"node"`
	Region   string           `json:"region"`
	Zone     string           `json:"zone"`
	Address  string           `json:"address"`
	Draining bool             `json:"draining"`
	// Load is the node's load according to the placement, in messages per second.
	Load float64 `json:"load"`
	// Sessions contains the sessions of the node's processes that have not ended.
	Sessions []SessionState `json:"sessions"`
}

// SessionState describes a session.
type SessionState struct {
	Session        lease.SessionID `json:"session"`
	Active         bool            `json:"active"` // it has the node's assignments
	Assignments    int             `json:"assignments"`
	Version        lease.Version   `json:"version"`
	AppliedVersion lease.Version   `json:"applied"`
	ExpiresSeconds float64         `json:"expires_seconds"` // until its lease must have expired
}

// State returns the state of the server.
func (s *Server) State() State {
	table := s.table.Load()
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	sessions := map[placement.NodeID][]SessionState{}
	s.grantor.Sessions(func(status lease.SessionStatus) bool {
		sessions[status.Node] = append(sessions[status.Node], SessionState{
			Session:        status.Session,
			Active:         status.Active,
			Assignments:    status.AssignmentCount,
			Version:        status.Version,
			AppliedVersion: status.AppliedVersion,
			ExpiresSeconds: (status.Expiry - now).Seconds(),
		})
		return true
	})
	state := State{
		Incarnation:  s.grantor.Incarnation(),
		SupersededBy: s.grantor.SupersededBy(),
		GraceSeconds: max(0, s.grantor.GraceEnd()-now).Seconds(),
		LeaseSeconds: s.config.Lease.Seconds(),
		Destinations: len(s.spec.Destinations),
		Unplaced:     len(table.Unplaced()),
	}
	for _, node := range s.spec.Nodes {
		id := placement.NodeID(node.Name)
		state.Nodes = append(state.Nodes, NodeState{
			Node: id, Region: node.Region, Zone: node.Zone, Address: node.Address,
			Draining: s.draining[id], Load: table.Load(id), Sessions: sessions[id],
		})
	}
	return state
}

// Explanation contains the reasons for a destination's owners, and the grants of its quota.
type Explanation struct {
	Placement placement.Explanation `json:"placement"`
	// Grants contains one element for each process of a node. The JSON name "holders" is unrelated to "holder" in a
	// quorum's state, which is the leader of a region.
	Grants []GrantState `json:"holders"`
}

// GrantState describes the grant of a destination to one process of a node.
type GrantState struct {
	Node       placement.NodeID `json:"node"`
	Assignment lease.Assignment `json:"assignment"` // the latest one sent
	// Reserved is the largest fraction of the limit that the process may still use.
	Reserved       float64 `json:"reserved"`
	Confirmed      bool    `json:"confirmed"` // the process has applied the assignment
	ExpiresSeconds float64 `json:"expires_seconds"`
}

// Explain returns the reasons for a destination's owners, and its grants.
func (s *Server) Explain(destination placement.DestinationID) Explanation {
	explanation := Explanation{Placement: s.table.Load().Explain(destination)}
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	for _, grant := range s.grantor.Grants(destination) {
		explanation.Grants = append(explanation.Grants, GrantState{
			Node:           grant.Node,
			Assignment:     grant.Assignment,
			Reserved:       grant.Reserved,
			Confirmed:      grant.Confirmed,
			ExpiresSeconds: (grant.Expiry - now).Round(time.Millisecond).Seconds(),
		})
	}
	return explanation
}
