package container

import "slices"

// OrderedSet is a set of values in ascending order of their keys. Add and Remove find the key by binary search and cost
// O(n), so the set suits a small number of values that are read far more often than they change.
type OrderedSet[T any] struct {
	keys   []uint64
	values []T
}

// Add adds a value with a key. It does nothing if the key is present.
func (s *OrderedSet[T]) Add(key uint64, value T) {
	i, found := slices.BinarySearch(s.keys, key)
	if found {
		return
	}
	s.keys = slices.Insert(s.keys, i, key)
	s.values = slices.Insert(s.values, i, value)
}

// Remove removes the value with a key, if present.
func (s *OrderedSet[T]) Remove(key uint64) {
	i, found := slices.BinarySearch(s.keys, key)
	if !found {
		return
	}
	s.keys = slices.Delete(s.keys, i, i+1)
	s.values = slices.Delete(s.values, i, i+1)
}

// Values returns all values in ascending order of their keys. The slice is valid until the next change, and must not be
// modified.
func (s *OrderedSet[T]) Values() []T { return s.values }

// Len returns the number of values.
func (s *OrderedSet[T]) Len() int { return len(s.keys) }

// Count returns the number of values for which match returns true.
func Count[T any](values []T, match func(T) bool) (n int) {
	for _, value := range values {
		if match(value) {
			n++
		}
	}
	return n
}
