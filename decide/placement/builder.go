package placement

import "slices"

// builder computes one table.
//
// A destination is large if its slot load exceeds largeFraction of the mean of the fair loads of the nodes in its
// scope, and hot if its slot load exceeds that mean. Large destinations are placed first. The fair loads of the other
// destinations are then computed with the large loads as a base, so that each remaining slot load is small compared
// with the bounds.
type builder struct {
	*Table
	*topology
	// scopes contains the usable zones of the destinations of each region, by index of Table.regionNames.
	scopes []scope
	// slotLoads is the load that each owner of a destination carries, by destination index.
	slotLoads []load
	// large contains the indexes of large destinations, in descending order of slot load.
	large   []int
	isLarge []bool
	// largeSum is the load of each node from large destinations. largeBound is its limit for nodes that own more than
	// one large slot.
	largeSum, largeBound []load
	// regular is the load of each node without large destinations. Rebalancing keeps it between lowerBound and
	// upperBound, around fair.
	regular                      []load
	fair, lowerBound, upperBound []load
	// preferUnderloaded makes pickWithCapacity try nodes below their lower bound first. It is false without a previous
	// table, so that the owners follow the ranking more closely.
	preferUnderloaded bool

	zoneOrder      []rankedZone
	zoneOrderIndex int
}

func newBuilder(input Input) *builder {
	t := &Table{nodes: slices.Clone(input.Nodes), loadBound: input.LoadBound}
	b := &builder{Table: t, topology: newTopology(t.nodes), zoneOrderIndex: -1}
	b.setDestinations(input.Destinations)
	b.setSlotLoads()
	b.largeSum = make([]load, len(t.nodes))
	b.regular = make([]load, len(t.nodes))
	return b
}

// setDestinations copies the destinations into the table, with all slots empty.
func (b *builder) setDestinations(destinations []Destination) {
	count := len(destinations)
	b.ids = make([]DestinationID, count)
	b.rates = make([]load, count)
	b.regions = make([]uint16, count)
	b.ownerOffsets = make([]uint32, count+1)
	b.regionNames, b.scopes = []string{""}, []scope{b.scope("")}
	regions := newRegionNumbers()
	slots := 0
	for i := range destinations {
		destination := &destinations[i]
		region := regions.number(destination.Region)
		if int(region) == len(b.regionNames) {
			b.regionNames = append(b.regionNames, destination.Region)
			b.scopes = append(b.scopes, b.scope(destination.Region))
		}
		slots += destination.Owners
		b.ids[i] = destination.ID
		b.rates[i] = loadFromRate(destination.Rate)
		b.regions[i] = region
		b.ownerOffsets[i+1] = uint32(slots)
	}
	b.owners = make([]nodeIndex, slots)
	for i := range b.owners {
		b.owners[i] = noNode
	}
}

// reuseDestinations replaces slices that are equal to those of the previous table, so that both tables share the
// memory.
func (b *builder) reuseDestinations(previous *Table) {
	if previous == nil {
		return
	}
	b.ids = reuseIfEqual(b.ids, previous.ids)
	b.rates = reuseIfEqual(b.rates, previous.rates)
	b.regions = reuseIfEqual(b.regions, previous.regions)
	b.ownerOffsets = reuseIfEqual(b.ownerOffsets, previous.ownerOffsets)
}

// reuseIfEqual returns previous if both slices are equal, and next otherwise.
func reuseIfEqual[T comparable](next, previous []T) []T {
	if slices.Equal(next, previous) {
		return previous
	}
	return next
}

// scopeAt returns the scope of the destination at the index.
func (b *builder) scopeAt(index int) *scope { return &b.scopes[b.regions[index]] }

// ownersWanted returns the number of owners of the destination: the requested number, or the number of eligible nodes
// if that is smaller.
func (b *builder) ownersWanted(index int) int {
	return min(int(b.ownerOffsets[index+1]-b.ownerOffsets[index]), b.scopeAt(index).nodes)
}

// zonesWanted returns the number of distinct zones that the owners must be in.
func (b *builder) zonesWanted(index int) int {
	return min(b.ownersWanted(index), len(b.scopeAt(index).zones))
}

// setSlotLoads divides the rate of each destination by the number of its owners.
func (b *builder) setSlotLoads() {
	b.isLarge = make([]bool, len(b.ids))
	b.slotLoads = make([]load, len(b.ids))
	for index, rate := range b.rates {
		b.slotLoads[index] = max(1, rate/load(max(1, b.ownersWanted(index))))
	}
}
