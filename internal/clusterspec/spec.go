// Package clusterspec defines the desired state of a cluster: its delivery nodes, and the destinations that they
// deliver to. A control process assigns the destinations of a [Spec] to its nodes.
//
// The spec file, the replicated log and the HTTP interface of control machines contain a Spec, or a [Delta] between
// two. A Spec and its parts have no lock. A Spec that is in use is never modified.
//
// # External names
//
// Some keys of the spec file and of JSON differ from the field names:
//
//	key              field                 meaning
//	node             Spec.Nodes            delivery nodes
//	destination      Spec.Destinations     destinations
//	building         Endpoint.Zone         availability zone of an endpoint
//	drains           Endpoint.Draining     the endpoint processes accepted messages and accepts no new ones
//	routes_apart     RoutesApart           each endpoint has its own limit and its own outages
//	bundle           Bundle                maximum number of messages in one call
//
// Start reading at [Spec], then [Parse] and [Diff].
package clusterspec

import (
	"slices"
	"wingmount/decide/placement"
)

// Node is a delivery node.
type Node struct {
	Name    string  `toml:"name" json:"name"`
	Region  string  `toml:"region" json:"region"`
	Zone    string  `toml:"zone" json:"zone"`
	Weight  float64 `toml:"weight" json:"weight"`   // capacity relative to other nodes; 1 if left out
	Address string  `toml:"address" json:"address"` // HOST:PORT to which clients are redirected
}

// Destination is a destination with the inputs of its placement and, if the spec distributes configs, its config.
type Destination struct {
	Number placement.DestinationID `toml:"number" json:"number"`
	Name   string                  `toml:"name" json:"name,omitempty"`
	Rate   float64                 `toml:"rate" json:"rate"`               // messages a second
	Owners int                     `toml:"owners" json:"owners"`           // nodes that deliver to it; 2 if left out
	Region string                  `toml:"region" json:"region,omitempty"` // region of its owners; any if left out
	// The following fields are the config for nodes without destinations in their own settings: see Config. Either all
	// destinations of a spec have endpoints, or none has.
	Limit       float64    `toml:"limit" json:"limit,omitempty"`
	RoutesApart bool       `toml:"routes_apart" json:"routes_apart,omitempty"`
	Bundle      int        `toml:"bundle" json:"bundle"` // 1 if left out
	Endpoints   []Endpoint `toml:"endpoint" json:"endpoints,omitempty"`
}

// Defaults of fields that a spec leaves out.
const (
	defaultWeight = 1
	defaultOwners = 2
	defaultBundle = 1
)

// Config returns the destination's config, which the control process sends to nodes.
func (d *Destination) Config() DestinationConfig {
	return DestinationConfig{Destination: d.Number, Limit: d.Limit, RoutesApart: d.RoutesApart, Bundle: d.Bundle, Endpoints: d.Endpoints}
}

// equal reports whether two destinations are equal, including their configs.
func (d *Destination) equal(other *Destination) bool {
	config, otherConfig := d.Config(), other.Config()
	return config.Equal(&otherConfig) && d.Name == other.Name && d.Rate == other.Rate && d.Owners == other.Owners && d.Region == other.Region
}

// Spec is the desired state of a cluster.
type Spec struct {
	Nodes        []Node        `toml:"node" json:"Nodes"`
	Destinations []Destination `toml:"destination" json:"Destinations"`
}

// setDefaults sets the defaults of fields that are not set.
func (s *Spec) setDefaults() {
	for i := range s.Nodes {
		if s.Nodes[i].Weight == 0 {
			s.Nodes[i].Weight = defaultWeight
		}
	}
	for i := range s.Destinations {
		if s.Destinations[i].Owners == 0 {
			s.Destinations[i].Owners = defaultOwners
		}
		if s.Destinations[i].Bundle == 0 {
			s.Destinations[i].Bundle = defaultBundle
		}
	}
}

// DistributesConfigs reports whether the spec contains the configs of its destinations in addition to their placement
// inputs.
func (s *Spec) DistributesConfigs() bool {
	return slices.ContainsFunc(s.Destinations, func(d Destination) bool { return len(d.Endpoints) > 0 })
}

// ForRegion returns the part of a spec that one region's leader assigns: the region's nodes, and the destinations that
// they may own.
func (s *Spec) ForRegion(region string) *Spec {
	part := &Spec{Destinations: make([]Destination, 0, len(s.Destinations))}
	for _, node := range s.Nodes {
		if node.Region == region {
			part.Nodes = append(part.Nodes, node)
		}
	}
	for _, destination := range s.Destinations {
		if destination.Region == "" || destination.Region == region {
			part.Destinations = append(part.Destinations, destination)
		}
	}
	return part
}

// PlacementInput returns the placement input with the nodes for which eligible returns true. LoadBound is the maximum
// load of a node relative to its fair load.
func (s *Spec) PlacementInput(eligible func(placement.NodeID) bool, draining map[placement.NodeID]bool, loadBound float64) placement.Input {
	input := placement.Input{LoadBound: loadBound, Destinations: make([]placement.Destination, 0, len(s.Destinations))}
	for _, node := range s.Nodes {
		id := placement.NodeID(node.Name)
		if !eligible(id) {
			continue
		}
		input.Nodes = append(input.Nodes, placement.Node{
			ID: id, Region: node.Region, Zone: node.Zone, Weight: node.Weight, Draining: draining[id],
		})
	}
	for _, destination := range s.Destinations {
		input.Destinations = append(input.Destinations, placement.Destination{
			ID: destination.Number, Rate: destination.Rate, Owners: destination.Owners, Region: destination.Region,
		})
	}
	return input
}
