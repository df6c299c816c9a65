package container

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// A window counts the same times as a list, and keeps at most one time outside: the last one.
func TestWindowMatchesList(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := Window{Span: 10}
		var list []time.Duration // the times in the window
		now, last := time.Duration(100), time.Duration(-1)
		for range rapid.IntRange(1, 100).Draw(t, "steps") {
			switch rapid.IntRange(0, 4).Draw(t, "step") {
			case 0, 1:
				w.Record(now)
				list, last = append(list, now), now
			case 2:
				w.RecordOnly(now)
				list, last = []time.Duration{now}, now
			case 3:
				at := now - time.Duration(rapid.IntRange(0, 9).Draw(t, "ago"))
				w.Insert([]time.Duration{at})
				list = append(list, at)
				last = max(last, at)
			}
			now += time.Duration(rapid.IntRange(0, 4).Draw(t, "pause"))
			list = slices.DeleteFunc(list, func(at time.Duration) bool { return now-at >= w.Span })
			if n := w.Count(now); n != len(list) {
				t.Fatalf("at %d: got %d times, want %v", now, n, list)
			}
			if at, ok := w.NthLatest(1); ok != (last >= 0) || ok && at != last {
				t.Fatalf("last time: got %d, present %v, want %d", at, ok, last)
			}
			if w.Len() > len(list)+1 {
				t.Fatalf("kept times: got %d, want at most %d", w.Len(), len(list)+1)
			}
		}
	})
}
