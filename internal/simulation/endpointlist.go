package simulation

import (
	"time"
	"wingmount/policy"
)

// listEntry returns an endpoint's entry in the list of a node.
func (c *Cluster) listEntry(n *node, e *endpoint, state policy.EndpointState) policy.Entry {
	return policy.Entry{
		Endpoint: e.id, Destination: e.destination.index, Zone: e.zone, State: state,
		Rate: e.destination.AdvertisedLimit, AssignedRate: c.assignedRate(n, e.destination),
	}
}

// assignedRate returns what a node may send to a destination, as in [policy.Entry].
func (c *Cluster) assignedRate(n *node, d *destination) float64 {
	if n.agent == nil {
		return d.ownerLimit()
	}
	if quota := n.agent.holder.Quota(c.nodeClock(n), destinationID(d.index)); quota > 0 {
		return quota * d.AdvertisedLimit
	}
	return policy.NoCalls
}

// updateLimits passes to a node's module what it may send to destinations now.
func (c *Cluster) updateLimits(n *node, destinations []int) {
	n.execute(n.processesEnded, func() {
		list := policy.EndpointUpdate{}
		for _, index := range destinations {
			for _, e := range c.destinations[index].endpoints {
				if state, ok := n.knownStates[e.id]; ok && state != policy.Removed {
					list.Entries = append(list.Entries, c.listEntry(n, e, state))
				}
			}
		}
		c.step(n, list)
	})
}

// receiveListWithin has a node receive the list as it is then, within a random part of a time.
func (c *Cluster) receiveListWithin(n *node, within time.Duration) {
	process := n.processesEnded
	c.after(c.randomDelay(within), func() {
		if !n.partitioned {
			n.execute(process, func() { c.receiveList(n) })
		}
	})
}

// receiveList passes to a node's module what has changed in the endpoint list since it last received it.
func (c *Cluster) receiveList(n *node) {
	list := policy.EndpointUpdate{}
	for _, e := range c.endpointOrder {
		if n.knownStates[e.id] == e.state || !e.destination.visibleTo(n.index) {
			continue
		}
		n.knownStates[e.id] = e.state
		list.Entries = append(list.Entries, c.listEntry(n, e, e.state))
		if e.state != policy.Ready {
			c.Checker.observeWithdrawal(c.now, n, e)
		}
	}
	if len(list.Entries) > 0 {
		c.step(n, list)
	}
}

// publish sends a change of an endpoint to all nodes. After the propagation bound the checker expects each node
// that is not partitioned or paused to know of it.
func (c *Cluster) publish(e *endpoint) {
	state := e.state
	for _, n := range c.nodes {
		c.receiveListWithin(n, c.config.ListDelay)
	}
	c.after(propagationBound, func() {
		for _, n := range c.nodes {
			if e.state == state && state != policy.Ready && !n.partitioned && !n.paused {
				c.Checker.observeWithdrawal(c.now, n, e)
			}
		}
	})
}

// ReplaceEndpoint drains an endpoint of a destination, adds another in its place at once, and removes the first
// after a time.
func (c *Cluster) ReplaceEndpoint(destination, number int, removeAfter time.Duration) {
	old := c.destinations[destination].endpoints[number]
	old.state = policy.Draining
	c.publish(old)
	c.publish(c.addEndpoint(destination))
	c.after(removeAfter, func() {
		old.state = policy.Removed
		c.publish(old)
	})
}

// SetPartitioned keeps endpoint lists and peer messages from a node, or lets them through again.
func (c *Cluster) SetPartitioned(index int, partitioned bool) {
	n := c.nodes[index]
	n.partitioned = partitioned
	if !partitioned {
		c.receiveListWithin(n, localPollDelay)
	}
}

// randomDelay draws a time below a bound.
func (c *Cluster) randomDelay(bound time.Duration) time.Duration {
	return time.Duration(c.rng.Float64() * float64(bound))
}
