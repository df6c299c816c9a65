package container

import "time"

// Expiry is a set of values with expiry times. It retains no memory for removed values.
type Expiry[T comparable] struct {
	heap  Heap[T]
	items map[T]*Item[T]
}

// Set adds a value with its expiry time, or changes its time.
func (x *Expiry[T]) Set(value T, at time.Duration) {
	if x.items == nil {
		x.items = map[T]*Item[T]{}
	}
	item := x.items[value]
	if item == nil {
		item = &Item[T]{Value: value}
		x.items[value] = item
	}
	x.heap.Set(item, int64(at))
}

// Remove removes a value, if present.
func (x *Expiry[T]) Remove(value T) {
	if item := x.items[value]; item != nil {
		x.heap.Remove(item)
		delete(x.items, value)
	}
}

// PopUntil removes all values whose time is not after now, earliest first, and calls expired for each of them. The
// function expired may set the value again with a time after now.
func (x *Expiry[T]) PopUntil(now time.Duration, expired func(T)) {
	x.heap.PopUntil(int64(now), func(value T) {
		delete(x.items, value)
		expired(value)
	})
}

// Len returns the number of values.
func (x *Expiry[T]) Len() int { return x.heap.Len() }
