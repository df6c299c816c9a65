package testcluster

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"syscall"
	"time"
)

const (
	// readyInterval is how often a process that starts is asked whether it is ready.
	readyInterval = 2 * time.Millisecond
	// pausedInterval is how often a process is asked whether it is paused.
	pausedInterval = time.Millisecond
	// stoppedState is the state of a process that is stopped by a signal (proc(5)).
	stoppedState = "T"
)

// ErrExitedEarly is returned for a node that exited before it was ready.
var ErrExitedEarly = errors.New("the node ended before it was ready")

// NodeProcess is one process of a node.
type NodeProcess struct {
	*process
	cluster *Cluster
	node    int // counted from 0
}

// StartNode starts a node, counted from 0, with failure points armed, and waits until it is ready. If ctx ends first it
// kills the node. A node that has exited before it was ready is returned together with an error that has its log;
// without a process the node is nil.
func (c *Cluster) StartNode(ctx context.Context, node int, failpoints string) (*NodeProcess, error) {
	args := []string{"run", "--config", c.nodes[node].config}
	if c.config.DecisionLog != "" {
		args = append(args, "--record", c.config.DecisionLog)
	}
	if failpoints != "" {
		args = append(args, "--fail", failpoints)
	}
	child, err := c.startProcess(func() { c.markDown(node) }, args...)
	if err != nil {
		return nil, err
	}
	p := &NodeProcess{process: child, cluster: c, node: node}
	if err := p.awaitReady(ctx); err != nil {
		return p, err
	}
	c.markUp(node)
	return p, nil
}

// awaitReady waits until the node is ready. It kills the node when ctx ends first.
func (p *NodeProcess) awaitReady(ctx context.Context) error {
	started := time.Now()
	for !p.isReady(ctx) {
		select {
		case <-ctx.Done():
			after := time.Since(started)
			p.Kill()
			return fmt.Errorf("the node is not ready after %v: %w: %s", after, ctx.Err(), p.Log())
		case <-p.exited:
			return fmt.Errorf("%w: %s: %s", ErrExitedEarly, p.cmd.ProcessState, p.Log())
		case <-time.After(readyInterval):
		}
	}
	return nil
}

// isReady reports whether the node answers a health check with 200.
func (p *NodeProcess) isReady(ctx context.Context) bool {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+p.cluster.nodes[p.node].address+"/healthz", nil)
	if err != nil {
		return false
	}
	response, err := p.cluster.client.Do(request)
	if err != nil {
		return false
	}
	_ = response.Body.Close() // only the status counts
	return response.StatusCode == http.StatusOK
}

// AwaitPaused waits until the process is stopped, by SIGSTOP or at a failure point. The node counts as down from then
// on. See [NodeProcess.Resume].
func (p *NodeProcess) AwaitPaused(ctx context.Context) error {
	for {
		fields, err := p.stat()
		if err != nil {
			return fmt.Errorf("waiting for a node to be paused: %w", err)
		}
		if fields[statState] == stoppedState {
			p.cluster.markDown(p.node)
			return nil
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("waiting for a node to be paused: %w", ctx.Err())
		case <-p.exited:
			return fmt.Errorf("waiting for a node to be paused: it ended: %w", p.err)
		case <-time.After(pausedInterval):
		}
	}
}

// Resume continues a paused process. The node counts as up from then on.
func (p *NodeProcess) Resume() error {
	c := p.cluster
	c.mu.Lock() // the exit of the process, if it exits at once, begins an outage of its own
	defer c.mu.Unlock()
	if err := p.Signal(syscall.SIGCONT); err != nil {
		return err
	}
	c.endOutages(p.node)
	return nil
}
