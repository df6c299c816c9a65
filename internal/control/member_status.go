package control

import (
	"cmp"
	"slices"
	"wingmount/decide/leadership"
	"wingmount/internal/consensus"
)

// QuorumState is the state of the quorum from the view of one member. Consensus.Term is raft's term of the log; a
// leadership.Term identifies the leader of one region.
type QuorumState struct {
	Consensus    consensus.Status           `json:"consensus"`
	Region       string                     `json:"region"`
	Joined       bool                       `json:"joined"` // the replicated state contains this process, which may lead and vote
	Leading      bool                       `json:"holds"`  // this member grants leases in its region now
	Members      []MemberState              `json:"members"`
	Regions      map[string]leadership.Term `json:"regions"`
	SpecVersion  uint64                     `json:"world_version"`
	Nodes        int                        `json:"nodes"`
	Destinations int                        `json:"destinations"`
	Draining     []string                   `json:"draining"`
}

// MemberState describes one member.
type MemberState struct {
	ID      leadership.MemberID `json:"id"`
	Region  string              `json:"region"`
	Address string              `json:"address"`
}

// State returns the state of the quorum from this member's view.
func (m *Member) State() QuorumState {
	view := m.machine.view()
	s := QuorumState{
		Consensus: m.log.Status(), Region: m.config.Region, Regions: view.Leadership.Regions, SpecVersion: view.SpecVersion,
		Nodes: len(view.Spec.Nodes), Destinations: len(view.Spec.Destinations),
	}
	m.mu.Lock()
	s.Joined = m.elector.Joined()
	m.mu.Unlock()
	if l := m.serving.Load(); l != nil {
		s.Leading = m.mayGrant(l.incarnation)
	}
	for id, member := range view.Leadership.Members {
		s.Members = append(s.Members, MemberState{ID: id, Region: member.Region, Address: view.Addresses[id]})
	}
	slices.SortFunc(s.Members, func(a, b MemberState) int { return cmp.Compare(a.ID, b.ID) })
	for _, id := range view.Draining {
		s.Draining = append(s.Draining, string(id))
	}
	return s
}
