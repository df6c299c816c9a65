package testcluster

import "time"

// outage is a time during which a node was dead or paused.
type outage struct {
	node  int // counted from 0
	start time.Time
	end   time.Time // zero while it lasts
}

// markDown records that a node is down from now on.
func (c *Cluster) markDown(node int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.outages = append(c.outages, outage{node: node, start: time.Now()})
}

// markUp records that a node is up again.
func (c *Cluster) markUp(node int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.endOutages(node)
}

// endOutages ends the outages of a node. The caller must lock c.mu.
func (c *Cluster) endOutages(node int) {
	for i := range c.outages {
		if o := &c.outages[i]; o.node == node && o.end.IsZero() {
			o.end = time.Now()
		}
	}
}

// CountCrash counts a crash of a node for [Cluster.Tally].
func (c *Cluster) CountCrash() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.crashes++
}
