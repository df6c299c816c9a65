package placement

import (
	"cmp"
	"math"
	"slices"
)

// heldPart is one owner slot that a node holds.
type heldPart struct {
	place, slot int
	part        load
}

// move gives a slot of a regular destination to another node.
func (b *builder) move(place, slot int, to nodeIndex) {
	owner := &b.ownersAt(place)[slot]
	part := b.parts[place]
	b.regular[*owner] -= part
	b.regular[to] += part
	*owner = to
}

// rebalanceRounds bounds how often relieve and raise take turns; two are enough but for rare cases.
const rebalanceRounds = 16

// rebalance moves parts until all nodes are between their low load and their bound, or no single move helps
// and no pair of moves was found.
func (b *builder) rebalance() {
	for range rebalanceRounds {
		relieved := b.relieve()
		raised := b.raise()
		if !relieved && !raised && !b.exchange() {
			return
		}
	}
}

// relieve moves parts away from nodes whose load without its largest part is over the bound.
// It returns whether it moved any.
func (b *builder) relieve() bool {
	held := b.heldBy(func(node nodeIndex) bool { return b.regular[node] > b.bound[node] })
	movedAny := false
	for {
		moved := false
		for _, node := range sortedKeys(held) {
			held[node] = b.stillHeld(node, held[node])
			if b.relieveNode(node, held[node]) {
				moved = true
			}
		}
		if !moved {
			return movedAny
		}
		movedAny = true
	}
}

// heldBy returns the regular parts of each node that is chosen, the largest first.
func (b *builder) heldBy(chosen func(nodeIndex) bool) map[nodeIndex][]heldPart {
	held := map[nodeIndex][]heldPart{}
	marked := make([]bool, len(b.topology.nodes))
	any := false
	for node := range marked {
		marked[node] = chosen(nodeIndex(node))
		any = any || marked[node]
	}
	if !any {
		return held
	}
	for place := range b.ids {
		for slot, node := range b.ownersAt(place) {
			if node != noNode && marked[node] && !b.isLarge[place] {
				held[node] = append(held[node], heldPart{place, slot, b.parts[place]})
			}
		}
	}
	for _, parts := range held {
		slices.SortFunc(parts, func(left, right heldPart) int {
			return cmp.Or(cmp.Compare(right.part, left.part), cmp.Compare(left.place, right.place))
		})
	}
	return held
}

func sortedKeys(held map[nodeIndex][]heldPart) []nodeIndex {
	nodes := make([]nodeIndex, 0, len(held))
	for node := range held {
		nodes = append(nodes, node)
	}
	slices.Sort(nodes)
	return nodes
}

// stillHeld drops the parts that have moved away from the node.
func (b *builder) stillHeld(node nodeIndex, parts []heldPart) []heldPart {
	return slices.DeleteFunc(parts, func(held heldPart) bool { return b.ownersAt(held.place)[held.slot] != node })
}

// relieveNode moves away parts of one node, but for its largest: first those that are not larger than the
// excess, from the largest down, and then the smallest that go. It returns whether it moved any.
func (b *builder) relieveNode(node nodeIndex, parts []heldPart) bool {
	if len(parts) < 2 {
		return false
	}
	excess := func() load { return b.regular[node] - parts[0].part - b.bound[node] }
	moved := false
	for _, held := range parts[1:] {
		if excess() > 0 && held.part <= excess() {
			moved = b.moveAway(held) || moved
		}
	}
	for i := len(parts) - 1; i > 0 && excess() > 0; i-- {
		if b.ownersAt(parts[i].place)[parts[i].slot] == node {
			moved = b.moveAway(parts[i]) || moved
		}
	}
	return moved
}

// moveAway moves a part to the best node that has room for it.
func (b *builder) moveAway(held heldPart) bool {
	to := b.pickWithRoom(held.place, held.slot, roomUpToBound)
	if to == noNode {
		return false
	}
	b.move(held.place, held.slot, to)
	return true
}

// raise moves parts to nodes under their low load, from nodes over their fair load. Parts for which the
// receiver is ranked before the owner come first. It returns whether it moved any.
func (b *builder) raise() bool {
	receivers := b.newReceivers()
	moved := b.raiseBy(receivers, false)
	for b.raiseBy(receivers, true) {
		moved = true
	}
	return moved
}

// receivers are the nodes under their low load, by zone.
type receivers struct {
	byZone [][]nodeIndex
	zones  []zoneIndex
	count  int
}

func (b *builder) newReceivers() *receivers {
	r := &receivers{byZone: make([][]nodeIndex, len(b.zones))}
	for i := range b.zones {
		for _, node := range b.zones[i].nodes {
			if b.regular[node] < b.low[node] {
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

// remove takes out a node that has enough.
func (r *receivers) remove(zone zoneIndex, node nodeIndex) {
	place := slices.Index(r.byZone[zone], node)
	r.byZone[zone] = slices.Delete(r.byZone[zone], place, place+1)
	r.count--
}

func (b *builder) raiseBy(receivers *receivers, anyRank bool) (moved bool) {
	for place := range b.ids {
		if receivers.count == 0 {
			return moved
		}
		if b.isLarge[place] {
			continue
		}
		part := b.parts[place]
		for slot, owner := range b.ownersAt(place) {
			if owner == noNode || !b.canGive(owner, part) {
				continue
			}
			if to := b.receiver(receivers, place, slot, anyRank); to != noNode {
				b.move(place, slot, to)
				moved = true
				if b.regular[to] >= b.low[to] {
					receivers.remove(b.zoneOf[to], to)
				}
			}
		}
	}
	return moved
}

// canGive says whether the node may give away the part to one with less.
func (b *builder) canGive(node nodeIndex, part load) bool {
	return b.regular[node] > b.fair[node] && b.regular[node]-part >= b.low[node]
}

// receiver returns the best ranked receiver for a slot. Unless anyRank is set it has to be ranked before the
// owner: in its own zone by the node, and in another by the zone.
func (b *builder) receiver(receivers *receivers, place, slot int, anyRank bool) nodeIndex {
	owner, destination := b.ownersAt(place)[slot], b.ids[place]
	ownerZone := b.zoneOf[owner]
	used := b.usedZones(place, slot)
	best, bestClock := noNode, math.Inf(1)
	for _, zone := range receivers.zones {
		if len(receivers.byZone[zone]) == 0 || used.closed(b, zone) || !b.scopeHas(place, zone) {
			continue
		}
		if !anyRank && zone != ownerZone && b.zoneClock(zone, destination) >= b.zoneClock(ownerZone, destination) {
			continue
		}
		limit := bestClock
		if !anyRank && zone == ownerZone {
			limit = min(limit, b.nodeClock(owner, destination))
		}
		for _, node := range receivers.byZone[zone] {
			clock, sooner := b.nodeClockBefore(node, destination, limit)
			if sooner && b.hasRoom(node, b.parts[place], roomForPart) && !slices.Contains(used.owners, node) {
				best, bestClock, limit = node, clock, clock
			}
		}
	}
	return best
}

// scopeHas says whether the destination may use the zone.
func (b *builder) scopeHas(place int, zone zoneIndex) bool {
	region := b.names[b.regions[place]]
	return region == "" || b.zones[zone].region == region
}
