package container

import (
	"cmp"
	"container/list"
	"iter"

	"github.com/google/btree"
)

// treeDegree is the degree of the B-trees of a [Queue]. A tree node has at most 63 entries.
const treeDegree = 32

// Entry is an element of a [Queue]. It is in at most one queue; the zero Entry is in none. Its fields must not be changed
// while it is in a queue.
type Entry[T any] struct {
	Value     T
	Class     int
	CreatedAt int64  // creation time in nanoseconds; orders entries by age
	Seq       uint64 // unique number; orders entries with the same creation time
	// Plain is set if the value is interchangeable with other plain values of the same class and age, so that it need
	// not be considered individually. An entry that is not plain is distinct.
	Plain bool

	position         *list.Element // in Queue.all; nil if the entry is in no queue
	distinctPosition *list.Element // in Queue.distinct; nil if the entry is plain or in no queue
}

// Compare orders entries by creation time, then by Seq. It returns a negative number if e is before other, and a positive
// number if e is after other.
func (e *Entry[T]) Compare(other *Entry[T]) int {
	return cmp.Or(cmp.Compare(e.CreatedAt, other.CreatedAt), cmp.Compare(e.Seq, other.Seq))
}

// Before reports whether e is before other in the order of [Entry.Compare].
func (e *Entry[T]) Before(other *Entry[T]) bool { return e.Compare(other) < 0 }

// Queue contains entries in order of arrival, and finds the plain entries of a class by age. Adding and removing an entry
// cost O(log n).
type Queue[T any] struct {
	all       list.List                  // all entries, as *Entry[T], in order of arrival
	distinct  list.List                  // distinct entries, as *Entry[T], in the order in which they became distinct
	plain     []*btree.BTreeG[*Entry[T]] // plain entries by class
	low, high Entry[T]                   // bounds of tree searches, reused to avoid allocations
	sample    []T                        // reused by VisitByAge
}

// Len returns the number of entries.
func (q *Queue[T]) Len() int { return q.all.Len() }

// Add appends an entry. It does nothing if the entry is in the queue.
func (q *Queue[T]) Add(e *Entry[T]) {
	if e.position != nil {
		return
	}
	e.position = q.all.PushBack(e)
	q.index(e)
}

// index adds an entry to the list of distinct entries, or to the tree of plain entries of its class.
func (q *Queue[T]) index(e *Entry[T]) {
	if !e.Plain {
		e.distinctPosition = q.distinct.PushBack(e)
		return
	}
	for len(q.plain) <= e.Class {
		q.plain = append(q.plain, nil)
	}
	if q.plain[e.Class] == nil {
		q.plain[e.Class] = btree.NewG(treeDegree, (*Entry[T]).Before)
	}
	q.plain[e.Class].ReplaceOrInsert(e)
}

// Remove removes an entry, and reports whether it was in the queue.
func (q *Queue[T]) Remove(e *Entry[T]) bool {
	if e.position == nil {
		return false
	}
	q.all.Remove(e.position)
	e.position = nil
	q.unindex(e)
	return true
}

// unindex reverses index.
func (q *Queue[T]) unindex(e *Entry[T]) {
	if e.distinctPosition != nil {
		q.distinct.Remove(e.distinctPosition)
		e.distinctPosition = nil
		return
	}
	q.plain[e.Class].Delete(e)
}

// MakeDistinct clears the Plain field of an entry, and updates the queue if it contains the entry.
func (q *Queue[T]) MakeDistinct(e *Entry[T]) {
	if !e.Plain {
		return
	}
	if e.position != nil {
		q.unindex(e)
	}
	e.Plain = false
	if e.position != nil {
		q.index(e)
	}
}

// All iterates over all values in order of arrival. The current entry may be removed during the iteration.
func (q *Queue[T]) All() iter.Seq[T] { return values[T](&q.all) }

// Distinct iterates over the distinct values, in the order in which they became distinct by Add or by MakeDistinct. The
// current entry may be removed during the iteration.
func (q *Queue[T]) Distinct() iter.Seq[T] { return values[T](&q.distinct) }

func values[T any](l *list.List) iter.Seq[T] {
	return func(yield func(T) bool) {
		for element := l.Front(); element != nil; {
			next := element.Next()
			if !yield(element.Value.(*Entry[T]).Value) {
				return
			}
			element = next
		}
	}
}

// OldestPlain iterates over the oldest plain value of each class.
func (q *Queue[T]) OldestPlain() iter.Seq[T] {
	return func(yield func(T) bool) {
		for _, tree := range q.plain {
			if tree != nil && tree.Len() > 0 {
				if e, _ := tree.Min(); !yield(e.Value) {
					return
				}
			}
		}
	}
}
