package policy

import (
	"cmp"
	"math"
	"time"
	"wingmount/decide/ratelimit"
	"wingmount/internal/container"
	"wingmount/internal/estimate"
)

const (
	// The two sliding windows of a path. A destination gets a few calls a second, so the narrow window is
	// seconds long to count more than one or two. The wide window also counts the calls that a larger
	// allotment allowed before a cut.
	narrowWindow = 2 * time.Second
	wideWindow   = 12 * time.Second
	// wideToNarrow is the ratio of the windows.
	wideToNarrow = float64(wideWindow) / float64(narrowWindow)

	// A success under an exhausted allotment adds allotmentGrowth calls to it, and a rejection multiplies it
	// by allotmentPerRejection. Rejections cost little and unused capacity delays messages, so growth is fast
	// and cuts are small.
	allotmentGrowth       = 0.25
	allotmentPerRejection = 0.85
	// allotmentPerRepeatedRejection is the factor for a rejection without a success since the last one. It is
	// smaller because, if rejected calls also count for the limit, a congested destination stays congested.
	allotmentPerRepeatedRejection = 0.75
	// maxAllotmentGrowth limits the growth by a success, as a fraction of the allotment: many senders with
	// small allotments would otherwise exceed the limit together between two rejections.
	maxAllotmentGrowth = 0.12
	// callSpacing is the gap between calls under an allotment, as a fraction of the window divided by the
	// allotment. A destination that accepts calls at a steady rate would reject calls sent at the same time.
	callSpacing = 0.8

	// rejectionsToMinAllotment is the number of rejections that reduce an allotment of one call to the
	// minimum, one call for all senders together. successesPerRejection is the number of successes that undo
	// one such rejection. Both are small because few outcomes are seen at such rates.
	rejectionsToMinAllotment = 3
	successesPerRejection    = 3
	// jitterSpread is the maximum difference between a jitter factor and 1.
	jitterSpread = 0.5
	// minSendersForQuotas is the minimum number of senders for shared quotas, for which senders report
	// rejections to each other. With so many senders, the rejections of one sender's own calls come too late.
	minSendersForQuotas = 16

	// A rejection without Retry-After pauses a path for rejectionPause, doubled with each rejection in a row,
	// the first one included, up to maxRejectionPause. The first pause is therefore 2 * rejectionPause plus
	// jitter.
	rejectionPause    = 200 * time.Millisecond
	maxRejectionPause = 2 * time.Second
	// maxPauseJitter is the maximum random addition to a pause. Without it all senders would resume at the
	// same time.
	maxPauseJitter = 250 * time.Millisecond
	// maxPauseDoublings keeps the doubled pause from overflowing.
	maxPauseDoublings = 6

	// A path is slow if its mean latency exceeds slowLatencyRatio times its baseline latency. While latencies
	// rise on all paths, the factor is multiplied by slotUsage.relativeLatency.
	slowLatencyRatio = 3
	// A slow path may use 1/slowPathSlotDivisor of the slots.
	slowPathSlotDivisor = 4
)

// rateLimiter limits the calls on one path by two sliding windows of call starts. The allotment is learnt
// from rejections, or follows a quota.
type rateLimiter struct {
	narrow, wide container.Window
	allotment    float64          // calls in a narrow window; infinite without a limit
	quota        *ratelimit.Quota // shared by many senders or assigned to this one, or nil
	jitter       float64          // random factor from 0.5 to 1.5 on the windows under a shared quota
	blockedUntil Time             // by Retry-After or a pause

	allotmentBeforeRejections float64          // the allotment before the latest rejections in a row, or 0
	congestion                estimate.Backoff // its Span is the maximum pause for congestion

	advertisedRatePerSender float64 // in calls a second, or 0
	safeRate                float64 // the lower bound of this sender's advertised or assigned rate
}

// newRateLimiter returns a limiter without a limit.
func newRateLimiter() rateLimiter {
	return rateLimiter{
		narrow: container.Window{Span: narrowWindow}, wide: container.Window{Span: wideWindow},
		allotment: math.Inf(1), jitter: 1,
	}
}

func (l *rateLimiter) limited() bool { return !math.IsInf(l.allotment, 1) }

// recordCall counts a call that starts now in both windows.
func (l *rateLimiter) recordCall(now Time) {
	l.narrow.Record(now)
	l.wide.Record(now)
}

// restoreCalls counts the calls that the node sent before it restarted, oldest first.
func (l *rateLimiter) restoreCalls(now Time, sent []Time) {
	l.narrow.Insert(sent)
	l.narrow.Count(now)
	l.wide.Insert(sent)
	l.wide.Count(now)
}

// nextCallAt returns the time from which the spacing of calls allows the next one, 0 for no restriction.
// Allotments of up to one call need no spacing.
func (l *rateLimiter) nextCallAt(tick time.Duration) Time {
	if l.allotment <= 1 || !l.limited() {
		return 0
	}
	return l.narrow.Next(callSpacing*float64(narrowWindow)/l.allotment, tick)
}

// windowsFull reports whether one more call would exceed the capacity, in calls, of the narrow window, or the
// proportional capacity of the wide window.
func (l *rateLimiter) windowsFull(now Time, capacity float64) bool {
	return float64(l.narrow.Count(now)) > capacity-1 || float64(l.wide.Count(now)) > capacity*wideToNarrow-1
}

// exhausted reports whether at most one more call fits into the allotment of the narrow window.
func (l *rateLimiter) exhausted(now Time) bool {
	return l.limited() && float64(l.narrow.Count(now)) >= l.allotment-1
}

// blockUntil blocks calls until a time.
func (l *rateLimiter) blockUntil(until Time) { l.blockedUntil = max(l.blockedUntil, until) }

// updateFromQuota sets the allotment and the windows from the current rate of the quota. If the recent rate
// was higher, the wide window is shortened in proportion, because the calls that were allowed at the recent
// rate would exceed the window's new capacity and block further calls.
func (l *rateLimiter) updateFromQuota(now Time) {
	rate, recent := l.quota.Rate(now)
	l.allotment = rate * narrowWindow.Seconds()
	scale := l.quota.WindowScale(l.allotment, l.jitter)
	l.narrow.Span = time.Duration(scale * float64(narrowWindow))
	l.wide.Span = time.Duration(scale * float64(wideWindow) * rate / recent)
}

// resize sets the allotment and scales the windows. It first drops the calls that have left a window, so that
// they do not count again in a longer one.
func (l *rateLimiter) resize(now Time, allotment, scale float64) {
	l.narrow.Count(now)
	l.wide.Count(now)
	l.allotment = allotment
	l.narrow.Span = time.Duration(scale * float64(narrowWindow))
	l.wide.Span = time.Duration(scale * float64(wideWindow))
}

// setAllotment sets a learnt allotment. With many senders it may be less than one call in a window. The
// windows are then lengthened until they allow one call, and by a random factor, so that senders that were
// rejected together do not resume together.
func (s *Sender) setAllotment(l *rateLimiter, allotment float64) {
	scale := 1.0
	if allotment <= 1 {
		scale = s.drawJitter() / allotment
	}
	l.resize(s.now, allotment, scale)
}

// drawJitter returns a random factor of about 1. It spreads actions that senders with the same observations
// would otherwise take at the same time.
func (s *Sender) drawJitter() float64 {
	return 1 - jitterSpread + 2*jitterSpread*s.rng.Float64()
}

// sharesQuotas reports whether there are enough senders to follow shared quotas.
func (s *Sender) sharesQuotas() bool { return s.settings.Senders >= minSendersForQuotas }

// startsFromAdvertisedRate reports whether the allotment of a path starts from its advertised rate.
func (s *Sender) startsFromAdvertisedRate(p *path) bool {
	return s.settings.RateAccuracy != RateUnknown && p.advertisedRate > 0 && p.assignedRate == 0
}

// applyAssignedRate applies the assigned rate of an entry; 0 withdraws an earlier one. After a withdrawal the
// path continues from its current allotment. For an idle destination the rate is stored for startTraffic.
func (s *Sender) applyAssignedRate(p *path, entry Entry) {
	switch {
	case entry.State == Removed:
	case p.traffic == nil && p.assignedRate != entry.AssignedRate:
		p.assignedRate, p.ratesReceivedAt = entry.AssignedRate, s.now
	case p.traffic != nil && (entry.AssignedRate != 0 || p.limiter.quota.Exclusive()):
		s.setAssignedRate(&p.limiter, s.now, entry.AssignedRate)
	}
}

// setAssignedRate sets the quota of a limiter to a rate in calls a second that is assigned to this sender. 0
// removes the quota, and NoCalls suspends it.
func (s *Sender) setAssignedRate(l *rateLimiter, from Time, rate float64) {
	if l.quota = l.quota.Assign(from, rate); rate > 0 {
		l.safeRate = s.settings.RateAccuracy.LowerBound(rate)
		l.updateFromQuota(s.now)
	}
}

// allowsCall reports whether the rate limit and the outstanding calls of a path allow one more call now.
// During an outage the windows of a shared quota do not apply: probes have their own spacing, and the long
// windows would delay them.
func (s *Sender) allowsCall(p *path) bool {
	l := &p.limiter
	if l.quota != nil {
		l.updateFromQuota(s.now)
	}
	capacity := l.quota.WindowCapacity(l.allotment)
	if s.now < l.blockedUntil || l.quota.SuspendedFor(s.now) > 0 {
		return false
	}
	if _, open := p.openSince(); open && l.quota != nil && !l.quota.Exclusive() {
		return p.outstanding < s.maxOutstanding(p)
	}
	if s.now < l.nextCallAt(s.settings.Tick) || l.windowsFull(s.now, capacity) {
		l.quota.RecordDemand(s.now)
		return false
	}
	return p.outstanding < s.maxOutstanding(p)
}

// maxOutstanding returns the maximum number of outstanding calls of a path: half of the slots, fewer if it
// has become slow while others have not. The windows count only the starts of calls, so a path whose calls
// hang would otherwise occupy all slots.
func (s *Sender) maxOutstanding(p *path) int {
	if p.latency.Slow(slowLatencyRatio * max(1, s.slots.relativeLatency)) {
		return max(1, s.settings.Slots/slowPathSlotDivisor)
	}
	return max(2, (s.settings.Slots+1)/2)
}

// recordRateLimit applies a rejection by a rate limit to the path of an endpoint: it cuts the allotment and
// pauses the path. The pause is retryAfter or, if that is 0, rejectionPause doubled for each rejection in a
// row. Jitter is added.
func (s *Sender) recordRateLimit(e *endpoint, sent Time, retryAfter time.Duration) {
	l := &e.path.limiter
	switch {
	case l.quota != nil:
		unreported := false
		if !l.quota.Exclusive() {
			reported := s.reportToPeers(e, PeerRateLimited)
			unreported = !reported || !s.receivesReports()
		}
		s.recordQuotaRejection(e, unreported)
		e.circuit.consecutiveRejections++
	case sent >= e.circuit.lastRejectionAt: // rejections of calls that were outstanding together count as one
		s.cutAllotment(e)
		e.circuit.consecutiveRejections++
		e.circuit.lastRejectionAt = s.now
	}
	if l.quota == nil && l.allotment <= 1 && s.settings.PeerMessages {
		if isNew := s.pauseForCongestion(l); isNew {
			s.reportToPeers(e, PeerRateLimited)
		}
	}
	doublings := min(e.circuit.consecutiveRejections, maxPauseDoublings)
	pause := cmp.Or(retryAfter, min(maxRejectionPause, rejectionPause<<doublings))
	l.blockUntil(s.now + pause + estimate.Jitter(s.rng, maxPauseJitter))
}

// recordQuotaRejection applies a rejection by an endpoint, of this sender's call or reported by a peer, to
// the quota of its path. Rejections by outliers and during an outage do not cut the quota, because the limit
// is not their cause. unreported means that the peers probably do not learn of the rejection.
func (s *Sender) recordQuotaRejection(e *endpoint, unreported bool) {
	e.circuit.rejections.RecordRejection(s.now)
	if !e.circuit.open && !s.isOutlier(e) {
		e.path.limiter.quota.RecordRejection(s.now, unreported)
	}
}

// cutAllotment reduces the allotment of an endpoint's path after a rejection. An unlimited allotment becomes
// the number of calls in the narrow window. A limited one is cut by a factor, to no less than one call in a
// window for all senders together.
func (s *Sender) cutAllotment(e *endpoint) {
	l := &e.path.limiter
	if !l.limited() {
		s.setAllotment(l, max(1, float64(l.narrow.Count(s.now))))
		return
	}
	factor := allotmentPerRepeatedRejection
	if e.circuit.consecutiveRejections == 0 {
		factor, l.allotmentBeforeRejections = allotmentPerRejection, l.allotment
	}
	if l.allotment <= 1 {
		factor = s.lowAllotmentCut
	}
	s.setAllotment(l, max(1/float64(s.settings.Senders), l.allotment*factor))
}

// growAllotment increases a learnt allotment after a success, if the allotment is exhausted.
func (s *Sender) growAllotment(l *rateLimiter) {
	if l.quota != nil || !l.exhausted(s.now) {
		return
	}
	fraction := maxAllotmentGrowth
	if l.allotment < 1 {
		fraction = math.Pow(s.lowAllotmentCut, -1.0/successesPerRejection) - 1
	}
	s.setAllotment(l, l.allotment+min(allotmentGrowth, fraction*l.allotment))
}

// pauseForCongestion pauses a path after a rejection. The caller uses it if this sender may make only about
// one call in a narrow window. Each sender pauses for a random part of a time that doubles while rejections
// continue: if rejected calls count for the limit, the first calls of all senders are enough to keep it
// exhausted. It returns whether this is a new observation of congestion.
func (s *Sender) pauseForCongestion(l *rateLimiter) bool {
	isNew := l.congestion.Observe(s.now, narrowWindow, wideWindow)
	if isNew {
		l.blockUntil(s.now + estimate.Jitter(s.rng, l.congestion.Span))
	}
	return isNew
}
