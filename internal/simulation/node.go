package simulation

import (
	"slices"
	"time"
	"wingmount/policy"
)

// node is a sender with its module, and what it keeps over a restart.
type node struct {
	index          int
	sender         *policy.Sender
	processesEnded int // so far; it numbers the present process
	up             bool
	startedAt      policy.Time // or continued after a pause
	agent          *leaseAgent // nil without leases
	outstanding    []*outgoingCall

	unfinished  map[policy.MessageID]*message
	history     map[policy.EndpointID]*endpointHistory
	knownStates map[policy.EndpointID]policy.EndpointState // the endpoint list that it received last

	partitioned bool     // it receives neither lists nor peer messages
	paused      bool     // its process is suspended
	deferred    []func() // work that came during a pause
}

// endpointHistory is what a node persists of an endpoint.
type endpointHistory struct {
	callTimes             []policy.Time
	failed, recovered     bool
	failedAt, recoveredAt policy.Time
}

func newNode(index int) *node {
	return &node{
		index:       index,
		unfinished:  map[policy.MessageID]*message{},
		history:     map[policy.EndpointID]*endpointHistory{},
		knownStates: map[policy.EndpointID]policy.EndpointState{},
	}
}

// historyOf returns what a node has persisted of an endpoint.
func (n *node) historyOf(id policy.EndpointID) *endpointHistory {
	history := n.history[id]
	if history == nil {
		history = &endpointHistory{}
		n.history[id] = history
	}
	return history
}

func (h *endpointHistory) recordCall(now policy.Time) {
	h.callTimes = slices.DeleteFunc(h.callTimes, func(at policy.Time) bool { return now-at > historyRetention })
	h.callTimes = append(h.callTimes, now)
}

func (h *endpointHistory) recordOutcome(now policy.Time, outcome policy.Outcome) {
	switch outcome {
	case policy.Delivered:
		if h.failed && !h.recovered {
			h.recovered, h.recoveredAt = true, now
		}
	case policy.RateLimited, policy.NotSent:
	default:
		h.failed, h.failedAt, h.recovered = true, now, false
	}
}

func (h *endpointHistory) restoredEvent(id policy.EndpointID) policy.HealthRestored {
	return policy.HealthRestored{
		Endpoint: id, CallTimes: slices.Clone(h.callTimes), Failed: h.failed, FailedAt: h.failedAt,
		Recovered: h.recovered, RecoveredAt: h.recoveredAt,
	}
}

// execute does some work in a process of the node: at once, or after its pause. A process that has ended does
// nothing.
func (n *node) execute(process int, work func()) {
	switch {
	case n.processesEnded != process || !n.up:
	case n.paused:
		n.deferred = append(n.deferred, func() { n.execute(process, work) })
	default:
		work()
	}
}

// Kill ends a node's process at once. The node keeps its unfinished messages and its endpoint history.
func (c *Cluster) Kill(index int) {
	n := c.nodes[index]
	if !n.up {
		return
	}
	n.up = false
	n.processesEnded++
	c.Checker.observeInterruption(n)
	for _, call := range n.outstanding {
		for _, m := range call.messages {
			m.inFlight = nil // it may have run: attempts are persisted before they are sent
			if m.completed {
				delete(n.unfinished, m.id)
			}
		}
	}
	n.outstanding, n.deferred, n.paused = nil, nil, false
}

// Pause suspends a node's process for a time, while its clock and its outstanding calls go on.
func (c *Cluster) Pause(index int, during time.Duration) {
	n := c.nodes[index]
	if !n.up || n.paused {
		return
	}
	n.paused = true
	process := n.processesEnded
	c.after(during, func() {
		if n.processesEnded == process {
			c.resume(n)
		}
	})
}

// resume continues a paused process with the work that was deferred.
func (c *Cluster) resume(n *node) {
	n.paused = false
	c.Checker.observeInterruption(n)
	n.startedAt = c.now
	deferred := n.deferred
	n.deferred = nil
	for _, work := range deferred {
		work()
	}
}

// Start starts a node with what it has persisted.
func (c *Cluster) Start(index int) {
	n := c.nodes[index]
	if n.up {
		return
	}
	n.up, n.startedAt = true, c.now
	settings := c.config.Settings
	if alter := c.config.Fault.AlterSettings; alter != nil {
		settings = alter(settings)
	}
	n.sender = policy.New(settings, c.config.Seed<<32|uint64(n.processesEnded)<<16|uint64(index))
	if c.control != nil {
		c.startAgent(n)
	}
	c.step(n, c.recoveryEvents(n)...)
	c.receiveListWithin(n, localPollDelay)
	if c.control != nil {
		c.renew(n)
	}
}

// recoveryEvents returns what a module gets at its start: the endpoint list, the history of the endpoints, and
// the unfinished messages in the order in which they were accepted.
func (c *Cluster) recoveryEvents(n *node) []policy.Event {
	list := policy.EndpointUpdate{Complete: true}
	for _, e := range c.endpointOrder {
		if state, ok := n.knownStates[e.id]; ok && state != policy.Removed {
			list.Entries = append(list.Entries, c.listEntry(n, e, state))
		}
	}
	events := []policy.Event{list}
	for _, e := range c.endpointOrder {
		if history := n.history[e.id]; history != nil {
			events = append(events, history.restoredEvent(e.id))
		}
	}
	unfinished := make([]*message, 0, len(n.unfinished))
	for _, m := range n.unfinished {
		unfinished = append(unfinished, m)
	}
	slices.SortFunc(unfinished, func(a, b *message) int { return a.sequence - b.sequence })
	for _, m := range unfinished {
		events = append(events, c.arrivedEvent(m))
	}
	return events
}
