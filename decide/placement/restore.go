package placement

import (
	"cmp"
	"maps"
	"slices"
)

// Restore returns a table with owner sets that are in force, as a previous table for Compute where the one that they
// came from is lost: a control process that restarts learns them from the nodes. Owners that are not among the
// nodes are left out. The table has no rates and loads.
func Restore(nodes []Node, owners map[DestinationID][]NodeID) *Table {
	t := &Table{nodes: slices.Clone(nodes), names: []string{""}}
	slices.SortFunc(t.nodes, func(left, right Node) int { return cmp.Compare(left.ID, right.ID) })
	t.loads = make([]load, len(t.nodes))
	t.fairs = make([]load, len(t.nodes))
	t.limits = make([]load, len(t.nodes))
	t.ids = slices.Sorted(maps.Keys(owners))
	t.rates = make([]load, len(t.ids))
	t.regions = make([]uint16, len(t.ids))
	t.start = append(t.start, 0)
	for _, destination := range t.ids {
		t.owners = append(t.owners, t.restored(owners[destination])...)
		t.start = append(t.start, uint32(len(t.owners)))
	}
	return t
}

// restored returns the slots of one destination, one of them empty where there are no owners.
func (t *Table) restored(owners []NodeID) []nodeIndex {
	var slots []nodeIndex
	for _, id := range owners {
		node, found := t.node(id)
		if found && !slices.Contains(slots, node) {
			slots = append(slots, node)
		}
	}
	if len(slots) == 0 {
		slots = append(slots, noNode)
	}
	return slots
}
