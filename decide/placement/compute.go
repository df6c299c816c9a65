package placement

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// compute places each destination by rendezvous hashing alone, in different zones.
func compute(_ *Table, input Input) *Table {
	t := &Table{nodes: slices.Clone(input.Nodes), bound: input.LoadBound, start: []uint32{0}}
	t.loads = make([]load, len(t.nodes))
	regions := map[string]uint16{}
	for _, destination := range input.Destinations {
		region, known := regions[destination.Region]
		if !known {
			region = uint16(len(t.names))
			regions[destination.Region] = region
			t.names = append(t.names, destination.Region)
		}
		t.ids = append(t.ids, destination.ID)
		t.rates = append(t.rates, loadOf(destination.Rate))
		t.regions = append(t.regions, region)
		owners := rank(t.nodes, destination)
		for len(owners) < destination.Owners {
			owners = append(owners, noNode)
		}
		t.owners = append(t.owners, owners[:destination.Owners]...)
		t.start = append(t.start, uint32(len(t.owners)))
		t.addLoads(len(t.ids) - 1)
	}
	return t
}

func (t *Table) addLoads(place int) {
	var owners []nodeIndex
	for _, node := range t.ownersAt(place) {
		if node != noNode {
			owners = append(owners, node)
		}
	}
	for _, node := range owners {
		t.loads[node] += t.rates[place] / load(len(owners))
	}
}

// rank returns the eligible nodes, first the best of each zone.
func rank(nodes []Node, destination Destination) []nodeIndex {
	var eligible []nodeIndex
	scores := map[nodeIndex]uint64{}
	for i, node := range nodes {
		if node.Draining || destination.Region != "" && destination.Region != node.Region {
			continue
		}
		eligible = append(eligible, nodeIndex(i))
		scores[nodeIndex(i)] = xxhash.Sum64String(string(node.ID)) ^ uint64(destination.ID)*0x9e3779b97f4a7c15
	}
	slices.SortFunc(eligible, func(left, right nodeIndex) int { return cmp.Compare(scores[left], scores[right]) })
	var first, rest []nodeIndex
	zones := map[[2]string]bool{}
	for _, node := range eligible {
		zone := [2]string{nodes[node].Region, nodes[node].Zone}
		if zones[zone] {
			rest = append(rest, node)
			continue
		}
		zones[zone] = true
		first = append(first, node)
	}
	return append(first, rest...)
}
