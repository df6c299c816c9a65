// Package demo runs the scenarios of 'wingmount demo'. Each starts fake partners and real node processes on loopback,
// sends real traffic, causes a fault, and counts what became of every message.
//
// A scenario runs in one goroutine, which starts others for traffic and waits for them; only scenarioRun.logf may be
// called by several.
//
// Start reading at [Command], then basic.
package demo

import (
	"context"
	"errors"
	"fmt"
	"io"
	"maps"
	"os"
	"slices"
	"sync"
	"time"
	"wingmount/internal/printer"
	"wingmount/internal/testcluster"
)

const (
	// scenarioTimeout is how long a scenario may take.
	scenarioTimeout = 60 * time.Second
	// defaultScenario runs if the command line names none.
	defaultScenario = "basic"
)

// scenario is one demonstration.
type scenario struct {
	summary string
	run     func(ctx context.Context, r *scenarioRun) error
}

// scenarios returns all scenarios by name.
func scenarios() map[string]scenario {
	return map[string]scenario{
		"assignment":  {"six nodes in two regions own destinations under leases: a partition, a drain, kills, a pause", assignment},
		"basic":       {"a node on SQLite and three partners, one with an outage and one that limits its rate", basic},
		"gossip":      {"ten nodes share what they observe of partners, one lies and one is silent; ten more share nothing", gossip},
		"overload":    {"three times what the node can deliver: what it accepts it delivers, the rest gets Retry-After", overload},
		"quorum":      {"seven control machines in three regions form a quorum: one is killed, a region is cut off", quorum},
		"rules":       {"rules give keys and classes; they change while messages wait, and while the node is killed", rules},
		"store-crash": {"the node is killed at failure points and started again, its database locked meanwhile", storeCrash},
		"takeover":    {"three nodes share a database: one is killed, one paused past its lease, one cut off", takeover},
	}
}

// scenarioRun is one run of a scenario. The scenario sets tally and figures.
type scenarioRun struct {
	dir     string   // for the files of the cluster
	command []string // starts a node
	tally   testcluster.Tally
	figures map[string]any // of this scenario only, by JSON key

	startedAt time.Time
	mu        sync.Mutex // guards progress
	progress  io.Writer
}

// Command runs what follows 'demo' on the command line. It writes the table and then one JSON object to out, and what
// the scenario does meanwhile to progress. It returns an error if a guarantee was broken.
func Command(ctx context.Context, args []string, out, progress io.Writer) error {
	name := defaultScenario
	switch {
	case len(args) == 1 && args[0] == "--list":
		return list(out)
	case len(args) == 1:
		name = args[0]
	case len(args) > 1:
		return errors.New("usage: wingmount demo [SCENARIO] | --list")
	}
	chosen, ok := scenarios()[name]
	if !ok {
		return fmt.Errorf("there is no scenario %q: see wingmount demo --list", name)
	}
	executable, err := os.Executable()
	if err != nil {
		return fmt.Errorf("finding this program: %w", err)
	}
	return runScenario(ctx, name, chosen, []string{executable}, out, progress)
}

// list writes the names and summaries of all scenarios.
func list(out io.Writer) error {
	all := scenarios()
	p := printer.New(out)
	for _, name := range slices.Sorted(maps.Keys(all)) {
		p.Printf("%-14s %s\n", name, all[name].summary)
	}
	return p.Err()
}

// runScenario runs one scenario, whose nodes are started by command, and reports its result.
func runScenario(ctx context.Context, name string, chosen scenario, command []string, out, progress io.Writer) error {
	dir, err := os.MkdirTemp("", "wingmount-demo-")
	if err != nil {
		return fmt.Errorf("a folder for the demo: %w", err)
	}
	defer func() { _ = os.RemoveAll(dir) }()
	ctx, cancel := context.WithTimeout(ctx, scenarioTimeout)
	defer cancel()
	r := &scenarioRun{dir: dir, command: command, figures: map[string]any{}, startedAt: time.Now(), progress: progress}
	r.logf("scenario %s: %s", name, chosen.summary)
	if err := chosen.run(ctx, r); err != nil {
		return fmt.Errorf("scenario %s: %w", name, err)
	}
	return r.report(name, time.Since(r.startedAt), out)
}

// logf writes a line of progress with the time since the start.
func (r *scenarioRun) logf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.progress, "%6.2f s  %s\n", time.Since(r.startedAt).Seconds(), fmt.Sprintf(format, args...)) // the run does not depend on it
}

// finish waits for the last results and counts.
func (r *scenarioRun) finish(ctx context.Context, c *testcluster.Cluster) {
	r.logf("all messages are submitted; waiting for the last results")
	c.AwaitResults(ctx)
	r.tally = c.Tally()
}

// pause waits for a time. It returns an error if ctx ends before.
func pause(ctx context.Context, d time.Duration) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(d):
		return nil
	}
}
