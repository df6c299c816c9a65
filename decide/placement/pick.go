package placement

import (
	"math"
	"slices"
)

// room is what a node must have left to be picked.
type room uint8

const (
	// roomForLarge is a node that owns no large part, or none that go over its bound with this one.
	roomForLarge room = iota
	// roomBelowLow is a node under its low load that stays within its bound with the part.
	roomBelowLow
	// roomForPart is a node that stays within its bound with the part.
	roomForPart
	// roomUpToBound is a node that is within its bound before it gets the part.
	roomUpToBound
)

// hasRoom says whether the node can take the part.
func (b *builder) hasRoom(node nodeIndex, part load, room room) bool {
	switch room {
	case roomForLarge:
		return b.largeSum[node] == 0 || b.largeSum[node]+part <= b.largeBound[node]
	case roomBelowLow:
		return b.regular[node] < b.low[node] && b.regular[node]+part <= b.bound[node]
	case roomForPart:
		return b.regular[node]+part <= b.bound[node]
	default:
		return b.regular[node] <= b.bound[node]
	}
}

// pickWithRoom returns the best node for a slot, of the nodes with most room that there are; noNode when none
// has the least room that is asked for.
func (b *builder) pickWithRoom(place, slot int, least room) nodeIndex {
	first := roomForPart
	if b.preferLow {
		first = roomBelowLow
	}
	for room := first; room <= least; room++ {
		if node := b.pick(place, slot, room); node != noNode {
			return node
		}
	}
	return noNode
}

// pick returns the best ranked node with room that may take the slot, noNode if there is none.
func (b *builder) pick(place, slot int, room room) nodeIndex {
	used := b.usedZones(place, slot)
	for _, ranked := range b.zonesByRank(place) {
		if used.closed(b, ranked.zone) {
			continue
		}
		if node := b.bestOfZone(ranked.zone, place, room); node != noNode {
			return node
		}
	}
	return noNode
}

// bestOfZone returns the best ranked node of the zone that has room and does not own the destination yet.
func (b *builder) bestOfZone(zone zoneIndex, place int, room room) nodeIndex {
	part, destination, owners := b.parts[place], b.ids[place], b.ownersAt(place)
	best, bestClock := noNode, math.Inf(1)
	for _, node := range b.zones[zone].nodes {
		if !b.hasRoom(node, part, room) {
			continue
		}
		clock, sooner := b.nodeClockBefore(node, destination, bestClock)
		if sooner && !slices.Contains(owners, node) {
			best, bestClock = node, clock
		}
	}
	return best
}

// pickLeast returns the node with the least cost that may take the slot.
func (b *builder) pickLeast(place, slot int, cost func(nodeIndex) float64) nodeIndex {
	best, bestCost := noNode, 0.0
	used := b.usedZones(place, slot)
	for _, zone := range b.scopeAt(place).zones {
		if used.closed(b, zone) {
			continue
		}
		for _, node := range b.zones[zone].nodes {
			if slices.Contains(used.owners, node) {
				continue
			}
			if c := cost(node); best == noNode || c < bestCost {
				best, bestCost = node, c
			}
		}
	}
	return best
}

// zonesByRank returns the zones that the destination may use, best first.
func (b *builder) zonesByRank(place int) []rankedZone {
	if b.zoneOrderPlace != place {
		b.zoneOrder = b.rankZones(b.zoneOrder[:0], *b.scopeAt(place), b.ids[place])
		b.zoneOrderPlace = place
	}
	return b.zoneOrder
}

// usedZones tells for one slot of a destination which zones the other owners leave open.
type usedZones struct {
	owners []nodeIndex
	slot   int
	// all says that the other owners are in as many zones as they have to be.
	all bool
}

func (b *builder) usedZones(place, slot int) usedZones {
	used := usedZones{owners: b.ownersAt(place), slot: slot}
	distinct := 0
	for i, owner := range used.owners {
		if i != slot && owner != noNode && !used.before(b, i, b.zoneOf[owner]) {
			distinct++
		}
	}
	used.all = distinct >= b.zonesWanted(place)
	return used
}

// before says whether one of the owners up to the limit is in the zone. The slot that is to be filled does not
// count.
func (u usedZones) before(b *builder, limit int, zone zoneIndex) bool {
	for i, owner := range u.owners[:limit] {
		if i != u.slot && owner != noNode && b.zoneOf[owner] == zone {
			return true
		}
	}
	return false
}

// closed says that the slot can't be filled from the zone.
func (u usedZones) closed(b *builder, zone zoneIndex) bool {
	return !u.all && u.before(b, len(u.owners), zone)
}
