// Package ratelimit decides how many calls per second one sender may make under a rate limit. The sender's
// quota is either shared, for a limit whose actual value the senders do not know, or exclusive, for a share of
// the limit that is assigned to the sender.
//
// The package does no I/O, starts no goroutine and reads no clock: callers pass the time, which must not go
// back. A [Quota] is not safe for concurrent use. Start reading at [Quota], then [Quota.RecordRejection].
//
// # Shared quotas
//
// A quota allows its level times the sender's fair share of the advertised rate. If 80 senders share a limit of,
// say, 20 calls per second, each makes a call only every four seconds. Its own rejections inform it too late:
// if only they cut the level, cuts and growth would balance only when a quarter of all calls is rejected. So
// senders report each rejection to each other, and every sender makes a small cut for each of them. The levels
// of all senders then change together.
//
// Let all senders together make R calls per second, and a fraction f of the calls be rejected. The logarithm
// of the level falls by rejectionWeight*f per second (by rejectionWeight/R per rejection) and rises by the
// growth. The level settles where f equals the growth divided by rejectionWeight, for any number of senders and
// any limit: 3 to 6%, and up to twice that under a limit of a few calls per second, where rejections are rare.
// The level falls at most by a factor of e^rejectionWeight per second, and once by another factor of
// e^maxCutBurst. So neither simultaneous rejections nor a faulty sender's reports stop all calls, and the level
// recovers within seconds after they end.
//
// # Exclusive quotas
//
// The share of an exclusive quota ([Quota.Assign]) is known, so its level starts at 1 and never exceeds 1.
// Rejections of the sender's own calls below the share cut the level in the same way.
package ratelimit

import (
	"math"
	"time"
)

const (
	// rejectionWeight is the logarithm of the factor by which the level falls per second while all calls are
	// rejected.
	rejectionWeight = 1.0
	// maxCutBurst is the largest cut at one time, as a logarithm. Cuts are bounded because calls that were
	// outstanding together are rejected together.
	maxCutBurst = 0.5

	// The growth per second is minGrowth * (1 + (t/growthRampTime)^2), at most maxGrowth, with t the time since
	// the last rejection. So the level grows slowly near the limit, and fast after the limit was removed.
	minGrowth, maxGrowth = 0.02, 0.3
	growthRampTime       = 500 * time.Millisecond
	// growthWindow is how long a level grows after a message had to wait for the quota. While the level is not
	// fully used, the absence of rejections does not show that the limit allows more: the level might even be
	// too high.
	growthWindow = 4 * time.Second

	// minLevel is the lowest level: a limit may temporarily be a small fraction of the advertised rate.
	minLevel = 0.1
	// maxAdvertisedRateFactor bounds one sender's rate, as a multiple of the advertised rate of all senders
	// together: the actual limit may be twice the advertised one, and one sender may have most of the traffic.
	maxAdvertisedRateFactor = 2.0

	// recentDecayTime is the time in which the recent level of a shared quota decays to 1/e after the level
	// has fallen.
	recentDecayTime = 6 * time.Second
	// recentExclusiveTime is the time in which the recent level of an exclusive quota falls linearly to the
	// level. It is the length of the wide window of package policy, so that a reduced share delays calls no longer than the
	// narrow window does.
	recentExclusiveTime = 12 * time.Second

	// defaultShareRate is the share, in calls per second, of a quota that is suspended before any share was
	// assigned.
	defaultShareRate = 1.0
	// minSuspension is the shortest time that a quota is expected to stay suspended.
	minSuspension = 2 * time.Second
	// roundingTolerance is the largest excess of a number of calls over an integer at which the number is
	// rounded down.
	roundingTolerance = 1e-9
)

// Quota is one sender's quota of a rate limit. Senders that record the same rejections have the same level. A
// nil Quota limits nothing; only methods whose comments mention a nil Quota accept it.
type Quota struct {
	fairRate float64 // calls per second of one sender at level 1
	senders  float64 // number of senders that share the limit
	maxLevel float64

	exclusive   bool          // the share is assigned to this sender exclusively
	suspended   bool          // no call is allowed; exclusive quotas only
	suspendedAt time.Duration // when it was suspended

	level       float64       // allowed multiple of fairRate
	recentLevel float64       // at least level; decays to it when level falls
	recentDecay float64       // decrease of recentLevel per second; exclusive quotas only
	cutBudget   float64       // largest allowed cut, as a logarithm
	updatedAt   time.Duration // the time of the fields above

	lastRejection time.Duration
	lastDemand    time.Duration // when a message last had to wait for this quota
}

// NewShared returns one sender's quota of an advertised rate, in calls per second, that all senders share.
func NewShared(now time.Duration, advertisedRate float64, senders int) *Quota {
	n := float64(max(1, senders))
	return &Quota{
		fairRate: advertisedRate / n, senders: n, maxLevel: maxAdvertisedRateFactor * n,
		level: 1, recentLevel: 1, cutBudget: maxCutBurst,
		updatedAt: now, lastRejection: now, lastDemand: now - growthWindow,
	}
}

// Assign assigns a share of the limit, in calls per second, to the sender and returns its exclusive quota. A
// negative share suspends the quota; 0 withdraws the assignment and returns nil. Assign changes q in place and
// returns it if q is exclusive already. It accepts a nil or shared Quota and returns a new one for it.
func (q *Quota) Assign(now time.Duration, share float64) *Quota {
	if share == 0 {
		return nil
	}
	if !q.Exclusive() {
		q = NewShared(now, defaultShareRate, 1)
		q.exclusive, q.maxLevel = true, 1
		if share > 0 {
			q.fairRate = share
		}
	}
	q.advance(now)
	if share < 0 {
		if !q.suspended {
			q.suspended, q.suspendedAt = true, now
		}
		return q
	}
	// The wide window still allows the calls that the previous share allowed.
	q.recentLevel = max(q.level, q.recentLevel*q.fairRate/share)
	q.fairRate, q.suspended = share, false
	q.recentDecay = (q.recentLevel - q.level) / recentExclusiveTime.Seconds()
	return q
}

// Exclusive reports whether the sender has an assigned share. It returns false for a nil Quota.
func (q *Quota) Exclusive() bool { return q != nil && q.exclusive }

// SuspendedFor returns how long the quota is expected to stay suspended: as long as it has been so far, and at
// least minSuspension. It returns 0 if the quota is not suspended, and for a nil Quota.
func (q *Quota) SuspendedFor(now time.Duration) time.Duration {
	if q == nil || !q.suspended {
		return 0
	}
	return max(minSuspension, now-q.suspendedAt)
}

// Cap returns a rate in calls per second, reduced to the share if the quota is exclusive. A nil Quota does not
// reduce it.
func (q *Quota) Cap(rate float64) float64 {
	if q.Exclusive() {
		return min(rate, q.fairRate)
	}
	return rate
}

// WindowCapacity returns how many calls a window with an allotment, in calls, may contain: at least one. For
// an exclusive quota it is an integer, so that the scaled window ([Quota.WindowScale]) allows the full share.
// With a nil Quota it is the allotment, or one if that is less.
func (q *Quota) WindowCapacity(allotment float64) float64 {
	if q.Exclusive() {
		allotment = math.Ceil(allotment - roundingTolerance)
	}
	return max(1, allotment)
}

// WindowScale returns the factor by which a window with an allotment, in calls, is longer than usual. Under a
// shared or nil Quota the factor includes jitter, a random factor of about 1, so that senders that were
// rejected at the same time do not all call again at the same time.
func (q *Quota) WindowScale(allotment, jitter float64) float64 {
	if q.Exclusive() {
		return q.WindowCapacity(allotment) / allotment
	}
	return jitter / min(1, allotment)
}

// Rate returns the rate that this sender may use now, and the rate that it was recently allowed, both in calls
// per second.
func (q *Quota) Rate(now time.Duration) (rate, recent float64) {
	q.advance(now)
	return q.fairRate * q.level, q.fairRate * q.recentLevel
}

// RecordDemand records that a message waits for this quota, so that the level may grow. It does nothing for a
// nil Quota.
func (q *Quota) RecordDemand(now time.Duration) {
	if q != nil {
		q.advance(now)
		q.lastDemand = now
	}
}

// RecordRejection cuts the level after a call of this sender, or of a peer that reported it, was rejected for
// exceeding the limit. unreported means that the rejection is not reported to other senders. It then counts
// once per sender, because the unreported rejections of the other senders do not reach this one either.
func (q *Quota) RecordRejection(now time.Duration, unreported bool) {
	q.advance(now)
	count := 1.0
	if unreported {
		count = q.senders
	}
	// The estimate of the total rate of all senders uses a level of 1 at most: only the few senders with much
	// traffic reach a higher level, which does not increase the total.
	cut := min(q.cutBudget, rejectionWeight*count/max(1, q.fairRate*q.senders*min(q.level, 1)))
	q.cutBudget -= cut
	q.level = max(minLevel, q.level*math.Exp(-cut))
	q.lastRejection = now
	q.recentDecay = max(q.recentDecay, (q.recentLevel-q.level)/recentExclusiveTime.Seconds())
}

// UndoRecentCuts raises the level to the recent level. The caller uses it when rejections turn out to be caused
// by an outage and therefore give no information about the limit. It does nothing for a nil Quota.
func (q *Quota) UndoRecentCuts(now time.Duration) {
	if q != nil {
		q.advance(now)
		q.level = min(q.recentLevel, q.maxLevel)
	}
}

// AtMinimum reports whether the level cannot be cut further. If a destination still rejects calls then, load is
// not the only cause.
func (q *Quota) AtMinimum(now time.Duration) bool {
	q.advance(now)
	return q.level <= minLevel
}

// advance updates the quota to a time: it applies the growth of the level, the decay of the recent level, and the
// refill of the cut budget.
func (q *Quota) advance(now time.Duration) {
	if now <= q.updatedAt {
		return
	}
	elapsed := (now - q.updatedAt).Seconds()
	q.cutBudget = min(maxCutBurst, q.cutBudget+rejectionWeight*elapsed)
	if until := min(now, q.lastDemand+growthWindow); until > q.updatedAt {
		ramp := float64(until-q.lastRejection) / float64(growthRampTime)
		growth := min(maxGrowth, minGrowth*(1+ramp*ramp))
		q.level = min(q.maxLevel, q.level*math.Exp(growth*(until-q.updatedAt).Seconds()))
	}
	if q.exclusive {
		q.recentLevel = max(q.level, q.recentLevel-q.recentDecay*elapsed)
	} else {
		q.recentLevel = max(q.level, q.recentLevel*math.Exp(-elapsed/recentDecayTime.Seconds()))
	}
	q.updatedAt = now
}
