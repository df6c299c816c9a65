package leadership

import (
	"maps"
	"time"
	"wingmount/decide/lease"
)

// MemberID identifies a control machine. 0 means no machine.
type MemberID uint64

// ProcessID distinguishes the processes of one member. 0 means no process.
type ProcessID uint64

// Nonce distinguishes the proposals and vote requests of one process.
type Nonce uint64

// Member is a control machine.
type Member struct {
	ID     MemberID `json:"id"`
	Region string   `json:"region"`
	// Process is the latest one that has joined.
	Process ProcessID `json:"process,omitempty"`
	// AddedVersion is the first State.MembersVersion that contained the member.
	AddedVersion uint64 `json:"since"`
}

// Revision identifies a state of a region: each election, renewal and resignation changes it.
type Revision struct {
	Leader      MemberID          `json:"holder"` // 0 means no leader; the JSON name is unrelated to lease.Holder
	Incarnation lease.Incarnation `json:"incarnation"`
	Renewals    uint64            `json:"renewals"` // number of renewals under Incarnation
}

// Term describes the leader of a region and the duration of its lease. It is unrelated to the term of the raft library
// (consensus.Status.Term).
type Term struct {
	Revision
	Process ProcessID `json:"process"`
	// LeaderLease is how long the leader may grant leases after it sent its candidacy, its latest committed renewal, or
	// its latest request that all other members voted for. It is set at the election: a changed Config.LeaderLease
	// applies from the next election on.
	LeaderLease time.Duration `json:"length"`
	// LongestNodeLease is the longest duration of any lease of a node that may still be valid.
	LongestNodeLease time.Duration `json:"longest_lease"`
	// MembersVersion is the State.MembersVersion that the leader had applied at its latest proposal.
	MembersVersion uint64 `json:"members"`
}

// Join proposes that a process becomes the current process of its member.
type Join struct {
	Member   MemberID  `json:"member"`
	Process  ProcessID `json:"process"`
	Previous ProcessID `json:"after"` // the join is void unless this is the member's latest process
}

// Candidacy proposes that a member leads its region.
type Candidacy struct {
	Member         MemberID      `json:"member"`
	Process        ProcessID     `json:"process"`
	Nonce          Nonce         `json:"nonce"`
	Previous       Revision      `json:"after"` // the candidacy is void unless this is the region's revision
	LeaderLease    time.Duration `json:"length"`
	NodeLease      time.Duration `json:"node_lease"` // duration of the leases that the process would grant
	MembersVersion uint64        `json:"members"`    // applied at the proposal
}

// Renewal proposes that a leader's lease is extended.
type Renewal struct {
	Member         MemberID  `json:"member"`
	Process        ProcessID `json:"process"`
	Nonce          Nonce     `json:"nonce"`
	Previous       Revision  `json:"after"` // the renewal is void unless this is the region's revision
	MembersVersion uint64    `json:"members"`
	// EarlierLeasesExpired means that no lease granted by an earlier leader is valid.
	EarlierLeasesExpired bool          `json:"settled,omitempty"`
	NodeLease            time.Duration `json:"node_lease"`
}

// Resignation proposes that a leader, which no longer grants leases, leaves its region without a leader.
type Resignation struct {
	Member   MemberID  `json:"member"`
	Process  ProcessID `json:"process"`
	Previous Revision  `json:"after"` // the resignation is void unless the region has its Incarnation
}

// State is the state of the replicated log that concerns members and the leaders of regions. Its methods are
// deterministic.
type State struct {
	// MembersVersion increases with each change of Members.
	MembersVersion uint64              `json:"version"`
	Members        map[MemberID]Member `json:"members"`
	Regions        map[string]Term     `json:"regions"`

	faults faults
}

// NewState returns the state before the first entry of the log, with the initial members.
func NewState(members []Member) *State {
	s := &State{MembersVersion: 1, Members: map[MemberID]Member{}, Regions: map[string]Term{}}
	for _, m := range members {
		s.Members[m.ID] = Member{ID: m.ID, Region: m.Region, AddedVersion: s.MembersVersion}
	}
	return s
}

// Clone returns a deep copy of the state.
func (s *State) Clone() *State {
	return &State{
		MembersVersion: s.MembersVersion,
		Members:        maps.Clone(s.Members),
		Regions:        maps.Clone(s.Regions),
		faults:         s.faults,
	}
}

// AddMember adds a member. It returns false if the ID is 0 or in use.
func (s *State) AddMember(id MemberID, region string) bool {
	if _, known := s.Members[id]; known || id == 0 {
		return false
	}
	s.MembersVersion++
	s.Members[id] = Member{ID: id, Region: region, AddedVersion: s.MembersVersion}
	return true
}

// RemoveMember removes a member, which must have stopped permanently. If it led its region, the region then has no
// leader. It returns false if there is no such member.
func (s *State) RemoveMember(id MemberID) bool {
	m, known := s.Members[id]
	if !known {
		return false
	}
	s.MembersVersion++
	delete(s.Members, id)
	if term := s.Regions[m.Region]; term.Leader == id {
		s.removeLeader(m.Region, term)
	}
	return true
}

// removeLeader changes a region's term so that the region has no leader, and changes its revision.
func (s *State) removeLeader(region string, term Term) {
	term.Leader = 0
	term.Renewals++
	s.Regions[region] = term
}

// Join records a process as the current process of its member. Candidacies of the member's earlier processes are void
// from then on. It returns false if the proposal is void: the member does not exist, or another process has joined since
// Previous.
func (s *State) Join(j Join) bool {
	m, known := s.Members[j.Member]
	if !known || m.Process != j.Previous && !s.faults.acceptStaleJoin {
		return false
	}
	m.Process = j.Process
	s.Members[j.Member] = m
	return true
}

// currentProcess returns a member, and whether a process is its current one, the latest that has joined.
func (s *State) currentProcess(id MemberID, process ProcessID) (Member, bool) {
	m, known := s.Members[id]
	return m, known && (m.Process == process || s.faults.acceptEarlierProcesses)
}

// Elect makes a member the leader of its region. It returns false if the candidacy is void: its process is not the
// member's current one, the region's revision has changed, the region has reached lease.MaxIncarnation, or the current
// leader's MembersVersion does not contain the member.
func (s *State) Elect(c Candidacy) bool {
	m, current := s.currentProcess(c.Member, c.Process)
	term := s.Regions[m.Region]
	if !current || term.Revision != c.Previous || term.Incarnation >= lease.MaxIncarnation {
		return false
	}
	ledByAnother := term.Leader != 0 && term.Leader != c.Member
	if ledByAnother && term.MembersVersion < m.AddedVersion && !s.faults.electUnknownMembers {
		return false
	}
	s.Regions[m.Region] = Term{
		Revision:         Revision{Leader: c.Member, Incarnation: term.Incarnation + 1},
		Process:          c.Process,
		LeaderLease:      c.LeaderLease,
		LongestNodeLease: max(term.LongestNodeLease, c.NodeLease),
		MembersVersion:   c.MembersVersion,
	}
	return true
}

// Renew renews the leadership of a region's leader. It returns false if the renewal is void: its process is not the
// region's leader, or the region's revision has changed.
func (s *State) Renew(r Renewal) bool {
	m, current := s.currentProcess(r.Member, r.Process)
	term := s.Regions[m.Region]
	if !current || term.Revision != r.Previous || term.Leader != r.Member || term.Process != r.Process {
		return false
	}
	term.Renewals++
	term.MembersVersion = r.MembersVersion
	if r.EarlierLeasesExpired {
		term.LongestNodeLease = r.NodeLease
	}
	s.Regions[m.Region] = term
	return true
}

// Resign leaves a region without a leader. It returns false if the resignation is void: its process is no longer the
// region's leader.
func (s *State) Resign(r Resignation) bool {
	m, known := s.Members[r.Member]
	term := s.Regions[m.Region]
	if !known || term.Leader != r.Member || term.Process != r.Process || term.Incarnation != r.Previous.Incarnation {
		return false
	}
	s.removeLeader(m.Region, term)
	return true
}
