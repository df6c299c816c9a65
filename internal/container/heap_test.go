package container

import (
	"slices"
	"testing"

	"pgregory.net/rapid"
)

// A heap returns its items in the same order as a sorted slice, while items are added, moved and removed.
func TestHeapMatchesSortedSlice(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var h Heap[int]
		items := make([]Item[int], 20)
		keys := map[int]int64{} // of the items in the heap
		for i := range items {
			items[i].Value = i
		}
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			i := rapid.IntRange(0, len(items)-1).Draw(t, "item")
			switch rapid.IntRange(0, 3).Draw(t, "step") {
			case 0, 1:
				keys[i] = rapid.Int64Range(-5, 5).Draw(t, "key")
				h.Set(&items[i], keys[i])
			case 2:
				delete(keys, i)
				h.Remove(&items[i])
			case 3:
				until := rapid.Int64Range(-6, 6).Draw(t, "until")
				last := int64(-100)
				h.PopUntil(until, func(i int) {
					k, in := keys[i]
					if !in || k > until || k < last {
						t.Fatalf("got item %d with key %d (in the heap: %v) after key %d, want ascending keys up to %d", i, k, in, last, until)
					}
					last = k
					delete(keys, i)
				})
			}
			var sorted []int64
			for _, k := range keys {
				sorted = append(sorted, k)
			}
			slices.Sort(sorted)
			lowest, k := h.Min()
			if h.Len() != len(sorted) || (lowest == nil) != (len(sorted) == 0) || lowest != nil && (k != sorted[0] || keys[lowest.Value] != k) {
				t.Fatalf("lowest of %d items: got %v with key %d, want the first key of %v", h.Len(), lowest, k, sorted)
			}
		}
	})
}
