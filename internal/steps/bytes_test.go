package steps

import (
	"bytes"
	"errors"
	"reflect"
	"slices"
	"testing"
	"time"
	"wingmount/internal/testkit"
	"wingmount/policy"
)

// The recordings day.steps and forms.steps were written before types and fields of package policy were renamed. They are
// compared byte for byte: names in a recording are not those of the code.

// everySetting has a value that is not zero in each field.
var everySetting = policy.Settings{
	Senders: 3, Slots: 4, MaxInFlight: 40, MaxAttempts: 3, PeerMessages: true, MaxRetryAfter: 2 * time.Second, AdviseRetryAfter: true,
	MustSubscribe: true, RateAccuracy: policy.RateRough, HalvesLate: true, ConnectTimeout: 250 * time.Millisecond,
	MinTimeout: 50 * time.Millisecond, Tick: 5 * time.Millisecond, DrainGrace: time.Second, InitialCapacity: 0.25,
	WarmUp: 8 * time.Second, OverloadFactor: 2, OverloadWindow: time.Second, KeyCooldown: 300 * time.Millisecond,
	ZoneFee: []float64{0.0625, 0.125}, Kinds: []policy.Kind{{SeparateRoutes: true, MaxBatch: 3}, {MaxBatch: 1}},
	Classes: slices.Repeat([]policy.Class{{
		Repeat: policy.Deduplicated, GroupAll: true, GroupZone: true, DedupWindow: 2 * time.Second, Ordered: true,
		SoftDeadline: time.Second, Deadline: 3 * time.Second, Value: 1.5, LateValue: 0.5,
	}}, 2),
}

// everyEvent has each kind of event, with a value that is not zero in each field.
func everyEvent() []policy.Event {
	return []policy.Event{
		policy.EndpointUpdate{Complete: true, Entries: []policy.Entry{{
			Endpoint: 1, Destination: 70_000, Kind: 1, Zone: 2, State: policy.Draining, Rate: 0.5, AssignedRate: 2.5,
		}}},
		policy.SubscriptionFailed{},
		policy.Arrived{
			Message: 1, Destination: 2, Class: 1, Key: 9, GiveUpAt: 77,
			Past: policy.PriorAttempts{Attempts: 2, MayHaveRun: true, FirstRunAt: 5, FirstRunZone: 1},
		},
		policy.AttemptCompleted{
			Message: 3, Attempt: 1, Endpoint: 4, Outcome: policy.Reset, RetryAfter: 6, Final: true, StaleConnection: true, Duration: 8,
		},
		policy.Withdrawn{Message: 4},
		policy.PeerMessage{Tag: 1, Endpoint: 2, Event: policy.PeerRateLimited, ProbeDelay: 3},
		policy.HealthRestored{Endpoint: 3, CallTimes: []policy.Time{4}, Failed: true, FailedAt: 5, Recovered: true, RecoveredAt: 6},
		policy.Woken{},
	}
}

// everyAction has each kind of action, with a value that is not zero in each field.
func everyAction() []policy.Action {
	return []policy.Action{
		policy.Send{Message: 1, Endpoint: 2, Timeout: 4},
		policy.Reject{Message: 1, RetryAfter: 2},
		policy.Fail{Message: 2},
		policy.Subscribe{},
		policy.CloseIdle{Endpoint: 4},
		policy.NotifyPeers{Tag: 5, Event: policy.PeerRecovered},
		policy.Wake{At: 9},
	}
}

// hasZeroField reports whether an exported field of a value, or of what it contains, is zero in all elements.
func hasZeroField(v reflect.Value) bool {
	switch v.Kind() {
	case reflect.Struct:
		for i := range v.NumField() {
			if hasZeroField(v.Field(i)) {
				return true
			}
		}
		return false
	case reflect.Slice:
		return v.Len() == 0 || hasZeroField(v.Index(0))
	default:
		return v.IsZero()
	}
}

// Every field of the recordings is set, so that none can be lost unseen.
func TestGoldenBytesSetEveryField(t *testing.T) {
	values := []any{everySetting}
	for _, event := range everyEvent() {
		values = append(values, event)
	}
	for _, action := range everyAction() {
		values = append(values, action)
	}
	for _, value := range values {
		if hasZeroField(reflect.ValueOf(value)) {
			t.Errorf("got a zero field in %+v, want all set", value)
		}
	}
}

// recordDay returns a recording of a day.
func recordDay(t *testing.T) []byte {
	t.Helper()
	var f memoryFile
	r := newRecorder(&f, 1<<20, settings, 7, testkit.QuietLog())
	recordSteps(r, 300)
	testkit.Must(t, r.Close())
	return f.Bytes()
}

// recordForms returns a recording of one step with every event and action.
func recordForms(t *testing.T) []byte {
	t.Helper()
	var f memoryFile
	r := newRecorder(&f, 1<<20, everySetting, 7, testkit.QuietLog())
	r.Step(5, everyEvent(), everyAction())
	testkit.Must(t, r.Close())
	return f.Bytes()
}

// The bytes of recordings are those of earlier versions.
func TestGoldenBytes(t *testing.T) {
	testkit.Golden(t, "day.steps", recordDay(t))
	testkit.Golden(t, "forms.steps", recordForms(t))
}

// A recording of an earlier version is replayed with the same decisions and the same report.
func TestGoldenBytesReplay(t *testing.T) {
	report := NewReport()
	testkit.Must(t, Replay(bytes.NewReader(testkit.ReadGolden(t, "day.steps")), report.Add))
	var table bytes.Buffer
	testkit.Must(t, report.Write(&table))
	testkit.Golden(t, "day.report", table.Bytes())
	if report.Differing != 0 {
		t.Errorf("got %d steps decided otherwise, want 0", report.Differing)
	}
}

// A recording of an earlier version is read with every field as it was.
func TestGoldenBytesRead(t *testing.T) {
	seen := errors.New("seen")
	err := Replay(bytes.NewReader(testkit.ReadGolden(t, "forms.steps")), func(s Step, _ []policy.Action) error {
		if s.Now != 5 || !reflect.DeepEqual(s.Events, everyEvent()) || !reflect.DeepEqual(s.Actions, everyAction()) {
			t.Errorf("got %+v, want every event and action", s)
		}
		return seen
	})
	if !errors.Is(err, seen) {
		t.Errorf("got error %v, want the step to be read", err)
	}
}
