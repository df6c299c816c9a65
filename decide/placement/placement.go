// Package placement assigns destinations to sets of owner nodes.
//
// The package is pure: it reads no clock, does no I/O and starts no goroutines, and its functions are safe for
// concurrent use. [Compute] takes the nodes, the destinations and the previous table, and returns the next table. The
// same arguments give the same table, regardless of the order of nodes and destinations.
//
// The rules, in order of precedence:
//
//  1. A destination with a region is owned only by nodes of that region. A draining node owns nothing.
//  2. The owners of a destination are distinct nodes: the requested number, or all eligible nodes if there are fewer.
//  3. The owners are in different zones; they share zones only if there are fewer eligible zones than owners.
//  4. The load of a node, without its largest slot load, is at most LoadBound times its fair load.
//  5. Owners stay unchanged unless rules 1 to 4 require a move.
//
// A destination has one slot for each requested owner. Its rate is divided equally among the filled slots; the rate of
// one slot is the slot load.
//
// Start reading at compute, which executes the steps in order. Rules 1 to 3 and 5 are implemented by retainOwners and
// pick, rule 4 by rebalance, and the ranking of candidates by rank.go. docs/design/assignment.md describes the design.
package placement

// NodeID identifies a node.
type NodeID string

// DestinationID identifies a destination.
type DestinationID uint32

// Limits of one Input. Compute rejects an input that exceeds one with an *InputError.
const (
	// MaxNodes is the largest number of nodes.
	MaxNodes = 1<<16 - 2
	// MaxDestinations is the largest number of destinations.
	MaxDestinations = 1 << 20
	// MaxOwners is the largest number of owners that a destination may request.
	MaxOwners = 64
	// MaxZones is the largest number of zones, summed over all regions.
	MaxZones = 1 << 10
	// MaxRegions is the largest number of distinct regions to which destinations are restricted.
	MaxRegions = 1 << 10
	// MaxRate is the largest rate of a destination, in messages a second.
	MaxRate = 1e7
	// MinWeight and MaxWeight are the limits of a node weight.
	MinWeight = 1.0 / 1024
	MaxWeight = 1e6
	// MaxLoadBound is the largest LoadBound.
	MaxLoadBound = 100
)

// DefaultLoadBound applies to an Input whose LoadBound is zero.
const DefaultLoadBound = 1.1

// Node is a delivery node that may own destinations.
type Node struct {
	ID     NodeID
	Region string
	Zone   string
	// Weight is the node's capacity relative to the others.
	Weight float64
	// Draining excludes the node from ownership: it receives no destinations, and those it owns move to other nodes.
	Draining bool
}

// Destination is a delivery target to place on nodes.
type Destination struct {
	ID DestinationID
	// Rate is the expected load in messages a second; each owner carries an equal share.
	Rate float64
	// Owners is the requested number of owner nodes.
	Owners int
	// Region restricts the owners to one region; "" allows any region.
	Region string
}

// Input is the input of Compute, apart from the previous table.
type Input struct {
	Nodes        []Node
	Destinations []Destination
	// LoadBound limits the load of a node, without its largest slot load, as a multiple of its fair load. It must be
	// greater than 1; zero selects DefaultLoadBound.
	LoadBound float64
}

// Compute returns the table for the input. Owners in the previous table stay where the rules allow it; without a
// previous table (nil) all destinations are placed from scratch. An invalid input gives an *InputError. A destination
// without an eligible node does not cause an error: [Table.Unplaced] returns it.
func Compute(previous *Table, input Input) (*Table, error) {
	valid, err := normalize(input)
	if err != nil {
		return nil, err
	}
	return compute(previous, valid), nil
}
