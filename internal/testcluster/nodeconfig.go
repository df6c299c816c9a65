package testcluster

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"time"
	"wingmount/internal/config"
	"wingmount/internal/fake/forger"
	"wingmount/internal/gossip"
)

const (
	// gossipCluster is the name of the cluster in gossip packets.
	gossipCluster = "testcluster"
	// classSoftDeadline is the soft deadline of all classes, unless the deadline is earlier.
	classSoftDeadline = time.Second
)

// nodeFiles is where a node listens and which files it uses.
type nodeFiles struct {
	name       string
	address    string // for clients
	config     string // path of its configuration
	gossip     string // address for peers, empty without gossip
	gossipKey  string // public key in gossip, empty without gossip
	storePath  string
	rulesPath  string // exists only with Config.Rules
	keyPath    string // private key in gossip
	statusPath string // what the node writes of its peers
	statePath  string // what the node persists of its assignments
}

// newNodeFiles chooses the address of a node, counted from 0, and writes the files that its configuration refers to.
func (c *Cluster) newNodeFiles(node int) (nodeFiles, error) {
	path := filepath.Join(c.config.Dir, fmt.Sprint("gateway-", node+1, ".toml"))
	f := nodeFiles{
		name: fmt.Sprint("node-", node+1), config: path, storePath: c.storePath(node),
		rulesPath: path + ".rules", keyPath: path + ".key", statusPath: path + ".gossip", statePath: path + ".assignment",
	}
	var err error
	if f.address, err = c.ports.Next(); err != nil {
		return f, err
	}
	if c.config.Rules != "" {
		if err := os.WriteFile(f.rulesPath, []byte(c.config.Rules), 0o600); err != nil {
			return f, err
		}
	}
	if !c.config.Gossip {
		return f, nil
	}
	if f.gossipKey, err = config.NewGossipKey(f.keyPath); err != nil {
		return f, err
	}
	f.gossip, err = c.ports.Next()
	return f, err
}

// storePath returns where a node's store lies. Nodes on one database share a path.
func (c *Cluster) storePath(node int) string {
	if node == 0 || c.Postgres != nil {
		return filepath.Join(c.config.Dir, "store")
	}
	return filepath.Join(c.config.Dir, fmt.Sprint("store-", node+1))
}

// SetRules replaces the rule file of the first node, which reads it on SIGHUP and at its start.
func (c *Cluster) SetRules(text string) error {
	return os.WriteFile(c.nodes[0].rulesPath, []byte(text), 0o600)
}

// NodeConfigFile returns the path of the configuration of a node, counted from 0.
func (c *Cluster) NodeConfigFile(node int) string { return c.nodes[node].config }

// NodeAddress returns where a node, counted from 0, listens for clients.
func (c *Cluster) NodeAddress(node int) string { return c.nodes[node].address }

// StorePath returns where the first node's store lies.
func (c *Cluster) StorePath() string { return c.nodes[0].storePath }

// GossipStatus returns what a node, counted from 0, last wrote of its peers and of the endpoints that it suspects.
func (c *Cluster) GossipStatus(node int) (gossip.Status, error) {
	return gossip.ReadStatus(c.nodes[node].statusPath)
}

// FloodGossip sends a node forged datagrams in the name of another node, rate a second, and returns how many.
func (c *Cluster) FloodGossip(ctx context.Context, node, claimed, rate int, duration time.Duration) (int, error) {
	to, from := c.nodes[node], c.nodes[claimed]
	target := forger.Target{Address: to.gossip, Name: to.name, Cluster: gossipCluster, Peer: from.name, Key: from.gossipKey}
	return forger.Flood(ctx, target, rate, duration)
}

// nodeConfig returns the configuration of a node as TOML.
func (c *Cluster) nodeConfig(node int) string {
	var b strings.Builder
	fmt.Fprintf(&b, "name = %q\nlisten = %q\n", c.nodes[node].name, c.nodes[node].address)
	c.writeStoreSection(&b, node)
	fmt.Fprintf(&b, "[answers]\nurl = %q\n", c.Results.URL())
	c.writeLimitsSection(&b)
	c.writeClasses(&b, node)
	if c.config.PartnerSettings != "" {
		fmt.Fprintf(&b, "[partners]\n%s\n", c.config.PartnerSettings)
	}
	if c.control != nil {
		b.WriteString(c.assignmentSection(node))
	}
	if c.config.Gossip {
		c.writeGossipSection(&b, node)
	}
	if c.control == nil || !c.config.Assignment.Distributed {
		c.writeDestinations(&b)
	}
	return b.String()
}

func (c *Cluster) writeStoreSection(b *strings.Builder, node int) {
	fmt.Fprintf(b, "[store]\nkind = %q\n", c.config.Store)
	if c.config.ResultRetention > 0 {
		fmt.Fprintf(b, "keep = %q\n", c.config.ResultRetention)
	}
	if c.Postgres != nil {
		fmt.Fprintf(b, "url = %q\n", c.Postgres.URL())
		if c.config.Lease > 0 {
			fmt.Fprintf(b, "lease = %q\n", c.config.Lease)
		}
	}
	fmt.Fprintf(b, "path = %q\ndurability = \"process\"\nmax_mb = %d\n", c.nodes[node].storePath, c.config.MaxStoreMB)
}

func (c *Cluster) writeLimitsSection(b *strings.Builder) {
	sharing := c.config.Nodes // how many nodes divide the rate of a destination by their files
	if c.control != nil {
		sharing = 1
	}
	fmt.Fprintf(b, "[limits]\nheld = %d\nslots = %d\nnodes = %d\nadmission = %t\n", c.config.MaxInFlight, c.config.MaxCalls, sharing, !c.config.DisableAdmission)
	if c.config.MaxSockets > 0 {
		fmt.Fprintf(b, "sockets = %d\n", c.config.MaxSockets)
	}
}

func (c *Cluster) writeClasses(b *strings.Builder, node int) {
	times := fmt.Sprintf("wanted = %q\ndeadline = %q\nlate_worth = 0.5\n", min(classSoftDeadline, c.config.Deadline), c.config.Deadline)
	for _, class := range []string{Keyed, Idempotent, Unsafe} {
		fmt.Fprintf(b, "[[class]]\nname = %q\nrepeat = %q\n%s", class, class, times)
		if class == Keyed {
			fmt.Fprintf(b, "window = %q\n", dedupeWindow)
		}
	}
	if c.config.Rules == "" {
		return
	}
	fmt.Fprintf(b, "[[class]]\nname = %q\nrepeat = \"idempotent\"\nordered = true\nrest = \"500ms\"\n%s", Ordered, times)
	fmt.Fprintf(b, "[rules]\nfile = %q\n", c.nodes[node].rulesPath)
}

func (c *Cluster) writeGossipSection(b *strings.Builder, node int) {
	own := c.nodes[node]
	fmt.Fprintf(b, "[gossip]\nlisten = %q\ncluster = %q\nbuilding = \"ops-building\"\nkey = %q\nstate = %q\n", own.gossip, gossipCluster, own.keyPath, own.statusPath)
	for _, peer := range c.nodes {
		fmt.Fprintf(b, "[[gossip.peer]]\nname = %q\naddress = %q\nkeys = [%q]\n", peer.name, peer.gossip, peer.gossipKey)
	}
}

func (c *Cluster) writeDestinations(b *strings.Builder) {
	for _, d := range c.Destinations {
		fmt.Fprintf(b, "[[destination]]\nnumber = %d\nname = %q\nrate = %.1f\n%s", d.Number, d.Name, d.Rate, d.endpointsText())
	}
}
