package placement

import "slices"

// maxChainAttempts limits how many pairs of slots are examined in one call of moveInChains.
const maxChainAttempts = 1 << 16

// chainMover moves slots away from overloaded nodes by chains of two moves, if no single move is possible: an
// intermediate node gives one of its slots to a third node and then receives one from the overloaded node.
type chainMover struct {
	*builder
	slotsByNode  map[nodeIndex][]ownedSlot
	attemptsLeft int
}

// moveInChains moves slots away from overloaded nodes by chains of two moves. It reports whether it moved any slot.
func (b *builder) moveInChains() bool {
	overloaded := b.overloadedNodes()
	if len(overloaded) == 0 {
		return false
	}
	c := &chainMover{
		builder:      b,
		slotsByNode:  b.regularSlotsByNode(func(nodeIndex) bool { return true }),
		attemptsLeft: maxChainAttempts,
	}
	moved := false
	for _, node := range overloaded {
		for c.isOverloaded(node) && c.moveByChain(node) {
			moved = true
		}
	}
	return moved
}

// overloadedNodes returns the nodes whose load without the largest slot exceeds the upper bound.
func (b *builder) overloadedNodes() []nodeIndex {
	slotsByNode := b.regularSlotsByNode(func(node nodeIndex) bool { return b.regular[node] > b.upperBound[node] })
	c := &chainMover{builder: b, slotsByNode: slotsByNode}
	return slices.DeleteFunc(sortedNodes(slotsByNode), func(node nodeIndex) bool { return !c.isOverloaded(node) })
}

// isOverloaded reports whether the load of the node without its largest slot exceeds the upper bound.
func (c *chainMover) isOverloaded(node nodeIndex) bool {
	c.slotsByNode[node] = c.dropMovedSlots(node, c.slotsByNode[node])
	slots := c.slotsByNode[node]
	return len(slots) > 1 && c.regular[node]-slots[0].slotLoad > c.upperBound[node]
}

// moveByChain moves one slot of the node, except its largest, through an intermediate node. It reports whether it
// found a chain.
func (c *chainMover) moveByChain(node nodeIndex) bool {
	for _, owned := range c.slotsByNode[node][1:] {
		constraint := c.zoneConstraint(owned.index, owned.slot)
		for _, zone := range c.scopeAt(owned.index).zones {
			if constraint.excludes(c.builder, zone) {
				continue
			}
			for _, intermediate := range c.zones[zone].nodes {
				if !slices.Contains(constraint.owners, intermediate) && c.moveVia(owned, intermediate) {
					return true
				}
			}
		}
	}
	return false
}

// moveVia moves a slot to the intermediate node after moving one of the slots of that node to another node. It
// reports whether it found such a slot.
func (c *chainMover) moveVia(owned ownedSlot, intermediate nodeIndex) bool {
	from := c.ownersAt(owned.index)[owned.slot]
	for _, forwarded := range c.slotsByNode[intermediate] {
		if c.attemptsLeft == 0 {
			return false
		}
		c.attemptsLeft--
		stale := c.ownersAt(forwarded.index)[forwarded.slot] != intermediate
		if stale || c.regular[intermediate]-forwarded.slotLoad > c.upperBound[intermediate] {
			continue
		}
		if to := c.pickWithCapacity(forwarded.index, forwarded.slot, capacityWithinBound); to != noNode && to != from {
			c.move(forwarded.index, forwarded.slot, to)
			c.move(owned.index, owned.slot, intermediate)
			return true
		}
	}
	return false
}
