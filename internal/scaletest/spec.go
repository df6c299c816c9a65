package scaletest

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"wingmount/decide/placement"
	"wingmount/internal/clusterspec"
)

// initialLimit is the limit of a destination until it is changed, in calls a second.
const initialLimit = 2 * meanRate

// newSpec returns the cluster spec of a fleet, with rates drawn from the seed.
func newSpec(fleet Fleet, seed uint64) *clusterspec.Spec {
	spec := &clusterspec.Spec{}
	for i := range fleet.Nodes {
		zone := zoneOf(i, fleet.Zones)
		region := regionName(zone)
		if fleet.Machines > 0 {
			region = quorumRegion
		}
		spec.Nodes = append(spec.Nodes, clusterspec.Node{
			Name: nodeName(i), Region: region, Zone: zoneName(zone), Weight: 1,
			Address: fmt.Sprintf("127.0.0.1:%d", 1+i),
		})
	}
	for i, rate := range rates(fleet.Destinations, seed) {
		spec.Destinations = append(spec.Destinations, newDestination(i, rate, fleet))
	}
	addReal(spec, fleet)
	return spec
}

func newDestination(number int, rate float64, fleet Fleet) clusterspec.Destination {
	d := clusterspec.Destination{
		Number: placement.DestinationID(number), Name: fmt.Sprintf("destination-%06d", number), Rate: rate,
		Owners: fleet.Owners, Bundle: 1,
	}
	if fleet.Endpoints > 0 {
		d.Limit = initialLimit
	}
	for i := range fleet.Endpoints {
		d.Endpoints = append(d.Endpoints, clusterspec.Endpoint{
			Name:    fmt.Sprintf("endpoint-%06d-%d", number, i+1),
			Address: fmt.Sprintf("127.0.0.1:%d", 1+number%math.MaxUint16), Zone: zoneName(i),
		})
	}
	return d
}

// findDestination returns the position of a destination in a spec by its number, -1 if the spec does not have it.
func findDestination(spec *clusterspec.Spec, number int) int {
	return slices.IndexFunc(spec.Destinations, func(d clusterspec.Destination) bool {
		return d.Number == placement.DestinationID(number)
	})
}

// applyChange makes a change in a spec. A destination that it does not have is added.
func applyChange(spec *clusterspec.Spec, c change, fleet Fleet) {
	at := findDestination(spec, c.Destination)
	if at < 0 {
		spec.Destinations = append(spec.Destinations, newDestination(c.Destination, meanRate, fleet))
		return
	}
	spec.Destinations[at] = changed(spec.Destinations[at], c)
}

// changed returns a destination after a change.
func changed(d clusterspec.Destination, c change) clusterspec.Destination {
	d.Owners = cmp.Or(c.Owners, d.Owners)
	d.Limit = cmp.Or(c.Limit, d.Limit)
	return d
}
