package scaletest

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"time"
)

// restAfterStart is how long a fleet rests after its start, for late placements that the arrival of nodes causes.
const restAfterStart = 3 * time.Second

// start starts the processes, and waits until each destination has its owners.
func (f *fleetRun) start(ctx context.Context) error {
	began := time.Now()
	if err := f.startControl(ctx); err != nil {
		return err
	}
	for zone := range f.fleet.Zones {
		if err := f.startZone(ctx, zone); err != nil {
			return err
		}
	}
	if err := f.awaitFirstAssignments(ctx); err != nil {
		return err
	}
	last := slices.Max(f.tracker.lastAt)
	f.result.StartSeconds = time.Duration(last - began.UnixNano()).Seconds()
	return nil
}

// startZone starts the process of the hollow nodes of a zone.
func (f *fleetRun) startZone(ctx context.Context, zone int) error {
	config := f.childConfig()
	for node := range f.fleet.Nodes {
		if zoneOf(node, f.fleet.Zones) == zone {
			config.Nodes = append(config.Nodes, node)
		}
	}
	c, err := startChild(ctx, zoneName(zone), RoleNodes, config, f.env.options, f.events)
	if c != nil {
		f.zones = append(f.zones, c)
	}
	return err
}

// awaitFirstAssignments waits until all destinations are settled among all nodes. The first nodes to come own all
// of them for a moment.
func (f *fleetRun) awaitFirstAssignments(ctx context.Context) error {
	expected := min(f.fleet.Nodes, f.fleet.Destinations*f.fleet.Owners)
	if err := f.waitUntil(ctx, nil, func() bool { return len(f.tracker.reported) >= expected }); err != nil {
		return fmt.Errorf("%w; %d nodes have assignments", err, len(f.tracker.reported))
	}
	if err := f.pause(ctx, restAfterStart, nil); err != nil {
		return err
	}
	return f.settle(ctx, nil)
}

// childConfig returns what all processes are configured with.
func (f *fleetRun) childConfig() childConfig {
	return childConfig{
		Fleet: f.fleet, Seed: f.env.scenario.Seed, StateDir: f.dir, Address: f.address, Machines: f.addresses,
		LeaseMS: f.fleet.Lease.Milliseconds(),
	}
}

// startControl starts the control process and waits until it listens, or starts the control machines.
func (f *fleetRun) startControl(ctx context.Context) error {
	if f.fleet.Machines > 0 {
		return f.startMachines(ctx)
	}
	config := f.childConfig()
	config.Replay = f.made
	config.StateDir = filepath.Join(f.dir, RoleControl)
	if err := os.MkdirAll(config.StateDir, 0o700); err != nil {
		return err
	}
	var err error
	if f.control, err = startChild(ctx, RoleControl, RoleControl, config, f.env.options, f.events); err != nil {
		return err
	}
	address := ""
	observe := func(e event) {
		if e.Kind == eventReady {
			address = e.Address
		}
	}
	err = f.waitUntil(ctx, observe, func() bool { return address != "" })
	f.address = address
	return err
}

// startMachines starts the control machines, waits for a leader, and has the quorum agree on the cluster spec.
func (f *fleetRun) startMachines(ctx context.Context) error {
	for range f.fleet.Machines {
		address, err := f.ports.Next()
		if err != nil {
			return err
		}
		f.addresses = append(f.addresses, address)
	}
	for i := range f.fleet.Machines {
		if err := f.startMachine(ctx, i+1); err != nil {
			return err
		}
	}
	if err := f.awaitLeader(ctx); err != nil {
		return err
	}
	if err := f.control.send(command{Op: opSpec}); err != nil {
		return err
	}
	agreed := false
	observe := func(e event) { agreed = agreed || e.Kind == eventChanged }
	return f.waitUntil(ctx, observe, func() bool { return agreed })
}

// startMachine starts a control machine, numbered from 1.
func (f *fleetRun) startMachine(ctx context.Context, number int) error {
	name := fmt.Sprint(RoleControl, "-", number)
	config := f.childConfig()
	config.Machine = number
	config.StateDir = filepath.Join(f.dir, name)
	c, err := startChild(ctx, name, RoleControl, config, f.env.options, f.events)
	if c != nil {
		f.machines = append(f.machines, c)
	}
	return err
}

// awaitLeader waits until a control machine leads the region.
func (f *fleetRun) awaitLeader(ctx context.Context) error {
	f.control = nil
	return f.waitUntil(ctx, nil, func() bool { return f.control != nil })
}
