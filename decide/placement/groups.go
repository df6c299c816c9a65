package placement

import (
	"cmp"
	"maps"
	"slices"
)

// destinationGroup is the key for all destinations with the same scope and the same number of owners.
type destinationGroup struct {
	region uint16
	owners int
}

// groupLoads returns the total load of the destinations of each group, without the large ones.
func (b *builder) groupLoads() map[destinationGroup]load {
	sums := make([][MaxOwners + 1]load, len(b.regionNames))
	for index, region := range b.regions {
		if !b.isLarge[index] {
			owners := b.ownersWanted(index)
			sums[region][owners] += b.slotLoads[index] * load(owners)
		}
	}
	totals := map[destinationGroup]load{}
	for region := range sums {
		for owners, total := range sums[region] {
			if total > 0 {
				totals[destinationGroup{uint16(region), owners}] = total
			}
		}
	}
	return totals
}

// computeFairLoads returns the fair load of each node: the base load plus a fair distribution of all groups. The most
// constrained groups come first: those restricted to a region, then those with many owners.
func (b *builder) computeFairLoads(base []load) []float64 {
	fair := make([]float64, len(base))
	for node, sum := range base {
		fair[node] = float64(sum)
	}
	totals := b.groupLoads()
	order := slices.SortedFunc(maps.Keys(totals), func(left, right destinationGroup) int {
		leftAny, rightAny := b.regionNames[left.region] == "", b.regionNames[right.region] == ""
		if leftAny != rightAny {
			return cmp.Compare(boolToInt(leftAny), boolToInt(rightAny))
		}
		return cmp.Or(cmp.Compare(right.owners, left.owners),
			cmp.Compare(b.regionNames[left.region], b.regionNames[right.region]))
	})
	for _, group := range order {
		b.waterFill(fair, b.scopes[group.region], group.owners, float64(totals[group]))
	}
	return fair
}

func boolToInt(value bool) int {
	if value {
		return 1
	}
	return 0
}
