package simulation

import (
	"errors"
	"fmt"
	"slices"
	"time"
	"wingmount/decide/lease"
	"wingmount/decide/placement"
)

const (
	// controlTick is how often the control process expires leases and plans.
	controlTick = 100 * time.Millisecond
	// nodeDiscoveryTime is how long the first incarnation of the control process waits for nodes before it plans.
	nodeDiscoveryTime = 500 * time.Millisecond
	// region is the region of all nodes.
	region = "r"
)

// control is the control process: it plans the owner sets and grants leases.
type control struct {
	cluster     *Cluster
	config      LeaseConfig
	nodeIDs     []placement.NodeID
	lastProcess lease.ProcessID

	up             bool
	incarnation    lease.Incarnation
	grantor        *lease.Grantor
	parked         map[lease.SessionID]parkedRequest
	planAfter      time.Duration
	ownersComplete bool // the grantor has the owners of all destinations

	table     *placement.Table // persisted over its restarts
	planInput placement.Input  // what the table was computed from
}

// parkedRequest is a request that waits for an update.
type parkedRequest struct {
	node    *node
	process int // of the node
	request lease.Request
}

func newControl(cluster *Cluster, config LeaseConfig) *control {
	c := &control{cluster: cluster, config: config}
	for i := range cluster.config.Nodes {
		c.nodeIDs = append(c.nodeIDs, placement.NodeID(fmt.Sprintf("n%03d", i)))
	}
	c.start()
	c.tick()
	return c
}

// SetControlDown ends the control process, or starts it again.
func (c *Cluster) SetControlDown(down bool) {
	switch {
	case c.control.up == !down:
	case down:
		c.control.up = false
	default:
		c.control.start()
	}
}

// nextProcess returns the identifier of a node's next process.
func (c *control) nextProcess() lease.ProcessID {
	c.lastProcess++
	return c.lastProcess
}

// start begins the next incarnation of the control process.
func (c *control) start() {
	c.incarnation++
	config := lease.Config{
		Duration: c.config.Duration, MaxDrift: c.config.MaxDrift, Slack: c.config.Slack, NoEarlierLeases: c.incarnation == 1,
	}
	c.grantor = lease.NewGrantor(c.clock(), c.incarnation, config)
	c.up, c.ownersComplete = true, false
	c.parked = map[lease.SessionID]parkedRequest{}
	c.planAfter = c.cluster.now + nodeDiscoveryTime
	if !config.NoEarlierLeases {
		c.planAfter = c.cluster.now + c.grantor.GraceEnd() - c.clock()
	}
}

// clock returns the time of the control process. Under [LeaseFault.GrantBeforeExpiry] it is too fast.
func (c *control) clock() time.Duration {
	if fraction := c.config.Fault.GrantBeforeExpiry; fraction > 0 {
		return time.Duration(float64(c.cluster.now) / fraction)
	}
	return c.cluster.now
}

// tick expires leases and plans, and schedules itself again.
func (c *control) tick() {
	if c.up {
		c.grantor.Advance(c.clock())
		c.plan()
		c.answerUpdated()
	}
	c.cluster.after(controlTick, c.tick)
}

// plan computes the owner sets anew where nodes or destinations have changed, and passes them to the grantor.
func (c *control) plan() {
	if c.cluster.now < c.planAfter {
		return
	}
	input := c.input()
	same := slices.Equal(input.Nodes, c.planInput.Nodes) && slices.Equal(input.Destinations, c.planInput.Destinations)
	if len(input.Nodes) == 0 || same && c.ownersComplete {
		return
	}
	table, err := placement.Compute(c.table, input)
	if err != nil {
		c.cluster.Checker.report(RuleSimulation, "no placement: %v", err)
		return
	}
	changed := table.Changed(c.table)
	c.cluster.Counts.OwnerChanges += len(changed)
	if !c.ownersComplete {
		changed = table.Destinations()
	}
	for _, destination := range changed {
		c.grantor.SetOwners(c.clock(), destination, table.Owners(destination))
	}
	c.grantor.MarkOwnersComplete(c.clock())
	c.table, c.planInput, c.ownersComplete = table, input, true
}

// input returns the nodes that have a session, and the destinations.
func (c *control) input() placement.Input {
	var input placement.Input
	for i, id := range c.nodeIDs {
		if c.grantor.HasSession(id) {
			input.Nodes = append(input.Nodes, placement.Node{
				ID: id, Region: region, Zone: fmt.Sprintf("z%d", i%c.config.Zones), Weight: 1,
				Draining: c.cluster.nodes[i].agent.draining,
			})
		}
	}
	for i, d := range c.cluster.destinations {
		input.Destinations = append(input.Destinations, placement.Destination{
			ID: destinationID(i), Rate: d.Limit, Owners: c.config.Owners,
		})
	}
	return input
}

// receive handles the request of a node's process, see node.processesEnded.
func (c *control) receive(n *node, process int, request lease.Request) {
	if !c.up {
		return
	}
	if c.config.Fault.AcceptAnyEpoch {
		request.Released = c.withLatestEpochs(request)
	}
	id, err := c.grantor.Receive(c.clock(), request)
	if errors.Is(err, lease.ErrReclaimRequired) {
		reply := lease.Reply{Incarnation: c.incarnation, Sequence: request.Sequence, ReclaimRequired: true}
		c.send(n, process, reply)
		return
	}
	if err == nil && id != 0 {
		c.park(id, parkedRequest{node: n, process: process, request: request})
	}
	c.answerUpdated()
}

// withLatestEpochs returns a request's releases as if each were of the latest grant.
func (c *control) withLatestEpochs(request lease.Request) []lease.Release {
	releases := slices.Clone(request.Released)
	for i := range releases {
		for _, grant := range c.grantor.Grants(releases[i].Destination) {
			if grant.Node == request.Node {
				releases[i].Epoch = grant.Assignment.Epoch
			}
		}
	}
	return releases
}

// park keeps a request until there is an update for it, or until the poll timeout.
func (c *control) park(id lease.SessionID, p parkedRequest) {
	c.parked[id] = p
	if c.grantor.HasUpdate(id, p.request) {
		c.answer(id)
		return
	}
	incarnation := c.incarnation
	c.cluster.after(c.config.PollTimeout, func() {
		current, ok := c.parked[id]
		same := ok && current.request.Sequence == p.request.Sequence && current.process == p.process
		if c.up && c.incarnation == incarnation && same {
			c.answer(id)
		}
	})
}

// answerUpdated answers the parked requests for which there is an update.
func (c *control) answerUpdated() {
	var updated []lease.SessionID
	c.grantor.TakeUpdated(func(id lease.SessionID) { updated = append(updated, id) })
	for _, id := range updated {
		if p, ok := c.parked[id]; ok && c.grantor.HasUpdate(id, p.request) {
			c.answer(id)
		}
	}
}

// answer replies to a parked request.
func (c *control) answer(id lease.SessionID) {
	p := c.parked[id]
	delete(c.parked, id)
	reply, err := c.grantor.Answer(c.clock(), id, p.request)
	if err == nil {
		c.send(p.node, p.process, reply)
	}
}

// send sends a reply to a node's process.
func (c *control) send(n *node, process int, reply lease.Reply) {
	c.cluster.transmit(n, func() {
		n.execute(process, func() { c.cluster.receiveReply(n, reply) })
	})
}
