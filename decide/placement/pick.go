package placement

import (
	"math"
	"slices"
)

// capacityRule is the capacity condition that a node must meet to be picked for a slot. capacityForLarge considers
// the load of large destinations only and is never combined with the others. The other rules consider the regular load
// and are declared from strictest to loosest.
type capacityRule uint8

const (
	// capacityForLarge accepts a node without a large slot, and a node whose large load including the slot is at most
	// its largeBound.
	capacityForLarge capacityRule = iota
	// capacityUnderloaded accepts a node below its lower bound that stays within its upper bound with the slot.
	capacityUnderloaded
	// capacityForSlot accepts a node that stays within its upper bound with the slot.
	capacityForSlot
	// capacityWithinBound accepts a node that is within its upper bound before it receives the slot.
	capacityWithinBound
)

// hasCapacity reports whether the node meets the rule for a slot load.
func (b *builder) hasCapacity(node nodeIndex, slotLoad load, rule capacityRule) bool {
	switch rule {
	case capacityForLarge:
		return b.largeSum[node] == 0 || b.largeSum[node]+slotLoad <= b.largeBound[node]
	case capacityUnderloaded:
		return b.regular[node] < b.lowerBound[node] && b.regular[node]+slotLoad <= b.upperBound[node]
	case capacityForSlot:
		return b.regular[node]+slotLoad <= b.upperBound[node]
	default:
		return b.regular[node] <= b.upperBound[node]
	}
}

// pickWithCapacity returns the best ranked node for a slot under the strictest rule that any node meets, or noNode if
// no node meets the loosest rule.
func (b *builder) pickWithCapacity(index, slot int, loosest capacityRule) nodeIndex {
	first := capacityForSlot
	if b.preferUnderloaded {
		first = capacityUnderloaded
	}
	for rule := first; rule <= loosest; rule++ {
		if node := b.pick(index, slot, rule); node != noNode {
			return node
		}
	}
	return noNode
}

// pick returns the best ranked node that may take the slot and meets the rule, or noNode.
func (b *builder) pick(index, slot int, rule capacityRule) nodeIndex {
	constraint := b.zoneConstraint(index, slot)
	for _, ranked := range b.zonesByRank(index) {
		if constraint.excludes(b, ranked.zone) {
			continue
		}
		if node := b.bestInZone(ranked.zone, index, rule); node != noNode {
			return node
		}
	}
	return noNode
}

// bestInZone returns the best ranked node of the zone that meets the rule and does not own the destination yet, or
// noNode.
func (b *builder) bestInZone(zone zoneIndex, index int, rule capacityRule) nodeIndex {
	slotLoad, destination, owners := b.slotLoads[index], b.ids[index], b.ownersAt(index)
	best, bestScore := noNode, math.Inf(1)
	for _, node := range b.zones[zone].nodes {
		if !b.hasCapacity(node, slotLoad, rule) {
			continue
		}
		score, lower := b.nodeScoreBelow(node, destination, bestScore)
		if lower && !slices.Contains(owners, node) {
			best, bestScore = node, score
		}
	}
	return best
}

// pickLeastCost returns the node with the lowest cost that may take the slot, regardless of capacity.
func (b *builder) pickLeastCost(index, slot int, cost func(nodeIndex) float64) nodeIndex {
	best, bestCost := noNode, 0.0
	constraint := b.zoneConstraint(index, slot)
	for _, zone := range b.scopeAt(index).zones {
		if constraint.excludes(b, zone) {
			continue
		}
		for _, node := range b.zones[zone].nodes {
			if slices.Contains(constraint.owners, node) {
				continue
			}
			if c := cost(node); best == noNode || c < bestCost {
				best, bestCost = node, c
			}
		}
	}
	return best
}

// zonesByRank returns the zones that the destination may use, best ranked first. The result for the last index is
// cached.
func (b *builder) zonesByRank(index int) []rankedZone {
	if b.zoneOrderIndex != index {
		b.zoneOrder = b.rankZones(b.zoneOrder[:0], *b.scopeAt(index), b.ids[index])
		b.zoneOrderIndex = index
	}
	return b.zoneOrder
}

// zoneConstraint determines which zones the other owners of a destination leave available for one slot.
type zoneConstraint struct {
	owners []nodeIndex
	slot   int
	// satisfied reports whether the other owners are already in the required number of zones.
	satisfied bool
}

func (b *builder) zoneConstraint(index, slot int) zoneConstraint {
	constraint := zoneConstraint{owners: b.ownersAt(index), slot: slot}
	distinct := 0
	for i, owner := range constraint.owners {
		if i != slot && owner != noNode && !constraint.hasOwnerInZone(b, i, b.zoneOf[owner]) {
			distinct++
		}
	}
	constraint.satisfied = distinct >= b.zonesWanted(index)
	return constraint
}

// hasOwnerInZone reports whether one of the first limit owners is in the zone. The slot to be filled is ignored.
func (c zoneConstraint) hasOwnerInZone(b *builder, limit int, zone zoneIndex) bool {
	for i, owner := range c.owners[:limit] {
		if i != c.slot && owner != noNode && b.zoneOf[owner] == zone {
			return true
		}
	}
	return false
}

// excludes reports whether the slot cannot be filled from the zone.
func (c zoneConstraint) excludes(b *builder, zone zoneIndex) bool {
	return !c.satisfied && c.hasOwnerInZone(b, len(c.owners), zone)
}
