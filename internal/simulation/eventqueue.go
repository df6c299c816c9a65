package simulation

import (
	"container/heap"
	"time"
	"wingmount/policy"
)

// event is what happens at a time. Events of the same time run in the order in which they were scheduled.
type event struct {
	at     policy.Time
	number uint64
	run    func()
}

// eventQueue has the scheduled events, the next one first.
type eventQueue struct{ heap eventHeap }

func (q *eventQueue) len() int { return len(q.heap) }

// hasDue reports whether an event is due at a time.
func (q *eventQueue) hasDue(at policy.Time) bool { return len(q.heap) > 0 && q.heap[0].at <= at }

func (q *eventQueue) push(e event) { heap.Push(&q.heap, e) }

func (q *eventQueue) pop() event { return heap.Pop(&q.heap).(event) }

// eventHeap implements [heap.Interface].
type eventHeap []event

func (h eventHeap) Len() int { return len(h) }

func (h eventHeap) Less(i, j int) bool {
	return h[i].at < h[j].at || h[i].at == h[j].at && h[i].number < h[j].number
}

func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

func (h *eventHeap) Push(x any) { *h = append(*h, x.(event)) }

func (h *eventHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}

// after schedules an event d from now.
func (c *Cluster) after(d time.Duration, run func()) {
	if c.queue.len() >= maxScheduledEvents {
		c.queueFull = true
		return
	}
	c.scheduled++
	c.queue.push(event{c.now + d, c.scheduled, run})
}

// afterOn schedules work of a node's process d from now. A paused process does it when it continues; one that
// has ended by then never does.
func (c *Cluster) afterOn(n *node, d time.Duration, run func()) {
	process := n.processesEnded
	c.after(d, func() { n.execute(process, run) })
}
