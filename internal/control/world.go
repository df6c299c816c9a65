package control

import "wingmount/decide/placement"

// Node is a delivery node of the world.
type Node struct {
	Name    string
	Region  string
	Zone    string
	Weight  float64
	Address string // host:port that clients are sent to
}

// Destination is a destination of the world.
type Destination struct {
	Number placement.DestinationID
	Name   string
	Rate   float64
	Owners int
	Region string
}

// World is what a control process assigns: nodes and destinations.
type World struct {
	Nodes        []Node
	Destinations []Destination
}

// ParseWorld reads a world file.
func ParseWorld(text []byte) (*World, error) { return &World{}, nil }
