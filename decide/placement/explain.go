package placement

import (
	"cmp"
	"slices"
)

// Reason states why a candidate owns a destination or does not.
type Reason string

// The reasons of an Explanation.
const (
	// ReasonOwner marks a node that owns the destination.
	ReasonOwner Reason = "owner"
	// ReasonDraining marks a node that is draining.
	ReasonDraining Reason = "draining"
	// ReasonRegion marks a node outside the region of the destination.
	ReasonRegion Reason = "region"
	// ReasonZoneUsed marks a node in the zone of another owner.
	ReasonZoneUsed Reason = "zone taken"
	// ReasonLoadBound marks a node that cannot take the slot load without exceeding its load limit.
	ReasonLoadBound Reason = "load bound"
	// ReasonEnoughOwners marks a node that could own the destination, which already has enough owners.
	ReasonEnoughOwners Reason = "enough owners"
)

// Candidate describes one node from the point of view of one destination.
type Candidate struct {
	Node   NodeID
	Region string
	Zone   string
	Reason Reason
	// Load is the load of the node, Fair its fair load and Limit its load limit, with which ReasonLoadBound compares
	// the sum of Load and the slot load, in messages a second.
	Load, Fair, Limit float64
}

// Explanation states for operators why a destination has its owners.
type Explanation struct {
	Destination DestinationID
	// Known is false if the table does not contain the destination; only Destination is set then.
	Known  bool
	Rate   float64 // messages a second
	Wanted int     // requested number of owners
	Region string
	Owners []NodeID
	// Hot reports whether the slot load exceeds the mean of the fair loads of the nodes in the scope.
	Hot bool
	// Candidates contains all nodes: first the eligible ones, best ranked first, then the others by ID.
	Candidates []Candidate
}

// Explain returns why the destination has its owners.
func (t *Table) Explain(destination DestinationID) Explanation {
	index, known := t.index(destination)
	if !known {
		return Explanation{Destination: destination}
	}
	_, hot := slices.BinarySearch(t.hotIDs, destination)
	explainer := newExplainer(t, index)
	return Explanation{
		Destination: destination,
		Known:       true,
		Rate:        t.rates[index].rate(),
		Wanted:      len(t.ownersAt(index)),
		Region:      t.regionNames[t.regions[index]],
		Owners:      t.Owners(destination),
		Hot:         hot,
		Candidates:  append(explainer.eligible(), explainer.excluded()...),
	}
}

// explainer evaluates all nodes as candidates for one destination.
type explainer struct {
	*Table
	topology *topology
	index    int
	scope    scope
	// slotLoad is the load that one owner carries.
	slotLoad load
	// zonesUsed contains the zones of the owners.
	zonesUsed map[zoneIndex]bool
	// zonesShared reports whether some owners share a zone because there are more owners than zones.
	zonesShared bool
}

func newExplainer(table *Table, index int) *explainer {
	e := &explainer{Table: table, topology: newTopology(table.nodes), index: index}
	e.scope = e.topology.scope(table.regionNames[table.regions[index]])
	e.zonesUsed = map[zoneIndex]bool{}
	owners := 0
	for _, owner := range table.ownersAt(index) {
		if owner != noNode {
			e.zonesUsed[e.topology.zoneOf[owner]] = true
			owners++
		}
	}
	e.zonesShared = owners > len(e.scope.zones)
	e.slotLoad = max(1, table.rates[index]/load(max(1, owners)))
	return e
}

// eligible returns the candidates that may own the destination, best ranked first.
func (e *explainer) eligible() []Candidate {
	var candidates []Candidate
	for _, ranked := range e.topology.rankZones(nil, e.scope, e.ids[e.index]) {
		nodes := slices.Clone(e.topology.zones[ranked.zone].nodes)
		slices.SortStableFunc(nodes, func(left, right nodeIndex) int {
			return cmp.Compare(e.score(left), e.score(right))
		})
		for _, node := range nodes {
			candidates = append(candidates, e.candidate(node, e.reason(node)))
		}
	}
	return candidates
}

func (e *explainer) score(node nodeIndex) float64 { return e.topology.nodeScore(node, e.ids[e.index]) }

// excluded returns the nodes that may not own the destination, by ID.
func (e *explainer) excluded() []Candidate {
	region := e.regionNames[e.regions[e.index]]
	var candidates []Candidate
	for index, node := range e.nodes {
		switch {
		case region != "" && node.Region != region:
			candidates = append(candidates, e.candidate(nodeIndex(index), ReasonRegion))
		case node.Draining:
			candidates = append(candidates, e.candidate(nodeIndex(index), ReasonDraining))
		}
	}
	return candidates
}

// reason returns why an eligible node owns the destination or does not.
func (e *explainer) reason(node nodeIndex) Reason {
	switch {
	case slices.Contains(e.ownersAt(e.index), node):
		return ReasonOwner
	case e.zonesUsed[e.topology.zoneOf[node]] && !e.zonesShared:
		return ReasonZoneUsed
	case e.loads[node]+e.slotLoad > e.limits[node]:
		return ReasonLoadBound
	default:
		return ReasonEnoughOwners
	}
}

func (e *explainer) candidate(node nodeIndex, reason Reason) Candidate {
	return Candidate{
		Node:   e.nodes[node].ID,
		Region: e.nodes[node].Region,
		Zone:   e.nodes[node].Zone,
		Reason: reason,
		Load:   e.loads[node].rate(),
		Fair:   e.fairLoads[node].rate(),
		Limit:  e.limits[node].rate(),
	}
}
