package container

import (
	"slices"
	"testing"

	"pgregory.net/rapid"
)

type tagged struct {
	id, tag int
	older   *tagged
}

func (v *tagged) Link() **tagged { return &v.older }

// A tag map finds the same values as a slice that is searched from its end. The current value of a tag is the one that was
// added last, until that one is removed.
func TestTagMapMatchesSlice(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var tags TagMap[int, *tagged]
		var all []*tagged
		current := map[int]*tagged{}
		for id := range rapid.IntRange(1, 60).Draw(t, "steps") {
			if len(all) == 0 || rapid.Bool().Draw(t, "add") {
				v := &tagged{id: id, tag: rapid.IntRange(0, 3).Draw(t, "tag")}
				tags.Add(v.tag, v)
				all = append(all, v)
				current[v.tag] = v
			} else {
				i := rapid.IntRange(0, len(all)-1).Draw(t, "which")
				v := all[i]
				tags.Remove(v.tag, v)
				all = slices.Delete(all, i, i+1)
				if current[v.tag] == v {
					delete(current, v.tag)
				}
			}
			for tag := range 4 {
				if got := tags.Current(tag); got != current[tag] {
					t.Fatalf("current value of tag %d: got %v, want %v", tag, got, current[tag])
				}
			}
			for _, v := range all {
				if got := tags.Find(v.tag, func(o *tagged) bool { return o.id == v.id }); got != v {
					t.Fatalf("Find: got %v, want %v", got, v)
				}
			}
			var missing *tagged
			if got := tags.Find(0, func(o *tagged) bool { return o.id == -1 }); got != missing {
				t.Fatalf("Find without a match: got %v, want nil", got)
			}
			if found := slices.Collect(tags.All()); len(found) != len(all) {
				t.Fatalf("All: got %d values, want %d", len(found), len(all))
			}
		}
	})
}
