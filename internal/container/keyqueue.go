package container

import (
	"slices"
	"time"
)

// KeyQueue is a first-in, first-out queue of the values with the same key. It may be in a cooldown. A nil KeyQueue
// represents values without a key: each of them counts as the first of its queue, and there is no cooldown.
type KeyQueue[T comparable] struct {
	key           uint64
	values        []T
	cooldownUntil time.Duration
}

// IsFirst reports whether a value is the first of its queue.
func (q *KeyQueue[T]) IsFirst(value T) bool { return q == nil || q.values[0] == value }

// CoolDown starts a cooldown of the queue or extends the current one.
func (q *KeyQueue[T]) CoolDown(until time.Duration) {
	if q != nil {
		q.cooldownUntil = max(q.cooldownUntil, until)
	}
}

// CoolingDown reports whether the queue is in a cooldown.
func (q *KeyQueue[T]) CoolingDown(now time.Duration) bool { return q != nil && now < q.cooldownUntil }

// KeyQueues contains the queue of each key that has values or a cooldown.
type KeyQueues[T comparable] struct {
	queues map[uint64]*KeyQueue[T]
	empty  Expiry[*KeyQueue[T]] // queues without values, by the end of their cooldown
}

// Add appends a value to the queue of its key, and returns the queue.
func (x *KeyQueues[T]) Add(key uint64, value T) *KeyQueue[T] {
	q := x.queues[key]
	if q == nil {
		if x.queues == nil {
			x.queues = map[uint64]*KeyQueue[T]{}
		}
		q = &KeyQueue[T]{key: key}
		x.queues[key] = q
	}
	q.values = append(q.values, value)
	return q
}

// Remove removes a value from its queue. It does nothing if the queue is nil.
func (x *KeyQueues[T]) Remove(q *KeyQueue[T], value T, now time.Duration) {
	if q == nil {
		return
	}
	q.values = slices.DeleteFunc(q.values, func(other T) bool { return other == value })
	if len(q.values) > 0 {
		return
	}
	if q.CoolingDown(now) {
		x.empty.Set(q, q.cooldownUntil)
		return
	}
	x.empty.Remove(q)
	delete(x.queues, q.key)
}

// Expire removes the queues without values whose cooldown has ended.
func (x *KeyQueues[T]) Expire(now time.Duration) {
	x.empty.PopUntil(now, func(q *KeyQueue[T]) {
		if len(q.values) == 0 {
			delete(x.queues, q.key)
		}
	})
}

// Len returns the number of queues.
func (x *KeyQueues[T]) Len() int { return len(x.queues) }
