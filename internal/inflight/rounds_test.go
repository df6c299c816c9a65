package inflight

import (
	"testing"
	"time"
	"wingmount/decide/admission"
)

// A measurement ends exactly at its minimum interval, not 1 ns before. The utilization stays between 0 and 1.
func TestRoundLoadAtMeasurementBoundaries(t *testing.T) {
	const ms = time.Millisecond
	for _, test := range []struct {
		name      string
		startedAt time.Duration // start of the round in progress, 0 for none
		busy      time.Duration // total duration of the rounds before it
		now       time.Duration
		want      admission.EngineLoad
	}{
		{"no round", 0, 0, 250 * ms, admission.EngineLoad{}},
		{"1 ns before the end of a measurement", 100 * ms, 0, 250*ms - 1, admission.EngineLoad{Lag: 150*ms - 1}},
		{"at the end of a measurement", 100 * ms, 0, 250 * ms, admission.EngineLoad{Lag: 150 * ms, Utilization: 0.6}},
		{"completed rounds", 0, 50 * ms, 250 * ms, admission.EngineLoad{Utilization: 0.2}},
		{"completed rounds and one in progress", 200 * ms, 50 * ms, 250 * ms, admission.EngineLoad{Lag: 50 * ms, Utilization: 0.4}},
		{"rounds longer than the measurement", 0, 300 * ms, 250 * ms, admission.EngineLoad{Utilization: 1}},
		{"round that started after the time of the request", 251 * ms, 0, 250 * ms, admission.EngineLoad{}},
	} {
		t.Run(test.name, func(t *testing.T) {
			var r engineRounds
			r.startedAt.Store(int64(test.startedAt))
			r.busy.Store(int64(test.busy))
			if got := r.load(test.now); got != test.want {
				t.Errorf("got %+v, want %+v", got, test.want)
			}
		})
	}
}

// The utilization of a measurement applies until the next measurement ends. The next one counts only rounds since then.
func TestRoundLoadKeepsUtilizationUntilNextMeasurement(t *testing.T) {
	var r engineRounds
	r.busy.Store(int64(200 * time.Millisecond))
	for _, test := range []struct {
		now  time.Duration
		want float64
	}{
		{250 * time.Millisecond, 0.8},
		{500*time.Millisecond - 1, 0.8},
		{500 * time.Millisecond, 0},
	} {
		if got := r.load(test.now).Utilization; got != test.want {
			t.Errorf("at %v: got %v, want %v", test.now, got, test.want)
		}
	}
}

// If a round lasts for several measurements, each measurement counts only its own part of the round.
func TestRoundLoadSplitsLongRoundBetweenMeasurements(t *testing.T) {
	var r engineRounds
	r.startedAt.Store(int64(200 * time.Millisecond))
	for _, test := range []struct {
		now  time.Duration
		want float64
	}{
		{250 * time.Millisecond, 0.2},
		{500 * time.Millisecond, 1},
	} {
		if got := r.load(test.now).Utilization; got != test.want {
			t.Errorf("at %v: got %v, want %v", test.now, got, test.want)
		}
	}
	r.startedAt.Store(0)
	r.busy.Store(int64(350 * time.Millisecond)) // the round ended at 550 ms
	if got := r.load(750 * time.Millisecond).Utilization; got != 0.2 {
		t.Errorf("after the round: got %v, want 0.2", got)
	}
}

// A round is timed from RoundBegan to RoundEnded. The start of a round at the registry's origin must not be recorded as 0,
// which means that no round is in progress. RoundEnded without a round has no effect.
func TestRoundIsTimedFromBeganToEnded(t *testing.T) {
	r := New(Config{})
	r.origin = time.Now()
	r.RoundBegan()
	if startedAt := r.rounds.startedAt.Load(); startedAt < 1 {
		t.Errorf("start of the round: got %d ns, want 1 or more", startedAt)
	}
	r.origin = time.Now().Add(-time.Hour) // the round took an hour
	r.rounds.startedAt.Store(1)
	r.RoundEnded()
	if busy := time.Duration(r.rounds.busy.Load()); busy < time.Hour-time.Millisecond || r.rounds.startedAt.Load() != 0 {
		t.Errorf("after a round: got %v in rounds, start %d, want 1h and 0", busy, r.rounds.startedAt.Load())
	}
	r.RoundEnded() // without a round
	if busy := time.Duration(r.rounds.busy.Load()); busy > time.Hour+time.Minute {
		t.Errorf("after RoundEnded without a round: got %v in rounds, want 1h", busy)
	}
}

// A registry rejects messages once a round of the engine has lasted so long that the engine counts as stalled.
func TestReserveWithStalledEngineIsSaturated(t *testing.T) {
	r := New(Config{Admission: admission.New(admission.Settings{Weights: []float64{1}})})
	r.origin = time.Now().Add(-time.Hour)
	r.rounds.startedAt.Store(int64(time.Since(r.origin) - 400*time.Millisecond))
	r.rounds.measuredFrom, r.rounds.busyAtStart = time.Since(r.origin), 400*time.Millisecond
	wantVerdict(t, r, "a", Reserved)
	r.rounds.startedAt.Store(int64(time.Since(r.origin) - 500*time.Millisecond))
	if retry := wantVerdict(t, r, "b", Saturated); retry < 500*time.Millisecond {
		t.Errorf("retry after: got %v, want 500ms or more", retry)
	}
	r.RoundEnded()
	if got := r.Counts(); got[Reserved] != 1 || got[Saturated] != 1 {
		t.Errorf("counts: got %v, want 1 Reserved and 1 Saturated", got)
	}
}

// Rejections without an admission controller have the default retry delay.
func TestRejectWithoutControllerReturnsDefaultRetryAfter(t *testing.T) {
	r := New(Config{Max: 1})
	wantVerdict(t, r, "a", Reserved)
	if got := wantVerdict(t, r, "b", NoCapacity); got != time.Second {
		t.Errorf("without capacity: got %v, want 1s", got)
	}
	r.Close(true)
	if got := wantVerdict(t, r, "b", ShuttingDown); got != time.Second {
		t.Errorf("during shutdown: got %v, want 1s", got)
	}
}
