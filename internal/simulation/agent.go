package simulation

import (
	"errors"
	"time"
	"wingmount/decide/lease"
)

const (
	// minControlDelay and maxControlDelay bound how long a message to or from the control process takes that
	// is not delayed.
	minControlDelay, maxControlDelay = time.Millisecond, 20 * time.Millisecond
	// requestsPerLease is how many requests a node sends within the duration of a lease when none is answered.
	requestsPerLease = 4
	// failedReplyDelay is how long a node waits after a reply that failed.
	failedReplyDelay = 100 * time.Millisecond
	// lateApplyDelay is when a module applies its quotas under [LeaseFault.ConfirmBeforeApplied].
	lateApplyDelay = 400 * time.Millisecond
)

// leaseAgent is a node's side of its lease, with a clock of its own.
type leaseAgent struct {
	holder      *lease.Holder
	process     lease.ProcessID
	clockRate   float64
	clockOffset time.Duration // the sum of its jumps
	partitioned bool          // from the control process
	draining    bool

	requestedAt time.Duration // of the latest request, by the node's clock
	requested   uint64        // the sequence of the latest request
	answered    uint64        // the sequence of the latest request that has a reply

	leased        bool            // as its module knows it
	appliedQuotas map[int]float64 // by destination, as its module knows them
}

// nodeClock returns the time of a node's own clock.
func (c *Cluster) nodeClock(n *node) time.Duration {
	return time.Duration(float64(c.now)*n.agent.clockRate) + n.agent.clockOffset
}

// JumpClock has a node's clock jump. A node sees that its clock goes back only where it goes back by more than
// the time since the node last read it.
func (c *Cluster) JumpClock(index int, by time.Duration) { c.nodes[index].agent.clockOffset += by }

// startAgent begins a node's agent, which replaces the one of its process before.
func (c *Cluster) startAgent(n *node) {
	config := lease.HolderConfig{Node: c.control.nodeIDs[n.index], Process: c.control.nextProcess()}
	agent := &leaseAgent{
		process:       config.Process,
		clockRate:     1 + c.control.config.MaxDrift*(2*c.rng.Float64()-1),
		appliedQuotas: map[int]float64{},
	}
	if previous := n.agent; previous != nil {
		config.Replaces, config.Incarnation = previous.process, previous.holder.HighestIncarnation()
		agent.partitioned, agent.draining = previous.partitioned, previous.draining
	}
	agent.holder = lease.NewHolder(config)
	for _, m := range n.unfinished {
		agent.holder.ReportUnfinished(destinationID(m.destination))
	}
	n.agent = agent
}

// renew sends a node's lease request, and another if no reply comes in time.
func (c *Cluster) renew(n *node) {
	a := n.agent
	c.releaseFinished(n)
	request := a.holder.Renew(c.nodeClock(n))
	a.requestedAt, a.requested = c.nodeClock(n), request.Sequence
	c.sendRequest(n, request)
	c.afterOn(n, c.control.config.Duration/requestsPerLease, func() {
		if a.requested == request.Sequence && a.answered < request.Sequence {
			c.renew(n)
		}
	})
}

func (c *Cluster) sendRequest(n *node, request lease.Request) {
	process := n.processesEnded
	c.transmit(n, func() { c.control.receive(n, process, request) })
}

// releaseFinished releases the destinations that a node no longer accepts for and has nothing unfinished for.
func (c *Cluster) releaseFinished(n *node) {
	unfinished := map[int]bool{}
	for _, m := range n.unfinished {
		unfinished[m.destination] = true
	}
	var released []int
	for assignment := range n.agent.holder.Assignments {
		if destination := int(assignment.Destination); !assignment.Accepting && !unfinished[destination] {
			released = append(released, destination)
		}
	}
	for _, destination := range released {
		n.agent.holder.Release(destinationID(destination))
	}
	c.applyQuotas(n, released)
}

// transmit carries a message between a node and the control process, over a network that loses, delays and
// duplicates.
func (c *Cluster) transmit(n *node, deliver func()) {
	config := c.control.config
	copies := 1
	if c.rng.Float64() < config.DuplicateRate {
		copies++
	}
	for range copies {
		delay := minControlDelay + c.randomDelay(maxControlDelay-minControlDelay)
		if c.rng.Float64() < config.DelayRate {
			delay = c.randomDelay(config.MaxDelay)
		}
		if n.agent.partitioned || c.rng.Float64() < config.LossRate {
			continue
		}
		c.after(delay, func() {
			if !n.agent.partitioned {
				deliver()
			}
		})
	}
}

// receiveReply applies a reply of the control process, and sends the next request.
func (c *Cluster) receiveReply(n *node, reply lease.Reply) {
	a := n.agent
	if c.control.config.Fault.CountFromReply {
		reply.Duration += c.nodeClock(n) - a.requestedAt
	}
	update, err := a.holder.Receive(c.nodeClock(n), reply)
	switch {
	case errors.Is(err, lease.ErrReclaimRequired):
		c.renew(n)
		return
	case errors.Is(err, lease.ErrUnexpectedReply), errors.Is(err, lease.ErrStaleIncarnation):
		return
	case err != nil:
		a.answered = reply.Sequence
		c.afterOn(n, failedReplyDelay, func() { c.renew(n) })
		return
	}
	a.answered = reply.Sequence
	changed := a.changedDestinations(update)
	a.leased = true
	if c.control.config.Fault.ConfirmBeforeApplied {
		c.afterOn(n, lateApplyDelay, func() { c.applyQuotas(n, changed) })
	} else {
		c.applyQuotas(n, changed)
	}
	remaining := time.Duration(float64(a.holder.Expiry()-c.nodeClock(n))/a.clockRate) + time.Microsecond
	c.afterOn(n, remaining, func() { c.expireLease(n) })
	c.renew(n)
}

// changedDestinations returns the destinations whose quotas an update changes for the module: all of them where
// it had no lease before.
func (a *leaseAgent) changedDestinations(update lease.Update) []int {
	var changed []int
	if a.leased {
		for _, assignment := range update.Assignments {
			changed = append(changed, int(assignment.Destination))
		}
		return changed
	}
	for assignment := range a.holder.Assignments {
		changed = append(changed, int(assignment.Destination))
	}
	return changed
}

// applyQuotas passes the quotas of destinations to a node's module.
func (c *Cluster) applyQuotas(n *node, destinations []int) {
	if len(destinations) == 0 {
		return
	}
	now := c.nodeClock(n)
	for _, destination := range destinations {
		n.agent.appliedQuotas[destination] = n.agent.holder.Quota(now, destinationID(destination))
	}
	c.updateLimits(n, destinations)
	for _, destination := range destinations {
		c.Checker.checkQuotas(c.now, destination, c.quotaInUse(destination))
	}
}

// expireLease takes the quotas of a lease that has expired from the node's module.
func (c *Cluster) expireLease(n *node) {
	a := n.agent
	if !a.leased || a.holder.Valid(c.nodeClock(n)) {
		return
	}
	a.leased = false
	var withQuota []int
	for destination := range c.destinations {
		if a.appliedQuotas[destination] > 0 {
			withQuota = append(withQuota, destination)
		}
	}
	c.applyQuotas(n, withQuota)
}
