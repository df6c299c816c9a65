package testcluster

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"sync"
)

// controlPlane is the control machines of a cluster with [Config.Assignment], and the paths to them.
type controlPlane struct {
	machines  []*controlMachine // those of the first region first
	specFiles []string          // one for each region, or one for all regions with a quorum
	nodePaths [][]*Proxy        // of each node, to the machines of its region
	between   map[machinePair]*Proxy

	mu          sync.Mutex
	owners      map[ownerKey]int // the nodes that clients were redirected to
	partitioned bool             // clients reach only the nodes of their own region
	redirects   int              // that clients followed
}

// controlMachine is one control machine. Its process may be killed and started again.
type controlMachine struct {
	region  int // counted from 0
	address string
	config  string // path of its configuration
	state   string // path of what it persists
}

// machinePair is the path from one control machine to another, both counted from 0.
type machinePair struct{ from, to int }

// regionOf returns the region of a node, both counted from 0.
func (c *Cluster) regionOf(node int) int { return node % c.config.Assignment.Regions }

// zoneOf returns the zone of a node, one of two in each region.
func (c *Cluster) zoneOf(node int) string {
	return fmt.Sprint("zone-", c.regionOf(node)+1, "-", node/c.config.Assignment.Regions%2+1)
}

func regionName(region int) string { return fmt.Sprint("region-", region+1) }

// hasQuorum reports whether the control machines form a quorum.
func (c *Cluster) hasQuorum() bool { return len(c.config.Assignment.ControlMachines) > 0 }

// prepareControl makes the control machines and the paths to them, and writes their files.
func (c *Cluster) prepareControl() error {
	if c.config.Assignment == nil {
		return nil
	}
	c.control = &controlPlane{owners: map[ownerKey]int{}, between: map[machinePair]*Proxy{}, nodePaths: make([][]*Proxy, len(c.nodes))}
	for _, step := range []func() error{c.addMachines, c.openNodePaths, c.openMachinePaths, c.writeSpecFiles, c.writeMachineFiles} {
		if err := step(); err != nil {
			return err
		}
	}
	return nil
}

// addMachines gives each control machine its address and its files.
func (c *Cluster) addMachines() error {
	for region := range c.config.Assignment.Regions {
		count := 1
		if c.hasQuorum() {
			count = c.config.Assignment.ControlMachines[region]
		}
		for range count {
			if err := c.addMachine(region); err != nil {
				return err
			}
		}
		if region == 0 || !c.hasQuorum() {
			c.control.specFiles = append(c.control.specFiles, filepath.Join(c.config.Dir, fmt.Sprint("world-", region+1, ".toml")))
		}
	}
	return nil
}

func (c *Cluster) addMachine(region int) error {
	address, err := c.ports.Next()
	if err != nil {
		return err
	}
	path := filepath.Join(c.config.Dir, fmt.Sprint("control-", len(c.control.machines)+1))
	c.control.machines = append(c.control.machines, &controlMachine{region: region, address: address, config: path + ".toml", state: path + "-state"})
	return nil
}

// openNodePaths opens a path from each node to each machine of its region.
func (c *Cluster) openNodePaths() error {
	for node := range c.nodes {
		for _, m := range c.control.machines {
			if m.region != c.regionOf(node) {
				continue
			}
			path, err := NewProxy(m.address)
			if err != nil {
				return err
			}
			c.control.nodePaths[node] = append(c.control.nodePaths[node], path)
		}
	}
	return nil
}

// openMachinePaths opens the paths between machines of different regions, which only a quorum uses.
func (c *Cluster) openMachinePaths() error {
	if !c.hasQuorum() {
		return nil
	}
	for from, a := range c.control.machines {
		for to, b := range c.control.machines {
			if a.region == b.region {
				continue
			}
			path, err := NewProxy(b.address)
			if err != nil {
				return err
			}
			c.control.between[machinePair{from, to}] = path
		}
	}
	return nil
}

// writeMachineFiles writes the configuration of all control machines.
func (c *Cluster) writeMachineFiles() error {
	for i, m := range c.control.machines {
		if err := os.WriteFile(m.config, []byte(c.machineConfig(i)), 0o600); err != nil {
			return err
		}
	}
	return nil
}

// writeSpecFiles writes the cluster specs that the control machines read.
func (c *Cluster) writeSpecFiles() error {
	for i, path := range c.control.specFiles {
		region := i
		if c.hasQuorum() {
			region = allRegions
		}
		if err := os.WriteFile(path, []byte(c.specText(region)), 0o600); err != nil {
			return err
		}
	}
	return nil
}

// close ends the paths.
func (p *controlPlane) close() error {
	var errs []error
	for _, paths := range p.nodePaths {
		for _, path := range paths {
			errs = append(errs, path.Close())
		}
	}
	for _, path := range p.between {
		errs = append(errs, path.Close())
	}
	return errors.Join(errs...)
}

// ControlAddress returns where a control machine listens. Machines are counted from 0, those of the first region first.
func (c *Cluster) ControlAddress(machine int) string { return c.control.machines[machine].address }

// ControlConfigFile returns the path of the configuration of a control machine, counted from 0.
func (c *Cluster) ControlConfigFile(machine int) string { return c.control.machines[machine].config }

// nodeControlAddresses returns where a node reaches the control machines of its region.
func (p *controlPlane) nodeControlAddresses(node int) string {
	var addresses []string
	for _, path := range p.nodePaths[node] {
		addresses = append(addresses, fmt.Sprintf("%q", path.Addr()))
	}
	return strings.Join(addresses, ", ")
}
