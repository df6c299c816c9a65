package control

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"net/http/httptest"
	"net/url"
	"path/filepath"
	"testing"
	"time"
	"wingmount/decide/leadership"
	"wingmount/decide/lease"
	"wingmount/decide/placement"
	"wingmount/internal/clusterspec"
	"wingmount/internal/testkit"
)

// The tests of this file look at sums and comparisons of times at the exact instant, and one nanosecond beside it.

func wantDuration(t *testing.T, what string, got, want time.Duration) {
	t.Helper()
	if got != want {
		t.Errorf("%s: got %v, want %v", what, got, want)
	}
}

func TestClockStepTolerance(t *testing.T) {
	cases := []struct {
		name       string
		step, want time.Duration
	}{
		{"forward, as much as is tolerated", time.Millisecond, time.Second},
		{"forward, more", time.Millisecond + 1, time.Second + time.Millisecond + 1},
		{"back, as much as is tolerated", -time.Millisecond, time.Second},
		{"back, more", -time.Hour, time.Second},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			var current clockValues
			clock := newClock(func() clockValues { return current })
			current = clockValues{monotonic: time.Second, wall: time.Second + c.step}
			wantDuration(t, "after a second", clock.now(), c.want)
			// A step back within the tolerance does not become the new offset: half a step forward from there is none.
			current = clockValues{monotonic: 2 * time.Second, wall: 2*time.Second + time.Millisecond/2}
			if c.step == -time.Millisecond {
				wantDuration(t, "half a step forward", clock.now(), 2*time.Second)
			}
		})
	}
	var current clockValues
	clock := newClock(func() clockValues { return current })
	current = clockValues{monotonic: time.Second, wall: time.Second - time.Millisecond - 1}
	wantDuration(t, "after a step back", clock.now(), time.Second)
	current = clockValues{monotonic: 2 * time.Second, wall: 2 * time.Second}
	wantDuration(t, "after the way forward again", clock.now(), 2*time.Second+time.Millisecond+1)
	current = clockValues{monotonic: time.Second, wall: time.Second}
	wantDuration(t, "after a monotonic clock that goes back", clock.now(), 2*time.Second+time.Millisecond+1)
}

// A leader lease leaves room for the latest renewal before a takeover, the longest pause of nodes after it, slack, and
// the drift of clocks.
func TestMaxLeaderLeaseMargins(t *testing.T) {
	wantDuration(t, "a lease whose polls wait as long as they may",
		MaxLeaderLease(30*time.Second, 0, time.Second), 30*time.Second-3*time.Second-2*time.Second-time.Second)
	wantDuration(t, "a lease so short that polls wait a third of it",
		MaxLeaderLease(6*time.Second, 0, time.Second), 6*time.Second-2*time.Second-2*time.Second-time.Second)
	wantDuration(t, "with drift", MaxLeaderLease(30*time.Second, 0.25, time.Second), 18*time.Second)
}

func TestBackoffBounds(t *testing.T) {
	for _, c := range []struct {
		rounds int
		spread time.Duration
	}{{1, 400 * time.Millisecond}, {2, 800 * time.Millisecond}, {4, 2 * time.Second}, {1000, 2 * time.Second}} {
		shortest, longest := time.Hour, time.Duration(0)
		for range 20000 {
			pause := backoff(c.rounds)
			shortest, longest = min(shortest, pause), max(longest, pause)
		}
		if shortest < 100*time.Millisecond || shortest > 100*time.Millisecond+c.spread/100 {
			t.Errorf("after %d rounds: got at least %v, want 100ms", c.rounds, shortest)
		}
		if longest >= 100*time.Millisecond+c.spread || longest < 100*time.Millisecond+c.spread-c.spread/100 {
			t.Errorf("after %d rounds: got at most %v, want 100ms and %v", c.rounds, longest, c.spread)
		}
	}
}

func TestPollTimeouts(t *testing.T) {
	wantDuration(t, "a poll", pollTimeout(lease.Request{AppliedVersion: 1}, 3*time.Second), 5*time.Second)
	wantDuration(t, "a poll for all assignments", pollTimeout(lease.Request{}, 0), 10*time.Second)
}

func TestProposalCheckInterval(t *testing.T) {
	wantDuration(t, "a length of two minutes", proposalCheckInterval(2*time.Minute), time.Second)
	wantDuration(t, "a length of a minute", proposalCheckInterval(time.Minute), time.Second)
	wantDuration(t, "a length of half a minute", proposalCheckInterval(30*time.Second), 500*time.Millisecond)
}

// leasedAgent is an agent whose lease of a duration began when its clock was at 0, and the time of that clock.
func leasedAgent(t *testing.T, duration, pollWait time.Duration) (*Agent, *time.Duration) {
	t.Helper()
	var now time.Duration
	agent, err := NewAgent(AgentConfig{
		Node: "n1", Addresses: []string{"127.0.0.1:9"}, PollWait: pollWait,
		clock: func() clockValues { return clockValues{monotonic: now, wall: now} },
	})
	testkit.Must(t, err)
	request, wait := agent.nextRequest()
	wantDuration(t, "the wait of the first poll", wait, 0)
	now = duration / 2 // the reply comes late: the lease counts from the sending
	testkit.Must(t, agent.handleReply(pollReply{Reply: lease.Reply{
		Incarnation: 1, Session: lease.SessionID(1)<<40 | 1, Sequence: request.Sequence, Duration: duration, Version: 1, Complete: true,
		Assignments: []lease.Assignment{{Destination: 5, Epoch: lease.Epoch(1)<<40 | 1, Quota: 0.5, Accepting: true}},
	}}))
	return agent, &now
}

func TestAgentLeaseEndsExactly(t *testing.T) {
	agent, now := leasedAgent(t, 10*time.Second, 0)
	*now = 10*time.Second - 1
	if !agent.LeaseValid() || agent.LeaseRemaining() != 1 || agent.Quota(5) != 0.5 {
		t.Errorf("1ns before the end: got valid %v, remaining %v, quota %v", agent.LeaseValid(), agent.LeaseRemaining(), agent.Quota(5))
	}
	if delay, inForce := agent.untilExpired(); delay != time.Millisecond+1 || !inForce {
		t.Errorf("1ns before the end: got a look after %v, %v, want after 1ms and 1ns", delay, inForce)
	}
	*now = 10 * time.Second
	if agent.LeaseValid() || agent.LeaseRemaining() != 0 || agent.Quota(5) != 0 {
		t.Errorf("at the end: got valid %v, remaining %v, quota %v", agent.LeaseValid(), agent.LeaseRemaining(), agent.Quota(5))
	}
	if _, inForce := agent.untilExpired(); inForce {
		t.Error("at the end: got a look at an end that has passed")
	}
}

func TestAgentPollWait(t *testing.T) {
	agent, now := leasedAgent(t, 30*time.Second, 0)
	_, wait := agent.nextRequest()
	wantDuration(t, "a long lease", wait, 3*time.Second)
	agent.requestReport()
	_, wait = agent.nextRequest()
	wantDuration(t, "with something to report", wait, 0)
	_, wait = agent.nextRequest()
	wantDuration(t, "after the report", wait, 3*time.Second)
	*now = 30*time.Second - 1
	_, wait = agent.nextRequest()
	wantDuration(t, "1ns before the end", wait, 3*time.Second)
	*now = 30 * time.Second
	_, wait = agent.nextRequest()
	wantDuration(t, "at the end", wait, 0)

	agent, _ = leasedAgent(t, 6*time.Second, 0)
	_, wait = agent.nextRequest()
	wantDuration(t, "a short lease", wait, 2*time.Second)
	agent, _ = leasedAgent(t, 30*time.Second, time.Second)
	_, wait = agent.nextRequest()
	wantDuration(t, "a wait that was set", wait, time.Second)
}

// replyingTransport answers each request at once, and signals that it came.
type replyingTransport struct{ came chan struct{} }

// RoundTrip implements [http.RoundTripper].
func (r replyingTransport) RoundTrip(request *http.Request) (*http.Response, error) {
	select {
	case r.came <- struct{}{}:
	case <-request.Context().Done():
	}
	var poll pollRequest
	if err := json.NewDecoder(request.Body).Decode(&poll); err != nil {
		return nil, err
	}
	response := httptest.NewRecorder()
	writeOK(response, pollReply{Reply: lease.Reply{Incarnation: 1, Sequence: poll.Sequence, ReclaimRequired: true}})
	return response.Result(), nil
}

// Four polls have three gaps between them, however quickly each is answered.
func TestPollsHaveAGap(t *testing.T) {
	came := make(chan struct{})
	agent, err := NewAgent(AgentConfig{Node: "n1", Addresses: []string{"127.0.0.1:9"}, Transport: replyingTransport{came}})
	testkit.Must(t, err)
	log := newTestLog()
	agent.config.Log = log.logger()
	began := time.Now()
	running := run(t, agent.Run)
	for range 4 {
		<-came
	}
	if log.contains("lease not renewed") {
		t.Error("got a failed poll, whose pause is another one")
	}
	if passed := time.Since(began); passed < 600*time.Millisecond {
		t.Errorf("got four polls within %v, want 600ms at least", passed)
	}
	running.stop(t)
}

func TestCachedOwnersExpireExactly(t *testing.T) {
	kept, began := newOwnerCache(5*time.Second, 2), time.Now()
	kept.put(1, []Owner{{Node: "n1"}}, began)
	if _, ok := kept.get(1, began.Add(5*time.Second-1)); !ok {
		t.Error("1ns before its end: got nothing")
	}
	if _, ok := kept.get(1, began.Add(5*time.Second)); ok {
		t.Error("at its end: got owners")
	}
	kept.put(1, nil, began)
	kept.put(2, nil, began.Add(5*time.Second))
	kept.put(3, nil, began.Add(5*time.Second)) // drops the one that is over
	if _, ok := kept.get(2, began.Add(6*time.Second)); !ok {
		t.Error("got one dropped that is not over, want the one that is")
	}
}

// newTestRegionServer returns a server without a listener at a time that the test sets.
func newTestRegionServer(t *testing.T, config ServerConfig, earlier time.Duration, fresh bool) (*Server, *time.Duration) {
	t.Helper()
	var now time.Duration
	folder, err := openStateFolder(t.TempDir())
	testkit.Must(t, err)
	t.Cleanup(func() { testkit.Must(t, folder.close()) })
	s := newRegionServer(config.withDefaults(), serverState{Incarnation: 2, LongestLease: max(earlier, config.Lease)}, earlierLeases{longest: earlier, none: fresh})
	s.folder, s.onGraceEnd = folder, folder.persist
	s.now = func() time.Duration { return now }
	return s, &now
}

func marginConfig(t *testing.T) ServerConfig {
	t.Helper()
	config := testServerConfig(t, testSpec(2, 1))
	config.Lease, config.MaxDrift, config.Slack, config.Window = 9*time.Second, 0.1, 100*time.Millisecond, 2*time.Second
	config.Debounce, config.InitialWait, config.RestartGrace = 500*time.Millisecond, 5*time.Second, time.Minute
	return config
}

// A server that follows another one grants nothing before the longest lease of that one has ended by the slowest clock,
// with slack, and the window that destinations count over.
func TestServerGracePeriod(t *testing.T) {
	for _, c := range []struct {
		name    string
		earlier time.Duration
		fresh   bool
		want    time.Duration
	}{
		{"earlier leases were longer", 18 * time.Second, false, 22100 * time.Millisecond},
		{"earlier leases were shorter", time.Second, false, 12100 * time.Millisecond},
		{"there were none", 0, true, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			s, _ := newTestRegionServer(t, marginConfig(t), c.earlier, c.fresh)
			wantDuration(t, "ready", s.grantor.GraceEnd(), c.want)
			wantDuration(t, "the first placement", s.placementDue, max(c.want, 5*time.Second)+500*time.Millisecond)
		})
	}
}

func TestServerDelaysOfPlacement(t *testing.T) {
	s, now := newTestRegionServer(t, marginConfig(t), 0, true)
	s.placementPending, s.placementDue = false, 0
	s.schedulePlacement(0, 0)
	wantDuration(t, "while nodes are missing", s.placementDue, 5*time.Second)
	s.placementPending = false
	s.schedulePlacement(6*time.Second, 0)
	wantDuration(t, "after the wait for them", s.placementDue, 6500*time.Millisecond)
	s.schedulePlacement(7*time.Second, 0)
	wantDuration(t, "a later one", s.placementDue, 6500*time.Millisecond)
	s.schedulePlacement(0, 0)
	wantDuration(t, "an earlier one", s.placementDue, 5*time.Second)
	s.placementPending = false
	s.schedulePlacement(6*time.Second, 8*time.Second)
	wantDuration(t, "not before a time", s.placementDue, 8*time.Second)

	*now = 8*time.Second - 1
	wantDuration(t, "1ns before it is due", s.runDueWork(t.Context()), time.Millisecond)
	if s.table.Load() != nil {
		t.Error("1ns before it is due: got a placement")
	}
	*now = 8 * time.Second
	s.runDueWork(t.Context())
	if s.table.Load() == nil || s.placementPending {
		t.Error("when it is due: got no placement")
	}
	*now = 9 * time.Second
	s.schedulePlacement(*now, 0)
	wantDuration(t, "once there is a placement, without the wait", s.placementDue, 9500*time.Millisecond)
	wantDuration(t, "the loop waits until then", s.runDueWork(t.Context()), 500*time.Millisecond)
	s.placementPending = false
	wantDuration(t, "the loop waits at most", s.runDueWork(t.Context()), time.Minute)

	s, _ = newTestRegionServer(t, marginConfig(t), 18*time.Second, false)
	s.placementPending = false
	s.schedulePlacement(time.Second, 0)
	wantDuration(t, "not before earlier leases have ended", s.placementDue, 22600*time.Millisecond)
}

// longestOnDisk is the longest lease that a server has on disk, 0 before it has written any.
func longestOnDisk(t *testing.T, s *Server) time.Duration {
	t.Helper()
	var state serverState
	testkit.Must(t, readState(s.folder.file(), &state))
	return state.LongestLease
}

func TestServerFinishesGraceWhenEarlierLeasesHaveExpired(t *testing.T) {
	s, now := newTestRegionServer(t, marginConfig(t), 18*time.Second, false)
	*now = 22100*time.Millisecond - 1
	s.endGrace()
	wantDuration(t, "1ns before they have ended", longestOnDisk(t, s), 0)
	*now = 22100 * time.Millisecond
	s.endGrace()
	wantDuration(t, "when they have ended", longestOnDisk(t, s), 9*time.Second)
}

func TestDepartedNodeStaysEligibleForItsGrace(t *testing.T) {
	s, now := newTestRegionServer(t, marginConfig(t), 0, true)
	poll := pollRequest{Request: lease.Request{Node: "n1", Process: 5, Sequence: 1}}
	id, _, err := s.receivePoll(poll)
	testkit.Must(t, err)
	_, err = s.answerPoll(id, poll, nil)
	testkit.Must(t, err)
	*now = 10 * time.Second
	s.placementPending = false
	_, _, err = s.receivePoll(pollRequest{Request: lease.Request{Node: "n1", Process: 5, Incarnation: 2, Session: id, Sequence: 2, Closing: true}})
	testkit.Must(t, err)
	const ends = 70 * time.Second
	if !s.eligible(ends-1, "n1") || s.eligible(ends, "n1") || s.eligible(ends-1, "n2") {
		t.Errorf("got %v, %v, %v, want the node that left to take part until %v", s.eligible(ends-1, "n1"), s.eligible(ends, "n1"), s.eligible(ends-1, "n2"), ends)
	}
	s.placementPending = false
	s.expireDepartures(ends - 1)
	if _, left := s.departed["n1"]; !left || !s.placementPending {
		t.Error("1ns before its end: the node is forgotten, or no placement is due")
	}
	s.expireDepartures(ends)
	if _, left := s.departed["n1"]; left {
		t.Error("at its end: the node is not forgotten")
	}
}

// A server grants only while its member leads the region: checked when the request comes, and again before the answer.
func TestServerGrantsOnlyWhileLeading(t *testing.T) {
	s, _ := newTestRegionServer(t, marginConfig(t), 0, true)
	valid := true
	s.mayGrant = func() bool { return valid }
	poll := pollRequest{Request: lease.Request{Node: "n1", Process: 5, Sequence: 1}}
	id, _, err := s.receivePoll(poll)
	testkit.Must(t, err)
	valid = false
	if _, err := s.answerPoll(id, poll, nil); !errors.Is(err, errNotLeader) {
		t.Errorf("an answer after the end: got %v", err)
	}
	if _, _, err := s.receivePoll(pollRequest{Request: lease.Request{Node: "n1", Process: 5, Sequence: 2}}); !errors.Is(err, errNotLeader) {
		t.Errorf("a request after the end: got %v", err)
	}
	valid = true
	_, err = s.answerPoll(id, poll, nil)
	testkit.Must(t, err)
}

func TestPollWaitIsBoundedByTheLease(t *testing.T) {
	s, _ := newTestRegionServer(t, marginConfig(t), 0, true)
	for text, want := range map[string]time.Duration{"": 0, "0": 0, "2999": 2999 * time.Millisecond, "3000": 3 * time.Second, "3001": 3 * time.Second, "2147483647": 3 * time.Second} {
		got, err := s.pollWait(&http.Request{URL: &url.URL{RawQuery: "wait=" + text}})
		testkit.Must(t, err)
		wantDuration(t, "wait="+text, got, want)
	}
	for _, text := range []string{"-1", "2147483648", "1.5"} {
		if _, err := s.pollWait(&http.Request{URL: &url.URL{RawQuery: "wait=" + text}}); !errors.Is(err, lease.ErrMalformed) {
			t.Errorf("wait=%s: got %v", text, err)
		}
	}
}

func TestStateFolderBegin(t *testing.T) {
	cases := []struct {
		name            string
		before          serverState
		above           lease.Incarnation
		duration        time.Duration
		want            lease.Incarnation
		longest         time.Duration
		noMoreFollowing bool
	}{
		{name: "the first one", duration: 9 * time.Second, want: 1, longest: 9 * time.Second},
		{name: "a longer lease before", before: serverState{Incarnation: 4, LongestLease: time.Minute}, duration: 9 * time.Second, want: 5, longest: time.Minute},
		{name: "a shorter lease before", before: serverState{Incarnation: 4, LongestLease: time.Second}, duration: 9 * time.Second, want: 5, longest: 9 * time.Second},
		{name: "above the one before", before: serverState{Incarnation: 4}, above: 9, duration: 1, want: 10, longest: 1},
		{name: "above an older one", before: serverState{Incarnation: 4}, above: 3, duration: 1, want: 5, longest: 1},
		{name: "the last one", before: serverState{Incarnation: lease.MaxIncarnation - 1}, duration: 1, want: lease.MaxIncarnation, longest: 1},
		{name: "none after the last", before: serverState{Incarnation: lease.MaxIncarnation}, duration: 1, noMoreFollowing: true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			folder, err := openStateFolder(t.TempDir())
			testkit.Must(t, err)
			defer func() { testkit.Must(t, folder.close()) }()
			testkit.Must(t, folder.persist(c.before))
			next, before, err := folder.beginIncarnation(c.above, c.duration)
			if c.noMoreFollowing {
				if !errors.Is(err, ErrIncarnations) {
					t.Errorf("got %v, want ErrIncarnations", err)
				}
				return
			}
			testkit.Must(t, err)
			if next.Incarnation != c.want || next.LongestLease != c.longest || before.LongestLease != c.before.LongestLease {
				t.Errorf("got %+v after %+v, want incarnation %d and %v", next, before, c.want, c.longest)
			}
			var stored serverState
			testkit.Must(t, readState(folder.file(), &stored))
			if stored.Incarnation != c.want || stored.LongestLease != c.longest {
				t.Errorf("got %+v on disk, want incarnation %d and %v", stored, c.want, c.longest)
			}
		})
	}
}

// A server that is started again waits for what was granted before, whether it is called fresh or not.
func TestRestartedServerWaitsThoughNoEarlierLeasesIsSet(t *testing.T) {
	config := marginConfig(t)
	folder, err := openStateFolder(config.StateDir)
	testkit.Must(t, err)
	testkit.Must(t, folder.persist(serverState{Incarnation: 1, LongestLease: 18 * time.Second}))
	testkit.Must(t, folder.close())
	s, err := NewServer(config)
	testkit.Must(t, err)
	defer func() { testkit.Must(t, errors.Join(s.listener.Close(), s.folder.close())) }()
	wantDuration(t, "ready", s.grantor.GraceEnd(), 22100*time.Millisecond)

	config.StateDir = t.TempDir()
	first, err := NewServer(config)
	testkit.Must(t, err)
	defer func() { testkit.Must(t, errors.Join(first.listener.Close(), first.folder.close())) }()
	wantDuration(t, "the first one is ready", first.grantor.GraceEnd(), 0)

	config.StateDir, config.NoEarlierLeases = t.TempDir(), false
	unsure, err := NewServer(config)
	testkit.Must(t, err)
	defer func() { testkit.Must(t, errors.Join(unsure.listener.Close(), unsure.folder.close())) }()
	wantDuration(t, "one that is not called fresh is ready", unsure.grantor.GraceEnd(), 12100*time.Millisecond)
}

// idleMember is a member that does not run, of a quorum of its own, at a time that the test sets.
func idleMember(t *testing.T) (*Member, *clockValues) {
	t.Helper()
	current := &clockValues{}
	first := QuorumMember{ID: 1, Region: "north", Address: "127.0.0.1:1"}
	config := MemberConfig{ID: 1, Region: "north", InitialMembers: []QuorumMember{first, {ID: 2, Region: "north", Address: "127.0.0.1:2"}}}
	config.ServerConfig = marginConfig(t)
	config.StateDir = filepath.Join(t.TempDir(), "m")
	config.Spec = nil
	config.Leadership = leadership.Config{LeaderLease: time.Minute, MaxDrift: 0.01, Slack: time.Second}
	config.clock = func() clockValues { return *current }
	m, err := NewMember(config)
	testkit.Must(t, err)
	t.Cleanup(func() {
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		testkit.Must(t, m.Run(ctx))
	})
	return m, current
}

// A leader lease follows the clock that counts suspensions; waits for the end of another one's follow the clock that does not.
func TestMemberReadsBothClocks(t *testing.T) {
	m, current := idleMember(t)
	before := m.clockReading()
	current.wall += time.Hour
	after := m.clockReading()
	wantDuration(t, "the latest time after a suspension", after.Latest-before.Latest, time.Hour)
	if passed := after.Earliest - before.Earliest; passed > time.Minute {
		t.Errorf("the earliest time after a suspension: got %v more", passed)
	}
	m.started = m.started.Add(-time.Hour)
	if passed := m.clockReading().Earliest - after.Earliest; passed < time.Hour || passed > time.Hour+time.Minute {
		t.Errorf("the earliest time after an hour: got %v more", passed)
	}
}

// electMember elects the member leader of its region, by a candidacy that was sent when its clock was at 0.
func electMember(t *testing.T, m *Member, earlier leadership.Term) leadership.Term {
	t.Helper()
	book := leadership.NewState([]leadership.Member{{ID: 1, Region: "north"}, {ID: 2, Region: "north"}})
	book.Regions["north"] = earlier
	book.Join(leadership.Join{Member: 1, Process: m.process})
	m.elector.Apply(m.clockReading(), book, 0)
	proposal, some := m.elector.Propose(m.clockReading())
	if !some || proposal.Candidacy == nil || !book.Elect(*proposal.Candidacy) {
		t.Fatalf("got no claim: %+v", proposal)
	}
	m.elector.Apply(m.clockReading(), book, proposal.Candidacy.Nonce)
	m.view = &stateView{replicatedState: replicatedState{Leadership: book, Spec: testSpec(1, 1)}}
	return book.Regions["north"]
}

func TestMemberMayGrantUntilItsLeaderLeaseExpires(t *testing.T) {
	m, current := idleMember(t)
	term := electMember(t, m, leadership.Term{Revision: leadership.Revision{Incarnation: 6}})
	at := func(d time.Duration) { *current = clockValues{monotonic: d, wall: d} }
	at(time.Minute - 1)
	if !m.mayGrant(7) || m.mayGrant(6) || term.Incarnation != 7 {
		t.Errorf("1ns before the end: got %v as 7, %v as 6", m.mayGrant(7), m.mayGrant(6))
	}
	at(time.Minute)
	if m.mayGrant(7) {
		t.Error("at the end: it may grant")
	}
}

// A new leader waits for the longest node lease that the log names, unless it is the first leader of its region.
func TestNewLeaderWaitsForEarlierLeases(t *testing.T) {
	for _, c := range []struct {
		name    string
		earlier leadership.Term
		want    time.Duration
	}{
		{"the first leader", leadership.Term{}, 0},
		{"there was another one", leadership.Term{Revision: leadership.Revision{Incarnation: 1}, LongestNodeLease: 18 * time.Second}, 22100 * time.Millisecond},
	} {
		t.Run(c.name, func(t *testing.T) {
			m, current := idleMember(t)
			term := electMember(t, m, c.earlier)
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			m.startLeading(ctx, term)
			defer m.stopLeading()
			wantDuration(t, "ready", m.leading.server.grantor.GraceEnd(), c.want)
			if incarnation := m.leading.server.grantor.Incarnation(); incarnation != term.Incarnation {
				t.Errorf("got incarnation %d, want %d", incarnation, term.Incarnation)
			}
			*current = clockValues{monotonic: time.Minute - 1, wall: time.Minute - 1}
			if !m.leading.server.mayGrant() {
				t.Error("1ns before the end of its time: it may not grant")
			}
			*current = clockValues{monotonic: time.Minute, wall: time.Minute}
			if m.leading.server.mayGrant() {
				t.Error("at the end of its time: it may grant")
			}
		})
	}
}

// A leader reports to the log that earlier leases have expired once they have, and no earlier.
func TestLeaderReportsThatEarlierLeasesHaveExpired(t *testing.T) {
	m, current := idleMember(t)
	term := electMember(t, m, leadership.Term{Revision: leadership.Revision{Incarnation: 1}, LongestNodeLease: 18 * time.Second})
	config := m.config.ServerConfig
	config.Spec = m.view.Spec
	s := newRegionServer(config, serverState{Incarnation: term.Incarnation, LongestLease: term.LongestNodeLease}, earlierLeases{longest: term.LongestNodeLease})
	s.onGraceEnd = func(serverState) error { m.markEarlierLeasesExpired(); return nil }
	var now time.Duration
	s.now = func() time.Duration { return now }
	renewal := func() leadership.Renewal {
		t.Helper()
		*current = clockValues{monotonic: current.monotonic + 25*time.Second, wall: current.wall + 25*time.Second}
		proposal, some := m.elector.Propose(m.clockReading())
		if !some || proposal.Renewal == nil {
			t.Fatalf("got no renewal: %+v", proposal)
		}
		return *proposal.Renewal
	}
	now = 22100*time.Millisecond - 1
	s.endGrace()
	if renewal().EarlierLeasesExpired {
		t.Error("1ns before: earlier leases are reported as expired")
	}
	now++
	s.endGrace()
	if next := renewal(); !next.EarlierLeasesExpired || next.NodeLease != 9*time.Second {
		t.Errorf("got %+v, want one that reports that earlier leases have expired", next)
	}
}

// Of changes of the spec that follow the same version one takes effect, and parts apply in order only.
func TestChangesFollowTheirPreviousVersion(t *testing.T) {
	machine := newStateMachine(1, func() {})
	part := func(change, after uint64, number int, last bool) error {
		return machine.apply(command{SpecChange: &specChange{Change: change, Previous: after, Part: number, Last: last}}, 1)
	}
	for i, c := range []struct {
		err  error
		want error
	}{
		{part(1, 0, 0, false), nil},
		{part(1, 0, 2, true), ErrConflict},
		{part(2, 0, 1, true), ErrConflict},
		{part(1, 0, 1, true), nil},
		{part(1, 0, 1, true), ErrConflict},
		{part(3, 2, 0, true), ErrConflict},
		{part(3, 1, 0, true), nil},
		{machine.apply(command{Drain: &setDraining{Node: placement.NodeID("n1"), Draining: true, Previous: 1}}, 1), ErrConflict},
		{machine.apply(command{Drain: &setDraining{Node: placement.NodeID("n1"), Draining: true}}, 1), nil},
	} {
		if !errors.Is(c.err, c.want) {
			t.Errorf("change %d: got %v, want %v", i+1, c.err, c.want)
		}
	}
	if err := part(4, 1, 0, true); !errors.Is(err, ErrConflict) {
		t.Errorf("a change that follows an earlier version: got %v", err)
	}
	if err := part(4, 3, 0, true); !errors.Is(err, ErrConflict) {
		t.Errorf("a change that follows a later version: got %v", err)
	}
	machine.state.Staged = &stagedChange{Change: 9, NextPart: 1, Bytes: clusterspec.MaxBytes - 10}
	if err := machine.apply(command{SpecChange: &specChange{Change: 9, Previous: 2, Part: 1}}, 11); !errors.Is(err, ErrConflict) {
		t.Errorf("one byte too many: got %v", err)
	}
	if err := machine.apply(command{SpecChange: &specChange{Change: 9, Previous: 2, Part: 1}}, 10); err != nil {
		t.Errorf("as many bytes as may be: got %v", err)
	}
}

// An incarnation that an operator names stands before the first one of each region, with the lease that may be in force.
func TestInitialLogFollowsAnIncarnation(t *testing.T) {
	config := MemberConfig{ServerConfig: ServerConfig{NoEarlierLeases: true, Lease: 9 * time.Second}, InitialMembers: []QuorumMember{{ID: 2, Region: "north"}, {ID: 1, Region: "south"}}}
	for _, above := range []lease.Incarnation{0, 6} {
		config.AboveIncarnation = above
		first, initial, err := config.initialLog()
		testkit.Must(t, err)
		machine := newStateMachine(1, func() {})
		testkit.Must(t, machine.Restore(initial))
		if len(first) != 2 || first[0] != 1 || first[1] != 2 {
			t.Errorf("got the members %v, want 1 and 2", first)
		}
		for _, region := range []string{"north", "south"} {
			term := machine.state.Leadership.Regions[region]
			want := leadership.Term{}
			if above > 0 {
				want = leadership.Term{Revision: leadership.Revision{Incarnation: 6}, LongestNodeLease: 9 * time.Second}
			}
			if term != want {
				t.Errorf("above %d: got %+v in %s, want %+v", above, term, region, want)
			}
		}
	}
}
