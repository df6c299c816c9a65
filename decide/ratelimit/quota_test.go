package ratelimit

import (
	"math"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// For any rejections, demand, number of senders and advertised rate, the rates must stay within their bounds, and the level
// must fall no faster than documented in the package comment: otherwise a burst of rejections or a faulty sender's reports
// could stop all calls.
func TestSharedQuotaStaysWithinBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		senders := rapid.IntRange(-1, 300).Draw(t, "senders")
		advertised := rapid.Float64Range(0.001, 1e6).Draw(t, "rate")
		now := time.Hour
		q := NewShared(now, advertised, senders)
		fair := advertised / float64(max(1, senders))
		for range rapid.IntRange(1, 200).Draw(t, "events") {
			step := time.Duration(rapid.IntRange(0, 3000).Draw(t, "step")) * time.Millisecond
			before, _ := q.Rate(now)
			now += step
			for range rapid.IntRange(0, 20).Draw(t, "rejections") {
				q.RecordRejection(now, rapid.Bool().Draw(t, "unreported"))
			}
			if rapid.Bool().Draw(t, "demand") {
				q.RecordDemand(now)
			}
			rate, recent := q.Rate(now)
			if math.IsNaN(rate) || rate < minLevel*fair*0.999 || rate > maxAdvertisedRateFactor*max(advertised, fair)*1.001 || recent < rate {
				t.Fatalf("for a fair rate of %v: got rate %v and recent rate %v, want both within bounds", fair, rate, recent)
			}
			if floor := before * math.Exp(-maxCutBurst-rejectionWeight*step.Seconds()); rate < min(floor, before)*0.999 && rate > minLevel*fair*1.001 {
				t.Fatalf("after %v: got a rate reduced from %v to %v, want at least %v", step, before, rate, floor)
			}
		}
	})
}

// A level must not grow while no message waits for the quota, because unused quota gives no information about the limit.
// Under demand it must double within five seconds without a rejection, also from the minimum.
func TestSharedQuotaGrowsOnlyUnderDemand(t *testing.T) {
	now := time.Hour
	q := NewShared(now, 80, 80)
	now += time.Minute
	if rate, _ := q.Rate(now); rate != 1 {
		t.Errorf("after a minute without demand: got rate %v, want 1", rate)
	}
	for range 100 {
		now += 100 * time.Millisecond
		q.RecordRejection(now, true)
	}
	if !q.AtMinimum(now) {
		t.Error("after 10 s of rejections: got a level above the minimum, want the minimum")
	}
	low, recent := q.Rate(now)
	if recent <= low {
		t.Errorf("after 10 s of rejections: got recent rate %v, want more than the current rate %v", recent, low)
	}
	for range 50 {
		now += 100 * time.Millisecond
		q.RecordDemand(now)
	}
	if rate, _ := q.Rate(now); rate < 2*low || q.AtMinimum(now) {
		t.Errorf("after 5 s of demand: got rate %v, want at least twice %v", rate, low)
	}
}

// A sender that has most of the traffic must reach the full advertised rate under demand, for any number of senders.
// Otherwise the part of the limit that idle senders do not use is lost.
func TestBusiestSenderReachesAdvertisedRate(t *testing.T) {
	for _, senders := range []int{16, 80, 300} {
		now := time.Hour
		q := NewShared(now, 100, senders)
		for range 250 {
			now += 100 * time.Millisecond
			q.RecordDemand(now)
		}
		if rate, _ := q.Rate(now); rate < 100 {
			t.Errorf("%d senders, after 25 s of demand: got rate %.1f, want at least 100", senders, rate)
		}
	}
}

// A rejection that is not reported to other senders must count once per sender, because their unreported rejections do not
// reach this sender either.
func TestUnreportedRejectionCountsForAllSenders(t *testing.T) {
	now := time.Hour
	reported, unreported := NewShared(now, 800, 80), NewShared(now, 800, 80)
	reported.RecordRejection(now, false)
	unreported.RecordRejection(now, true)
	a, _ := reported.Rate(now)
	b, _ := unreported.Rate(now)
	if one := 10 * math.Exp(-rejectionWeight/800); math.Abs(a-one) > 1e-9 || b >= a {
		t.Errorf("got rate %v after a reported rejection, want %v; got %v after an unreported one, want less", a, one, b)
	}
}

// An assigned share must be available in full at first and never be exceeded. The level must recover after cuts, and a
// suspension must leave the rates unchanged.
func TestExclusiveQuotaStaysWithinShare(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Hour
		limit := rapid.Float64Range(0.01, 1000).Draw(t, "limit")
		q := (*Quota)(nil).Assign(now, limit)
		if rate, recent := q.Rate(now); rate != limit || recent != limit {
			t.Fatalf("after the assignment: got rate %v and recent rate %v, want the share of %v", rate, recent, limit)
		}
		for range rapid.IntRange(1, 60).Draw(t, "events") {
			now += time.Duration(rapid.IntRange(0, 3000).Draw(t, "step")) * time.Millisecond
			switch rapid.IntRange(0, 4).Draw(t, "event") {
			case 0:
				q.RecordRejection(now, rapid.Bool().Draw(t, "unreported"))
			case 1:
				q.RecordDemand(now)
			case 2:
				limit = rapid.Float64Range(0.01, 1000).Draw(t, "next")
				q = q.Assign(now, limit)
			case 3:
				q = q.Assign(now, -1)
				if q.SuspendedFor(now) < minSuspension {
					t.Fatalf("after a suspension: got suspended for %v, want at least %v", q.SuspendedFor(now), minSuspension)
				}
				q = q.Assign(now, limit)
			case 4:
				q.UndoRecentCuts(now)
			}
			rate, recent := q.Rate(now)
			if math.IsNaN(rate) || rate > limit*1.000001 || rate < minLevel*limit*0.999 || recent < rate*0.999999 || math.IsInf(recent, 0) {
				t.Fatalf("for a share of %v: got rate %v and recent rate %v, want both within bounds", limit, rate, recent)
			}
			allotment := 2 * rate
			if capacity := q.WindowCapacity(allotment); capacity < 1 || capacity < allotment-1e-6 || capacity >= max(allotment, 1)+1 || capacity != math.Trunc(capacity) {
				t.Fatalf("got a window capacity of %v calls, want the allotment of %v rounded up", capacity, allotment)
			}
			if scale := q.WindowScale(allotment, 7); scale < 1-1e-6 || math.Abs(scale*allotment-q.WindowCapacity(allotment)) > 1e-6*scale*allotment {
				t.Fatalf("got a window scale of %v, want the capacity divided by %v", scale, allotment)
			}
			if q.SuspendedFor(now) != 0 || !q.Exclusive() {
				t.Fatal("got a suspended or shared quota, want an exclusive one")
			}
		}
		for range 40 {
			now += 500 * time.Millisecond
			q.RecordDemand(now)
		}
		if rate, _ := q.Rate(now); rate < limit*0.999 {
			t.Fatalf("after 20 s of demand: got rate %v, want the share of %v", rate, limit)
		}
		if q.Assign(now, 0) != nil {
			t.Fatal("after the assignment was withdrawn: got a quota, want nil")
		}
	})
}
