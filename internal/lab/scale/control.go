package scale

import (
	"context"
	"time"
)

// The fleet in which the control process and agents are measured at rest.
const (
	controlZones = 11
	controlLease = 10 * time.Second
	controlIdle  = 6 * time.Second
)

func measureControlNodes(ctx context.Context, slope Slope, size int, _ uint64, env environment) ([]value, error) {
	return measureControl(ctx, size, max(1, slope.Destinations), env)
}

func measureControlDestinations(ctx context.Context, slope Slope, size int, _ uint64, env environment) ([]value, error) {
	return measureControl(ctx, max(1, slope.Nodes), size, env)
}

// measureControl runs a fleet that is left alone, in which every node has a decision module.
func measureControl(ctx context.Context, nodes, destinations int, env environment) ([]value, error) {
	result, err := runFleet(ctx, Fleet{Name: "slope", Nodes: nodes, Zones: controlZones, Destinations: destinations, Owners: placementOwners,
		Lease: Duration{controlLease}, Senders: true, Idle: Duration{controlIdle}}, env)
	if err != nil {
		return nil, err
	}
	c := result.Idle
	return []value{
		{"control: processor", "cores", c.ControlCores},
		{"control: bytes", "B/s", c.ControlBytes},
		{"control: memory", "B", float64(c.ControlMemory)},
		{"node: processor", "cores", c.NodeCores},
		{"node: bytes", "B/s", c.NodeBytes},
		{"node: memory", "B", c.NodeMemory},
		{"all owned after", "s", result.StartSeconds},
	}, nil
}
