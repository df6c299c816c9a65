package leadership

import (
	"testing"
	"time"
)

// settle makes all processes join and apply the log, and makes the first process the leader.
func (m *model) settle(t *testing.T) {
	t.Helper()
	for _, p := range m.processes {
		m.propose(p) // the join
		m.commit(0, false)
	}
	m.advance(modelLeaderLease / retriesPerLease)
	m.processes[0].catchUp(m.log, len(m.log))
	m.propose(m.processes[0])
	m.commit(0, false)
	for _, p := range m.processes {
		p.catchUp(m.log, len(m.log))
	}
	if _, leading := m.processes[0].elector.Leading(m.processes[0].clock); !leading {
		t.Fatal("first process: got not leading, want leading")
	}
}

// exchangeVotes has the first process request votes, and delivers all requests and votes.
func (m *model) exchangeVotes() {
	m.requestVotes(m.processes[0])
	for len(m.voteMessages) > 0 {
		m.deliver(0, false)
	}
}

// leading reports whether a process may grant leases now.
func (m *model) leading(p *process) bool {
	_, leading := p.elector.Leading(p.clock)
	return leading
}

// A successor must not propose a candidacy before the lease of a leader that no longer renews has expired by any clock.
// Otherwise both lead at the same time. Setting the successor's wall clock must not shorten its wait.
func TestSuccessorWaitsForEndOfLeaderLease(t *testing.T) {
	m := newModel(2, faults{})
	m.settle(t)
	successor := m.processes[1]
	m.advance(modelLeaderLease)
	if m.leading(m.processes[0]) {
		t.Error("without a renewal: got leading, want not leading")
	}
	if _, ok := successor.elector.Propose(successor.clock); ok {
		t.Error("within the drift of the leader's clock: got a candidacy, want none")
	}
	successor.clock.Latest += time.Hour // the wall clock is set forward
	if _, ok := successor.elector.Propose(successor.clock); ok {
		t.Error("after the wall clock was set: got a candidacy, want none")
	}
	m.advance(modelLeaderLease / 4)
	m.propose(successor)
	m.commit(len(m.proposals)-1, false)
	successor.catchUp(m.log, len(m.log))
	if incarnation, leading := successor.elector.Leading(successor.clock); !leading || incarnation != 2 {
		t.Errorf("successor: got leading %v with incarnation %d, want true with incarnation 2", leading, incarnation)
	}
}

// A leader that renews stays leader, and its lease counts from the sending of the renewal. If it counted from the
// application, a delayed renewal would make the lease outlast the other members' wait.
func TestRenewalExtendsLeaseFromSending(t *testing.T) {
	m := newModel(2, faults{})
	m.settle(t)
	leader := m.processes[0]
	for range 5 {
		m.advance(modelLeaderLease / 2)
		sent := leader.clock.Latest
		m.propose(leader)
		m.advance(modelLeaderLease / 4)
		m.commit(0, false)
		leader.catchUp(m.log, len(m.log))
		if got := leader.elector.LeaseExpiry(); got != sent+modelLeaderLease {
			t.Fatalf("lease expiry: got %v, want %v after the renewal was sent at %v", got, modelLeaderLease, sent)
		}
	}
	if renewals := leader.elector.Term().Renewals; renewals != 5 {
		t.Errorf("got %d renewals, want 5", renewals)
	}
}

// Without the quorum a leader stays leader while all other members of its region vote for it, and only then: a member
// that has not voted may become leader.
func TestLeaderWithoutQuorumNeedsAllVotes(t *testing.T) {
	m := newModel(3, faults{})
	m.settle(t)
	for range 10 {
		m.advance(modelLeaderLease / 2)
		m.exchangeVotes()
		if !m.leading(m.processes[0]) {
			t.Fatal("with all votes: got not leading, want leading")
		}
	}
	for _, p := range m.processes[1:] {
		m.propose(p)
	}
	if len(m.proposals) != 0 {
		t.Error("after a member's vote: got a proposal, want none")
	}
	m.processes = m.processes[:2]
	m.advance(modelLeaderLease / 2)
	m.requestVotes(m.processes[0])
	for len(m.voteMessages) > 0 {
		m.deliver(0, false)
	}
	m.advance(modelLeaderLease)
	if m.leading(m.processes[0]) {
		t.Error("without one member's vote: got leading, want not leading")
	}
}

// After a resignation the successor must become leader immediately, before the end of the lease. The only member of a
// region must remain leader without the quorum and without votes.
func TestSuccessorOfResignedLeaderLeadsAtOnce(t *testing.T) {
	m := newModel(2, faults{})
	m.settle(t)
	m.resign(m.processes[0])
	m.commit(0, false)
	successor := m.processes[1]
	successor.catchUp(m.log, len(m.log))
	m.propose(successor)
	m.commit(0, false)
	successor.catchUp(m.log, len(m.log))
	if !m.leading(successor) || m.leading(m.processes[0]) {
		t.Errorf("after the resignation: got successor leading %v and former leader leading %v, want true and false", m.leading(successor), m.leading(m.processes[0]))
	}
	single := newModel(1, faults{})
	single.settle(t)
	single.advance(modelLeaderLease * 3 / 4)
	if _, voters, ok := single.processes[0].elector.RequestVotes(single.processes[0].clock); !ok || len(voters) != 0 {
		t.Errorf("single member: got a request %v to members %v, want a request to no member", ok, voters)
	}
	single.advance(modelLeaderLease / 2)
	if !single.leading(single.processes[0]) {
		t.Error("single member without the quorum: got not leading, want leading")
	}
}

// A candidacy of a member's earlier process must be void once its next process has joined. The next process votes for the
// leader, so a late commit of the candidacy would make two leaders.
func TestCandidacyOfEarlierProcessIsVoid(t *testing.T) {
	for _, injected := range []faults{{}, {acceptEarlierProcesses: true}} {
		m := newModel(2, injected)
		m.settle(t)
		m.advance(2 * modelLeaderLease)
		m.propose(m.processes[1]) // the candidacy stays in flight
		late := m.proposals[0]
		m.proposals = nil
		m.restart(m.processes[1], 1)
		successor := m.processes[1]
		successor.catchUp(m.log, len(m.log))
		m.propose(successor) // the join
		m.commit(0, false)
		successor.catchUp(m.log, len(m.log))
		m.advance(modelLeaderLease / retriesPerLease)
		m.exchangeVotes()
		if !m.leading(m.processes[0]) {
			t.Fatal("after the vote of the next process: got not leading, want leading")
		}
		m.log = append(m.log, late)
		successor.catchUp(m.log, len(m.log))
		m.propose(successor)
		for len(m.proposals) > 0 {
			m.commit(0, false)
		}
		successor.catchUp(m.log, len(m.log))
		if err := m.check(); (err != nil) != injected.acceptEarlierProcesses {
			t.Errorf("faults %+v: got %v, want a violation only with the fault", injected, err)
		}
	}
}

// A member that is added while the leader has no connection to the quorum must not be elected: the leader does not request
// its vote, so both would lead at the same time.
func TestMemberUnknownToLeaderIsNotElected(t *testing.T) {
	for _, injected := range []faults{{}, {electUnknownMembers: true}} {
		m := newModel(2, injected)
		m.settle(t)
		m.addMember(1)
		for len(m.proposals) > 0 {
			m.commit(0, false)
		}
		added := m.processes[2]
		added.catchUp(m.log, len(m.log))
		m.propose(added) // the join
		m.commit(0, false)
		added.catchUp(m.log, len(m.log))
		for range 4 {
			m.advance(modelLeaderLease / 2)
			m.exchangeVotes()
		}
		m.propose(added)
		for len(m.proposals) > 0 {
			m.commit(0, false)
		}
		added.catchUp(m.log, len(m.log))
		if err := m.check(); (err != nil) != injected.electUnknownMembers {
			t.Errorf("faults %+v: got %v, want a violation only with the fault", injected, err)
		}
	}
}

// A new leader with shorter leases has to wait for the longer leases that an earlier leader granted, so the log retains
// the longest duration until those leases have expired.
func TestLongestNodeLeaseIsRetainedAcrossLeaders(t *testing.T) {
	m := newModel(2, faults{})
	m.processes[1].elector.config.NodeLease = 10 * time.Second
	m.settle(t)
	m.resign(m.processes[0])
	m.commit(0, false)
	successor := m.processes[1]
	successor.catchUp(m.log, len(m.log))
	m.propose(successor)
	m.commit(0, false)
	successor.catchUp(m.log, len(m.log))
	if got := successor.elector.Term().LongestNodeLease; got != modelConfig.NodeLease {
		t.Errorf("longest node lease after the election: got %v, want %v", got, modelConfig.NodeLease)
	}
	successor.elector.MarkEarlierLeasesExpired()
	m.advance(modelLeaderLease / 2)
	m.propose(successor)
	m.commit(0, false)
	successor.catchUp(m.log, len(m.log))
	if got := successor.elector.Term().LongestNodeLease; got != 10*time.Second {
		t.Errorf("longest node lease after earlier leases have expired: got %v, want 10s", got)
	}
}

// Proposals of an unknown member must be void, member IDs must be unique and not 0, and a region whose leader is removed
// has no leader.
func TestStateRejectsUnknownAndDuplicateMembers(t *testing.T) {
	state := NewState([]Member{{ID: 1, Region: modelRegion}})
	if state.AddMember(1, "other") || state.AddMember(0, "other") || !state.AddMember(2, "other") || state.MembersVersion != 2 {
		t.Errorf("after AddMember: got %+v, want one added member and version 2", state)
	}
	if state.Elect(Candidacy{Member: 9}) || state.Renew(Renewal{Member: 9}) || state.Resign(Resignation{Member: 9}) || state.Join(Join{Member: 9, Process: 1}) || state.RemoveMember(9) {
		t.Error("proposal of an unknown member: got an effect, want none")
	}
	if !state.Elect(Candidacy{Member: 1}) || !state.RemoveMember(1) || state.Regions[modelRegion].Leader != 0 {
		t.Errorf("after the removal of the leader: got %+v, want no leader", state.Regions)
	}
}

// A join that is committed twice must not make an earlier process current again: its candidacies would take effect.
func TestRepeatedJoinOfEarlierProcessIsVoid(t *testing.T) {
	for _, injected := range []faults{{}, {acceptStaleJoin: true}} {
		state := NewState([]Member{{ID: 1, Region: modelRegion}})
		state.faults = injected
		earlier := Join{Member: 1, Process: 5}
		if !state.Join(earlier) || !state.Join(Join{Member: 1, Process: 6, Previous: 5}) {
			t.Fatal("Join of two processes in turn: got false, want true")
		}
		state.Join(earlier)
		if restored := state.Members[1].Process == 5; restored != injected.acceptStaleJoin {
			t.Errorf("faults %+v: got current process %d, want 5 only with the fault", injected, state.Members[1].Process)
		}
	}
}
