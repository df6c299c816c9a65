package estimate

import (
	"testing"
	"time"
)

// The span doubles up to its limit while events repeat, and is reset exactly twice the span after the last counted event.
// An event less than half of the initial span after the last counted event is ignored.
func TestBackoffDoublesUntilEventsStop(t *testing.T) {
	const initial, limit = 2 * time.Second, 12 * time.Second
	var b Backoff
	now := time.Duration(0)
	for _, step := range []struct {
		after  time.Duration // since the previous event
		counts bool
		span   time.Duration
	}{
		{0, true, initial},
		{initial/2 - 1, false, initial},
		{1, true, 2 * initial},
		{initial / 2, true, 4 * initial},
		{initial, true, limit},
		{2*limit - 1, true, limit},
		{2 * limit, true, initial},
	} {
		now += step.after
		if counts := b.Observe(now, initial, limit); counts != step.counts || b.Span != step.span {
			t.Errorf("at %v: got counted %v, span %v, want %v, %v", now, counts, b.Span, step.counts, step.span)
		}
	}
}
