package inflight

import (
	"slices"
	"time"
	"wingmount/decide/admission"
)

// updateBatch is the update from one call of Observe or SetDestinations.
type updateBatch struct {
	observations []admission.Observation
	destinations *destinationList // nil for no change
	previous     *updateBatch     // the next older batch in the queue
}

// destinationList is the set of existing destinations.
type destinationList struct {
	numbers  []uint32 // sorted
	complete bool     // a live list, or an assignment of endpoints, has been applied since this process started
}

// applyUpdates applies the queued batches, oldest first, and returns the time since the registry's origin. The caller
// holds the lock.
func (r *Registry) applyUpdates() time.Duration {
	now := time.Since(r.origin)
	var oldest *updateBatch
	for b := r.updates.Swap(nil); b != nil; {
		b.previous, oldest, b = oldest, b, b.previous
	}
	for b := oldest; b != nil; b = b.previous {
		r.apply(now, b)
	}
	return now
}

// apply applies one batch. It ignores the completion of a message that is not in flight, so that each completion counts
// once.
func (r *Registry) apply(now time.Duration, b *updateBatch) {
	if list := b.destinations; list != nil {
		r.destinations, r.complete = list.numbers, list.complete
	}
	for _, o := range b.observations {
		if o.Kind == admission.MessageCompleted {
			entry, ok := r.messages[o.MessageID]
			if !ok {
				continue
			}
			r.remove(o.MessageID, entry)
			o.Destination, o.Class = entry.destination, entry.class
		}
		if r.admission != nil {
			r.admission.Observe(now, o)
		}
	}
}

// enqueue queues a batch, and applies the queue if the lock is free.
func (r *Registry) enqueue(b *updateBatch) {
	for {
		b.previous = r.updates.Load()
		if r.updates.CompareAndSwap(b.previous, b) {
			break
		}
	}
	if r.mu.TryLock() {
		r.applyUpdates()
		r.mu.Unlock()
	}
}

// Observe reports observations of messages and calls, in order. It does not block, and takes ownership of the slice.
func (r *Registry) Observe(observations []admission.Observation) {
	if len(observations) > 0 {
		r.enqueue(&updateBatch{observations: observations})
	}
}

// SetDestinations replaces the set of existing destinations. The set is complete if the directory has sent its complete
// list since this process started. The numbers must fit into 32 bits. SetDestinations does not block.
func (r *Registry) SetDestinations(destinations map[int]bool, complete bool) {
	numbers := make([]uint32, 0, len(destinations))
	for number, exists := range destinations {
		if exists {
			numbers = append(numbers, uint32(number))
		}
	}
	slices.Sort(numbers)
	r.enqueue(&updateBatch{destinations: &destinationList{numbers: numbers, complete: complete}})
}
