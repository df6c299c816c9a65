package policy

import (
	"slices"
	"testing"
	"time"
)

// fleet simulates many senders of one destination, whose outage is scripted by the test.
type fleet struct {
	set               Settings
	senders           []*Sender
	now               Time
	nextID            MessageID
	pending           []pendingCall
	reports           []Event // sent in this step, received by all others in the next
	reporters         []int   // the sender of each report
	hadFailure        []bool  // by sender: a call of it has failed
	callsAfterFailure []Time  // times of the calls by senders with an earlier failed call
	calls             int     // number of calls by all senders
}

// pendingCall is an outstanding call with the time of its response.
type pendingCall struct {
	sender int
	send   Send
	due    Time
}

const responseTime = 100 * time.Millisecond

// arrivalRate is the number of messages a second that arrive at all senders together.
const arrivalRate = 45.0

// newFleet starts set.Senders senders with an endpoint list of one destination.
func newFleet(set Settings, endpoints int, rate float64) *fleet {
	f := &fleet{set: set, now: time.Hour, hadFailure: make([]bool, set.Senders)}
	for i := range set.Senders {
		f.senders = append(f.senders, nil)
		f.restart(i, endpoints, rate)
	}
	return f
}

// restart replaces a sender by a new one without state.
func (f *fleet) restart(i, endpoints int, rate float64) {
	var list []Entry
	for e := range endpoints {
		list = append(list, Entry{Endpoint: EndpointID(e + 1), State: Ready, Rate: rate})
	}
	f.senders[i] = New(f.set, uint64(i+1))
	f.step(i, EndpointUpdate{Complete: true, Entries: list})
}

// step passes events to a sender, and records its calls and reports.
func (f *fleet) step(i int, events ...Event) {
	for _, a := range f.senders[i].Step(f.now, events, nil) {
		switch a := a.(type) {
		case Send:
			f.pending = append(f.pending, pendingCall{i, a, f.now + responseTime})
			f.calls++
			if f.hadFailure[i] {
				f.callsAfterFailure = append(f.callsAfterFailure, f.now)
			}
		case NotifyPeers:
			f.reports, f.reporters = append(f.reports, PeerMessage{Tag: a.Tag, Event: a.Event}), append(f.reporters, i)
		}
	}
}

// run simulates a time span. Messages arrive at arrivalRate, at one sender after another. outcome returns the outcome of
// a call.
func (f *fleet) run(span time.Duration, loseReports bool, outcome func() Outcome) {
	const tick = 20 * time.Millisecond
	due := 0.0
	for end := f.now + span; f.now < end; f.now += tick {
		reports, reporters := f.reports, f.reporters
		f.reports, f.reporters = nil, nil
		events := make([][]Event, len(f.senders))
		for k, n := range reports {
			for i := range f.senders {
				if i != reporters[k] && !loseReports {
					events[i] = append(events[i], n)
				}
			}
		}
		kept := f.pending[:0]
		for _, c := range f.pending {
			if c.due > f.now {
				kept = append(kept, c)
				continue
			}
			o := outcome()
			f.hadFailure[c.sender] = f.hadFailure[c.sender] || o != Delivered
			events[c.sender] = append(events[c.sender], AttemptCompleted{
				Message:  c.send.Message,
				Endpoint: c.send.Endpoint, Outcome: o, Final: o == Delivered, Duration: responseTime,
			})
		}
		f.pending = kept
		for due += arrivalRate * tick.Seconds(); due >= 1; due-- {
			f.nextID++
			// A stride that is coprime to the number of senders reaches all of them.
			i := int(f.nextID) * 7919 % len(f.senders)
			events[i] = append(events[i], Arrived{
				Message: f.nextID, Class: 1,
				GiveUpAt: f.now + f.set.Classes[1].Deadline,
			})
		}
		for i := range f.senders {
			f.step(i, append(events[i], Woken{})...)
		}
	}
}

// maxBudgetShare returns the maximum, over all overload windows since the recovery, of the calls by senders with an
// earlier failed call, as a fraction of the destination's overload threshold at the end of the window.
func (f *fleet) maxBudgetShare(recoveredAt Time, capacity float64) float64 {
	worst, first := 0.0, 0
	for i, at := range f.callsAfterFailure {
		if at < recoveredAt {
			continue
		}
		for at-f.callsAfterFailure[first] >= f.set.OverloadWindow || f.callsAfterFailure[first] < recoveredAt {
			first++
		}
		warm := min(1, f.set.InitialCapacity+(1-f.set.InitialCapacity)*float64(at-recoveredAt)/float64(f.set.WarmUp))
		worst = max(worst, float64(i-first+1)/(f.set.OverloadFactor*warm*capacity*f.set.OverloadWindow.Seconds()))
	}
	return worst
}

// Without ramp budgets, hundreds of senders that observed an outage would each send a call after the recovery and overload a
// destination that is warming up. In some cases a tenth of the calls succeeds during the outage, so that the outage seems
// to end and begin again repeatedly. The ramp budgets of all senders together must stay below the overload threshold.
func TestManySendersStayWithinRampBudget(t *testing.T) {
	const capacity = 80.0
	for _, c := range []struct {
		name                string
		report, loseReports bool
		rateAccuracy        RateAccuracy
		passEvery           int // one call of this many succeeds in the outage; 0 for none
		endpoints           int
		restarts            int // number of senders that restart during the outage
		stopped             int // number of senders that stop before the recovery
	}{
		{name: "reports, some calls pass", report: true, passEvery: 10, endpoints: 1},
		{name: "reports, advertised rate", report: true, rateAccuracy: RateRough, passEvery: 10, endpoints: 1},
		{name: "reports, no call passes", report: true, endpoints: 1},
		{name: "reports lost", report: true, loseReports: true, rateAccuracy: RateRough, passEvery: 10, endpoints: 1},
		{name: "no reports, senders restarted", passEvery: 10, endpoints: 1, restarts: 400},
		{name: "reports, senders restarted, advertised rate", report: true, rateAccuracy: RateExact, endpoints: 1, restarts: 200},
		{name: "most senders gone", report: true, passEvery: 10, endpoints: 1, stopped: 300},
		{name: "two endpoints", report: true, passEvery: 10, endpoints: 2},
	} {
		t.Run(c.name, func(t *testing.T) {
			set := testSettings()
			set.Senders, set.PeerMessages, set.RateAccuracy = 400, c.report, c.rateAccuracy
			f := newFleet(set, c.endpoints, arrivalRate)
			healthy := func() Outcome { return Delivered }
			f.run(8*time.Second, c.loseReports, healthy)
			calls := 0
			failing := func() Outcome {
				if calls++; c.passEvery > 0 && calls%c.passEvery == 0 {
					return Delivered
				}
				return Failed
			}
			f.run(6*time.Second, c.loseReports, failing)
			for i := range c.restarts {
				f.restart(i, c.endpoints, arrivalRate)
				f.hadFailure[i] = false
			}
			f.pending = slices.DeleteFunc(f.pending, func(o pendingCall) bool { return o.sender < c.restarts })
			f.run(6*time.Second, c.loseReports, failing)
			left := len(f.senders) - c.stopped
			f.senders = f.senders[:left]
			f.pending = slices.DeleteFunc(f.pending, func(o pendingCall) bool { return o.sender >= left })
			f.reports, f.reporters = nil, nil
			recoveredAt, callsBefore := f.now, f.calls
			f.run(6*time.Second, c.loseReports, healthy)
			share := f.maxBudgetShare(recoveredAt, capacity)
			sent := float64(f.calls-callsBefore) / (6 * capacity * set.InitialCapacity)
			t.Logf("%.2f of the overload threshold, %.2f of the initial capacity; %d calls by senders with an earlier failed call, %d pending, last message %d, %d calls in the outage", share, sent, len(f.callsAfterFailure), len(f.pending), f.nextID, calls)
			if share > 1 {
				t.Errorf("got calls at %.2f times the overload threshold of the destination, want 1 at most", share)
			}
			// share counts only senders with a failed call, and these may pause: if a sender with an allotment of one
			// call in 9 s has that call rejected, it makes no other one for a time. So all calls are checked too.
			if max(share, sent) < 0.05 {
				t.Errorf("got %.2f of the overload threshold and %.2f of the initial capacity used, want 0.05 at least of either", share, sent)
			}
		})
	}
}

// If no reports arrive, a single error without a recent success opens the circuit: hundreds of senders may have had one
// error each. A report about another endpoint must not make such a sender resume. After a recent success a single error
// must not open the circuit.
func TestOneErrorWithoutReportsOpensCircuit(t *testing.T) {
	h := newHarness(t, reportingSettings(), testDestination{endpoints: 1})
	h.arrive(1)
	if n := countActions[NotifyPeers](h.complete(Failed, 0)); n != 0 {
		t.Errorf("got %d reports of an outage after one error, want 0", n)
	}
	e := h.path().endpoints[0]
	if !e.circuit.open {
		t.Fatal("got a closed circuit after an error without earlier successes and reports, want it open")
	}
	h.step(PeerMessage{Tag: 1<<TagBits - 1, Event: PeerDown})
	if h.wait(backoffBase); len(h.outstanding) != 0 {
		t.Error("got a send after a report about another endpoint, want none")
	}
	c := newHarness(t, reportingSettings(), testDestination{endpoints: 1})
	c.arrive(1)
	c.complete(Delivered, 0)
	c.arrive(1)
	c.complete(Failed, 0)
	if c.path().endpoints[0].circuit.open {
		t.Error("got an open circuit after one error right after a success, want it closed")
	}
}

// If reports are lost, many senders report the same outage and become probe leaders. All of them would probe in each
// overload window. A probe leader that receives no reports must probe as rarely as the others.
func TestProbeLeaderWithoutReportsProbesRarely(t *testing.T) {
	h := newHarness(t, reportingSettings(), testDestination{endpoints: 1})
	e := h.path().endpoints[0]
	e.circuit.open, e.circuit.probeLeader, e.circuit.unhealthySince, h.s.now = true, true, h.now-10*time.Second, h.now
	if gap := h.s.probeInterval(e); gap < 2*h.s.settings.OverloadWindow {
		t.Errorf("got a probe interval of %v while no reports arrive, want two overload windows at least", gap)
	}
	h.step(PeerMessage{Tag: 1<<TagBits - 1, Event: PeerRateLimited})
	if gap := h.s.probeInterval(e); gap > 2*h.s.settings.OverloadWindow {
		t.Errorf("got a probe interval of %v for a probe leader that receives reports, want two overload windows at most", gap)
	}
}

// If a call succeeds during an outage, the outage seems to end and begin again. Counted from the second failure, the
// outage would seem short, and the ramp budget, which decreases with its length, would be too large.
func TestOutageStartsAtFirstFailure(t *testing.T) {
	h := newHarness(t, reportingSettings(), testDestination{endpoints: 1})
	e := h.path().endpoints[0]
	start := h.now
	for _, event := range []PeerEvent{PeerDown, PeerSlowStart, PeerDown, PeerSlowStart} {
		h.step(PeerMessage{Tag: TagOf(e.id), Event: event})
		h.now += 4 * time.Second
	}
	if e.circuit.unhealthySince != start {
		t.Errorf("got an outage counted from %v after the first failure, want 0s", e.circuit.unhealthySince-start)
	}
	h.s.now = h.now
	const longestDeadline = 12 // in seconds, of the classes in testSettings
	if budget, window := h.s.rampBudget(e, 1), testSettings().OverloadWindow; budget > rampMargin*2*window.Seconds()/longestDeadline+1e-9 {
		t.Errorf("got a ramp budget of %.2f calls 16 s after the first failure, want that for an outage of at least 12 s", budget)
	}
}

// Each sender estimates its own rate from its best window and its mean. The best windows of many senders do not coincide,
// so the sum of their rates would be too high; those of two senders nearly coincide.
func TestOwnRatesSumToAcceptedRate(t *testing.T) {
	for _, c := range []struct {
		senders, peak, passes int
		most                  float64
	}{{400, 2, 3, 0.1}, {400, 3, 6, 0.25}, {2, 12, 240, 6}, {1, 12, 240, 6}} {
		set := testSettings()
		set.Senders = c.senders
		h := newHarness(t, set, testDestination{endpoints: 1})
		h.s.now = h.now + time.Minute
		p := h.path()
		p.successes.Peak, p.successes.Total = c.peak, c.passes
		if mean, r := float64(c.passes)/60, h.s.ownRate(p); r < mean || r > c.most {
			t.Errorf("%d senders, %d calls in the best window and %d in a minute: got rate %.2f, want %.2f to %.2f",
				c.senders, c.peak, c.passes, r, mean, c.most)
		}
	}
}

// If reports are lost, each of hundreds of senders detects each outage itself and would report it to all others. While no
// reports arrive, all senders together must send at most one a tick.
func TestReportsAreRateLimitedWhileNoneArrive(t *testing.T) {
	h := newHarness(t, reportingSettings(), testDestination{endpoints: 1})
	e := h.path().endpoints[0]
	h.s.now = h.now
	if !h.s.reportToPeers(e, PeerDown) {
		t.Fatal("got no first report, want one")
	}
	if h.s.reportToPeers(e, PeerDown) {
		t.Error("got a second report immediately while none arrive, want none")
	}
	h.s.now += 400 * h.s.settings.Tick
	if !h.s.reportToPeers(e, PeerDown) {
		t.Error("got no report after one tick for each sender, want one")
	}
	h.step(PeerMessage{Tag: 1<<TagBits - 1, Event: PeerRateLimited})
	for range 2 {
		if !h.s.reportToPeers(e, PeerDown) {
			t.Error("got no report while reports of others arrive, want one")
		}
	}
}
