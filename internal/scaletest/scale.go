// Package scaletest measures how the cost of a node and of the control process grows with the number of nodes
// and of destinations, up to sizes that no test machine has nodes for.
//
// A slope is one quantity at four sizes or more, with its log-log exponent and the confidence interval of that. A
// fleet is a real control process and hollow nodes: these have the real agent, lease holder and decision module, but
// no destination systems and no store. The processes of a fleet communicate over loopback; one goroutine of the parent
// runs the fleet and handles their events.
//
// It is for measurements and tests: no node imports it. Start reading at [Run].
package scaletest

import (
	"context"
	"fmt"
	"os"
	"runtime"
	"runtime/debug"
	"strings"
	"time"
)

// Options are what a run needs beside its scenario.
type Options struct {
	// Command runs this program with the arguments of a role; see RunRole.
	Command []string
	Env     []string
	// Node runs this program as a real node, with the arguments "run --config FILE".
	Node []string
	Only string // slopes and fleets whose name contains it; all where it is empty
	Path string // of the scenario, for the report
}

// Run measures what a scenario asks for. On an error it returns the report so far.
func Run(ctx context.Context, scenario Scenario, options Options) (Report, error) {
	ctx, cancel := context.WithTimeout(ctx, scenario.Timeout.Duration)
	defer cancel()
	report := Report{Build: build(), Date: time.Now(), Machine: machine(), Scenario: options.Path, Seed: scenario.Seed}
	for _, slope := range scenario.Slopes {
		if !strings.Contains(slope.Measure, options.Only) {
			continue
		}
		series, err := measure(ctx, slope, environment{scenario: scenario, options: options})
		report.Series = append(report.Series, series...)
		if err != nil {
			return report, fmt.Errorf("%s: %w", slope.Measure, err)
		}
	}
	for _, fleet := range scenario.Fleets {
		if !strings.Contains(fleet.Name, options.Only) {
			continue
		}
		result, err := runFleet(ctx, fleet, environment{scenario: scenario, options: options})
		report.Fleets = append(report.Fleets, result)
		if err != nil {
			return report, fmt.Errorf("fleet %s: %w", fleet.Name, err)
		}
	}
	return report, nil
}

// environment is what a measurement needs to know of the run.
type environment struct {
	scenario Scenario
	options  Options
}

// build returns the revision that the program was built from.
func build() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return "unknown"
	}
	revision, modified := "unknown", ""
	for _, s := range info.Settings {
		switch {
		case s.Key == "vcs.revision" && len(s.Value) >= 7:
			revision = s.Value[:7]
		case s.Key == "vcs.modified" && s.Value == "true":
			modified = " with changes"
		}
	}
	return revision + modified
}

// machine returns the model of the processor and the number of cores that this process uses.
func machine() string {
	model := runtime.GOARCH
	text, err := os.ReadFile("/proc/cpuinfo")
	if err == nil {
		for line := range strings.Lines(string(text)) {
			if name, value, found := strings.Cut(line, ":"); found && strings.TrimSpace(name) == "model name" {
				model = strings.TrimSpace(value)
				break
			}
		}
	}
	return fmt.Sprintf("%s, %d cores", model, runtime.GOMAXPROCS(0))
}
