package simulation

import (
	"time"
	"wingmount/decide/placement"
	"wingmount/policy"
)

// LeaseConfig describes a cluster whose nodes send under leases of one control process.
type LeaseConfig struct {
	Zones       int           // node i is in zone i % Zones
	Owners      int           // of each destination
	Duration    time.Duration // of a lease
	MaxDrift    float64       // how far the rate of a node's clock is off, as a fraction
	Slack       time.Duration // see lease.Config
	PollTimeout time.Duration // a request without an update is answered after so long

	// The network between nodes and control process, as fractions of the messages.
	LossRate      float64
	DuplicateRate float64
	DelayRate     float64       // messages that take up to MaxDelay
	MaxDelay      time.Duration // of a delayed message

	Fault LeaseFault
}

// LeaseFault breaks one guarantee of the leases, to show that the checker finds the violations that follow.
type LeaseFault struct {
	// GrantBeforeExpiry breaks that a quota has one holder: for the control process leases expire after this
	// fraction of their duration. 0 is no fault.
	GrantBeforeExpiry float64
	// AcceptAnyEpoch breaks that a release is for the grant that it names: it counts for the latest grant.
	AcceptAnyEpoch bool
	// CountFromReply breaks that a lease ends first at its holder: nodes count it from the reply.
	CountFromReply bool
	// SendWithoutLease breaks that each call is covered by a lease: nodes do not check before a call.
	SendWithoutLease bool
	// ConfirmBeforeApplied breaks that a confirmed quota is kept: nodes confirm before their modules apply it.
	ConfirmBeforeApplied bool
}

// destinationID returns how leases and placement name a destination.
func destinationID(index int) placement.DestinationID { return placement.DestinationID(index) }

// permits reports whether a node's lease permits a call now, before its first byte is sent.
func (c *Cluster) permits(n *node, d *destination) bool {
	if c.control.config.Fault.SendWithoutLease {
		return true
	}
	return n.agent.holder.Quota(c.nodeClock(n), destinationID(d.index)) > 0
}

// block completes a call that the lease did not permit.
func (c *Cluster) block(n *node, call *outgoingCall) {
	c.Counts.BlockedByLease++
	c.expireLease(n)
	outcome := policy.AttemptCompleted{Endpoint: call.endpoint.id, Outcome: policy.NotSent}
	c.afterOn(n, 0, func() { c.completeCall(n, call, outcome) })
}

// quotaInUse returns the sum of the quotas of a destination that nodes may use now: of each node whose lease is
// valid, the quota that its module applies or that its lease gives, whichever is greater.
func (c *Cluster) quotaInUse(destination int) float64 {
	sum := 0.0
	for _, n := range c.nodes {
		if !n.up {
			continue
		}
		applied := n.agent.appliedQuotas[destination]
		if c.control.config.Fault.SendWithoutLease {
			sum += applied
		} else if now := c.nodeClock(n); n.agent.holder.Valid(now) {
			sum += max(applied, n.agent.holder.Quota(now, destinationID(destination)))
		}
	}
	return sum
}

// SetDraining has a node release all of its destinations, or lets it have some again.
func (c *Cluster) SetDraining(index int, draining bool) { c.nodes[index].agent.draining = draining }

// SetControlPartitioned cuts a node off from the control process, or lets it through again.
func (c *Cluster) SetControlPartitioned(index int, partitioned bool) {
	c.nodes[index].agent.partitioned = partitioned
}

// Shutdown ends a node's process as a planned restart does: it closes its session first.
func (c *Cluster) Shutdown(index int) {
	n := c.nodes[index]
	if !n.up {
		return
	}
	request := n.agent.holder.Close(c.nodeClock(n))
	c.sendRequest(n, request)
	c.Kill(index)
}
