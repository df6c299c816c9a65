package testcluster

import (
	"fmt"
	"strings"
)

// Settings of control machines that form a quorum.
const (
	leaderLease = "2s"
	quorumTick  = "20ms"
)

// allRegions stands for all regions together.
const allRegions = -1

// machineConfig returns the configuration of a control machine, counted from 0, as TOML.
func (c *Cluster) machineConfig(machine int) string {
	m, specs := c.control.machines[machine], c.control.specFiles
	var b strings.Builder
	fmt.Fprintf(&b, "listen = %q\nworld = %q\nstate = %q\n", m.address, specs[min(m.region, len(specs)-1)], m.state)
	fmt.Fprintf(&b, "lease = %q\ndebounce = \"100ms\"\ngather = \"500ms\"\nrestart_grace = %q\n", c.config.Assignment.Lease, c.config.Assignment.RestartGrace)
	if c.hasQuorum() {
		c.writeQuorumSection(&b, machine)
	}
	return b.String()
}

func (c *Cluster) writeQuorumSection(b *strings.Builder, machine int) {
	region := regionName(c.control.machines[machine].region)
	fmt.Fprintf(b, "[quorum]\nid = %d\nregion = %q\nlength = %q\ntick = %q\n", machine+1, region, leaderLease, quorumTick)
	for i, member := range c.control.machines {
		fmt.Fprintf(b, "[[quorum.member]]\nid = %d\nregion = %q\naddress = %q\n", i+1, regionName(member.region), member.address)
		if path := c.control.between[machinePair{machine, i}]; path != nil {
			fmt.Fprintf(b, "via = %q\n", path.Addr())
		}
	}
}

// specText returns the cluster spec of a region, or of allRegions, as TOML. Each region has its fraction of each rate.
func (c *Cluster) specText(region int) string {
	var b strings.Builder
	for node := range c.nodes {
		if region == allRegions || region == c.regionOf(node) {
			c.writeSpecNode(&b, node)
		}
	}
	for _, d := range c.Destinations {
		c.writeSpecDestination(&b, d)
	}
	return b.String()
}

func (c *Cluster) writeSpecNode(b *strings.Builder, node int) {
	fmt.Fprintf(b, "[[node]]\nname = %q\nregion = %q\nzone = %q\nweight = 1.0\naddress = %q\n",
		c.nodes[node].name, regionName(c.regionOf(node)), c.zoneOf(node), c.nodes[node].address)
}

func (c *Cluster) writeSpecDestination(b *strings.Builder, d *Destination) {
	rate := max(d.Rate, 1) / float64(c.config.Assignment.Regions)
	fmt.Fprintf(b, "[[destination]]\nnumber = %d\nname = %q\nrate = %.3f\nowners = %d\n", d.Number, d.Name, rate, c.config.Assignment.Owners)
	if c.config.Assignment.Distributed {
		fmt.Fprintf(b, "limit = %.3f\n%s", d.Rate, d.endpointsText())
	}
}

// assignmentSection returns the section of a node's configuration about its control machines.
func (c *Cluster) assignmentSection(node int) string {
	text := fmt.Sprintf("[assignment]\ncontrol = [%s]\nstate = %q\nregion_share = %v\nowners_kept_for = \"500ms\"\n",
		c.control.nodeControlAddresses(node), c.nodes[node].statePath, 1/float64(c.config.Assignment.Regions))
	if c.config.Assignment.Distributed {
		text += fmt.Sprintf("destinations = \"control\"\nbuildings = [\"%s\"]\n", strings.Join(partnerZones, "\", \""))
	}
	return text
}
