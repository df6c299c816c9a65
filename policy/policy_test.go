package policy

import (
	"math"
	"testing"
	"time"
	"wingmount/internal/container"
	"wingmount/internal/estimate"
)

// harness drives one sender by hand; a test ends its calls.
type harness struct {
	t           *testing.T
	s           *Sender
	now         Time
	id          MessageID
	outstanding []Send // not yet ended
}

// testDestination is the destination 0 of a harness, with endpoints 1, 2, ... in zones 0 and 1 by turns.
type testDestination struct {
	kind      int // index of Settings.Kinds
	endpoints int
	rate      float64 // advertised, in calls a second; 0 for none
}

// newHarness starts a sender with one destination.
func newHarness(t *testing.T, set Settings, destination testDestination) *harness {
	t.Helper()
	h := &harness{t: t, s: New(set, 1), now: time.Hour}
	var list []Entry
	for i := range destination.endpoints {
		list = append(list, Entry{
			Endpoint: EndpointID(i + 1), Kind: destination.kind, Zone: i % 2,
			State: Ready, Rate: destination.rate,
		})
	}
	h.step(EndpointUpdate{Complete: true, Entries: list})
	return h
}

func (h *harness) step(events ...Event) []Action {
	actions := h.s.Step(h.now, events, nil)
	for _, a := range actions {
		if s, ok := a.(Send); ok {
			h.outstanding = append(h.outstanding, s)
		}
	}
	return actions
}

func (h *harness) arrive(class int) []Action {
	h.id++
	return h.step(Arrived{Message: h.id, Class: class, GiveUpAt: h.now + h.s.settings.Classes[class].Deadline})
}

// finish completes the oldest outstanding attempt.
func (h *harness) finish(o Outcome, wait time.Duration) []Action {
	h.t.Helper()
	if len(h.outstanding) == 0 {
		h.t.Fatal("got no outstanding attempt")
	}
	s := h.outstanding[0]
	h.outstanding = h.outstanding[1:]
	return h.step(AttemptCompleted{
		Message: s.Message, Endpoint: s.Endpoint, Outcome: o, RetryAfter: wait,
		Final: o == Delivered, Duration: 100 * time.Millisecond,
	})
}

func (h *harness) wait(d time.Duration) { h.now += d; h.step(Woken{}) }

func (h *harness) path() *path { return h.s.activeDestination(0).paths[0] }

func countActions[T Action](actions []Action) int {
	n := 0
	for _, a := range actions {
		if _, ok := a.(T); ok {
			n++
		}
	}
	return n
}

func TestWindowDropsOldCalls(t *testing.T) {
	l := container.Window{Span: 2 * time.Second}
	l.Record(10 * time.Second)
	if n := l.Count(12*time.Second - 1); n != 1 {
		t.Errorf("%d entries just before a window has passed, want 1", n)
	}
	if n := l.Count(12 * time.Second); n != 0 {
		t.Errorf("%d entries exactly a window later, want 0", n)
	}
}

func TestAllotmentFromAdvertisedRate(t *testing.T) {
	set := testSettings()
	set.RateAccuracy, set.Senders = RateExact, 4
	if got := newHarness(t, set, testDestination{endpoints: 1, rate: 12}).path().limiter.allotment; got != 6 {
		t.Errorf("got allotment %v for 12 a second over 4 senders, want 6 in 2 s", got)
	}
	if got := newHarness(t, set, testDestination{endpoints: 1, rate: 1}).path().limiter.allotment; got != 1 {
		t.Errorf("got allotment %v for a low rate, want 1", got)
	}
	h := newHarness(t, testSettings(), testDestination{endpoints: 1, rate: 12})
	if got := h.path().limiter.allotment; !math.IsInf(got, 1) {
		t.Errorf("got allotment %v without advertised rates, want +Inf", got)
	}
}

func TestFullNarrowOrWideWindowBlocksCalls(t *testing.T) {
	h := newHarness(t, testSettings(), testDestination{endpoints: 1})
	p := h.path()
	p.limiter.allotment = 3
	for range 3 {
		p.limiter.narrow.Record(h.now)
	}
	h.s.now = h.now + narrowWindow - 1
	if h.s.allowsCall(p) {
		t.Error("got capacity with the narrow count at the allotment")
	}
	h.s.now++
	if !h.s.allowsCall(p) {
		t.Error("got no capacity once the oldest calls are a window old")
	}
	for range 18 {
		p.limiter.wide.Record(h.s.now)
	}
	if h.s.allowsCall(p) {
		t.Error("got capacity with the wide count at six allotments")
	}
}

func TestBatchCountsOnceInBothWindows(t *testing.T) {
	h := newHarness(t, testSettings(), testDestination{kind: 1, endpoints: 1})
	p := h.path()
	p.limiter.closedUntil = h.now + 1
	for range 3 {
		h.arrive(1)
	}
	h.wait(time.Millisecond)
	if len(h.outstanding) != 3 || p.limiter.narrow.Len() != 1 || p.limiter.wide.Len() != 1 || h.s.slots.outstanding != 1 {
		t.Errorf("got %d sends, windows of %d and %d, %d outstanding calls; want one call with 3 messages", len(h.outstanding),
			p.limiter.narrow.Len(), p.limiter.wide.Len(), h.s.slots.outstanding)
	}
}

func TestFirstRejectionSetsAllotmentLaterOnesCutIt(t *testing.T) {
	h := newHarness(t, testSettings(), testDestination{endpoints: 1})
	p := h.path()
	for range 3 {
		h.arrive(1)
		h.finish(Delivered, 0)
	}
	h.arrive(1)
	h.finish(RateLimited, 0)
	if p.limiter.allotment != 4 {
		t.Fatalf("got allotment %v after the first rejection, want the narrow count 4", p.limiter.allotment)
	}
	h.wait(3 * time.Second)
	h.finish(RateLimited, 0)
	if want := 4 * allotmentPerRepeatedRejection; math.Abs(p.limiter.allotment-want) > 1e-9 {
		t.Errorf("got allotment %v after a rejection right after another, want %v", p.limiter.allotment, want)
	}
	p.limiter.allotment, p.limiter.allotmentBeforeRun = 1/float64(h.s.settings.Senders), 0
	p.limiter.wide = container.Window{Span: p.limiter.wide.Span} // it counts calls under the larger allotment
	h.wait(4 * time.Second)
	h.finish(RateLimited, 0)
	if p.limiter.allotment < 1/float64(h.s.settings.Senders) {
		t.Errorf("got allotment %v, want one call for all senders at least", p.limiter.allotment)
	}
}

func TestSuccessGrowsExhaustedAllotmentOnly(t *testing.T) {
	h := newHarness(t, testSettings(), testDestination{endpoints: 1})
	p := h.path()
	p.limiter.allotment = 5
	h.arrive(0)
	h.finish(Delivered, 0)
	if p.limiter.allotment != 5 {
		t.Errorf("got allotment %v, want 5: it was not exhausted", p.limiter.allotment)
	}
	p.limiter.allotment = 1
	h.wait(3 * time.Second)
	h.arrive(0)
	h.finish(Delivered, 0)
	if math.Abs(p.limiter.allotment-1-maxAllotmentGrowth) > 1e-9 {
		t.Errorf("got allotment %v, want %v", p.limiter.allotment, 1+maxAllotmentGrowth)
	}
}

func TestCallsUnderAllotmentAreSpaced(t *testing.T) {
	h := newHarness(t, testSettings(), testDestination{endpoints: 2})
	h.path().limiter.allotment = 4
	h.arrive(0)
	h.arrive(0)
	if len(h.outstanding) != 1 {
		t.Fatalf("got %d sends at once under an allotment of 4, want 1", len(h.outstanding))
	}
	h.wait(narrowWindow / 4)
	if len(h.outstanding) != 2 {
		t.Errorf("got %d sends after a quarter of the window, want 2", len(h.outstanding))
	}
}

func TestRetryAfterPausesDestination(t *testing.T) {
	h := newHarness(t, testSettings(), testDestination{endpoints: 2})
	h.arrive(0)
	h.finish(RateLimited, time.Second)
	h.arrive(0)
	h.wait(time.Second - 1)
	if len(h.outstanding) != 0 {
		t.Fatal("got a send before the end of Retry-After")
	}
	h.wait(narrowWindow)
	if len(h.outstanding) == 0 {
		t.Error("got no send after Retry-After")
	}
}

// A message of a batch may time out before the outcome of another brings a Retry-After.
func TestRetryAfterOfLaterBatchOutcomeApplies(t *testing.T) {
	h := newHarness(t, testSettings(), testDestination{kind: 1, endpoints: 1})
	h.path().limiter.closedUntil = h.now + 1
	h.arrive(1)
	h.arrive(1)
	h.wait(time.Millisecond)
	h.finish(TimedOut, 0)
	h.finish(RateLimited, 3*time.Second)
	if until := h.path().limiter.closedUntil; until < h.now+3*time.Second {
		t.Errorf("got a path closed until %v, want 3 s from %v", until, h.now)
	}
}

func TestRetryAfterOfSeparateRouteLeavesOtherRouteOpen(t *testing.T) {
	h := newHarness(t, testSettings(), testDestination{kind: 2, endpoints: 2})
	h.arrive(0)
	first := h.outstanding[0].Endpoint
	h.finish(RateLimited, 2*time.Second)
	if len(h.outstanding) != 1 || h.outstanding[0].Endpoint == first {
		t.Errorf("got sends %v after Retry-After of route %d, want the other route", h.outstanding, first)
	}
}

func TestFeeIsPaidOnlyIfWaitingCostsMore(t *testing.T) {
	// Endpoint 1 has a fee, 2 has none.
	h := newHarness(t, testSettings(), testDestination{kind: 2, endpoints: 2})
	h.arrive(1)
	if h.outstanding[0].Endpoint != 2 {
		t.Fatalf("got endpoint %d, want the route without a fee", h.outstanding[0].Endpoint)
	}
	h.s.activeDestination(0).paths[1].limiter.closedUntil = h.now + 100*time.Millisecond
	h.arrive(1)
	if len(h.outstanding) != 1 {
		t.Error("got a fee paid to save a short wait within the soft deadline")
	}
	h.s.activeDestination(0).paths[1].limiter.closedUntil = h.now + 10*time.Second
	h.wait(time.Millisecond)
	if len(h.outstanding) != 2 || h.outstanding[1].Endpoint != 1 {
		t.Errorf("got sends %v, want the route with a fee where waiting costs more", h.outstanding)
	}
}

func TestCallsStayWithinSlots(t *testing.T) {
	set := testSettings()
	set.Slots = 2
	h := newHarness(t, set, testDestination{endpoints: 4})
	for range 5 {
		h.arrive(0)
	}
	if len(h.outstanding) != 2 {
		t.Errorf("got %d sends with 2 slots, want 2", len(h.outstanding))
	}
}

// The rate limit counts starts only, so it does not bound the slots of a hanging destination.
func TestHangingDestinationLeavesSlotsForOthers(t *testing.T) {
	h := newHarness(t, testSettings(), testDestination{endpoints: 1})
	for range 20 {
		h.arrive(1)
	}
	if n := len(h.outstanding); n != 3 {
		t.Errorf("got %d of 6 slots for one destination, want half", n)
	}
	h.wait(4 * time.Second)
	if !h.s.isStalled(h.path().endpoints[0]) {
		t.Error("got an endpoint that is not stalled after 4 s without an answer")
	}
}

// Many endpoints may hang at once; calls to suspects leave slots to the others.
func TestSuspectEndpointsLeaveSlotsForOthers(t *testing.T) {
	set := testSettings()
	set.Slots = 8
	s := New(set, 1)
	now := time.Hour
	var list []Entry
	for i := range 10 {
		list = append(list, Entry{Endpoint: EndpointID(i + 1), Destination: i, State: Ready})
	}
	s.Step(now, []Event{EndpointUpdate{Complete: true, Entries: list}}, nil)
	for _, d := range s.registry.destinations {
		s.activate(d)
		d.paths[0].endpoints[0].circuit.suspect = true
	}
	var arrivals []Event
	for i := range 10 {
		arrivals = append(arrivals, Arrived{Message: MessageID(i + 1), Destination: i, GiveUpAt: now + 5*time.Second})
	}
	if n := countActions[Send](s.Step(now, arrivals, nil)); n != 4 {
		t.Errorf("got %d calls to suspect endpoints with 8 slots, want 4", n)
	}
}

func TestOutageAllowsOneProbeAtATime(t *testing.T) {
	h := newHarness(t, testSettings(), testDestination{endpoints: 2})
	for range 8 {
		h.arrive(0)
	}
	for h.path().endpoints[0].circuit.open == false || h.path().endpoints[1].circuit.open == false {
		if len(h.outstanding) > 0 {
			h.finish(Unreachable, 0)
		}
		h.wait(50 * time.Millisecond)
	}
	for len(h.outstanding) > 0 {
		h.finish(Unreachable, 0)
	}
	sends := 0
	for range 100 { // ten seconds
		h.wait(100 * time.Millisecond)
		sends += len(h.outstanding)
		if len(h.outstanding) > 1 {
			t.Fatalf("got %d probes at once, want 1", len(h.outstanding))
		}
		for len(h.outstanding) > 0 {
			h.finish(Unreachable, 0)
		}
		h.arrive(0)
	}
	if most := int(10 * time.Second / h.s.settings.OverloadWindow); sends > most || sends == 0 {
		t.Errorf("got %d probes in 10 s, want 1 to %d", sends, most)
	}
}

// The backlog of a destination that is still warming up would overload it.
func TestRecoveryRampStaysWithinBudget(t *testing.T) {
	h := newHarness(t, testSettings(), testDestination{endpoints: 1})
	p, e := h.path(), h.path().endpoints[0]
	p.successes.Peak = 24 // calls of this sender in a narrow window before
	e.circuit.open, e.circuit.sawError, e.circuit.openedAt, e.circuit.unhealthySince = true, true, h.now-10*time.Second, h.now-10*time.Second
	e.circuit.failureScore = 1
	for range 30 {
		h.arrive(1)
	}
	h.finish(Delivered, 0) // the probe
	if !e.ramp.active {
		t.Fatal("got no recovery ramp")
	}
	start, set := h.now, h.s.settings
	sent := []Time{start}
	for h.now < start+2*set.OverloadWindow {
		for len(h.outstanding) > 0 {
			sent = append(sent, h.now)
			h.finish(Delivered, 0)
		}
		n := 0
		for _, at := range sent {
			if h.now-at < set.OverloadWindow {
				n++
			}
		}
		bears := set.OverloadFactor * h.s.warmUpFactor(start) * float64(p.successes.Peak) / narrowWindow.Seconds() * set.OverloadWindow.Seconds()
		if float64(n) > bears {
			t.Fatalf("%v after the return: got %d calls in an overload window, want %.1f at most from this sender",
				h.now-start, n, bears)
		}
		h.wait(20 * time.Millisecond)
	}
	if len(sent) < 6 {
		t.Errorf("got %d calls in two overload windows, want 6 at least", len(sent))
	}
	h.s.now = start + set.WarmUp
	if w := h.s.warmUpFactor(start); w != 1 {
		t.Errorf("got warm-up factor %v after the warm-up, want 1", w)
	}
}

// Single lost calls start no recovery ramp, errors do.
func TestRecoveryRampStartsOnlyAfterOutage(t *testing.T) {
	for _, c := range []struct {
		name   string
		broken bool
		silent time.Duration
		ramp   bool
	}{
		{"a few lost calls", false, time.Second, false},
		{"long silence", false, 10 * time.Second, true},
		{"errors", true, time.Second, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			h := newHarness(t, testSettings(), testDestination{endpoints: 1})
			e := h.path().endpoints[0]
			e.circuit.open, e.circuit.sawError, e.circuit.lastSuccessAt = true, c.broken, h.now-c.silent
			h.s.recordSuccess(e, 100*time.Millisecond)
			if e.ramp.active != c.ramp {
				t.Errorf("got ramp active %v, want %v", e.ramp.active, c.ramp)
			}
		})
	}
}

func TestLongRetryAfterOpensCircuitAndKeepsAllotment(t *testing.T) {
	h := newHarness(t, testSettings(), testDestination{endpoints: 1})
	h.path().limiter.allotment = 5
	h.arrive(0)
	h.finish(RateLimited, 4*time.Second)
	if e := h.path().endpoints[0]; !e.circuit.open {
		t.Error("got a closed circuit after a Retry-After longer than a window, want it open")
	}
	if h.path().limiter.allotment != 5 {
		t.Errorf("got allotment %v, want 5 as before", h.path().limiter.allotment)
	}
}

// Calls to healthy endpoints must not delay probes of another.
func TestPartialOutageIsProbed(t *testing.T) {
	h := newHarness(t, testSettings(), testDestination{endpoints: 2})
	e := h.path().endpoints[0]
	e.circuit.open, e.circuit.failureScore = true, 1
	h.path().nextProbeAt = h.now + h.s.settings.OverloadWindow
	tried := false
	for range 40 {
		h.arrive(0)
		for len(h.outstanding) > 0 {
			tried = tried || h.outstanding[0].Endpoint == e.id
			h.finish(Delivered, 0)
		}
		h.wait(100 * time.Millisecond)
	}
	if !tried {
		t.Error("got no probe in 4 s while the other endpoint works")
	}
}

func TestRetryAvoidsFailedEndpoint(t *testing.T) {
	h := newHarness(t, testSettings(), testDestination{endpoints: 2})
	h.arrive(0)
	first := h.outstanding[0].Endpoint
	h.finish(Failed, 0)
	h.wait(backoffBase)
	if len(h.outstanding) != 1 || h.outstanding[0].Endpoint == first {
		t.Errorf("got sends %v, want the endpoint other than %d", h.outstanding, first)
	}
}

func TestTimeoutGrowsWithBatchSizeAndConsecutiveTimeouts(t *testing.T) {
	h := newHarness(t, testSettings(), testDestination{kind: 1, endpoints: 1})
	h.arrive(1)
	h.finish(Delivered, 0)
	p, e := h.path(), h.path().endpoints[0]
	p.latency.Mean, p.latency.Deviation = time.Second, time.Second
	m := &message{class: &h.s.settings.Classes[1]}
	one, five := h.s.attemptTimeout(e, m, 1), h.s.attemptTimeout(e, m, 5)
	if five <= one {
		t.Errorf("got timeout %v for five messages, want more than %v for one", five, one)
	}
	p.latency.Mean, p.latency.Deviation = 10*time.Millisecond, 10*time.Millisecond
	one = h.s.attemptTimeout(e, m, 1)
	e.circuit.consecutiveTimeouts = 1
	if next := h.s.attemptTimeout(e, m, 1); next <= one {
		t.Errorf("got timeout %v after a timeout, want more than %v", next, one)
	}
	// A lost call occupies a slot until its timeout: fast endpoints get a short one.
	if want := minTimeoutLatencies * p.latency.Mean; one < want || one >= maxTimeoutFloor {
		t.Errorf("got timeout %v at 10 ms, want %v at least and less than %v", one, want, maxTimeoutFloor)
	}
	p.latency.Mean, p.latency.Deviation = 300*time.Millisecond, 10*time.Millisecond
	if one = h.s.attemptTimeout(e, m, 1); one < maxTimeoutFloor {
		t.Errorf("got timeout %v at 300 ms, want %v at least", one, maxTimeoutFloor)
	}
}

// A call that gets no answer, or breaks, while later ones are answered was lost by itself: hundreds of
// such calls must neither open the circuit nor start a recovery ramp.
func TestLostCallsDoNotOpenCircuit(t *testing.T) {
	for _, o := range []Outcome{TimedOut, Reset} {
		h := newHarness(t, testSettings(), testDestination{endpoints: 1})
		e := h.path().endpoints[0]
		for range 20 {
			h.arrive(0)
			h.now += h.s.settings.Tick
			h.arrive(0)
			if len(h.outstanding) < 2 {
				t.Fatalf("outcome %v: got %d outstanding calls, want two", o, len(h.outstanding))
			}
			h.outstanding[0], h.outstanding[1] = h.outstanding[1], h.outstanding[0]
			h.now += h.s.settings.Tick
			h.finish(Delivered, 0) // the second
			h.finish(o, 0)
			if e.circuit.open || e.circuit.suspect || e.ramp.active || e.circuit.failureScore > 0 {
				t.Fatalf("got a failure of the endpoint after outcome %v of a lost call, want none", o)
			}
			h.wait(backoffMax)
			h.finish(Delivered, 0)
		}
	}
}

// Silence, with no answer for two overload windows, is an outage though timeouts weigh little.
func TestConsecutiveTimeoutsWithoutSuccessOpenCircuit(t *testing.T) {
	h := newHarness(t, testSettings(), testDestination{endpoints: 1})
	e := h.path().endpoints[0]
	h.arrive(0)
	h.finish(Delivered, 0)
	for range 2 {
		h.now += outageWindows * h.s.settings.OverloadWindow
		h.arrive(0)
		if e.circuit.open {
			t.Fatal("got an open circuit after one timeout")
		}
		h.finish(TimedOut, 0)
	}
	if !e.circuit.open {
		t.Error("got a closed circuit after two timeouts and no answer for long")
	}
}

// While an endpoint warms up one failure is chance; after two in a row it was not back yet.
func TestWarmUpRestartsAfterTwoFailures(t *testing.T) {
	h := newHarness(t, testSettings(), testDestination{endpoints: 1})
	e := h.path().endpoints[0]
	from := h.now
	e.ramp.active, e.ramp.startedAt, e.circuit.lastSuccessAt = true, from, from
	c := &call{endpoint: e, sent: from, size: 1}
	h.now += h.s.settings.Tick
	h.step(Woken{})
	h.s.recordOutcome(c, TimedOut, 0, 0)
	if e.ramp.startedAt != from {
		t.Error("got a new warm-up after one failure")
	}
	h.s.recordOutcome(c, TimedOut, 0, 0)
	if e.ramp.startedAt == from {
		t.Error("got no new warm-up after two failures in a row")
	}
}

func TestPathIsSlowOnlyRelativeToOthers(t *testing.T) {
	l := estimate.Latency{Mean: 4 * time.Second, Baseline: time.Second}
	if !l.Slow(slowLatencyRatio) {
		t.Error("got not slow at four times its baseline while the others are at theirs")
	}
	if l.Slow(slowLatencyRatio * 3) {
		t.Error("got slow though all others are as slow")
	}
}

func TestMessagesAreShedBeforeCapacityIsFull(t *testing.T) {
	set := testSettings()
	set.MaxInFlight = 20
	h := newHarness(t, set, testDestination{endpoints: 1})
	h.path().limiter.closedUntil = h.now + time.Hour
	refused := 0
	for range 30 {
		refused += countActions[Reject](h.arrive(0))
	}
	if refused == 0 || h.s.queues.deadline.Len() >= set.MaxInFlight {
		t.Errorf("got %d rejected, %d of %d in flight; want some rejected before capacity is full", refused, h.s.queues.deadline.Len(), set.MaxInFlight)
	}
}

func TestMessageIsGivenUpBeforeItsDeadline(t *testing.T) {
	h := newHarness(t, testSettings(), testDestination{endpoints: 1})
	h.arrive(3)
	first, _ := h.s.queues.deadline.Min()
	giveUp := first.Value.giveUpAt
	h.now = giveUp - h.s.settings.Tick - 1
	if n := countActions[Fail](h.step(Woken{})); n != 0 {
		t.Error("got a failure before its time")
	}
	h.now++
	if n := countActions[Fail](h.step(Woken{})); n != 1 {
		t.Error("got no failure a tick before the deadline, with an outstanding attempt that may run")
	}
}

func TestMessageWithoutEndpointsIsGivenUp(t *testing.T) {
	h := &harness{t: t, s: New(testSettings(), 1), now: time.Hour}
	if n := len(h.arrive(0)); n != 1 {
		t.Errorf("got %d actions for a message without endpoints, want a wake", n)
	}
	h.wait(5 * time.Second)
	if h.s.queues.deadline.Len() != 0 {
		t.Error("got a message that is not given up")
	}
}

// A crash resets calls, but so may a destination that is up.
func TestResetIsProbedAtOnceAndStartsNoRamp(t *testing.T) {
	h := newHarness(t, testSettings(), testDestination{endpoints: 1})
	h.arrive(0)
	h.finish(Delivered, 0)
	h.arrive(0)
	h.finish(Reset, 0)
	h.wait(backoffBase)
	if len(h.outstanding) != 1 {
		t.Fatalf("got %d sends after the backoff, want a probe at once", len(h.outstanding))
	}
	h.finish(Delivered, 0)
	if h.path().endpoints[0].ramp.active {
		t.Error("got a recovery ramp after one reset between two answers")
	}
}

// A cached connection that breaks shows nothing about its endpoint, however many do. One reset of
// another kind is no outage, two in a row are.
func TestOnlyConsecutiveResetsOpenCircuit(t *testing.T) {
	h := newHarness(t, testSettings(), testDestination{endpoints: 1})
	e := h.path().endpoints[0]
	for range 4 {
		h.arrive(0)
		s := h.outstanding[0]
		h.outstanding = h.outstanding[1:]
		h.step(AttemptCompleted{Message: s.Message, Endpoint: s.Endpoint, Outcome: Reset, StaleConnection: true})
		if e.circuit.suspect || e.circuit.open || e.circuit.failureScore > 0 {
			t.Fatalf("got a failure after a reset of a stale connection: %+v", e)
		}
		h.wait(backoffMax)
		h.finish(Delivered, 0)
	}
	h.arrive(0)
	h.finish(Reset, 0)
	if !e.circuit.suspect || e.circuit.open {
		t.Errorf("got suspect %v, open %v after one reset, want a suspect with a closed circuit", e.circuit.suspect, e.circuit.open)
	}
	h.wait(backoffMax)
	h.finish(Reset, 0)
	if !e.circuit.open {
		t.Error("got a closed circuit after two resets in a row")
	}
}

func TestAtMostOnceMessagesAvoidSuspectEndpoints(t *testing.T) {
	h := newHarness(t, testSettings(), testDestination{endpoints: 1})
	h.path().endpoints[0].circuit.suspect = true
	h.arrive(3)
	if len(h.outstanding) != 0 {
		t.Error("got an AtMostOnce message sent to an endpoint that just failed")
	}
	h.arrive(0)
	if len(h.outstanding) != 1 {
		t.Fatal("got no send of the idempotent message")
	}
	h.finish(Delivered, 0)
	if len(h.outstanding) != 1 {
		t.Error("got an AtMostOnce message that still waits after a success")
	}
}

// The only endpoint that is back gets no more than its part of the budget, also when the others are removed.
func TestRecoveredEndpointGetsItsShareOfRampBudget(t *testing.T) {
	h := newHarness(t, testSettings(), testDestination{endpoints: 4})
	h.path().successes.Peak = 40
	e := h.path().endpoints[0]
	full := h.s.rampBudget(e, 1)
	h.step(EndpointUpdate{Entries: []Entry{{Endpoint: 2, State: Removed}, {Endpoint: 3, State: Removed}, {Endpoint: 4, State: Removed}}})
	e.ramp.active, e.ramp.startedAt, h.s.now = true, h.now-h.s.settings.WarmUp, h.now
	e.ramp.calls.Record(h.now)
	h.s.rampAllows(e)
	if got, want := e.ramp.calls.Span, time.Duration(4*float64(h.s.settings.OverloadWindow)/full); got < want-1 || got > want+1 {
		t.Errorf("got a call each %v to one of four endpoints, want %v", got, want)
	}
}

func TestTimeoutClosesIdleConnections(t *testing.T) {
	h := newHarness(t, testSettings(), testDestination{endpoints: 1})
	h.arrive(0)
	if n := countActions[CloseIdle](h.finish(TimedOut, 0)); n != 1 {
		t.Errorf("got %d CloseIdle after a timeout, want 1", n)
	}
}

// A replacement that joins during an outage would get all of the queue at once.
func TestEndpointAddedDuringOutageIsProbedFirst(t *testing.T) {
	for _, state := range []EndpointState{Ready, Draining, Removed} {
		h := newHarness(t, testSettings(), testDestination{endpoints: 1})
		e := h.path().endpoints[0]
		e.circuit.open, e.circuit.suspect, e.circuit.failureScore = true, true, 1
		h.path().nextProbeAt = h.now + time.Second
		for range 8 {
			h.arrive(1)
		}
		h.step(EndpointUpdate{Entries: []Entry{{Endpoint: 1, State: state}, {Endpoint: 9, State: Ready}}})
		h.wait(time.Second)
		if len(h.outstanding) != 1 {
			t.Errorf("state %d of the old endpoint: got %d sends to the new one, want a probe", state, len(h.outstanding))
		}
		h.outstanding = h.outstanding[len(h.outstanding):]
	}
}

func TestEndpointAddedToHealthyDestinationIsUsed(t *testing.T) {
	h := newHarness(t, testSettings(), testDestination{endpoints: 2})
	h.path().endpoints[0].circuit.open = true
	h.step(EndpointUpdate{Entries: []Entry{{Endpoint: 9, State: Ready}}})
	if h.s.activeEndpoint(9).circuit.open {
		t.Error("got an open circuit though another endpoint of the destination works")
	}
}

func TestSubscribesAgainAfterAFailure(t *testing.T) {
	set := testSettings()
	set.MustSubscribe = true
	h := &harness{t: t, s: New(set, 1), now: time.Hour}
	if n := countActions[Subscribe](h.step()); n != 1 {
		t.Fatalf("got %d subscriptions at the start, want 1", n)
	}
	if n := countActions[Subscribe](h.step(SubscriptionFailed{})); n != 0 {
		t.Error("got a subscription in the same step as the failure")
	}
	h.now += backoffMax
	if n := countActions[Subscribe](h.step(Woken{})); n != 1 {
		t.Error("got no subscription after a failure")
	}
	h.now += time.Hour
	if n := countActions[Subscribe](h.step()); n != 0 {
		t.Error("got a second subscription")
	}
}

// Where many senders share a small limit, one call a window from each keeps it exhausted.
func TestAllotmentUnderOneCallLengthensBothWindows(t *testing.T) {
	set := testSettings()
	set.Senders = 400
	h := newHarness(t, set, testDestination{endpoints: 1})
	p := h.path()
	h.s.now = h.now
	h.s.setAllotment(&p.limiter, 0.25)
	if least, most := 4*time.Second, 12*time.Second; p.limiter.narrow.Span < least || p.limiter.narrow.Span > most {
		t.Errorf("got a narrow window of %v for a quarter of a call in 2 s, want %v to %v", p.limiter.narrow.Span, least, most)
	}
	if ratio := float64(p.limiter.wide.Span) / float64(p.limiter.narrow.Span); math.Abs(ratio-6) > 1e-6 {
		t.Errorf("got windows of %v and %v, want the same ratio", p.limiter.narrow.Span, p.limiter.wide.Span)
	}
	p.limiter.narrow.Record(h.now)
	if h.s.now += p.limiter.narrow.Span - 1; h.s.allowsCall(p) {
		t.Error("got capacity before the longer window has passed")
	}
	if h.s.now++; !h.s.allowsCall(p) {
		t.Error("got no capacity after it")
	}
	h.s.recordRateLimit(p.endpoints[0], h.s.now, 0)
	if want := 0.25 * h.s.lowAllotmentCut; math.Abs(p.limiter.allotment-want) > 1e-9 {
		t.Errorf("got allotment %v after a rejection, want %v", p.limiter.allotment, want)
	}
}

// One call in each overload window from each of many senders overloads a destination that warms up.
func TestProbesOfManySendersAreSpaced(t *testing.T) {
	for _, senders := range []int{2, 400} {
		set := testSettings()
		set.Senders = senders
		h := newHarness(t, set, testDestination{endpoints: 1})
		e := h.path().endpoints[0]
		e.circuit.open, e.circuit.openedAt, e.circuit.unhealthySince, h.s.now = true, h.now-10*time.Second, h.now-10*time.Second, h.now
		least := set.OverloadWindow
		if senders > 10 {
			least = 10 * time.Second // as long as the outage has lasted
		}
		if gap := h.s.probeInterval(e); gap < least || senders == 2 && gap > 3*least {
			t.Errorf("%d senders: got probes %v apart, want %v at least", senders, gap, least)
		}
	}
}

func reportingSettings() Settings {
	set := testSettings()
	set.Senders, set.PeerMessages = 400, true
	return set
}

// Without reports, each of the other senders would learn of an outage by a failure of its own.
func TestOutageAndRecoveryAreReported(t *testing.T) {
	h := newHarness(t, reportingSettings(), testDestination{endpoints: 1})
	h.arrive(0)
	reports := h.finish(Unreachable, 0)
	if countActions[NotifyPeers](reports) != 1 {
		t.Fatalf("got %d reports of an outage, want 1", countActions[NotifyPeers](reports))
	}
	c := newHarness(t, reportingSettings(), testDestination{endpoints: 1})
	for _, a := range reports {
		if n, ok := a.(NotifyPeers); ok {
			c.step(PeerMessage{Tag: n.Tag, Event: n.Event})
		}
	}
	e := c.path().endpoints[0]
	if !e.circuit.open {
		t.Fatal("got a closed circuit after a report of an outage")
	}
	if c.arrive(0); len(c.outstanding) != 0 {
		t.Error("got a send at once after a report of an outage")
	}
	c.step(PeerMessage{Tag: TagOf(e.id), Event: PeerSlowStart})
	if e.circuit.open || !e.ramp.active {
		t.Error("got no recovery ramp after a report of a slow start")
	}
	c.step(PeerMessage{Tag: 1<<TagBits - 1, Event: PeerDown}) // an unknown endpoint
}

// If a report names an endpoint that others probe, this sender leaves probes to them for that long,
// also when it found the outage itself; an own success of late still weighs more.
func TestProbesAreLeftToReportingPeer(t *testing.T) {
	h := newHarness(t, testSettings(), testDestination{endpoints: 1})
	e := h.path().endpoints[0]
	h.arrive(0)
	h.finish(Unreachable, 0)
	had := e.path.nextProbeAt
	if h.step(PeerMessage{Endpoint: e.id, Event: PeerDown}); !e.circuit.open || e.path.nextProbeAt != had {
		t.Errorf("got the probe moved from %v to %v by a report of a known outage", had, e.path.nextProbeAt)
	}
	if h.step(PeerMessage{Endpoint: e.id, Event: PeerDown, ProbeDelay: time.Minute}); e.path.nextProbeAt != h.now+time.Minute {
		t.Errorf("got the next probe at %v, want a minute after %v", e.path.nextProbeAt, h.now)
	}
	c := newHarness(t, testSettings(), testDestination{endpoints: 1})
	e = c.path().endpoints[0]
	c.arrive(0)
	c.finish(Delivered, 0)
	if c.step(PeerMessage{Endpoint: e.id, Event: PeerDown, ProbeDelay: time.Minute}); e.circuit.open {
		t.Error("got an open circuit though the endpoint has just answered")
	}
	c.step(PeerMessage{Endpoint: e.id + 1000, Event: PeerDown, ProbeDelay: time.Minute}) // an unknown endpoint
}

// The first calls of many senders are enough to keep a limit exhausted that counts rejected calls.
func TestCongestionIsReportedOnceAndPausesThePath(t *testing.T) {
	h := newHarness(t, reportingSettings(), testDestination{endpoints: 1})
	h.arrive(1)
	if n := countActions[NotifyPeers](h.finish(RateLimited, 0)); n != 1 {
		t.Errorf("got %d reports of a rejection below one call a window, want 1", n)
	}
	p := h.path()
	if h.s.pauseForCongestion(&p.limiter) {
		t.Error("got new congestion right after a report")
	}
	first := p.limiter.congestion.Span
	h.s.now += first
	if !h.s.pauseForCongestion(&p.limiter) || p.limiter.congestion.Span != 2*first {
		t.Errorf("got a pause of up to %v after %v, want twice as long while rejections continue", p.limiter.congestion.Span, first)
	}
}

func TestMessagesWaitForBatchUnderAllotment(t *testing.T) {
	h := newHarness(t, testSettings(), testDestination{kind: 1, endpoints: 1})
	if h.arrive(1); len(h.outstanding) != 1 {
		t.Fatal("got no send without an allotment")
	}
	h.finish(Delivered, 0)
	h.s.setAllotment(&h.path().limiter, 3)
	h.wait(2 * time.Second)
	if h.arrive(1); len(h.outstanding) != 0 {
		t.Error("got a single message sent under an allotment")
	}
	if h.wait(time.Second); len(h.outstanding) != 1 {
		t.Error("got no send after its part of the soft deadline")
	}
}

// Each report arrives at hundreds of nodes, so the step that it causes must be cheap.
func TestReportsCauseNoActions(t *testing.T) {
	h := newHarness(t, reportingSettings(), testDestination{endpoints: 1})
	if actions := h.step(PeerMessage{Tag: 1, Event: PeerRateLimited}); len(actions) != 0 {
		t.Errorf("got %d actions for a report of an unknown endpoint, want 0", len(actions))
	}
}
