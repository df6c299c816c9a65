package scaletest

import (
	"fmt"
	"math/rand/v2"
	"wingmount/decide/placement"
)

const (
	regions        = 3
	placementZones = 11
	// totalRate is the rate of all 170,000 destinations together, and meanRate that of one, in calls a second.
	totalRate = 3_500_000
	meanRate  = totalRate / 170_000.0
	// placementOwners is how many owners a destination has where a scenario does not set them.
	placementOwners = 2
)

// nodeName returns the name of a node in all runs.
func nodeName(index int) string { return fmt.Sprintf("node-%04d", index) }

// zoneOf returns the zone of a node. Nodes are spread evenly.
func zoneOf(index, zones int) int { return index % zones }

// zoneName returns the name of a zone.
func zoneName(zone int) string { return fmt.Sprintf("zone-%02d", zone) }

// regionName returns the name of the region of a zone.
func regionName(zone int) string { return fmt.Sprintf("region-%d", zone%regions) }

// rates draws the rates of destinations, exponentially distributed around [meanRate].
func rates(count int, seed uint64) []float64 {
	rng := rand.New(rand.NewPCG(seed, 3))
	all := make([]float64, count)
	for i := range all {
		all[i] = meanRate * rng.ExpFloat64()
	}
	return all
}

// placementInput returns nodes in [placementZones] zones and destinations of [placementOwners] owners each.
func placementInput(nodes, destinations int, seed uint64) placement.Input {
	var input placement.Input
	for i := range nodes {
		zone := zoneOf(i, placementZones)
		input.Nodes = append(input.Nodes, placement.Node{
			ID: placement.NodeID(nodeName(i)), Region: regionName(zone),
			Zone: zoneName(zone), Weight: 1,
		})
	}
	for i, rate := range rates(destinations, seed) {
		input.Destinations = append(input.Destinations, placement.Destination{ID: placement.DestinationID(i), Rate: rate, Owners: placementOwners})
	}
	return input
}
