package demo

import (
	"context"
	"errors"
	"time"
	"wingmount/internal/testcluster"
)

// The size of the scenario quorum.
const (
	quorumRegions      = 3
	quorumNodes        = 6 // two in each region
	quorumDestinations = 3
	quorumRate         = 60 // calls a second of each destination, in all regions together
	quorumLease        = 8 * time.Second
	quorumMessages     = 1500
	quorumTraffic      = 30 * time.Second
	// quorumSenders is how many nodes may round their fraction of a limit up: owners, and one that finishes.
	quorumSenders = quorumRegions + 1
	// quorumStartup is how long machines and nodes have before the traffic.
	quorumStartup = 3 * time.Second
)

// quorumMachines are the control machines of each region: without any one region the others are a majority.
var quorumMachines = []int{3, 2, 2}

// quorumRun is one run of the scenario quorum.
type quorumRun struct{ *assignedRun }

// quorum is a scenario: six nodes in three regions, and seven control machines that form a quorum. The leader of the
// first region is killed; the region is cut off for longer than a lease, while a partner's endpoint moves on the other
// side.
func quorum(ctx context.Context, s *scenarioRun) (err error) {
	assigned, err := newAssignedRun(s, testcluster.Config{
		Destinations: quorumDestinations, Nodes: quorumNodes, AdvertisedRate: quorumRate,
		Assignment: &testcluster.Assignment{
			Regions: quorumRegions, Owners: 1, Lease: quorumLease, RestartGrace: time.Second, ControlMachines: quorumMachines, Distributed: true,
		},
	})
	if err != nil {
		return err
	}
	r := quorumRun{assigned}
	defer func() { err = errors.Join(err, r.close()) }()
	if err := r.start(ctx); err != nil {
		return err
	}
	return r.play(ctx, quorumMessages, quorumTraffic, r.killLeader, r.isolateRegion)
}

// start starts the control machines and the nodes, and has the cluster spec replicated.
func (r quorumRun) start(ctx context.Context) error {
	machines := 0
	for _, count := range quorumMachines {
		machines += count
	}
	if err := r.startControls(ctx, machines); err != nil {
		return err
	}
	if err := r.ReloadSpec(ctx); err != nil {
		return err
	}
	if err := r.startNodes(ctx, quorumRate, quorumSenders); err != nil {
		return err
	}
	r.logf("%d control machines in %d regions form a quorum, and %d nodes are ready; %d messages come over %v",
		machines, quorumRegions, quorumNodes, quorumMessages, quorumTraffic)
	return pause(ctx, quorumStartup)
}

// killLeader kills the leader of the first region, and waits for the next one.
func (r quorumRun) killLeader(ctx context.Context) error {
	leader, err := r.AwaitLeader(ctx, 0, -1)
	if err != nil {
		return err
	}
	r.controls[leader].Kill()
	killed := time.Now()
	r.logf("region 1: machine %d, its leader, is killed: its nodes continue under their leases", leader+1)
	successor, err := r.AwaitLeader(ctx, 0, leader)
	if err != nil {
		return err
	}
	r.figures["new_leader_after_ms"] = time.Since(killed).Milliseconds()
	r.logf("region 1: machine %d is its leader, %v later", successor+1, time.Since(killed).Round(100*time.Millisecond))
	if r.controls[leader], err = r.StartControl(ctx, leader, false); err != nil {
		return err
	}
	return r.awaitJoined(ctx, leader)
}

// awaitJoined waits until a machine has joined the quorum.
func (r quorumRun) awaitJoined(ctx context.Context, machine int) error {
	for {
		state, err := r.QuorumState(ctx, machine)
		if err == nil && state.Joined {
			r.logf("machine %d is started again, and has joined", machine+1)
			return nil
		}
		if err := pause(ctx, 50*time.Millisecond); err != nil {
			return err
		}
	}
}

// isolateRegion cuts the first region off for longer than a lease, while an endpoint moves, and waits until the region
// knows of that.
func (r quorumRun) isolateRegion(ctx context.Context) error {
	r.CutRegion(0)
	cut := time.Now()
	r.logf("region 1 is cut off from the others: its machines reach each other, and its nodes continue")
	if err := pause(ctx, time.Second); err != nil {
		return err
	}
	if err := r.MoveEndpoint(ctx, 1, "annex"); err != nil {
		return err
	}
	r.logf("partner-1 moves its endpoint in the annex: the others agree on it")
	if err := pause(ctx, time.Until(cut.Add(quorumLease+2*time.Second))); err != nil {
		return err
	}
	before, err := r.QuorumState(ctx, 0)
	if err != nil {
		return err
	}
	r.JoinRegions()
	healed := time.Now()
	if err := r.awaitSpecAfter(ctx, 0, before.SpecVersion); err != nil {
		return err
	}
	r.figures["change_known_after_cut_ms"] = time.Since(healed).Milliseconds()
	r.logf("region 1 reaches the others again, and knows of the move after %v", time.Since(healed).Round(10*time.Millisecond))
	return nil
}

// awaitSpecAfter waits until a machine knows a later version of the cluster spec.
func (r quorumRun) awaitSpecAfter(ctx context.Context, machine int, version uint64) error {
	for {
		state, err := r.QuorumState(ctx, machine)
		if err != nil || state.SpecVersion > version {
			return err
		}
		if err := pause(ctx, 20*time.Millisecond); err != nil {
			return err
		}
	}
}
