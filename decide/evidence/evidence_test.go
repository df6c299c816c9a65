package evidence

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

const (
	ms     = time.Millisecond
	second = time.Second
	here   = 1
	there  = 2
)

// newEvaluator has so many members beside itself, and the endpoints 1 to 3.
func newEvaluator(others int) *Evaluator {
	v := New(Defaults(here))
	var peers []Peer
	for i := range others {
		peers = append(peers, Peer(i+1))
	}
	v.SetMembers(0, peers)
	v.SetEndpoints([]Endpoint{1, 2, 3})
	return v
}

// report reports that all calls of the last 100 ms failed, or that none did.
func report(p Peer, id Endpoint, at time.Duration, down bool) Report {
	e := Report{Peer: p, Endpoint: id, Zone: here, From: at - 100*ms, To: at, Calls: 5}
	if down {
		e.Failed = 5
	}
	return e
}

func receive(t *testing.T, v *Evaluator, now time.Duration, e Report, want error) {
	t.Helper()
	if err := v.Receive(now, e); !errors.Is(err, want) {
		t.Errorf("peer %d of endpoint %d: %v, want %v", e.Peer, e.Endpoint, err, want)
	}
}

func TestQuorum(t *testing.T) {
	for members, want := range map[int]int{1: 2, 2: 2, 5: 2, 8: 2, 9: 3, 10: 3, 13: 4, 61: 16, 1000: 16} {
		if got := Quorum(members); got != want {
			t.Errorf("%d members: %d, want %d", members, got, want)
		}
	}
}

// Three of nine others who see an endpoint failing slow it, and never stop it; two who collude do
// nothing. An own call that is succeeded ends it at once, and those who were wrong lose half of their weight.
func TestAssess(t *testing.T) {
	v := newEvaluator(9)
	receive(t, v, second, report(1, 1, second, true), nil)
	receive(t, v, second, report(2, 1, second, true), nil)
	if got := v.Assess(second, 1); got.Suspected || got.Share != 1 || got.Peers != 2 {
		t.Errorf("two of nine: %+v", got)
	}
	receive(t, v, second, report(3, 1, second, true), nil)
	if got := v.Assess(second, 1); !got.Suspected || got.Share <= 0 || got.Share >= 1 || got.TrialEvery <= 0 {
		t.Errorf("three of nine: %+v", got)
	}
	if got := v.Assess(second, 2); got.Suspected {
		t.Errorf("another endpoint: %+v", got)
	}
	v.ObserveCall(1100*ms, 1, 1050*ms, true)
	if got := v.Assess(1100*ms, 1); got.Suspected || got.Share != 1 {
		t.Errorf("an own call was succeeded: %+v", got)
	}
	for _, s := range v.Reputations(1100 * ms)[:3] {
		if s.Weight > 0.26 || s.Wrong != 1 || s.Right != 0 || !s.Member {
			t.Errorf("%+v", s)
		}
	}
	v.ObserveCall(1200*ms, 1, 1150*ms, true) // the same report is evaluated once
	if w := v.Reputations(1200 * ms)[0].Weight; w < 0.25 {
		t.Errorf("evaluated twice for one report: %v", w)
	}
	// Their evidence counts no more than half now, also once the own call is old.
	for p := range Peer(3) {
		receive(t, v, 4*second, report(p+1, 2, 4*second, true), nil)
	}
	if got := v.Assess(4*second, 2); got.Suspected || got.Peers != 3 {
		t.Errorf("three who were wrong: %+v", got)
	}
	// Those who see it answer outweigh.
	for p := range Peer(6) {
		receive(t, v, 5*second, report(p+4, 3, 5*second, p < 3), nil)
	}
	if got := v.Assess(5*second, 3); got.Suspected || got.Peers != 3 || got.Up == 0 {
		t.Errorf("three against three: %+v", got)
	}
}

// What is old, from the future, repeated, of no member, of no endpoint, or senseless changes nothing.
func TestRejectedReports(t *testing.T) {
	v := newEvaluator(9)
	now := time.Minute
	for i, c := range []struct {
		f    func(*Report)
		want error
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
		c.f(&e)
		if err := v.Receive(now, e); !errors.Is(err, c.want) {
			t.Errorf("%d: %v, want %v", i, err, c.want)
		}
	}
	if _, reports, _ := v.Size(); reports != 0 {
		t.Errorf("%d reports were kept", reports)
	}
	receive(t, v, now, report(1, 1, now, false), nil)
	receive(t, v, now, report(1, 1, now, true), ErrRepeated)         // the same moment
	receive(t, v, now, report(1, 1, now-second, true), ErrRepeated)  // replayed
	receive(t, v, now+second, report(1, 1, now+second, true), nil)   // newer
	receive(t, v, now+second, report(1, 1, now, false), ErrRepeated) // what it said before
	receive(t, v, now+20*second, report(1, 1, now+second, true), ErrStale)
}

// An outage in the other zone means nothing for this one's route.
func TestOtherBuilding(t *testing.T) {
	v := newEvaluator(9)
	for p := range Peer(9) {
		e := report(p+1, 1, second, true)
		e.Zone = there
		receive(t, v, second, e, nil)
	}
	if got := v.Assess(second, 1); got.Suspected || got.Peers != 0 {
		t.Errorf("%+v", got)
	}
	v.ObserveCall(1100*ms, 1, 1050*ms, true)
	for _, s := range v.Reputations(1100 * ms) {
		if s.Wrong > 0 {
			t.Errorf("evaluated by another route: %+v", s)
		}
	}
}

// A peer that reports truthfully for an hour has credit for a few lies at most; and what it lost comes
// back in time, no further than the weight of a stranger.
func TestLiarWithCredit(t *testing.T) {
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
		t.Errorf("after an hour of truth %v", weight)
	}
	now += time.Hour
	if w := v.Reputations(now)[0].Weight; w != 1 {
		t.Errorf("what it earned went by itself: %v", w)
	}
	lies := 0
	for weight >= minCountedWeight {
		weight = step(true, true)
		lies++
	}
	if lies > 4 {
		t.Errorf("it counted for %d lies", lies)
	}
	for range 10 {
		weight = step(true, true)
	}
	if weight < minWeight || weight > minCountedWeight {
		t.Errorf("a steady liar weighs %v", weight)
	}
	now += 10 * time.Minute
	if w := v.Reputations(now)[0].Weight; w < 0.24 || w > 0.27 {
		t.Errorf("ten minutes later it weighs %v", w)
	}
	now += 100 * time.Hour
	if w := v.Reputations(now)[0].Weight; w < 0.499 || w > 0.5 {
		t.Errorf("days later it weighs %v", w)
	}
	// Leaving and coming back buys no trust.
	weight = step(true, true)
	v.SetMembers(now, []Peer{2, 3})
	v.SetMembers(now, []Peer{1, 2, 3})
	if w := v.Reputations(now)[0].Weight; w != weight {
		t.Errorf("it left with %v and came back with %v", weight, w)
	}
}

// A peer that reports on everything has its quota, and takes nothing from the others; all that is stored is bounded.
func TestBounds(t *testing.T) {
	s := Defaults(here)
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
	receive(t, v, 12*second, report(1, 30, 12*second, true), nil) // the older ones are deleted
	if endpoints, reports, _ := v.Size(); endpoints != 50 || reports != 2 {
		t.Errorf("%d endpoints, %d reports", endpoints, reports)
	}
	v.SetEndpoints(ids[:20]) // 30 is removed: its reports free their quota
	for id := range Endpoint(10) {
		receive(t, v, 13*second, report(1, id, 13*second, true), nil)
	}
	// Peers come and go without end.
	for i := range Peer(100) {
		v.SetMembers(14*second, []Peer{i + 10, i + 11})
		receive(t, v, 14*second, report(i+10, 1, 14*second, true), nil)
	}
	if _, reports, weights := v.Size(); reports > 40 || weights > 2*s.MaxPeers+2 {
		t.Errorf("%d reports, %d weights", reports, weights)
	}
}

// Whatever fewer peers than a quorum report, in any order and with any content, no endpoint is slowed; and
// whatever all report, one whose last own call succeeded is not, and none is stopped.
func TestNoPeerBelowQuorumSlows(t *testing.T) {
	suspected := 0
	rapid.Check(t, func(t *rapid.T) {
		others := rapid.IntRange(1, 20).Draw(t, "others")
		v := newEvaluator(others)
		liars := rapid.IntRange(0, others).Draw(t, "liars")
		belowQuorum := liars < Quorum(others+1)
		now := time.Minute
		succeeded := map[Endpoint]time.Duration{}
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 3000).Draw(t, "pause")) * ms
			id := Endpoint(rapid.IntRange(1, 3).Draw(t, "endpoint"))
			if liars > 0 && rapid.IntRange(0, 4).Draw(t, "who") > 0 {
				_ = v.Receive(now, Report{
					Peer: Peer(rapid.IntRange(1, liars).Draw(t, "peer")), Endpoint: id,
					Zone: rapid.IntRange(0, 2).Draw(t, "zone"), From: now - time.Duration(rapid.IntRange(-1, 12000).Draw(t, "from"))*ms,
					To: now - time.Duration(rapid.IntRange(-2000, 12000).Draw(t, "to"))*ms, Calls: rapid.IntRange(-1, 1<<40).Draw(t, "calls"),
					Failed: rapid.IntRange(-1, 1<<40).Draw(t, "failed"),
				})
				_ = v.Receive(now, report(Peer(rapid.IntRange(1, liars).Draw(t, "peer")), id, now, true))
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
				if got.Share <= 0 || got.Share < 1 && (got.TrialEvery <= 0 || belowQuorum || ok && now-at <= v.settings.OwnSuccessTime) {
					t.Fatalf("%d of %d others lie; the own call succeeded %v ago (%t): %+v", liars, others, now-at, ok, got)
				}
			}
			for _, s := range v.Reputations(now) {
				if s.Weight < minWeight || s.Weight > 1 {
					t.Fatalf("%+v", s)
				}
			}
		}
	})
	if suspected == 0 {
		t.Error("nothing was ever suspected")
	}
}

// BenchmarkReceiveAndAssess measures what a report costs at 5,000 endpoints and ten members.
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

// One that was out is back for this node once a peer of weight saw it answer after all that failed; the call that
// follows evaluates it, and a liar does not count again soon. While the own last call was succeeded nothing is back.
func TestRecovered(t *testing.T) {
	v := newEvaluator(9)
	if v.Recovered(second, 1) {
		t.Error("one that nobody saw failing is back")
	}
	v.ObserveCall(second, 1, second-ms, false)
	receive(t, v, second, report(1, 1, second-ms, false), nil)
	if v.Recovered(second, 1) {
		t.Error("back by an answer from before the failure")
	}
	receive(t, v, 2*second, report(1, 1, 2*second, false), nil)
	if !v.Recovered(2*second, 1) {
		t.Error("not back, though a peer saw it answer after the failure")
	}
	receive(t, v, 3*second, report(2, 1, 2*second+ms, true), nil)
	if v.Recovered(3*second, 1) {
		t.Error("back, though another saw it fail since")
	}
	receive(t, v, 4*second, report(1, 1, 4*second, false), nil)
	v.ObserveCall(5*second, 1, 5*second-ms, false) // the lie is found out
	receive(t, v, 6*second, report(1, 1, 6*second, false), nil)
	if v.Recovered(6*second, 1) {
		t.Error("one that lied is believed again at once")
	}
	receive(t, v, 7*second, report(3, 1, 7*second, false), nil)
	v.ObserveCall(8*second, 1, 8*second-ms, true)
	if v.Recovered(8*second, 1) {
		t.Error("back, though the own call succeeded")
	}
	abroad := report(4, 2, 9*second, false)
	abroad.Zone++
	v.ObserveCall(8*second, 2, 8*second-ms, false)
	receive(t, v, 9*second, abroad, nil)
	if v.Recovered(9*second, 2) {
		t.Error("back by what another zone saw")
	}
}

// Weights outlast a restart: a node that starts again does not trust a liar anew.
func TestRestore(t *testing.T) {
	v := newEvaluator(9)
	for i := range time.Duration(4) {
		at := (2*i + 1) * second
		receive(t, v, at, report(5, 1, at, true), nil)
		v.ObserveCall(at+2*ms, 1, at+ms, true)
	}
	had := v.Reputations(10 * second)
	again := newEvaluator(9)
	again.Restore(10*second, append(had, PeerReputation{Peer: 99, Weight: 7}, PeerReputation{Peer: 98}))
	if got := again.Reputations(10 * second); fmt.Sprint(got) != fmt.Sprint(had) {
		t.Errorf("%+v, had %+v", got, had)
	}
}
