package scaletest

import (
	"context"
	"time"
)

// restartedNodes waits for the first complete update of nodes after their restart.
type restartedNodes struct {
	issuedAt map[int]int64 // by node, of those that have had none
	seconds  []float64     // of the others, from the restart to the update
}

// observe records the update of a restarted node.
func (r *restartedNodes) observe(e event) {
	at, waiting := r.issuedAt[e.Node]
	if e.Kind == eventUpdate && e.Complete && waiting && e.At > at {
		r.seconds = append(r.seconds, time.Duration(e.At-at).Seconds())
		delete(r.issuedAt, e.Node)
	}
}

// restarts stops and starts nodes one after the other, at a fixed interval.
func (f *fleetRun) restarts(ctx context.Context) error {
	if f.fleet.Restarts == 0 {
		return nil
	}
	cost, err := f.startMeter()
	if err != nil {
		return err
	}
	gainedBefore := f.tracker.assignmentsGained
	restarted := &restartedNodes{issuedAt: map[int]int64{}}
	next := time.Now()
	stride := max(1, f.fleet.Nodes/f.fleet.Restarts)
	for i := range f.fleet.Restarts {
		if err := f.restartNode(i*stride%f.fleet.Nodes, restarted); err != nil {
			return err
		}
		next = next.Add(f.fleet.RestartEvery.Duration)
		if err := f.pause(ctx, time.Until(next), restarted.observe); err != nil {
			return err
		}
	}
	complete := func() bool { return len(restarted.issuedAt) == 0 && f.tracker.unsettled == 0 }
	if err := f.waitUntil(ctx, restarted.observe, complete); err != nil {
		return err
	}
	f.result.Restarts = newLatencies(restarted.seconds)
	f.result.RestartsGained = f.tracker.assignmentsGained - gainedBefore
	f.result.RestartsCost, err = cost()
	return err
}

func (f *fleetRun) restartNode(node int, restarted *restartedNodes) error {
	f.tracker.restart(node)
	restarted.issuedAt[node] = time.Now().UnixNano()
	return f.zones[zoneOf(node, f.fleet.Zones)].send(command{Op: opRestart, Node: node})
}

// restartControl kills the control process and starts it again at once, or kills the leader of the control machines
// and waits for the next one. Then it makes a change.
func (f *fleetRun) restartControl(ctx context.Context) error {
	if !f.fleet.RestartControl {
		return nil
	}
	leasesLost, gained, killedAt := f.tracker.leasesLost, f.tracker.assignmentsGained, time.Now()
	if err := f.control.kill(); err != nil {
		return err
	}
	replace := f.startControl
	if f.fleet.Machines > 0 {
		replace = f.awaitLeader
	}
	if err := replace(ctx); err != nil {
		return err
	}
	result := &ControlRestart{ListensSeconds: time.Since(killedAt).Seconds()}
	if _, _, err := f.issue(1); err != nil {
		return err
	}
	if err := f.settle(ctx, nil); err != nil {
		return err
	}
	result.ChangeSeconds = time.Since(killedAt).Seconds()
	result.LeasesLost = f.tracker.leasesLost - leasesLost
	result.Gained = f.tracker.assignmentsGained - gained
	f.result.ControlRestart = result
	return nil
}

// loseZone kills the nodes of one zone, and waits until their destinations have other owners.
func (f *fleetRun) loseZone(ctx context.Context) error {
	if !f.fleet.LoseZone {
		return nil
	}
	const zone = 0
	gained, killedAt := f.tracker.assignmentsGained, time.Now()
	if err := f.zones[zone].kill(); err != nil {
		return err
	}
	cost, err := f.startMeter()
	if err != nil {
		return err
	}
	inZone := func(node int) bool { return zoneOf(node, f.fleet.Zones) == zone }
	result := &LostZone{Assignments: f.tracker.removeAssignments(inZone)}
	affected := f.tracker.unsettledDestinations()
	if err := f.settle(ctx, nil); err != nil {
		return err
	}
	var seconds []float64
	for _, destination := range affected {
		seconds = append(seconds, time.Duration(f.tracker.settledAt[destination]-killedAt.UnixNano()).Seconds())
	}
	result.Reassigned = newLatencies(seconds)
	result.Gained = f.tracker.assignmentsGained - gained
	f.result.LostZone = result
	f.result.LostZoneCost, err = cost()
	return err
}
