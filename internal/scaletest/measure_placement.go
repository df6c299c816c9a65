package scaletest

import (
	"context"
	"runtime"
	"slices"
	"time"
	"wingmount/decide/placement"
)

// measurePlacement measures a table that is computed anew, and its successors after the rate of one destination
// doubled, after the loss of a node, and after the loss of a zone.
func measurePlacement(ctx context.Context, size fleetSize, seed uint64, _ environment) ([]value, error) {
	input := placementInput(size.nodes, size.destinations, seed)
	before := heapInUse()
	full, spent, err := compute(nil, input)
	if err != nil {
		return nil, err
	}
	values := []value{
		{"full: time", "ms", milliseconds(spent)},
		{"full: memory of the table", "B", float64(heapInUse() - before)},
	}
	for _, change := range []struct {
		name  string
		input placement.Input
	}{
		{"one destination changed", withDoubleRate(input, size.destinations/2)},
		{"one node lost", withoutNodes(input, func(i int, _ placement.Node) bool { return i == size.nodes/2 })},
		{"one zone lost", withoutNodes(input, func(_ int, n placement.Node) bool { return n.Zone == zoneName(0) })},
	} {
		if err := ctx.Err(); err != nil {
			return nil, err
		}
		next, spent, err := compute(full, change.input)
		if err != nil {
			return nil, err
		}
		lost, moved := movement(full, next, input, change.input)
		values = append(values,
			value{change.name + ": time", "ms", milliseconds(spent)},
			value{change.name + ": owners moved", "1", float64(moved)})
		if lost > 0 {
			values = append(values, value{change.name + ": owners moved for each lost", "1", float64(moved) / float64(lost)})
		}
	}
	runtime.KeepAlive(full)
	return values, nil
}

// milliseconds returns a duration in milliseconds.
func milliseconds(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }

// compute returns a table and the processor time that it took.
func compute(previous *placement.Table, input placement.Input) (*placement.Table, time.Duration, error) {
	runtime.GC()
	began := cpuTime()
	table, err := placement.Compute(previous, input)
	return table, cpuTime() - began, err
}

func withDoubleRate(input placement.Input, index int) placement.Input {
	input.Destinations = slices.Clone(input.Destinations)
	input.Destinations[index].Rate *= 2
	return input
}

func withoutNodes(input placement.Input, lost func(int, placement.Node) bool) placement.Input {
	var remaining []placement.Node
	for i, n := range input.Nodes {
		if !lost(i, n) {
			remaining = append(remaining, n)
		}
	}
	input.Nodes = remaining
	return input
}

// movement returns how many owners the owner sets have lost with their nodes, and how many are new in them.
func movement(previous, next *placement.Table, before, after placement.Input) (lost, moved int) {
	remaining := map[placement.NodeID]bool{}
	for _, n := range after.Nodes {
		remaining[n.ID] = true
	}
	for _, d := range before.Destinations {
		owners := previous.Owners(d.ID)
		for _, owner := range owners {
			if !remaining[owner] {
				lost++
			}
		}
		for _, owner := range next.Owners(d.ID) {
			if !slices.Contains(owners, owner) {
				moved++
			}
		}
	}
	return lost, moved
}
