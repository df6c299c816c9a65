// Package config reads the TOML files of nodes, control processes and rules. Their keys are a stable interface for
// operators. The package maps them to the settings of other packages.
//
// An unknown key is an error, and a file is validated completely before anything starts. Decoding stops at the first
// syntax or type error, and otherwise reports all unknown keys. A decoded file is checked, and the returned error joins
// all errors of the checks. Each error contains its position or key. A field is named after its key, or after the
// setting of another package that it maps to.
//
// The package has no state. Its functions are safe for concurrent use. A loaded file is never modified. Start reading
// at [Load] and [File.Settings] for nodes, and at [LoadControl] for control processes.
package config

import (
	"fmt"
	"os"
	"path/filepath"
	"time"
)

// Duration is a duration in the format of time.ParseDuration, such as "250ms" or "12s".
type Duration time.Duration

// UnmarshalText implements [encoding.TextUnmarshaler].
func (d *Duration) UnmarshalText(text []byte) error {
	duration, err := time.ParseDuration(string(text))
	if err != nil {
		return fmt.Errorf("%q is not a duration such as \"250ms\" or \"12s\"", text)
	}
	*d = Duration(duration)
	return nil
}

// File is the file of a node. deploy/gateway.toml documents each key.
type File struct {
	Name         string        `toml:"name"`
	Listen       string        `toml:"listen"`
	Store        Store         `toml:"store"`
	Answers      Answers       `toml:"answers"`
	Rules        Rules         `toml:"rules"`
	Gossip       Gossip        `toml:"gossip"`
	Assignment   *Assignment   `toml:"assignment"` // nil without the section
	Limits       Limits        `toml:"limits"`
	Partners     Partners      `toml:"partners"`
	Classes      []Class       `toml:"class"`
	Destinations []Destination `toml:"destination"`
}

// Store is the section with the settings of the message store.
type Store struct {
	Kind       string   `toml:"kind"`  // "sqlite", "postgres" or "journal"
	URL        string   `toml:"url"`   // postgres
	Lease      Duration `toml:"lease"` // postgres
	Path       string   `toml:"path"`
	Durability string   `toml:"durability"` // "power" or "process"
	MaxMB      int64    `toml:"max_mb"`     // sqlite, journal: maximum size in MiB; messages are rejected before the store is full
	Keep       Duration `toml:"keep"`       // sqlite, postgres: how long final responses are kept for messages that are sent again with the same id
	Check      *bool    `toml:"check"`      // sqlite: read all pages at startup, and fail if the file is damaged
}

// Answers is the section with the settings of notifications of results.
type Answers struct {
	URL string `toml:"url"`
}

// Rules is the section with the files of the rules for keys and classes. Without File, there are no rules.
type Rules struct {
	File string `toml:"file"` // see ParseRules
	// Record is the file that persists the active rules. The default is File with the suffix ".active".
	Record string `toml:"record"`
}

// Limits is the section with the capacity limits of a node.
type Limits struct {
	MaxInFlight int `toml:"held"`      // accepted messages without a final response
	Slots       int `toml:"slots"`     // concurrent calls
	Attempts    int `toml:"attempts"`  // maximum number of attempts for one message
	Nodes       int `toml:"nodes"`     // number of nodes that share the destinations' rates
	Sockets     int `toml:"sockets"`   // maximum number of file descriptors of this process
	MemoryMB    int `toml:"memory_mb"` // soft limit in MiB; 0 means none
	// Admission enables the rejection of messages that could not be delivered in time; nil means enabled.
	Admission *bool `toml:"admission"`
}

// Partners is the section with the settings for draining endpoints, and for their recovery after an outage.
type Partners struct {
	// Drain is the time in which calls to a draining endpoint should end. No call begins in its last quarter.
	Drain Duration `toml:"drain"`
	// InitialCapacity is the initial fraction of its rate that a recovering endpoint gets, and WarmUp the time until it
	// gets the full rate.
	InitialCapacity float64  `toml:"cold_share"`
	WarmUp          Duration `toml:"warm_up"`
	// An endpoint counts as overloaded if its load exceeds FallsAt times its current capacity for FallsIn.
	FallsAt float64  `toml:"falls_at"`
	FallsIn Duration `toml:"falls_in"`
}

// Class is a class of messages.
type Class struct {
	Name      string   `toml:"name"`
	Repeat    string   `toml:"repeat"` // repeatIdempotent, repeatKeyed or repeatUnsafe
	Window    Duration `toml:"window"` // deduplication window of a keyed class
	Group     string   `toml:"group"`  // groupBuilding or groupDestination
	Wanted    Duration `toml:"wanted"` // soft deadline
	Deadline  Duration `toml:"deadline"`
	Value     *float64 `toml:"worth"`      // priority weight; nil means 1
	LateValue float64  `toml:"late_worth"` // fraction of Value that remains at the deadline
	Ordered   bool     `toml:"ordered"`
	// Rest is the time for which a key of an ordered class waits after an attempt that may still be in progress. The
	// longest Rest of all classes applies to each of them: see File.Settings.
	Rest Duration `toml:"rest"`
}

// Destination is a system of a partner, with one or more endpoints.
type Destination struct {
	Number      int        `toml:"number"`
	Name        string     `toml:"name"`
	Rate        float64    `toml:"rate"`         // rate limit in calls a second, for all nodes together; 0 if unknown
	RoutesApart bool       `toml:"routes_apart"` // each endpoint has its own rate limit, call spacing and outages
	Bundle      int        `toml:"bundle"`       // maximum number of messages in one call
	Endpoints   []Endpoint `toml:"endpoint"`
}

// Endpoint is one server of a destination.
type Endpoint struct {
	Name     string `toml:"name"`
	Address  string `toml:"address"`
	Building string `toml:"building"`
	Drains   bool   `toml:"drains"`
}

// Load reads and checks the file of a node. It resolves relative paths in it against the file's folder.
func Load(path string) (*File, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("reading the configuration: %w", err)
	}
	f, err := Parse(text)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	paths := []*string{&f.Store.Path, &f.Rules.File, &f.Rules.Record, &f.Gossip.Key, &f.Gossip.State}
	if f.Assignment != nil {
		paths = append(paths, &f.Assignment.State)
	}
	for _, p := range paths {
		if *p != "" {
			*p = resolvePath(path, *p)
		}
	}
	return f, nil
}

// resolvePath resolves a relative path in a file against that file's folder.
func resolvePath(file, path string) string {
	if filepath.IsAbs(path) {
		return path
	}
	return filepath.Join(filepath.Dir(file), path)
}

// Parse decodes the text of a node's file, sets the defaults, and checks it. The error joins all unknown keys or all
// errors of the checks.
func Parse(text []byte) (*File, error) {
	f := &File{}
	if err := decode(text, f); err != nil {
		return nil, err
	}
	f.setDefaults()
	if err := f.check(); err != nil {
		return nil, err
	}
	return f, nil
}
