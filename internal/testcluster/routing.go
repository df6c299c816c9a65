package testcluster

import (
	"errors"
	"net"
	"net/url"
	"os"
)

const (
	// maxRedirects is how many redirects a client follows for one request.
	maxRedirects = 3
	// maxKnownOwners is how many owners the clients remember. When there are more they drop all of them.
	maxKnownOwners = 10_000
)

// ownerKey is what clients know an owner by: the destination's number and the region, counted from 0.
type ownerKey struct{ destination, region int }

// nodeTarget is a node, counted from 0, and a target on it.
type nodeTarget struct {
	node   int
	target string
}

// resolveRedirect returns the node and the target of a Location header. It reports false if no node of the cluster
// listens there.
func (c *Cluster) resolveRedirect(location string) (nodeTarget, bool) {
	u, err := url.Parse(location)
	if err != nil {
		return nodeTarget{}, false
	}
	for node, files := range c.nodes {
		if files.address == u.Host {
			return nodeTarget{node, u.RequestURI()}, true
		}
	}
	return nodeTarget{}, false
}

// entryNode returns the node that a message is sent to first. Without control machines these are all nodes in turn. With
// them clients are in all regions in turn, and every second client of a region uses a node of the next region, unless
// the regions are cut from each other. Within a region it is the owner that clients know, or else all nodes in turn.
// The caller must lock c.mu.
func (c *Cluster) entryNode(destination int) int {
	turn := c.nextTurn
	c.nextTurn++
	if c.control == nil {
		return turn % len(c.nodes)
	}
	c.control.mu.Lock()
	defer c.control.mu.Unlock()
	regions := c.config.Assignment.Regions
	region := turn % regions
	if turn/regions%2 == 1 && !c.control.partitioned {
		region = (region + 1) % regions
	}
	if owner, ok := c.control.owners[ownerKey{destination, region}]; ok {
		return owner
	}
	nodesInRegion := (len(c.nodes) - region + regions - 1) / regions
	return region + regions*(turn/regions%nodesInRegion)
}

// learnOwner remembers that a node owns a destination, which a redirect said.
func (c *Cluster) learnOwner(destination, node int) {
	if c.control == nil {
		return
	}
	c.control.mu.Lock()
	defer c.control.mu.Unlock()
	c.control.redirects++
	if len(c.control.owners) >= maxKnownOwners {
		clear(c.control.owners)
	}
	c.control.owners[ownerKey{destination, c.regionOf(node)}] = node
}

// dropOwner drops what clients know of the owner of a destination in the region of a node, which has rejected a
// message or can't be reached.
func (c *Cluster) dropOwner(destination, node int) {
	if c.control == nil {
		return
	}
	c.control.mu.Lock()
	defer c.control.mu.Unlock()
	delete(c.control.owners, ownerKey{destination, c.regionOf(node)})
}

// nextInRegion returns the next node of the same region.
func (c *Cluster) nextInRegion(node int) int {
	if next := node + c.config.Assignment.Regions; next < len(c.nodes) {
		return next
	}
	return c.regionOf(node)
}

// Redirects returns how many redirects clients have followed.
func (c *Cluster) Redirects() int {
	c.control.mu.Lock()
	defer c.control.mu.Unlock()
	return c.control.redirects
}

// isDialError reports whether a request surely never reached a node.
func isDialError(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial" && !errors.Is(err, os.ErrDeadlineExceeded)
}
