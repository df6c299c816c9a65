package simulation

import "wingmount/policy"

// orderingKey is the key of ordered messages at a node.
type orderingKey struct {
	node int
	key  uint64
}

// observeAccepted records that a node accepted a message, behind those of its key that are unfinished.
func (c *Checker) observeAccepted(n *node, m *message) {
	if !c.settings.Classes[m.class].Ordered {
		return
	}
	key := orderingKey{n.index, m.key}
	queue := c.queues[key][:0:0]
	for _, other := range c.queues[key] {
		if !other.completed || other.inFlight != nil {
			queue = append(queue, other)
		}
	}
	c.queues[key] = append(queue, m)
}

// observeAttempt records the cooldown of a key after an attempt that may still run.
func (c *Checker) observeAttempt(now policy.Time, n *node, m *message, outcome policy.Outcome) {
	if c.settings.Classes[m.class].Ordered && (outcome == policy.TimedOut || outcome == policy.Reset) {
		c.cooldowns[orderingKey{n.index, m.key}] = now + c.settings.KeyCooldown - networkSlack
	}
}

// checkOrder evaluates an attempt at an ordered message.
func (c *Checker) checkOrder(now policy.Time, n *node, m *message) {
	key := orderingKey{n.index, m.key}
	for _, other := range c.queues[key] {
		if other != m && (other.inFlight != nil || !other.completed && other.sequence < m.sequence) {
			c.report(RuleOrder, "message %d is sent while %d, of its key, is unfinished", m.id, other.id)
			return
		}
	}
	if until := c.cooldowns[key]; now < until && m.attempts == 0 {
		c.report(RuleOrder, "message %d is sent %v before its key has cooled down", m.id, until-now)
	}
}
