package policy

import (
	"cmp"
	"math"
	"slices"
	"time"
	"wingmount/decide/outlier"
)

const (
	// A failure moves the failure score of an endpoint towards 1 by its weight, a success multiplies the
	// score by scoreDecay, and the circuit opens at openScore. Two errors in a row therefore open it and one
	// does not. Timeouts weigh less, because single calls get lost. A refused connection opens it at once.
	openScore            = 0.5
	scoreDecay           = 0.6
	errorWeight          = 0.35
	timeoutWeight        = 0.12
	rejectionsWeight     = 1.0
	connectFailureWeight = openScore

	// rejectionsToOpenCircuit is the number of rejections in a row that open the circuit. A single rejection
	// with a Retry-After longer than the narrow window also opens it.
	rejectionsToOpenCircuit = 3
	// outageWindows is the number of overload windows without a success that indicate an outage rather than
	// single lost calls.
	outageWindows = 2
	// recentSuccessTime is how long after a success a peer's report of an outage is ignored.
	recentSuccessTime = 500 * time.Millisecond
)

// circuitBreaker is the circuit breaker of one endpoint. It is closed until failures open it, and open until
// a success or a peer's report closes it. While it is open only probes are sent. An endpoint whose last call
// failed is suspect, whether its circuit is open or closed: it gets one call at a time. A suspect endpoint is
// unrelated to a suspect node in decide/membership, and to an endpoint that decide/evidence suspects because
// of peers' reports.
type circuitBreaker struct {
	suspect           bool // the last outcome was a failure, and no peer has reported a recovery since
	open              bool // during an outage
	probeLeader       bool // this sender reported the outage to the others, and probes for all
	errorSinceSuccess bool // timeouts and resets are not errors
	openedAt          Time
	unhealthySince    Time // time of the first failure seen or reported since it was healthy, or 0
	lastSuccessAt     Time // or 0
	failureScore      float64

	consecutiveTimeouts int
	// consecutiveRejections is the number of rejections by a rate limit in a row. Without a quota, those of
	// calls sent before the last rejection are not counted.
	consecutiveRejections int
	lastRejectionAt       Time // by a rate limit
	rejections            outlier.Score
}

// recordFailure applies a failure. connectionOnly means that the connection may have failed
// rather than the endpoint.
func (c *circuitBreaker) recordFailure(now Time, weight float64, connectionOnly bool) {
	c.suspect = true
	c.unhealthySince = cmp.Or(c.unhealthySince, now)
	c.failureScore += weight * (1 - c.failureScore)
	if !connectionOnly {
		c.errorSinceSuccess = true
	}
}

// recordSuccess applies a success. It does not close the circuit: see Sender.recordSuccess.
func (c *circuitBreaker) recordSuccess(now Time) {
	c.suspect, c.errorSinceSuccess, c.lastSuccessAt = false, false, now
	c.consecutiveTimeouts, c.consecutiveRejections = 0, 0
	c.rejections.RecordSuccess(now)
	c.failureScore *= scoreDecay
}

// reset clears the effects of earlier failures, after a peer reported that the endpoint has recovered.
func (c *circuitBreaker) reset() {
	c.suspect, c.failureScore = false, 0
	c.consecutiveTimeouts, c.consecutiveRejections = 0, 0
}

// restore opens the circuit of an endpoint that had failed and not recovered when the node restarted.
func (c *circuitBreaker) restore(now, failedAt Time) {
	c.open, c.suspect, c.errorSinceSuccess, c.openedAt, c.failureScore = true, true, true, now, openScore
	c.unhealthySince = cmp.Or(c.unhealthySince, failedAt)
}

// openSince reports whether a path has ready endpoints and the circuits of all of them are open, and since
// when.
func (p *path) openSince() (since Time, open bool) {
	for _, e := range p.endpoints {
		if e.state == Ready && !e.circuit.open {
			return 0, false
		}
		if e.state == Ready {
			since, open = max(since, e.circuit.openedAt), true
		}
	}
	return since, open
}

// isOutlier reports whether an endpoint rejects calls on its own while another endpoint under the same quota
// accepts them.
func (s *Sender) isOutlier(e *endpoint) bool {
	lowest := math.Inf(1)
	for _, sibling := range e.path.endpoints {
		if sibling != e && sibling.state == Ready && !sibling.circuit.open {
			lowest = min(lowest, sibling.circuit.rejections.At(s.now))
		}
	}
	return e.path.limiter.quota != nil && e.circuit.rejections.IsOutlier(s.now, lowest)
}

// recordOutcome applies the outcome of a call to the health of its endpoint. retryAfter is 0 if the response
// contained none.
func (s *Sender) recordOutcome(c *call, outcome Outcome, retryAfter, duration time.Duration) {
	switch outcome {
	case Delivered:
		s.recordSuccess(c.endpoint, time.Duration(float64(duration)/batchCost(c.size)))
	case RateLimited:
		s.recordRejection(c, retryAfter)
	case TimedOut:
		s.recordTimeout(c)
	case Failed:
		s.recordFailure(c, outcome, errorWeight)
	case Unreachable:
		s.recordFailure(c, outcome, connectFailureWeight)
	case Reset: // a crash resets many calls, and the next connection is refused
		if !c.answeredSince() {
			s.recordFailure(c, outcome, errorWeight)
		}
	}
}

// answeredSince reports whether the endpoint has accepted another call since the call was sent. If so, the
// call may be lost, but an outage is not the cause.
func (c *call) answeredSince() bool { return c.endpoint.circuit.lastSuccessAt > c.sentAt }

// recordTimeout applies a call without a response.
func (s *Sender) recordTimeout(c *call) {
	if c.answeredSince() {
		return
	}
	e := c.endpoint
	e.circuit.consecutiveTimeouts++
	e.path.consecutiveTimeouts++
	s.actions = append(s.actions, CloseIdle{Endpoint: e.id}) // the connection may be broken, not the endpoint
	s.recordFailure(c, TimedOut, timeoutWeight)
}

// recordRejection applies a rejection by a rate limit to the path, and also to the health of the endpoint if
// it indicates an outage. Rejections before a long Retry-After say nothing about the limit, so the cuts of
// the allotment that they caused are undone.
func (s *Sender) recordRejection(c *call, retryAfter time.Duration) {
	e := c.endpoint
	s.recordRateLimit(e, c.sentAt, retryAfter)
	if !s.rejectionsShowOutage(e, retryAfter) {
		return
	}
	if isLongWait(retryAfter) && !e.circuit.open {
		s.undoCuts(&e.path.limiter)
	}
	s.recordFailure(c, RateLimited, rejectionsWeight)
}

// rejectionsShowOutage reports whether rejections by an endpoint indicate an outage rather than a rate limit:
// because of a long Retry-After, or of several rejections in a row. With a quota the latter count only once
// the quota is cut to its minimum.
func (s *Sender) rejectionsShowOutage(e *endpoint, retryAfter time.Duration) bool {
	quota := e.path.limiter.quota
	inARow := e.circuit.consecutiveRejections >= rejectionsToOpenCircuit &&
		(quota == nil || quota.AtMinimum(s.now))
	return inARow || isLongWait(retryAfter)
}

// isLongWait reports whether a Retry-After is longer than a rate limit would require.
func isLongWait(retryAfter time.Duration) bool { return retryAfter > narrowWindow }

// undoCuts restores a learnt allotment to its value before the latest rejections in a row.
func (s *Sender) undoCuts(l *rateLimiter) {
	if l.quota == nil && l.allotmentBeforeRejections > 0 {
		s.setAllotment(l, l.allotmentBeforeRejections)
	}
}

// recordFailure applies a failure to an endpoint, and opens its circuit if the failures indicate an outage.
func (s *Sender) recordFailure(c *call, outcome Outcome, weight float64) {
	e, p := c.endpoint, c.endpoint.path
	wasSuspect := e.circuit.suspect
	e.circuit.recordFailure(s.now, weight, outcome == TimedOut || outcome == Reset)
	if e.ramp.active && c.sentAt >= e.ramp.startedAt && wasSuspect {
		e.ramp.startedAt = s.now // two failures in a row: it had not recovered yet
	}
	certain := e.circuit.failureScore >= openScore ||
		e.circuit.consecutiveTimeouts > 1 && !s.answeredRecently(e)
	if !e.circuit.open && (certain || s.presumedDown(e)) {
		s.openCircuit(e, certain)
		p.nextProbeAt = s.now
		if outcome != Reset { // after a reset, probe at once: the next connection shows whether it is down
			p.nextProbeAt += s.probeInterval(e)
		}
	}
	s.openUnresponsivePath(p)
}

// answeredRecently reports whether the last success of an endpoint is too recent for an outage.
func (s *Sender) answeredRecently(e *endpoint) bool {
	return s.now-e.circuit.lastSuccessAt < outageWindows*s.settings.OverloadWindow
}

// openUnresponsivePath opens the circuit of each endpoint with timeouts, if no endpoint of the path has
// answered recently. It is needed because each endpoint gets too few calls to show an outage by itself.
func (s *Sender) openUnresponsivePath(p *path) {
	justStarted := s.now-s.startedAt < outageWindows*s.settings.OverloadWindow
	if p.limiter.quota == nil || p.consecutiveTimeouts <= 1 || justStarted ||
		slices.ContainsFunc(p.endpoints, s.answeredRecently) {
		return
	}
	for _, e := range p.endpoints {
		if e.circuit.consecutiveTimeouts > 0 && !e.circuit.open && e.state == Ready {
			s.openCircuit(e, true)
			p.nextProbeAt = s.now + s.probeInterval(e)
		}
	}
}

// presumedDown reports whether a single error is treated as an outage: if no recent success and no report of
// a peer contradicts it, and the ramp budget is less than one call. Without this rule, hundreds of
// senders that each saw one failure would each send one more call to the endpoint.
func (s *Sender) presumedDown(e *endpoint) bool {
	noRecentSuccess := s.now-e.circuit.lastSuccessAt >= outageWindows*s.settings.OverloadWindow
	return e.circuit.errorSinceSuccess && noRecentSuccess && !s.receivesReports() &&
		s.rampBudget(e, s.warmUpFactor(s.now)) < 1
}

// openCircuit opens the circuit of an endpoint. A certain outage is reported to the peers, and this sender
// then probes for all. The cuts of the quota by recent rejections are undone, because the outage caused them.
func (s *Sender) openCircuit(e *endpoint, certain bool) {
	e.circuit.probeLeader = false
	if certain {
		e.circuit.probeLeader = s.reportToPeers(e, PeerDown)
	}
	e.circuit.open, e.circuit.openedAt = true, s.now
	e.circuit.unhealthySince = cmp.Or(e.circuit.unhealthySince, s.now)
	e.path.limiter.quota.UndoRecentCuts(s.now)
}

// closeCircuit ends the outage of an endpoint, and starts a recovery ramp if event is PeerSlowStart.
func (s *Sender) closeCircuit(e *endpoint, event PeerEvent) {
	e.circuit.open = false
	if event == PeerSlowStart {
		e.ramp.start(s.now)
	}
}

// recordSuccess applies a success to an endpoint and its path, and closes its circuit. latency is the
// response time, divided by the batch cost of the call.
func (s *Sender) recordSuccess(e *endpoint, latency time.Duration) {
	p, l := e.path, &e.path.limiter
	if e.circuit.open {
		event := PeerRecovered // a few lost calls between two successes are not an outage
		if e.circuit.errorSinceSuccess || !s.answeredRecently(e) {
			event = PeerSlowStart
		}
		s.reportToPeers(e, event)
		s.closeCircuit(e, event)
		openedByRejections := e.circuit.consecutiveRejections >= rejectionsToOpenCircuit
		if l.quota == nil && l.allotmentBeforeRejections > l.allotment && openedByRejections {
			s.setAllotment(l, l.allotmentBeforeRejections) // those rejections were caused by the outage
		}
	}
	e.circuit.recordSuccess(s.now)
	p.consecutiveTimeouts = 0
	if e.ramp.active = e.ramp.active && s.warmUpFactor(e.ramp.startedAt) < 1; !e.ramp.active {
		e.circuit.unhealthySince = 0
	}
	s.recordPathSuccess(p, latency)
}

// recordPathSuccess applies a success to the rate, the allotment and the latency of a path.
func (s *Sender) recordPathSuccess(p *path, latency time.Duration) {
	p.successes.Record(s.now)
	s.slots.recordLatency(latency)
	s.growAllotment(&p.limiter)
	if ratio, known := p.latency.Observe(latency); known {
		s.slots.recordRelativeLatency(ratio)
	}
}
