package clusterspec

import (
	"errors"
	"fmt"
	"hash/fnv"
	"net"
	"slices"
	"wingmount/decide/placement"
)

// Limits of a destination config.
const (
	// MaxEndpoints is the maximum number of endpoints of a destination.
	MaxEndpoints = 256
	// MaxBundle is the maximum number of messages in one call.
	MaxBundle = 100
	// MaxTextBytes is the maximum length of an endpoint's name, zone and address.
	MaxTextBytes = 255
	// maxLimit is the maximum rate limit of a destination in calls a second.
	maxLimit = 1e9
)

// Endpoint is one server of a destination.
type Endpoint struct {
	Name    string `toml:"name" json:"name"`         // unique in a spec
	Address string `toml:"address" json:"address"`   // HOST:PORT
	Zone    string `toml:"building" json:"building"` // availability zone; the partner drops duplicates of a message only within one zone
	// Draining reports that the endpoint processes the messages that it has accepted and accepts no new ones.
	Draining bool `toml:"drains" json:"drains,omitempty"`
}

// DestinationConfig is the configuration that a node needs to deliver to a destination.
type DestinationConfig struct {
	Destination placement.DestinationID `json:"destination"`
	// Limit is the destination's rate limit for all regions together, in calls a second; 0 if unknown.
	Limit float64 `json:"limit,omitempty"`
	// RoutesApart reports that each endpoint has its own limit and its own outages.
	RoutesApart bool       `json:"routes_apart,omitempty"`
	Bundle      int        `json:"bundle"` // maximum number of messages in one call
	Endpoints   []Endpoint `json:"endpoints"`
}

// ErrInvalidConfig is wrapped by the errors of DestinationConfig.Validate.
var ErrInvalidConfig = errors.New("the record of a destination is not valid")

// Validate returns an error that joins all faults of a config, or nil. Each fault wraps ErrInvalidConfig.
func (c *DestinationConfig) Validate() error {
	var errs []error
	report := func(format string, args ...any) {
		where := fmt.Sprintf("destination %d: ", c.Destination)
		errs = append(errs, fmt.Errorf("%w: "+where+format, append([]any{ErrInvalidConfig}, args...)...))
	}
	if !(c.Limit >= 0 && c.Limit <= maxLimit) {
		report("limit: %v is not between 0 and %v", c.Limit, float64(maxLimit))
	}
	if c.Bundle < 1 || c.Bundle > MaxBundle {
		report("bundle: %d is not between 1 and %d", c.Bundle, MaxBundle)
	}
	if len(c.Endpoints) == 0 {
		report("it has no endpoint")
	}
	if len(c.Endpoints) > MaxEndpoints {
		report("there are %d endpoints, %d at most", len(c.Endpoints), MaxEndpoints)
	}
	for i, endpoint := range c.Endpoints {
		for _, fault := range endpoint.faults() {
			report("endpoint %d (%.80q): %s", i+1, endpoint.Name, fault)
		}
	}
	return errors.Join(errs...)
}

// faults returns a description of each invalid field of an endpoint.
func (e Endpoint) faults() []string {
	var found []string
	if e.Name == "" || len(e.Name) > MaxTextBytes {
		found = append(found, fmt.Sprintf("name: has %d bytes, 1 to %d are allowed", len(e.Name), MaxTextBytes))
	}
	if e.Zone == "" || len(e.Zone) > MaxTextBytes {
		found = append(found, fmt.Sprintf("building: has %d bytes, 1 to %d are allowed", len(e.Zone), MaxTextBytes))
	}
	if _, port, err := net.SplitHostPort(e.Address); err != nil || port == "" || len(e.Address) > MaxTextBytes {
		found = append(found, fmt.Sprintf("address: %.80q is no HOST:PORT", e.Address))
	}
	return found
}

// Equal reports whether two configs are equal.
func (c *DestinationConfig) Equal(other *DestinationConfig) bool {
	return c.Destination == other.Destination && c.Limit == other.Limit && c.RoutesApart == other.RoutesApart &&
		c.Bundle == other.Bundle && slices.Equal(c.Endpoints, other.Endpoints)
}

// EndpointID returns an id that is unique to an endpoint. An endpoint of the same name in another zone, of another
// destination or of another kind has a different id, because statistics of the one do not apply to the other.
func (c *DestinationConfig) EndpointID(endpoint Endpoint) string {
	identity := fnv.New32a()
	_, _ = fmt.Fprintf(identity, "%s %d %s", c.Kind(), c.Destination, endpoint.Zone) // writing to a hash never fails
	return fmt.Sprintf("%s#%08x", endpoint.Name, identity.Sum32())
}

// Kind returns the name of the destination's kind: see KindName.
func (c *DestinationConfig) Kind() string { return KindName(c.RoutesApart, c.Bundle) }

// KindName returns the name of a kind of destinations: those with the same routesApart and bundle. Nodes have separate
// policy settings for each kind.
func KindName(routesApart bool, bundle int) string {
	return fmt.Sprintf("apart=%v bundle=%d", routesApart, bundle)
}
