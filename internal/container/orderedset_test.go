package container

import (
	"maps"
	"slices"
	"testing"

	"pgregory.net/rapid"
)

// A set has the same values as a map, in ascending order of their keys.
func TestOrderedSetMatchesMap(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var set OrderedSet[int]
		want := map[uint64]int{}
		for step := range rapid.IntRange(1, 100).Draw(t, "steps") {
			key := rapid.Uint64Range(0, 20).Draw(t, "key")
			if rapid.Bool().Draw(t, "add") {
				set.Add(key, step)
				if _, found := want[key]; !found {
					want[key] = step
				}
			} else {
				set.Remove(key)
				delete(want, key)
			}
			var values []int
			for _, key := range sortedKeys(want) {
				values = append(values, want[key])
			}
			if !slices.Equal(set.Values(), values) || set.Len() != len(values) {
				t.Fatalf("got values %v, length %d, want %v", set.Values(), set.Len(), values)
			}
		}
	})
}

func sortedKeys(values map[uint64]int) []uint64 {
	return slices.Sorted(maps.Keys(values))
}
