package placement

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// zoneIndex is the index of a zone in topology.zones.
type zoneIndex uint16

// noZone marks a node that may not own destinations.
const noZone = zoneIndex(1<<16 - 1)

// zone is a zone with its eligible nodes. Zones with the same name in two regions are distinct.
type zone struct {
	region, name string
	weight       float64
	seed         uint64
	nodes        []nodeIndex
}

// scope is the part of the topology that a destination may use: all regions or one.
type scope struct {
	zones []zoneIndex
	nodes int
}

// topology indexes the nodes by zone for placement. Draining nodes are in no zone.
type topology struct {
	nodes          []Node
	zones          []zone
	zoneOf         []zoneIndex
	seeds          []uint64
	inverseWeights []float64
}

// newTopology indexes nodes that are sorted by ID.
func newTopology(nodes []Node) *topology {
	t := &topology{
		nodes:          nodes,
		zoneOf:         make([]zoneIndex, len(nodes)),
		seeds:          make([]uint64, len(nodes)),
		inverseWeights: make([]float64, len(nodes)),
	}
	t.zones = eligibleZones(nodes)
	for i, node := range nodes {
		t.seeds[i] = xxhash.Sum64String(string(node.ID))
		t.inverseWeights[i] = 1 / node.Weight
		t.zoneOf[i] = noZone
		if node.Draining {
			continue
		}
		index, _ := slices.BinarySearchFunc(t.zones, node, compareZone)
		t.zoneOf[i] = zoneIndex(index)
		t.zones[index].nodes = append(t.zones[index].nodes, nodeIndex(i))
		t.zones[index].weight += node.Weight
	}
	return t
}

// eligibleZones returns the zones that have eligible nodes, sorted by region and name. Their lists of nodes are
// empty.
func eligibleZones(nodes []Node) []zone {
	var zones []zone
	for _, node := range nodes {
		if node.Draining {
			continue
		}
		index, found := slices.BinarySearchFunc(zones, node, compareZone)
		if !found {
			seed := xxhash.Sum64String(node.Region + "\x00" + node.Zone)
			zones = slices.Insert(zones, index, zone{region: node.Region, name: node.Zone, seed: seed})
		}
	}
	return zones
}

func compareZone(zone zone, node Node) int {
	return cmp.Or(cmp.Compare(zone.region, node.Region), cmp.Compare(zone.name, node.Zone))
}

// scope returns the scope of a destination restricted to the region; "" selects all regions.
func (t *topology) scope(region string) scope {
	var s scope
	for i := range t.zones {
		if region != "" && t.zones[i].region != region {
			continue
		}
		s.zones = append(s.zones, zoneIndex(i))
		s.nodes += len(t.zones[i].nodes)
	}
	return s
}

// regionNumbers numbers regions in order of first use, and caches the last one.
type regionNumbers struct {
	numbers    map[string]uint16
	last       string
	lastNumber uint16
}

func newRegionNumbers() *regionNumbers {
	return &regionNumbers{numbers: map[string]uint16{"": 0}}
}

// number returns the number of the region. The number of "" (any region) is 0.
func (r *regionNumbers) number(region string) uint16 {
	if region == r.last {
		return r.lastNumber
	}
	number, found := r.numbers[region]
	if !found {
		number = uint16(len(r.numbers))
		r.numbers[region] = number
	}
	r.last, r.lastNumber = region, number
	return number
}
