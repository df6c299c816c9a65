package scaletest

import (
	"bytes"
	"errors"
	"fmt"
	"os"
	"time"

	"github.com/pelletier/go-toml/v2"
)

// The bounds of a scenario. One beyond them is rejected.
const (
	MaxNodes        = 2_000
	MaxDestinations = 200_000
	MaxSizes        = 12
	MaxRepeats      = 20
	MaxTimeout      = 10 * time.Minute
	// MaxMemoryMB bounds the memory that a scenario may allow all of its processes together.
	MaxMemoryMB = 12 << 10
	// minSizes is how many sizes a slope needs: an exponent of fewer has no useful interval.
	minSizes = 4
	// maxZones bounds the processes of a fleet: there is one for each zone.
	maxZones = 32
	// maxEndpoints bounds the endpoints of a destination.
	maxEndpoints = 16
	// maxReal bounds the real nodes.
	maxReal = 64
	// maxMachines bounds the control machines.
	maxMachines = 15
)

// ErrScenario is wrapped by all errors of a scenario's content.
var ErrScenario = errors.New("the scenario is not valid")

// Duration is a [time.Duration] that is written as in "1.5s".
type Duration struct{ time.Duration }

// UnmarshalText reads a duration.
func (d *Duration) UnmarshalText(text []byte) (err error) {
	d.Duration, err = time.ParseDuration(string(text))
	return err
}

// MarshalText writes a duration.
func (d Duration) MarshalText() ([]byte, error) { return []byte(d.String()), nil }

// Scenario is what one run measures.
type Scenario struct {
	Seed     uint64   `toml:"seed"`
	Timeout  Duration `toml:"timeout"`   // of the complete run
	MemoryMB int      `toml:"memory_mb"` // of all processes together
	Slopes   []Slope  `toml:"slope"`
	Fleets   []Fleet  `toml:"fleet"`
}

// Slope is one quantity that is measured at several sizes.
type Slope struct {
	Measure string `toml:"measure"` // the name of a measurement, see Measurements
	Sizes   []int  `toml:"sizes"`
	Repeats int    `toml:"repeats"`
	// Nodes and Destinations are fixed while the other grows, where the measurement needs them.
	Nodes        int `toml:"nodes"`
	Destinations int `toml:"destinations"`
}

// Fleet is a control process and hollow nodes, one process for the nodes of each zone.
type Fleet struct {
	Name         string `toml:"name"`
	Nodes        int    `toml:"nodes"`
	Zones        int    `toml:"zones"`
	Destinations int    `toml:"destinations"`
	Owners       int    `toml:"owners"`
	// Endpoints is how many endpoints each destination has in its config, which nodes get from the control process;
	// 0: nodes get no configs.
	Endpoints int `toml:"endpoints"`
	// Real is how many real nodes run beside the hollow ones, by Options.Node, each with as many destinations. They
	// need endpoints and a single control process.
	Real int `toml:"real"`
	// Machines is how many control machines form a quorum; 0 is a single control process.
	Machines int      `toml:"machines"`
	Lease    Duration `toml:"lease"`
	Senders  bool     `toml:"senders"` // each node also has a decision module
	Idle     Duration `toml:"idle"`    // a span without changes, in which the cost at rest is measured
	// ChangeCount changes are made one by one, Every apart, and then Burst of them at once.
	ChangeCount int      `toml:"changes"`
	Every       Duration `toml:"every"`
	Burst       int      `toml:"burst"`
	// LoseZone kills the process of one zone; RestartControl kills the control process and starts it again.
	LoseZone       bool `toml:"lose_zone"`
	RestartControl bool `toml:"restart_control"`
	// Restarts is how many nodes are stopped and started again, RestartEvery apart.
	Restarts     int      `toml:"restarts"`
	RestartEvery Duration `toml:"restart_every"`
}

// Load reads a scenario from a file. Keys that are not known are errors.
func Load(path string) (Scenario, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return Scenario{}, err
	}
	s, err := Parse(text)
	if err != nil {
		return Scenario{}, fmt.Errorf("%s: %w", path, err)
	}
	return s, nil
}

// Parse reads a scenario.
func Parse(text []byte) (Scenario, error) {
	var s Scenario
	decoder := toml.NewDecoder(bytes.NewReader(text))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&s); err != nil {
		var strict *toml.StrictMissingError
		if errors.As(err, &strict) {
			return Scenario{}, fmt.Errorf("%w:\n%s", ErrScenario, strict.String())
		}
		return Scenario{}, fmt.Errorf("%w: %w", ErrScenario, err)
	}
	return s, s.check()
}

func (s *Scenario) check() error {
	if err := within("timeout", s.Timeout.Duration, time.Second, MaxTimeout); err != nil {
		return err
	}
	if err := within("memory_mb", s.MemoryMB, 64, MaxMemoryMB); err != nil {
		return err
	}
	if len(s.Slopes)+len(s.Fleets) == 0 {
		return fmt.Errorf("%w: it has neither a slope nor a fleet", ErrScenario)
	}
	for i := range s.Slopes {
		if err := s.Slopes[i].check(); err != nil {
			return fmt.Errorf("slope %d (%q): %w", i+1, s.Slopes[i].Measure, err)
		}
	}
	for i := range s.Fleets {
		if err := s.Fleets[i].check(); err != nil {
			return fmt.Errorf("fleet %d (%q): %w", i+1, s.Fleets[i].Name, err)
		}
	}
	return nil
}

func (s *Slope) check() error {
	m, known := measurements[s.Measure]
	if !known {
		return fmt.Errorf("%w: there is no such measurement", ErrScenario)
	}
	if err := within("number of sizes", len(s.Sizes), minSizes, MaxSizes); err != nil {
		return err
	}
	for i, size := range s.Sizes {
		if err := within("size", size, 1, m.maxSize); err != nil {
			return err
		}
		if i > 0 && size <= s.Sizes[i-1] {
			return fmt.Errorf("%w: sizes rise, and %d follows %d", ErrScenario, size, s.Sizes[i-1])
		}
		if err := m.checkNodes(*s, size); err != nil {
			return err
		}
	}
	if err := within("repeats", s.Repeats, 1, MaxRepeats); err != nil {
		return err
	}
	if err := within("nodes", s.Nodes, 0, MaxNodes); err != nil {
		return err
	}
	return within("destinations", s.Destinations, 0, MaxDestinations)
}

// checkOwners returns an error if there are too few nodes for the owners of a destination. A run of such a fleet would
// wait for them until its timeout.
func (f *Fleet) checkOwners() error {
	owners := f.Owners
	changes := f.ChangeCount + f.Burst
	if f.RestartControl {
		changes++ // see restartControl
	}
	if changes > 1 {
		owners++ // the second change asks for one more, see nextChange
	}
	if owners > f.Nodes {
		return fmt.Errorf("%w: destinations have up to %d owners, of %d nodes", ErrScenario, owners, f.Nodes)
	}
	inLostZone := (f.Nodes + f.Zones - 1) / f.Zones
	if remaining := f.Nodes - inLostZone; f.LoseZone && owners > remaining {
		return fmt.Errorf("%w: destinations have up to %d owners, of %d nodes that remain when a zone is lost", ErrScenario, owners, remaining)
	}
	return nil
}

func (f *Fleet) check() error {
	if f.Real > 0 && (f.Endpoints == 0 || f.Machines > 0) {
		return fmt.Errorf("%w: real nodes need endpoints, and one control process by itself", ErrScenario)
	}
	err := errors.Join(
		within("real", f.Real, 0, maxReal),
		within("nodes", f.Nodes, 1, MaxNodes),
		within("zones", f.Zones, 1, maxZones),
		within("destinations", f.Destinations, 1, MaxDestinations),
		within("owners", f.Owners, 1, 8),
		within("endpoints", f.Endpoints, 0, maxEndpoints),
		within("machines", f.Machines, 0, maxMachines),
		within("lease", f.Lease.Duration, 500*time.Millisecond, 10*time.Minute),
		within("idle", f.Idle.Duration, 0, 5*time.Minute),
		within("changes", f.ChangeCount, 0, 10_000),
		within("every", f.Every.Duration, 0, time.Minute),
		within("burst", f.Burst, 0, 10_000),
		within("restarts", f.Restarts, 0, MaxNodes),
		within("restart_every", f.RestartEvery.Duration, 0, time.Minute),
	)
	if err != nil {
		return err
	}
	return f.checkOwners()
}

// ordered are the types of numbers that [within] compares.
type ordered interface{ ~int | ~int64 }

// within returns an error where a value is not in a range.
func within[T ordered](what string, value, low, high T) error {
	if value < low || value > high {
		return fmt.Errorf("%w: %s is %v, not between %v and %v", ErrScenario, what, value, low, high)
	}
	return nil
}
