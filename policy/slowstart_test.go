package policy

import (
	"slices"
	"testing"
	"time"
)

// fleet is many senders of one destination, with a scripted outage.
type fleet struct {
	set        Settings
	senders    []*Sender
	now        Time
	nextID     MessageID
	pending    []pendingCall
	reports    []Event // sent in this step, received by all others in the next
	reporters  []int   // the sender of each
	sawFailure []bool  // has seen a call fail
	awareCalls []Time  // calls of senders that have
	calls      int     // of all
}

type pendingCall struct {
	sender int
	send   Send
	due    Time
}

const responseTime = 100 * time.Millisecond

// arrivalRate is how many messages a second arrive, at all senders together.
const arrivalRate = 45.0

// newFleet starts so many senders that know so many endpoints of one destination.
func newFleet(set Settings, endpoints int, rate float64) *fleet {
	f := &fleet{set: set, now: time.Hour, sawFailure: make([]bool, set.Senders)}
	for i := range set.Senders {
		f.senders = append(f.senders, nil)
		f.restart(i, endpoints, rate)
	}
	return f
}

func (f *fleet) restart(i, endpoints int, rate float64) {
	var list []Entry
	for e := range endpoints {
		list = append(list, Entry{Endpoint: EndpointID(e + 1), State: Ready, Rate: rate})
	}
	f.senders[i] = New(f.set, uint64(i+1))
	f.step(i, EndpointUpdate{Complete: true, Entries: list})
}

func (f *fleet) step(i int, events ...Event) {
	for _, a := range f.senders[i].Step(f.now, events, nil) {
		switch a := a.(type) {
		case Send:
			f.pending = append(f.pending, pendingCall{i, a, f.now + responseTime})
			f.calls++
			if f.sawFailure[i] {
				f.awareCalls = append(f.awareCalls, f.now)
			}
		case NotifyPeers:
			f.reports, f.reporters = append(f.reports, PeerMessage{Tag: a.Tag, Event: a.Event}), append(f.reporters, i)
		}
	}
}

// run plays a span: messages come at a rate, one sender after the other, and
// outcome returns the outcome of a call.
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
			f.sawFailure[c.sender] = f.sawFailure[c.sender] || o != Delivered
			events[c.sender] = append(events[c.sender], AttemptCompleted{
				Message:  c.send.Message,
				Endpoint: c.send.Endpoint, Outcome: o, Final: o == Delivered, Duration: responseTime,
			})
		}
		f.pending = kept
		for due += arrivalRate * tick.Seconds(); due >= 1; due-- {
			f.nextID++
			// A stride that is prime to the number of senders visits all of them.
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

// most is the largest share of its budget that the destination was sent in any fall
// window that ends within the span, by senders that had seen a failure.
func (f *fleet) maxBudgetShare(recoveredAt Time, capacity float64) float64 {
	worst, first := 0.0, 0
	for i, at := range f.awareCalls {
		if at < recoveredAt {
			continue
		}
		for at-f.awareCalls[first] >= f.set.OverloadWindow || f.awareCalls[first] < recoveredAt {
			first++
		}
		warm := min(1, f.set.InitialCapacity+(1-f.set.InitialCapacity)*float64(at-recoveredAt)/float64(f.set.WarmUp))
		worst = max(worst, float64(i-first+1)/(f.set.OverloadFactor*warm*capacity*f.set.OverloadWindow.Seconds()))
	}
	return worst
}

// Hundreds of senders that saw one outage each send a call at the return, which overloads a destination
// that is warming up. During the outage a tenth of the calls passes, so it seems to begin anew over and over.
func TestManySendersStayWithinRampBudget(t *testing.T) {
	const capacity = 80.0
	for _, c := range []struct {
		name                string
		report, loseReports bool
		rateAccuracy        RateAccuracy
		passes              int // one call in so many passes in the outage, or none
		endpoints           int
		restarts            int // so many senders start anew within the outage
		stopped             int // so many are gone at the return
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
				f.sawFailure[i] = false
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
			t.Logf("%.2f of the budget, %.2f of its initial capacity; %d calls of %d by who saw failures, id %d, calls %d", share, sent, len(f.awareCalls), len(f.pending), f.nextID, calls)
			if share > 1 {
				t.Errorf("got %.2f times the ramp budget of the destination, want 1 at most", share)
			}
			// Calls of senders that saw nothing count too: a sender with an allotment of a call in nine
			// seconds that lost it to a rejection has no other for a time.
			if max(share, sent) < 0.05 {
				t.Errorf("got %.2f of its initial capacity, want 0.05 at least", sent)
			}
		})
	}
}

// Senders that saw one failure each must not resume for a report of something else.
func TestOneErrorWithoutReportsOpensCircuit(t *testing.T) {
	h := newHarness(t, reportingSettings(), testDestination{endpoints: 1})
	h.arrive(1)
	if n := countActions[NotifyPeers](h.finish(Failed, 0)); n != 0 {
		t.Errorf("got %d reports of an outage after one error, want 0", n)
	}
	e := h.path().endpoints[0]
	if !e.circuit.open {
		t.Fatal("got a closed circuit after an error, with no success and no reports before")
	}
	h.step(PeerMessage{Tag: 1<<TagBits - 1, Event: PeerDown})
	if h.wait(backoffBase); len(h.outstanding) != 0 {
		t.Error("got a send after a report of something else")
	}
	c := newHarness(t, reportingSettings(), testDestination{endpoints: 1})
	c.arrive(1)
	c.finish(Delivered, 0)
	c.arrive(1)
	c.finish(Failed, 0)
	if c.path().endpoints[0].circuit.open {
		t.Error("got an open circuit after one error right after a success")
	}
}

// Where reports are lost, all who sent one would lead and probe in each overload window.
func TestProbeLeaderWithoutReportsProbesRarely(t *testing.T) {
	h := newHarness(t, reportingSettings(), testDestination{endpoints: 1})
	e := h.path().endpoints[0]
	e.circuit.open, e.circuit.probeLeader, e.circuit.unhealthySince, h.s.now = true, true, h.now-10*time.Second, h.now
	if gap := h.s.probeInterval(e); gap < 2*h.s.settings.OverloadWindow {
		t.Errorf("got a probe interval of %v though no reports arrive", gap)
	}
	h.step(PeerMessage{Tag: 1<<TagBits - 1, Event: PeerRateLimited})
	if gap := h.s.probeInterval(e); gap > 2*h.s.settings.OverloadWindow {
		t.Errorf("got a probe interval of %v for the probe leader", gap)
	}
}

// A call that passes in an outage must not make it look short.
func TestOutageStartsAtFirstFailure(t *testing.T) {
	h := newHarness(t, reportingSettings(), testDestination{endpoints: 1})
	e := h.path().endpoints[0]
	start := h.now
	for _, event := range []PeerEvent{PeerDown, PeerSlowStart, PeerDown, PeerSlowStart} {
		h.step(PeerMessage{Tag: TagOf(e.id), Event: event})
		h.now += 4 * time.Second
	}
	if e.circuit.unhealthySince != start {
		t.Errorf("got a count from %v after the first failure, want 0", e.circuit.unhealthySince-start)
	}
	h.s.now = h.now
	if short, long := h.s.rampBudget(e, 1), testSettings().OverloadWindow; short > rampMargin*2*long.Seconds()/12+1e-9 { // the longest deadline
		t.Errorf("got a budget of %.2f calls in an overload window 16 s after the first failure", short)
	}
}

// The best windows of many senders do not coincide, those of two nearly do.
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
		p.successes.Peak, p.successes.Passes = c.peak, c.passes
		if mean, r := float64(c.passes)/60, h.s.ownRate(p); r < mean || r > c.most {
			t.Errorf("%d senders, best window of %d and %d in a minute: got rate %.2f, want %.2f to %.2f",
				c.senders, c.peak, c.passes, r, mean, c.most)
		}
	}
}

// While reports are lost each of hundreds of senders would report each outage to all others.
func TestReportsAreRateLimitedWhileNoneArrive(t *testing.T) {
	h := newHarness(t, reportingSettings(), testDestination{endpoints: 1})
	e := h.path().endpoints[0]
	h.s.now = h.now
	if !h.s.reportToPeers(e, PeerDown) {
		t.Fatal("got no first report")
	}
	if h.s.reportToPeers(e, PeerDown) {
		t.Error("got a second report at once though none arrive")
	}
	h.s.now += 400 * h.s.settings.Tick
	if !h.s.reportToPeers(e, PeerDown) {
		t.Error("got no report after a tick for each sender")
	}
	h.step(PeerMessage{Tag: 1<<TagBits - 1, Event: PeerRateLimited})
	for range 2 {
		if !h.s.reportToPeers(e, PeerDown) {
			t.Error("got no report though others arrive")
		}
	}
}
