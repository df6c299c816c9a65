package fleet

import (
	"slices"
	"time"

	"wingmount/policy"
)

// entry is what a node is told of an endpoint.
func (w *World) entry(n *node, e *endpoint, s policy.EndpointState) policy.Entry {
	return policy.Entry{Endpoint: e.id, Destination: slices.Index(w.dests, e.dest), Zone: e.zone, State: s, Rate: e.dest.Listed, Limit: w.limit(n, e.dest)}
}

// limit is what a node may send to a destination, as policy.Entry has it.
func (w *World) limit(_ *node, d *destination) float64 { return d.share() }

// hear has a node hear the list as it is, within a time.
func (w *World) hear(n *node, within time.Duration) {
	life := n.life
	w.after(time.Duration(w.rng.Float64()*float64(within)), func() {
		if n.life != life || !n.up || n.cut {
			return
		}
		list := policy.Listed{}
		for _, e := range w.order {
			if n.heard[e.id] == e.state || !e.dest.knows(n.number) {
				continue
			}
			n.heard[e.id] = e.state
			list.Entries = append(list.Entries, w.entry(n, e, e.state))
			if e.state != policy.Ready {
				w.Check.told(w.now, n, e)
			}
		}
		if len(list.Entries) > 0 {
			w.step(n, list)
		}
	})
}

// changed tells all nodes of the list, and counts what they did not hear in time as told, but for those
// that are cut off: what a node can't hear it can't keep, but by sending nothing.
func (w *World) changed(e *endpoint) {
	e.change = w.now
	state := e.state
	for _, n := range w.nodes {
		w.hear(n, w.conf.ListDelay)
	}
	w.after(toldAfter, func() {
		for _, n := range w.nodes {
			if e.state == state && state != policy.Ready && !n.cut {
				w.Check.told(w.now, n, e)
			}
		}
	})
}

// Replace has an endpoint drain, go after a time, and another come in its place, cold.
func (w *World) Replace(dest, number int, after time.Duration) {
	old := w.dests[dest].ends[number]
	old.state = policy.Draining
	w.changed(old)
	w.changed(w.join(dest))
	w.after(after, func() {
		old.state = policy.Gone
		w.changed(old)
	})
}

// Cut keeps lists and notes from a node, or lets them through again.
func (w *World) Cut(i int, cut bool) {
	if w.nodes[i].cut = cut; !cut {
		w.hear(w.nodes[i], asks)
	}
}
