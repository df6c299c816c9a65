package container

import (
	"math"
	"slices"
	"time"

	"github.com/google/btree"
)

// VisitByAge calls visit for a sample of the plain values of a class, until visit returns false. It may call visit twice
// for the same value.
//
// The ages divide the values into spans, visited from the youngest to the oldest. The sample contains up to n of the
// oldest and up to n of the youngest values of each span, see [Queue.OldestAndYoungest]. A value of exactly a boundary
// age belongs to the older span. The time now has the same origin as CreatedAt. VisitByAge sorts ages in place.
func (q *Queue[T]) VisitByAge(class int, now time.Duration, n int, visit func(T) bool, ages ...time.Duration) {
	slices.Sort(ages)
	until := int64(math.MaxInt64 - 1)
	q.sample = q.sample[:0]
	for _, age := range ages {
		if after := int64(now - age); after < until {
			q.sample = q.OldestAndYoungest(class, after, until, n, q.sample)
			until = after
		}
	}
	q.sample = q.OldestAndYoungest(class, math.MinInt64+1, until, n, q.sample)
	for _, value := range q.sample {
		if !visit(value) {
			break
		}
	}
	clear(q.sample)
}

// OldestAndYoungest appends to the slice up to n of the oldest and up to n of the youngest plain values of a class whose
// creation time is later than after, and not later than until. Among values with the same creation time it prefers those
// with the lowest Seq, for the youngest too. It may append a value twice.
func (q *Queue[T]) OldestAndYoungest(class int, after, until int64, n int, to []T) []T {
	if class >= len(q.plain) || q.plain[class] == nil || q.plain[class].Len() == 0 {
		return to
	}
	tree := q.plain[class]
	oldest, _ := tree.Min()
	youngest, _ := tree.Max()
	after, until = max(after, oldest.CreatedAt-1), min(until, youngest.CreatedAt)
	if after >= until {
		return to
	}
	before := len(to)
	to = q.appendCreated(tree, after+1, until+1, n, to)
	if len(to)-before < n {
		return to // there are fewer than n values, and all are appended
	}
	return q.appendYoungest(tree, after, until, n, to)
}

// appendCreated appends up to limit values with a creation time in [from, before), oldest first.
func (q *Queue[T]) appendCreated(tree *btree.BTreeG[*Entry[T]], from, before int64, limit int, to []T) []T {
	q.low.CreatedAt, q.high.CreatedAt = from, before
	end := len(to) + limit
	tree.AscendRange(&q.low, &q.high, func(e *Entry[T]) bool {
		to = append(to, e.Value)
		return len(to) < end
	})
	return to
}

// appendYoungest appends up to n of the youngest values whose creation time is later than after, and not later than
// until. It goes from the latest creation time to the earliest, and appends the values of each time in ascending order
// of Seq.
func (q *Queue[T]) appendYoungest(tree *btree.BTreeG[*Entry[T]], after, until int64, n int, to []T) []T {
	end := len(to) + n
	for createdAt := until + 1; len(to) < end; {
		latest := q.latestBefore(tree, createdAt)
		if latest == nil || latest.CreatedAt <= after {
			break
		}
		createdAt = latest.CreatedAt
		to = q.appendCreated(tree, createdAt, createdAt+1, end-len(to), to)
	}
	return to
}

// latestBefore returns the last entry with a creation time before the given time, or nil if there is none.
func (q *Queue[T]) latestBefore(tree *btree.BTreeG[*Entry[T]], createdAt int64) *Entry[T] {
	var latest *Entry[T]
	q.low.CreatedAt = createdAt
	tree.DescendLessOrEqual(&q.low, func(e *Entry[T]) bool {
		if e.CreatedAt < createdAt {
			latest = e
		}
		return latest == nil
	})
	return latest
}
