package config

import (
	"cmp"
	"fmt"
	"math"
	"os"
	"time"
	"wingmount/decide/lease"
	"wingmount/decide/placement"
	"wingmount/internal/control"
)

// Limits of the file of a control process.
const (
	minControlLease    = time.Second
	maxClockDrift      = 0.5
	maxControlSessions = 1 << 16
	maxLoadBound       = 10
	maxControlDelay    = time.Hour
)

// Control is the file of a control process. deploy/assignment.toml documents each key.
type Control struct {
	Listen      string   `toml:"listen"`
	SpecFile    string   `toml:"world"` // file of the cluster spec: nodes and destinations
	State       string   `toml:"state"` // folder of the persisted state
	Lease       Duration `toml:"lease"`
	MaxDrift    float64  `toml:"max_drift"`
	Slack       Duration `toml:"slack"`
	Window      Duration `toml:"window"`
	MaxSessions int      `toml:"max_sessions"`
	LoadBound   float64  `toml:"load_bound"`
	// Debounce, Gather and RestartGrace delay changes of the assignment: see control.ServerConfig.
	Debounce     Duration `toml:"debounce"`
	Gather       Duration `toml:"gather"`
	RestartGrace Duration `toml:"restart_grace"`
	Quorum       *Quorum  `toml:"quorum"` // nil for a single control process
}

// LoadControl reads and checks the file of a control process. It resolves relative paths in it against the file's
// folder.
func LoadControl(path string) (*Control, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("reading the configuration: %w", err)
	}
	c, err := ParseControl(text)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	for _, p := range []*string{&c.SpecFile, &c.State} {
		*p = resolvePath(path, *p)
	}
	return c, nil
}

// ParseControl decodes the text of the file of a control process, sets the defaults, and checks it. The error joins
// all unknown keys or all errors of the checks.
func ParseControl(text []byte) (*Control, error) {
	c := &Control{}
	if err := decode(text, c); err != nil {
		return nil, err
	}
	c.setDefaults()
	if err := c.check(); err != nil {
		return nil, err
	}
	return c, nil
}

func (c *Control) setDefaults() {
	c.Lease = cmp.Or(c.Lease, Duration(lease.DefaultDuration))
	c.MaxDrift = cmp.Or(c.MaxDrift, lease.DefaultMaxDrift)
	c.Slack = cmp.Or(c.Slack, Duration(lease.DefaultSlack))
	c.Window = cmp.Or(c.Window, Duration(control.DefaultWindow))
	c.MaxSessions = cmp.Or(c.MaxSessions, lease.DefaultMaxSessions)
	c.LoadBound = cmp.Or(c.LoadBound, placement.DefaultLoadBound)
	c.Debounce = cmp.Or(c.Debounce, Duration(control.DefaultDebounce))
	c.Gather = cmp.Or(c.Gather, Duration(control.DefaultInitialWait))
	c.RestartGrace = cmp.Or(c.RestartGrace, Duration(control.DefaultRestartGrace))
	c.Quorum.setDefaults()
}

func (c *Control) check() error {
	var check checker
	check.address("listen", c.Listen)
	if c.SpecFile == "" {
		check.report("world", "is missing")
	}
	if c.State == "" {
		check.report("state", "is missing")
	}
	if c.Lease < Duration(minControlLease) || c.Lease > Duration(lease.MaxDuration) {
		check.report("lease", "%v is not between %v and %v", time.Duration(c.Lease), minControlLease, lease.MaxDuration)
	}
	if !(c.MaxDrift > 0 && c.MaxDrift <= maxClockDrift) {
		check.report("max_drift", "%v is not above 0 and up to %v", c.MaxDrift, maxClockDrift)
	}
	if c.MaxSessions < 1 || c.MaxSessions > maxControlSessions {
		check.report("max_sessions", "%d is not between 1 and %d", c.MaxSessions, maxControlSessions)
	}
	if !(c.LoadBound > 1 && c.LoadBound <= maxLoadBound) || math.IsNaN(c.LoadBound) {
		check.report("load_bound", "%v is not above 1 and up to %v", c.LoadBound, maxLoadBound)
	}
	if c.Window < Duration(control.DefaultWindow) || c.Window > Duration(maxControlDelay) {
		check.report("window", "%v is not between %v and %v", time.Duration(c.Window), control.DefaultWindow, maxControlDelay)
	}
	c.Quorum.check(c, &check)
	for _, delay := range []struct {
		where string
		value Duration
	}{{"slack", c.Slack}, {"debounce", c.Debounce}, {"gather", c.Gather}, {"restart_grace", c.RestartGrace}} {
		if delay.value < 0 || delay.value > Duration(maxControlDelay) {
			check.report(delay.where, "%v is not between 0 and %v", time.Duration(delay.value), maxControlDelay)
		}
	}
	return check.err()
}
