package lease

import (
	"errors"
	"math"
	"testing"
	"time"
	"wingmount/decide/placement"
)

// newLeasedModel returns a model of one control process and two nodes with valid leases. Both own destination 0, the first
// node also owns destination 1, and the second one destination 2.
func newLeasedModel(t *testing.T) (*model, *modelProcess, *modelProcess) {
	t.Helper()
	m := newModel(2, 3, faults{})
	m.grantor.SetOwners(0, 0, []placement.NodeID{"n0", "n1"})
	m.grantor.SetOwners(0, 1, []placement.NodeID{"n0"})
	m.grantor.SetOwners(0, 2, []placement.NodeID{"n1"})
	m.settle(t)
	first, second := m.processes[0], m.processes[1]
	for destination, want := range []float64{0.5, 1, 0} {
		if quota := first.holder.Quota(first.clock, placement.DestinationID(destination)); quota != want {
			t.Fatalf("destination %d: got quota %v, want %v", destination, quota, want)
		}
	}
	return m, first, second
}

// A lease counts from the sending of the request by the holder's clock, not from the arrival of the reply. Otherwise a
// delayed reply gives the holder a lease that outlasts the grantor's wait.
func TestLeaseOfDelayedRequestEndsDurationAfterSending(t *testing.T) {
	m, first, _ := newLeasedModel(t)
	sent := first.clock
	request := first.holder.Renew(first.clock)
	m.advance(modelDuration / 2) // the request is delayed
	session, err := m.grantor.Receive(m.now, request)
	if err != nil {
		t.Fatal(err)
	}
	reply, err := m.grantor.Answer(m.now, session, request)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := first.holder.Receive(first.clock, reply); err != nil {
		t.Fatal(err)
	}
	if expiry := first.holder.Expiry(); expiry != sent+modelDuration {
		t.Fatalf("request sent at %v: got expiry %v, want %v", sent, expiry, sent+modelDuration)
	}
	if !first.holder.Valid(sent+modelDuration-1) || first.holder.Valid(sent+modelDuration) {
		t.Fatal("got a lease that is not valid until its expiry, or valid at it")
	}
}

// A process that is paused longer than its lease must not use its quota when it resumes, also if a reply arrived during
// the pause: the grantor has granted the quota to another owner by then.
func TestHolderPausedLongerThanLeaseHasNoQuota(t *testing.T) {
	m, first, second := newLeasedModel(t)
	first.paused = true
	request := first.holder.Renew(first.clock)
	session, _ := m.grantor.Receive(m.now, request)
	reply, err := m.grantor.Answer(m.now, session, request) // arrives during the pause
	if err != nil {
		t.Fatal(err)
	}
	first.inbox = append(first.inbox, reply)
	m.grantor.SetOwners(m.now, 0, []placement.NodeID{"n1"})
	for range 8 {
		m.advance(modelDuration / 4)
		if err := m.exchange(second); err != nil {
			t.Fatal(err)
		}
	}
	if quota := second.holder.Quota(second.clock, 0); quota != 1 {
		t.Fatalf("the other owner during the pause: got quota %v, want 1", quota)
	}
	m.resume(first)
	if first.holder.Valid(first.clock) || first.holder.Quota(first.clock, 0) != 0 {
		t.Fatal("after the pause: got a valid lease or a quota, want none")
	}
}

// After the clock goes back, the expiry and the sending time of the pending request are no longer meaningful. The holder
// must drop both, and get a lease by its next request.
func TestHolderClockGoingBackEndsLease(t *testing.T) {
	m, first, _ := newLeasedModel(t)
	request := first.holder.Renew(first.clock)
	session, _ := m.grantor.Receive(m.now, request)
	reply, _ := m.grantor.Answer(m.now, session, request)
	first.clock -= time.Second
	if first.holder.Valid(first.clock) {
		t.Fatal("after the clock went back: got a valid lease, want none")
	}
	if _, err := first.holder.Receive(first.clock, reply); !errors.Is(err, ErrUnexpectedReply) {
		t.Fatalf("reply to a request from before the step back: got %v, want %v", err, ErrUnexpectedReply)
	}
	if err := m.exchange(first); err != nil || !first.holder.Valid(first.clock) {
		t.Fatalf("next exchange: got error %v or no valid lease, want a valid lease", err)
	}
}

// After a restart of the control process the older one may still run. Holders must reject its replies, and it must stop
// answering as soon as any node names the newer incarnation.
func TestOlderIncarnationIsRejected(t *testing.T) {
	m, first, second := newLeasedModel(t)
	older := m.grantor
	m.restartControl(false)
	if err := m.exchange(first); err != nil {
		t.Fatal(err)
	}
	request := first.holder.Renew(first.clock)
	if _, err := first.holder.Receive(first.clock, Reply{
		Incarnation: 1, Session: 1<<counterBits + 1, Sequence: request.Sequence,
		Duration: modelDuration, Version: 1, Complete: true,
	}); !errors.Is(err, ErrStaleIncarnation) {
		t.Fatal(err)
	}
	if _, err := older.Receive(m.now, request); !errors.Is(err, ErrSuperseded) {
		t.Fatal(err)
	}
	// The superseded grantor does not answer other nodes either.
	if _, err := older.Receive(m.now, second.holder.Renew(second.clock)); !errors.Is(err, ErrSuperseded) {
		t.Fatal(err)
	}
	if older.SupersededBy() != 2 {
		t.Fatalf("older.SupersededBy(): got %d, want 2", older.SupersededBy())
	}
}

// A new grantor does not know the quotas that nodes still use under leases of the earlier incarnation. During the grace
// period it accepts reclaims, but must not grant the quota of a node that has not sent a request.
func TestNewGrantorDuringGracePeriodGrantsOnlyReclaims(t *testing.T) {
	m, first, second := newLeasedModel(t)
	m.restartControl(false)
	if err := m.exchange(first); err != nil { // the second node sends no request
		t.Fatal(err)
	}
	if quota := first.holder.Quota(first.clock, 0); quota != 0.5 {
		t.Fatalf("after the restart: got quota %v, want 0.5", quota)
	}
	m.grantor.SetOwners(m.now, 0, []placement.NodeID{"n0"})
	m.grantor.MarkOwnersComplete(m.now)
	graceEnd := m.grantor.GraceEnd()
	for m.now+modelDuration/4 < graceEnd {
		m.advance(modelDuration / 4)
		if err := m.exchange(first); err != nil {
			t.Fatal(err)
		}
		if quota := first.holder.Quota(first.clock, 0); quota != 0.5 {
			t.Fatalf("at %v: got quota %v, want 0.5", m.now, quota)
		}
	}
	m.advance(modelDuration / 2)
	if second.holder.Valid(second.clock) {
		t.Fatal("after the grace period: got a valid lease of the earlier incarnation, want none")
	}
	if err := m.exchange(first); err != nil {
		t.Fatal(err)
	}
	if quota := first.holder.Quota(first.clock, 0); quota != 1 {
		t.Fatalf("after %v: got quota %v, want 1", m.now, quota)
	}
}

// A reply that fails one check must not be applied in part: the lease and the assignments are unchanged, and the next
// exchange succeeds.
func TestHolderInvalidReplyChangesNothing(t *testing.T) {
	for name, test := range map[string]struct {
		modify func(*Reply)
		want   error
	}{
		"a quota over 1":                         {func(r *Reply) { r.Assignments[0].Quota = 1.1 }, ErrMalformed},
		"a quota of NaN":                         {func(r *Reply) { r.Assignments[0].Quota = math.NaN() }, ErrMalformed},
		"a duplicate destination":                {func(r *Reply) { r.Assignments = append(r.Assignments, r.Assignments[0]) }, ErrMalformed},
		"an older epoch":                         {func(r *Reply) { r.Assignments[0].Destination, r.Assignments[0].Epoch = 1, 1 }, ErrMalformed},
		"removed with a quota":                   {func(r *Reply) { r.Assignments[0].Removed = true }, ErrMalformed},
		"a duration of 0":                        {func(r *Reply) { r.Duration = 0 }, ErrMalformed},
		"a duration over the bound":              {func(r *Reply) { r.Duration = 1 << 60 }, ErrMalformed},
		"incarnation 0":                          {func(r *Reply) { r.Incarnation = 0 }, ErrStaleIncarnation},
		"an incarnation over the bound":          {func(r *Reply) { r.Incarnation = MaxIncarnation + 1 }, ErrMalformed},
		"another session":                        {func(r *Reply) { r.Session++ }, ErrVersionGap},
		"a session of another incarnation":       {func(r *Reply) { r.Session += 1 << counterBits }, ErrMalformed},
		"changes to a later version":             {func(r *Reply) { r.FromVersion++ }, ErrVersionGap},
		"an earlier version":                     {func(r *Reply) { r.Version = 1 }, ErrMalformed},
		"a reply to another request":             {func(r *Reply) { r.Sequence-- }, ErrUnexpectedReply},
		"a complete reply with a negative quota": {func(r *Reply) { r.Complete = true; r.Assignments[0].Quota = -1 }, ErrMalformed},
	} {
		m, first, _ := newLeasedModel(t)
		m.grantor.SetOwners(m.now, 2, []placement.NodeID{"n0", "n1"})
		expiry := first.holder.Expiry()
		m.advance(time.Second)
		request := first.holder.Renew(first.clock)
		session, _ := m.grantor.Receive(m.now, request)
		reply, err := m.grantor.Answer(m.now, session, request)
		if err != nil || len(reply.Assignments) != 1 {
			t.Fatalf("got %+v, %v, want one assignment", reply, err)
		}
		test.modify(&reply)
		if _, err := first.holder.Receive(first.clock, reply); !errors.Is(err, test.want) {
			t.Errorf("%s: got %v, want %v", name, err, test.want)
		}
		if first.holder.Expiry() != expiry || first.holder.Len() != 2 || first.holder.Quota(first.clock, 1) != 1 {
			t.Errorf("%s: got a changed lease or changed assignments, want both unchanged", name)
		}
		if err := m.exchange(first); err != nil || first.holder.Len() != 3 {
			t.Errorf("%s: after the next exchange: got error %v and %d assignments, want 3 assignments", name, err, first.holder.Len())
		}
	}
}

// A node that restarts with unfinished messages of a destination that it no longer owns must get a quota to finish them,
// and the owner must get the full limit again after the release.
func TestRestartedNodeFinishesMessagesOfLostDestination(t *testing.T) {
	m, first, second := newLeasedModel(t)
	m.kill(first)
	m.grantor.SetOwners(m.now, 1, []placement.NodeID{"n1"})
	m.settle(t)
	if quota := second.holder.Quota(second.clock, 1); quota != 1 {
		t.Fatalf("the other node: got quota %v, want 1", quota)
	}
	restarted := m.start("n0", first.id, 1)
	restarted.holder.ReportUnfinished(1)
	for range 6 {
		m.advance(modelWindow / 2)
		for _, process := range m.processes {
			if err := m.exchange(process); err != nil {
				t.Fatal(err)
			}
			if err := m.check(); err != nil {
				t.Fatal(err)
			}
		}
	}
	assignment, ok := restarted.holder.Assignment(1)
	if !ok || assignment.Accepting || assignment.Quota < 0.3 {
		t.Fatalf("got %+v, want an assignment that is not accepting with a quota of at least 0.3", assignment)
	}
	if !restarted.holder.Release(1) || restarted.holder.Quota(restarted.clock, 1) != 0 {
		t.Fatal("got no release or a quota after it, want quota 0 after a release")
	}
	m.settle(t)
	if _, ok := restarted.holder.Assignment(1); ok || second.holder.Quota(second.clock, 1) != 1 {
		t.Fatal("after the release: got an assignment of the node, or an owner without the full limit, want neither")
	}
}

// If a node's session expires during a pause and it loses a destination, a complete reply does not contain the
// destination. The node may still have unfinished messages for it and must report it.
func TestAssignmentLostDuringPauseIsReportedUnfinished(t *testing.T) {
	m, first, second := newLeasedModel(t)
	first.paused = true
	m.grantor.SetOwners(m.now, 0, []placement.NodeID{"n1"})
	for range 8 {
		m.advance(modelDuration / 4)
		if err := m.exchange(second); err != nil {
			t.Fatal(err)
		}
	}
	m.resume(first)
	request := first.holder.Renew(first.clock)
	session, err := m.grantor.Receive(m.now, request)
	if err != nil {
		t.Fatal(err)
	}
	reply, _ := m.grantor.Answer(m.now, session, request)
	update, err := first.holder.Receive(first.clock, reply)
	if err != nil || !update.Complete {
		t.Fatalf("got %+v, %v, want a complete update", update, err)
	}
	if len(update.Assignments) == 0 || !update.Assignments[0].Removed || update.Assignments[0].Destination != 0 {
		t.Fatalf("got %+v, want destination 0 removed", update)
	}
	if request := first.holder.Renew(first.clock); len(request.Unfinished) != 1 || request.Unfinished[0] != 0 {
		t.Fatalf("got %+v, want destination 0 unfinished", request)
	}
}

// A holder must not release a destination for which it still accepts messages.
func TestReleaseOfAcceptingDestinationChangesNothing(t *testing.T) {
	_, first, _ := newLeasedModel(t)
	if first.holder.Release(1) || first.holder.Quota(first.clock, 1) != 1 {
		t.Fatal("got a release of an accepting destination, want none")
	}
}

// Requests must not let the grantor's memory grow without bound: it limits sessions, sessions of one node, and reported
// destinations, and rejects malformed requests.
func TestGrantorRejectsRequestsOverBounds(t *testing.T) {
	g := NewGrantor(0, 1, Config{Duration: time.Second, NoEarlierLeases: true, MaxSessions: 6, MaxUnfinished: 2})
	open := func(node placement.NodeID, process ProcessID) error {
		_, err := g.Receive(0, Request{Node: node, Process: process, Sequence: 1, Unfinished: []placement.DestinationID{1, 2, 3}})
		return err
	}
	for process := range ProcessID(maxSessionsPerNode) {
		if err := open("a", process+1); err != nil {
			t.Fatal(err)
		}
	}
	if err := open("a", 9); !errors.Is(err, ErrTooManySessions) {
		t.Fatalf("one process too many of one node: got %v, want %v", err, ErrTooManySessions)
	}
	if err := errors.Join(open("b", 1), open("c", 1)); err != nil {
		t.Fatal(err)
	}
	if err := open("d", 1); !errors.Is(err, ErrTooManySessions) {
		t.Fatalf("one session too many: got %v, want %v", err, ErrTooManySessions)
	}
	if len(g.allocations) != 2 || len(g.Grants(3)) != 0 {
		t.Fatalf("got %d allocations for reported destinations, want 2 and none for destination 3", len(g.allocations))
	}
	for name, request := range map[string]Request{
		"no node name":                  {Process: 1},
		"no process":                    {Node: "a"},
		"replaces itself":               {Node: "a", Process: 1, Replaces: 1},
		"too many reports":              {Node: "a", Process: 1, Unfinished: make([]placement.DestinationID, MaxReports+1)},
		"a reclaim with a quota of NaN": {Node: "a", Process: 1, Reclaims: []Assignment{{Quota: math.NaN()}}},
		"an incarnation over the bound": {Node: "a", Process: 1, Incarnation: MaxIncarnation + 1},
	} {
		if _, err := g.Receive(0, request); !errors.Is(err, ErrMalformed) {
			t.Errorf("%s: got %v, want %v", name, err, ErrMalformed)
		}
	}
	if g.SupersededBy() != 0 {
		t.Fatalf("SupersededBy() after a malformed request: got %d, want 0", g.SupersededBy())
	}
}

// A renewal without changes must not cost work or memory in proportion to the number of assignments, and a reply
// contains only changed assignments.
func TestAnswerCostDependsOnChangesOnly(t *testing.T) {
	const destinations = 5000
	g := NewGrantor(0, 1, Config{Duration: time.Minute, NoEarlierLeases: true})
	for destination := range placement.DestinationID(destinations) {
		g.SetOwners(0, destination, []placement.NodeID{"a"})
	}
	h := NewHolder(HolderConfig{Node: "a", Process: 1})
	exchange := func() Reply {
		request := h.Renew(0)
		session, err := g.Receive(0, request)
		if err != nil {
			t.Fatal(err)
		}
		reply, err := g.Answer(0, session, request)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := h.Receive(0, reply); err != nil {
			t.Fatal(err)
		}
		return reply
	}
	if complete := exchange(); len(complete.Assignments) != destinations {
		t.Fatalf("got %d assignments, want %d", len(complete.Assignments), destinations)
	}
	exchange()
	allocations := testing.AllocsPerRun(100, func() {
		if reply := exchange(); len(reply.Assignments) != 0 || reply.Complete {
			t.Fatalf("got %+v, want no assignments", reply)
		}
	})
	if allocations > 3 {
		t.Errorf("renewal without changes: got %v memory allocations, want at most 3", allocations)
	}
	g.SetOwners(0, 17, nil)
	if reply := exchange(); len(reply.Assignments) != 1 || reply.Assignments[0].Destination != 17 {
		t.Fatalf("after a change of destination 17: got %+v, want only its assignment", reply.Assignments)
	}
}

// The destination counts calls over a window. If the grantor granted a released quota to another node before the window
// has passed, the calls of both nodes in one window could exceed the limit.
func TestReleasedQuotaIsGrantedWindowLater(t *testing.T) {
	m, first, second := newLeasedModel(t)
	m.grantor.SetOwners(m.now, 1, []placement.NodeID{"n1"})
	for range 2 {
		if err := m.exchange(first); err != nil {
			t.Fatal(err)
		}
	}
	if !first.holder.Release(1) {
		t.Fatal("got no release, want one")
	}
	if err := m.exchange(first); err != nil {
		t.Fatal(err)
	}
	released := m.now
	m.advance(modelWindow - 1)
	if err := m.exchange(second); err != nil {
		t.Fatal(err)
	}
	if quota := second.holder.Quota(second.clock, 1); quota >= 1 {
		t.Fatalf("within a window: got quota %v, want less than 1", quota)
	}
	if next, ok := m.grantor.NextDeadline(); !ok || next != released+modelWindow {
		t.Fatalf("released at %v: got next deadline %v, want %v", released, next, released+modelWindow)
	}
	m.advance(1)
	if err := m.exchange(second); err != nil {
		t.Fatal(err)
	}
	if quota := second.holder.Quota(second.clock, 1); quota != 1 {
		t.Fatalf("after a window: got quota %v, want 1", quota)
	}
}
