package scaletest

import (
	"context"
	"errors"
	"fmt"
	"os"
	"slices"
	"time"
	"wingmount/internal/loopback"
)

// fleetRun is a fleet while it runs. It belongs to one goroutine.
type fleetRun struct {
	fleet   Fleet
	env     environment
	dir     string
	address string // of the control process

	machines  []*child // the control machines, where there is a quorum; control is then the leader of the region
	addresses []string // of the machines
	control   *child
	zones     []*child // the processes of the hollow nodes
	real      realNodes
	ports     loopback.Ports

	events      chan event
	memoryCheck *time.Ticker

	tracker *tracker
	made    []change // all changes so far
	result  FleetResult
}

// phase is a part of a run. It does nothing where the scenario does not ask for it.
type phase struct {
	name string
	run  func(context.Context) error
}

// phases returns the phases of a run in their order.
func (f *fleetRun) phases() []phase {
	return []phase{
		{"start", f.start},
		{"real nodes", f.measureReal},
		{"idle", f.idle},
		{"changes", f.changeOneByOne},
		{"burst", f.burst},
		{"restarts", f.restarts},
		{"restart of the control process", f.restartControl},
		{"loss of a zone", f.loseZone},
	}
}

// runFleet starts a fleet, runs its phases and ends it. On an error it returns the result so far.
func runFleet(ctx context.Context, fleet Fleet, env environment) (_ FleetResult, err error) {
	dir, err := os.MkdirTemp("", "wingmount-scale-")
	if err != nil {
		return FleetResult{}, err
	}
	ctx, cancel := context.WithCancel(ctx)
	f := newFleetRun(fleet, env, dir)
	defer func() {
		f.memoryCheck.Stop()
		cancel()
		err = errors.Join(err, f.stop(), os.RemoveAll(dir))
	}()
	for _, p := range f.phases() {
		if err := p.run(ctx); err != nil {
			return f.result, fmt.Errorf("%s: %w", p.name, err)
		}
	}
	return f.result, nil
}

func newFleetRun(fleet Fleet, env environment, dir string) *fleetRun {
	return &fleetRun{
		fleet: fleet, env: env, dir: dir, address: "127.0.0.1:0",
		events: make(chan event, 1024), memoryCheck: time.NewTicker(memoryCheckInterval), tracker: newTracker(fleet),
		result: FleetResult{
			Name: fleet.Name, Nodes: fleet.Nodes, Zones: fleet.Zones, Destinations: fleet.Destinations,
			Owners: fleet.Owners, Endpoints: fleet.Endpoints, Machines: fleet.Machines, LeaseSeconds: fleet.Lease.Seconds(),
		},
	}
}

// stop ends all processes.
func (f *fleetRun) stop() (err error) {
	defer func() { err = errors.Join(err, f.real.stop(), f.ports.Close()) }()
	for _, c := range slices.Concat(f.zones, f.machines, []*child{f.control}) {
		if c != nil {
			err = errors.Join(err, c.kill())
		}
	}
	return err
}
