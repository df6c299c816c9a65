package simulation

import (
	"time"
	"wingmount/policy"
)

const (
	// minPeerDelay and maxPeerDelay bound how long a peer message takes.
	minPeerDelay, maxPeerDelay = time.Millisecond, 35 * time.Millisecond
)

// step passes events to a node's module and carries out the actions that it returns.
func (c *Cluster) step(n *node, events ...policy.Event) {
	if !n.up {
		return
	}
	if n.paused {
		n.execute(n.processesEnded, func() { c.step(n, events...) })
		return
	}
	actions := n.sender.Step(c.now, c.alterEvents(events), nil)
	if alter := c.config.Fault.AlterActions; alter != nil {
		actions = alter(actions)
	}
	b := batches{open: map[policy.EndpointID]*outgoingCall{}, timeouts: map[*outgoingCall]time.Duration{}}
	for _, action := range actions {
		switch a := action.(type) {
		case policy.Wake:
			c.wake(n, a)
		case policy.NotifyPeers:
			c.notifyPeers(n, a)
		case policy.Reject:
			c.completeUndelivered(n, a.Message, true)
		case policy.Fail:
			c.completeUndelivered(n, a.Message, false)
		case policy.Send:
			c.send(n, a, &b)
		}
	}
	for _, call := range b.calls {
		c.startCall(n, call, b.timeouts[call])
	}
}

// alterEvents returns the events as the model fault, if there is one, lets a module see them.
func (c *Cluster) alterEvents(events []policy.Event) []policy.Event {
	alter := c.config.Fault.AlterEvent
	if alter == nil {
		return events
	}
	altered := events[:0:0]
	for _, e := range events {
		if e = alter(e); e != nil {
			altered = append(altered, e)
		}
	}
	return altered
}

// wake steps a node's module again at the time that it asked for.
func (c *Cluster) wake(n *node, a policy.Wake) {
	c.afterOn(n, max(a.At-c.now, c.config.Settings.Tick), func() { c.step(n, policy.Woken{}) })
}

// notifyPeers sends a peer message to all other nodes that can be reached.
func (c *Cluster) notifyPeers(from *node, a policy.NotifyPeers) {
	c.Counts.PeerMessages++
	for _, to := range c.nodes {
		if to == from || !to.up || to.partitioned || from.partitioned || c.rng.Float64() < c.config.PeerMessageLoss {
			continue
		}
		process := to.processesEnded
		delay := minPeerDelay + time.Duration(c.rng.Int64N(int64(maxPeerDelay-minPeerDelay)))
		c.after(delay, func() {
			if to.processesEnded == process && !to.partitioned {
				c.step(to, policy.PeerMessage{Tag: a.Tag, Event: a.Event})
			}
		})
	}
}

// batches are the calls that one step of a module makes.
type batches struct {
	calls    []*outgoingCall                     // in the order in which they were begun
	open     map[policy.EndpointID]*outgoingCall // the latest of each endpoint, which may take more messages
	timeouts map[*outgoingCall]time.Duration     // the shortest of the messages'
}

// send puts a message into a call to its endpoint: into the open one, or into a new one where that is full.
func (c *Cluster) send(n *node, a policy.Send, b *batches) {
	e, m := c.endpoints[a.Endpoint], n.unfinished[a.Message]
	if e == nil || m == nil {
		c.Checker.report(RuleDuplicate, "node %d sends a message that it does not have", n.index)
		return
	}
	call := b.open[e.id]
	if call == nil || len(call.messages) >= c.config.Settings.Kinds[0].MaxBatch {
		call = &outgoingCall{endpoint: e, sentAt: c.now}
		b.open[e.id], b.calls = call, append(b.calls, call)
	}
	c.Checker.checkAttempt(c.now, n, m, e)
	m.attempts++
	if !m.mayHaveRun {
		m.mayHaveRun, m.firstRunAt, m.firstRunZone = true, c.now, e.zone
	}
	m.inFlight = call
	call.messages = append(call.messages, m)
	if timeout, ok := b.timeouts[call]; !ok || (a.Timeout < timeout) != c.config.Fault.LongestTimeout {
		b.timeouts[call] = a.Timeout
	}
}
