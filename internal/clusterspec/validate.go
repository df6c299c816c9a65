package clusterspec

import (
	"errors"
	"fmt"
	"net"
	"wingmount/decide/lease"
	"wingmount/decide/placement"
)

const (
	// MaxNodes is the maximum number of nodes of a spec.
	MaxNodes = 4096
	// maxErrors is the maximum number of faults that one error joins.
	maxErrors = 20
)

// faults collects up to maxErrors errors of a spec.
type faults []error

func (f *faults) add(format string, args ...any) {
	if len(*f) < maxErrors {
		*f = append(*f, fmt.Errorf(format, args...))
	}
}

// Validate returns an error that joins up to maxErrors faults of a spec, or nil.
func (s *Spec) Validate() error {
	var found faults
	if len(s.Nodes) > MaxNodes {
		found.add("node: there are %d, %d at most", len(s.Nodes), MaxNodes)
	}
	if len(s.Destinations) > placement.MaxDestinations {
		found.add("destination: there are %d, %d at most", len(s.Destinations), placement.MaxDestinations)
	}
	s.validateNodes(&found)
	s.validateDestinations(&found)
	s.validateConfigs(&found)
	return errors.Join(found...)
}

func (s *Spec) validateNodes(found *faults) {
	names := make(map[string]struct{}, len(s.Nodes))
	for i, node := range s.Nodes {
		where := fmt.Sprintf("node %d (%q)", i+1, node.Name)
		if node.Name == "" || len(node.Name) > lease.MaxNameLength {
			found.add("%s: name: has %d bytes, 1 to %d are allowed", where, len(node.Name), lease.MaxNameLength)
		}
		if _, duplicate := names[node.Name]; duplicate {
			found.add("%s: name: there are two of them", where)
		}
		names[node.Name] = struct{}{}
		if node.Region == "" {
			found.add("%s: region: is missing", where)
		}
		if node.Zone == "" {
			found.add("%s: zone: is missing", where)
		}
		if !(node.Weight >= placement.MinWeight && node.Weight <= placement.MaxWeight) {
			found.add("%s: weight: %v is not between %v and %v", where, node.Weight, placement.MinWeight, float64(placement.MaxWeight))
		}
		if _, port, err := net.SplitHostPort(node.Address); err != nil || port == "" {
			found.add("%s: address: %q is no HOST:PORT", where, node.Address)
		}
	}
}

func (s *Spec) validateDestinations(found *faults) {
	numbers := make(map[placement.DestinationID]struct{}, len(s.Destinations))
	for i, destination := range s.Destinations {
		where := func() string { return fmt.Sprintf("destination %d (number %d)", i+1, destination.Number) }
		if _, duplicate := numbers[destination.Number]; duplicate {
			found.add("%s: number: there are two of them", where())
		}
		numbers[destination.Number] = struct{}{}
		if !(destination.Rate > 0 && destination.Rate <= placement.MaxRate) {
			found.add("%s: rate: %v is not above 0 and up to %v", where(), destination.Rate, float64(placement.MaxRate))
		}
		if destination.Owners < 1 || destination.Owners > placement.MaxOwners {
			found.add("%s: owners: %d is not between 1 and %d", where(), destination.Owners, placement.MaxOwners)
		}
	}
}

// validateConfigs checks the configs of destinations if the spec distributes them. Endpoint names must be unique in a
// spec.
func (s *Spec) validateConfigs(found *faults) {
	if !s.DistributesConfigs() {
		return
	}
	owners := make(map[string]placement.DestinationID, len(s.Destinations))
	for i := range s.Destinations {
		config := s.Destinations[i].Config()
		if err := config.Validate(); err != nil {
			found.add("%w", err)
		}
		for _, endpoint := range config.Endpoints {
			if other, duplicate := owners[endpoint.Name]; duplicate {
				found.add("destination %d: endpoint %.80q: destination %d has one of this name", config.Destination, endpoint.Name, other)
			}
			owners[endpoint.Name] = config.Destination
		}
	}
}
