package placement

import (
	"cmp"
	"maps"
	"slices"
)

// builder makes one table.
//
// A destination is hot when one owner's part of it is larger than the mean fair load of a node. Hot parts are
// placed first and apart from the others; the fair loads are then what evens out the rest around them.
type builder struct {
	*Table
	*topology
	// scopes are what destinations with each of Table.names may use.
	scopes []scope
	// parts are the loads that each owner of a destination carries, by place.
	parts []load
	// hot are the places of hot destinations, with the largest part first.
	hot    []int
	isHot  []bool
	hotSum []load
	// regular are the loads without hot parts; they are balanced between low and bound, around fair.
	regular          []load
	fair, low, bound []load
	// preferLow lets nodes with a load under low be chosen first. A table from nothing does without, which
	// leaves it nearer to the plain ranking.
	preferLow bool

	zoneOrder      []rankedZone
	zoneOrderPlace int
}

// compute makes the table of a normalized input.
func compute(previous *Table, input Input) *Table {
	b := newBuilder(input)
	b.preferLow = previous != nil
	b.keep(previous)
	b.findHot()
	b.placeHot()
	b.balanceAround()
	b.fill(b.missing())
	b.rebalance()
	b.finish()
	return b.Table
}

func newBuilder(input Input) *builder {
	t := &Table{nodes: slices.Clone(input.Nodes), loadBound: input.LoadBound}
	b := &builder{Table: t, topology: newTopology(t.nodes), zoneOrderPlace: -1}
	b.setDestinations(input.Destinations)
	b.setParts()
	b.hotSum = make([]load, len(t.nodes))
	b.regular = make([]load, len(t.nodes))
	return b
}

// setDestinations copies the destinations into the table, without owners.
func (b *builder) setDestinations(destinations []Destination) {
	count := len(destinations)
	b.ids = make([]DestinationID, count)
	b.rates = make([]load, count)
	b.regions = make([]uint16, count)
	b.start = make([]uint32, count+1)
	known := map[string]uint16{}
	slots := 0
	for i := range destinations {
		destination := &destinations[i]
		region, found := known[destination.Region]
		if !found {
			region = uint16(len(b.names))
			known[destination.Region] = region
			b.names = append(b.names, destination.Region)
			b.scopes = append(b.scopes, b.scope(destination.Region))
		}
		slots += destination.Owners
		b.ids[i] = destination.ID
		b.rates[i] = loadOf(destination.Rate)
		b.regions[i] = region
		b.start[i+1] = uint32(slots)
	}
	b.owners = make([]nodeIndex, slots)
	for i := range b.owners {
		b.owners[i] = noNode
	}
}

// scopeAt returns what the destination at the place may use.
func (b *builder) scopeAt(place int) *scope { return &b.scopes[b.regions[place]] }

// ownersWanted returns how many owners the destination gets: what it asks for, or all eligible nodes.
func (b *builder) ownersWanted(place int) int {
	return min(int(b.start[place+1]-b.start[place]), b.scopeAt(place).nodes)
}

// zonesWanted returns in how many zones the owners are.
func (b *builder) zonesWanted(place int) int {
	return min(b.ownersWanted(place), len(b.scopeAt(place).zones))
}

// setParts divides the rate of each destination by the number of its owners.
func (b *builder) setParts() {
	b.isHot = make([]bool, len(b.ids))
	b.parts = make([]load, len(b.ids))
	for place, rate := range b.rates {
		b.parts[place] = max(1, rate/load(max(1, b.ownersWanted(place))))
	}
}

// keep takes over the owners of the previous table that the rules allow to stay.
func (b *builder) keep(previous *Table) {
	if previous == nil {
		return
	}
	renumbered := b.renumber(previous)
	old := 0
	for place, destination := range b.ids {
		for old < len(previous.ids) && previous.ids[old] < destination {
			old++
		}
		if old == len(previous.ids) {
			return
		}
		if previous.ids[old] == destination {
			b.keepOwners(place, previous.ownersAt(old), renumbered)
		}
	}
}

// renumber returns the new index of each node of the previous table, noNode for those that may own nothing.
func (b *builder) renumber(previous *Table) []nodeIndex {
	renumbered := make([]nodeIndex, len(previous.nodes))
	for i, node := range previous.nodes {
		renumbered[i] = noNode
		if index, found := b.node(node.ID); found && b.zoneOf[index] != noZone {
			renumbered[i] = index
		}
	}
	return renumbered
}

// keepOwners keeps one owner in each zone first, and then as many in zones already used as there are more
// owners than zones.
func (b *builder) keepOwners(place int, old, renumbered []nodeIndex) {
	slots := b.ownersAt(place)
	wanted, zonesWanted := b.ownersWanted(place), b.zonesWanted(place)
	region := b.names[b.regions[place]]
	kept := 0
	for _, index := range old {
		node := keptNode(index, renumbered)
		if kept < zonesWanted && b.eligible(node, region) && !b.zoneUsed(slots[:kept], b.zoneOf[node]) {
			slots[kept] = node
			kept++
		}
	}
	for _, index := range old {
		node := keptNode(index, renumbered)
		more := kept < wanted && wanted > zonesWanted && b.eligible(node, region)
		if more && !slices.Contains(slots[:kept], node) && b.extraOwners(slots[:kept]) < wanted-zonesWanted {
			slots[kept] = node
			kept++
		}
	}
}

func keptNode(old nodeIndex, renumbered []nodeIndex) nodeIndex {
	if old == noNode {
		return noNode
	}
	return renumbered[old]
}

func (b *builder) eligible(node nodeIndex, region string) bool {
	return node != noNode && (region == "" || b.topology.nodes[node].Region == region)
}

// zoneUsed says whether one of the owners is in the zone.
func (b *builder) zoneUsed(owners []nodeIndex, zone zoneIndex) bool {
	for _, owner := range owners {
		if owner != noNode && b.zoneOf[owner] == zone {
			return true
		}
	}
	return false
}

// extraOwners counts the owners that share their zone with one before them.
func (b *builder) extraOwners(owners []nodeIndex) int {
	extra := 0
	for i, owner := range owners {
		if b.zoneUsed(owners[:i], b.zoneOf[owner]) {
			extra++
		}
	}
	return extra
}

// classTotals returns the classes with the sums of their destinations' loads, without the hot ones.
func (b *builder) classTotals() map[class]load {
	sums := make([][MaxOwners + 1]load, len(b.names))
	for place, region := range b.regions {
		if !b.isHot[place] {
			owners := b.ownersWanted(place)
			sums[region][owners] += b.parts[place] * load(owners)
		}
	}
	totals := map[class]load{}
	for region := range sums {
		for owners, total := range sums[region] {
			if total > 0 {
				totals[class{uint16(region), owners}] = total
			}
		}
	}
	return totals
}

// fairLoads spreads the classes over the nodes, on top of what the base gives them already. Classes with
// less choice come first: those of one region, and those with many owners.
func (b *builder) fairLoads(base []load) []float64 {
	fair := make([]float64, len(base))
	for node, sum := range base {
		fair[node] = float64(sum)
	}
	totals := b.classTotals()
	order := slices.SortedFunc(maps.Keys(totals), func(left, right class) int {
		leftAny, rightAny := b.names[left.region] == "", b.names[right.region] == ""
		if leftAny != rightAny {
			return cmp.Compare(boolToInt(leftAny), boolToInt(rightAny))
		}
		return cmp.Or(cmp.Compare(right.owners, left.owners),
			cmp.Compare(b.names[left.region], b.names[right.region]))
	})
	for _, class := range order {
		b.spread(fair, b.scopes[class.region], class.owners, float64(totals[class]))
	}
	return fair
}

func boolToInt(value bool) int {
	if value {
		return 1
	}
	return 0
}

// findHot lists the destinations whose part is larger than the mean fair load of the nodes in their scope.
func (b *builder) findHot() {
	fair := b.fairLoads(make([]load, len(b.topology.nodes)))
	means := make([]load, len(b.scopes))
	for region, scope := range b.scopes {
		var sum float64
		for _, zone := range scope.zones {
			for _, node := range b.zones[zone].nodes {
				sum += fair[node]
			}
		}
		means[region] = loadFloor(sum / float64(max(1, scope.nodes)))
	}
	for place := range b.ids {
		if b.ownersWanted(place) > 0 && b.parts[place] > means[b.regions[place]] {
			b.hot = append(b.hot, place)
			b.isHot[place] = true
		}
	}
	b.sortByPart(b.hot)
}

// sortByPart orders places by their part, the largest first.
func (b *builder) sortByPart(places []int) {
	slices.SortFunc(places, func(left, right int) int {
		return cmp.Or(cmp.Compare(b.parts[right], b.parts[left]), cmp.Compare(left, right))
	})
}

// placeHot keeps or finds owners for the hot destinations, on nodes without another hot part if there are some.
func (b *builder) placeHot() {
	for _, place := range b.hot {
		for slot := range b.ownersWanted(place) {
			node := b.ownersAt(place)[slot]
			if node == noNode || b.hotSum[node] > 0 {
				b.ownersAt(place)[slot] = b.pickHot(place, slot)
			}
			b.hotSum[b.ownersAt(place)[slot]] += b.parts[place]
		}
	}
}

func (b *builder) pickHot(place, slot int) nodeIndex {
	if node := b.pick(place, slot, roomWithoutHot); node != noNode {
		return node
	}
	if node := b.ownersAt(place)[slot]; node != noNode {
		return node
	}
	return b.pickLeast(place, slot, func(node nodeIndex) float64 {
		return float64(b.hotSum[node]) * b.inverse[node]
	})
}

// balanceAround finds the fair loads around the hot parts, the bounds, and the loads of what was kept.
func (b *builder) balanceAround() {
	fair := b.fairLoads(b.hotSum)
	count := len(fair)
	b.fair, b.low, b.bound = make([]load, count), make([]load, count), make([]load, count)
	for node, total := range fair {
		rest := max(0, total-float64(b.hotSum[node]))
		b.fair[node] = loadFloor(rest)
		b.low[node] = loadFloor(rest * max(0, 2-b.loadBound))
		b.bound[node] = loadFloor(rest * b.loadBound)
	}
	for place := range b.ids {
		if b.isHot[place] {
			continue
		}
		for _, node := range b.ownersAt(place) {
			if node != noNode {
				b.regular[node] += b.parts[place]
			}
		}
	}
}

// missing returns the places of regular destinations that need owners, the largest part first.
func (b *builder) missing() []int {
	var places []int
	for place := range b.ids {
		wanted := b.ownersWanted(place)
		if wanted > 0 && b.ownersAt(place)[wanted-1] == noNode {
			places = append(places, place)
		}
	}
	b.sortByPart(places)
	return places
}

// fill finds owners for the empty slots of the places.
func (b *builder) fill(places []int) {
	for _, place := range places {
		for slot := range b.ownersWanted(place) {
			if b.ownersAt(place)[slot] != noNode {
				continue
			}
			node := b.pickWithRoom(place, slot, roomUpToBound)
			if node == noNode {
				node = b.pickLeast(place, slot, func(node nodeIndex) float64 {
					return float64(b.regular[node]+b.parts[place]) / float64(b.fair[node]+1)
				})
			}
			b.ownersAt(place)[slot] = node
			b.regular[node] += b.parts[place]
		}
	}
}

// finish sets the loads of the table.
func (b *builder) finish() {
	count := len(b.topology.nodes)
	b.loads, b.fairs, b.limits = make([]load, count), make([]load, count), make([]load, count)
	for node := range count {
		b.loads[node] = b.regular[node] + b.hotSum[node]
		b.fairs[node] = b.fair[node] + b.hotSum[node]
		b.limits[node] = b.bound[node] + b.hotSum[node]
	}
	for _, place := range b.hot {
		b.hots = append(b.hots, b.ids[place])
	}
	slices.Sort(b.hots)
}
