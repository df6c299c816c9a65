package placement

import (
	"fmt"
	"slices"
	"sort"
)

// noNode marks an owner slot without a node.
const noNode = nodeIndex(1<<16 - 1)

// nodeIndex is the place of a node in Table.nodes.
type nodeIndex uint16

// Table says which nodes own each destination. It is immutable and safe for concurrent readers.
//
// The owners of the destination at place i are owners[start[i]:start[i+1]], noNode where a slot is unfilled;
// a placement of 170,000 destinations with three owners takes about 24 bytes a destination.
type Table struct {
	nodes     []Node
	loadBound float64
	ids       []DestinationID
	rates     []load
	// regions are indices into names.
	regions []uint16
	names   []string
	start   []uint32
	owners  []nodeIndex
	// larges are the destinations of which one owner's part is a large part of the mean fair load of a node, and
	// hots those of which it is over the whole mean.
	larges, hots []DestinationID
	// loads, fairs and limits are by node.
	loads, fairs, limits []load
}

// UnplacedError says that a destination has no owner because no eligible node exists.
type UnplacedError struct {
	Destination DestinationID
	Region      string
}

// Error implements error.
func (e *UnplacedError) Error() string {
	if e.Region == "" {
		return fmt.Sprintf("destination %d: no node is eligible", e.Destination)
	}
	return fmt.Sprintf("destination %d: no node of region %q is eligible", e.Destination, e.Region)
}

// Nodes returns the nodes of the table, ordered by ID.
func (t *Table) Nodes() []Node {
	if t == nil {
		return nil
	}
	return slices.Clone(t.nodes)
}

// Destinations returns the destinations of the table, in ascending order.
func (t *Table) Destinations() []DestinationID {
	if t == nil {
		return nil
	}
	return slices.Clone(t.ids)
}

// Owners returns the owners of the destination; none for one that is unknown or unplaced.
func (t *Table) Owners(destination DestinationID) []NodeID {
	place, found := t.place(destination)
	if !found {
		return nil
	}
	var owners []NodeID
	for _, node := range t.ownersAt(place) {
		if node != noNode {
			owners = append(owners, t.nodes[node].ID)
		}
	}
	return owners
}

// Owned returns the destinations that the node owns, in ascending order.
func (t *Table) Owned(id NodeID) []DestinationID {
	node, found := t.node(id)
	if !found {
		return nil
	}
	var owned []DestinationID
	for place, destination := range t.ids {
		if slices.Contains(t.ownersAt(place), node) {
			owned = append(owned, destination)
		}
	}
	return owned
}

// Load returns the sum of the node's parts in messages a second; zero for an unknown node.
func (t *Table) Load(id NodeID) float64 {
	node, found := t.node(id)
	if !found {
		return 0
	}
	return t.loads[node].rate()
}

// FairLoad returns the load that the node would have if all loads could be divided at will within the rules; for
// equal nodes and zones it is the mean. A hot part that the node owns is included.
func (t *Table) FairLoad(id NodeID) float64 {
	node, found := t.node(id)
	if !found {
		return 0
	}
	return t.fairs[node].rate()
}

// Hot returns the destinations of which one owner's part is larger than the mean fair load of a node, in ascending
// order. Their owners get next to nothing else. More owners for such a destination would divide it further.
func (t *Table) Hot() []DestinationID {
	if t == nil {
		return nil
	}
	return slices.Clone(t.hots)
}

// Unplaced returns an error for each destination that has no owner, in ascending order.
func (t *Table) Unplaced() []*UnplacedError {
	if t == nil {
		return nil
	}
	var unplaced []*UnplacedError
	for place, destination := range t.ids {
		if t.ownersAt(place)[0] == noNode {
			unplaced = append(unplaced, &UnplacedError{destination, t.names[t.regions[place]]})
		}
	}
	return unplaced
}

// Changed returns the destinations whose owners differ from the previous table's, in ascending order. Those
// that only one of the tables has are among them, unless they have no owner there.
func (t *Table) Changed(previous *Table) []DestinationID {
	if t == nil {
		t = &Table{}
	}
	if previous == nil {
		previous = &Table{}
	}
	renumbered := make([]nodeIndex, len(previous.nodes))
	for i, node := range previous.nodes {
		renumbered[i], _ = t.node(node.ID)
	}
	var changed []DestinationID
	place, old := 0, 0
	for place < len(t.ids) || old < len(previous.ids) {
		switch {
		case old == len(previous.ids) || place < len(t.ids) && t.ids[place] < previous.ids[old]:
			if filled(t.ownersAt(place)) > 0 {
				changed = append(changed, t.ids[place])
			}
			place++
		case place == len(t.ids) || previous.ids[old] < t.ids[place]:
			if filled(previous.ownersAt(old)) > 0 {
				changed = append(changed, previous.ids[old])
			}
			old++
		default:
			if !sameOwners(t.ownersAt(place), previous.ownersAt(old), renumbered) {
				changed = append(changed, t.ids[place])
			}
			place, old = place+1, old+1
		}
	}
	return changed
}

// filled counts the slots that have a node.
func filled(owners []nodeIndex) int {
	count := 0
	for _, owner := range owners {
		if owner != noNode {
			count++
		}
	}
	return count
}

// sameOwners compares an owner set with one of a previous table; the order does not count.
func sameOwners(owners, old, renumbered []nodeIndex) bool {
	if filled(owners) != filled(old) {
		return false
	}
	for _, owner := range old {
		if owner != noNode && (renumbered[owner] == noNode || !slices.Contains(owners, renumbered[owner])) {
			return false
		}
	}
	return true
}

// place returns where the destination is in ids.
func (t *Table) place(destination DestinationID) (int, bool) {
	if t == nil {
		return 0, false
	}
	return slices.BinarySearch(t.ids, destination)
}

// node returns the index of the node.
func (t *Table) node(id NodeID) (nodeIndex, bool) {
	if t == nil {
		return noNode, false
	}
	place := sort.Search(len(t.nodes), func(i int) bool { return t.nodes[i].ID >= id })
	if place == len(t.nodes) || t.nodes[place].ID != id {
		return noNode, false
	}
	return nodeIndex(place), true
}

// ownersAt returns the owner slots of the destination at the place.
func (t *Table) ownersAt(place int) []nodeIndex {
	return t.owners[t.start[place]:t.start[place+1]]
}
