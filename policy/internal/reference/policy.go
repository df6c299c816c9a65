// This file holds every decision of the sender. Read policy/api.go first: it has
// the settings, events and actions. Then this file, in order: the constants with
// their reasons, the ordinary path (two sliding windows), health, retries, answers.

package reference

import (
	"math"
	"slices"
	"time"
)

const (
	// The two windows. One destination gets a few calls a second, so the
	// narrow window must span seconds to count more than one or two; the wide
	// one remembers what a cut slice let through before the cut.
	narrowWindow = 2 * time.Second
	wideWindow   = 12 * time.Second

	// A success under a binding slice adds this much of a call to it, a full
	// takes this share away. A refusal costs little, unused room costs the
	// messages that wait, so growth is quick and the cut mild.
	sliceGrowth = 0.25
	sliceCut    = 0.85
	// Small slices grow by this share at most: many senders with a small slice
	// each would otherwise outgrow the limit together between two refusals.
	growthShare = 0.12
	// A full right after a full, no success between, cuts deeper: the destination
	// is jammed, and where refused calls use up the limit it stays so.
	jamCut = 0.75
	// Calls under a binding slice keep this part of an even gap: a window's
	// calls at once are refused by a destination that takes them at a rate.
	spread = 0.8
	// So many fulls take a slice of one call to one for all senders; so many
	// successes undo one full. Few outcomes are seen, so each counts for more.
	smallCuts     = 3
	smallGrowth   = 3
	stretchSpread = 0.5 // such windows differ by up to this share of their length

	// A full that tells no wait closes the logs for this long, doubled with
	// each further full that no success comes between, up to the maximum.
	fullPause    = 200 * time.Millisecond
	maxFullPause = 2 * time.Second
	// All senders hear a wait's end in the same instant: each adds up to this.
	waitJitter = 250 * time.Millisecond
	shutRun    = 3 // a told wait over a window, or so many refusals in turn: it is shut

	// The latency estimate and its slow baseline, as moving averages.
	latencyGain  = 0.2
	baselineGain = 0.02
	firstLatency = 500 * time.Millisecond // before anything was seen
	// A call unanswered for so many latencies stalls its endpoint: see stalled.
	stallFactor = 4
	minStall    = 500 * time.Millisecond
	evenShare   = 8
	// One in so many slots, and at least one, may be held by calls to endpoints
	// in doubt before another trial or call to such an endpoint starts.
	doubtShare = 4
	// The time-out is the latency and so many deviations, twice that while half
	// of the slots are idle: an answer that comes too late was made in vain.
	timeoutDeviations = 5
	// It is at least so long, or so many latencies where these are less: a lost call
	// holds a slot until then.
	minTimeout       = 1600 * time.Millisecond
	timeoutLatencies = 8
	gatherShare      = 0.25 // so much of its aim, less half a latency, a message waits for others
	itemWork         = 0.2  // each further message in a call is taken to add this much to its time
	// Slower than its baseline by this, when the others are not, a destination
	// gets a small part of the slots.
	slowFactor = 3

	// Failure score: a failure moves it towards 1, a success shrinks it; from
	// outScore on the endpoint is out. Two errors in a row do that, one does not;
	// silence is judged slower (calls get lost), a refused connection at once.
	outScore      = 0.5
	errorWeight   = 0.35
	timeoutWeight = 0.12
	successShrink = 0.6

	// Silence or resets for under so many fall windows are taken for lost calls.
	outageFalls = 2
	// The rest is for calls in flight at the return, and who saw nothing of the outage.
	coldMargin = 0.85
	// The best of the windows of a day is about so many deviations over the mean.
	peakDeviations = 2
	// Of fewer passes in a window than these in the mean the best is more than that.
	fewPasses = 2
	// Any destination is taken to bear so many calls a second from all senders when
	// warm. The settings don't tell; with less small ones would hardly be tried.
	leastRate = 6
	roughOver = 1.5 // a rough rate is up to half over the true one

	// Backoff between attempts at one message, doubled each time.
	backoffBase = 200 * time.Millisecond
	backoffMax  = 4 * time.Second

	// The hold makes room when so little of it is left, by ending messages
	// that are likely to earn less than this share of their worth.
	holdReserve = 0.15
	shedBelow   = 0.9

	lookAgain = 20 * time.Millisecond // while messages wait for room the sender looks again this often
)

// Step takes in the events seen since the last step, decides, and appends the
// actions to take now. Times must not go back.
func (s *Sender) Step(now Time, events []Event, actions []Action) []Action {
	s.now, s.out = now, actions
	if s.started == 0 {
		s.started = now
	}
	hearsay := len(events) > 0 // notes alone make no room: what waits has its wake
	for _, e := range events {
		_, note := e.(Told)
		hearsay = hearsay && note
		switch e := e.(type) {
		case Listed:
			s.listed(e)
		case ListFailed:
			s.subscribed, s.subscribeAt = false, now+backoffMax/2+s.jitter(backoffMax/2)
		case Arrived:
			s.arrived(e)
		case Ended:
			s.finished(e)
		case Withdrawn:
			if m := s.messages[e.Message]; m != nil && !m.ended {
				s.end(m)
			}
		case Told:
			s.heard(e)
		case Remembered:
			s.remembered(e)
		case Woken:
			if s.armed <= now {
				s.armed = 0
			}
		}
	}
	s.letGo()
	if hearsay {
		actions, s.out = s.out, nil
		return actions
	}
	if s.set.MustSubscribe && !s.subscribed && now >= s.subscribeAt {
		s.subscribed = true
		s.out = append(s.out, Subscribe{})
	}
	s.answerDue()
	s.makeRoom()
	s.dispatch()
	s.wake()
	actions, s.out = s.out, nil
	return actions
}

// wake arms the next look: soon while messages wait for room, else when the
// next answer falls due.
func (s *Sender) wake() {
	next := Time(math.MaxInt64)
	if s.set.MustSubscribe && !s.subscribed {
		next = s.subscribeAt
	}
	for _, m := range s.open {
		next = min(next, s.answerAt(m))
		if m.call == nil {
			next = min(next, s.now+lookAgain)
		}
	}
	for _, d := range s.ordered {
		for _, p := range d.paths {
			if at := s.due(p); len(d.queue) > 0 && at > s.now && p.slice > 40 {
				next = min(next, at)
			}
		}
	}
	next = max(next, s.now+1)
	if next < math.MaxInt64 && (s.armed == 0 || next < s.armed) {
		s.armed = next
		s.out = append(s.out, Wake{At: next})
	}
}

// The ordinary path: two sliding windows for each path

// newPath starts with an unbound slice, or with this sender's part of the
// listed rate, at least one call in a window.
func (s *Sender) newPath(d *destination, kind Kind, entry Entry) *path {
	p := &path{dest: d, kind: kind, slice: math.Inf(1),
		narrow: sendLog{window: narrowWindow}, wide: sendLog{window: wideWindow},
		passed: sendLog{window: narrowWindow}, most: 1, latency: firstLatency}
	if s.set.Listing != RateUnlisted && entry.Rate > 0 {
		p.listed = entry.Rate / float64(s.set.Senders)
		p.slice = max(1, p.listed*narrowWindow.Seconds())
		p.sureRate = p.listed
		if s.set.Listing == RateRough {
			p.sureRate /= roughOver
		}
	}
	if kind.RoutesApart && entry.Zone < len(s.set.ZoneFee) {
		p.fee = s.set.ZoneFee[entry.Zone]
	}
	return p
}

// due is when the pace of a path allows the next call.
func (s *Sender) due(p *path) Time {
	if p.slice <= 1 || math.IsInf(p.slice, 1) {
		return 0
	}
	gap := spread * float64(narrowWindow) / p.slice
	at := max(1, int(math.Ceil(float64(s.set.Tick)/gap)))
	if n := len(p.narrow.times); n >= at {
		return p.narrow.times[n-at] + time.Duration(float64(at)*gap)
	}
	return 0
}

// hasRoom tells whether a path may be sent one more call now.
func (s *Sender) hasRoom(p *path) bool {
	slice := max(1, p.slice)
	if s.now < s.due(p) {
		return false
	}
	if s.now < p.closedUntil || float64(p.narrow.count(s.now)) > slice-1 ||
		float64(p.wide.count(s.now)) > slice*float64(wideWindow/narrowWindow)-1 {
		return false
	}
	return p.inFlight() < s.bound(p)
}

// resize sets a slice and the windows to it. With many senders a fair slice is
// less than one call in a window: the windows stretch until it is one, by
// lengths drawn apart, or senders that were refused together come back together.
// What has left a window does not come back into a longer one.
func (s *Sender) resize(p *path, slice float64) {
	p.narrow.count(s.now)
	p.wide.count(s.now)
	stretch := 1.0
	if slice <= 1 {
		stretch = s.drawPhase() / slice
	}
	p.slice = slice
	p.narrow.window = time.Duration(stretch * float64(narrowWindow))
	p.wide.window = time.Duration(stretch * float64(wideWindow))
}

// bound is how many unanswered calls a path may hold. The logs count starts
// only: a path that hangs or is much slower than its past, while others are
// not, would take all slots.
func (s *Sender) bound(p *path) int {
	if p.slow(s.pace) {
		return max(1, s.set.Slots/4)
	}
	return max(2, (s.set.Slots+1)/2)
}

func (p *path) slow(pace float64) bool {
	return p.baseline > 0 && float64(p.latency) > slowFactor*max(1, pace)*float64(p.baseline)
}

// full cuts a slice after a full, or sets it from the narrow count the first
// time, and closes the logs for the told wait.
func (s *Sender) full(p *path, e *endpoint, sent Time, wait time.Duration) {
	if sent >= e.fullAt { // calls that were out together count as one refusal
		if math.IsInf(p.slice, 1) {
			s.resize(p, max(1, float64(p.narrow.count(s.now))))
		} else {
			cut := jamCut
			if e.fullRun == 0 {
				cut, p.beforeRun = sliceCut, p.slice
			}
			if p.slice <= 1 {
				cut = s.smallCut
			}
			// Down to one call in a window for all senders together.
			s.resize(p, max(1/float64(s.set.Senders), p.slice*cut))
		}
		e.fullRun++
		e.fullAt = s.now
	}
	if p.slice <= 1 && s.set.PeerMessages && s.jam(p) {
		s.tell(e, Jam)
	}
	pause := wait
	if wait == 0 {
		pause = min(maxFullPause, fullPause<<min(e.fullRun, 6))
	}
	p.closedUntil = max(p.closedUntil, s.now+pause+s.jitter(waitJitter))
}

// jam closes the logs of all who send less than a call a window, each for a part
// of a span that doubles while fulls go on: where refused calls use up the limit,
// first calls alone keep it full. It tells whether the jam was news.
func (s *Sender) jam(p *path) bool {
	since := s.now - p.jamAt
	if p.jamFor > 0 && since < narrowWindow/2 {
		return false
	}
	if since < 2*p.jamFor {
		p.jamFor = min(2*p.jamFor, wideWindow)
	} else {
		p.jamFor = narrowWindow
	}
	p.jamAt = s.now
	p.closedUntil = max(p.closedUntil, s.now+s.jitter(p.jamFor))
	return true
}

func (s *Sender) passedOne(p *path, took time.Duration) {
	p.passes++
	p.passed.record(s.now)
	p.peak = max(p.peak, p.passed.count(s.now))
	s.usual += (took.Seconds() - s.usual) * baselineGain
	if !math.IsInf(p.slice, 1) && float64(p.narrow.count(s.now)) >= p.slice-1 {
		share := growthShare
		if p.slice < 1 {
			share = math.Pow(s.smallCut, -1.0/smallGrowth) - 1
		}
		s.resize(p, p.slice+min(sliceGrowth, share*p.slice))
	}
	if p.passes == 1 {
		// One answer tells little: half of it is taken to be usual.
		took = (took + firstLatency) / 2
		p.latency, p.baseline, p.deviation = took, took, took
		return
	}
	ratio := min(5, max(0.2, float64(took)/float64(p.latency)))
	s.pace += (ratio - s.pace) * latencyGain / 2
	p.deviation += time.Duration((math.Abs(float64(took-p.latency)) - float64(p.deviation)) * latencyGain)
	p.latency += time.Duration(float64(took-p.latency) * latencyGain)
	p.baseline += time.Duration(float64(took-p.baseline) * baselineGain)
}

// dispatch sends while there are slots and some message has a way: next the one
// that would lose most worth for the slot time it takes, if it had to wait.
func (s *Sender) dispatch() {
	waiting := 0
	for _, d := range s.ordered {
		waiting += min(1, len(d.queue))
	}
	s.share = s.set.Slots / evenShare / max(1, waiting)
	for s.inFlight < s.set.Slots {
		s.look++
		var best *message
		var at *endpoint
		for _, d := range s.ordered {
			if len(d.paths) == 0 || !s.hasWay(d) {
				continue
			}
			for _, m := range d.queue {
				if s.ready(m) && !s.gathers(m) && s.before(m, best) {
					if e := s.choose(m); e != nil {
						best, at = m, e
					}
				}
			}
		}
		if best == nil {
			return
		}
		s.sendCall(best, at)
	}
}

// before tells whether a message comes before another; ties go to who came first.
func (s *Sender) before(m, other *message) bool {
	if other == nil {
		return true
	}
	due := func(m *message) bool {
		out := 0
		for _, p := range m.dest.paths {
			out += p.inFlight()
		}
		return out < s.share
	}
	if x, y := due(m), due(other); x != y {
		return x
	}
	a, b := s.score(m), s.score(other)
	return a > b || a == b && m.older(other)
}

// ready tells whether a message may be tried now as far as it goes itself.
func (s *Sender) ready(m *message) bool {
	if m.call != nil || m.ended || s.now < m.notBefore || m.attempts >= s.set.MaxAttempts {
		return false
	}
	if s.answerAt(m)-s.now <= 2*s.set.Tick {
		return false
	}
	return m.turn == nil || m.turn.line[0] == m && (m.attempts > 0 || s.now >= m.turn.restUntil)
}

// gathers holds a message back for others to share its call, while a slice binds:
// many senders get few messages each, and each call counts for the limit.
func (s *Sender) gathers(m *message) bool {
	p := m.dest.paths[0]
	if m.attempts > 0 || len(m.dest.queue) >= p.kind.BundleMax || math.IsInf(p.slice, 1) {
		return false
	}
	return s.now-m.born < time.Duration(gatherShare*float64(m.class.SoftDeadline))-p.latency/2
}

// score is the worth lost by waiting a window longer, for each second of a
// slot; ties go to the message that has waited longest.
func (s *Sender) score(m *message) float64 {
	latency := m.dest.paths[0].latency
	age := s.now - m.born
	loss := s.worth(m.class, age+latency) - s.worth(m.class, age+latency+narrowWindow)
	return loss/latency.Seconds() + 1e-6*age.Seconds()
}

// drain guesses how long a destination's queue takes.
func (s *Sender) drain(d *destination) time.Duration {
	rate, outage := 0.0, time.Duration(math.MaxInt64)
	for _, p := range d.paths {
		r, o := s.rate(p), s.outage(p)
		rate += r
		outage = min(outage, o)
	}
	if len(d.paths) == 0 {
		return narrowWindow
	}
	return outage + time.Duration(float64(len(d.queue))/rate*float64(time.Second))
}

// rate guesses how many calls a second a path takes from this sender.
func (s *Sender) rate(p *path) float64 {
	r := max(s.ownRate(p), p.listed, 1/narrowWindow.Seconds())
	if !math.IsInf(p.slice, 1) {
		r = p.slice / narrowWindow.Seconds()
	}
	return r * float64(p.kind.BundleMax)
}

// outage guesses how long a path stays closed: an outage that has lasted for
// some time lasts as long again.
func (s *Sender) outage(p *path) time.Duration {
	wait := max(0, p.closedUntil-s.now)
	if from, out := p.outSince(); out {
		wait = max(wait, s.now-from, s.set.FallWindow)
	}
	return wait
}

// choose picks the endpoint for a message, nil if it must wait. A path without
// a fee comes first; one with a fee is taken when waiting would cost more.
func (s *Sender) choose(m *message) *endpoint {
	var best *endpoint
	free := s.freeWait(m)
	for _, p := range m.dest.paths {
		if !s.hasRoom(p) {
			continue
		}
		if p.fee > 0 && free >= 0 && !s.scarce() {
			age := s.now - m.born + p.latency
			if s.worth(m.class, age)-s.worth(m.class, age+free) < p.fee*m.class.Value {
				continue
			}
		}
		for _, e := range p.endpoints {
			if s.usable(e, m) && (best == nil || s.better(e, best, m)) {
				best = e
			}
		}
	}
	return best
}

// freeWait guesses how long a message would wait for a path without a fee;
// negative if there is none that may take it.
func (s *Sender) freeWait(m *message) time.Duration {
	wait := time.Duration(-1)
	for _, p := range m.dest.paths {
		if p.fee > 0 {
			continue
		}
		w := s.outage(p) + time.Duration(float64(len(p.dest.queue))/s.rate(p)*float64(time.Second))
		may := func(e *endpoint) bool { return e.state == Ready && s.mayRepeat(m, e) }
		if (wait < 0 || w < wait) && slices.ContainsFunc(p.endpoints, may) {
			wait = w
		}
	}
	return wait
}

// scarce tells that messages wait for slots: then a slot's time is worth more
// than a fee, and the faster route is taken.
func (s *Sender) scarce() bool { return len(s.open) > 2*s.set.Slots }

func (s *Sender) better(a, b *endpoint, m *message) bool {
	if x, y := a == m.failedAt, b == m.failedAt; x != y {
		return y // leave out the endpoint that was just seen failing
	}
	if a.path.fee != b.path.fee {
		if s.scarce() {
			return a.path.latency < b.path.latency
		}
		return a.path.fee < b.path.fee
	}
	if a.out != b.out {
		return a.out // a trial that is due
	}
	if len(a.calls) != len(b.calls) {
		return len(a.calls) < len(b.calls)
	}
	return a.lastSent < b.lastSent // reuse of the last connection was tried: the uneven load costs more
}

// usable tells whether an endpoint may take a message now.
func (s *Sender) usable(e *endpoint, m *message) bool {
	if !s.mayRepeat(m, e) || !s.listedFor(e) {
		return false
	}
	switch {
	case s.stalled(e), (e.out || e.suspect) && !s.roomForDoubt():
		return false
	case e.out && !s.trialDue(e), (e.out || e.suspect) && !s.fitForTrial(m, e), e.suspect && len(e.calls) > 0:
		return false
	case e.out && (e.lead || !s.notesCome()):
		return true
	}
	return !e.out && !e.warming || s.coldRoom(e)
}

// listedFor keeps drains: nothing goes to an endpoint from the notice on,
// unless its destination has no other and the grace still runs.
func (s *Sender) listedFor(e *endpoint) bool {
	if e.state == Ready {
		return true
	}
	if e.state == Gone || s.now-e.told >= s.set.DrainGrace/2 {
		return false
	}
	return !slices.ContainsFunc(e.path.dest.paths, func(p *path) bool { return p.readyEndpoints() > 0 })
}

// sendCall makes one call to an endpoint, with all waiting messages that fit.
func (s *Sender) sendCall(m *message, e *endpoint) {
	p := e.path
	c := &call{endpoint: e, sent: s.now}
	e.calls = append(e.calls, c)
	s.inFlight++
	p.narrow.record(s.now)
	p.wide.record(s.now)
	e.lastSent = s.now
	if e.out {
		p.nextTrial = s.now + s.trialGap(e)
	}
	bundle := []*message{m}
	s.take(m, c)
	room := p.kind.BundleMax
	if e.out || e.suspect {
		room = 1 // a trial risks one message only
	}
	for c.size < room {
		var best *message
		var bestScore float64
		for _, n := range p.dest.queue {
			if s.ready(n) && s.mayRepeat(n, e) {
				if score := s.score(n); best == nil || score > bestScore || score == bestScore && n.older(best) {
					best, bestScore = n, score
				}
			}
		}
		if best == nil {
			break
		}
		bundle = append(bundle, best)
		s.take(best, c)
	}
	e.phase = s.drawPhase() * bundleWork(c.size)
	e.cold.only(s.now)
	var timeout time.Duration // one fate, so one time-out
	for _, n := range bundle {
		timeout = max(timeout, s.timeout(e, n, c.size))
	}
	for _, n := range bundle {
		left := s.answerAt(n) - s.set.Tick - s.now
		s.out = append(s.out, Send{Message: n.id, Endpoint: e.id, Timeout: min(timeout, left)})
	}
}

// Health

func bundleWork(size int) float64 { return 1 + itemWork*float64(size-1) }

// stalled finds a hanging endpoint without waiting for time-outs, by a call
// that is out for long with no success since. One late answer ends it.
func (s *Sender) stalled(e *endpoint) bool {
	limit := stallFactor * max(1, s.pace) * float64(e.path.latency)
	return slices.ContainsFunc(e.calls, func(c *call) bool {
		return s.now-c.sent > max(minStall, time.Duration(limit*bundleWork(c.size))) && e.lastOK <= c.sent
	})
}

// timeout is long enough not to throw away an answer under way. It doubles
// with each time-out in a row, since slow and silent look the same at first.
func (s *Sender) timeout(e *endpoint, m *message, size int) time.Duration {
	dev := max(e.path.deviation, e.path.latency/4)
	if e.path.passes == 0 {
		dev = firstLatency
	}
	t := float64(e.path.latency+timeoutDeviations*dev) * max(1, s.pace) * bundleWork(size)
	if s.inFlight <= s.set.Slots/2 {
		t *= 2
	}
	if e.warming {
		t /= s.warmth(e.warmFrom)
	}
	first := max(min(minTimeout, timeoutLatencies*e.path.latency), time.Duration(t))
	d := min(first<<min(e.timeouts, 4), max(first, (m.class.Deadline-m.class.SoftDeadline)/4))
	if m.class.Repeat == AtMostOnce {
		// A time-out is its end: it can be neither resent nor refused. That no
		// connection was made proves that it never ran, and must come first.
		d = 2*d + s.set.ConnectTimeout
	}
	return d
}

// roomForDoubt leaves the slots to endpoints that answer, however many hang.
// While half of them lie idle doubt may have the rest: calls may get lost anywhere.
func (s *Sender) roomForDoubt() bool {
	n := s.doubtful()
	return n < max(1, s.set.Slots/doubtShare) || n < s.set.Slots/2 && s.inFlight <= s.set.Slots/2
}

// joined starts an endpoint that is added to a path which is out as out too: a
// cold replacement must not get the whole queue of the outage; it is tried first.
func (s *Sender) joined(e *endpoint) {
	out := false
	for _, o := range e.path.endpoints {
		if o != e && o.state == Ready && !o.out {
			return
		}
		out = out || o.out
	}
	e.out, e.since = out, s.now
}

// trialDue allows one spaced trial for each path: refused calls push it too.
func (s *Sender) trialDue(e *endpoint) bool {
	if s.now < e.path.nextTrial {
		return false
	}
	return !slices.ContainsFunc(e.path.endpoints, func(o *endpoint) bool { return o.out && len(o.calls) > 0 })
}

// fitForTrial keeps messages that a time-out would end out of early trials.
func (s *Sender) fitForTrial(m *message, e *endpoint) bool {
	return m.class.Repeat != AtMostOnce || s.now-m.born > m.class.Deadline/2
}

// ownRate is how many calls a second a path has taken from this sender, such that
// all senders' rates sum to what it took: its mean, or its best narrow window less
// what is chance in it. The best windows of many do not fall together: each is so
// many deviations over its mean, all together 1 over the root of their number of that.
func (s *Sender) ownRate(p *path) float64 {
	mean := float64(p.passes) / max(narrowWindow, s.now-s.started).Seconds()
	apart := 1 - 1/math.Sqrt(float64(s.set.Senders))
	chance := peakDeviations * apart * math.Sqrt(max(fewPasses, mean*narrowWindow.Seconds()))
	return max(mean, (float64(p.peak)-chance)/narrowWindow.Seconds())
}

// coldBudget is how many calls in a fall window a path may get from this sender
// while it may be cold. All senders' budgets together must stay under what it falls
// over at, and none knows what the others do. Each takes the larger of two parts:
//   - of what it surely takes, the listed or the least rate, over the number of
//     senders, or its own rate of old: these sum to what the path takes;
//   - one call for the time in which messages gathered. On as many senders wait as
//     messages came in it at most: one call each is the rate at which they came.
//
// With x messages expected for each sender in that time, 1-exp(-x) of them hold any,
// and their larger parts come to (1-exp(-x))(x+exp(-x))/x of the sum: 1 at most.
// Who is new has no rate of old, and counts the time from its first failure. Beyond
// the settings this assumes the least rate, that a path can take when warm what came
// to it of old, and that senders get messages alike. It needs nothing of the others:
// if they are gone, their parts are not used.
func (s *Sender) coldBudget(e *endpoint, warmth float64) float64 {
	sure := max(e.path.sureRate, leastRate/float64(s.set.Senders))
	gathered := min(s.longest, max(s.set.FallWindow, s.now-e.troubled)).Seconds()
	bears := coldMargin * s.set.FallMultiple * warmth * s.set.FallWindow.Seconds()
	return bears * max(sure, s.ownRate(e.path), 1/gathered)
}

// coldRoom tells whether an endpoint that may be cold may be sent a call: its part
// of the budget by the most endpoints there ever were, for it may be back alone. The
// budget is kept as one call in so long a time, so there is nothing to round up.
func (s *Sender) coldRoom(e *endpoint) bool {
	from := s.now
	if e.warming {
		from = e.warmFrom
	}
	b := s.coldBudget(e, s.warmth(from)) / float64(e.path.most)
	if b <= 0 {
		return true // the settings tell of no such rule
	}
	part := 1 / b
	if b < 1 {
		part = max(1, e.phase/b)
	}
	e.cold.window = time.Duration(float64(s.set.FallWindow) * part)
	return e.cold.count(s.now) < 1
}

// doubted tells that one error is taken for an outage: what passed before is too
// old to tell, and without notes nobody else tells. The next call may be one of
// hundreds by senders that saw one failure each; where its part is a call, it may.
func (s *Sender) doubted(e *endpoint) bool {
	old := s.now-e.lastOK >= outageFalls*s.set.FallWindow
	return e.broken && old && !s.notesCome() && s.coldBudget(e, s.warmth(s.now)) < 1
}

// notesCome tells that notes of others were heard of late. Without, nobody knows
// whether its own are heard, and none may lead.
func (s *Sender) notesCome() bool { return s.heardAt > 0 && s.now-s.heardAt < s.set.FallWindow }

// mayTell bounds notes while none come: all senders together tell one a tick then.
// Each note goes to all, and in an outage hundreds would tell what is lost anyway.
func (s *Sender) mayTell() bool {
	alone := s.now - s.toldAt
	return s.set.PeerMessages && (s.notesCome() || alone >= time.Duration(s.set.Senders)*s.set.Tick)
}

// trialGap spaces the trials of one sender: by the fall window for a lead, by its
// part of the cold budget of all endpoints for others.
func (s *Sender) trialGap(e *endpoint) time.Duration {
	gap := s.set.FallWindow + s.jitter(s.set.FallWindow/2)
	if b := s.coldBudget(e, s.warmth(s.now)); b > 0 && !(e.lead && s.notesCome()) {
		gap = max(gap, time.Duration(float64(s.set.FallWindow)*s.drawPhase()/b))
	}
	return gap
}

// judge takes the outcome of a call into the health of its endpoint.
func (s *Sender) judge(e *endpoint, outcome Outcome, wait time.Duration, c *call, took time.Duration) {
	p := e.path
	weight := 0.0
	switch outcome {
	case Delivered:
		s.wellDone(e, time.Duration(float64(took)/bundleWork(c.size)))
		return
	case Full:
		s.full(p, e, c.sent, wait)
		if e.fullRun >= shutRun || wait > narrowWindow {
			weight = 1
			if p.beforeRun > 0 && !e.out && wait > narrowWindow {
				s.resize(p, p.beforeRun) // shut: its refusals told nothing of the limit
			}
		}
	case Failed:
		weight = errorWeight
	case Reset: // a crash resets many calls, and refuses the next
		if e.lastOK > c.sent {
			return
		}
		weight = errorWeight
	case Unreachable:
		weight = outScore
	case TimedOut:
		if e.lastOK > c.sent {
			return // the call was lost alone: the endpoint has answered since
		}
		weight = timeoutWeight
		e.timeouts++
		s.out = append(s.out, CloseIdle{Endpoint: e.id}) // what was silent may be the connection alone
	}
	if weight == 0 {
		return
	}
	again := e.suspect
	e.suspect = true
	e.trouble(s.now)
	e.score += weight * (1 - e.score)
	if outcome != TimedOut && outcome != Reset {
		e.broken = true
	}
	if e.warming && c.sent >= e.warmFrom && again {
		e.warmFrom = s.now // what fails twice in a row was not back yet
	}
	// Lost calls alone are an outage when nothing else has come for long.
	silent := e.timeouts > 1 && s.now-e.lastOK >= outageFalls*s.set.FallWindow
	if sure := e.score >= outScore || silent; !e.out && (sure || s.doubted(e)) {
		e.lead = sure && s.tell(e, Down)
		e.out, e.since = true, s.now
		p.nextTrial = s.now
		if outcome != Reset { // after a reset the next connection tells more
			p.nextTrial += s.trialGap(e)
		}
	}
}

// heard takes in what another sender has seen; an own success of late weighs more.
// Trials of an outage are left to who told it, but for rare ones: notes get lost.
func (s *Sender) heard(n Told) {
	e := s.tags[n.Tag]
	s.heardAt = s.now
	switch {
	case e == nil:
	case n.News == Jam:
		if p := e.path; p.slice <= 1 || math.IsInf(p.slice, 1) && s.rate(p) <= 1/narrowWindow.Seconds() {
			s.jam(p)
		}
	case n.News == Down:
		if e.out || s.now-e.lastOK < minStall && e.lastOK > 0 {
			return
		}
		e.out, e.since, e.lead = true, s.now, false
		e.trouble(s.now)
		s.counted(e)
		e.path.nextTrial = s.now + s.trialGap(e)
	case e.out || e.suspect:
		s.returned(e, n.News)
		s.counted(e)
		e.suspect, e.timeouts, e.fullRun, e.score = false, 0, 0, 0
	}
}

func (s *Sender) wellDone(e *endpoint, took time.Duration) {
	p := e.path
	if e.out {
		// A few lost calls between two answers are no outage.
		news := Back
		if e.broken || s.now-e.lastOK >= outageFalls*s.set.FallWindow {
			news = BackCold
		}
		s.tell(e, news)
		s.returned(e, news)
		if p.beforeRun > p.slice && e.fullRun >= shutRun {
			s.resize(p, p.beforeRun)
		}
	}
	e.suspect, e.broken, e.timeouts, e.fullRun, e.lastOK = false, false, 0, 0, s.now
	e.score *= successShrink
	if e.warming = e.warming && s.warmth(e.warmFrom) < 1; !e.warming {
		e.troubled = 0
	}
	s.passedOne(p, took)
}

// Retries

// mayRepeat decides whether a message may go to an endpoint after earlier attempts.
func (s *Sender) mayRepeat(m *message, e *endpoint) bool {
	if m.call != nil || m.ended || s.neverAgain(m) {
		return false
	}
	free := !m.ran || m.class.Repeat == Idempotent
	return free || m.class.GroupAll || m.class.GroupZone && e.zone == m.ranZone
}

// mayRefuse decides whether a client may be told that trying again is harmless.
func (s *Sender) mayRefuse(m *message) bool {
	return !m.ran || m.class.Repeat == Idempotent || m.class.Repeat == Deduplicated && m.class.GroupAll
}

func (s *Sender) finished(o Ended) {
	m := s.messages[o.Message]
	if m == nil || m.call == nil {
		return
	}
	c := m.call
	m.call = nil
	if c.left--; c.left == 0 {
		c.endpoint.calls = remove(c.endpoint.calls, c)
		s.inFlight--
	}
	if !c.judged && o.Outcome != Moot && o.Outcome != Cancelled && !o.Stale {
		c.judged = true
		s.judge(c.endpoint, o.Outcome, o.Wait, c, o.Took)
	}
	if p := c.endpoint.path; o.Wait > 0 {
		// Messages of one call may end apart, so each told wait is heeded.
		p.closedUntil = max(p.closedUntil, s.now+o.Wait)
	}
	switch o.Outcome {
	case Full, Unreachable, Moot:
		if !m.settled {
			m.ran = false
		}
	case TimedOut, Reset, Cancelled:
		m.settled = true
		if m.turn != nil {
			m.turn.restUntil = max(m.turn.restUntil, s.now+s.set.KeyRest)
		}
	default:
		m.settled = true
	}
	if o.Final || o.Outcome == Delivered {
		if !m.ended {
			s.end(m)
			return
		}
	}
	if m.ended {
		s.forget(m)
		return
	}
	m.failedAt = nil
	if o.Outcome != Full && o.Outcome != Moot {
		m.failedAt = c.endpoint
		backoff := min(backoffMax, backoffBase<<min(m.attempts-1, 10))
		m.notBefore = s.now + backoff/2 + s.jitter(backoff/2)
	}
	m.dest.queue = append(m.dest.queue, m)
}

// Answers

// answerAt is when a message is answered at the latest: a tick before its time
// is up, so that the answer is in time even if a step comes late.
func (s *Sender) answerAt(m *message) Time { return m.giveUpAt - s.set.Tick }

// answerDue answers before the deadline, and at once what can't be sent again.
func (s *Sender) answerDue() {
	for i := 0; i < len(s.open); i++ {
		m := s.open[i]
		hopeless := m.call == nil && (m.attempts >= s.set.MaxAttempts || s.neverAgain(m))
		if s.now >= s.answerAt(m) || hopeless {
			s.answer(m)
			i--
		}
	}
}

// neverAgain tells that no endpoint may be sent the message any more.
func (s *Sender) neverAgain(m *message) bool {
	return m.ran && (m.class.Repeat == AtMostOnce ||
		m.class.Repeat == Deduplicated && s.now-m.ranAt >= m.class.Window)
}

// answer refuses where that is allowed, since the client may come again, and
// fails what can't be refused.
func (s *Sender) answer(m *message) {
	if s.mayRefuse(m) {
		var wait time.Duration
		if s.set.AdviseWait {
			wait = min(s.set.MaxWait, s.drain(m.dest))
		}
		s.out = append(s.out, Refuse{Message: m.id, Wait: wait})
	} else {
		s.out = append(s.out, Fail{Message: m.id})
	}
	s.end(m)
}

// makeRoom keeps a little of the hold free: what comes to a full one is lost unseen.
func (s *Sender) makeRoom() {
	if s.set.MaxHeld <= 0 {
		return
	}
	keep := s.set.MaxHeld - max(1, int(holdReserve*float64(s.set.MaxHeld)))
	for len(s.open) > keep {
		var worst *message
		least := shedBelow
		for _, m := range s.open {
			if m.call != nil || m.class.Value <= 0 {
				continue
			}
			v := s.worth(m.class, s.now-m.born+s.drain(m.dest)) / m.class.Value
			if s.inFlight >= s.set.Slots && len(m.dest.paths) > 0 {
				v *= min(1, s.usual/m.dest.paths[0].latency.Seconds())
			}
			if !s.mayRefuse(m) {
				v += 0.1
			}
			if v < least || v == least && worst != nil && m.older(worst) {
				worst, least = m, v
			}
		}
		if worst == nil {
			return
		}
		s.answer(worst)
	}
}
