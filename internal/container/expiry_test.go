package container

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// An expiry removes the same values at each time as a map that is searched completely, and keeps no memory for removed
// values. The callback may set the expired value again.
func TestExpiryMatchesMap(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var expiry Expiry[int]
		want := map[int]time.Duration{}
		now := time.Duration(0)
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			value := rapid.IntRange(0, 9).Draw(t, "value")
			switch rapid.IntRange(0, 2).Draw(t, "step") {
			case 0:
				at := now + time.Duration(rapid.IntRange(-2, 9).Draw(t, "in"))
				expiry.Set(value, at)
				want[value] = at
			case 1:
				expiry.Remove(value)
				delete(want, value)
			}
			now += time.Duration(rapid.IntRange(0, 2).Draw(t, "later"))
			var due, got []int
			for value, at := range want {
				if at <= now {
					due = append(due, value)
				}
			}
			for _, value := range due {
				delete(want, value)
			}
			setAgain := rapid.Bool().Draw(t, "set again")
			expiry.PopUntil(now, func(value int) {
				got = append(got, value)
				if setAgain {
					expiry.Set(value, now+1)
					want[value] = now + 1
				}
			})
			slices.Sort(due)
			slices.Sort(got)
			if !slices.Equal(got, due) || expiry.Len() != len(want) || len(expiry.items) != len(want) {
				t.Fatalf("at %v: got %v expired, %d left, want %v, %d", now, got, expiry.Len(), due, len(want))
			}
		}
	})
}
