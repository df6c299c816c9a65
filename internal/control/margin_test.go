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

// The tests of this file check times at the exact limit, and one nanosecond before or after it.

func checkDuration(t *testing.T, what string, got, want time.Duration) {
	t.Helper()
	if got != want {
		t.Errorf("%s: got %v, want %v", what, got, want)
	}
}

func TestClockIgnoresStepsWithinTolerance(t *testing.T) {
	cases := []struct {
		name       string
		step, want time.Duration
	}{
		{"forward, at the tolerance", time.Millisecond, time.Second},
		{"forward, above the tolerance", time.Millisecond + 1, time.Second + time.Millisecond + 1},
		{"backward, at the tolerance", -time.Millisecond, time.Second},
		{"backward, above the tolerance", -time.Hour, time.Second},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			var current clockValues
			clock := newClock(func() clockValues { return current })
			current = clockValues{monotonic: time.Second, wall: time.Second + c.step}
			checkDuration(t, "after a second", clock.now(), c.want)
			// A backward step within the tolerance does not change the offset. The following forward change is compared
			// with the original offset, and is within the tolerance too.
			current = clockValues{monotonic: 2 * time.Second, wall: 2*time.Second + time.Millisecond/2}
			if c.step == -time.Millisecond {
				checkDuration(t, "after a forward change within the tolerance", clock.now(), 2*time.Second)
			}
		})
	}
	var current clockValues
	clock := newClock(func() clockValues { return current })
	current = clockValues{monotonic: time.Second, wall: time.Second - time.Millisecond - 1}
	checkDuration(t, "after a backward step", clock.now(), time.Second)
	current = clockValues{monotonic: 2 * time.Second, wall: 2 * time.Second}
	checkDuration(t, "after the wall clock stepped forward again", clock.now(), 2*time.Second+time.Millisecond+1)
	current = clockValues{monotonic: time.Second, wall: time.Second}
	checkDuration(t, "after the monotonic clock went back", clock.now(), 2*time.Second+time.Millisecond+1)
}

// A leader lease leaves a margin for the time since a node's latest renewal, a node's pause of maxBackoff, the slack and
// the drift of clocks.
func TestMaxLeaderLeaseSubtractsMargins(t *testing.T) {
	checkDuration(t, "polls that wait for DefaultPollWait",
		MaxLeaderLease(30*time.Second, 0, time.Second), 30*time.Second-3*time.Second-2*time.Second-time.Second)
	checkDuration(t, "polls that wait for a third of a short lease",
		MaxLeaderLease(6*time.Second, 0, time.Second), 6*time.Second-2*time.Second-2*time.Second-time.Second)
	checkDuration(t, "with drift", MaxLeaderLease(30*time.Second, 0.25, time.Second), 18*time.Second)
}

func TestBackoffStaysWithinBounds(t *testing.T) {
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
			t.Errorf("after %d rounds: got a minimum of %v, want 100ms", c.rounds, shortest)
		}
		if longest >= 100*time.Millisecond+c.spread || longest < 100*time.Millisecond+c.spread-c.spread/100 {
			t.Errorf("after %d rounds: got a maximum of %v, want almost 100ms + %v", c.rounds, longest, c.spread)
		}
	}
}

func TestPollTimeoutIsLongerForCompleteReply(t *testing.T) {
	checkDuration(t, "a poll with assignments", pollTimeout(lease.Request{AppliedVersion: 1}, 3*time.Second), 5*time.Second)
	checkDuration(t, "a poll for all assignments", pollTimeout(lease.Request{}, 0), 10*time.Second)
}

func TestProposalCheckIntervalIsAtMostOneSecond(t *testing.T) {
	checkDuration(t, "a leader lease of two minutes", proposalCheckInterval(2*time.Minute), time.Second)
	checkDuration(t, "a leader lease of a minute", proposalCheckInterval(time.Minute), time.Second)
	checkDuration(t, "a leader lease of half a minute", proposalCheckInterval(30*time.Second), 500*time.Millisecond)
}

// newLeasedAgent returns an agent with a lease that began when its clock was at 0, and the time of that clock, which the
// test may set.
func newLeasedAgent(t *testing.T, duration, pollWait time.Duration) (*Agent, *time.Duration) {
	t.Helper()
	var now time.Duration
	agent, err := NewAgent(AgentConfig{
		Node: "n1", Addresses: []string{"127.0.0.1:9"}, PollWait: pollWait,
		clock: func() clockValues { return clockValues{monotonic: now, wall: now} },
	})
	testkit.Must(t, err)
	request, wait := agent.nextRequest()
	checkDuration(t, "the wait of the first poll", wait, 0)
	now = duration / 2 // the lease starts when the request is sent, not when the reply arrives
	testkit.Must(t, agent.handleReply(pollReply{Reply: lease.Reply{
		Incarnation: 1, Session: lease.SessionID(1)<<40 | 1, Sequence: request.Sequence, Duration: duration, Version: 1, Complete: true,
		Assignments: []lease.Assignment{{Destination: 5, Epoch: lease.Epoch(1)<<40 | 1, Quota: 0.5, Accepting: true}},
	}}))
	return agent, &now
}

func TestAgentLeaseExpiresAtExactTime(t *testing.T) {
	agent, now := newLeasedAgent(t, 10*time.Second, 0)
	*now = 10*time.Second - 1
	if !agent.LeaseValid() || agent.LeaseRemaining() != 1 || agent.Quota(5) != 0.5 {
		t.Errorf("1ns before expiry: got valid %v, remaining %v, quota %v, want true, 1ns, 0.5", agent.LeaseValid(), agent.LeaseRemaining(), agent.Quota(5))
	}
	if delay, valid := agent.untilExpired(); delay != time.Millisecond+1 || !valid {
		t.Errorf("1ns before expiry: got delay %v, valid %v, want 1.000001ms, true", delay, valid)
	}
	*now = 10 * time.Second
	if agent.LeaseValid() || agent.LeaseRemaining() != 0 || agent.Quota(5) != 0 {
		t.Errorf("at expiry: got valid %v, remaining %v, quota %v, want false, 0, 0", agent.LeaseValid(), agent.LeaseRemaining(), agent.Quota(5))
	}
	if _, valid := agent.untilExpired(); valid {
		t.Error("at expiry: got a valid lease")
	}
}

func TestAgentPollWaitDependsOnLeaseAndReports(t *testing.T) {
	agent, now := newLeasedAgent(t, 30*time.Second, 0)
	_, wait := agent.nextRequest()
	checkDuration(t, "a long lease", wait, 3*time.Second)
	agent.requestReport()
	_, wait = agent.nextRequest()
	checkDuration(t, "with a pending report", wait, 0)
	_, wait = agent.nextRequest()
	checkDuration(t, "after the report", wait, 3*time.Second)
	*now = 30*time.Second - 1
	_, wait = agent.nextRequest()
	checkDuration(t, "1ns before expiry", wait, 3*time.Second)
	*now = 30 * time.Second
	_, wait = agent.nextRequest()
	checkDuration(t, "at expiry", wait, 0)

	agent, _ = newLeasedAgent(t, 6*time.Second, 0)
	_, wait = agent.nextRequest()
	checkDuration(t, "a short lease", wait, 2*time.Second)
	agent, _ = newLeasedAgent(t, 30*time.Second, time.Second)
	_, wait = agent.nextRequest()
	checkDuration(t, "a configured wait", wait, time.Second)
}

// replyingTransport sends to received for each request, and replies immediately that the node has to reclaim.
type replyingTransport struct{ received chan struct{} }

// RoundTrip implements [http.RoundTripper].
func (r replyingTransport) RoundTrip(request *http.Request) (*http.Response, error) {
	select {
	case r.received <- struct{}{}:
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

// Four polls that are answered immediately still have three intervals of minPollInterval between their starts.
func TestPollsKeepMinimumInterval(t *testing.T) {
	received := make(chan struct{})
	agent, err := NewAgent(AgentConfig{Node: "n1", Addresses: []string{"127.0.0.1:9"}, Transport: replyingTransport{received}})
	testkit.Must(t, err)
	log := newTestLog()
	agent.config.Log = log.logger()
	began := time.Now()
	running := run(t, agent.Run)
	for range 4 {
		<-received
	}
	if log.contains("lease not renewed") {
		t.Error("a poll failed; its pause is not minPollInterval")
	}
	if passed := time.Since(began); passed < 600*time.Millisecond {
		t.Errorf("got four polls within %v, want at least 600ms", passed)
	}
	running.stop(t)
}

func TestCachedOwnersExpireAtExactTime(t *testing.T) {
	cache, began := newOwnerCache(5*time.Second, 2), time.Now()
	cache.put(1, []Owner{{Node: "n1"}}, began)
	if _, ok := cache.get(1, began.Add(5*time.Second-1)); !ok {
		t.Error("1ns before expiry: got no owners")
	}
	if _, ok := cache.get(1, began.Add(5*time.Second)); ok {
		t.Error("at expiry: got owners")
	}
	cache.put(1, nil, began)
	cache.put(2, nil, began.Add(5*time.Second))
	cache.put(3, nil, began.Add(5*time.Second)) // evicts the expired entry
	if _, ok := cache.get(2, began.Add(6*time.Second)); !ok {
		t.Error("a valid entry was evicted instead of the expired one")
	}
}

// newTestRegionServer returns a server without a listener, and the time of its clock, which the test may set.
func newTestRegionServer(t *testing.T, config ServerConfig, earlier time.Duration, noEarlierLeases bool) (*Server, *time.Duration) {
	t.Helper()
	var now time.Duration
	folder, err := openStateFolder(t.TempDir())
	testkit.Must(t, err)
	t.Cleanup(func() { testkit.Must(t, folder.close()) })
	s := newRegionServer(config.withDefaults(), serverState{Incarnation: 2, LongestLease: max(earlier, config.Lease)}, earlierLeases{longest: earlier, none: noEarlierLeases})
	s.folder, s.onGraceEnd = folder, folder.persist
	s.now = func() time.Duration { return now }
	return s, &now
}

func testMarginConfig(t *testing.T) ServerConfig {
	t.Helper()
	config := testServerConfig(t, testSpec(2, 1))
	config.Lease, config.MaxDrift, config.Slack, config.Window = 9*time.Second, 0.1, 100*time.Millisecond, 2*time.Second
	config.Debounce, config.InitialWait, config.RestartGrace = 500*time.Millisecond, 5*time.Second, time.Minute
	return config
}

// A server must not grant leases while leases of an earlier incarnation may be valid. Its grace period is the longest
// such lease by the slowest permitted clock, plus slack and the window over which destinations count calls.
func TestServerGracePeriodCoversEarlierLeases(t *testing.T) {
	for _, c := range []struct {
		name    string
		earlier time.Duration
		none    bool
		want    time.Duration
	}{
		{"earlier leases were longer", 18 * time.Second, false, 22100 * time.Millisecond},
		{"earlier leases were shorter", time.Second, false, 12100 * time.Millisecond},
		{"there were no earlier leases", 0, true, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			s, _ := newTestRegionServer(t, testMarginConfig(t), c.earlier, c.none)
			checkDuration(t, "end of grace", s.grantor.GraceEnd(), c.want)
			checkDuration(t, "the first placement", s.placementDue, max(c.want, 5*time.Second)+500*time.Millisecond)
		})
	}
}

func TestSchedulePlacementAppliesDelays(t *testing.T) {
	s, now := newTestRegionServer(t, testMarginConfig(t), 0, true)
	s.placementPending, s.placementDue = false, 0
	s.schedulePlacement(0, 0)
	checkDuration(t, "while nodes have no session", s.placementDue, 5*time.Second)
	s.placementPending = false
	s.schedulePlacement(6*time.Second, 0)
	checkDuration(t, "after InitialWait", s.placementDue, 6500*time.Millisecond)
	s.schedulePlacement(7*time.Second, 0)
	checkDuration(t, "a later placement does not delay a pending one", s.placementDue, 6500*time.Millisecond)
	s.schedulePlacement(0, 0)
	checkDuration(t, "an earlier placement replaces a pending one", s.placementDue, 5*time.Second)
	s.placementPending = false
	s.schedulePlacement(6*time.Second, 8*time.Second)
	checkDuration(t, "not before earliest", s.placementDue, 8*time.Second)

	*now = 8*time.Second - 1
	checkDuration(t, "1ns before it is due", s.runDueWork(t.Context()), time.Millisecond)
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
	checkDuration(t, "without InitialWait after the first placement", s.placementDue, 9500*time.Millisecond)
	checkDuration(t, "the loop waits until the placement", s.runDueWork(t.Context()), 500*time.Millisecond)
	s.placementPending = false
	checkDuration(t, "the loop waits for maxLoopWait at most", s.runDueWork(t.Context()), time.Minute)

	s, _ = newTestRegionServer(t, testMarginConfig(t), 18*time.Second, false)
	s.placementPending = false
	s.schedulePlacement(time.Second, 0)
	checkDuration(t, "not before earlier leases have expired", s.placementDue, 22600*time.Millisecond)
}

// persistedLongestLease returns LongestLease of a server's state file, 0 if there is no file.
func persistedLongestLease(t *testing.T, s *Server) time.Duration {
	t.Helper()
	var state serverState
	testkit.Must(t, readState(s.folder.file(), &state))
	return state.LongestLease
}

func TestServerEndsGraceWhenEarlierLeasesExpire(t *testing.T) {
	s, now := newTestRegionServer(t, testMarginConfig(t), 18*time.Second, false)
	*now = 22100*time.Millisecond - 1
	s.endGrace()
	checkDuration(t, "1ns before they have expired", persistedLongestLease(t, s), 0)
	*now = 22100 * time.Millisecond
	s.endGrace()
	checkDuration(t, "when they have expired", persistedLongestLease(t, s), 9*time.Second)
}

// A node closes its session and restarts. It must remain eligible for RestartGrace, so that its destinations do not
// move.
func TestDepartedNodeStaysEligibleForRestartGrace(t *testing.T) {
	s, now := newTestRegionServer(t, testMarginConfig(t), 0, true)
	poll := pollRequest{Request: lease.Request{Node: "n1", Process: 5, Sequence: 1}}
	id, _, err := s.receivePoll(poll)
	testkit.Must(t, err)
	_, err = s.answerPoll(id, poll, nil)
	testkit.Must(t, err)
	*now = 10 * time.Second
	s.placementPending = false
	_, _, err = s.receivePoll(pollRequest{Request: lease.Request{Node: "n1", Process: 5, Incarnation: 2, Session: id, Sequence: 2, Closing: true}})
	testkit.Must(t, err)
	const graceEnd = 70 * time.Second
	if !s.eligible(graceEnd-1, "n1") || s.eligible(graceEnd, "n1") || s.eligible(graceEnd-1, "n2") {
		t.Errorf("got eligible %v, %v, %v, want true, false, false: only the departed node, before %v", s.eligible(graceEnd-1, "n1"), s.eligible(graceEnd, "n1"), s.eligible(graceEnd-1, "n2"), graceEnd)
	}
	s.placementPending = false
	s.expireDepartures(graceEnd - 1)
	if _, departed := s.departed["n1"]; !departed || !s.placementPending {
		t.Error("1ns before the end of RestartGrace: the node was removed, or no placement is pending")
	}
	s.expireDepartures(graceEnd)
	if _, departed := s.departed["n1"]; departed {
		t.Error("at the end of RestartGrace: the node was not removed")
	}
}

// A member may lose the leadership while a poll waits. The server checks mayGrant when it receives the poll, and again
// before it answers.
func TestServerGrantsOnlyWhileLeading(t *testing.T) {
	s, _ := newTestRegionServer(t, testMarginConfig(t), 0, true)
	valid := true
	s.mayGrant = func() bool { return valid }
	poll := pollRequest{Request: lease.Request{Node: "n1", Process: 5, Sequence: 1}}
	id, _, err := s.receivePoll(poll)
	testkit.Must(t, err)
	valid = false
	if _, err := s.answerPoll(id, poll, nil); !errors.Is(err, errNotLeader) {
		t.Errorf("answering after the end of leadership: got %v, want errNotLeader", err)
	}
	if _, _, err := s.receivePoll(pollRequest{Request: lease.Request{Node: "n1", Process: 5, Sequence: 2}}); !errors.Is(err, errNotLeader) {
		t.Errorf("receiving after the end of leadership: got %v, want errNotLeader", err)
	}
	valid = true
	_, err = s.answerPoll(id, poll, nil)
	testkit.Must(t, err)
}

// A poll that waits too long would let the node's lease expire.
func TestPollWaitIsLimitedByLease(t *testing.T) {
	s, _ := newTestRegionServer(t, testMarginConfig(t), 0, true)
	for text, want := range map[string]time.Duration{"": 0, "0": 0, "2999": 2999 * time.Millisecond, "3000": 3 * time.Second, "3001": 3 * time.Second, "2147483647": 3 * time.Second} {
		got, err := s.pollWait(&http.Request{URL: &url.URL{RawQuery: "wait=" + text}})
		testkit.Must(t, err)
		checkDuration(t, "wait="+text, got, want)
	}
	for _, text := range []string{"-1", "2147483648", "1.5"} {
		if _, err := s.pollWait(&http.Request{URL: &url.URL{RawQuery: "wait=" + text}}); !errors.Is(err, lease.ErrMalformed) {
			t.Errorf("wait=%s: got %v, want ErrMalformed", text, err)
		}
	}
}

func TestBeginIncarnationExceedsEarlierIncarnations(t *testing.T) {
	cases := []struct {
		name      string
		before    serverState
		above     lease.Incarnation
		duration  time.Duration
		want      lease.Incarnation
		longest   time.Duration
		exhausted bool
	}{
		{name: "first incarnation", duration: 9 * time.Second, want: 1, longest: 9 * time.Second},
		{name: "longer lease before", before: serverState{Incarnation: 4, LongestLease: time.Minute}, duration: 9 * time.Second, want: 5, longest: time.Minute},
		{name: "shorter lease before", before: serverState{Incarnation: 4, LongestLease: time.Second}, duration: 9 * time.Second, want: 5, longest: 9 * time.Second},
		{name: "above a higher incarnation", before: serverState{Incarnation: 4}, above: 9, duration: 1, want: 10, longest: 1},
		{name: "above a lower incarnation", before: serverState{Incarnation: 4}, above: 3, duration: 1, want: 5, longest: 1},
		{name: "last incarnation", before: serverState{Incarnation: lease.MaxIncarnation - 1}, duration: 1, want: lease.MaxIncarnation, longest: 1},
		{name: "no incarnation after the last", before: serverState{Incarnation: lease.MaxIncarnation}, duration: 1, exhausted: true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			folder, err := openStateFolder(t.TempDir())
			testkit.Must(t, err)
			defer func() { testkit.Must(t, folder.close()) }()
			testkit.Must(t, folder.persist(c.before))
			next, before, err := folder.beginIncarnation(c.above, c.duration)
			if c.exhausted {
				if !errors.Is(err, ErrIncarnationsExhausted) {
					t.Errorf("got %v, want ErrIncarnationsExhausted", err)
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

// An operator may leave NoEarlierLeases set when a server restarts. The server must still wait for leases of its
// previous incarnation.
func TestRestartedServerIgnoresNoEarlierLeases(t *testing.T) {
	config := testMarginConfig(t)
	folder, err := openStateFolder(config.StateDir)
	testkit.Must(t, err)
	testkit.Must(t, folder.persist(serverState{Incarnation: 1, LongestLease: 18 * time.Second}))
	testkit.Must(t, folder.close())
	s, err := NewServer(config)
	testkit.Must(t, err)
	defer func() { testkit.Must(t, errors.Join(s.listener.Close(), s.folder.close())) }()
	checkDuration(t, "end of grace", s.grantor.GraceEnd(), 22100*time.Millisecond)

	config.StateDir = t.TempDir()
	first, err := NewServer(config)
	testkit.Must(t, err)
	defer func() { testkit.Must(t, errors.Join(first.listener.Close(), first.folder.close())) }()
	checkDuration(t, "end of grace of a first server", first.grantor.GraceEnd(), 0)

	config.StateDir, config.NoEarlierLeases = t.TempDir(), false
	unasserted, err := NewServer(config)
	testkit.Must(t, err)
	defer func() { testkit.Must(t, errors.Join(unasserted.listener.Close(), unasserted.folder.close())) }()
	checkDuration(t, "end of grace without NoEarlierLeases", unasserted.grantor.GraceEnd(), 12100*time.Millisecond)
}

// newIdleMember returns a member that does not run, and its clock, which the test may set. The other member of its
// quorum does not exist.
func newIdleMember(t *testing.T) (*Member, *clockValues) {
	t.Helper()
	current := &clockValues{}
	first := QuorumMember{ID: 1, Region: "north", Address: "127.0.0.1:1"}
	config := MemberConfig{ID: 1, Region: "north", InitialMembers: []QuorumMember{first, {ID: 2, Region: "north", Address: "127.0.0.1:2"}}}
	config.ServerConfig = testMarginConfig(t)
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

// A member's own leader lease uses the clock that includes suspended time. The wait for the end of another member's
// lease uses the clock that does not. Using the wrong clock in either case would let two members lead at once.
func TestMemberClockReadingUsesBothClocks(t *testing.T) {
	m, current := newIdleMember(t)
	before := m.clockReading()
	current.wall += time.Hour
	after := m.clockReading()
	checkDuration(t, "Latest after a suspension", after.Latest-before.Latest, time.Hour)
	if passed := after.Earliest - before.Earliest; passed > time.Minute {
		t.Errorf("Earliest after a suspension: got %v more, want 1m at most", passed)
	}
	m.started = m.started.Add(-time.Hour)
	if passed := m.clockReading().Earliest - after.Earliest; passed < time.Hour || passed > time.Hour+time.Minute {
		t.Errorf("Earliest after an hour: got %v more, want 1h to 1h1m", passed)
	}
}

// electMember elects the member as leader of its region, with a candidacy that it proposes while its clock is at 0. It
// returns the resulting term.
func electMember(t *testing.T, m *Member, earlier leadership.Term) leadership.Term {
	t.Helper()
	state := leadership.NewState([]leadership.Member{{ID: 1, Region: "north"}, {ID: 2, Region: "north"}})
	state.Regions["north"] = earlier
	state.Join(leadership.Join{Member: 1, Process: m.process})
	m.elector.Apply(m.clockReading(), state, 0)
	proposal, due := m.elector.Propose(m.clockReading())
	if !due || proposal.Candidacy == nil || !state.Elect(*proposal.Candidacy) {
		t.Fatalf("got no effective candidacy: %+v", proposal)
	}
	m.elector.Apply(m.clockReading(), state, proposal.Candidacy.Nonce)
	m.view = &stateView{replicatedState: replicatedState{Leadership: state, Spec: testSpec(1, 1)}}
	return state.Regions["north"]
}

func TestMemberMayGrantUntilItsLeaderLeaseExpires(t *testing.T) {
	m, current := newIdleMember(t)
	term := electMember(t, m, leadership.Term{Revision: leadership.Revision{Incarnation: 6}})
	at := func(d time.Duration) { *current = clockValues{monotonic: d, wall: d} }
	at(time.Minute - 1)
	if !m.mayGrant(7) || m.mayGrant(6) || term.Incarnation != 7 {
		t.Errorf("1ns before expiry: got mayGrant %v for incarnation 7, %v for 6, want true, false", m.mayGrant(7), m.mayGrant(6))
	}
	at(time.Minute)
	if m.mayGrant(7) {
		t.Error("at expiry: got mayGrant true")
	}
}

// A new leader waits for the longest node lease in the replicated state, unless it is the first leader of its region.
func TestNewLeaderWaitsForEarlierLeases(t *testing.T) {
	for _, c := range []struct {
		name    string
		earlier leadership.Term
		want    time.Duration
	}{
		{"the first leader", leadership.Term{}, 0},
		{"there was another leader", leadership.Term{Revision: leadership.Revision{Incarnation: 1}, LongestNodeLease: 18 * time.Second}, 22100 * time.Millisecond},
	} {
		t.Run(c.name, func(t *testing.T) {
			m, current := newIdleMember(t)
			term := electMember(t, m, c.earlier)
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			m.startLeading(ctx, term)
			defer m.stopLeading()
			checkDuration(t, "end of grace", m.leading.server.grantor.GraceEnd(), c.want)
			if incarnation := m.leading.server.grantor.Incarnation(); incarnation != term.Incarnation {
				t.Errorf("got incarnation %d, want %d", incarnation, term.Incarnation)
			}
			*current = clockValues{monotonic: time.Minute - 1, wall: time.Minute - 1}
			if !m.leading.server.mayGrant() {
				t.Error("1ns before expiry of the leader lease: got mayGrant false")
			}
			*current = clockValues{monotonic: time.Minute, wall: time.Minute}
			if m.leading.server.mayGrant() {
				t.Error("at expiry of the leader lease: got mayGrant true")
			}
		})
	}
}

// A leader's renewal reports that earlier leases have expired only after they have. Otherwise a later leader would not
// wait for them.
func TestLeaderReportsExpiryOfEarlierLeases(t *testing.T) {
	m, current := newIdleMember(t)
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
		proposal, due := m.elector.Propose(m.clockReading())
		if !due || proposal.Renewal == nil {
			t.Fatalf("got no renewal: %+v", proposal)
		}
		return *proposal.Renewal
	}
	now = 22100*time.Millisecond - 1
	s.endGrace()
	if renewal().EarlierLeasesExpired {
		t.Error("1ns before their expiry: earlier leases are reported as expired")
	}
	now++
	s.endGrace()
	if next := renewal(); !next.EarlierLeasesExpired || next.NodeLease != 9*time.Second {
		t.Errorf("got renewal %+v, want EarlierLeasesExpired and a node lease of 9s", next)
	}
}

// Operators may change the spec concurrently. Of several changes based on the same version, one takes effect; parts are
// only accepted in order, up to clusterspec.MaxBytes.
func TestChangeOfOtherVersionConflicts(t *testing.T) {
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
		t.Errorf("a change based on an earlier version: got %v, want ErrConflict", err)
	}
	if err := part(4, 3, 0, true); !errors.Is(err, ErrConflict) {
		t.Errorf("a change based on a later version: got %v, want ErrConflict", err)
	}
	machine.state.Staged = &stagedChange{Change: 9, NextPart: 1, Bytes: clusterspec.MaxBytes - 10}
	if err := machine.apply(command{SpecChange: &specChange{Change: 9, Previous: 2, Part: 1}}, 11); !errors.Is(err, ErrConflict) {
		t.Errorf("one byte above the limit: got %v, want ErrConflict", err)
	}
	if err := machine.apply(command{SpecChange: &specChange{Change: 9, Previous: 2, Part: 1}}, 10); err != nil {
		t.Errorf("bytes at the limit: got %v, want no error", err)
	}
}

// An operator sets AboveIncarnation after the state was lost. The initial state then contains it as the latest
// incarnation of each region, with the longest lease that may still be valid.
func TestInitialLogContainsAboveIncarnation(t *testing.T) {
	config := MemberConfig{ServerConfig: ServerConfig{NoEarlierLeases: true, Lease: 9 * time.Second}, InitialMembers: []QuorumMember{{ID: 2, Region: "north"}, {ID: 1, Region: "south"}}}
	for _, above := range []lease.Incarnation{0, 6} {
		config.AboveIncarnation = above
		first, initial, err := config.initialLog()
		testkit.Must(t, err)
		machine := newStateMachine(1, func() {})
		testkit.Must(t, machine.Restore(initial))
		if len(first) != 2 || first[0] != 1 || first[1] != 2 {
			t.Errorf("got members %v, want 1 and 2", first)
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
