package rig

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/url"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"time"
)

const (
	// maxRedirects is how often a client follows one request's redirects.
	maxRedirects = 3
	// ownersMax is how many destinations' owners the clients remember. They forget all of them then.
	ownersMax = 10_000
)

// Assignment is what a rig is told whose nodes are assigned their destinations by control processes.
type Assignment struct {
	Regions int           // with a control process each, which has its own part of each limit
	Owners  int           // of a destination in each region
	Lease   time.Duration // of the nodes
	// RestartGrace is how long a node that has left keeps its destinations.
	RestartGrace time.Duration
	// Distributed says that nodes are told endpoints and limits by the control process, and have none in their files.
	Distributed bool
}

// region is the control process of one region, and the paths to it.
type region struct {
	listen string // of the control process
	file   string // its configuration
	world  string
	state  string
	paths  []*Proxy // by node; nil for those of other regions
}

// control is what a rig with [Config.Assignment] has of it.
type control struct {
	regions   []*region
	mu        sync.Mutex
	owners    map[int]int // the nodes that clients were sent to, by ownerKey
	cut       bool        // clients reach the nodes of their own region alone
	redirects int         // that clients followed
}

// regionOf is the region of a node.
func (r *Rig) regionOf(node int) int { return node % r.cfg.Assignment.Regions }

// zoneOf is the zone of a node, of two in each region.
func (r *Rig) zoneOf(node int) string {
	return fmt.Sprint("zone-", r.regionOf(node)+1, "-", node/r.cfg.Assignment.Regions%2+1)
}

// newControl writes the files of the control processes.
func (r *Rig) newControl() error {
	r.control = &control{owners: map[int]int{}}
	for i := range r.cfg.Assignment.Regions {
		name := filepath.Join(r.cfg.Dir, fmt.Sprint("control-", i+1))
		g := &region{file: name + ".toml", world: name + "-world.toml", state: name + "-state", paths: make([]*Proxy, len(r.nodes))}
		r.control.regions = append(r.control.regions, g)
		var err error
		if g.listen, err = r.ports.Next(); err != nil {
			return err
		}
		for node := range r.nodes {
			if r.regionOf(node) != i {
				continue
			}
			if g.paths[node], err = NewProxy(g.listen); err != nil {
				return err
			}
		}
		text := fmt.Sprintf("listen = %q\nworld = %q\nstate = %q\nlease = %q\ndebounce = \"100ms\"\ngather = \"500ms\"\nrestart_grace = %q\n", g.listen, g.world, g.state, r.cfg.Assignment.Lease, r.cfg.Assignment.RestartGrace)
		if err := errors.Join(os.WriteFile(g.file, []byte(text), 0o600), os.WriteFile(g.world, []byte(r.worldText(i)), 0o600)); err != nil {
			return err
		}
	}
	return nil
}

// worldText is the file of the nodes and destinations of a region. Each region has its part of each limit.
func (r *Rig) worldText(region int) string {
	var b strings.Builder
	for node, p := range r.nodes {
		if r.regionOf(node) == region {
			fmt.Fprintf(&b, "[[node]]\nname = %q\nregion = %q\nzone = %q\nweight = 1.0\naddress = %q\n", p.name, fmt.Sprint("region-", region+1), r.zoneOf(node), p.listen)
		}
	}
	for _, d := range r.Destinations {
		fmt.Fprintf(&b, "[[destination]]\nnumber = %d\nname = %q\nrate = %.3f\nowners = %d\n", d.Number, d.Name,
			max(d.Rate, 1)/float64(r.cfg.Assignment.Regions), r.cfg.Assignment.Owners)
		if r.cfg.Assignment.Distributed {
			fmt.Fprintf(&b, "limit = %.3f\n%s", d.Rate, d.endpointsText())
		}
	}
	return b.String()
}

// assignmentText is the section of a node's file.
func (r *Rig) assignmentText(node int) string {
	g := r.control.regions[r.regionOf(node)]
	text := fmt.Sprintf("[assignment]\ncontrol = [%q]\nstate = %q\nregion_share = %v\nowners_kept_for = \"500ms\"\n",
		g.paths[node].Addr(), r.nodes[node].file+".assignment", 1/float64(r.cfg.Assignment.Regions))
	if r.cfg.Assignment.Distributed {
		text += fmt.Sprintf("destinations = \"control\"\nbuildings = [\"%s\"]\n", strings.Join(partnerBuildings, "\", \""))
	}
	return text
}

// MoveEndpoint has a destination's endpoint in a building move to another address, and the control processes read that
// anew. Nodes with endpoints of their own in their files do not hear of it.
func (r *Rig) MoveEndpoint(ctx context.Context, destination int, building string) error {
	d := r.Destinations[destination-1]
	at := slices.IndexFunc(d.endpoints, func(e endpoint) bool { return e.building == building })
	if at < 0 {
		return fmt.Errorf("destination %d has no endpoint in %q", destination, building)
	}
	address, err := d.System.Move(building)
	if err != nil {
		return err
	}
	d.endpoints[at].address = address
	for i, g := range r.control.regions {
		if err := os.WriteFile(g.world, []byte(r.worldText(i)), 0o600); err != nil {
			return err
		}
		if err := reload(ctx, g.listen); err != nil {
			return err
		}
	}
	return nil
}

// reload has a control process read its world file again.
func reload(ctx context.Context, control string) error {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+control+"/v1/assignment/reload", nil)
	if err != nil {
		return err
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return fmt.Errorf("reloading the world: %w", err)
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusNoContent {
		return fmt.Errorf("reloading the world: the control process answered %d", response.StatusCode)
	}
	return nil
}

// close ends the paths to the control processes.
func (c *control) close() error {
	var errs []error
	for _, g := range c.regions {
		for _, p := range g.paths {
			if p != nil {
				errs = append(errs, p.Close())
			}
		}
	}
	return errors.Join(errs...)
}

// CutControl cuts a node's path to its control process, or joins it again.
func (r *Rig) CutControl(node int, cut bool) {
	r.control.regions[r.regionOf(node)].paths[node].Cut(cut)
}

// CutRegions cuts the regions from each other, or joins them again. Nodes and control processes of different regions
// never speak to each other; what the cut takes away is that clients reach the nodes of another region.
func (r *Rig) CutRegions(cut bool) {
	r.control.mu.Lock()
	defer r.control.mu.Unlock()
	r.control.cut = cut
}

// Redirects is how many redirects clients followed.
func (r *Rig) Redirects() int {
	r.control.mu.Lock()
	defer r.control.mu.Unlock()
	return r.control.redirects
}

// ControlAddress is where the control process of a region listens.
func (r *Rig) ControlAddress(region int) string { return r.control.regions[region].listen }

// ControlFile is the configuration of a region's control process.
func (r *Rig) ControlFile(region int) string { return r.control.regions[region].file }

// Control is one process of a region's control.
type Control struct {
	cmd   *exec.Cmd
	log   bytes.Buffer
	ended chan struct{}
	err   error
}

// StartControl starts the control process of a region, counted from 0, and waits until it listens. A fresh one is
// the first of all.
func (r *Rig) StartControl(ctx context.Context, region int, fresh bool) (*Control, error) {
	g := r.control.regions[region]
	args := append(append([]string(nil), r.cfg.Command[1:]...), "control", "--config", g.file)
	if fresh {
		args = append(args, "--fresh")
	}
	c := &Control{cmd: exec.Command(r.cfg.Command[0], args...), ended: make(chan struct{})}
	c.cmd.Env = append(os.Environ(), r.cfg.Env...)
	c.cmd.Stderr = &c.log
	if err := c.cmd.Start(); err != nil {
		return nil, fmt.Errorf("starting a control process: %w", err)
	}
	go func() {
		c.err = c.cmd.Wait()
		close(c.ended)
	}()
	for {
		conn, err := net.DialTimeout("tcp", g.listen, clientPatience)
		if err == nil {
			return c, conn.Close()
		}
		select {
		case <-ctx.Done():
			c.Kill()
			return nil, fmt.Errorf("the control process does not listen: %w: %s", ctx.Err(), c.Log())
		case <-c.ended:
			return nil, fmt.Errorf("the control process has ended: %w: %s", c.err, c.Log())
		case <-time.After(2 * time.Millisecond):
		}
	}
}

// Kill ends the process as a crash does, and waits until it is gone.
func (c *Control) Kill() {
	_ = c.cmd.Process.Kill() // it may have ended
	<-c.ended
}

// Log is what the process wrote, once it has ended.
func (c *Control) Log() string {
	select {
	case <-c.ended:
		return c.log.String()
	default:
		return "(it runs)"
	}
}

// redirect is the node, counted from 0, and the target of a Location; false where it is no node of the rig.
func (r *Rig) redirect(from string) (node int, target string, ok bool) {
	u, err := url.Parse(from)
	if err != nil {
		return 0, "", false
	}
	for i, p := range r.nodes {
		if p.listen == u.Host {
			return i, u.RequestURI(), true
		}
	}
	return 0, "", false
}

// first is the node that a message goes to. Clients are in all regions in turn. Each second one goes to a node of
// another region, unless they are cut from each other; in a region it goes to the owner that clients learnt of
// the destination, or to all nodes in turn. It is called with the lock held.
func (r *Rig) first(destination int) int {
	turn := r.next
	r.next++
	if r.control == nil {
		return turn % len(r.nodes)
	}
	r.control.mu.Lock()
	defer r.control.mu.Unlock()
	regions := r.cfg.Assignment.Regions
	region := turn % regions
	if turn/regions%2 == 1 && !r.control.cut {
		region = (region + 1) % regions
	}
	if owner, ok := r.control.owners[r.ownerKey(region, destination)]; ok {
		return owner
	}
	inRegion := (len(r.nodes) - region + regions - 1) / regions
	return region + regions*(turn/regions%inRegion)
}

// ownerKey is what an owner is remembered by.
func (r *Rig) ownerKey(region, destination int) int {
	return destination*r.cfg.Assignment.Regions + region
}

// learn remembers that a node accepts a destination's messages, or did and can't be reached.
func (r *Rig) learn(destination, node int, accepts bool) {
	if r.control == nil {
		return
	}
	key := r.ownerKey(r.regionOf(node), destination)
	r.control.mu.Lock()
	defer r.control.mu.Unlock()
	if !accepts {
		delete(r.control.owners, key)
		return
	}
	r.control.redirects++
	if len(r.control.owners) >= ownersMax {
		clear(r.control.owners)
	}
	r.control.owners[key] = node
}

// nextInRegion is another node of the same region.
func (r *Rig) nextInRegion(node int) int {
	if next := node + r.cfg.Assignment.Regions; next < len(r.nodes) {
		return next
	}
	return r.regionOf(node)
}

// notDialled tells that a request surely never reached a node.
func notDialled(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial" && !errors.Is(err, os.ErrDeadlineExceeded)
}
