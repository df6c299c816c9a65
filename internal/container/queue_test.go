package container

import (
	"cmp"
	"maps"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// queueEntry is an entry whose value identifies it by its Seq.
type queueEntry = Entry[*Entry[int]]

// queueModel is the reference model of a queue: a slice that each call searches and sorts. All entries are in order of
// arrival, and distinct entries in the order in which they became distinct.
type queueModel []*queueEntry

// compareOldest orders entries from the oldest to the youngest, then by Seq.
func compareOldest(a, b *queueEntry) int {
	return cmp.Or(cmp.Compare(a.CreatedAt, b.CreatedAt), cmp.Compare(a.Seq, b.Seq))
}

// compareYoungest orders entries from the youngest to the oldest, then by Seq.
func compareYoungest(a, b *queueEntry) int {
	return cmp.Or(cmp.Compare(b.CreatedAt, a.CreatedAt), cmp.Compare(a.Seq, b.Seq))
}

func (m queueModel) filter(match func(*queueEntry) bool) queueModel {
	var matches queueModel
	for _, e := range m {
		if match(e) {
			matches = append(matches, e)
		}
	}
	return matches
}

func (m queueModel) seqs() (seqs []uint64) {
	for _, e := range m {
		seqs = append(seqs, e.Seq)
	}
	return seqs
}

func (m queueModel) distinct() queueModel {
	return m.filter(func(e *queueEntry) bool { return !e.Plain })
}

// updateDistinct updates the distinct entries after a step: it removes entries that are no longer queued, and appends
// entries that have become distinct.
func (m queueModel) updateDistinct(queued queueModel) queueModel {
	m = m.filter(func(e *queueEntry) bool { return slices.Contains(queued, e) })
	for _, e := range queued.distinct() {
		if !slices.Contains(m, e) {
			m = append(m, e)
		}
	}
	return m
}

func (m queueModel) plain(class int, after, until int64) queueModel {
	return m.filter(func(e *queueEntry) bool {
		return e.Plain && e.Class == class && e.CreatedAt > after && e.CreatedAt <= until
	})
}

func (m queueModel) oldestPlain(classes int) []uint64 {
	var oldest []uint64
	for class := range classes {
		if plain := m.plain(class, -1, 1<<40); len(plain) > 0 {
			oldest = append(oldest, slices.MinFunc(plain, compareOldest).Seq)
		}
	}
	return oldest
}

// oldestAndYoungest returns the set of the Seqs of the n oldest and the n youngest plain entries.
func (m queueModel) oldestAndYoungest(class int, after, until int64, n int) map[uint64]bool {
	plain := m.plain(class, after, until)
	seqs := map[uint64]bool{}
	for _, compare := range []func(a, b *queueEntry) int{compareOldest, compareYoungest} {
		slices.SortFunc(plain, compare)
		for _, e := range plain[:min(n, len(plain))] {
			seqs[e.Seq] = true
		}
	}
	return seqs
}

func seqsOf(values []*Entry[int]) (seqs []uint64) {
	for _, v := range values {
		seqs = append(seqs, v.Seq)
	}
	return seqs
}

// A queue returns the same entries as a slice that is sorted for each call, while entries are added, removed, added again
// and made distinct.
func TestQueueMatchesSortedSlice(t *testing.T) {
	const classes = 3
	rapid.Check(t, func(t *rapid.T) {
		var q Queue[*Entry[int]]
		var queued, distinct queueModel
		var removed []*queueEntry
		seq := uint64(0)
		for range rapid.IntRange(1, 120).Draw(t, "steps") {
			switch step := rapid.IntRange(0, 5).Draw(t, "step"); {
			case step <= 2 || len(queued) == 0:
				seq++
				e := &queueEntry{
					Class: rapid.IntRange(0, classes-1).Draw(t, "class"), CreatedAt: rapid.Int64Range(0, 12).Draw(t, "created"),
					Seq: seq, Plain: rapid.IntRange(0, 3).Draw(t, "plain") > 0,
				}
				e.Value = &Entry[int]{Seq: e.Seq}
				if len(removed) > 0 && step == 2 {
					e, removed = removed[0], removed[1:]
				}
				q.Add(e)
				q.Add(e) // no effect
				queued = append(queued, e)
			case step == 3:
				q.MakeDistinct(queued[rapid.IntRange(0, len(queued)-1).Draw(t, "distinct")])
			default:
				i := rapid.IntRange(0, len(queued)-1).Draw(t, "removed")
				if !q.Remove(queued[i]) || q.Remove(queued[i]) {
					t.Fatal("Remove twice: want true for the first call and false for the second")
				}
				removed = append(removed, queued[i])
				queued = slices.Delete(queued, i, i+1)
			}
			if got, want := seqsOf(slices.Collect(q.All())), queued.seqs(); !slices.Equal(got, want) || q.Len() != len(queued) {
				t.Fatalf("all entries: got %v, length %d, want %v", got, q.Len(), want)
			}
			distinct = distinct.updateDistinct(queued)
			if got, want := seqsOf(slices.Collect(q.Distinct())), distinct.seqs(); !slices.Equal(got, want) {
				t.Fatalf("distinct entries: got %v, want %v", got, want)
			}
			if got, want := seqsOf(slices.Collect(q.OldestPlain())), queued.oldestPlain(classes); !slices.Equal(got, want) {
				t.Fatalf("oldest plain entries: got %v, want %v", got, want)
			}
			class := rapid.IntRange(0, classes).Draw(t, "of class")
			after, until, n := rapid.Int64Range(-1, 13).Draw(t, "after"), rapid.Int64Range(-1, 13).Draw(t, "until"), rapid.IntRange(1, 4).Draw(t, "n")
			got := map[uint64]bool{}
			for _, seq := range seqsOf(q.OldestAndYoungest(class, after, until, n, nil)) {
				got[seq] = true
			}
			if want := queued.oldestAndYoungest(class, after, until, n); !maps.Equal(got, want) {
				t.Fatalf("%d oldest and youngest of class %d, after %d until %d: got %v, want %v", n, class, after, until, got, want)
			}
		}
	})
}

// VisitByAge visits the spans of age from the youngest to the oldest, and stops when visit returns false.
func TestVisitByAgeVisitsYoungestSpanFirst(t *testing.T) {
	var q Queue[*Entry[int]]
	for seq, createdAt := range []int64{10, 20, 30, 40, 50, 60} {
		q.Add(&queueEntry{Value: &Entry[int]{Seq: uint64(seq)}, CreatedAt: createdAt, Seq: uint64(seq), Plain: true})
	}
	for _, tc := range []struct {
		name  string
		class int
		ages  []time.Duration
		limit int
		want  []uint64
	}{
		{"no ages", 0, nil, 9, []uint64{0, 5}},
		{"one age", 0, []time.Duration{35}, 9, []uint64{3, 5, 0, 2}},
		{"two unsorted ages", 0, []time.Duration{55, 35}, 9, []uint64{3, 5, 1, 2, 0}},
		{"stopped by visit", 0, []time.Duration{35}, 3, []uint64{3, 5, 0}},
		{"another class", 1, []time.Duration{35}, 9, nil},
	} {
		t.Run(tc.name, func(t *testing.T) {
			var got []uint64
			q.VisitByAge(tc.class, 70, 1, func(v *Entry[int]) bool {
				if !slices.Contains(got, v.Seq) {
					got = append(got, v.Seq)
				}
				return len(got) < tc.limit
			}, tc.ages...)
			if !slices.Equal(got, tc.want) {
				t.Errorf("got %v, want %v", got, tc.want)
			}
		})
	}
}
