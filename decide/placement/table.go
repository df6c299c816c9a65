package placement

import (
	"fmt"
	"slices"
	"sort"
)

// noNode marks an empty owner slot.
const noNode = nodeIndex(1<<16 - 1)

// nodeIndex is the index of a node in Table.nodes.
type nodeIndex uint16

// Table is an assignment: the owner nodes of each destination. It is immutable and safe for concurrent readers.
//
// The owners of the destination at index i are owners[ownerOffsets[i]:ownerOffsets[i+1]], with noNode in empty slots.
// A placement of 170,000 destinations with three owners takes about 24 bytes a destination.
type Table struct {
	nodes     []Node
	loadBound float64
	ids       []DestinationID
	rates     []load
	// regions contains indexes of regionNames.
	regions      []uint16
	regionNames  []string
	ownerOffsets []uint32
	owners       []nodeIndex
	// largeIDs contains the destinations whose slot load exceeds largeFraction of the mean fair load of a node, and
	// hotIDs those whose slot load exceeds that mean.
	largeIDs, hotIDs []DestinationID
	// loads, fairLoads and limits are indexed by node.
	loads, fairLoads, limits []load
}

// UnplacedError describes a destination that has no owner because there is no eligible node. It is an element of the
// result of [Table.Unplaced]; no function returns it as an error.
type UnplacedError struct {
	Destination DestinationID
	Region      string
}

// Error implements error.
func (e *UnplacedError) Error() string {
	if e.Region == "" {
		return fmt.Sprintf("destination %d: no eligible node", e.Destination)
	}
	return fmt.Sprintf("destination %d: no eligible node in region %q", e.Destination, e.Region)
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

// Owners returns the owners of the destination, or nil if the destination is unknown or unplaced.
func (t *Table) Owners(destination DestinationID) []NodeID {
	index, found := t.index(destination)
	if !found {
		return nil
	}
	var owners []NodeID
	for _, node := range t.ownersAt(index) {
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
	for index, destination := range t.ids {
		if slices.Contains(t.ownersAt(index), node) {
			owned = append(owned, destination)
		}
	}
	return owned
}

// Load returns the sum of the slot loads of the node in messages a second, or 0 for an unknown node.
func (t *Table) Load(id NodeID) float64 {
	node, found := t.node(id)
	if !found {
		return 0
	}
	return t.loads[node].rate()
}

// FairLoad returns the load that the node would have if all loads could be divided arbitrarily within the rules. For
// equal nodes and zones it is the mean. The slot loads of large destinations that the node owns are included.
func (t *Table) FairLoad(id NodeID) float64 {
	node, found := t.node(id)
	if !found {
		return 0
	}
	return t.fairLoads[node].rate()
}

// Hot returns the destinations whose slot load exceeds the mean of the fair loads of the nodes in their scope, in
// ascending order. Their owners receive almost no other load. Requesting more owners for such a destination would
// divide its load further.
func (t *Table) Hot() []DestinationID {
	if t == nil {
		return nil
	}
	return slices.Clone(t.hotIDs)
}

// Unplaced returns an entry for each destination without an owner, in ascending order. It allocates a new entry for
// each on every call.
func (t *Table) Unplaced() []*UnplacedError {
	if t == nil {
		return nil
	}
	var unplaced []*UnplacedError
	for index, destination := range t.ids {
		if t.ownersAt(index)[0] == noNode {
			unplaced = append(unplaced, &UnplacedError{destination, t.regionNames[t.regions[index]]})
		}
	}
	return unplaced
}

// Changed returns the destinations whose owners differ from those in the previous table, in ascending order. A
// destination that only one of the tables contains is included if it has an owner there.
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
	index, old := 0, 0
	for index < len(t.ids) || old < len(previous.ids) {
		switch {
		case old == len(previous.ids) || index < len(t.ids) && t.ids[index] < previous.ids[old]:
			if countFilled(t.ownersAt(index)) > 0 {
				changed = append(changed, t.ids[index])
			}
			index++
		case index == len(t.ids) || previous.ids[old] < t.ids[index]:
			if countFilled(previous.ownersAt(old)) > 0 {
				changed = append(changed, previous.ids[old])
			}
			old++
		default:
			if !sameOwners(t.ownersAt(index), previous.ownersAt(old), renumbered) {
				changed = append(changed, t.ids[index])
			}
			index, old = index+1, old+1
		}
	}
	return changed
}

// countFilled counts the slots that have a node.
func countFilled(owners []nodeIndex) int {
	count := 0
	for _, owner := range owners {
		if owner != noNode {
			count++
		}
	}
	return count
}

// sameOwners reports whether an owner set is equal to one of a previous table, regardless of order. renumbered maps
// the node indexes of the previous table to the current ones.
func sameOwners(owners, old, renumbered []nodeIndex) bool {
	if countFilled(owners) != countFilled(old) {
		return false
	}
	for _, owner := range old {
		if owner != noNode && (renumbered[owner] == noNode || !slices.Contains(owners, renumbered[owner])) {
			return false
		}
	}
	return true
}

// index returns the index of the destination in ids, and whether the table contains it.
func (t *Table) index(destination DestinationID) (int, bool) {
	if t == nil {
		return 0, false
	}
	return slices.BinarySearch(t.ids, destination)
}

// node returns the index of the node, and whether the table contains it.
func (t *Table) node(id NodeID) (nodeIndex, bool) {
	if t == nil {
		return noNode, false
	}
	index := sort.Search(len(t.nodes), func(i int) bool { return t.nodes[i].ID >= id })
	if index == len(t.nodes) || t.nodes[index].ID != id {
		return noNode, false
	}
	return nodeIndex(index), true
}

// ownersAt returns the owner slots of the destination at the index.
func (t *Table) ownersAt(index int) []nodeIndex {
	return t.owners[t.ownerOffsets[index]:t.ownerOffsets[index+1]]
}
