package placement

// compute returns the table for a normalized input.
func compute(previous *Table, input Input) *Table {
	b := newBuilder(input)
	b.reuseDestinations(previous)
	b.preferUnderloaded = previous != nil
	b.retainOwners(previous)
	b.findLargeDestinations()
	b.placeLargeDestinations()
	b.computeLoadBounds()
	b.fillSlots(b.unfilledDestinations())
	b.rebalance()
	b.setLoads()
	return b.Table
}

// computeLoadBounds computes the fair regular load of each node, given the placed large destinations, and its lower
// and upper bound. It also sums the regular loads of the retained owners.
func (b *builder) computeLoadBounds() {
	fair := b.computeFairLoads(b.largeSum)
	count := len(fair)
	b.fair, b.lowerBound, b.upperBound = make([]load, count), make([]load, count), make([]load, count)
	for node, total := range fair {
		rest := max(0, total-float64(b.largeSum[node]))
		b.fair[node] = floorToLoad(rest)
		b.lowerBound[node] = floorToLoad(rest * max(0, 2-b.loadBound))
		b.upperBound[node] = floorToLoad(rest * b.loadBound)
	}
	for index := range b.ids {
		if b.isLarge[index] {
			continue
		}
		for _, node := range b.ownersAt(index) {
			if node != noNode {
				b.regular[node] += b.slotLoads[index]
			}
		}
	}
}

// unfilledDestinations returns the indexes of destinations with empty slots, in descending order of slot load. Large
// destinations have none at this point.
func (b *builder) unfilledDestinations() []int {
	var indexes []int
	for index := range b.ids {
		wanted := b.ownersWanted(index)
		if wanted > 0 && b.ownersAt(index)[wanted-1] == noNode {
			indexes = append(indexes, index)
		}
	}
	b.sortBySlotLoad(indexes)
	return indexes
}

// fillSlots assigns nodes to the empty slots of the destinations at the indexes. If no node has capacity, it picks
// the node with the lowest load relative to its fair load.
func (b *builder) fillSlots(indexes []int) {
	for _, index := range indexes {
		for slot := range b.ownersWanted(index) {
			if b.ownersAt(index)[slot] != noNode {
				continue
			}
			node := b.pickWithCapacity(index, slot, capacityWithinBound)
			if node == noNode {
				node = b.pickLeastCost(index, slot, func(node nodeIndex) float64 {
					return float64(b.regular[node]+b.slotLoads[index]) / float64(b.fair[node]+1)
				})
			}
			b.ownersAt(index)[slot] = node
			b.regular[node] += b.slotLoads[index]
		}
	}
}

// setLoads sets the node loads of the table.
func (b *builder) setLoads() {
	count := len(b.topology.nodes)
	b.loads, b.fairLoads, b.limits = make([]load, count), make([]load, count), make([]load, count)
	for node := range count {
		b.loads[node] = b.regular[node] + b.largeSum[node]
		b.fairLoads[node] = b.fair[node] + b.largeSum[node]
		b.limits[node] = b.upperBound[node] + b.largeSum[node]
	}
}
