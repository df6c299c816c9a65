package config

import (
	"os"
	"strings"
	"testing"
	"time"
	"wingmount/internal/clusterspec"
	"wingmount/policy"
)

// assignmentHead is the file of a node with [assignment], up to the settings of that section.
const assignmentHead = `name = "n"
listen = "127.0.0.1:0"
[store]
kind = "sqlite"
path = "db"
[assignment]
`

const assignmentTail = `
[[class]]
name = "c"
repeat = "idempotent"
wanted = "1s"
deadline = "2s"
[[destination]]
number = 1
rate = 2.0
[[destination.endpoint]]
name = "e"
address = "127.0.0.1:1"
building = "b"
`

func TestParseAssignmentSetsDefaults(t *testing.T) {
	f, err := Parse([]byte(assignmentHead + `control = ["127.0.0.1:1", "127.0.0.1:2"]` + assignmentTail))
	if err != nil {
		t.Fatal(err)
	}
	want := Assignment{
		Control: []string{"127.0.0.1:1", "127.0.0.1:2"}, State: "assignment.state", RegionShare: 1,
		OwnersKeptFor: Duration(5 * time.Second), OwnersMax: 4096,
	}
	if got := *f.Assignment; got.State != want.State || got.RegionShare != want.RegionShare || got.OwnersKeptFor != want.OwnersKeptFor ||
		got.OwnersMax != want.OwnersMax || len(got.Control) != len(want.Control) {
		t.Errorf("got %+v, want the defaults %+v", got, want)
	}
}

// Assignment is disabled without its section.
func TestParseWithoutAssignmentReturnsNil(t *testing.T) {
	f, err := Parse([]byte(strings.Replace(assignmentHead, "[assignment]\n", "", 1) + assignmentTail))
	if err != nil {
		t.Fatal(err)
	}
	if f.Assignment != nil {
		t.Errorf("got %+v without the section, want nil", f.Assignment)
	}
}

func TestParseInvalidAssignmentReportsErrors(t *testing.T) {
	for lines, want := range map[string]string{
		"":                       "assignment.control: is missing",
		`control = []`:           "assignment.control: is missing",
		`control = ["nowhere"]`:  `assignment.control[0]: "nowhere" is not HOST:PORT`,
		`region_share = 1.5`:     "assignment.region_share: 1.5 is not above 0 and up to 1",
		`region_share = -0.5`:    "assignment.region_share: -0.5 is not above 0 and up to 1",
		`owners_kept_for = "1h"`: "assignment.owners_kept_for",
		`owners_max = -1`:        "assignment.owners_max: -1 is not between 1 and 1048576",
		`destinations = "moon"`:  `assignment.destinations: got "moon", want "file" or "control"`,
		`buildings = ["b"]`:      `assignment.buildings: only allowed with destinations = "control"`,
		"destinations = \"control\"\nbuildings = [\"b\"]":        `destination: got 1, want none with assignment.destinations = "control"`,
		"destinations = \"control\"":                             "assignment.buildings: is missing",
		"destinations = \"control\"\nbuildings = [\"b\", \"b\"]": `assignment.buildings[1]: "b" is empty or a duplicate`,
		`region = "north"`:                                       "line 7, column 1: unknown key assignment.region",
		"control = [\"h:1\"]\n[limits]\nnodes = 2":               "limits.nodes: got 2, want 1 with [assignment]",
	} {
		if _, err := Parse([]byte(assignmentHead + lines + assignmentTail)); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%q: got error %v, want %q", lines, err, want)
		}
	}
	shared := strings.Replace(assignmentHead, "kind = \"sqlite\"\npath = \"db\"", "kind = \"postgres\"\nurl = \"postgres://u:p@h:1/d\"", 1)
	if _, err := Parse([]byte(shared + `control = ["h:1"]` + assignmentTail)); err == nil || !strings.Contains(err.Error(), "needs its own store") {
		t.Errorf("got error %v for nodes that share a database, want one", err)
	}
}

// A node whose destinations come from the control process has settings for all kinds of destinations, and its zones.
func TestSettingsWithDistributedDestinationsHaveAllKinds(t *testing.T) {
	rest, _, _ := strings.Cut(assignmentTail, "[[destination]]")
	f, err := Parse([]byte(assignmentHead + "control = [\"h:1\"]\ndestinations = \"control\"\nbuildings = [\"b\", \"annex\"]\n" + rest))
	if err != nil {
		t.Fatal(err)
	}
	settings, numbers := f.Settings(f.ClassNames(), f.ZoneNames())
	if len(settings.Kinds) != 2*clusterspec.MaxBundle || settings.RateAccuracy != policy.RateRough || len(settings.ZoneFee) != 2 {
		t.Errorf("got %d kinds, rate accuracy %v, %d zones, want all kinds, rough, 2", len(settings.Kinds), settings.RateAccuracy, len(settings.ZoneFee))
	}
	config := clusterspec.DestinationConfig{RoutesApart: true, Bundle: 7}
	kind := settings.Kinds[numbers.Kinds[config.Kind()]]
	if !kind.SeparateRoutes || kind.MaxBatch != 7 || numbers.Zones["annex"] != 1 {
		t.Errorf("got kind %+v and zones %v, want separate routes, batches of 7, annex as 1", kind, numbers.Zones)
	}
	if members := f.List().Members; len(members) != 0 {
		t.Errorf("got members %v, want none", members)
	}
}

func TestParseControlSetsDefaultsAndReportsErrors(t *testing.T) {
	c, err := ParseControl([]byte("listen = \"127.0.0.1:7950\"\nworld = \"w\"\nstate = \"s\""))
	if err != nil {
		t.Fatal(err)
	}
	if want := (Control{
		Listen: "127.0.0.1:7950", SpecFile: "w", State: "s", Lease: Duration(3 * time.Minute), MaxDrift: 0.01,
		Slack: Duration(250 * time.Millisecond), Window: Duration(2 * time.Second), MaxSessions: 4096, LoadBound: 1.1,
		Debounce: Duration(500 * time.Millisecond), Gather: Duration(5 * time.Second), RestartGrace: Duration(time.Minute),
	}); *c != want {
		t.Errorf("got %+v, want the defaults %+v", *c, want)
	}
	for text, want := range map[string]string{
		"":                      "listen: \"\" is not HOST:PORT\nworld: is missing\nstate: is missing",
		`lease = "10ms"`:        "lease: 10ms is not between 1s and 1h0m0s",
		`max_drift = 0.9`:       "max_drift: 0.9 is not above 0 and up to 0.5",
		`max_sessions = -3`:     "max_sessions: -3 is not between 1 and 65536",
		`load_bound = 1.0`:      "load_bound: 1 is not above 1 and up to 10",
		`debounce = "2h"`:       "debounce",
		`window = "1s"`:         "window: 1s is not between 2s and 1h0m0s",
		`slack = "-1s"`:         "slack: -1s is not between 0 and 1h0m0s",
		`restart_grace = "-1s"`: "restart_grace",
		`majority = 3`:          "line 1, column 1: unknown key majority",
		`[[node]]` + "\nname=3": "unknown key node",
	} {
		if _, err := ParseControl([]byte(text)); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%q: got error %v, want %q", text, err, want)
		}
	}
}

// The files in deploy are valid, and document each key.
func TestDeployedAssignmentIsValidAndDocumentsKeys(t *testing.T) {
	text, err := os.ReadFile("../../deploy/assignment.toml")
	if err != nil {
		t.Fatal(err)
	}
	if _, err := ParseControl(text); err != nil {
		t.Error(err)
	}
	if _, err := clusterspec.Load("../../deploy/world.toml"); err != nil {
		t.Error(err)
	}
	for _, key := range []string{
		"listen", "world", "state", "lease", "max_drift", "max_sessions", "load_bound", "debounce", "gather", "slack", "window", "restart_grace",
		"#   control", "#   state", "#   region_share", "#   owners_kept_for", "#   owners_max", "#   destinations", "#   buildings",
	} {
		if !strings.Contains(string(text), "\n"+key+" = ") {
			t.Errorf("got no key %s in deploy/assignment.toml, want it documented", key)
		}
	}
}
