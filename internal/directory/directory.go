// Package directory defines the endpoint list that the sources of endpoints (the platform, the configuration, the control
// machine) send to the engine. The platform defines its JSON form.
//
// A list is not synchronized: its sender must not change it after sending it.
//
// Start reading at [List].
package directory

import (
	"encoding/json"
	"fmt"
	"math"
)

// List is a complete endpoint list, or the changes since an earlier one.
type List struct {
	Revision int64    `json:"revision"`
	Complete bool     `json:"complete"` // endpoints that are not in Members have been removed
	Members  []Member `json:"members"`
	// Live is set for a list received since this process started, and clear for one from a cache.
	Live bool `json:"-"`
}

// Phases of an endpoint.
const (
	Active   = "active"
	Draining = "leaving" // completes its calls and accepts no new ones
	Removed  = "left"    // only in lists of changes
	// Unreadable marks an entry that can't be parsed. It is set on receipt and never sent. The endpoint is unchanged.
	Unreadable = "unreadable"
)

// Member is the entry of one endpoint.
type Member struct {
	ID          string  `json:"id"`        // the same on all nodes
	HostPort    string  `json:"host_port"` // may differ between nodes
	Zone        string  `json:"locality"`  // name of the availability zone
	Kind        string  `json:"flavor"`    // name of the destination's kind
	Destination int     `json:"cell"`      // number of the destination
	Phase       string  `json:"phase"`
	Size        float64 `json:"size"` // rate in calls per second; see policy.Settings.RateAccuracy
}

// MaxPlatformDestination is the highest destination number in the platform's list.
const MaxPlatformDestination = math.MaxUint16

// MarkOutOfRange sets the phase of each entry whose destination is not between 0 and highest to [Unreadable]. It returns
// an error with the position in the list for each such entry.
func (l *List) MarkOutOfRange(highest int) (errs []error) {
	for i := range l.Members {
		m := &l.Members[i]
		if m.Destination >= 0 && m.Destination <= highest {
			continue
		}
		errs = append(errs, fmt.Errorf("entry %d of the list (%.80q): cell %d is not between 0 and %d", i, m.ID, m.Destination, highest))
		*m = Member{ID: m.ID, Phase: Unreadable}
	}
	return errs
}

// UnmarshalJSON parses a list. An entry that can't be parsed does not make the list invalid, because the list may
// announce the drain of another endpoint. Such an entry gets the phase [Unreadable], and keeps its ID if the ID can be
// parsed; otherwise its position in the list becomes its ID.
func (l *List) UnmarshalJSON(text []byte) error {
	var list struct {
		Revision int64
		Complete bool
		Members  []json.RawMessage
	}
	if err := json.Unmarshal(text, &list); err != nil {
		return err
	}
	*l = List{Revision: list.Revision, Complete: list.Complete, Members: make([]Member, len(list.Members))}
	for i, entry := range list.Members {
		m := &l.Members[i]
		if json.Unmarshal(entry, m) == nil && m.ID != "" {
			continue
		}
		*m = Member{ID: entryID(entry, i), Phase: Unreadable}
	}
	return nil
}

// entryID returns the ID of an entry that can't be parsed, or its position in the list if the ID can't be parsed either.
func entryID(entry []byte, position int) string {
	var named struct{ ID any }
	_ = json.Unmarshal(entry, &named) // on an error the ID stays empty
	if id, _ := named.ID.(string); id != "" {
		return id
	}
	return fmt.Sprintf("entry %d of the list", position)
}
