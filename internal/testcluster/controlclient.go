package testcluster

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"slices"
	"time"
	"wingmount/internal/control"
)

// leaderInterval is how often control machines are asked which of them leads a region.
const leaderInterval = 20 * time.Millisecond

// MoveEndpoint moves the endpoint of a destination in a zone to another address, and has the control machines read the
// cluster spec again. Nodes that have the endpoints in their own files are not informed.
func (c *Cluster) MoveEndpoint(ctx context.Context, destination int, zone string) error {
	d := c.Destination(destination)
	at := slices.IndexFunc(d.endpoints, func(e endpoint) bool { return e.zone == zone })
	if at < 0 {
		return fmt.Errorf("destination %d has no endpoint in %q", destination, zone)
	}
	address, err := d.System.MoveEndpoint(zone)
	if err != nil {
		return err
	}
	d.endpoints[at].address = address
	if err := c.writeSpecFiles(); err != nil {
		return err
	}
	return c.ReloadSpec(ctx)
}

// ReloadSpec has the control machines read their cluster spec again. With a quorum it asks until one machine has
// replicated the spec.
func (c *Cluster) ReloadSpec(ctx context.Context) error {
	if c.hasQuorum() {
		return c.reloadQuorum(ctx)
	}
	for _, m := range c.control.machines {
		if err := m.reload(ctx); err != nil {
			return err
		}
	}
	return nil
}

func (c *Cluster) reloadQuorum(ctx context.Context) error {
	var errs []error
	for ctx.Err() == nil {
		errs = nil
		for _, m := range slices.Backward(c.control.machines) { // those of the first region may be cut off
			err := m.reload(ctx)
			if err == nil {
				return nil
			}
			errs = append(errs, err)
		}
		wait(ctx, clientRetryInterval)
	}
	return errors.Join(errs...)
}

// reload has a control machine read its cluster spec again.
func (m *controlMachine) reload(ctx context.Context) error {
	response, err := m.request(ctx, http.MethodPost, "/v1/assignment/reload")
	if err != nil {
		return fmt.Errorf("reloading the cluster spec: %w", err)
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusNoContent {
		return fmt.Errorf("reloading the cluster spec: the control process answered %d", response.StatusCode)
	}
	return nil
}

// request sends a request without a body. The caller closes the body of the response.
func (m *controlMachine) request(ctx context.Context, method, target string) (*http.Response, error) {
	request, err := http.NewRequestWithContext(ctx, method, "http://"+m.address+target, nil)
	if err != nil {
		return nil, err
	}
	return http.DefaultClient.Do(request)
}

// QuorumState returns what a control machine, counted from 0, knows of its quorum.
func (c *Cluster) QuorumState(ctx context.Context, machine int) (control.QuorumState, error) {
	var state control.QuorumState
	response, err := c.control.machines[machine].request(ctx, http.MethodGet, "/v1/quorum/state")
	if err != nil {
		return state, fmt.Errorf("asking a control machine: %w", err)
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return state, fmt.Errorf("asking a control machine: it answered %d", response.StatusCode)
	}
	return state, json.NewDecoder(response.Body).Decode(&state)
}

// AwaitLeader waits until a control machine leads a region, both counted from 0, and returns the machine. It passes over
// the machine except, -1 for none.
func (c *Cluster) AwaitLeader(ctx context.Context, region, except int) (int, error) {
	for {
		for i, m := range c.control.machines {
			if i == except || m.region != region {
				continue
			}
			if state, err := c.QuorumState(ctx, i); err == nil && state.Leading {
				return i, nil
			}
		}
		wait(ctx, leaderInterval)
		if ctx.Err() != nil {
			return 0, fmt.Errorf("no control machine leads region %d: %w", region+1, ctx.Err())
		}
	}
}

// wait returns after a time, or when ctx ends.
func wait(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
