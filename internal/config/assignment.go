package config

import (
	"cmp"
	"fmt"
	"time"
	"wingmount/decide/lease"
	"wingmount/internal/control"
)

// Limits of [assignment].
const (
	maxControlAddresses = 16
	maxOwnersKept       = 1 << 20
	maxOwnersKeptFor    = 10 * time.Minute
)

// defaultAssignmentState is the default of Assignment.State.
const defaultAssignmentState = "assignment.state"

// Assignment is the section with the control processes that assign destinations to this node. Without the section, the
// node accepts messages for all destinations.
type Assignment struct {
	// Control lists the HOST:PORT of the region's control process, or of the processes that may take over from it.
	Control []string `toml:"control"`
	// State is the file that persists the highest incarnation seen and the process id across restarts: see
	// control.AgentConfig.StateFile.
	State string `toml:"state"`
	// RegionShare is the fraction of each destination's rate limit that this region may use.
	RegionShare float64 `toml:"region_share"`
	// OwnersKeptFor is the time for which owners of destinations that are not assigned to this node are cached, and
	// OwnersMax the maximum number of cached destinations.
	OwnersKeptFor Duration `toml:"owners_kept_for"`
	OwnersMax     int      `toml:"owners_max"`
	// Destinations is the source of endpoints and rate limits: destinationsFromFile or destinationsFromControl.
	Destinations string `toml:"destinations"`
	// Buildings lists the availability zones in which endpoints may be, with destinationsFromControl.
	Buildings []string `toml:"buildings"`
}

// Values of Assignment.Destinations.
const (
	destinationsFromFile    = "file"    // the node's own file
	destinationsFromControl = "control" // the control process, for the destinations that it assigns to the node
)

// Distributed reports whether destinations come from the control process.
func (a *Assignment) Distributed() bool {
	return a != nil && a.Destinations == destinationsFromControl
}

// setDefaults sets the defaults of unset settings. A nil section stays off.
func (a *Assignment) setDefaults() {
	if a == nil {
		return
	}
	a.State = cmp.Or(a.State, defaultAssignmentState)
	a.RegionShare = cmp.Or(a.RegionShare, 1)
	a.OwnersKeptFor = cmp.Or(a.OwnersKeptFor, Duration(control.DefaultOwnerCacheTTL))
	a.OwnersMax = cmp.Or(a.OwnersMax, control.DefaultOwnerCacheSize)
	a.Destinations = cmp.Or(a.Destinations, destinationsFromFile)
}

// check reports the errors of the section.
func (a *Assignment) check(f *File, c *checker) {
	if a == nil {
		return
	}
	if len(a.Control) == 0 {
		c.report("assignment.control", "is missing")
	}
	if len(a.Control) > maxControlAddresses {
		c.report("assignment.control", "got %d addresses, want at most %d", len(a.Control), maxControlAddresses)
	}
	for i, address := range a.Control {
		c.address(fmt.Sprintf("assignment.control[%d]", i), address)
	}
	if !(a.RegionShare > 0 && a.RegionShare <= 1) {
		c.report("assignment.region_share", "%v is not above 0 and up to 1", a.RegionShare)
	}
	if a.OwnersKeptFor < 0 || a.OwnersKeptFor > Duration(maxOwnersKeptFor) {
		c.report("assignment.owners_kept_for", "%v is not between 0 and %v", time.Duration(a.OwnersKeptFor), maxOwnersKeptFor)
	}
	if a.OwnersMax < 1 || a.OwnersMax > maxOwnersKept {
		c.report("assignment.owners_max", "%d is not between 1 and %d", a.OwnersMax, maxOwnersKept)
	}
	a.checkDistribution(f, c)
	if len(f.Name) > lease.MaxNameLength {
		c.report("name", "got %d bytes, want at most %d with [assignment]", len(f.Name), lease.MaxNameLength)
	}
	if f.Store.Kind == "postgres" {
		c.report("store.kind", "must be \"sqlite\" or \"journal\" with [assignment]: each node needs its own store")
	}
	if f.Limits.Nodes != 1 {
		c.report("limits.nodes", "got %d, want 1 with [assignment]: each node receives its own share of a rate", f.Limits.Nodes)
	}
}

// checkDistribution reports errors of Destinations and Buildings.
func (a *Assignment) checkDistribution(f *File, c *checker) {
	switch a.Destinations {
	case destinationsFromFile:
		if len(a.Buildings) > 0 {
			c.report("assignment.buildings", "only allowed with destinations = %q", destinationsFromControl)
		}
	case destinationsFromControl:
		if len(f.Destinations) > 0 {
			c.report("destination", "got %d, want none with assignment.destinations = %q", len(f.Destinations), destinationsFromControl)
		}
		if len(a.Buildings) == 0 {
			c.report("assignment.buildings", "is missing")
		}
	default:
		c.report("assignment.destinations", "got %q, want %q or %q", a.Destinations, destinationsFromFile, destinationsFromControl)
	}
	seen := map[string]bool{}
	for i, building := range a.Buildings {
		if building == "" || seen[building] {
			c.report(fmt.Sprintf("assignment.buildings[%d]", i), "%q is empty or a duplicate", building)
		}
		seen[building] = true
	}
}
