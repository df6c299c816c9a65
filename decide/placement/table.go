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
	nodes   []Node
	bound   float64
	ids     []DestinationID
	rates   []load
	regions []uint16
	names   []string
	start   []uint32
	owners  []nodeIndex
	loads   []load
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
// that only one of the tables has are among them, unless it has no owner for them.
func (t *Table) Changed(previous *Table) []DestinationID {
	var changed []DestinationID
	for _, destination := range mergeIDs(t, previous) {
		if !sameOwners(t.Owners(destination), previous.Owners(destination)) {
			changed = append(changed, destination)
		}
	}
	return changed
}

func mergeIDs(t, previous *Table) []DestinationID {
	all := append(t.Destinations(), previous.Destinations()...)
	slices.Sort(all)
	return slices.Compact(all)
}

// sameOwners compares two owner sets; the order does not count.
func sameOwners(left, right []NodeID) bool {
	if len(left) != len(right) {
		return false
	}
	for _, id := range left {
		if !slices.Contains(right, id) {
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
