// Package directory says what a list of endpoints is: what whoever follows a
// directory hands to the engine.
package directory

import (
	"encoding/json"
	"fmt"
	"math"
)

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

// PlatformDestinations is the highest number of a destination in the platform's list.
const PlatformDestinations = math.MaxUint16

// Restrict marks each entry whose destination's number is not between 0 and highest as [Unreadable], and
// returns an error for each of them, with its place.
func (l *List) Restrict(highest int) (errs []error) {
	for i := range l.Members {
		m := &l.Members[i]
		if m.Cell >= 0 && m.Cell <= highest {
			continue
		}
		errs = append(errs, fmt.Errorf("entry %d of the list (%.80q): cell %d is not between 0 and %d", i, m.ID, m.Cell, highest))
		*m = Member{ID: m.ID, Phase: Unreadable}
	}
	return errs
}

// Unreadable is the phase of an entry that could not be read: of it nothing changes.
const Unreadable = "unreadable"

// UnmarshalJSON reads a list. An entry that can't be read costs nothing but itself, since a drain that
// stands beside it counts as told: it is kept by its id with the phase [Unreadable], and one
// without an id names its place in the list instead.
func (l *List) UnmarshalJSON(text []byte) error {
	var in struct {
		Revision int64
		Complete bool
		Members  []json.RawMessage
	}
	if err := json.Unmarshal(text, &in); err != nil {
		return err
	}
	*l = List{Revision: in.Revision, Complete: in.Complete, Members: make([]Member, len(in.Members))}
	for i, text := range in.Members {
		m := &l.Members[i]
		if json.Unmarshal(text, m) == nil && m.ID != "" {
			continue
		}
		var named struct{ ID any }
		_ = json.Unmarshal(text, &named) // what can't be read has no id
		*m = Member{Phase: Unreadable}
		if m.ID, _ = named.ID.(string); m.ID == "" {
			m.ID = fmt.Sprintf("entry %d of the list", i)
		}
	}
	return nil
}
