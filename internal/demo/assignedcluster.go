package demo

import (
	"context"
	"fmt"
	"time"
	"wingmount/internal/testcluster"
)

// assignedRun is one run of a scenario with control machines.
type assignedRun struct {
	*scenarioRun
	*testcluster.Cluster
	nodes    []*testcluster.NodeProcess
	controls []*testcluster.ControlProcess
}

// newAssignedRun builds a cluster with control machines. No process runs yet.
func newAssignedRun(r *scenarioRun, config testcluster.Config) (*assignedRun, error) {
	config.Dir, config.Command, config.Store, config.MaxStoreMB = r.dir, r.command, "sqlite", 16
	config.Deadline, config.ResultSlack, config.CallDuration = 20*time.Second, 1500*time.Millisecond, 20*time.Millisecond
	c, err := testcluster.New(config)
	if err != nil {
		return nil, err
	}
	return &assignedRun{scenarioRun: r, Cluster: c, nodes: make([]*testcluster.NodeProcess, config.Nodes)}, nil
}

// startControls starts all control machines, whose number is count.
func (r *assignedRun) startControls(ctx context.Context, count int) error {
	for i := range count {
		machine, err := r.StartControl(ctx, i, true)
		if err != nil {
			return fmt.Errorf("control machine %d: %w", i+1, err)
		}
		r.controls = append(r.controls, machine)
	}
	return nil
}

// startNodes starts all nodes. From then on partners count calls over a rate limit, of which each of a number of senders
// may round its fraction up.
func (r *assignedRun) startNodes(ctx context.Context, limit float64, senders int) (err error) {
	for i := range r.nodes {
		if r.nodes[i], err = r.StartNode(ctx, i, ""); err != nil {
			return err
		}
	}
	for _, d := range r.Destinations {
		d.System.SetRateLimit(limit, senders)
	}
	return nil
}

// play submits messages over a time, runs the steps meanwhile, waits for the last results and counts.
func (r *assignedRun) play(ctx context.Context, messages int, duration time.Duration, steps ...func(context.Context) error) error {
	traffic := submitInBackground(ctx, r.Cluster, messages, duration)
	defer traffic.stop()
	for _, step := range steps {
		if err := step(ctx); err != nil {
			return err
		}
	}
	if err := traffic.wait(); err != nil {
		return err
	}
	r.finish(ctx, r.Cluster)
	return r.countOverLimit()
}

// countOverLimit counts the calls over the rate limits, of which there must be none.
func (r *assignedRun) countOverLimit() error {
	over := 0
	for _, d := range r.Destinations {
		over += d.System.CallsOverLimit()
	}
	r.figures["over_limit"], r.figures["redirects"] = over, r.Redirects()
	if over > 0 {
		return fmt.Errorf("partners had %d calls over their limits", over)
	}
	return nil
}

// close kills all processes and closes the cluster.
func (r *assignedRun) close() error {
	for _, node := range r.nodes {
		if node != nil {
			node.Kill()
		}
	}
	for _, machine := range r.controls {
		if machine != nil {
			machine.Kill()
		}
	}
	return r.Close()
}
