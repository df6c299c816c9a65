package demo

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/url"
	"time"
	"wingmount/internal/testcluster"
)

// The size of the scenario assignment.
const (
	assignedRegions      = 2
	assignedNodes        = 6 // three in each region
	assignedDestinations = 6
	assignedOwners       = 2  // of a destination in each region
	assignedRate         = 11 // calls a second of each destination, in both regions together
	assignedLease        = 5 * time.Second
	assignedMessages     = 2040
	assignedTraffic      = 34 * time.Second
	// assignedSenders is how many nodes may round their fraction of a limit up: owners, and one that finishes.
	assignedSenders = assignedRegions*assignedOwners + 1
)

// assignmentRun is one run of the scenario assignment.
type assignmentRun struct{ *assignedRun }

// assignment is a scenario: six nodes in two regions are assigned their destinations by one control process in each
// region. The regions are cut from each other while a node drains on one side and one is killed on the other; a control
// process is killed; an endpoint moves; a node is paused past its lease. The nodes have no destinations in their files.
func assignment(ctx context.Context, s *scenarioRun) (err error) {
	assigned, err := newAssignedRun(s, testcluster.Config{
		Destinations: assignedDestinations, Nodes: assignedNodes, AdvertisedRate: assignedRate,
		Assignment: &testcluster.Assignment{
			Regions: assignedRegions, Owners: assignedOwners, Lease: assignedLease, RestartGrace: time.Second, Distributed: true,
		},
	})
	if err != nil {
		return err
	}
	r := assignmentRun{assigned}
	defer func() { err = errors.Join(err, r.close()) }()
	if err := r.start(ctx); err != nil {
		return err
	}
	return r.play(ctx, assignedMessages, assignedTraffic, r.partitionRegions, r.restartControl, r.bringBack, r.moveEndpoint, r.pauseOwner)
}

// start starts the control processes and the nodes, and lets the assignments become stable.
func (r assignmentRun) start(ctx context.Context) error {
	if err := r.startControls(ctx, assignedRegions); err != nil {
		return err
	}
	if err := r.startNodes(ctx, assignedRate, assignedSenders); err != nil {
		return err
	}
	r.logf("%d nodes in %d regions are ready; each of %d destinations has %d owners in a region, and accepts %d calls a second",
		assignedNodes, assignedRegions, assignedDestinations, assignedOwners, assignedRate)
	if err := pause(ctx, 3*time.Second); err != nil {
		return err
	}
	r.logf("%d messages come over %v", assignedMessages, assignedTraffic)
	return pause(ctx, 2*time.Second)
}

// partitionRegions cuts the regions from each other, drains a node on one side and kills one on the other.
func (r assignmentRun) partitionRegions(ctx context.Context) error {
	r.CutRegions()
	r.logf("the regions are cut from each other: clients reach only the nodes of their own region")
	if err := pause(ctx, time.Second); err != nil {
		return err
	}
	if err := r.setDraining(ctx, 0, true); err != nil {
		return err
	}
	r.logf("region 1: node-1 drains: it finishes what it has accepted, and redirects clients to the others")
	if err := pause(ctx, time.Second); err != nil {
		return err
	}
	r.nodes[1].Kill()
	r.CountCrash()
	r.logf("region 2: node-2 is killed with messages in flight")
	if err := pause(ctx, 8*time.Second); err != nil {
		return err
	}
	r.JoinRegions()
	r.logf("the regions reach each other again")
	return pause(ctx, time.Second)
}

// restartControl kills a control process and starts it again.
func (r assignmentRun) restartControl(ctx context.Context) (err error) {
	r.controls[0].Kill()
	r.logf("region 1 loses its control process: leases stay valid")
	if err := pause(ctx, 1500*time.Millisecond); err != nil {
		return err
	}
	if r.controls[0], err = r.StartControl(ctx, 0, false); err != nil {
		return err
	}
	r.logf("it is started again, and grants what the nodes reclaim")
	return pause(ctx, 2*time.Second)
}

// bringBack ends the drain, and starts the node that was killed.
func (r assignmentRun) bringBack(ctx context.Context) (err error) {
	if err := r.setDraining(ctx, 0, false); err != nil {
		return err
	}
	if r.nodes[1], err = r.StartNode(ctx, 1, ""); err != nil {
		return err
	}
	r.logf("node-1 drains no more; node-2 is started again, and finishes what it had accepted within the limits")
	return pause(ctx, 3*time.Second)
}

// moveEndpoint moves a partner's endpoint to another address.
func (r assignmentRun) moveEndpoint(ctx context.Context) error {
	if err := r.MoveEndpoint(ctx, 1, "annex"); err != nil {
		return err
	}
	r.logf("partner-1 moves its endpoint in the annex: the control processes read it, and its owners call it there")
	return pause(ctx, 500*time.Millisecond)
}

// pauseOwner pauses a node past its lease.
func (r assignmentRun) pauseOwner(ctx context.Context) error {
	const node = 2
	if err := pauseNode(ctx, r.nodes[node]); err != nil {
		return err
	}
	r.logf("node-3 is paused past its lease")
	if err := pause(ctx, assignedLease+2*time.Second); err != nil {
		return err
	}
	if err := r.nodes[node].Resume(); err != nil {
		return fmt.Errorf("continuing a node: %w", err)
	}
	r.logf("node-3 continues: it sends nothing until it has a lease again")
	return nil
}

// setDraining has the control process of a node's region drain the node, or end its drain.
func (r assignmentRun) setDraining(ctx context.Context, node int, draining bool) error {
	query := url.Values{"node": {fmt.Sprint("node-", node+1)}, "draining": {fmt.Sprint(draining)}}
	target := url.URL{Scheme: "http", Host: r.ControlAddress(node % assignedRegions), Path: "/v1/assignment/drain", RawQuery: query.Encode()}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, target.String(), nil)
	if err != nil {
		return err
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return fmt.Errorf("draining a node: %w", err)
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusNoContent {
		return fmt.Errorf("draining a node: the control process answered %d", response.StatusCode)
	}
	return nil
}
