package leadership

import (
	"testing"
	"time"
)

// The tests of this file check the behavior just before each deadline and at it. Expected times are literals, so that they
// do not come from the code under test.
const (
	marginLeaderLease = 20 * time.Second
	// marginWait is the wait for the end of a lease of 20 s: 20 s by a clock that is slow by a tenth, rounded up, plus the
	// slack. marginWaitShort and marginWaitLong are the waits for leases of 5 s and 30 s.
	marginWait      = 22_222_222_223*time.Nanosecond + marginSlack
	marginWaitShort = 5_555_555_556*time.Nanosecond + marginSlack  // 5 s
	marginWaitLong  = 33_333_333_334*time.Nanosecond + marginSlack // 30 s
	marginSlack     = 250 * time.Millisecond
	// latestAhead is how far ClockReading.Latest is ahead of ClockReading.Earliest.
	latestAhead = time.Hour
)

var marginConfig = Config{LeaderLease: marginLeaderLease, MaxDrift: 0.1, Slack: marginSlack, NodeLease: time.Minute}

// at returns a reading whose two clocks differ, so that a test fails if the elector uses the wrong one.
func at(now time.Duration) ClockReading {
	return ClockReading{Latest: now + latestAhead, Earliest: now}
}

// regionState returns a state with three members. The first one leads the region, or no member if the lease is 0.
func regionState(t *testing.T, leaderLease time.Duration) *State {
	t.Helper()
	state := NewState([]Member{{ID: 1, Region: modelRegion}, {ID: 2, Region: modelRegion}, {ID: 3, Region: modelRegion}})
	for id := range MemberID(3) {
		if !state.Join(Join{Member: id + 1, Process: ProcessID(id + 11)}) {
			t.Fatal("Join: got false, want true")
		}
	}
	if leaderLease > 0 {
		electLeader(t, state, 1, leaderLease)
	}
	return state
}

// electLeader makes a member the leader of the region.
func electLeader(t *testing.T, state *State, member MemberID, leaderLease time.Duration) {
	t.Helper()
	candidacy := Candidacy{
		Member: member, Process: ProcessID(member + 10), Previous: state.Regions[modelRegion].Revision,
		LeaderLease: leaderLease, NodeLease: time.Minute, MembersVersion: state.MembersVersion,
	}
	if !state.Elect(candidacy) {
		t.Fatal("Elect: got a void candidacy, want a valid one")
	}
}

// renewLeader renews the leadership of the first member.
func renewLeader(t *testing.T, state *State) {
	t.Helper()
	if !state.Renew(Renewal{Member: 1, Process: 11, Previous: state.Regions[modelRegion].Revision, MembersVersion: state.MembersVersion, NodeLease: time.Minute}) {
		t.Fatal("Renew: got a void renewal, want a valid one")
	}
}

// marginElector returns the elector of a member's process that starts at a time.
func marginElector(member MemberID, start time.Duration) *Elector {
	return NewElector(at(start), Member{ID: member, Region: modelRegion}, ProcessID(member+10), marginConfig)
}

// voteForLeader has an elector vote for the region's leader.
func voteForLeader(t *testing.T, elector *Elector, now ClockReading, state *State) {
	t.Helper()
	term := state.Regions[modelRegion]
	if !elector.Vote(now, VoteRequest{Region: modelRegion, Leader: term.Leader, Process: term.Process, Revision: term.Revision, Nonce: 1}) {
		t.Fatal("got no vote, want one")
	}
}

// A successor must not propose a candidacy while the leader may still grant leases by its own clock. Otherwise both grant
// leases at the same time. It must propose one as soon as its wait has ended.
func TestSuccessorProposesCandidacyAfterWait(t *testing.T) {
	const longAgo = -time.Hour // start of a process whose initial wait has ended
	for _, test := range []struct {
		name    string
		prepare func(t *testing.T) *Elector
		want    time.Duration
	}{
		{"after the election was applied", func(t *testing.T) *Elector {
			t.Helper()
			elector := marginElector(2, longAgo)
			elector.Apply(at(100*time.Second), regionState(t, marginLeaderLease), 0)
			return elector
		}, 100*time.Second + marginWait},
		{"after a renewal was applied", func(t *testing.T) *Elector {
			t.Helper()
			elector, state := marginElector(2, longAgo), regionState(t, marginLeaderLease)
			elector.Apply(at(100*time.Second), state.Clone(), 0)
			renewLeader(t, state)
			elector.Apply(at(110*time.Second), state, 0)
			return elector
		}, 110*time.Second + marginWait},
		{"unchanged by entries that do not concern the region", func(t *testing.T) *Elector {
			t.Helper()
			elector, state := marginElector(2, longAgo), regionState(t, marginLeaderLease)
			elector.Apply(at(100*time.Second), state.Clone(), 0)
			elector.Apply(at(110*time.Second), state, 0)
			return elector
		}, 100*time.Second + marginWait},
		{"a leader with a longer lease", func(t *testing.T) *Elector {
			t.Helper()
			elector := marginElector(2, longAgo)
			elector.Apply(at(100*time.Second), regionState(t, 30*time.Second), 0)
			return elector
		}, 100*time.Second + marginWaitLong},
		{"a leader with a shorter lease", func(t *testing.T) *Elector {
			t.Helper()
			elector := marginElector(2, longAgo)
			elector.Apply(at(100*time.Second), regionState(t, 5*time.Second), 0)
			return elector
		}, 100*time.Second + marginWaitShort},
		{"after its vote", func(t *testing.T) *Elector {
			t.Helper()
			elector, state := marginElector(2, longAgo), regionState(t, marginLeaderLease)
			elector.Apply(at(100*time.Second), state, 0)
			voteForLeader(t, elector, at(110*time.Second), state)
			return elector
		}, 110*time.Second + marginWait},
		{"after a vote for a longer lease than that of a later vote", func(t *testing.T) *Elector {
			t.Helper()
			elector, state := marginElector(2, longAgo), regionState(t, 30*time.Second)
			elector.Apply(at(100*time.Second), state.Clone(), 0)
			voteForLeader(t, elector, at(110*time.Second), state)
			electLeader(t, state, 3, 5*time.Second)
			elector.Apply(at(111*time.Second), state.Clone(), 0)
			voteForLeader(t, elector, at(112*time.Second), state)
			return elector
		}, 110*time.Second + marginWaitLong},
		{"after the start of its process", func(t *testing.T) *Elector {
			t.Helper()
			elector := marginElector(2, 100*time.Second)
			elector.Apply(at(100*time.Second), regionState(t, 5*time.Second), 0)
			return elector
		}, 100*time.Second + marginWait},
		{"after its clock went back", func(t *testing.T) *Elector {
			t.Helper()
			elector := marginElector(2, longAgo)
			elector.Apply(at(100*time.Second), regionState(t, marginLeaderLease), 0)
			back := at(110 * time.Second)
			back.Latest = at(100*time.Second).Latest - 1
			elector.Leading(back)
			return elector
		}, 110*time.Second + marginWait},
		{"after its clock stopped", func(t *testing.T) *Elector {
			t.Helper()
			elector := marginElector(2, longAgo)
			elector.Apply(at(100*time.Second), regionState(t, marginLeaderLease), 0)
			stopped := at(110 * time.Second)
			stopped.Latest = at(100 * time.Second).Latest
			elector.Leading(stopped)
			return elector
		}, 100*time.Second + marginWait},
		{"after its clock went back, a leader with a shorter lease", func(t *testing.T) *Elector {
			t.Helper()
			elector := marginElector(2, longAgo)
			elector.Apply(at(100*time.Second), regionState(t, 5*time.Second), 0)
			back := at(110 * time.Second)
			back.Latest = at(100*time.Second).Latest - 1
			elector.Leading(back)
			return elector
		}, 110*time.Second + marginWait},
		{"after its clock went back under a longer lease, a later leader with a shorter one", func(t *testing.T) *Elector {
			t.Helper()
			elector, state := marginElector(2, longAgo), regionState(t, 30*time.Second)
			elector.Apply(at(100*time.Second), state.Clone(), 0)
			back := at(110 * time.Second)
			back.Latest = at(100*time.Second).Latest - 1
			elector.Leading(back)
			electLeader(t, state, 3, 5*time.Second)
			elector.Apply(at(111*time.Second), state, 0)
			return elector
		}, 110*time.Second + marginWaitLong},
	} {
		t.Run(test.name, func(t *testing.T) {
			elector := test.prepare(t)
			if proposal, ok := elector.Propose(at(test.want - 1)); ok {
				t.Errorf("just before %v: got %+v, want no proposal", test.want, proposal)
			}
			if proposal, ok := elector.Propose(at(test.want)); !ok || proposal.Candidacy == nil {
				t.Errorf("at %v: got %+v, want a candidacy", test.want, proposal)
			}
		})
	}
}

// The wait counts by ClockReading.Earliest. If it counted by Latest, setting the wall clock forward would end the wait
// while the leader may still grant leases.
func TestSuccessorWaitIgnoresLatestClock(t *testing.T) {
	elector := marginElector(2, -time.Hour)
	elector.Apply(at(100*time.Second), regionState(t, marginLeaderLease), 0)
	now := at(100*time.Second + marginWait - 1)
	now.Latest += 24 * time.Hour
	if proposal, ok := elector.Propose(now); ok {
		t.Errorf("after Latest was set forward: got %+v, want no proposal", proposal)
	}
}

// electedLeader returns an elector of the first member, and the state. The elector's candidacy was sent at 100 s and took
// effect at 115 s.
func electedLeader(t *testing.T) (*Elector, *State) {
	t.Helper()
	elector, state := marginElector(1, 0), regionState(t, 0)
	elector.Apply(at(0), state.Clone(), 0)
	proposal, ok := elector.Propose(at(100 * time.Second))
	if !ok || proposal.Candidacy == nil || !state.Elect(*proposal.Candidacy) {
		t.Fatalf("got %+v, want a candidacy that takes effect", proposal)
	}
	elector.Apply(at(115*time.Second), state.Clone(), proposal.Candidacy.Nonce)
	return elector, state
}

// renewElected has a leader send a renewal at one time and apply it at another.
func renewElected(t *testing.T, elector *Elector, state *State, sent, applied time.Duration) {
	t.Helper()
	proposal, ok := elector.Propose(at(sent))
	if !ok || proposal.Renewal == nil || !state.Renew(*proposal.Renewal) {
		t.Fatalf("got %+v, want a renewal that takes effect", proposal)
	}
	elector.Apply(at(applied), state.Clone(), proposal.Renewal.Nonce)
}

// collectVotes has a leader request votes at one time, and receive the votes of all other members at another.
func collectVotes(t *testing.T, elector *Elector, sent, received time.Duration) {
	t.Helper()
	request, voters, ok := elector.RequestVotes(at(sent))
	if !ok || len(voters) != 2 {
		t.Fatalf("got a request to members %v, want one to two members", voters)
	}
	for _, other := range voters {
		elector.RecordVote(at(received), request.Nonce, other)
	}
}

// A leader's lease counts from the sending of the proposal or request that extended it, and votes count only from all
// members and for the current revision. Otherwise the lease outlasts the successors' waits.
func TestLeaderLeaseExpiresDurationAfterSending(t *testing.T) {
	for _, test := range []struct {
		name   string
		extend func(t *testing.T, elector *Elector, state *State)
		want   time.Duration
	}{
		{"by its election", func(*testing.T, *Elector, *State) {}, 120 * time.Second},
		{"by a renewal", func(t *testing.T, elector *Elector, state *State) {
			t.Helper()
			renewElected(t, elector, state, 117*time.Second, 118*time.Second)
		}, 137 * time.Second},
		{"by votes", func(t *testing.T, elector *Elector, _ *State) {
			t.Helper()
			collectVotes(t, elector, 117*time.Second, 119*time.Second)
		}, 137 * time.Second},
		{"without the vote of one", func(t *testing.T, elector *Elector, _ *State) {
			t.Helper()
			request, voters, _ := elector.RequestVotes(at(117 * time.Second))
			elector.RecordVote(at(118*time.Second), request.Nonce, voters[0])
		}, 120 * time.Second},
		{"by a renewal that was sent before the votes", func(t *testing.T, elector *Elector, state *State) {
			t.Helper()
			proposal, _ := elector.Propose(at(116 * time.Second))
			collectVotes(t, elector, 118*time.Second, 119*time.Second)
			if !state.Renew(*proposal.Renewal) {
				t.Fatal("Renew: got a void renewal, want a valid one")
			}
			elector.Apply(at(119*time.Second), state, proposal.Renewal.Nonce)
		}, 138 * time.Second},
		{"by votes requested before a renewal", func(t *testing.T, elector *Elector, state *State) {
			t.Helper()
			request, voters, _ := elector.RequestVotes(at(117 * time.Second))
			renewLeader(t, state)
			elector.Apply(at(118*time.Second), state, 0)
			for _, other := range voters {
				elector.RecordVote(at(119*time.Second), request.Nonce, other)
			}
		}, 120 * time.Second},
	} {
		t.Run(test.name, func(t *testing.T) {
			elector, state := electedLeader(t)
			test.extend(t, elector, state)
			if got := elector.LeaseExpiry(); got != at(test.want).Latest {
				t.Errorf("lease expiry: got %v, want %v", got, at(test.want).Latest)
			}
			if _, leading := elector.Leading(at(test.want - 1)); !leading {
				t.Errorf("just before %v: got not leading, want leading", test.want)
			}
			if _, leading := elector.Leading(at(test.want)); leading {
				t.Errorf("at %v: got leading, want not leading", test.want)
			}
		})
	}
}

// When the clock goes back, the leader's lease ends, and no proposal or vote from before may extend it: their sending times
// are no longer meaningful.
func TestLeaderClockGoingBackEndsLease(t *testing.T) {
	elector, state := electedLeader(t)
	proposal, _ := elector.Propose(at(116 * time.Second))
	request, voters, _ := elector.RequestVotes(at(116 * time.Second))
	if _, leading := elector.Leading(at(116 * time.Second)); !leading {
		t.Error("with an unchanged clock: got not leading, want leading")
	}
	if _, leading := elector.Leading(at(116*time.Second - 1)); leading {
		t.Error("after the clock went back: got leading, want not leading")
	}
	for _, other := range voters {
		elector.RecordVote(at(117*time.Second), request.Nonce, other)
	}
	if !state.Renew(*proposal.Renewal) {
		t.Fatal("Renew: got a void renewal, want a valid one")
	}
	elector.Apply(at(117*time.Second), state.Clone(), proposal.Renewal.Nonce)
	if _, leading := elector.Leading(at(117 * time.Second)); leading {
		t.Error("after votes and a renewal from before the step back: got leading, want not leading")
	}
	// The leader renews at once by the clock's current time.
	renewElected(t, elector, state, 117*time.Second, 118*time.Second)
	if got, want := elector.LeaseExpiry(), at(137*time.Second).Latest; got != want {
		t.Errorf("lease expiry: got %v, want %v", got, want)
	}
}

// checkFirstInstant checks that an event occurs at a time, and does not occur just before it.
func checkFirstInstant(t *testing.T, event string, want time.Duration, occurs func(now ClockReading) bool) {
	t.Helper()
	if occurs(at(want - 1)) {
		t.Errorf("just before %v: got %s, want none", want, event)
	}
	if !occurs(at(want)) {
		t.Errorf("at %v: got no event, want %s", want, event)
	}
}

// A leader has to renew early enough to retry before its lease ends. It requests votes only late in its lease, and repeats
// proposals and requests no more often than each twentieth of the lease.
func TestLeaderRenewsAndRequestsVotesInTime(t *testing.T) {
	elector, state := electedLeader(t)
	proposes := func(now ClockReading) bool { _, ok := elector.Propose(now); return ok }
	requestsVotes := func(now ClockReading) bool { _, _, ok := elector.RequestVotes(now); return ok }
	third := marginLeaderLease / 3
	renewElected(t, elector, state, 115*time.Second, 115*time.Second) // the lease ends at 135 s
	checkFirstInstant(t, "a renewal", 135*time.Second-marginLeaderLease+third, proposes)
	sent := 135*time.Second - marginLeaderLease + third
	checkFirstInstant(t, "another renewal", sent+time.Second, proposes)
	checkFirstInstant(t, "a round of votes", 135*time.Second-third, requestsVotes)
	checkFirstInstant(t, "another round of votes", 135*time.Second-third+time.Second, requestsVotes)
}

// After its clock goes back, a process must not wait until the clock reaches the time of its latest proposal again.
func TestElectorClockGoingBackProposesAtOnce(t *testing.T) {
	elector, _ := electedLeader(t)
	if _, ok := elector.Propose(at(116 * time.Second)); !ok {
		t.Fatal("before the clock went back: got no proposal, want a renewal")
	}
	if proposal, ok := elector.Propose(at(110 * time.Second)); !ok || proposal.Renewal == nil {
		t.Errorf("after the clock went back: got %+v, want a renewal", proposal)
	}
}

// A process proposes at once when it starts. A proposal without effect is repeated a twentieth of the leader lease later.
func TestElectorRepeatsProposalWithoutEffect(t *testing.T) {
	elector := marginElector(1, 100*time.Second)
	elector.Apply(at(100*time.Second), NewState([]Member{{ID: 1, Region: modelRegion}}), 0)
	if proposal, ok := elector.Propose(at(100 * time.Second)); !ok || proposal.Join == nil {
		t.Errorf("at the start: got %+v, want a join", proposal)
	}
	checkFirstInstant(t, "another proposal", 101*time.Second, func(now ClockReading) bool { _, ok := elector.Propose(now); return ok })
}

// The longest node lease of a region must decrease only once leases granted by earlier leaders have expired. A new leader
// waits for leases of that duration.
func TestLongestNodeLeaseDecreasesAfterEarlierLeasesExpire(t *testing.T) {
	state := regionState(t, 0)
	elect := func(member MemberID, nodeLease time.Duration) {
		t.Helper()
		term := state.Regions[modelRegion]
		if !state.Elect(Candidacy{
			Member: member, Process: ProcessID(member + 10), Previous: term.Revision, LeaderLease: marginLeaderLease,
			NodeLease: nodeLease, MembersVersion: state.MembersVersion,
		}) {
			t.Fatal("Elect: got a void candidacy, want a valid one")
		}
	}
	renew := func(earlierLeasesExpired bool) {
		t.Helper()
		term := state.Regions[modelRegion]
		if !state.Renew(Renewal{
			Member: term.Leader, Process: term.Process, Previous: term.Revision, MembersVersion: state.MembersVersion,
			EarlierLeasesExpired: earlierLeasesExpired, NodeLease: 10 * time.Second,
		}) {
			t.Fatal("Renew: got a void renewal, want a valid one")
		}
	}
	for _, step := range []struct {
		name string
		run  func()
		want time.Duration
	}{
		{"the first election", func() { elect(1, time.Minute) }, time.Minute},
		{"an election with shorter leases", func() { elect(2, 10*time.Second) }, time.Minute},
		{"a renewal", func() { renew(false) }, time.Minute},
		{"a renewal after earlier leases have expired", func() { renew(true) }, 10 * time.Second},
		{"an election with longer leases", func() { elect(1, 2*time.Minute) }, 2 * time.Minute},
	} {
		step.run()
		if got := state.Regions[modelRegion].LongestNodeLease; got != step.want {
			t.Errorf("%s: got %v, want %v", step.name, got, step.want)
		}
	}
}
