package placement

import (
	"cmp"
	"math"
	"slices"
)

// ownedSlot is a filled slot of a destination, with its slot load.
type ownedSlot struct {
	index, slot int
	slotLoad    load
}

// move reassigns a slot of a regular destination to another node and updates the loads of both nodes.
func (b *builder) move(index, slot int, to nodeIndex) {
	owner := &b.ownersAt(index)[slot]
	slotLoad := b.slotLoads[index]
	b.regular[*owner] -= slotLoad
	b.regular[to] += slotLoad
	*owner = to
}

// maxRebalanceRounds limits how often rebalance repeats its steps; more than two rounds are rarely needed.
const maxRebalanceRounds = 16

// rebalance moves slots until the load of every node is at least its lower bound and, without its largest slot, at most
// its upper bound. It stops earlier if it finds neither a single move nor a chain of two moves that improves the
// balance, or after maxRebalanceRounds.
func (b *builder) rebalance() {
	for range maxRebalanceRounds {
		movedFrom := b.moveFromOverloaded()
		movedTo := b.moveToUnderloaded()
		if !movedFrom && !movedTo && !b.moveInChains() {
			return
		}
	}
}

// moveFromOverloaded moves slots away from nodes whose load without the largest slot exceeds the upper bound. It
// reports whether it moved any slot.
func (b *builder) moveFromOverloaded() bool {
	slotsByNode := b.regularSlotsByNode(func(node nodeIndex) bool { return b.regular[node] > b.upperBound[node] })
	movedAny := false
	for {
		moved := false
		for _, node := range sortedNodes(slotsByNode) {
			slotsByNode[node] = b.dropMovedSlots(node, slotsByNode[node])
			if b.moveFromNode(node, slotsByNode[node]) {
				moved = true
			}
		}
		if !moved {
			return movedAny
		}
		movedAny = true
	}
}

// regularSlotsByNode returns the regular slots owned by each selected node, in descending order of slot load.
func (b *builder) regularSlotsByNode(selected func(nodeIndex) bool) map[nodeIndex][]ownedSlot {
	slotsByNode := map[nodeIndex][]ownedSlot{}
	marked := make([]bool, len(b.topology.nodes))
	selectedAny := false
	for node := range marked {
		marked[node] = selected(nodeIndex(node))
		selectedAny = selectedAny || marked[node]
	}
	if !selectedAny {
		return slotsByNode
	}
	for index := range b.ids {
		for slot, node := range b.ownersAt(index) {
			if node != noNode && marked[node] && !b.isLarge[index] {
				slotsByNode[node] = append(slotsByNode[node], ownedSlot{index, slot, b.slotLoads[index]})
			}
		}
	}
	for _, slots := range slotsByNode {
		slices.SortFunc(slots, func(left, right ownedSlot) int {
			return cmp.Or(cmp.Compare(right.slotLoad, left.slotLoad), cmp.Compare(left.index, right.index))
		})
	}
	return slotsByNode
}

func sortedNodes(slotsByNode map[nodeIndex][]ownedSlot) []nodeIndex {
	nodes := make([]nodeIndex, 0, len(slotsByNode))
	for node := range slotsByNode {
		nodes = append(nodes, node)
	}
	slices.Sort(nodes)
	return nodes
}

// dropMovedSlots deletes the slots that the node no longer owns.
func (b *builder) dropMovedSlots(node nodeIndex, slots []ownedSlot) []ownedSlot {
	return slices.DeleteFunc(slots, func(owned ownedSlot) bool { return b.ownersAt(owned.index)[owned.slot] != node })
}

// moveFromNode moves slots, except the largest, away from an overloaded node. It first moves slots that do not exceed
// the remaining excess, in descending order of slot load, then any slots in ascending order. It reports whether it
// moved any slot.
func (b *builder) moveFromNode(node nodeIndex, slots []ownedSlot) bool {
	if len(slots) < 2 {
		return false
	}
	excess := func() load { return b.regular[node] - slots[0].slotLoad - b.upperBound[node] }
	moved := false
	for _, owned := range slots[1:] {
		if excess() > 0 && owned.slotLoad <= excess() {
			moved = b.moveToBest(owned) || moved
		}
	}
	for i := len(slots) - 1; i > 0 && excess() > 0; i-- {
		if b.ownersAt(slots[i].index)[slots[i].slot] == node {
			moved = b.moveToBest(slots[i]) || moved
		}
	}
	return moved
}

// moveToBest moves a slot to the best ranked node that has capacity for it. It reports whether there was one.
func (b *builder) moveToBest(owned ownedSlot) bool {
	to := b.pickWithCapacity(owned.index, owned.slot, capacityWithinBound)
	if to == noNode {
		return false
	}
	b.move(owned.index, owned.slot, to)
	return true
}

// moveToUnderloaded moves slots from nodes above their fair load to nodes below their lower bound. It first moves the
// slots for which the receiver ranks before the current owner. It reports whether it moved any slot.
func (b *builder) moveToUnderloaded() bool {
	receivers := b.newReceivers()
	moved := b.moveToReceivers(receivers, false)
	for b.moveToReceivers(receivers, true) {
		moved = true
	}
	return moved
}

// receivers contains the nodes below their lower bound, by zone.
type receivers struct {
	byZone [][]nodeIndex
	zones  []zoneIndex
	count  int
}

func (b *builder) newReceivers() *receivers {
	r := &receivers{byZone: make([][]nodeIndex, len(b.zones))}
	for i := range b.zones {
		for _, node := range b.zones[i].nodes {
			if b.regular[node] < b.lowerBound[node] {
				r.byZone[i] = append(r.byZone[i], node)
				r.count++
			}
		}
		if len(r.byZone[i]) > 0 {
			r.zones = append(r.zones, zoneIndex(i))
		}
	}
	return r
}

// remove deletes a node that has reached its lower bound.
func (r *receivers) remove(zone zoneIndex, node nodeIndex) {
	index := slices.Index(r.byZone[zone], node)
	r.byZone[zone] = slices.Delete(r.byZone[zone], index, index+1)
	r.count--
}

func (b *builder) moveToReceivers(receivers *receivers, anyRank bool) (moved bool) {
	for index := range b.ids {
		if receivers.count == 0 {
			return moved
		}
		if b.isLarge[index] {
			continue
		}
		slotLoad := b.slotLoads[index]
		for slot, owner := range b.ownersAt(index) {
			if owner == noNode || !b.canDonate(owner, slotLoad) {
				continue
			}
			if to := b.pickReceiver(receivers, index, slot, anyRank); to != noNode {
				b.move(index, slot, to)
				moved = true
				if b.regular[to] >= b.lowerBound[to] {
					receivers.remove(b.zoneOf[to], to)
				}
			}
		}
	}
	return moved
}

// canDonate reports whether the node can give up a slot to an underloaded node: it is above its fair load and stays
// at or above its lower bound.
func (b *builder) canDonate(node nodeIndex, slotLoad load) bool {
	return b.regular[node] > b.fair[node] && b.regular[node]-slotLoad >= b.lowerBound[node]
}

// pickReceiver returns the best ranked receiver for a slot, or noNode. Unless anyRank is set, the receiver must rank
// before the current owner: by node score within the same zone, by zone score otherwise.
func (b *builder) pickReceiver(receivers *receivers, index, slot int, anyRank bool) nodeIndex {
	owner, destination := b.ownersAt(index)[slot], b.ids[index]
	ownerZone := b.zoneOf[owner]
	constraint := b.zoneConstraint(index, slot)
	best, bestScore := noNode, math.Inf(1)
	for _, zone := range receivers.zones {
		if len(receivers.byZone[zone]) == 0 || constraint.excludes(b, zone) || !b.inScope(index, zone) {
			continue
		}
		if !anyRank && zone != ownerZone && b.zoneScore(zone, destination) >= b.zoneScore(ownerZone, destination) {
			continue
		}
		limit := bestScore
		if !anyRank && zone == ownerZone {
			limit = min(limit, b.nodeScore(owner, destination))
		}
		for _, node := range receivers.byZone[zone] {
			score, lower := b.nodeScoreBelow(node, destination, limit)
			if lower && b.hasCapacity(node, b.slotLoads[index], capacityForSlot) &&
				!slices.Contains(constraint.owners, node) {
				best, bestScore, limit = node, score, score
			}
		}
	}
	return best
}

// inScope reports whether the destination may use the zone.
func (b *builder) inScope(index int, zone zoneIndex) bool {
	region := b.regionNames[b.regions[index]]
	return region == "" || b.zones[zone].region == region
}
