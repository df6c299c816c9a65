package clusterspec

import "wingmount/decide/placement"

// Index is a spec with lookup maps for its nodes and destinations. It is immutable.
type Index struct {
	*Spec
	distributesConfigs bool
	nodes              map[placement.NodeID]Node
	numbers            map[string]placement.DestinationID
	positions          map[placement.DestinationID]int32 // indexes in Spec.Destinations
}

// NewIndex returns the index of a spec.
func NewIndex(spec *Spec) *Index {
	index := &Index{
		Spec:               spec,
		distributesConfigs: spec.DistributesConfigs(),
		nodes:              make(map[placement.NodeID]Node, len(spec.Nodes)),
		numbers:            map[string]placement.DestinationID{},
		positions:          make(map[placement.DestinationID]int32, len(spec.Destinations)),
	}
	for _, node := range spec.Nodes {
		index.nodes[placement.NodeID(node.Name)] = node
	}
	for i, destination := range spec.Destinations {
		index.positions[destination.Number] = int32(i)
		if destination.Name != "" {
			index.numbers[destination.Name] = destination.Number
		}
	}
	return index
}

// DistributesConfigs reports whether the spec contains the configs of its destinations.
func (x *Index) DistributesConfigs() bool { return x.distributesConfigs }

// Node returns a node by its name, or false if the spec does not contain it.
func (x *Index) Node(id placement.NodeID) (Node, bool) {
	node, known := x.nodes[id]
	return node, known
}

// Destination returns the number of a destination by its name, or false if the spec does not contain it.
func (x *Index) Destination(name string) (placement.DestinationID, bool) {
	number, known := x.numbers[name]
	return number, known
}

// HasDestination reports whether the spec contains a destination.
func (x *Index) HasDestination(destination placement.DestinationID) bool {
	_, known := x.positions[destination]
	return known
}

// Config returns the config of a destination, or false if the spec does not contain it.
func (x *Index) Config(destination placement.DestinationID) (DestinationConfig, bool) {
	position, known := x.positions[destination]
	if !known || !x.distributesConfigs {
		return DestinationConfig{}, false
	}
	return x.Destinations[position].Config(), true
}

// ChangedConfigs returns the destinations whose config is not in an earlier spec or differs from it.
func (x *Index) ChangedConfigs(earlier *Index) []placement.DestinationID {
	var changed []placement.DestinationID
	for i := range x.Destinations {
		config := x.Destinations[i].Config()
		before, known := earlier.Config(config.Destination)
		if !known || !config.Equal(&before) {
			changed = append(changed, config.Destination)
		}
	}
	return changed
}
