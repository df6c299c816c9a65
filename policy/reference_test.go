package policy_test

import (
	"reflect"
	"slices"
	"testing"
	"time"
	"wingmount/policy"
	"wingmount/policy/internal/reference"

	"pgregory.net/rapid"
)

// randomRun generates the events of a random run: arrivals, endpoint lists, reports, and the outcomes of sends.
type randomRun struct {
	t         *rapid.T
	set       policy.Settings
	now       policy.Time
	next      policy.MessageID
	inFlight  []policy.MessageID
	pending   []pendingAttempt // sorted by the time of completion
	wake      policy.Time
	endpoints []policy.EndpointID
	idle      []policy.Entry // of destinations that rarely get a message
	entries   map[policy.EndpointID]policy.Entry
	behavior  map[int]int // by destination, see drawOutcome
	sends     int
}

// firstIdle is the lowest number of the idle destinations and of their endpoints.
const firstIdle = 100

// pendingAttempt is an outstanding attempt with its future completion.
type pendingAttempt struct {
	at         policy.Time
	completion policy.AttemptCompleted
}

// drawSettings draws the settings of a run.
func drawSettings(t *rapid.T) policy.Settings {
	class := func(r policy.Repeat) policy.Class {
		c := policy.Class{
			Repeat: r, SoftDeadline: time.Duration(rapid.SampledFrom([]int{200, 1000, 3000}).Draw(t, "soft deadline")) * time.Millisecond,
			Value: rapid.SampledFrom([]float64{1, 1, 5, 0}).Draw(t, "value"), LateValue: rapid.SampledFrom([]float64{0, 0.5, 1}).Draw(t, "late value"),
			Ordered: rapid.IntRange(0, 5).Draw(t, "ordered") == 0,
		}
		c.Deadline = c.SoftDeadline * time.Duration(rapid.IntRange(1, 10).Draw(t, "deadline"))
		if r == policy.Deduplicated {
			c.DedupWindow = c.Deadline / time.Duration(rapid.IntRange(1, 3).Draw(t, "window"))
			c.GroupAll = rapid.Bool().Draw(t, "group all")
			c.GroupZone = !c.GroupAll && rapid.Bool().Draw(t, "group zone")
		}
		return c
	}
	s := policy.Settings{
		Senders: rapid.IntRange(1, 4).Draw(t, "senders"), Slots: rapid.SampledFrom([]int{1, 2, 3, 5, 8, 12, 40}).Draw(t, "slots"),
		MaxInFlight: rapid.SampledFrom([]int{0, 12, 40, 400}).Draw(t, "in flight"), MaxAttempts: rapid.IntRange(1, 6).Draw(t, "attempts"),
		PeerMessages: rapid.Bool().Draw(t, "peer messages"), AdviseRetryAfter: rapid.Bool().Draw(t, "advise"), MaxRetryAfter: 5 * time.Second, HalvesLate: rapid.Bool().Draw(t, "halves"),
		MustSubscribe: rapid.Bool().Draw(t, "subscribe"), RateAccuracy: policy.RateAccuracy(rapid.IntRange(0, 2).Draw(t, "rate accuracy")),
		ConnectTimeout: 250 * time.Millisecond, Tick: time.Duration(rapid.SampledFrom([]int{1, 5}).Draw(t, "tick")) * time.Millisecond,
		DrainGrace: time.Second, InitialCapacity: 0.2, WarmUp: 8 * time.Second, OverloadFactor: 2, OverloadWindow: 1500 * time.Millisecond, KeyCooldown: 300 * time.Millisecond,
		ZoneFee: []float64{0.06, 0}, Kinds: []policy.Kind{{SeparateRoutes: true, MaxBatch: rapid.IntRange(1, 5).Draw(t, "max batch")}, {MaxBatch: 1}},
		Classes: []policy.Class{class(policy.Idempotent), class(policy.Deduplicated), class(policy.AtMostOnce)},
	}
	return s
}

// drawEndpointUpdate returns the complete endpoint list, or draws changes to the endpoints of active destinations.
func (w *randomRun) drawEndpointUpdate(complete bool) policy.EndpointUpdate {
	list := policy.EndpointUpdate{Complete: complete}
	for _, id := range w.endpoints {
		e := w.entries[id]
		if !complete {
			if rapid.IntRange(0, 3).Draw(w.t, "changes") > 0 {
				continue
			}
			e.State = policy.EndpointState(rapid.IntRange(0, 2).Draw(w.t, "state"))
		}
		list.Entries = append(list.Entries, e)
	}
	if complete {
		list.Entries = append(list.Entries, w.idle...)
	}
	return list
}

// addIdle draws idle destinations in addition to the active ones, some with two endpoints.
func (w *randomRun) addIdle() {
	for i := range rapid.SampledFrom([]int{0, 3, 300}).Draw(w.t, "idle") {
		e := policy.Entry{
			Endpoint: policy.EndpointID(firstIdle + i), Destination: firstIdle + i - i%7/6, Kind: i % 2, Zone: i / 2 % 2,
			State: policy.Ready, Rate: []float64{0, 2, 100000}[i%3],
		}
		w.idle = append(w.idle, e)
		w.entries[e.Endpoint] = e
	}
}

// drawIdleEvent draws an event for an idle destination.
func (w *randomRun) drawIdleEvent() policy.Event {
	i := rapid.IntRange(0, len(w.idle)-1).Draw(w.t, "which idle")
	e := w.idle[i]
	switch rapid.IntRange(0, 4).Draw(w.t, "idle event") {
	case 0: // a new endpoint of the same destination: a replacement if the old one was removed
		w.idle[i].Endpoint += 1000
		w.entries[w.idle[i].Endpoint] = w.idle[i]
		return policy.EndpointUpdate{Entries: []policy.Entry{w.idle[i]}}
	case 1:
		e.State = policy.EndpointState(rapid.IntRange(0, 2).Draw(w.t, "idle state"))
		return policy.EndpointUpdate{Entries: []policy.Entry{e}}
	case 2:
		return policy.PeerMessage{Tag: policy.TagOf(e.Endpoint), Event: policy.PeerEvent(rapid.IntRange(0, 3).Draw(w.t, "idle peer event"))}
	case 3:
		return policy.HealthRestored{Endpoint: e.Endpoint, Failed: rapid.Bool().Draw(w.t, "idle failed"), FailedAt: w.now - time.Second, CallTimes: []policy.Time{w.now - time.Second}}
	}
	w.next++
	w.inFlight = append(w.inFlight, w.next)
	return policy.Arrived{Message: w.next, Destination: e.Destination, GiveUpAt: w.now + w.set.Classes[0].Deadline}
}

// drawOutcome draws the outcome of a send by the current behavior of its destination.
func (w *randomRun) drawOutcome(s policy.Send) pendingAttempt {
	e := w.entries[s.Endpoint]
	o := policy.AttemptCompleted{Message: s.Message, Endpoint: s.Endpoint, Outcome: policy.Delivered}
	duration := time.Duration(rapid.IntRange(1, 400).Draw(w.t, "ms")) * time.Millisecond
	switch w.behavior[e.Destination] {
	case 1:
		o.Outcome, duration = policy.RateLimited, duration/10
		if rapid.Bool().Draw(w.t, "retry after") {
			o.RetryAfter = time.Duration(rapid.IntRange(1, 3000).Draw(w.t, "wait")) * time.Millisecond
		}
	case 2:
		o.Outcome = policy.Outcome(rapid.IntRange(int(policy.Delivered), int(policy.NotSent)).Draw(w.t, "outcome"))
		o.StaleConnection, o.Final = o.Outcome == policy.Reset && rapid.Bool().Draw(w.t, "stale"), rapid.IntRange(0, 20).Draw(w.t, "final") == 0
	case 3:
		o.Outcome, duration = policy.TimedOut, s.Timeout
	case 4:
		duration = min(10*duration, s.Timeout)
	}
	o.Duration = min(duration, max(s.Timeout, 0))
	return pendingAttempt{w.now + o.Duration, o}
}

// applyActions records the outcomes of sends and the requested wake-up.
func (w *randomRun) applyActions(actions []policy.Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case policy.Send:
			w.sends++
			f := w.drawOutcome(a)
			at, _ := slices.BinarySearchFunc(w.pending, f.at, func(x pendingAttempt, at policy.Time) int { return int(x.at - at) })
			w.pending = slices.Insert(w.pending, at, f)
		case policy.Wake:
			w.wake = a.At
		}
	}
}

// drawEvents draws the events of one step.
func (w *randomRun) drawEvents() []policy.Event {
	var events []policy.Event
	if w.wake > 0 && w.wake <= w.now {
		w.wake = 0
		events = append(events, policy.Woken{})
	}
	for len(w.pending) > 0 && w.pending[0].at <= w.now {
		events = append(events, w.pending[0].completion)
		w.pending = w.pending[1:]
	}
	if len(w.idle) > 0 && rapid.IntRange(0, 9).Draw(w.t, "has idle event") == 0 {
		events = append(events, w.drawIdleEvent())
	}
	arrivals := 0
	switch rapid.IntRange(0, 9).Draw(w.t, "event kind") {
	case 0, 1, 2, 3:
		arrivals = 1
	case 4:
		arrivals = rapid.SampledFrom([]int{2, 10, 30, 120}).Draw(w.t, "many")
	case 5:
		d := rapid.IntRange(0, 2).Draw(w.t, "destination")
		w.behavior[d] = rapid.IntRange(0, 4).Draw(w.t, "behavior")
	case 6:
		switch rapid.IntRange(0, 5).Draw(w.t, "rare") {
		case 0:
			events = append(events, w.drawEndpointUpdate(false))
		case 1:
			events = append(events, w.drawEndpointUpdate(true))
		case 2:
			events = append(events, policy.SubscriptionFailed{})
		case 3:
			if len(w.inFlight) > 0 {
				events = append(events, policy.Withdrawn{Message: rapid.SampledFrom(w.inFlight).Draw(w.t, "withdrawn")})
			}
		case 4:
			tag := policy.TagOf(rapid.SampledFrom(w.endpoints).Draw(w.t, "tagged"))
			events = append(events, policy.PeerMessage{Tag: tag, Event: policy.PeerEvent(rapid.IntRange(0, 3).Draw(w.t, "peer event"))})
		case 5:
			drawPast := func(label string) policy.Time {
				return w.now - time.Duration(rapid.IntRange(0, 9000).Draw(w.t, label))*time.Millisecond
			}
			r := policy.HealthRestored{Endpoint: rapid.SampledFrom(w.endpoints).Draw(w.t, "restored endpoint"), Failed: rapid.Bool().Draw(w.t, "failed"), FailedAt: drawPast("failed at"), CallTimes: []policy.Time{drawPast("sent")}}
			if r.Failed && rapid.Bool().Draw(w.t, "recovered") {
				r.Recovered, r.RecoveredAt = true, r.FailedAt
			}
			events = append(events, r)
		}
	}
	for range arrivals {
		w.next++
		w.inFlight = append(w.inFlight, w.next)
		class := rapid.IntRange(0, len(w.set.Classes)-1).Draw(w.t, "class")
		c := w.set.Classes[class]
		a := policy.Arrived{Message: w.next, Destination: rapid.IntRange(0, 2).Draw(w.t, "message destination"), Class: class, GiveUpAt: w.now + c.Deadline}
		if rapid.IntRange(0, 8).Draw(w.t, "older") == 0 {
			a.GiveUpAt -= c.Deadline / 2
			a.Past = policy.PriorAttempts{Attempts: rapid.IntRange(0, 3).Draw(w.t, "attempts before")}
			if a.Past.Attempts > 0 {
				a.Past.MayHaveRun, a.Past.FirstRunAt, a.Past.FirstRunZone = true, w.now-c.Deadline/2, rapid.IntRange(0, 1).Draw(w.t, "first run zone")
			}
		}
		if c.Ordered {
			a.Key = uint64(rapid.IntRange(0, 3).Draw(w.t, "key"))
		}
		events = append(events, a)
	}
	return events
}

// The reference is an earlier, simpler implementation whose steps examine all state. An optimization of the current one
// must not change a decision: both must return the same actions in every step of random runs.
func TestActionsMatchReference(t *testing.T) {
	steps, sends, rejections := 0, 0, 0
	rapid.Check(t, func(t *rapid.T) {
		w := &randomRun{t: t, set: drawSettings(t), now: time.Hour, behavior: map[int]int{}, entries: map[policy.EndpointID]policy.Entry{}}
		for i := range rapid.IntRange(1, 6).Draw(t, "endpoints") {
			e := policy.Entry{
				Endpoint: policy.EndpointID(i + 1), Destination: i % 3, Kind: i % 3 % 2, Zone: i / 3 % 2, State: policy.Ready,
				Rate: rapid.SampledFrom([]float64{0, 2, 30, 100000}).Draw(t, "rate"),
			}
			w.endpoints = append(w.endpoints, e.Endpoint)
			w.entries[e.Endpoint] = e
		}
		w.addIdle()
		seed := rapid.Uint64().Draw(t, "seed")
		current, ref := policy.New(w.set, seed), reference.NewModule(w.set, seed)
		first := []policy.Event{w.drawEndpointUpdate(true)}
		for step := range rapid.IntRange(50, 250).Draw(t, "steps") {
			events := first
			if first = nil; events == nil {
				events = w.drawEvents()
			}
			a, b := current.Step(w.now, slices.Clone(events), nil), ref.Step(w.now, slices.Clone(events), nil)
			if !reflect.DeepEqual(a, b) {
				t.Fatalf("step %d at %v, events %+v: actions differ\ncurrent   %+v\nreference %+v", step, w.now, events, a, b)
			}
			steps++
			for _, x := range a {
				if _, ok := x.(policy.Reject); ok {
					rejections++
				}
			}
			w.applyActions(a)
			w.now += time.Duration(rapid.SampledFrom([]int{1, 5, 20, 100, 700}).Draw(t, "pause")) * time.Millisecond
			if rapid.IntRange(0, 60).Draw(t, "long pause") == 0 {
				w.now += 30 * time.Second // long enough to evict removed endpoints and unused destinations
			}
		}
		sends += w.sends
	})
	t.Logf("%d steps, %d sends, %d rejections", steps, sends, rejections)
	if sends == 0 || rejections == 0 {
		t.Errorf("got %d sends and %d rejections in all runs, want some of both", sends, rejections)
	}
}
