package clusterspec

import (
	"encoding/json"
	"slices"
	"wingmount/decide/placement"
)

// Delta is the difference between two specs. See [Diff] and [Spec.Apply].
type Delta struct {
	Nodes               []Node                    `json:"nodes,omitempty"` // new and changed ones
	RemovedNodes        []string                  `json:"removed_nodes,omitempty"`
	Destinations        []Destination             `json:"destinations,omitempty"` // new and changed ones
	RemovedDestinations []placement.DestinationID `json:"removed_destinations,omitempty"`
}

// SetDefaults sets the defaults of fields that are not set in the nodes and destinations of the delta.
func (d *Delta) SetDefaults() {
	changed := Spec{Nodes: d.Nodes, Destinations: d.Destinations}
	changed.setDefaults()
}

// Append adds the elements of a later part of the same delta (see Split). It does not chain independent deltas, since
// Apply does all removals first.
func (d *Delta) Append(later Delta) {
	d.Nodes = append(d.Nodes, later.Nodes...)
	d.RemovedNodes = append(d.RemovedNodes, later.RemovedNodes...)
	d.Destinations = append(d.Destinations, later.Destinations...)
	d.RemovedDestinations = append(d.RemovedDestinations, later.RemovedDestinations...)
}

// Empty reports whether the delta changes nothing.
func (d *Delta) Empty() bool {
	return len(d.Nodes)+len(d.RemovedNodes)+len(d.Destinations)+len(d.RemovedDestinations) == 0
}

// Apply returns a new spec with a delta applied: removals first, then new and changed elements.
func (s *Spec) Apply(delta Delta) *Spec {
	removedNodes := keySet(delta.RemovedNodes)
	removed := keySet(delta.RemovedDestinations)
	next := &Spec{
		Nodes:        slices.DeleteFunc(slices.Clone(s.Nodes), func(n Node) bool { return removedNodes[n.Name] }),
		Destinations: slices.DeleteFunc(slices.Clone(s.Destinations), func(d Destination) bool { return removed[d.Number] }),
	}
	next.Nodes = replaceByKey(next.Nodes, delta.Nodes, func(n *Node) string { return n.Name })
	next.Destinations = replaceByKey(next.Destinations, delta.Destinations, func(d *Destination) placement.DestinationID { return d.Number })
	return next
}

func keySet[K comparable](keys []K) map[K]bool {
	set := make(map[K]bool, len(keys))
	for _, key := range keys {
		set[key] = true
	}
	return set
}

// maxLinearSearches is the maximum number of changed elements that are found by linear search. For more, replaceByKey
// builds an index of all elements.
const maxLinearSearches = 16

// replaceByKey replaces elements with the changed ones of the same key, and appends new ones. It modifies the slice all
// in place.
func replaceByKey[K comparable, V any](all, changed []V, key func(*V) K) []V {
	if len(changed) <= maxLinearSearches {
		for i := range changed {
			k := key(&changed[i])
			position := slices.IndexFunc(all, func(v V) bool { return key(&v) == k })
			if position < 0 {
				all = append(all, changed[i])
				continue
			}
			all[position] = changed[i]
		}
		return all
	}
	positions := make(map[K]int, len(all))
	for i := range all {
		positions[key(&all[i])] = i
	}
	for i := range changed {
		k := key(&changed[i])
		if position, known := positions[k]; known {
			all[position] = changed[i]
			continue
		}
		positions[k] = len(all)
		all = append(all, changed[i])
	}
	return all
}

// Diff returns the delta that turns the spec from into the spec to.
func Diff(from, to *Spec) Delta {
	var delta Delta
	delta.Nodes, delta.RemovedNodes = diffByKey(from.Nodes, to.Nodes,
		func(n *Node) string { return n.Name }, func(a, b *Node) bool { return *a == *b })
	delta.Destinations, delta.RemovedDestinations = diffByKey(from.Destinations, to.Destinations,
		func(d *Destination) placement.DestinationID { return d.Number }, (*Destination).equal)
	return delta
}

// diffByKey compares an old slice (from) with a new one (to). It returns the new and changed elements of the new slice,
// and the keys that only the old slice contains, each in the order of its slice.
func diffByKey[K comparable, V any](from, to []V, key func(*V) K, equal func(a, b *V) bool) (changed []V, removed []K) {
	remaining := make(map[K]*V, len(from))
	for i := range from {
		remaining[key(&from[i])] = &from[i]
	}
	for i := range to {
		k := key(&to[i])
		if before, known := remaining[k]; !known || !equal(&to[i], before) {
			changed = append(changed, to[i])
		}
		delete(remaining, k)
	}
	for i := range from {
		if _, isRemoved := remaining[key(&from[i])]; isRemoved {
			removed = append(removed, key(&from[i]))
		}
	}
	return changed, removed
}

// maxPartBytes is the maximum length of the JSON of all elements in one part of a split delta. A longer element is a
// part of its own.
const maxPartBytes = 256 << 10

// splitter distributes the elements of a delta among parts of a bounded length.
type splitter struct {
	parts []Delta
	part  Delta
	bytes int // length of the elements of part as JSON
}

// add adds an element to the current part, or to a new part if the current one would exceed maxPartBytes.
func (s *splitter) add(element any, appendTo func(part *Delta)) error {
	text, err := json.Marshal(element)
	if err != nil {
		return err
	}
	if s.bytes > 0 && s.bytes+len(text) > maxPartBytes {
		s.parts = append(s.parts, s.part)
		s.part, s.bytes = Delta{}, 0
	}
	s.bytes += len(text)
	appendTo(&s.part)
	return nil
}

// Split splits a delta into one or more parts of a bounded length as JSON. Applying them in order has the same effect
// as applying the delta.
func (d *Delta) Split() ([]Delta, error) {
	var s splitter
	for _, name := range d.RemovedNodes {
		if err := s.add(name, func(part *Delta) { part.RemovedNodes = append(part.RemovedNodes, name) }); err != nil {
			return nil, err
		}
	}
	for _, number := range d.RemovedDestinations {
		if err := s.add(number, func(part *Delta) { part.RemovedDestinations = append(part.RemovedDestinations, number) }); err != nil {
			return nil, err
		}
	}
	for _, node := range d.Nodes {
		if err := s.add(node, func(part *Delta) { part.Nodes = append(part.Nodes, node) }); err != nil {
			return nil, err
		}
	}
	for _, destination := range d.Destinations {
		if err := s.add(destination, func(part *Delta) { part.Destinations = append(part.Destinations, destination) }); err != nil {
			return nil, err
		}
	}
	return append(s.parts, s.part), nil
}
