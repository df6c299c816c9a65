package evidence

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

const (
	ms        = time.Millisecond
	second    = time.Second
	ownZone   = 1
	otherZone = 2
)

// newEvaluator returns an evaluator with the given number of other members, and endpoints 1 to 3.
func newEvaluator(others int) *Evaluator {
	v := New(Defaults(ownZone))
	var peers []Peer
	for i := range others {
		peers = append(peers, Peer(i+1))
	}
	v.SetMembers(0, peers)
	v.SetEndpoints([]Endpoint{1, 2, 3})
	return v
}

// report returns a report that all calls of the last 100 ms failed, or that none failed.
func report(p Peer, id Endpoint, at time.Duration, down bool) Report {
	e := Report{Peer: p, Endpoint: id, Zone: ownZone, From: at - 100*ms, To: at, Calls: 5}
	if down {
		e.Failed = 5
	}
	return e
}

// receive passes a report to the evaluator and checks the returned error.
func receive(t *testing.T, v *Evaluator, now time.Duration, e Report, want error) {
	t.Helper()
	if err := v.Receive(now, e); !errors.Is(err, want) {
		t.Errorf("report of peer %d on endpoint %d: got error %v, want %v", e.Peer, e.Endpoint, err, want)
	}
}

func TestQuorumByClusterSize(t *testing.T) {
	for members, want := range map[int]int{1: 2, 2: 2, 5: 2, 8: 2, 9: 3, 10: 3, 13: 4, 61: 16, 1000: 16} {
		if got := Quorum(members); got != want {
			t.Errorf("quorum of %d members: got %d, want %d", members, got, want)
		}
	}
}

// An endpoint is suspected after failure reports by three of nine peers, but not by two, and its share stays above 0.
// A successful call of this node ends the suspicion at once and halves the weights of the three peers, so that they
// no longer form a quorum.
func TestAssessSuspectsByQuorumUntilOwnSuccess(t *testing.T) {
	v := newEvaluator(9)
	receive(t, v, second, report(1, 1, second, true), nil)
	receive(t, v, second, report(2, 1, second, true), nil)
	if got := v.Assess(second, 1); got.Suspected || got.Share != 1 || got.Peers != 2 {
		t.Errorf("failure reports by two of nine peers: got %+v, want no suspicion", got)
	}
	receive(t, v, second, report(3, 1, second, true), nil)
	if got := v.Assess(second, 1); !got.Suspected || got.Share <= 0 || got.Share >= 1 || got.ProbeInterval <= 0 {
		t.Errorf("failure reports by three of nine peers: got %+v, want a suspicion with a share between 0 and 1", got)
	}
	if got := v.Assess(second, 2); got.Suspected {
		t.Errorf("endpoint without reports: got %+v, want no suspicion", got)
	}
	v.ObserveCall(1100*ms, 1, 1050*ms, true)
	if got := v.Assess(1100*ms, 1); got.Suspected || got.Share != 1 {
		t.Errorf("after a successful call of this node: got %+v, want no suspicion and share 1", got)
	}
	for _, s := range v.Reputations(1100 * ms)[:3] {
		if s.Weight > 0.26 || s.Wrong != 1 || s.Right != 0 || !s.Member {
			t.Errorf("reputation after a refuted report: got %+v, want a member with at most half the weight and one wrong report", s)
		}
	}
	v.ObserveCall(1200*ms, 1, 1150*ms, true) // a report is evaluated only once
	if w := v.Reputations(1200 * ms)[0].Weight; w < 0.25 {
		t.Errorf("after a second call: got weight %v, want at least 0.25, as a report is evaluated only once", w)
	}
	// Their weights remain reduced after the successful call has become too old to count.
	for p := range Peer(3) {
		receive(t, v, 4*second, report(p+1, 2, 4*second, true), nil)
	}
	if got := v.Assess(4*second, 2); got.Suspected || got.Peers != 3 {
		t.Errorf("failure reports by three recently wrong peers: got %+v, want no suspicion", got)
	}
	// Reports of successes outweigh as many reports of failures.
	for p := range Peer(6) {
		receive(t, v, 5*second, report(p+4, 3, 5*second, p < 3), nil)
	}
	if got := v.Assess(5*second, 3); got.Suspected || got.Peers != 3 || got.Up == 0 {
		t.Errorf("three failure reports against three success reports: got %+v, want no suspicion", got)
	}
}

// Reports that are too old, in the future, repeated, malformed, or from a non-member or on an unknown endpoint are
// rejected and change nothing.
func TestReceiveRejectsInvalidReports(t *testing.T) {
	v := newEvaluator(9)
	now := time.Minute
	for i, c := range []struct {
		modify func(*Report)
		want   error
	}{
		{func(e *Report) { e.Peer = 99 }, ErrNotMember},
		{func(e *Report) { e.Endpoint = 99 }, ErrUnknownEndpoint},
		{func(e *Report) { e.To -= 11 * second; e.From = e.To }, ErrStale},
		{func(e *Report) { e.To += 2 * second }, ErrFuture},
		{func(e *Report) { e.From = e.To + 1 }, ErrInvalid},
		{func(e *Report) { e.From = e.To - 11*second }, ErrInvalid},
		{func(e *Report) { e.Failed = 6 }, ErrInvalid},
		{func(e *Report) { e.Failed = -1 }, ErrInvalid},
		{func(e *Report) { e.Calls, e.Failed = 0, 0 }, ErrInvalid},
	} {
		e := report(1, 1, now, true)
		c.modify(&e)
		if err := v.Receive(now, e); !errors.Is(err, c.want) {
			t.Errorf("case %d: got error %v, want %v", i, err, c.want)
		}
	}
	if _, reports, _ := v.Size(); reports != 0 {
		t.Errorf("got %d stored reports after rejections, want 0", reports)
	}
	receive(t, v, now, report(1, 1, now, false), nil)
	receive(t, v, now, report(1, 1, now, true), ErrRepeated)         // same time
	receive(t, v, now, report(1, 1, now-second, true), ErrRepeated)  // replayed
	receive(t, v, now+second, report(1, 1, now+second, true), nil)   // newer
	receive(t, v, now+second, report(1, 1, now, false), ErrRepeated) // older than the stored report
	receive(t, v, now+20*second, report(1, 1, now+second, true), ErrStale)
}

// Reports from another availability zone do not count, and calls of this node do not evaluate them.
func TestReportsFromOtherZoneDoNotCount(t *testing.T) {
	v := newEvaluator(9)
	for p := range Peer(9) {
		e := report(p+1, 1, second, true)
		e.Zone = otherZone
		receive(t, v, second, e, nil)
	}
	if got := v.Assess(second, 1); got.Suspected || got.Peers != 0 {
		t.Errorf("got %+v, want no suspicion and no peers", got)
	}
	v.ObserveCall(1100*ms, 1, 1050*ms, true)
	for _, s := range v.Reputations(1100 * ms) {
		if s.Wrong > 0 {
			t.Errorf("got %+v, want no evaluation of reports of another zone", s)
		}
	}
}

// A peer that reported truthfully for an hour loses its influence after a few false reports. Its weight recovers over
// time, but not beyond the initial weight, and rejoining does not raise it.
func TestFalseReportsReduceHighWeight(t *testing.T) {
	v := newEvaluator(9)
	now := time.Duration(0)
	step := func(down, succeeded bool) float64 {
		now += 5 * second
		receive(t, v, now, report(1, 1, now, down), nil)
		v.ObserveCall(now+100*ms, 1, now+50*ms, succeeded)
		return v.Reputations(now)[0].Weight
	}
	weight := 0.0
	for range 720 {
		weight = step(false, true)
	}
	if weight != 1 {
		t.Errorf("after an hour of confirmed reports: got weight %v, want 1", weight)
	}
	now += time.Hour
	if w := v.Reputations(now)[0].Weight; w != 1 {
		t.Errorf("an hour without reports: got weight %v, want 1", w)
	}
	falseReports := 0
	for weight >= minCountedWeight {
		weight = step(true, true)
		falseReports++
	}
	if falseReports > 4 {
		t.Errorf("the peer counted for %d false reports, want at most 4", falseReports)
	}
	for range 10 {
		weight = step(true, true)
	}
	if weight < minWeight || weight > minCountedWeight {
		t.Errorf("peer that only reports falsely: got weight %v, want between the minimum and the minimum counted weight", weight)
	}
	now += 10 * time.Minute
	if w := v.Reputations(now)[0].Weight; w < 0.24 || w > 0.27 {
		t.Errorf("ten minutes later: got weight %v, want 0.24 to 0.27", w)
	}
	now += 100 * time.Hour
	if w := v.Reputations(now)[0].Weight; w < 0.499 || w > 0.5 {
		t.Errorf("100 hours later: got weight %v, want 0.499 to 0.5", w)
	}
	// Leaving and rejoining does not change the weight.
	weight = step(true, true)
	v.SetMembers(now, []Peer{2, 3})
	v.SetMembers(now, []Peer{1, 2, 3})
	if w := v.Reputations(now)[0].Weight; w != weight {
		t.Errorf("the weight was %v before leaving and %v after rejoining", weight, w)
	}
}

// A peer that reports on every endpoint is limited to its quota and does not reduce the quotas of others. Stored
// endpoints, reports and weights are bounded.
func TestStoredStateIsBounded(t *testing.T) {
	s := Defaults(ownZone)
	s.MaxEndpoints, s.MaxPeers, s.MaxReports = 50, 4, 40
	v := New(s)
	var ids []Endpoint
	for i := range 100 {
		ids = append(ids, Endpoint(i))
	}
	v.SetEndpoints(ids)
	v.SetMembers(0, []Peer{1, 2, 3, 4, 5, 6})
	for id := range Endpoint(100) {
		want := map[bool]error{true: nil, false: ErrFull}[id < 10]
		if id >= 50 {
			want = ErrUnknownEndpoint
		}
		receive(t, v, second, report(1, id, second, true), want)
	}
	receive(t, v, second, report(2, 30, second, true), nil)
	receive(t, v, second, report(5, 1, second, true), ErrNotMember)
	receive(t, v, 12*second, report(1, 30, 12*second, true), nil) // expired reports are deleted
	if endpoints, reports, _ := v.Size(); endpoints != 50 || reports != 2 {
		t.Errorf("got %d endpoints and %d reports, want 50 and 2", endpoints, reports)
	}
	v.SetEndpoints(ids[:20]) // removing endpoint 30 frees the quota that its reports used
	for id := range Endpoint(10) {
		receive(t, v, 13*second, report(1, id, 13*second, true), nil)
	}
	// The set of members changes many times.
	for i := range Peer(100) {
		v.SetMembers(14*second, []Peer{i + 10, i + 11})
		receive(t, v, 14*second, report(i+10, 1, 14*second, true), nil)
	}
	if _, reports, weights := v.Size(); reports > 40 || weights > 2*s.MaxPeers+2 {
		t.Errorf("got %d reports and %d weights, want at most 40 and %d", reports, weights, 2*s.MaxPeers+2)
	}
}

// Reports of fewer peers than a quorum never change the share of an endpoint, in any order and with any content. No
// reports change it while this node's last call succeeded recently, and it never falls to 0.
func TestReportsBelowQuorumDoNotChangeShare(t *testing.T) {
	suspected := 0
	rapid.Check(t, func(t *rapid.T) {
		others := rapid.IntRange(1, 20).Draw(t, "others")
		v := newEvaluator(others)
		reporters := rapid.IntRange(0, others).Draw(t, "reporters")
		belowQuorum := reporters < Quorum(others+1)
		now := time.Minute
		succeeded := map[Endpoint]time.Duration{}
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 3000).Draw(t, "pause")) * ms
			id := Endpoint(rapid.IntRange(1, 3).Draw(t, "endpoint"))
			if reporters > 0 && rapid.IntRange(0, 4).Draw(t, "report or call") > 0 {
				_ = v.Receive(now, Report{
					Peer: Peer(rapid.IntRange(1, reporters).Draw(t, "peer")), Endpoint: id,
					Zone: rapid.IntRange(0, 2).Draw(t, "zone"), From: now - time.Duration(rapid.IntRange(-1, 12000).Draw(t, "from"))*ms,
					To: now - time.Duration(rapid.IntRange(-2000, 12000).Draw(t, "to"))*ms, Calls: rapid.IntRange(-1, 1<<40).Draw(t, "calls"),
					Failed: rapid.IntRange(-1, 1<<40).Draw(t, "failed"),
				})
				_ = v.Receive(now, report(Peer(rapid.IntRange(1, reporters).Draw(t, "peer")), id, now, true))
			} else {
				ok := rapid.Bool().Draw(t, "ok")
				v.ObserveCall(now, id, now-time.Duration(rapid.IntRange(0, 2000).Draw(t, "took"))*ms, ok)
				if delete(succeeded, id); ok {
					succeeded[id] = now
				}
			}
			for id := range Endpoint(4) {
				got := v.Assess(now, id)
				if got.Suspected {
					suspected++
				}
				at, ok := succeeded[id]
				if got.Share <= 0 || got.Share < 1 && (got.ProbeInterval <= 0 || belowQuorum || ok && now-at <= v.settings.OwnSuccessTime) {
					t.Fatalf("%d of %d other members report, last successful call of this node %v ago (%t): got %+v", reporters, others, now-at, ok, got)
				}
			}
			for _, s := range v.Reputations(now) {
				if s.Weight < minWeight || s.Weight > 1 {
					t.Fatalf("got %+v, want a weight from %v to 1", s, minWeight)
				}
			}
		}
	})
	if suspected == 0 {
		t.Error("no endpoint was suspected in any run")
	}
}

// BenchmarkReceiveAndAssess measures the cost of a report with 5,000 endpoints and ten members.
func BenchmarkReceiveAndAssess(b *testing.B) {
	v := newEvaluator(9)
	var ids []Endpoint
	for i := range 5000 {
		ids = append(ids, Endpoint(i))
	}
	v.SetEndpoints(ids)
	now := time.Duration(0)
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		now += 20 * time.Microsecond
		id := Endpoint(i % 5000)
		if err := v.Receive(now, report(Peer(1+i/5000%9), id, now, i%3 == 0)); err != nil && !errors.Is(err, ErrRepeated) {
			b.Fatal(err)
		}
		v.Assess(now, id)
	}
	endpoints, reports, _ := v.Size()
	b.ReportMetric(float64(reports), fmt.Sprint("reports/", endpoints, "_endpoints"))
}

// An endpoint that failed has recovered once a peer of sufficient weight reports a success after all failures. The
// next call evaluates that peer, and one that reported falsely does not count again soon. An endpoint has not
// recovered while this node's last call succeeded after a failure.
func TestRecoveredAfterPeerReportsLaterSuccess(t *testing.T) {
	v := newEvaluator(9)
	if v.Recovered(second, 1) {
		t.Error("got a recovery of an endpoint without failures")
	}
	v.ObserveCall(second, 1, second-ms, false)
	receive(t, v, second, report(1, 1, second-ms, false), nil)
	if v.Recovered(second, 1) {
		t.Error("got a recovery by a success before the failure")
	}
	receive(t, v, 2*second, report(1, 1, 2*second, false), nil)
	if !v.Recovered(2*second, 1) {
		t.Error("got no recovery although a peer reported a success after the failure")
	}
	receive(t, v, 3*second, report(2, 1, 2*second+ms, true), nil)
	if v.Recovered(3*second, 1) {
		t.Error("got a recovery although another peer reported a later failure")
	}
	receive(t, v, 4*second, report(1, 1, 4*second, false), nil)
	v.ObserveCall(5*second, 1, 5*second-ms, false) // refutes the report
	receive(t, v, 6*second, report(1, 1, 6*second, false), nil)
	if v.Recovered(6*second, 1) {
		t.Error("got a recovery by a peer whose last report was refuted")
	}
	receive(t, v, 7*second, report(3, 1, 7*second, false), nil)
	v.ObserveCall(8*second, 1, 8*second-ms, true)
	if v.Recovered(8*second, 1) {
		t.Error("got a recovery although the last call of this node succeeded")
	}
	otherZoneReport := report(4, 2, 9*second, false)
	otherZoneReport.Zone++
	v.ObserveCall(8*second, 2, 8*second-ms, false)
	receive(t, v, 9*second, otherZoneReport, nil)
	if v.Recovered(9*second, 2) {
		t.Error("got a recovery by a report of another zone")
	}
}

// Reputations survive a restart: an evaluator with restored reputations gives a peer that reported falsely the same
// weight as before. Invalid saved reputations are skipped.
func TestRestoreKeepsReputationsAndSkipsInvalid(t *testing.T) {
	v := newEvaluator(9)
	for i := range time.Duration(4) {
		at := (2*i + 1) * second
		receive(t, v, at, report(5, 1, at, true), nil)
		v.ObserveCall(at+2*ms, 1, at+ms, true)
	}
	want := v.Reputations(10 * second)
	restored := newEvaluator(9)
	restored.Restore(10*second, append(want, PeerReputation{Peer: 99, Weight: 7}, PeerReputation{Peer: 98}))
	if got := restored.Reputations(10 * second); fmt.Sprint(got) != fmt.Sprint(want) {
		t.Errorf("got %+v, want %+v", got, want)
	}
}
