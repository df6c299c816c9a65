package demo

import (
	"context"
	"errors"
	"fmt"
	"syscall"
	"time"
	"wingmount/internal/fake/partner"
	"wingmount/internal/testcluster"
)

const (
	takeoverNodes    = 3
	takeoverLease    = 1500 * time.Millisecond
	takeoverMessages = 1800
	takeoverTraffic  = 18 * time.Second
)

// takeoverRun is one run of the scenario takeover.
type takeoverRun struct {
	*scenarioRun
	cluster *testcluster.Cluster
	nodes   []*testcluster.NodeProcess
}

// takeover is a scenario: three nodes on one database. One is killed, one is paused for longer than its lease and then
// continued, one loses the database; each time the others finish its messages.
func takeover(ctx context.Context, r *scenarioRun) (err error) {
	c, err := testcluster.New(testcluster.Config{
		Dir: r.dir, Command: r.command, Store: "postgres", Deadline: 8 * time.Second, Destinations: 3,
		CallDuration: 40 * time.Millisecond, Nodes: takeoverNodes, Lease: takeoverLease,
	})
	if err != nil {
		return err
	}
	defer func() { err = errors.Join(err, c.Close()) }()
	run := &takeoverRun{scenarioRun: r, cluster: c, nodes: make([]*testcluster.NodeProcess, takeoverNodes)}
	defer run.killNodes()
	if err := run.start(ctx, takeoverNodes); err != nil {
		return err
	}
	r.logf("three nodes are ready, with leases of %v on one database; %d messages come over %v", takeoverLease, takeoverMessages, takeoverTraffic)
	traffic := submitInBackground(ctx, c, takeoverMessages, takeoverTraffic)
	defer traffic.stop()
	for _, step := range []func(context.Context) error{run.killNode1, run.pauseNode2, run.continueNode2, run.restart, run.isolateNode3} {
		if err := step(ctx); err != nil {
			return err
		}
	}
	if err := traffic.wait(); err != nil {
		return err
	}
	r.finish(ctx, c)
	return nil
}

// start starts the first n nodes.
func (r *takeoverRun) start(ctx context.Context, n int) (err error) {
	for i := range n {
		if r.nodes[i], err = r.cluster.StartNode(ctx, i, ""); err != nil {
			return err
		}
	}
	return nil
}

func (r *takeoverRun) killNodes() {
	for _, node := range r.nodes {
		if node != nil {
			node.Kill()
		}
	}
}

func (r *takeoverRun) setPartner2(mode partner.Mode) {
	r.cluster.Destination(2).System.SetMode(mode)
}

// killNode1 kills node 1 while messages for partner-2 wait.
func (r *takeoverRun) killNode1(ctx context.Context) error {
	r.setPartner2(partner.Unavailable)
	r.logf("partner-2 answers 503: its messages wait")
	if err := pause(ctx, 2*time.Second); err != nil {
		return err
	}
	r.nodes[0].Kill()
	r.cluster.CountCrash()
	r.logf("node 1 is killed with messages in flight, and is not started again")
	return pause(ctx, 4*time.Second)
}

// pauseNode2 pauses node 2 for longer than its lease.
func (r *takeoverRun) pauseNode2(ctx context.Context) error {
	if err := pauseNode(ctx, r.nodes[1]); err != nil {
		return err
	}
	r.logf("node 2 is paused")
	return pause(ctx, takeoverLease+1500*time.Millisecond)
}

// continueNode2 continues node 2 while node 3 has its messages, and waits until it has exited.
func (r *takeoverRun) continueNode2(ctx context.Context) error {
	r.setPartner2(partner.Healthy)
	r.logf("partner-2 is back; node 3 is the only one that works")
	if err := pause(ctx, time.Second); err != nil {
		return err
	}
	if err := r.nodes[1].Resume(); err != nil {
		return fmt.Errorf("continuing a node: %w", err)
	}
	return r.awaitExit(ctx, 1, "node 2 is continued, finds that its messages are another node's, and ends")
}

// restart starts nodes 1 and 2 again.
func (r *takeoverRun) restart(ctx context.Context) error {
	if err := r.start(ctx, 2); err != nil {
		return err
	}
	r.setPartner2(partner.Unavailable)
	r.logf("nodes 1 and 2 are started again; partner-2 answers 503 once more")
	return pause(ctx, time.Second)
}

// isolateNode3 cuts node 3 off from the database for longer than its lease, and waits until it has exited.
func (r *takeoverRun) isolateNode3(ctx context.Context) error {
	const application = "wingmount node-3"
	r.cluster.Postgres.CutOff(application)
	r.logf("node 3 loses the database")
	if err := pause(ctx, takeoverLease+2*time.Second); err != nil {
		return err
	}
	r.cluster.Postgres.EndCutOff(application)
	r.setPartner2(partner.Healthy)
	return r.awaitExit(ctx, 2, "partner-2 is back; node 3 has the database back, finds that its messages are another node's, and ends")
}

// awaitExit waits until a node, counted from 0, has exited, and then writes a line of progress.
func (r *takeoverRun) awaitExit(ctx context.Context, node int, line string) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-r.nodes[node].Exited():
		r.logf("%s", line)
		return nil
	}
}

// pauseNode stops a process by a signal, and waits until it is stopped.
func pauseNode(ctx context.Context, node *testcluster.NodeProcess) error {
	if err := node.Signal(syscall.SIGSTOP); err != nil {
		return fmt.Errorf("pausing a node: %w", err)
	}
	return node.AwaitPaused(ctx)
}
