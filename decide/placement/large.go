package placement

import (
	"cmp"
	"slices"
)

// largeFraction is the fraction of the mean of the fair loads in a scope above which a slot load is large.
const largeFraction = 0.25

// findLargeDestinations records the large and the hot destinations.
func (b *builder) findLargeDestinations() {
	fair := b.computeFairLoads(make([]load, len(b.topology.nodes)))
	b.largeBound = make([]load, len(fair))
	for node, load := range fair {
		b.largeBound[node] = floorToLoad(load * b.loadBound)
	}
	means := make([]load, len(b.scopes))
	for region := range b.scopes {
		means[region] = b.meanFairLoad(&b.scopes[region], fair)
	}
	for index, region := range b.regions {
		if b.ownersWanted(index) == 0 || float64(b.slotLoads[index]) <= float64(means[region])*largeFraction {
			continue
		}
		b.large = append(b.large, index)
		b.largeIDs = append(b.largeIDs, b.ids[index])
		b.isLarge[index] = true
		if b.slotLoads[index] > means[region] {
			b.hotIDs = append(b.hotIDs, b.ids[index])
		}
	}
	b.sortBySlotLoad(b.large)
}

// meanFairLoad returns the mean fair load of the nodes of a scope.
func (b *builder) meanFairLoad(scope *scope, fair []float64) load {
	var sum float64
	for _, zone := range scope.zones {
		for _, node := range b.zones[zone].nodes {
			sum += fair[node]
		}
	}
	return floorToLoad(sum / float64(max(1, scope.nodes)))
}

// sortBySlotLoad sorts destination indexes in descending order of slot load.
func (b *builder) sortBySlotLoad(indexes []int) {
	slices.SortFunc(indexes, func(left, right int) int {
		return cmp.Or(cmp.Compare(b.slotLoads[right], b.slotLoads[left]), cmp.Compare(left, right))
	})
}

// maxLargeRounds limits how often all large destinations are processed: a slot that leaves a node may free the
// capacity for another slot.
const maxLargeRounds = 8

// placeLargeDestinations retains or finds owners for the large destinations. A node takes one large slot, and more
// only up to largeBound, unless no other node is available.
func (b *builder) placeLargeDestinations() {
	for range maxLargeRounds {
		clear(b.largeSum)
		if !b.placeLargeOnce() {
			return
		}
	}
}

// placeLargeOnce processes all large slots once. It reports whether it assigned any slot to a different node.
func (b *builder) placeLargeOnce() (changed bool) {
	for _, index := range b.large {
		slots := b.ownersAt(index)
		for slot := range b.ownersWanted(index) {
			if node := slots[slot]; node == noNode || !b.hasCapacity(node, b.slotLoads[index], capacityForLarge) {
				slots[slot] = b.pickForLarge(index, slot)
				changed = changed || slots[slot] != node
			}
			b.largeSum[slots[slot]] += b.slotLoads[index]
		}
	}
	return changed
}

func (b *builder) pickForLarge(index, slot int) nodeIndex {
	if node := b.pick(index, slot, capacityForLarge); node != noNode {
		return node
	}
	if node := b.ownersAt(index)[slot]; node != noNode {
		return node
	}
	return b.pickLeastCost(index, slot, func(node nodeIndex) float64 {
		return float64(b.largeSum[node]) * b.inverseWeights[node]
	})
}
