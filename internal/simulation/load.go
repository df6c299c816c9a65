package simulation

import (
	"slices"
	"time"
)

// orderingKeys is the number of ordering keys that clients draw from.
const orderingKeys = 50

// Offer has clients submit messages for a destination at a rate a second, for a time that begins now, each at
// some node that is up and sends there. The messages arrive while the cluster runs. It returns how many will.
func (c *Cluster) Offer(destination int, rate float64, during time.Duration) (offered int) {
	if rate <= 0 {
		return 0
	}
	for at := time.Duration(0); ; {
		if at += time.Duration(c.loadRNG.ExpFloat64() / rate * float64(time.Second)); at >= during {
			return offered
		}
		offered++
		position, key := c.loadRNG.Float64(), c.loadRNG.Uint64N(orderingKeys)+1
		c.after(at, func() { c.submit(destination, position, key) })
	}
}

// submit hands a message to the node that its client chose, which rejects it where too many are in flight.
func (c *Cluster) submit(destination int, position float64, key uint64) {
	n := c.ingressNode(destination, position)
	if n == nil || !n.up || c.atCapacity(n) {
		c.Counts.RejectedAtIngress++
		return
	}
	c.lastMessage++
	m := &message{
		id: c.lastMessage, destination: destination, key: key, acceptedAt: c.now,
		deadline: c.now + c.config.Settings.Classes[0].Deadline, sequence: int(c.lastMessage),
	}
	n.unfinished[m.id] = m
	c.Counts.Accepted++
	c.Checker.observeAccepted(n, m)
	c.step(n, c.arrivedEvent(m))
}

// atCapacity reports whether a node has as many messages in flight as it may.
func (c *Cluster) atCapacity(n *node) bool {
	limit := c.config.Settings.MaxInFlight
	return limit > 0 && len(n.unfinished) >= limit
}

// ingressNode returns the node that a client submits to, chosen by a position, 0 <= position < 1. Nodes that are down
// or do not accept for the destination are passed over; under leases it is nil where none accepts.
func (c *Cluster) ingressNode(destination int, position float64) *node {
	if c.control != nil {
		return c.acceptingNode(destination, position)
	}
	if owners := c.destinations[destination].Owners; owners != nil {
		return c.firstUp(int(position*float64(len(owners))), len(owners), func(i int) int { return owners[i] })
	}
	total := c.cumulativeWeights[len(c.cumulativeWeights)-1]
	first, _ := slices.BinarySearch(c.cumulativeWeights, position*total)
	return c.firstUp(first, len(c.nodes), func(i int) int { return i })
}

// firstUp returns the first of count nodes, from one on, that is up, or that one if none is.
func (c *Cluster) firstUp(first, count int, index func(int) int) *node {
	for i := range count {
		if n := c.nodes[index((first+i)%count)]; n.up {
			return n
		}
	}
	return c.nodes[index(first%count)]
}

// acceptingNode returns a node that accepts messages for a destination under its lease, chosen by a position,
// 0 <= position < 1, or nil.
func (c *Cluster) acceptingNode(destination int, position float64) *node {
	var accepting []*node
	for _, n := range c.nodes {
		if !n.up || n.paused || !n.agent.holder.Valid(c.nodeClock(n)) {
			continue
		}
		if assignment, _ := n.agent.holder.Assignment(destinationID(destination)); assignment.Accepting {
			accepting = append(accepting, n)
		}
	}
	if len(accepting) == 0 {
		return nil
	}
	return accepting[int(position*float64(len(accepting)))]
}
