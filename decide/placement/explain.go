package placement

import (
	"cmp"
	"slices"
)

// Reason says why a candidate owns a destination or was passed over.
type Reason string

// The reasons of an Explanation.
const (
	// ReasonOwner is a candidate that owns the destination.
	ReasonOwner Reason = "owner"
	// ReasonDraining is a node that is draining.
	ReasonDraining Reason = "draining"
	// ReasonRegion is a node outside the region of the destination.
	ReasonRegion Reason = "region"
	// ReasonZoneTaken is a node in the zone of another owner.
	ReasonZoneTaken Reason = "zone taken"
	// ReasonLoadBound is a node whose load is at its bound.
	ReasonLoadBound Reason = "load bound"
	// ReasonEnoughOwners is a node that could own the destination, which has its owners already.
	ReasonEnoughOwners Reason = "enough owners"
)

// Candidate is one node as seen by one destination.
type Candidate struct {
	Node   NodeID
	Region string
	Zone   string
	Reason Reason
	// Load is the node's load, Fair its fair load and Limit the load up to which it takes more, in messages a
	// second.
	Load, Fair, Limit float64
}

// Explanation tells an operator why a destination has its owners.
type Explanation struct {
	Destination DestinationID
	// Known is false for a destination that the table does not have; the other fields are empty then.
	Known  bool
	Rate   float64
	Wanted int
	Region string
	Owners []NodeID
	// Hot says that one owner's part is larger than the mean fair load of a node.
	Hot bool
	// Candidates are all nodes: the eligible ones with the best ranked first, then the others by ID.
	Candidates []Candidate
}

// Explain tells why the destination has its owners.
func (t *Table) Explain(destination DestinationID) Explanation {
	place, known := t.place(destination)
	if !known {
		return Explanation{Destination: destination}
	}
	_, hot := slices.BinarySearch(t.hots, destination)
	explainer := newExplainer(t, place)
	return Explanation{
		Destination: destination,
		Known:       true,
		Rate:        t.rates[place].rate(),
		Wanted:      len(t.ownersAt(place)),
		Region:      t.names[t.regions[place]],
		Owners:      t.Owners(destination),
		Hot:         hot,
		Candidates:  append(explainer.eligible(), explainer.excluded()...),
	}
}

// explainer looks at all nodes for one destination.
type explainer struct {
	*Table
	topology *topology
	place    int
	scope    scope
	// part is what one owner carries.
	part load
	// zonesTaken are the zones of the owners.
	zonesTaken map[zoneIndex]bool
	// zonesShared says that there are more owners than zones, so that some share one.
	zonesShared bool
}

func newExplainer(table *Table, place int) *explainer {
	e := &explainer{Table: table, topology: newTopology(table.nodes), place: place}
	e.scope = e.topology.scope(table.names[table.regions[place]])
	e.zonesTaken = map[zoneIndex]bool{}
	owners := 0
	for _, owner := range table.ownersAt(place) {
		if owner != noNode {
			e.zonesTaken[e.topology.zoneOf[owner]] = true
			owners++
		}
	}
	e.zonesShared = owners > len(e.scope.zones)
	e.part = max(1, table.rates[place]/load(max(1, owners)))
	return e
}

// eligible returns the candidates that may own the destination, best ranked first.
func (e *explainer) eligible() []Candidate {
	var candidates []Candidate
	for _, ranked := range e.topology.rankZones(nil, e.scope, e.ids[e.place]) {
		nodes := slices.Clone(e.topology.zones[ranked.zone].nodes)
		slices.SortStableFunc(nodes, func(left, right nodeIndex) int {
			return cmp.Compare(e.clock(left), e.clock(right))
		})
		for _, node := range nodes {
			candidates = append(candidates, e.candidate(node, e.reason(node)))
		}
	}
	return candidates
}

func (e *explainer) clock(node nodeIndex) float64 { return e.topology.nodeClock(node, e.ids[e.place]) }

// excluded returns the nodes that may not own the destination, by ID.
func (e *explainer) excluded() []Candidate {
	region := e.names[e.regions[e.place]]
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

// reason says why an eligible node is an owner or not.
func (e *explainer) reason(node nodeIndex) Reason {
	switch {
	case slices.Contains(e.ownersAt(e.place), node):
		return ReasonOwner
	case e.zonesTaken[e.topology.zoneOf[node]] && !e.zonesShared:
		return ReasonZoneTaken
	case e.loads[node]+e.part > e.limits[node]:
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
		Fair:   e.fairs[node].rate(),
		Limit:  e.limits[node].rate(),
	}
}
