// Package directory says what a list of endpoints is: what whoever follows a
// directory hands to the engine.
package directory

// List is the endpoints, or what has changed of them.
type List struct {
	Revision int64    `json:"revision"`
	Complete bool     `json:"complete"` // endpoints that are missing are gone
	Members  []Member `json:"members"`
	// Fresh says that the directory told it in this life of the node.
	Fresh bool `json:"-"`
}

// The phases of an endpoint.
const (
	Active  = "active"
	Leaving = "leaving" // finishes what it has, wants nothing new
	Left    = "left"    // gone; among changes only
)

// Member is one endpoint in a list.
type Member struct {
	ID       string  `json:"id"`        // the same at every node
	HostPort string  `json:"host_port"` // may differ from node to node
	Locality string  `json:"locality"`  // its building, by name
	Flavor   string  `json:"flavor"`    // the kind of its destination, by name
	Cell     int     `json:"cell"`      // the number of its destination
	Phase    string  `json:"phase"`
	Size     float64 `json:"size"` // listed rate in calls a second, see policy.Settings.Listing
}
