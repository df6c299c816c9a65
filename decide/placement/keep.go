package placement

import "slices"

// retainOwners copies the owners from the previous table that the rules allow to stay.
func (b *builder) retainOwners(previous *Table) {
	if previous == nil {
		return
	}
	renumbered := b.renumber(previous)
	old := 0
	for index, destination := range b.ids {
		for old < len(previous.ids) && previous.ids[old] < destination {
			old++
		}
		if old == len(previous.ids) {
			return
		}
		if previous.ids[old] == destination {
			b.retainDestinationOwners(index, previous.ownersAt(old), renumbered)
		}
	}
}

// renumber maps the node indexes of the previous table to the new ones, and to noNode if the node is missing or may
// not own destinations.
func (b *builder) renumber(previous *Table) []nodeIndex {
	renumbered := make([]nodeIndex, len(previous.nodes))
	for i, node := range previous.nodes {
		renumbered[i] = noNode
		if index, found := b.node(node.ID); found && b.zoneOf[index] != noZone {
			renumbered[i] = index
		}
	}
	return renumbered
}

// retainDestinationOwners retains one owner in each zone first. If there are more owners than zones, it then retains
// owners in zones already used, up to the difference.
func (b *builder) retainDestinationOwners(index int, old, renumbered []nodeIndex) {
	slots := b.ownersAt(index)
	wanted, zonesWanted := b.ownersWanted(index), b.zonesWanted(index)
	region := b.regionNames[b.regions[index]]
	kept := 0
	for _, index := range old {
		node := renumberedNode(index, renumbered)
		if kept < zonesWanted && b.eligible(node, region) && !b.anyInZone(slots[:kept], b.zoneOf[node]) {
			slots[kept] = node
			kept++
		}
	}
	for _, index := range old {
		node := renumberedNode(index, renumbered)
		more := kept < wanted && wanted > zonesWanted && b.eligible(node, region)
		if more && !slices.Contains(slots[:kept], node) && b.extraOwners(slots[:kept]) < wanted-zonesWanted {
			slots[kept] = node
			kept++
		}
	}
}

func renumberedNode(old nodeIndex, renumbered []nodeIndex) nodeIndex {
	if old == noNode {
		return noNode
	}
	return renumbered[old]
}

func (b *builder) eligible(node nodeIndex, region string) bool {
	return node != noNode && (region == "" || b.topology.nodes[node].Region == region)
}

// anyInZone reports whether one of the owners is in the zone.
func (b *builder) anyInZone(owners []nodeIndex, zone zoneIndex) bool {
	for _, owner := range owners {
		if owner != noNode && b.zoneOf[owner] == zone {
			return true
		}
	}
	return false
}

// extraOwners counts the owners that share a zone with an earlier owner of the list.
func (b *builder) extraOwners(owners []nodeIndex) int {
	extra := 0
	for i, owner := range owners {
		if b.anyInZone(owners[:i], b.zoneOf[owner]) {
			extra++
		}
	}
	return extra
}
