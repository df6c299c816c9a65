package demo

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"sync"
	"time"
	"wingmount/internal/fake/partner"
	"wingmount/internal/testcluster"
)

const (
	// crashTimeout is how long a node may take until it passes its failure point.
	crashTimeout = 5 * time.Second
	// lockDuration is how long another program locks the database, longer than the deadline of a message.
	lockDuration = 10 * time.Second
	// firstPass is how often a node passes its failure point before it is killed there; each node passes it once more
	// than the one before.
	firstPass = 10
)

// crashPoints are the failure points at which the scenario store-crash kills the node: before and after each write
// about a message.
var crashPoints = []string{
	"front/http/after-take", "carrier/after-attempt", "carrier/before-outcome", "carrier/after-outcome",
	"engine/after-end", "platform/before-telling", "platform/after-telling",
	"store/sqlite/before-commit", "store/sqlite/after-commit", "store/sqlite/after-witness",
}

// crashRun is one run of the scenario store-crash.
type crashRun struct {
	*scenarioRun
	cluster *testcluster.Cluster
	node    *testcluster.NodeProcess // the latest, nil before the first
}

// storeCrash is a scenario: the node is killed at one failure point after another while messages come, and the database
// is locked for longer than the deadline of a message.
func storeCrash(ctx context.Context, r *scenarioRun) (err error) {
	c, err := testcluster.New(testcluster.Config{
		Dir: r.dir, Command: r.command, Store: "sqlite", Deadline: 4 * time.Second, Destinations: 3, CallDuration: 30 * time.Millisecond,
	})
	if err != nil {
		return err
	}
	defer func() { err = errors.Join(err, c.Close()) }()
	run := &crashRun{scenarioRun: r, cluster: c}
	defer run.killNode()
	stop := make(chan struct{})
	var sending sync.WaitGroup
	submitted := make(chan error, 1)
	sending.Go(func() { submitted <- submitWaves(ctx, c, stop) })
	err = run.crashes(ctx)
	close(stop)
	sending.Wait()
	if err := errors.Join(err, <-submitted); err != nil {
		return err
	}
	r.figures["points"] = len(crashPoints)
	r.finish(ctx, c)
	return nil
}

// crashes causes all faults, one after the other.
func (r *crashRun) crashes(ctx context.Context) error {
	for i, point := range crashPoints {
		if err := r.crashAt(ctx, i, point); err != nil {
			return err
		}
	}
	if err := r.crashInSlowCommit(ctx); err != nil {
		return err
	}
	return r.lockStore(ctx)
}

// submitWaves submits messages, one wave after the other, until stop is closed.
func submitWaves(ctx context.Context, c *testcluster.Cluster, stop <-chan struct{}) error {
	for i := 0; ; i++ {
		select {
		case <-stop:
			return nil
		default:
		}
		if err := submitAll(ctx, c, fmt.Sprint("wave", i), 30, 500*time.Millisecond); err != nil {
			return err
		}
	}
}

// crashAt starts a node that kills itself at a failure point, the i-th of crashPoints, and waits until it has.
func (r *crashRun) crashAt(ctx context.Context, i int, point string) error {
	pass := firstPass + i
	switch {
	case strings.HasPrefix(point, "engine/"):
		r.setPartner2(partner.FailsAfterEffect)
		r.logf("partner-2 runs calls and answers 500")
		pass = 1 // passed only for results other than delivered, which are rare
	case point == "store/sqlite/before-commit":
		r.setPartner2(partner.Unavailable)
		r.logf("partner-2 answers 503")
	}
	if err := r.startNode(ctx, fmt.Sprintf("%s=kill@%d", point, pass)); err != nil {
		return err
	}
	return r.awaitCrash(ctx, point)
}

// awaitCrash waits until the node has killed itself at a failure point.
func (r *crashRun) awaitCrash(ctx context.Context, point string) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-r.node.Exited():
		r.cluster.CountCrash()
		r.logf("killed at %s", point)
		return nil
	case <-time.After(crashTimeout):
		return fmt.Errorf("the node never passed %s", point)
	}
}

// startNode starts a node with failure points, one of which may kill it before it is ready.
func (r *crashRun) startNode(ctx context.Context, points string) (err error) {
	r.node, err = r.cluster.StartNode(ctx, 0, points)
	if errors.Is(err, testcluster.ErrExitedEarly) {
		return nil
	}
	return err
}

// crashInSlowCommit starts a node whose commits are slow and which kills itself after one of them, and waits until it
// has.
func (r *crashRun) crashInSlowCommit(ctx context.Context) error {
	const point = "store/sqlite/after-commit"
	r.setPartner2(partner.Healthy)
	r.logf("partner-2 is back; each commit takes 200 ms, and the node is killed again")
	if err := r.startNode(ctx, "store/sqlite/before-commit=200ms,"+point+"=kill@8"); err != nil {
		return err
	}
	return r.awaitCrash(ctx, point)
}

// lockStore starts a node that is not killed, and locks its database for longer than the deadline of a message.
func (r *crashRun) lockStore(ctx context.Context) (err error) {
	if r.node, err = r.cluster.StartNode(ctx, 0, ""); err != nil {
		return err
	}
	if err := pause(ctx, 500*time.Millisecond); err != nil {
		return err
	}
	r.setPartner2(partner.Unavailable)
	r.logf("another program locks the database for %v, longer than a message's deadline, and partner-2 answers 503", lockDuration)
	unlock, err := lockDatabase(ctx, r.cluster.StorePath())
	if err != nil {
		return err
	}
	_ = pause(ctx, lockDuration) // the database is unlocked in any case
	err = unlock()
	r.logf("the database is free again")
	return err
}

func (r *crashRun) setPartner2(mode partner.Mode) { r.cluster.Destination(2).System.SetMode(mode) }

// killNode kills the latest node if there is one.
func (r *crashRun) killNode() {
	if r.node != nil {
		r.node.Kill()
	}
}
