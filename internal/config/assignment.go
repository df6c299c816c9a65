package config

import (
	"errors"
	"fmt"
	"math"
	"net"
	"os"
	"path/filepath"
	"time"

	"wingmount/decide/lease"
)

// Bounds of [assignment] and of the file of a control process.
const (
	maxControlAddresses = 16
	maxOwnersKept       = 1 << 20
	maxControlSessions  = 1 << 16
	minControlLease     = 2 * ShareWindow // a node may confirm a share a ShareWindow late, and renews after it
	maxClockDrift       = 0.5
	maxLoadBound        = 10
	maxDebounce         = time.Minute
	maxOwnersKeptFor    = 10 * time.Minute
	maxSlack            = time.Minute
	maxRestartGrace     = time.Hour
)

// ShareWindow is the time in which the decision module, and partners with it, count calls against a limit. A
// share passes on to another node so long after its last call.
const ShareWindow = 2 * time.Second

// Defaults of [assignment] and of the file of a control process.
const (
	defaultAssignmentState = "assignment.state"
	defaultOwnersKeptFor   = 5 * time.Second
	defaultOwnersMax       = 10_000
	defaultControlLease    = 10 * time.Second
	defaultMaxDrift        = 0.01
	defaultMaxSessions     = 2000
	defaultLoadBound       = 1.25
	defaultDebounce        = 500 * time.Millisecond
	defaultSlack           = ShareWindow + 250*time.Millisecond
	defaultRestartGrace    = time.Minute
)

// Assignment says which control processes assign destinations to this node. Without the section every node
// accepts messages for all destinations.
type Assignment struct {
	// Control are the HOST:PORT of the region's control process, or of those that may take its place.
	Control []string `toml:"control"`
	// State is the file that keeps what a restarted node needs to know of its lease.
	State string `toml:"state"`
	// RegionShare is the fixed part of each destination's rate that this region has.
	RegionShare float64 `toml:"region_share"`
	// OwnersKeptFor is how long the owners of other destinations are kept, and OwnersMax of how many.
	OwnersKeptFor Duration `toml:"owners_kept_for"`
	OwnersMax     int      `toml:"owners_max"`
}

// defaults fills in what the section leaves out. A nil section stays off.
func (a *Assignment) defaults() {
	if a == nil {
		return
	}
	if a.State == "" {
		a.State = defaultAssignmentState
	}
	if a.RegionShare == 0 {
		a.RegionShare = 1
	}
	if a.OwnersKeptFor == 0 {
		a.OwnersKeptFor = Duration(defaultOwnersKeptFor)
	}
	if a.OwnersMax == 0 {
		a.OwnersMax = defaultOwnersMax
	}
}

// check tells what is wrong with the section of a file.
func (a *Assignment) check(f *File, bad func(where, format string, args ...any)) {
	if a == nil {
		return
	}
	if len(a.Control) == 0 {
		bad("assignment.control", "is missing")
	}
	if len(a.Control) > maxControlAddresses {
		bad("assignment.control", "there are %d, %d at most", len(a.Control), maxControlAddresses)
	}
	for i, address := range a.Control {
		if !validAddress(address) {
			bad(fmt.Sprintf("assignment.control[%d]", i), "%q is no HOST:PORT", address)
		}
	}
	if !(a.RegionShare > 0 && a.RegionShare <= 1) {
		bad("assignment.region_share", "%v is not above 0 and up to 1", a.RegionShare)
	}
	if a.OwnersKeptFor < 0 || a.OwnersKeptFor > Duration(maxOwnersKeptFor) {
		bad("assignment.owners_kept_for", "%v is not between 0 and %v", time.Duration(a.OwnersKeptFor), maxOwnersKeptFor)
	}
	if a.OwnersMax < 1 || a.OwnersMax > maxOwnersKept {
		bad("assignment.owners_max", "%d is not between 1 and %d", a.OwnersMax, maxOwnersKept)
	}
	if len(f.Name) > lease.MaxNameLength {
		bad("name", "it has %d bytes, %d at most with [assignment]", len(f.Name), lease.MaxNameLength)
	}
	if f.Store.Kind == "postgres" {
		bad("store.kind", "nodes with [assignment] have a store of their own: \"sqlite\" or \"journal\"")
	}
	if f.Limits.Nodes != 1 {
		bad("limits.nodes", "%d: with [assignment] each node is told its own share of a rate", f.Limits.Nodes)
	}
}

func validAddress(address string) bool {
	_, port, err := net.SplitHostPort(address)
	return err == nil && port != ""
}

// Control is the form of the file of a control process. deploy/assignment.toml has each key with a comment.
type Control struct {
	Listen      string   `toml:"listen"`
	World       string   `toml:"world"` // the file of nodes and destinations
	State       string   `toml:"state"` // a folder
	Lease       Duration `toml:"lease"`
	MaxDrift    float64  `toml:"max_drift"`
	MaxSessions int      `toml:"max_sessions"`
	LoadBound   float64  `toml:"load_bound"`
	Debounce    Duration `toml:"debounce"`
	// Slack is how long a share is kept back once its lease has ended: the calls under it still count at
	// partners.
	Slack Duration `toml:"slack"`
	// RestartGrace is how long a node that has left keeps its destinations.
	RestartGrace Duration `toml:"restart_grace"`
}

// LoadControl reads the file of a control process and checks it whole. Paths in it are relative to the file.
func LoadControl(path string) (*Control, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("reading the configuration: %w", err)
	}
	c, err := ParseControl(text)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	for _, p := range []*string{&c.World, &c.State} {
		if !filepath.IsAbs(*p) {
			*p = filepath.Join(filepath.Dir(path), *p)
		}
	}
	return c, nil
}

// ParseControl reads the text of the file of a control process, fills in what it leaves out, and checks it.
func ParseControl(text []byte) (*Control, error) {
	c := &Control{}
	if err := decode(text, c); err != nil {
		return nil, err
	}
	c.defaults()
	if err := c.check(); err != nil {
		return nil, err
	}
	return c, nil
}

func (c *Control) defaults() {
	if c.Lease == 0 {
		c.Lease = Duration(defaultControlLease)
	}
	if c.MaxDrift == 0 {
		c.MaxDrift = defaultMaxDrift
	}
	if c.MaxSessions == 0 {
		c.MaxSessions = defaultMaxSessions
	}
	if c.LoadBound == 0 {
		c.LoadBound = defaultLoadBound
	}
	if c.Debounce == 0 {
		c.Debounce = Duration(defaultDebounce)
	}
	if c.Slack == 0 {
		c.Slack = Duration(defaultSlack)
	}
	if c.RestartGrace == 0 {
		c.RestartGrace = Duration(defaultRestartGrace)
	}
}

func (c *Control) check() error {
	var errs []error
	bad := func(where, format string, args ...any) {
		errs = append(errs, fmt.Errorf("%s: %s", where, fmt.Sprintf(format, args...)))
	}
	if !validAddress(c.Listen) {
		bad("listen", "%q is no HOST:PORT", c.Listen)
	}
	if c.World == "" {
		bad("world", "is missing")
	}
	if c.State == "" {
		bad("state", "is missing")
	}
	if c.Lease < Duration(minControlLease) || c.Lease > Duration(lease.MaxDuration) {
		bad("lease", "%v is not between %v and %v", time.Duration(c.Lease), minControlLease, lease.MaxDuration)
	}
	if !(c.MaxDrift > 0 && c.MaxDrift <= maxClockDrift) {
		bad("max_drift", "%v is not above 0 and up to %v", c.MaxDrift, maxClockDrift)
	}
	if c.MaxSessions < 1 || c.MaxSessions > maxControlSessions {
		bad("max_sessions", "%d is not between 1 and %d", c.MaxSessions, maxControlSessions)
	}
	if !(c.LoadBound > 1 && c.LoadBound <= maxLoadBound) || math.IsNaN(c.LoadBound) {
		bad("load_bound", "%v is not above 1 and up to %v", c.LoadBound, maxLoadBound)
	}
	if c.Debounce < 0 || c.Debounce > Duration(maxDebounce) {
		bad("debounce", "%v is not between 0 and %v", time.Duration(c.Debounce), maxDebounce)
	}
	if c.Slack < Duration(ShareWindow) || c.Slack > Duration(maxSlack) {
		bad("slack", "%v is not between %v and %v", time.Duration(c.Slack), ShareWindow, maxSlack)
	}
	if c.RestartGrace < 0 || c.RestartGrace > Duration(maxRestartGrace) {
		bad("restart_grace", "%v is not between 0 and %v", time.Duration(c.RestartGrace), maxRestartGrace)
	}
	return errors.Join(errs...)
}
