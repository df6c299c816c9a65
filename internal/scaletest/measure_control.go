package scaletest

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

// measureControlAtRest measures a single control process and its agents at rest.
func measureControlAtRest(ctx context.Context, size fleetSize, _ uint64, env environment) ([]value, error) {
	return measureControl(ctx, Fleet{Nodes: size.nodes, Destinations: size.destinations}, env)
}

// The fleet in which a quorum of control machines is measured, where it differs.
const (
	quorumMachines  = 7
	quorumEndpoints = 2
	quorumChanges   = 6
	quorumEvery     = time.Second
)

// measureQuorum measures control machines of a quorum, and nodes that get destination configs, at rest and with
// changes.
func measureQuorum(ctx context.Context, size fleetSize, _ uint64, env environment) ([]value, error) {
	return measureControl(ctx, Fleet{
		Nodes: size.nodes, Destinations: size.destinations, Endpoints: quorumEndpoints, Machines: quorumMachines,
		ChangeCount: quorumChanges, Every: Duration{quorumEvery},
	}, env)
}

// measureControl measures a fleet at rest in which every node has a decision module, and the cost of its changes.
func measureControl(ctx context.Context, fleet Fleet, env environment) ([]value, error) {
	fleet.Name, fleet.Zones, fleet.Owners = "slope", controlZones, placementOwners
	fleet.Lease, fleet.Senders, fleet.Idle = Duration{controlLease}, true, Duration{controlIdle}
	result, err := runFleet(ctx, fleet, env)
	if err != nil {
		return nil, err
	}
	c := result.Idle
	values := []value{
		{"control: processor", "cores", c.ControlCores},
		{"control: bytes", "B/s", c.ControlBytes},
		{"control: memory", "B", float64(c.ControlMemory)},
		{"node: processor", "cores", c.NodeCores},
		{"node: bytes", "B/s", c.NodeBytes},
		{"node: memory", "B", c.NodeMemory},
		{"all destinations owned after", "s", result.StartSeconds},
	}
	if changed := result.ChangesCost; changed != nil {
		perChange := changed.Seconds / float64(fleet.ChangeCount)
		values = append(values,
			value{"follower: processor", "cores", c.FollowerCores},
			value{"follower: bytes", "B/s", c.FollowerBytes},
			value{"follower: memory", "B", float64(c.FollowerMemory)},
			value{"control: processor of a change", "s", (changed.ControlCores - c.ControlCores) * perChange},
			value{"follower: processor of a change", "s", (changed.FollowerCores - c.FollowerCores) * perChange},
			value{"change applied, the worst", "s", result.ChangeLatencies.Worst})
	}
	return values, nil
}
