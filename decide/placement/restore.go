package placement

import (
	"cmp"
	"maps"
	"slices"
)

// Restore returns a table with the currently applied owner sets, for use as the previous table of Compute when the
// original table is lost: a restarted control process receives the owner sets from the nodes. Owners that are not in
// nodes are omitted. The table contains no rates and no loads.
func Restore(nodes []Node, owners map[DestinationID][]NodeID) *Table {
	t := &Table{nodes: slices.Clone(nodes), regionNames: []string{""}}
	slices.SortFunc(t.nodes, func(left, right Node) int { return cmp.Compare(left.ID, right.ID) })
	t.loads = make([]load, len(t.nodes))
	t.fairLoads = make([]load, len(t.nodes))
	t.limits = make([]load, len(t.nodes))
	t.ids = slices.Sorted(maps.Keys(owners))
	t.rates = make([]load, len(t.ids))
	t.regions = make([]uint16, len(t.ids))
	t.ownerOffsets = append(t.ownerOffsets, 0)
	for _, destination := range t.ids {
		t.owners = append(t.owners, t.restoredSlots(owners[destination])...)
		t.ownerOffsets = append(t.ownerOffsets, uint32(len(t.owners)))
	}
	return t
}

// restoredSlots returns the slots of one destination: a single empty slot if there are no owners.
func (t *Table) restoredSlots(owners []NodeID) []nodeIndex {
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
