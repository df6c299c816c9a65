package policy

import (
	"testing"
	"time"
)

// restartSettings returns settings with one deduplicated class, two senders, and destinations that warm up.
func restartSettings() Settings {
	return Settings{
		Senders: 2, Slots: 8, MaxInFlight: 100, MaxAttempts: 6, Tick: 5 * time.Millisecond,
		RateAccuracy: RateRough, Kinds: []Kind{{MaxBatch: 1}},
		Classes: []Class{{
			Repeat: Deduplicated, GroupZone: true, DedupWindow: 12 * time.Second,
			SoftDeadline: 3 * time.Second, Deadline: 28 * time.Second, Value: 1, LateValue: 0.5,
		}},
		DrainGrace: time.Second, InitialCapacity: 0.21, WarmUp: 14 * time.Second, OverloadFactor: 2,
		OverloadWindow: 1500 * time.Millisecond, ConnectTimeout: time.Second,
	}
}

func filterSends(actions []Action) []Send {
	var sends []Send
	for _, a := range actions {
		if s, ok := a.(Send); ok {
			sends = append(sends, s)
		}
	}
	return sends
}

// A restart must not lose the restrictions on a message. One that may have run before the restart must only be sent to
// the zone that drops its repeats, and must fail once its dedup window has ended. One that has used all its attempts
// must be rejected.
func TestRestoredMessageKeepsZoneDedupWindowAndAttempts(t *testing.T) {
	start := time.Hour
	both := EndpointUpdate{Complete: true, Entries: []Entry{
		{Endpoint: 1, Zone: 0, State: Ready, Rate: 10}, {Endpoint: 2, Zone: 1, State: Ready, Rate: 10},
	}}
	s := New(restartSettings(), 1)
	sends := filterSends(s.Step(start, []Event{both, Arrived{
		Message: 1, GiveUpAt: start + 20*time.Second,
		Past: PriorAttempts{Attempts: 2, MayHaveRun: true, FirstRunAt: start - 2*time.Second, FirstRunZone: 1},
	}}, nil))
	if len(sends) != 1 || sends[0].Endpoint != 2 {
		t.Fatalf("got sends %v, want one to endpoint 2", sends)
	}
	s = New(restartSettings(), 1)
	actions := s.Step(start, []Event{both, Arrived{
		Message: 1, GiveUpAt: start + 20*time.Second,
		Past: PriorAttempts{Attempts: 2, MayHaveRun: true, FirstRunAt: start - 13*time.Second, FirstRunZone: 1},
	}}, nil)
	if len(actions) == 0 || actions[0] != (Fail{Message: 1}) {
		t.Errorf("got actions %v after the dedup window, want a Fail", actions)
	}
	s = New(restartSettings(), 1)
	actions = s.Step(start, []Event{both, Arrived{
		Message: 1, GiveUpAt: start + 20*time.Second,
		Past: PriorAttempts{Attempts: 6},
	}}, nil)
	if _, ok := actions[0].(Reject); !ok || len(filterSends(actions)) > 0 {
		t.Errorf("got actions %v for a message without attempts left, want a rejection and no send", actions)
	}
}

// The endpoint had failed and not recovered when the node restarted. If the restarted sender did not know this, it would
// send the full restored backlog to it at once. It must send one probe first.
func TestRestoredBacklogWaitsForAProbe(t *testing.T) {
	start := time.Hour
	events := []Event{
		EndpointUpdate{Complete: true, Entries: []Entry{{Endpoint: 1, State: Ready, Rate: 100}}},
		HealthRestored{Endpoint: 1, Failed: true, FailedAt: start - time.Second, CallTimes: []Time{start - time.Second}},
	}
	for i := range 50 {
		events = append(events, Arrived{Message: MessageID(i + 1), GiveUpAt: start + 20*time.Second})
	}
	s := New(restartSettings(), 1)
	sends, first := 0, Time(0)
	for now := start; now < start+5*time.Second; now += 5 * time.Millisecond {
		n := len(filterSends(s.Step(now, append(events, Woken{}), nil)))
		if n > 0 && first == 0 {
			first = now
		}
		sends, events = sends+n, nil
	}
	if first == 0 || first < start+time.Second {
		t.Errorf("first send came %v after the start, want at least 1s and some send", first-start)
	}
	if sends != 1 {
		t.Errorf("got %d sends without an outcome of the probe, want 1", sends)
	}
}

// Calls that the node sent before a restart still count for the destination's rate limit. If the windows did not
// contain them, the restarted sender would exceed the limit.
func TestRestoredCallsCountInWindows(t *testing.T) {
	start := time.Hour
	s := New(restartSettings(), 1)
	sent := make([]Time, 10)
	for i := range sent {
		sent[i] = start - 100*time.Millisecond
	}
	actions := s.Step(start, []Event{
		EndpointUpdate{Complete: true, Entries: []Entry{{Endpoint: 1, State: Ready, Rate: 10}}},
		HealthRestored{Endpoint: 1, CallTimes: sent},
		Arrived{Message: 1, GiveUpAt: start + 20*time.Second},
	}, nil)
	if sends := filterSends(actions); len(sends) > 0 {
		t.Errorf("got sends %v while restored calls fill the narrow window, want none", sends)
	}
}
