package container

import "container/heap"

// Item is an element of a [Heap]. It is in at most one heap; the zero Item is in none.
type Item[T any] struct {
	Value    T
	key      int64
	position int // 1-based position in the heap; 0 if the item is in no heap
}

// Heap is a priority queue that finds the item with the lowest key. Setting and removing an item cost O(log n).
type Heap[T any] struct{ items items[T] }

// Set adds an item with a key, or changes its key.
func (h *Heap[T]) Set(item *Item[T], key int64) {
	item.key = key
	if item.position > 0 {
		heap.Fix(&h.items, item.position-1)
		return
	}
	heap.Push(&h.items, item)
}

// Remove removes an item, if present.
func (h *Heap[T]) Remove(item *Item[T]) {
	if item.position > 0 {
		heap.Remove(&h.items, item.position-1)
	}
}

// Min returns the item with the lowest key, and the key. It returns nil if the heap is empty.
func (h *Heap[T]) Min() (*Item[T], int64) {
	if len(h.items) == 0 {
		return nil, 0
	}
	return h.items[0], h.items[0].key
}

// PopUntil removes all items with keys up to and including the given key, lowest first, and calls popped for each value.
func (h *Heap[T]) PopUntil(key int64, popped func(T)) {
	for {
		item, lowest := h.Min()
		if item == nil || lowest > key {
			return
		}
		h.Remove(item)
		popped(item.Value)
	}
}

// Len returns the number of items.
func (h *Heap[T]) Len() int { return len(h.items) }

// items implements [heap.Interface].
type items[T any] []*Item[T]

func (s items[T]) Len() int           { return len(s) }
func (s items[T]) Less(i, j int) bool { return s[i].key < s[j].key }

func (s items[T]) Swap(i, j int) {
	s[i], s[j] = s[j], s[i]
	s[i].position, s[j].position = i+1, j+1
}

func (s *items[T]) Push(x any) {
	item := x.(*Item[T])
	*s = append(*s, item)
	item.position = len(*s)
}

func (s *items[T]) Pop() any {
	last := len(*s) - 1
	item := (*s)[last]
	(*s)[last] = nil
	*s = (*s)[:last]
	item.position = 0
	return item
}
