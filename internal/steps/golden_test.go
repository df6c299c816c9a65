package steps

import (
	"bytes"
	"encoding/gob"
	"errors"
	"io"
	"reflect"
	"strings"
	"testing"
	"time"
	"wingmount/internal/testkit"
	"wingmount/policy"
)

// Golden recordings: one of a step in which every field of every event and action is set, and one of a sender that was
// busy for a while.
const (
	goldenForms = "golden/forms.steps"
	goldenDay   = "golden/day.steps"
	goldenSeed  = daySeed
	goldenSteps = 80
)

// goldenSettings are settings in which every field differs from its zero value.
func goldenSettings() policy.Settings {
	return policy.Settings{
		Senders: 3, Classes: []policy.Class{{
			Repeat: policy.AtMostOnce, GroupAll: true, GroupZone: true, DedupWindow: 1, Ordered: true, SoftDeadline: 2, Deadline: 3, Value: 4.5, LateValue: 0.25,
		}},
		Kinds: []policy.Kind{{SeparateRoutes: true, MaxBatch: 6}}, MustSubscribe: true, ZoneFee: []float64{0.5, 0.75}, RateAccuracy: policy.RateRough,
		HalvesLate: true, Slots: 7, MaxInFlight: 8, MaxAttempts: 9, PeerMessages: true, MaxRetryAfter: 10, AdviseRetryAfter: true, ConnectTimeout: 11,
		MinTimeout: 12, Tick: 13, DrainGrace: 14, InitialCapacity: 0.125, WarmUp: 15, OverloadFactor: 1.5, OverloadWindow: 16, KeyCooldown: 17,
	}
}

// goldenStep is a step in which every field of every event and action differs from its zero value.
func goldenStep() Step {
	return Step{
		Now: time.Hour,
		Events: []policy.Event{
			policy.EndpointUpdate{Complete: true, Entries: []policy.Entry{{Endpoint: 1 << 63, Destination: 2, Kind: 3, Zone: 4, State: policy.Draining, Rate: 0.5, AssignedRate: -1}}},
			policy.SubscriptionFailed{},
			policy.Arrived{
				Message: 1 << 62, Destination: 2, Class: 3, Key: 1<<64 - 1, GiveUpAt: 5,
				Past: policy.PriorAttempts{Attempts: 6, MayHaveRun: true, FirstRunAt: 7, FirstRunZone: 8},
			},
			policy.AttemptCompleted{Message: 1, Attempt: 2, Endpoint: 3, Outcome: policy.NotSent, RetryAfter: 4, Final: true, StaleConnection: true, Duration: 5},
			policy.Withdrawn{Message: 6},
			policy.PeerMessage{Tag: 1<<policy.TagBits - 1, Endpoint: 7, Event: policy.PeerRateLimited, ProbeDelay: 8},
			policy.HealthRestored{Endpoint: 9, CallTimes: []policy.Time{10, 11}, Failed: true, FailedAt: 12, Recovered: true, RecoveredAt: 13},
			policy.Woken{},
		},
		Actions: []policy.Action{
			policy.Send{Message: 14, Endpoint: 15, Timeout: 16},
			policy.Reject{Message: 17, RetryAfter: 18},
			policy.Fail{Message: 19},
			policy.Subscribe{},
			policy.CloseIdle{Endpoint: 20},
			policy.NotifyPeers{Tag: 21, Event: policy.PeerSlowStart},
			policy.Wake{At: 22},
		},
	}
}

// recordGolden writes the golden recordings anew.
func recordGolden(t *testing.T) {
	t.Helper()
	var f memoryFile
	r := newRecorder(&f, 1<<20, goldenSettings(), goldenSeed, testkit.QuietLog())
	s := goldenStep()
	r.Step(s.Now, s.Events, s.Actions)
	testkit.Must(t, r.Close())
	testkit.Golden(t, goldenForms, f.Bytes())
	f.Reset()
	r = newRecorder(&f, 1<<20, settings, goldenSeed, testkit.QuietLog())
	recordSteps(r, goldenSteps)
	testkit.Must(t, r.Close())
	testkit.Golden(t, goldenDay, f.Bytes())
}

// A recording of an earlier build is read with every field as it was. The bytes are not compared: they have the
// names of Go types of that build.
func TestGoldenForms(t *testing.T) {
	if testkit.UpdatesGolden() {
		recordGolden(t)
	}
	dec := gob.NewDecoder(bytes.NewReader(testkit.ReadGolden(t, goldenForms)))
	var h header
	testkit.Must(t, dec.Decode(&h))
	if want := (header{formatVersion, settingsForm(goldenSettings()), goldenSeed}); !reflect.DeepEqual(h, want) {
		t.Errorf("got header %+v, want %+v", h, want)
	}
	if got, want := settingsOf(h.Settings), goldenSettings(); !reflect.DeepEqual(got, want) {
		t.Errorf("got settings %+v, want %+v", got, want)
	}
	var p packed
	testkit.Must(t, dec.Decode(&p))
	got, err := p.unpack()
	testkit.Must(t, err)
	if want := goldenStep(); !reflect.DeepEqual(got, want) {
		t.Errorf("got step %+v, want %+v", got, want)
	}
	if err := dec.Decode(&p); !errors.Is(err, io.EOF) {
		t.Errorf("got %v after the last step, want the end", err)
	}
}

// Every field of the golden recording is set, so that none can be lost unseen.
func TestGoldenFormsSetEveryField(t *testing.T) {
	if reflect.ValueOf(policy.Subscribe{}).NumField() != 0 {
		t.Error("got a Subscribe with a field, want none")
	}
	checkNoZeroField(t, "settings", reflect.ValueOf(goldenSettings()))
	s := goldenStep()
	for _, e := range s.Events {
		checkNoZeroField(t, reflect.TypeOf(e).Name(), reflect.ValueOf(e))
	}
	for _, a := range s.Actions {
		checkNoZeroField(t, reflect.TypeOf(a).Name(), reflect.ValueOf(a))
	}
}

// checkNoZeroField fails for each field of a value that has its zero value.
func checkNoZeroField(t *testing.T, name string, v reflect.Value) {
	t.Helper()
	switch v.Kind() {
	case reflect.Struct:
		for i := range v.NumField() {
			checkNoZeroField(t, name+"."+v.Type().Field(i).Name, v.Field(i))
		}
	case reflect.Slice:
		if v.Len() == 0 {
			t.Errorf("%s is empty", name)
		}
		for i := range v.Len() {
			checkNoZeroField(t, name, v.Index(i))
		}
	default:
		if v.IsZero() {
			t.Errorf("%s has its zero value", name)
		}
	}
}

// The replay of a recording of an earlier build decides and reports as it always did, and a recording that is made now has
// the same steps.
func TestGoldenDay(t *testing.T) {
	data := testkit.ReadGolden(t, goldenDay)
	report := NewReport()
	testkit.Must(t, Replay(bytes.NewReader(data), report.Add))
	if report.Steps != goldenSteps || report.Differing != 0 {
		t.Errorf("got %d steps of which %d differ, want %d and none: %+v, now %+v", report.Steps, report.Differing, goldenSteps, report.FirstDiffering, report.Decided)
	}
	var table strings.Builder
	testkit.Must(t, report.Write(&table))
	testkit.Golden(t, "day_report.txt", []byte(table.String()))

	var f memoryFile
	r := newRecorder(&f, 1<<20, settings, goldenSeed, testkit.QuietLog())
	recordSteps(r, goldenSteps)
	testkit.Must(t, r.Close())
	if got, want := stepsOf(t, f.Bytes()), stepsOf(t, data); !reflect.DeepEqual(got, want) {
		t.Errorf("got %d steps, want %d, or they differ", len(got), len(want))
	}
}

// stepsOf returns the steps of a recording.
func stepsOf(t *testing.T, data []byte) (all []Step) {
	t.Helper()
	testkit.Must(t, Replay(bytes.NewReader(data), func(s Step, _ []policy.Action) error {
		all = append(all, s)
		return nil
	}))
	return all
}
