package message

import (
	"testing"
	"time"
	"wingmount/policy"

	"pgregory.net/rapid"
)

// attempt is one attempt of the reference model, which keeps all attempts instead of a summary.
type attempt struct {
	at        time.Time
	zone      int
	completed bool
	outcome   policy.Outcome
}

// mayHaveRun reports whether any attempt may have run, and returns the time and the zone of the first one. An attempt may
// have run unless its outcome proves that it did not.
func mayHaveRun(attempts []attempt) (bool, time.Time, int) {
	for _, a := range attempts {
		if !a.completed || !ProvesNotRun(a.outcome) {
			return true, a.at, a.zone
		}
	}
	return false, time.Time{}, 0
}

// A history gives the same answers as the list of all attempts. Guards against a history that omits an attempt that may
// have run, which would allow the message to run twice.
func TestHistoryMatchesListOfAttempts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var h History
		var attempts []attempt
		at := time.UnixMicro(1_000_000)
		t.Repeat(map[string]func(*rapid.T){
			"attempt": func(t *rapid.T) {
				at = at.Add(time.Second)
				a := attempt{at: at, zone: rapid.IntRange(0, 2).Draw(t, "zone")}
				h.RecordAttempt(a.zone, a.at)
				attempts = append(attempts, a)
			},
			"outcome": func(t *rapid.T) {
				if !h.Outstanding {
					t.Skip("no attempt is outstanding")
				}
				o := policy.Outcome(rapid.IntRange(int(policy.Delivered), int(policy.NotSent)).Draw(t, "outcome"))
				h.RecordOutcome(o)
				last := &attempts[len(attempts)-1]
				last.completed, last.outcome = true, o
			},
			"interrupt": func(*rapid.T) { h.RecordInterruption() },
			"stored": func(t *rapid.T) {
				var restored History
				restored.SetFlags(h.Flags())
				if restored.CompletedMayHaveRun != h.CompletedMayHaveRun || restored.Outstanding != h.Outstanding || restored.MayHaveRun != h.MayHaveRun {
					t.Fatalf("history restored from flags: got %+v, want the flags of %+v", restored, h)
				}
			},
			"": func(t *rapid.T) {
				may, from, zone := mayHaveRun(attempts)
				if h.MayHaveRun != may || h.Attempts != len(attempts) {
					t.Fatalf("got %+v, want MayHaveRun %v with %d attempts", h, may, len(attempts))
				}
				// RanAt is never after the first attempt that may have run.
				if may && h.RanAt.After(from) {
					t.Fatalf("RanAt: got %v, want %v or earlier", h.RanAt, from)
				}
				if may && h.RanAt.Equal(from) && h.RanZone != zone {
					t.Fatalf("RanZone: got %d, want %d", h.RanZone, zone)
				}
				if h.KeyExpired(time.Second, from.Add(-time.Nanosecond+time.Second)) && h.RanAt.Equal(from) {
					t.Fatal("the key expired before the end of its window")
				}
				if may && !h.KeyExpired(time.Second, from.Add(time.Second)) {
					t.Fatal("the key has not expired at the end of its window")
				}
			},
		})
	})
}

func TestUnixMicrosRoundTrip(t *testing.T) {
	for _, at := range []time.Time{{}, time.UnixMicro(1), time.UnixMicro(1_700_000_000_123_456)} {
		if got := FromUnixMicros(UnixMicros(at)); !got.Equal(at) {
			t.Errorf("got %v, want %v", got, at)
		}
	}
}

// Stores persist the bits of Flags, so they must not change.
func TestFlagsHaveStoredBits(t *testing.T) {
	for _, test := range []struct {
		name    string
		history History
		want    int64
	}{
		{"none", History{Attempts: 2}, 0},
		{"completed", History{CompletedMayHaveRun: true}, 1},
		{"outstanding", History{Outstanding: true}, 2},
		{"may have run", History{MayHaveRun: true}, 4},
		{"all", History{CompletedMayHaveRun: true, Outstanding: true, MayHaveRun: true}, 7},
	} {
		t.Run(test.name, func(t *testing.T) {
			if got := test.history.Flags(); got != test.want {
				t.Errorf("got %d, want %d", got, test.want)
			}
		})
	}
}
