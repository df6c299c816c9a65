package policy

import (
	"cmp"
	"slices"
	"time"
	"wingmount/internal/container"
	"wingmount/internal/estimate"
)

const (
	// The destinations with waiting messages share 1/evenShareDivisor of the slots evenly, if that is at
	// least one slot for each. Without an even share the fastest destination would get all slots.
	evenShareDivisor = 8
	// A message waits at most batchWaitFraction of its soft deadline, less half the mean latency, for others
	// to share its call.
	batchWaitFraction = 0.25
	// maxRankedMessages is the length of a queue up to which all its messages are ranked. In longer queues
	// only the messages that can be next are ranked.
	maxRankedMessages = 32
	// waitTieBreak is the urgency that a second of waiting adds, so that the message that has waited longest
	// wins ties.
	waitTieBreak = 1e-6
)

// slotUsage tracks the slots that outstanding calls occupy, and the latencies of calls, for all destinations.
type slotUsage struct {
	outstanding     int                             // number of outstanding calls
	calling         container.OrderedSet[*endpoint] // endpoints with outstanding calls
	evenShare       int                             // slots for each waiting destination, in this step
	suspectMessages int                             // see countSuspectMessages; unknownCount after each send
	meanLatency     float64                         // mean latency of calls, in seconds
	relativeLatency float64                         // mean ratio of a latency to the mean of its path
}

// recordLatency adds a latency to the mean.
func (u *slotUsage) recordLatency(latency time.Duration) {
	u.meanLatency += (latency.Seconds() - u.meanLatency) * estimate.SlowGain
}

// recordRelativeLatency adds the ratio of a latency to its path's mean to the mean ratio.
func (u *slotUsage) recordRelativeLatency(ratio float64) {
	u.relativeLatency += (ratio - u.relativeLatency) * estimate.Gain / 2
}

// candidate is a message that may be sent next, with its ranking criteria.
type candidate struct {
	message    *message
	endpoint   *endpoint // the endpoint selected for it
	underShare bool      // its destination uses less than its even share of slots
	score      float64
}

// before reports whether a candidate ranks before another: those under their share first, then those with a
// higher score, then those with an older message.
func (c candidate) before(other candidate) bool {
	if c.message == nil || c.underShare != other.underShare {
		return c.underShare
	}
	return c.score > other.score || c.score == other.score && c.message.entry.Before(&other.message.entry)
}

// dispatch sends calls while there are free slots and messages that can be sent. Destinations under
// their even share come first. Among these, the next message is the one that would lose the most value by
// waiting, per second for which it would occupy a slot.
func (s *Sender) dispatch() {
	s.slots.evenShare = s.settings.Slots / evenShareDivisor / max(1, s.queues.nonEmpty.Len())
	for s.slots.outstanding < s.settings.Slots {
		s.slots.suspectMessages = unknownCount
		var best candidate
		for _, d := range s.queues.nonEmpty.Values() {
			if len(d.paths) > 0 {
				best = s.bestCandidate(d, best)
			}
		}
		if best.message == nil {
			return
		}
		s.sendCall(best.message, best.endpoint)
		best.message.dest.rankedAt = 0
	}
}

// bestCandidate returns the better of best and the best message of a destination that can be sent now. Within
// a step, only a call to a destination changes its ranking, so the ranking is reused.
func (s *Sender) bestCandidate(d *destination, best candidate) candidate {
	if d.rankedAt != s.steps {
		d.rankedAt, d.ranked = s.steps, s.rank(d, 1, d.ranked[:0])
	}
	available := func(p *path) bool {
		return s.allowsCall(p) && slices.ContainsFunc(p.endpoints, s.isAvailable)
	}
	if len(d.ranked) == 0 || best.before(d.ranked[0]) || !slices.ContainsFunc(d.paths, available) {
		return best
	}
	for _, c := range d.ranked {
		if !best.before(c) && !s.waitsForBatch(c.message) {
			if c.endpoint = s.selectEndpoint(c.message); c.endpoint != nil {
				best = c
			}
		}
	}
	return best
}

// rank appends candidates of a destination to dst and returns it: the best at index 0, the others unsorted.
// The n best messages are among them. In a short queue, or while slots are not scarce, all messages that are
// ready are candidates. In a long queue, of the plain messages only those at the ends of certain age ranges
// are candidates: within each range the loss of value is convex or increases with age, so the score has its
// maximum at an end. This would not hold if fees counted, because the choice of endpoint then depends on a
// message's age; but fees count only while slots are not scarce.
func (s *Sender) rank(d *destination, n int, dst []candidate) []candidate {
	underShare := d.outstanding < s.slots.evenShare
	add := func(m *message) bool {
		if s.isReady(m) {
			c := candidate{message: m, underShare: underShare, score: s.urgency(m)}
			if dst = append(dst, c); c.before(dst[0]) {
				dst[0], dst[len(dst)-1] = c, dst[0]
			}
		}
		return true
	}
	if d.queue.Len() <= max(maxRankedMessages, d.paths[0].kind.MaxBatch) || !s.slotsScarce() {
		for m := range d.queue.All() {
			add(m)
		}
		return dst
	}
	for m := range d.queue.Distinct() {
		add(m)
	}
	latency := d.paths[0].latency.Mean
	for class := range s.values {
		ages := s.values[class].LossBreakpoints(latency, narrowWindow)
		ages = append(ages, s.values[class].Deadline/2+1) // see fitsProbe
		d.queue.VisitByAge(class, s.now, n, add, ages...)
	}
	return dst
}

// urgency returns the value that a message loses by waiting for another narrow window, per second for which
// it would occupy a slot.
func (s *Sender) urgency(m *message) float64 {
	latency := m.dest.paths[0].latency.Mean
	age := s.now - m.createdAt
	loss := m.value.At(age+latency) - m.value.At(age+latency+narrowWindow)
	return loss/latency.Seconds() + waitTieBreak*age.Seconds()
}

// waitsForBatch reports whether a message should wait for others to share its call. Messages wait only under
// a rate limit: the limit counts calls, so full batches save calls. With many senders each sender gets few
// messages, so a batch fills only by waiting.
func (s *Sender) waitsForBatch(m *message) bool {
	p := m.dest.paths[0]
	if m.attempts > 0 || m.dest.queue.Len() >= p.kind.MaxBatch || !p.limiter.limited() {
		return false
	}
	return s.now-m.createdAt < time.Duration(batchWaitFraction*float64(m.class.SoftDeadline))-p.latency.Mean/2
}

// sendCall makes one call to an endpoint, with a message and as many others as its batch may contain.
func (s *Sender) sendCall(m *message, e *endpoint) {
	p := e.path
	c := &call{endpoint: e, sentAt: s.now}
	s.countNewCall(c)
	if e.circuit.open {
		p.nextProbeAt = s.now + s.probeInterval(e)
	}
	batch := []*message{m}
	s.startAttempt(m, c)
	isProbe := e.circuit.open || e.circuit.suspect // a probe puts only one message at risk
	if more := p.kind.MaxBatch - 1; more > 0 && !isProbe {
		for _, next := range s.batchCandidates(e, more) {
			batch = append(batch, next.message)
			s.startAttempt(next.message, c)
		}
	}
	e.ramp.jitter = s.drawJitter() * batchCost(c.size)
	if p.limiter.quota != nil {
		p.limiter.jitter = s.drawJitter()
	}
	e.ramp.calls.RecordOnly(s.now)
	var timeout time.Duration // the longest of the messages' timeouts, because they are sent together
	for _, n := range batch {
		timeout = max(timeout, s.attemptTimeout(e, n, c.size))
	}
	for _, n := range batch {
		left := s.giveUpTime(n) - s.settings.Tick - s.now
		s.actions = append(s.actions, Send{Message: n.id, Endpoint: e.id, Timeout: min(timeout, left)})
	}
}

// countNewCall adds a call that starts now to the state of its endpoint, its path and the slots.
func (s *Sender) countNewCall(c *call) {
	e := c.endpoint
	e.calls = append(e.calls, c)
	s.slots.calling.Add(uint64(e.id), e)
	s.addOutstanding(e.path, 1)
	e.path.limiter.recordCall(s.now)
	e.lastSentAt = s.now
}

// batchCandidates returns up to limit further messages for a call to an endpoint, the best ones first.
func (s *Sender) batchCandidates(e *endpoint, limit int) []candidate {
	all := s.rank(e.path.dest, limit, nil)
	all = slices.DeleteFunc(all, func(c candidate) bool { return !s.mayRetry(c.message, e) })
	slices.SortFunc(all, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(b.score, a.score), a.message.entry.Compare(&b.message.entry))
	})
	all = slices.CompactFunc(all, func(a, b candidate) bool { return a.message == b.message })
	return all[:min(limit, len(all))]
}
