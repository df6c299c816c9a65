package scaletest

import (
	"errors"
	"fmt"
	"time"
)

// memoryCheckInterval is how often the memory of all processes is checked.
const memoryCheckInterval = time.Second

// fleetUsage is what the processes of a fleet have used.
type fleetUsage struct {
	control  Usage
	follower Usage // of a control machine that does not lead, on average
	nodes    Usage // of all nodes together
}

// usage reads what the processes have used.
func (f *fleetRun) usage() (u fleetUsage, err error) {
	if u.control, err = f.control.usage(); err != nil {
		return u, err
	}
	for _, zone := range f.zones {
		used, zoneErr := zone.usage()
		err = errors.Join(err, zoneErr)
		u.nodes = u.nodes.plus(used)
	}
	if err != nil {
		return u, err
	}
	u.follower, err = f.followerUsage()
	return u, err
}

// followerUsage returns what the control machines that do not lead have used, on average.
func (f *fleetRun) followerUsage() (Usage, error) {
	var sum Usage
	count := 0
	for _, m := range f.machines {
		if m == f.control || m.ended {
			continue
		}
		used, err := m.usage()
		if err != nil {
			return sum, err
		}
		sum = sum.plus(used)
		count++
	}
	if count == 0 {
		return sum, nil
	}
	return sum.dividedBy(count), nil
}

// runningNodes returns how many nodes run.
func (f *fleetRun) runningNodes() int {
	count := 0
	for node := range f.fleet.Nodes {
		if !f.zones[zoneOf(node, f.fleet.Zones)].ended {
			count++
		}
	}
	return count
}

// checkMemory records the memory of all processes. It returns [ErrMemory] where the scenario does not allow so much.
func (f *fleetRun) checkMemory() error {
	u, err := f.usage()
	if err != nil {
		return err
	}
	followers := int64(max(0, len(f.machines)-1))
	used := u.control.Resident + u.nodes.Resident + residentMemory() + u.follower.Resident*followers
	f.result.PeakMemory = max(f.result.PeakMemory, used)
	if used > int64(f.env.scenario.MemoryMB)<<20 {
		return fmt.Errorf("%w: %d MB", ErrMemory, used>>20)
	}
	return nil
}

// startMeter begins to measure what is used. The function that it returns reads the meter.
func (f *fleetRun) startMeter() (func() (*Cost, error), error) {
	before, err := f.usage()
	if err != nil {
		return nil, err
	}
	began := time.Now()
	return func() (*Cost, error) {
		span := time.Since(began)
		after, err := f.usage()
		if err != nil {
			return nil, err
		}
		return newCost(before, after, span, f.runningNodes()), nil
	}, nil
}

// newCost returns the cost of a span from the usage at its begin and at its end.
func newCost(before, after fleetUsage, span time.Duration, nodes int) *Cost {
	seconds, count := span.Seconds(), float64(nodes)
	control := after.control.since(before.control)
	follower := after.follower.since(before.follower)
	used := after.nodes.since(before.nodes)
	bytes := float64(control.IO) / seconds
	return &Cost{
		Seconds:        seconds,
		ControlCores:   control.CPU.Seconds() / seconds,
		ControlBytes:   bytes,
		ControlMemory:  after.control.Resident,
		ControlPeak:    after.control.Peak,
		NodeCores:      used.CPU.Seconds() / seconds / count,
		NodeBytes:      bytes / count,
		NodeMemory:     float64(after.nodes.Resident) / count,
		FollowerCores:  follower.CPU.Seconds() / seconds,
		FollowerBytes:  float64(follower.IO) / seconds,
		FollowerMemory: after.follower.Resident,
	}
}
