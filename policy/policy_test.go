package policy

import (
	"math"
	"testing"
	"time"
	"wingmount/internal/container"
	"wingmount/internal/estimate"
)

// harness drives one sender step by step. The test completes its attempts.
type harness struct {
	t           *testing.T
	s           *Sender
	now         Time
	id          MessageID
	outstanding []Send // attempts that are not completed, oldest first
}

// testDestination describes destination 0 of a harness. Its endpoints 1, 2, ... are alternately in zones 0 and 1.
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

// step passes events to the sender, and records its sends.
func (h *harness) step(events ...Event) []Action {
	actions := h.s.Step(h.now, events, nil)
	for _, a := range actions {
		if s, ok := a.(Send); ok {
			h.outstanding = append(h.outstanding, s)
		}
	}
	return actions
}

// arrive passes a new message of a class to the sender.
func (h *harness) arrive(class int) []Action {
	h.id++
	return h.step(Arrived{Message: h.id, Class: class, GiveUpAt: h.now + h.s.settings.Classes[class].Deadline})
}

// complete completes the oldest outstanding attempt.
func (h *harness) complete(o Outcome, retryAfter time.Duration) []Action {
	h.t.Helper()
	if len(h.outstanding) == 0 {
		h.t.Fatal("got no outstanding attempt to complete")
	}
	s := h.outstanding[0]
	h.outstanding = h.outstanding[1:]
	return h.step(AttemptCompleted{
		Message: s.Message, Endpoint: s.Endpoint, Outcome: o, RetryAfter: retryAfter,
		Final: o == Delivered, Duration: 100 * time.Millisecond,
	})
}

// wait advances the time and wakes the sender.
func (h *harness) wait(d time.Duration) { h.now += d; h.step(Woken{}) }

func (h *harness) path() *path { return h.s.activeDestination(0).paths[0] }

// countActions returns the number of actions of a type.
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
		t.Errorf("got %d calls just before a window has passed, want 1", n)
	}
	if n := l.Count(12 * time.Second); n != 0 {
		t.Errorf("got %d calls exactly a window later, want 0", n)
	}
}

func TestAllotmentStartsFromAdvertisedRate(t *testing.T) {
	set := testSettings()
	set.RateAccuracy, set.Senders = RateExact, 4
	if got := newHarness(t, set, testDestination{endpoints: 1, rate: 12}).path().limiter.allotment; got != 6 {
		t.Errorf("got allotment %v for 12 calls a second shared by 4 senders, want 6 in 2 s", got)
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
		t.Error("got a call allowed while the narrow window contains the allotment, want none")
	}
	h.s.now++
	if !h.s.allowsCall(p) {
		t.Error("got no call allowed once the oldest calls are a window old, want one")
	}
	for range 18 {
		p.limiter.wide.Record(h.s.now)
	}
	if h.s.allowsCall(p) {
		t.Error("got a call allowed while the wide window contains six allotments, want none")
	}
}

func TestBatchCountsOnceInBothWindows(t *testing.T) {
	h := newHarness(t, testSettings(), testDestination{kind: 1, endpoints: 1})
	p := h.path()
	p.limiter.blockedUntil = h.now + 1
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
		h.complete(Delivered, 0)
	}
	h.arrive(1)
	h.complete(RateLimited, 0)
	if p.limiter.allotment != 4 {
		t.Fatalf("got allotment %v after the first rejection, want the narrow count 4", p.limiter.allotment)
	}
	h.wait(3 * time.Second)
	h.complete(RateLimited, 0)
	if want := 4 * allotmentPerRepeatedRejection; math.Abs(p.limiter.allotment-want) > 1e-9 {
		t.Errorf("got allotment %v after a rejection right after another, want %v", p.limiter.allotment, want)
	}
	p.limiter.allotment, p.limiter.allotmentBeforeRejections = 1/float64(h.s.settings.Senders), 0
	// The wide window still counts the calls that the larger allotment allowed.
	p.limiter.wide = container.Window{Span: p.limiter.wide.Span}
	h.wait(4 * time.Second)
	h.complete(RateLimited, 0)
	if p.limiter.allotment < 1/float64(h.s.settings.Senders) {
		t.Errorf("got allotment %v, want at least one call for all senders together", p.limiter.allotment)
	}
}

func TestSuccessGrowsExhaustedAllotmentOnly(t *testing.T) {
	h := newHarness(t, testSettings(), testDestination{endpoints: 1})
	p := h.path()
	p.limiter.allotment = 5
	h.arrive(0)
	h.complete(Delivered, 0)
	if p.limiter.allotment != 5 {
		t.Errorf("got allotment %v after a success that did not exhaust it, want 5 as before", p.limiter.allotment)
	}
	p.limiter.allotment = 1
	h.wait(3 * time.Second)
	h.arrive(0)
	h.complete(Delivered, 0)
	if math.Abs(p.limiter.allotment-1-maxAllotmentGrowth) > 1e-9 {
		t.Errorf("got allotment %v after a success that exhausted it, want %v", p.limiter.allotment, 1+maxAllotmentGrowth)
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
	h.complete(RateLimited, time.Second)
	h.arrive(0)
	h.wait(time.Second - 1)
	if len(h.outstanding) != 0 {
		t.Fatal("got a send before Retry-After has passed, want none")
	}
	h.wait(narrowWindow)
	if len(h.outstanding) == 0 {
		t.Error("got no send after Retry-After has passed, want one")
	}
}

// The messages of a batch complete separately: one may time out before the outcome of another contains a Retry-After.
// The health of the endpoint counts only the first outcome, but the Retry-After must still pause the path.
func TestRetryAfterOfLaterBatchOutcomeApplies(t *testing.T) {
	h := newHarness(t, testSettings(), testDestination{kind: 1, endpoints: 1})
	h.path().limiter.blockedUntil = h.now + 1
	h.arrive(1)
	h.arrive(1)
	h.wait(time.Millisecond)
	h.complete(TimedOut, 0)
	h.complete(RateLimited, 3*time.Second)
	if until := h.path().limiter.blockedUntil; until < h.now+3*time.Second {
		t.Errorf("got a path blocked until %v, want at least 3 s after %v", until, h.now)
	}
}

func TestRetryAfterOfSeparateRouteLeavesOtherRouteOpen(t *testing.T) {
	h := newHarness(t, testSettings(), testDestination{kind: 2, endpoints: 2})
	h.arrive(0)
	first := h.outstanding[0].Endpoint
	h.complete(RateLimited, 2*time.Second)
	if len(h.outstanding) != 1 || h.outstanding[0].Endpoint == first {
		t.Errorf("got sends %v after Retry-After of route %d, want the other route", h.outstanding, first)
	}
}

func TestFeeIsPaidOnlyIfWaitingCostsMore(t *testing.T) {
	// Endpoint 1 has a fee and endpoint 2 has none.
	h := newHarness(t, testSettings(), testDestination{kind: 2, endpoints: 2})
	h.arrive(1)
	if h.outstanding[0].Endpoint != 2 {
		t.Fatalf("got endpoint %d, want the route without a fee", h.outstanding[0].Endpoint)
	}
	h.s.activeDestination(0).paths[1].limiter.blockedUntil = h.now + 100*time.Millisecond
	h.arrive(1)
	if len(h.outstanding) != 1 {
		t.Error("got a send with a fee that saves only a short wait within the soft deadline, want none")
	}
	h.s.activeDestination(0).paths[1].limiter.blockedUntil = h.now + 10*time.Second
	h.wait(time.Millisecond)
	if len(h.outstanding) != 2 || h.outstanding[1].Endpoint != 1 {
		t.Errorf("got sends %v, want one on the route with a fee because waiting costs more", h.outstanding)
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

// The rate limit counts only the starts of calls, so without a further limit a destination whose calls hang would
// occupy all slots. It may use half of them.
func TestHangingDestinationLeavesSlotsForOthers(t *testing.T) {
	h := newHarness(t, testSettings(), testDestination{endpoints: 1})
	for range 20 {
		h.arrive(1)
	}
	if n := len(h.outstanding); n != 3 {
		t.Errorf("got %d of 6 slots used by one destination, want 3", n)
	}
	h.wait(4 * time.Second)
	if !h.s.isStalled(h.path().endpoints[0]) {
		t.Error("got an endpoint that is not stalled after 4 s without a response, want it stalled")
	}
}

// Many endpoints may hang at the same time. Calls to suspect endpoints must not occupy the slots that healthy endpoints
// need.
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
			h.complete(Unreachable, 0)
		}
		h.wait(50 * time.Millisecond)
	}
	for len(h.outstanding) > 0 {
		h.complete(Unreachable, 0)
	}
	sends := 0
	for range 100 { // 10 s
		h.wait(100 * time.Millisecond)
		sends += len(h.outstanding)
		if len(h.outstanding) > 1 {
			t.Fatalf("got %d probes at once, want 1", len(h.outstanding))
		}
		for len(h.outstanding) > 0 {
			h.complete(Unreachable, 0)
		}
		h.arrive(0)
	}
	if most := int(10 * time.Second / h.s.settings.OverloadWindow); sends > most || sends == 0 {
		t.Errorf("got %d probes in 10 s, want 1 to %d", sends, most)
	}
}

// During an outage a backlog accumulates. Sent at once, it would overload the destination, which is still warming up
// after its recovery. The recovery ramp must keep this sender below the overload threshold.
func TestRecoveryRampStaysWithinBudget(t *testing.T) {
	h := newHarness(t, testSettings(), testDestination{endpoints: 1})
	p, e := h.path(), h.path().endpoints[0]
	p.successes.Peak = 24 // accepted calls of this sender in its best narrow window before the outage
	e.circuit.open, e.circuit.errorSinceSuccess, e.circuit.openedAt, e.circuit.unhealthySince = true, true, h.now-10*time.Second, h.now-10*time.Second
	e.circuit.failureScore = 1
	for range 30 {
		h.arrive(1)
	}
	h.complete(Delivered, 0) // the probe
	if !e.ramp.active {
		t.Fatal("got no recovery ramp after a successful probe, want one")
	}
	start, set := h.now, h.s.settings
	sent := []Time{start}
	for h.now < start+2*set.OverloadWindow {
		for len(h.outstanding) > 0 {
			sent = append(sent, h.now)
			h.complete(Delivered, 0)
		}
		n := 0
		for _, at := range sent {
			if h.now-at < set.OverloadWindow {
				n++
			}
		}
		threshold := set.OverloadFactor * h.s.warmUpFactor(start) * float64(p.successes.Peak) / narrowWindow.Seconds() * set.OverloadWindow.Seconds()
		if float64(n) > threshold {
			t.Fatalf("%v after the recovery: got %d calls in an overload window, want %.1f at most from this sender",
				h.now-start, n, threshold)
		}
		h.wait(20 * time.Millisecond)
	}
	if len(sent) < 6 {
		t.Errorf("got %d calls in two overload windows, want 6 at least", len(sent))
	}
	h.s.now = start + set.WarmUp
	if w := h.s.warmUpFactor(start); w != 1 {
		t.Errorf("got warm-up factor %v after the warm-up time, want 1", w)
	}
}

// A few lost calls may open a circuit although there was no outage. A recovery ramp would then limit a healthy
// endpoint. A success must start a ramp only after errors, or after a long time without a success.
func TestRecoveryRampStartsOnlyAfterOutage(t *testing.T) {
	for _, c := range []struct {
		name              string
		errorSinceSuccess bool
		sinceLastSuccess  time.Duration
		rampActive        bool
	}{
		{"a few lost calls", false, time.Second, false},
		{"no success for long", false, 10 * time.Second, true},
		{"errors", true, time.Second, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			h := newHarness(t, testSettings(), testDestination{endpoints: 1})
			e := h.path().endpoints[0]
			e.circuit.open, e.circuit.errorSinceSuccess, e.circuit.lastSuccessAt = true, c.errorSinceSuccess, h.now-c.sinceLastSuccess
			h.s.recordSuccess(e, 100*time.Millisecond)
			if e.ramp.active != c.rampActive {
				t.Errorf("got ramp active %v, want %v", e.ramp.active, c.rampActive)
			}
		})
	}
}

func TestLongRetryAfterOpensCircuitAndKeepsAllotment(t *testing.T) {
	h := newHarness(t, testSettings(), testDestination{endpoints: 1})
	h.path().limiter.allotment = 5
	h.arrive(0)
	h.complete(RateLimited, 4*time.Second)
	if e := h.path().endpoints[0]; !e.circuit.open {
		t.Error("got a closed circuit after a Retry-After longer than a window, want it open")
	}
	if h.path().limiter.allotment != 5 {
		t.Errorf("got allotment %v after a long Retry-After, want 5 as before", h.path().limiter.allotment)
	}
}

// One endpoint of a destination is in an outage while another is healthy. The calls to the healthy one must not delay
// probes of the other, which would otherwise never be used again.
func TestPartialOutageIsProbed(t *testing.T) {
	h := newHarness(t, testSettings(), testDestination{endpoints: 2})
	e := h.path().endpoints[0]
	e.circuit.open, e.circuit.failureScore = true, 1
	h.path().nextProbeAt = h.now + h.s.settings.OverloadWindow
	probed := false
	for range 40 {
		h.arrive(0)
		for len(h.outstanding) > 0 {
			probed = probed || h.outstanding[0].Endpoint == e.id
			h.complete(Delivered, 0)
		}
		h.wait(100 * time.Millisecond)
	}
	if !probed {
		t.Error("got no probe in 4 s while the other endpoint is healthy, want one")
	}
}

func TestRetryAvoidsFailedEndpoint(t *testing.T) {
	h := newHarness(t, testSettings(), testDestination{endpoints: 2})
	h.arrive(0)
	first := h.outstanding[0].Endpoint
	h.complete(Failed, 0)
	h.wait(backoffBase)
	if len(h.outstanding) != 1 || h.outstanding[0].Endpoint == first {
		t.Errorf("got sends %v, want one to an endpoint other than %d", h.outstanding, first)
	}
}

func TestTimeoutGrowsWithBatchSizeAndConsecutiveTimeouts(t *testing.T) {
	h := newHarness(t, testSettings(), testDestination{kind: 1, endpoints: 1})
	h.arrive(1)
	h.complete(Delivered, 0)
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
	// A lost call occupies a slot until its timeout, so fast endpoints get a short timeout.
	if want := minTimeoutLatencies * p.latency.Mean; one < want || one >= maxTimeoutFloor {
		t.Errorf("got timeout %v at a latency of 10 ms, want %v at least and less than %v", one, want, maxTimeoutFloor)
	}
	p.latency.Mean, p.latency.Deviation = 300*time.Millisecond, 10*time.Millisecond
	if one = h.s.attemptTimeout(e, m, 1); one < maxTimeoutFloor {
		t.Errorf("got timeout %v at a latency of 300 ms, want %v at least", one, maxTimeoutFloor)
	}
}

// A call that times out or is reset although a later call succeeded was lost on its own. Even many such calls must
// neither count as failures of the endpoint, nor open its circuit, nor start a recovery ramp.
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
			h.complete(Delivered, 0) // the second call
			h.complete(o, 0)
			if e.circuit.open || e.circuit.suspect || e.ramp.active || e.circuit.failureScore > 0 {
				t.Fatalf("got a failure recorded for the endpoint after outcome %v of a lost call, want none", o)
			}
			h.wait(backoffMax)
			h.complete(Delivered, 0)
		}
	}
}

// Timeouts have little weight in the failure score, because single calls get lost. An endpoint that does not respond at
// all must still be detected: two timeouts without a success for two overload windows open its circuit.
func TestConsecutiveTimeoutsWithoutSuccessOpenCircuit(t *testing.T) {
	h := newHarness(t, testSettings(), testDestination{endpoints: 1})
	e := h.path().endpoints[0]
	h.arrive(0)
	h.complete(Delivered, 0)
	for range 2 {
		h.now += outageWindows * h.s.settings.OverloadWindow
		h.arrive(0)
		if e.circuit.open {
			t.Fatal("got an open circuit after at most one timeout, want it closed")
		}
		h.complete(TimedOut, 0)
	}
	if !e.circuit.open {
		t.Error("got a closed circuit after two timeouts without a recent success, want it open")
	}
}

// While an endpoint warms up, a single failure may be a lost call. Two failures in a row mean that the endpoint has
// not recovered: the warm-up must restart, or its ramp would allow too many calls.
func TestWarmUpRestartsAfterTwoFailures(t *testing.T) {
	h := newHarness(t, testSettings(), testDestination{endpoints: 1})
	e := h.path().endpoints[0]
	from := h.now
	e.ramp.active, e.ramp.startedAt, e.circuit.lastSuccessAt = true, from, from
	c := &call{endpoint: e, sentAt: from, size: 1}
	h.now += h.s.settings.Tick
	h.step(Woken{})
	h.s.recordOutcome(c, TimedOut, 0, 0)
	if e.ramp.startedAt != from {
		t.Error("got a restarted warm-up after one failure, want the former one")
	}
	h.s.recordOutcome(c, TimedOut, 0, 0)
	if e.ramp.startedAt == from {
		t.Error("got the former warm-up after two failures in a row, want it restarted")
	}
}

func TestPathIsSlowOnlyRelativeToOthers(t *testing.T) {
	l := estimate.Latency{Mean: 4 * time.Second, Baseline: time.Second}
	if !l.Slow(slowLatencyRatio) {
		t.Error("got not slow at four times the baseline while other paths are at theirs, want slow")
	}
	if l.Slow(slowLatencyRatio * 3) {
		t.Error("got slow at four times the baseline while other paths are at three times theirs, want not slow")
	}
}

func TestMessagesAreShedBeforeCapacityIsFull(t *testing.T) {
	set := testSettings()
	set.MaxInFlight = 20
	h := newHarness(t, set, testDestination{endpoints: 1})
	h.path().limiter.blockedUntil = h.now + time.Hour
	rejected := 0
	for range 30 {
		rejected += countActions[Reject](h.arrive(0))
	}
	if rejected == 0 || h.s.queues.deadline.Len() >= set.MaxInFlight {
		t.Errorf("got %d messages rejected and %d of %d in flight, want some rejected before the capacity is full", rejected, h.s.queues.deadline.Len(), set.MaxInFlight)
	}
}

func TestMessageIsGivenUpBeforeItsDeadline(t *testing.T) {
	h := newHarness(t, testSettings(), testDestination{endpoints: 1})
	h.arrive(3)
	first, _ := h.s.queues.deadline.Min()
	giveUp := first.Value.giveUpAt
	h.now = giveUp - h.s.settings.Tick - 1
	if n := countActions[Fail](h.step(Woken{})); n != 0 {
		t.Errorf("got %d messages failed earlier than a tick before giveUpAt, want 0", n)
	}
	h.now++
	if n := countActions[Fail](h.step(Woken{})); n != 1 {
		t.Errorf("got %d messages failed a tick before giveUpAt with an outstanding attempt, want 1", n)
	}
}

func TestMessageWithoutEndpointsIsGivenUp(t *testing.T) {
	h := &harness{t: t, s: New(testSettings(), 1), now: time.Hour}
	if n := len(h.arrive(0)); n != 1 {
		t.Errorf("got %d actions for a message without endpoints, want 1 (a wake-up)", n)
	}
	h.wait(5 * time.Second)
	if h.s.queues.deadline.Len() != 0 {
		t.Error("got a message without endpoints unfinished after its deadline, want it given up")
	}
}

// A reset may come from a crash, but also from a destination that is up. The endpoint must be probed as soon as the
// backoff is over, and a success must not start a recovery ramp.
func TestResetIsProbedAtOnceAndStartsNoRamp(t *testing.T) {
	h := newHarness(t, testSettings(), testDestination{endpoints: 1})
	h.arrive(0)
	h.complete(Delivered, 0)
	h.arrive(0)
	h.complete(Reset, 0)
	h.wait(backoffBase)
	if len(h.outstanding) != 1 {
		t.Fatalf("got %d sends after the backoff, want a probe at once", len(h.outstanding))
	}
	h.complete(Delivered, 0)
	if h.path().endpoints[0].ramp.active {
		t.Error("got a recovery ramp after one reset between two successes, want none")
	}
}

// A partner may close cached connections at any time, so resets of stale connections give no information about the
// endpoint, however many there are. A single other reset must not open the circuit, two in a row must.
func TestOnlyConsecutiveResetsOpenCircuit(t *testing.T) {
	h := newHarness(t, testSettings(), testDestination{endpoints: 1})
	e := h.path().endpoints[0]
	for range 4 {
		h.arrive(0)
		s := h.outstanding[0]
		h.outstanding = h.outstanding[1:]
		h.step(AttemptCompleted{Message: s.Message, Endpoint: s.Endpoint, Outcome: Reset, StaleConnection: true})
		if e.circuit.suspect || e.circuit.open || e.circuit.failureScore > 0 {
			t.Fatalf("got a failure recorded after a reset of a stale connection, want none: %+v", e)
		}
		h.wait(backoffMax)
		h.complete(Delivered, 0)
	}
	h.arrive(0)
	h.complete(Reset, 0)
	if !e.circuit.suspect || e.circuit.open {
		t.Errorf("got suspect %v, open %v after one reset, want a suspect with a closed circuit", e.circuit.suspect, e.circuit.open)
	}
	h.wait(backoffMax)
	h.complete(Reset, 0)
	if !e.circuit.open {
		t.Error("got a closed circuit after two resets in a row, want it open")
	}
}

func TestAtMostOnceMessagesAvoidSuspectEndpoints(t *testing.T) {
	h := newHarness(t, testSettings(), testDestination{endpoints: 1})
	h.path().endpoints[0].circuit.suspect = true
	h.arrive(3)
	if len(h.outstanding) != 0 {
		t.Error("got an AtMostOnce message sent to a suspect endpoint, want it to wait")
	}
	h.arrive(0)
	if len(h.outstanding) != 1 {
		t.Fatal("got no send of the idempotent message to a suspect endpoint, want one")
	}
	h.complete(Delivered, 0)
	if len(h.outstanding) != 1 {
		t.Error("got an AtMostOnce message that still waits after a success, want it sent")
	}
}

// After an outage a single endpoint may have recovered. If it got the full ramp budget of the path it would be
// overloaded. It must get only its share, even after the other endpoints have been removed.
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
		t.Errorf("got %v between two calls to one of four endpoints, want %v", got, want)
	}
}

func TestTimeoutClosesIdleConnections(t *testing.T) {
	h := newHarness(t, testSettings(), testDestination{endpoints: 1})
	h.arrive(0)
	if n := countActions[CloseIdle](h.complete(TimedOut, 0)); n != 1 {
		t.Errorf("got %d CloseIdle actions after a timeout, want 1", n)
	}
}

// An endpoint that is added during an outage may be a replacement that is still warming up. If its circuit were closed, it
// would get the full queue at once. It must be probed first.
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
			t.Errorf("old endpoint in state %d: got %d sends to the new one, want 1 (a probe)", state, len(h.outstanding))
		}
		h.outstanding = h.outstanding[len(h.outstanding):]
	}
}

func TestEndpointAddedToHealthyDestinationIsUsed(t *testing.T) {
	h := newHarness(t, testSettings(), testDestination{endpoints: 2})
	h.path().endpoints[0].circuit.open = true
	h.step(EndpointUpdate{Entries: []Entry{{Endpoint: 9, State: Ready}}})
	if h.s.activeEndpoint(9).circuit.open {
		t.Error("got an open circuit of a new endpoint while another one is healthy, want it closed")
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
		t.Error("got a subscription in the same step as the failure, want none before the backoff")
	}
	h.now += backoffMax
	if n := countActions[Subscribe](h.step(Woken{})); n != 1 {
		t.Errorf("got %d subscriptions after the backoff, want 1", n)
	}
	h.now += time.Hour
	if n := countActions[Subscribe](h.step()); n != 0 {
		t.Errorf("got %d further subscriptions while one is active, want 0", n)
	}
}

// If many senders share a small limit, one call per window from each sender keeps the limit exhausted. An allotment
// below one call must therefore lengthen both windows.
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
		t.Errorf("got windows of %v and %v, want the ratio 6", p.limiter.narrow.Span, p.limiter.wide.Span)
	}
	p.limiter.narrow.Record(h.now)
	if h.s.now += p.limiter.narrow.Span - 1; h.s.allowsCall(p) {
		t.Error("got a call allowed before the longer window has passed, want none")
	}
	if h.s.now++; !h.s.allowsCall(p) {
		t.Error("got no call allowed after the longer window has passed, want one")
	}
	h.s.recordRateLimit(p.endpoints[0], h.s.now, 0)
	if want := 0.25 * h.s.lowAllotmentCut; math.Abs(p.limiter.allotment-want) > 1e-9 {
		t.Errorf("got allotment %v after a rejection, want %v", p.limiter.allotment, want)
	}
}

// One probe per overload window from each of many senders overloads a destination that warms up. Probes must be spaced
// further apart the more senders there are.
func TestProbesOfManySendersAreSpaced(t *testing.T) {
	for _, senders := range []int{2, 400} {
		set := testSettings()
		set.Senders = senders
		h := newHarness(t, set, testDestination{endpoints: 1})
		e := h.path().endpoints[0]
		e.circuit.open, e.circuit.openedAt, e.circuit.unhealthySince, h.s.now = true, h.now-10*time.Second, h.now-10*time.Second, h.now
		least := set.OverloadWindow
		if senders > 10 {
			least = 10 * time.Second // the time that the outage has lasted
		}
		if gap := h.s.probeInterval(e); gap < least || senders == 2 && gap > 3*least {
			t.Errorf("%d senders: got a probe interval of %v, want %v at least, and 3 times that at most for 2 senders", senders, gap, least)
		}
	}
}

// reportingSettings returns settings with 400 senders that report to each other.
func reportingSettings() Settings {
	set := testSettings()
	set.Senders, set.PeerMessages = 400, true
	return set
}

// Without reports each of hundreds of senders would detect an outage by a failed call of its own, and would send its
// backlog at full rate after the recovery.
func TestOutageAndRecoveryAreReported(t *testing.T) {
	h := newHarness(t, reportingSettings(), testDestination{endpoints: 1})
	h.arrive(0)
	reports := h.complete(Unreachable, 0)
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
		t.Error("got a send immediately after a report of an outage, want none")
	}
	c.step(PeerMessage{Tag: TagOf(e.id), Event: PeerSlowStart})
	if e.circuit.open || !e.ramp.active {
		t.Errorf("got circuit open %v and ramp active %v after a report of a slow start, want false and true", e.circuit.open, e.ramp.active)
	}
	c.step(PeerMessage{Tag: 1<<TagBits - 1, Event: PeerDown}) // an unknown endpoint
}

// A report with a ProbeDelay means that other senders probe the endpoint. If this sender probed it too, all senders
// together would send too many probes. It must wait for the delay even if it detected the outage itself. A recent
// success of its own must outweigh such a report.
func TestProbesAreLeftToReportingPeer(t *testing.T) {
	h := newHarness(t, testSettings(), testDestination{endpoints: 1})
	e := h.path().endpoints[0]
	h.arrive(0)
	h.complete(Unreachable, 0)
	nextProbeAt := e.path.nextProbeAt
	if h.step(PeerMessage{Endpoint: e.id, Event: PeerDown}); !e.circuit.open || e.path.nextProbeAt != nextProbeAt {
		t.Errorf("got circuit open %v and the probe moved from %v to %v by a report of a known outage, want an open circuit and no change", e.circuit.open, nextProbeAt, e.path.nextProbeAt)
	}
	if h.step(PeerMessage{Endpoint: e.id, Event: PeerDown, ProbeDelay: time.Minute}); e.path.nextProbeAt != h.now+time.Minute {
		t.Errorf("got the next probe at %v, want it 1 minute after %v", e.path.nextProbeAt, h.now)
	}
	c := newHarness(t, testSettings(), testDestination{endpoints: 1})
	e = c.path().endpoints[0]
	c.arrive(0)
	c.complete(Delivered, 0)
	if c.step(PeerMessage{Endpoint: e.id, Event: PeerDown, ProbeDelay: time.Minute}); e.circuit.open {
		t.Error("got an open circuit by a report right after a success, want it closed")
	}
	c.step(PeerMessage{Endpoint: e.id + 1000, Event: PeerDown, ProbeDelay: time.Minute}) // an unknown endpoint
}

// If a limit counts rejected calls, the first calls of many senders are enough to keep it exhausted. A rejection must
// therefore be reported once and pause the path, for longer while rejections continue.
func TestCongestionIsReportedOnceAndPausesThePath(t *testing.T) {
	h := newHarness(t, reportingSettings(), testDestination{endpoints: 1})
	h.arrive(1)
	if n := countActions[NotifyPeers](h.complete(RateLimited, 0)); n != 1 {
		t.Errorf("got %d reports of a rejection below one call a window, want 1", n)
	}
	p := h.path()
	if h.s.pauseForCongestion(&p.limiter) {
		t.Error("got a new observation of congestion right after the first, want none")
	}
	first := p.limiter.congestion.Span
	h.s.now += first
	if !h.s.pauseForCongestion(&p.limiter) || p.limiter.congestion.Span != 2*first {
		t.Errorf("got a maximum pause of %v after one of %v while rejections continue, want it doubled", p.limiter.congestion.Span, first)
	}
}

func TestMessagesWaitForBatchUnderAllotment(t *testing.T) {
	h := newHarness(t, testSettings(), testDestination{kind: 1, endpoints: 1})
	if h.arrive(1); len(h.outstanding) != 1 {
		t.Fatal("got no immediate send of a single message without a limit, want one")
	}
	h.complete(Delivered, 0)
	h.s.setAllotment(&h.path().limiter, 3)
	h.wait(2 * time.Second)
	if h.arrive(1); len(h.outstanding) != 0 {
		t.Error("got a single message sent at once under an allotment, want it to wait for others")
	}
	if h.wait(time.Second); len(h.outstanding) != 1 {
		t.Error("got no send after the maximum wait for a batch, want one")
	}
}

// Each report arrives at hundreds of nodes, so a step with only a report must be cheap and return no actions.
func TestReportsCauseNoActions(t *testing.T) {
	h := newHarness(t, reportingSettings(), testDestination{endpoints: 1})
	if actions := h.step(PeerMessage{Tag: 1, Event: PeerRateLimited}); len(actions) != 0 {
		t.Errorf("got %d actions for a report of an unknown endpoint, want 0", len(actions))
	}
}
