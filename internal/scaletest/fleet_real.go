package scaletest

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"time"
	"wingmount/internal/clusterspec"
	"wingmount/internal/control"
)

const (
	// realRegion is the region of real nodes. They own destinations of their own, because the run follows
	// assignments by the reports of hollow nodes, and real ones send none.
	realRegion = "region-real"
	// firstRealDestination is the number of their first destination.
	firstRealDestination = 1 << 24
	// realIdle is the span in which their usage is measured.
	realIdle = 5 * time.Second
	// realPollInterval is how often a run checks whether they have their assignments.
	realPollInterval = 100 * time.Millisecond
)

// Real is the result of real nodes beside the hollow ones.
type Real struct {
	Nodes        int     `json:"nodes"`
	Destinations int     `json:"destinations"`     // that each owns, on average
	ReadySeconds float64 `json:"ready_seconds"`    // from the start of the processes until all have applied their assignments
	Memory       float64 `json:"memory"`           // bytes, resident, on average
	Cores        float64 `json:"cores"`            // at rest, on average
	Bytes        float64 `json:"bytes_per_second"` // that each read and wrote, on sockets and files
}

func realName(i int) string { return fmt.Sprintf("real-%04d", i) }

// destinationsPerNode returns how many destinations each node owns, on average.
func destinationsPerNode(fleet Fleet) int { return max(1, fleet.Destinations*fleet.Owners/fleet.Nodes) }

// addReal adds the real nodes and their destinations to a spec.
func addReal(spec *clusterspec.Spec, fleet Fleet) {
	if fleet.Real == 0 {
		return
	}
	for i := range fleet.Real {
		spec.Nodes = append(spec.Nodes, clusterspec.Node{
			Name: realName(i), Region: realRegion, Zone: zoneName(i), Weight: 1,
			Address: fmt.Sprintf("127.0.0.1:%d", 1+i),
		})
	}
	owners := min(fleet.Owners, fleet.Real)
	for i := range destinationsPerNode(fleet) * fleet.Real / owners {
		d := newDestination(firstRealDestination+i, meanRate, fleet)
		d.Owners, d.Region = owners, realRegion
		spec.Destinations = append(spec.Destinations, d)
	}
}

// realNodes are the processes of real nodes.
type realNodes []*exec.Cmd

// errNoNode is the error of a scenario with real nodes where [Options.Node] is missing.
var errNoNode = errors.New("nothing says how to run a real node")

// measureReal runs real nodes until they have their assignments, and measures what they use at rest.
func (f *fleetRun) measureReal(ctx context.Context) error {
	if f.fleet.Real == 0 {
		return nil
	}
	if len(f.env.options.Node) == 0 {
		return errNoNode
	}
	began := time.Now()
	for i := range f.fleet.Real {
		process, err := f.startReal(ctx, i)
		if err != nil {
			return err
		}
		f.real = append(f.real, process)
	}
	if err := f.awaitReal(ctx); err != nil {
		return err
	}
	result := &Real{Nodes: f.fleet.Real, Destinations: destinationsPerNode(f.fleet), ReadySeconds: time.Since(began).Seconds()}
	if err := f.pause(ctx, restAfterStart, nil); err != nil { // a node frees memory after its start
		return err
	}
	before, err := f.real.usage()
	if err != nil {
		return err
	}
	if err := f.pause(ctx, realIdle, nil); err != nil {
		return err
	}
	after, err := f.real.usage()
	if err != nil {
		return err
	}
	used, count := after.since(before), float64(f.fleet.Real)
	result.Memory = float64(after.Resident) / count
	result.Cores = used.CPU.Seconds() / realIdle.Seconds() / count
	result.Bytes = float64(used.IO) / realIdle.Seconds() / count
	f.result.Real = result
	return f.real.stop()
}

// startReal writes the configuration of a real node and starts it.
func (f *fleetRun) startReal(ctx context.Context, i int) (*exec.Cmd, error) {
	listen, err := f.ports.Next()
	if err != nil {
		return nil, err
	}
	path := filepath.Join(f.dir, realName(i)+".toml")
	text := f.realConfig(realName(i), listen, path)
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		return nil, err
	}
	command := f.env.options.Node
	process := exec.CommandContext(ctx, command[0], append(command[1:len(command):len(command)], "run", "--config", path)...)
	process.Env = append(os.Environ(), f.env.options.Env...)
	if err := process.Start(); err != nil {
		return nil, fmt.Errorf("starting a real node: %w", err)
	}
	return process, nil
}

// realConfig returns the configuration of a real node whose files have names that begin with a path.
func (f *fleetRun) realConfig(name, listen, path string) string {
	var zones []string
	for i := range f.fleet.Endpoints {
		zones = append(zones, fmt.Sprintf("%q", zoneName(i)))
	}
	return fmt.Sprintf("name = %q\nlisten = %q\n[store]\nkind = \"sqlite\"\npath = %q\ndurability = \"process\"\n"+
		"[assignment]\ncontrol = [%q]\nstate = %q\ndestinations = \"control\"\nbuildings = [%s]\n"+
		"[[class]]\nname = \"keyed\"\nrepeat = \"keyed\"\nwindow = \"12s\"\nwanted = \"1s\"\ndeadline = \"20s\"\n",
		name, listen, path+".db", f.address, path+".state", strings.Join(zones, ", "))
}

// awaitReal waits until all real nodes have applied their assignments.
func (f *fleetRun) awaitReal(ctx context.Context) error {
	for {
		complete, err := f.realComplete(ctx)
		if err != nil {
			return err
		}
		if complete {
			return nil
		}
		if err := f.pause(ctx, realPollInterval, nil); err != nil {
			return fmt.Errorf("waiting for the assignments of real nodes: %w", err)
		}
	}
}

// realComplete reports whether all real nodes have applied their assignments.
func (f *fleetRun) realComplete(ctx context.Context) (bool, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+f.address+"/v1/assignment/state", nil)
	if err != nil {
		return false, err
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return false, err
	}
	defer func() { _ = response.Body.Close() }()
	var state control.State
	if err := json.NewDecoder(response.Body).Decode(&state); err != nil {
		return false, err
	}
	return completeSessions(state) == f.fleet.Real, nil
}

// completeSessions returns how many sessions of real nodes have applied all of their assignments.
func completeSessions(state control.State) int {
	complete := 0
	for _, node := range state.Nodes {
		if node.Region != realRegion {
			continue
		}
		for _, session := range node.Sessions {
			if session.Active && session.Assignments > 0 && session.AppliedVersion == session.Version {
				complete++
			}
		}
	}
	return complete
}

// usage returns what all real nodes have used.
func (r realNodes) usage() (Usage, error) {
	var sum Usage
	for _, process := range r {
		u, err := processUsage(process.Process.Pid)
		if err != nil {
			return sum, err
		}
		sum = sum.plus(u)
	}
	return sum, nil
}

// stop kills all real nodes.
func (r realNodes) stop() error {
	var errs []error
	for _, process := range r {
		if process.ProcessState != nil {
			continue
		}
		if err := process.Process.Kill(); err != nil && !errors.Is(err, os.ErrProcessDone) {
			errs = append(errs, err)
		}
		_ = process.Wait() // returns an error because the process was killed
	}
	return errors.Join(errs...)
}
