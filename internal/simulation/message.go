package simulation

import (
	"wingmount/policy"
)

// message is a message with what the simulation knows of it.
type message struct {
	id          policy.MessageID
	class       int
	destination int
	key         uint64
	acceptedAt  policy.Time
	deadline    policy.Time
	sequence    int // orders the messages of a node by when they were accepted

	attempts     int
	mayHaveRun   bool
	firstRunAt   policy.Time // of the first attempt that may have run
	firstRunZone int
	inFlight     *outgoingCall
	completed    bool
}

// outgoingCall is one call to an endpoint, with a batch of messages.
type outgoingCall struct {
	endpoint *endpoint
	messages []*message
	sentAt   policy.Time
}

// arrivedEvent returns the event that hands a message to a module, at first or after a restart.
func (c *Cluster) arrivedEvent(m *message) policy.Arrived {
	arrived := policy.Arrived{
		Message: m.id, Destination: m.destination, Class: m.class, GiveUpAt: m.deadline,
		Past: policy.PriorAttempts{Attempts: m.attempts, MayHaveRun: m.mayHaveRun, FirstRunZone: m.firstRunZone},
	}
	if m.mayHaveRun {
		arrived.Past.FirstRunAt = m.firstRunAt
	}
	if c.config.Settings.Classes[m.class].Ordered {
		arrived.Key = m.key
	}
	return arrived
}

// value returns the value of delivering a message now: all of it until the soft deadline, then falling
// evenly to the late value at the deadline, and nothing from there on.
func (c *Cluster) value(m *message) float64 {
	class := c.config.Settings.Classes[m.class]
	age := c.now - m.acceptedAt
	switch {
	case age <= class.SoftDeadline:
		return class.Value
	case age >= class.Deadline:
		return 0
	}
	late := age - class.SoftDeadline
	return class.Value * (1 - (1-class.LateValue)*float64(late)/float64(class.Deadline-class.SoftDeadline))
}

// completeUndelivered takes a module's word that a message is rejected, or has failed.
func (c *Cluster) completeUndelivered(n *node, id policy.MessageID, rejected bool) {
	m := n.unfinished[id]
	if m == nil {
		c.Checker.report(RuleCompletion, "node %d completes a message that it does not have", n.index)
		return
	}
	c.Checker.checkUndelivered(c.now, n, m, rejected)
	m.completed = true
	c.Counts.Undelivered++
	if m.inFlight == nil {
		delete(n.unfinished, id)
	}
}
