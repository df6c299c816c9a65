package scaletest

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"slices"
)

// ErrMemory is the error of a run that used more memory than its scenario allows.
var ErrMemory = errors.New("the run needs more memory than the scenario allows")

// value is one quantity of one measurement.
type value struct {
	quantity string
	unit     string
	value    float64
}

// measurement measures values at one size.
type measurement struct {
	processes bool   // it runs child processes, by Options.Command
	axis      string // what the size counts
	maxSize   int
	fixed     func(Slope) string // formats what is fixed, for the report; nil: nothing is
	minNodes  int                // how many nodes it needs, 0: any number
	// take measures at a size. A measurement of a fleet has takeFleet instead, and fleet, which returns the size of the
	// fleet at a size of the slope.
	take      func(ctx context.Context, slope Slope, size int, seed uint64, env environment) ([]value, error)
	takeFleet func(ctx context.Context, size fleetSize, seed uint64, env environment) ([]value, error)
	fleet     func(slope Slope, size int) fleetSize
}

// at measures the values at one size of a slope.
func (m measurement) at(ctx context.Context, slope Slope, size int, seed uint64, env environment) ([]value, error) {
	if m.takeFleet != nil {
		return m.takeFleet(ctx, m.fleet(slope, size), seed, env)
	}
	return m.take(ctx, slope, size, seed, env)
}

// checkNodes returns an error if a slope has too few nodes at a size.
func (m measurement) checkNodes(slope Slope, size int) error {
	if m.fleet == nil || m.fleet(slope, size).nodes >= m.minNodes {
		return nil
	}
	return fmt.Errorf("%w: size %d: the measurement needs %d nodes", ErrScenario, size, m.minNodes)
}

// fleetSize is the size of the fleet of a measurement.
type fleetSize struct{ nodes, destinations int }

// byNodes returns the size of a fleet in which the destinations are fixed by the slope, one at least.
func byNodes(slope Slope, size int) fleetSize {
	return fleetSize{nodes: size, destinations: max(1, slope.Destinations)}
}

// byDestinations returns the size of a fleet in which the nodes are fixed by the slope, one at least.
func byDestinations(slope Slope, size int) fleetSize {
	return fleetSize{nodes: max(1, slope.Nodes), destinations: size}
}

// Measurements returns the names that a slope may have.
func Measurements() []string { return slices.Sorted(maps.Keys(measurements)) }

// measure measures a slope at all sizes. Each repeat has a seed of its own.
func measure(ctx context.Context, slope Slope, env environment) ([]Series, error) {
	m := measurements[slope.Measure]
	fixed := ""
	if m.fixed != nil {
		fixed = m.fixed(slope)
	}
	var all []Series
	for i, size := range slope.Sizes {
		for repeat := range slope.Repeats {
			if err := ctx.Err(); err != nil {
				return all, err
			}
			values, err := m.at(ctx, slope, size, env.scenario.Seed+uint64(repeat), env)
			if err != nil {
				return all, fmt.Errorf("size %d: %w", size, err)
			}
			if used := residentMemory(); used > int64(env.scenario.MemoryMB)<<20 {
				return all, fmt.Errorf("size %d: %w: %d MB", size, ErrMemory, used>>20)
			}
			for _, v := range values {
				all = add(all, Series{Measure: slope.Measure, Quantity: v.quantity, Unit: v.unit, Axis: m.axis, Fixed: fixed}, i, size, v.value)
			}
		}
	}
	for i := range all {
		all[i].fit()
	}
	return all, nil
}

// add adds a value to its series, and the series where it is the first value.
func add(all []Series, series Series, level, size int, value float64) []Series {
	at := slices.IndexFunc(all, func(s Series) bool { return s.Quantity == series.Quantity })
	if at < 0 {
		at = len(all)
		all = append(all, series)
	}
	s := &all[at]
	if len(s.Levels) <= level {
		s.Levels = append(s.Levels, Level{Size: size})
	}
	last := &s.Levels[len(s.Levels)-1]
	last.Values = append(last.Values, value)
	return all
}
