package placement

import "slices"

// exchangeTries bounds how many pairs of parts are looked at for one table.
const exchangeTries = 1 << 16

// exchanger moves parts in two steps: a node passes one of its parts on and takes one of a node over its bound,
// which has no part that another node could take at once.
type exchanger struct {
	*builder
	held  map[nodeIndex][]heldPart
	tries int
}

// exchange relieves nodes by two steps. It returns whether it moved any part.
func (b *builder) exchange() bool {
	over := b.overBound()
	if len(over) == 0 {
		return false
	}
	e := &exchanger{builder: b, held: b.heldBy(func(nodeIndex) bool { return true }), tries: exchangeTries}
	moved := false
	for _, node := range over {
		for e.isOver(node) && e.relieveByExchange(node) {
			moved = true
		}
	}
	return moved
}

// overBound returns the nodes whose load without the largest part is over the bound.
func (b *builder) overBound() []nodeIndex {
	held := b.heldBy(func(node nodeIndex) bool { return b.regular[node] > b.bound[node] })
	e := &exchanger{builder: b, held: held}
	return slices.DeleteFunc(sortedKeys(held), func(node nodeIndex) bool { return !e.isOver(node) })
}

// isOver says whether the load of the node without the largest part is over its bound.
func (e *exchanger) isOver(node nodeIndex) bool {
	e.held[node] = e.stillHeld(node, e.held[node])
	parts := e.held[node]
	return len(parts) > 1 && e.regular[node]-parts[0].part > e.bound[node]
}

// relieveByExchange moves one part of the node, but for its largest.
func (e *exchanger) relieveByExchange(node nodeIndex) bool {
	for _, held := range e.held[node][1:] {
		used := e.usedZones(held.place, held.slot)
		for _, zone := range e.scopeAt(held.place).zones {
			if used.closed(e.builder, zone) {
				continue
			}
			for _, through := range e.zones[zone].nodes {
				if !slices.Contains(used.owners, through) && e.moveThrough(held, through) {
					return true
				}
			}
		}
	}
	return false
}

// moveThrough moves a part to a node that passes one of its own on.
func (e *exchanger) moveThrough(held heldPart, through nodeIndex) bool {
	from := e.ownersAt(held.place)[held.slot]
	for _, passed := range e.held[through] {
		if e.tries == 0 {
			return false
		}
		e.tries--
		stale := e.ownersAt(passed.place)[passed.slot] != through
		if stale || e.regular[through]-passed.part > e.bound[through] {
			continue
		}
		if to := e.pickWithRoom(passed.place, passed.slot, roomUpToBound); to != noNode && to != from {
			e.move(passed.place, passed.slot, to)
			e.move(held.place, held.slot, through)
			return true
		}
	}
	return false
}
