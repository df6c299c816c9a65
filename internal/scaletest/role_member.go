package scaletest

import (
	"context"
	"errors"
	"fmt"
	"time"
	"wingmount/decide/leadership"
	"wingmount/internal/clusterspec"
	"wingmount/internal/control"
)

const (
	// quorumRegion is the region of all nodes where there is a quorum.
	quorumRegion = "region-0"
	// leaderLeaseTenths is the lease of a leader in tenths of a node's lease.
	leaderLeaseTenths = 3
	// leaderPollInterval is how often a control machine checks whether it leads the region.
	leaderPollInterval = 20 * time.Millisecond
)

// memberRegion returns the region of a control machine, numbered from 1. (count-1)/2 of the machines, one at least, are
// in the nodes' region.
func memberRegion(number, count int) string {
	home := max(1, (count-1)/2)
	if number <= home {
		return quorumRegion
	}
	return fmt.Sprintf("region-%d", 1+(number-home)%2)
}

// homeMachines returns the addresses of the control machines in the nodes' region.
func homeMachines(addresses []string) []string {
	var home []string
	for i, address := range addresses {
		if memberRegion(i+1, len(addresses)) == quorumRegion {
			home = append(home, address)
		}
	}
	return home
}

// memberConfig returns the settings of a control machine of a quorum.
func (c childConfig) memberConfig() control.MemberConfig {
	count := len(c.Machines)
	settings := control.MemberConfig{
		ServerConfig: c.serverConfig(),
		ID:           leadership.MemberID(c.Machine), Region: memberRegion(c.Machine, count),
		Leadership: leadership.Config{LeaderLease: c.lease() * leaderLeaseTenths / 10},
	}
	settings.Listen = c.Machines[c.Machine-1]
	for i, address := range c.Machines {
		settings.InitialMembers = append(settings.InitialMembers, control.QuorumMember{
			ID: leadership.MemberID(i + 1), Region: memberRegion(i+1, count), Address: address,
		})
	}
	return settings
}

// runMember runs a control machine of a quorum until the commands end.
func runMember(ctx context.Context, config childConfig, commands <-chan command, events *eventWriter) error {
	settings := config.memberConfig()
	member, err := control.NewMember(settings)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	done := make(chan error, 1)
	go func() { done <- member.Run(ctx) }()
	events.write(event{Kind: eventReady, Address: member.Addr()})
	ticker := time.NewTicker(leaderPollInterval)
	defer ticker.Stop()
	wasLeading := false
	for {
		select {
		case err := <-done:
			return err
		case <-ticker.C:
			leading := settings.Region == quorumRegion && member.State().Leading
			if leading && !wasLeading {
				events.write(event{Kind: eventLeading})
			}
			wasLeading = leading
		case c, open := <-commands:
			if !open {
				cancel()
				return <-done
			}
			began := time.Now()
			if err := execute(ctx, member, c, config); err != nil {
				return fmt.Errorf("changing the cluster spec: %w", err)
			}
			events.write(changedEvent(began))
		}
	}
}

// execute has the quorum commit a command. A change that conflicts with another one is computed and proposed again, as
// an operator does after a 409: a member that has just become the leader may not have applied the change of its
// predecessor yet.
func execute(ctx context.Context, member *control.Member, c command, config childConfig) error {
	switch c.Op {
	case opSpec:
		return retryConflicts(ctx, func() error { return member.SetSpec(ctx, newSpec(config.Fleet, config.Seed)) })
	case opChange:
		return retryConflicts(ctx, func() error {
			return member.ApplyDelta(ctx, newDelta(member.Spec(), c.Changes, config.Fleet))
		})
	}
	return unknownOperation(c.Op)
}

const (
	// conflictRetryDelay is the pause before a change is proposed again after a conflict.
	conflictRetryDelay = 20 * time.Millisecond
	// maxConflictRetries bounds how often that is done: for as long as a proposal may take.
	maxConflictRetries = 500
)

// retryConflicts calls propose until it returns another error than [control.ErrConflict], at most maxConflictRetries
// times more, and returns its last error. It returns that of the context if that ends during a pause.
func retryConflicts(ctx context.Context, propose func() error) error {
	err := propose()
	for retry := 0; errors.Is(err, control.ErrConflict) && retry < maxConflictRetries; retry++ {
		select {
		case <-time.After(conflictRetryDelay):
		case <-ctx.Done():
			return ctx.Err()
		}
		err = propose()
	}
	return err
}

// newDelta returns the difference that changes make to a spec.
func newDelta(spec *clusterspec.Spec, changes []change, fleet Fleet) clusterspec.Delta {
	var destinations []clusterspec.Destination
	for _, one := range changes {
		d := newDestination(one.Destination, meanRate, fleet)
		if at := findDestination(spec, one.Destination); at >= 0 {
			d = spec.Destinations[at]
		}
		destinations = append(destinations, changed(d, one))
	}
	return clusterspec.Delta{Destinations: destinations}
}
