package scaletest

import (
	"context"
	"time"
)

// idle measures the cost while nothing changes.
func (f *fleetRun) idle(ctx context.Context) error {
	if f.fleet.Idle.Duration == 0 {
		return nil
	}
	cost, err := f.startMeter()
	if err != nil {
		return err
	}
	if err := f.pause(ctx, f.fleet.Idle.Duration, nil); err != nil {
		return err
	}
	f.result.Idle, err = cost()
	return err
}

// nextChange returns a change that was not made before: in turn a new destination, one more owner of an existing
// one, and, where nodes get destinations from the control process, another limit of an existing one.
func (f *fleetRun) nextChange() change {
	kinds := 2
	if f.fleet.Endpoints > 0 {
		kinds = 3
	}
	made := len(f.made)
	rounds := (f.fleet.ChangeCount + f.fleet.Burst + kinds) / kinds
	round, stride := made/kinds, max(1, f.fleet.Destinations/rounds)
	var c change
	switch made % kinds {
	case 0:
		c = change{Destination: f.fleet.Destinations + round, Owners: f.fleet.Owners}
		if f.fleet.Endpoints > 0 {
			c.Limit = initialLimit
		}
	case 1:
		c = change{Destination: round * stride % f.fleet.Destinations, Owners: f.fleet.Owners + 1}
	default:
		c = change{Destination: (round*stride + stride/2) % f.fleet.Destinations, Limit: 2 * initialLimit}
	}
	f.made = append(f.made, c)
	return c
}

// issue makes changes at once. It returns them and when they were made, in nanoseconds since 1970.
func (f *fleetRun) issue(count int) (issuedAt int64, made []change, err error) {
	for range count {
		made = append(made, f.nextChange())
	}
	for _, c := range made {
		f.tracker.expect(c.Destination, c.Owners, c.Limit)
	}
	issuedAt = time.Now().UnixNano()
	return issuedAt, made, f.control.send(command{Op: opChange, Changes: made})
}

// changeOneByOne makes changes one after the other, at a fixed interval.
func (f *fleetRun) changeOneByOne(ctx context.Context) error {
	if f.fleet.ChangeCount == 0 {
		return nil
	}
	cost, err := f.startMeter()
	if err != nil {
		return err
	}
	issuedAt := map[int]int64{}
	next := time.Now()
	for range f.fleet.ChangeCount {
		at, made, err := f.issue(1)
		if err != nil {
			return err
		}
		issuedAt[made[0].Destination] = at
		next = next.Add(f.fleet.Every.Duration)
		if err := f.pause(ctx, time.Until(next), nil); err != nil {
			return err
		}
	}
	if err := f.settle(ctx, nil); err != nil {
		return err
	}
	f.result.ChangeLatencies = f.changeLatencies(issuedAt)
	f.result.ChangesCost, err = cost()
	return err
}

// burst makes many changes at once.
func (f *fleetRun) burst(ctx context.Context) error {
	if f.fleet.Burst == 0 {
		return nil
	}
	cost, err := f.startMeter()
	if err != nil {
		return err
	}
	at, made, err := f.issue(f.fleet.Burst)
	if err != nil {
		return err
	}
	issuedAt := map[int]int64{}
	for _, c := range made {
		issuedAt[c.Destination] = at
	}
	observe := func(e event) {
		if e.Kind == eventChanged {
			f.result.BurstAppliedMS = e.TookMS
		}
	}
	if err := f.settle(ctx, observe); err != nil {
		return err
	}
	f.result.Burst = f.changeLatencies(issuedAt)
	f.result.BurstCost, err = cost()
	return err
}

// changeLatencies returns the times from the issue of changes until all owners applied them.
func (f *fleetRun) changeLatencies(issuedAt map[int]int64) *Latencies {
	var seconds []float64
	for destination, at := range issuedAt {
		seconds = append(seconds, time.Duration(f.tracker.settledAt[destination]-at).Seconds())
	}
	return newLatencies(seconds)
}
