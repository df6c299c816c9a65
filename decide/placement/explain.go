package placement

// Reason says why a candidate owns a destination or was passed over.
type Reason string

// The reasons of an Explanation.
const (
	// ReasonOwner is a candidate that owns the destination.
	ReasonOwner Reason = "owner"
	// ReasonDraining is a node that is draining.
	ReasonDraining Reason = "draining"
	// ReasonRegion is a node outside the region of the destination.
	ReasonRegion Reason = "region"
	// ReasonZoneTaken is a node in the zone of another owner.
	ReasonZoneTaken Reason = "zone taken"
	// ReasonLoadBound is a node whose load is at its bound.
	ReasonLoadBound Reason = "load bound"
	// ReasonEnoughOwners is a node that could own the destination, which has its owners already.
	ReasonEnoughOwners Reason = "enough owners"
)

// Candidate is one node as seen by one destination.
type Candidate struct {
	Node   NodeID
	Region string
	Zone   string
	Reason Reason
	// Load is the node's load, Fair its fair load and Limit the load from which it takes nothing more, in
	// messages a second.
	Load, Fair, Limit float64
}

// Explanation tells an operator why a destination has its owners.
type Explanation struct {
	Destination DestinationID
	// Known is false for a destination that the table does not have; the other fields are empty then.
	Known  bool
	Rate   float64
	Wanted int
	Region string
	Owners []NodeID
	// Hot says that the part of each owner alone is larger than the owner's fair load.
	Hot bool
	// Candidates are all nodes, best ranked first.
	Candidates []Candidate
}

// Explain tells why the destination has its owners.
func (t *Table) Explain(destination DestinationID) Explanation {
	place, known := t.place(destination)
	if !known {
		return Explanation{Destination: destination}
	}
	return Explanation{
		Destination: destination,
		Known:       true,
		Rate:        t.rates[place].rate(),
		Wanted:      len(t.ownersAt(place)),
		Region:      t.names[t.regions[place]],
		Owners:      t.Owners(destination),
	}
}
