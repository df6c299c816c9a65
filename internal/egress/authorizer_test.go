package egress

import (
	"errors"
	"sync/atomic"
	"testing"
	"wingmount/internal/testkit"
)

// authorizer allows calls while denied is not set.
type authorizer struct{ denied atomic.Bool }

func (a *authorizer) MayCall(int) bool { return !a.denied.Load() }

// A call must not be sent if the node loses its quota before the first byte, even if that happens while the attempts
// are persisted.
func TestBeginWithoutQuotaReturnsErrNoQuota(t *testing.T) {
	for name, c := range map[string]struct {
		before, duringPersist bool // whether calls are denied before Begin, and while it persists the attempts
		want                  error
		recorded              int
	}{
		"allowed":             {false, false, nil, 1},
		"lost":                {true, false, ErrNoQuota, 0},
		"lost during persist": {false, true, ErrNoQuota, 1},
	} {
		t.Run(name, func(t *testing.T) {
			a, s := &authorizer{}, &recordingStore{}
			a.denied.Store(c.before)
			s.onRecordAttempt = func() error {
				a.denied.Store(c.duringPersist)
				return nil
			}
			r := &Recorder{Store: s, Authorizer: a, Log: testkit.QuietLog()}
			if err := r.Begin(t.Context(), newCall()); !errors.Is(err, c.want) || c.want != nil && !errors.Is(err, ErrClosed) {
				t.Errorf("got %v, want %v", err, c.want)
			}
			if len(s.attempts) != c.recorded {
				t.Errorf("got %d attempts persisted, want %d", len(s.attempts), c.recorded)
			}
		})
	}
}
