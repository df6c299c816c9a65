package testcluster

// CutControl cuts the paths of a node to the control machines of its region.
func (c *Cluster) CutControl(node int) {
	for _, path := range c.control.nodePaths[node] {
		path.Cut()
	}
}

// JoinControl ends what [Cluster.CutControl] did.
func (c *Cluster) JoinControl(node int) {
	for _, path := range c.control.nodePaths[node] {
		path.Join()
	}
}

// CutRegions cuts all regions from each other: clients reach only the nodes of their own region, and control machines
// only those of theirs. Nodes of different regions never connect to each other.
func (c *Cluster) CutRegions() {
	for _, path := range c.control.between {
		path.Cut()
	}
	c.control.setPartitioned(true)
}

// JoinRegions ends what [Cluster.CutRegions] and [Cluster.CutRegion] did.
func (c *Cluster) JoinRegions() {
	for _, path := range c.control.between {
		path.Join()
	}
	c.control.setPartitioned(false)
}

// CutRegion cuts the control machines of one region from those of the others. Clients of all regions, not only of this
// one, reach only the nodes of their own. [Cluster.JoinRegions] ends it.
func (c *Cluster) CutRegion(region int) {
	machines := c.control.machines
	for pair, path := range c.control.between {
		if machines[pair.from].region == region || machines[pair.to].region == region {
			path.Cut()
		}
	}
	c.control.setPartitioned(true)
}

func (p *controlPlane) setPartitioned(partitioned bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.partitioned = partitioned
}
