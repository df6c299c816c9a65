package demo

import (
	"context"
	"errors"
	"fmt"
	"math"
	"os"
	"slices"
	"strings"
	"sync"
	"time"
	"wingmount/internal/fake/partner"
	"wingmount/internal/testcluster"
)

// The size of the scenario gossip.
const (
	gossipNodes    = 10 // of each group
	gossipTraffic  = 28 * time.Second
	outageDuration = 14 * time.Second
	// floodRate and floodDuration are of forged datagrams, a second.
	floodRate     = 20_000
	floodDuration = 5 * time.Second
	// statusDelay is longer than the nodes take to write what they have counted.
	statusDelay = 2500 * time.Millisecond
)

// Nodes with gossip that have a special part, counted from 0.
const (
	lyingNode     = 0 // reports the opposite of what it observes
	silentNode    = 1 // receives reports and sends none
	floodedNode   = 2
	referenceNode = 3 // is compared with the flooded node
)

// failingDestination is the number of the destination with an outage. The others are healthy all the time.
const failingDestination = 2

// messagesTo is how many messages each group gets for each destination, the first one first.
var messagesTo = []int{560, 280, 168}

// nodeGroup is ten nodes with stores of their own.
type nodeGroup struct {
	*testcluster.Cluster
	nodes []*testcluster.NodeProcess
}

// newNodeGroup starts ten nodes.
func newNodeGroup(ctx context.Context, r *scenarioRun, name string, withGossip bool) (*nodeGroup, error) {
	config := testcluster.Config{
		Dir: r.dir + "/" + name, Command: r.command, Store: "sqlite", Deadline: 10 * time.Second, Destinations: len(messagesTo),
		CallDuration: 20 * time.Millisecond, Nodes: gossipNodes, MaxInFlight: 200, MaxCalls: 8, MaxStoreMB: 8, ResultSlack: time.Second, Gossip: withGossip,
	}
	if err := os.Mkdir(config.Dir, 0o700); err != nil {
		return nil, err
	}
	c, err := testcluster.New(config)
	if err != nil {
		return nil, err
	}
	g := &nodeGroup{Cluster: c}
	for i := range gossipNodes {
		node, err := c.StartNode(ctx, i, gossipFault(i, withGossip))
		if err != nil {
			return nil, errors.Join(err, g.close())
		}
		g.nodes = append(g.nodes, node)
	}
	return g, nil
}

// gossipFault returns the failure point that makes a node lie or be silent.
func gossipFault(node int, withGossip bool) string {
	switch {
	case withGossip && node == lyingNode:
		return "gossip/peer/before-saw=error"
	case withGossip && node == silentNode:
		return "gossip/peer/before-send=error"
	}
	return ""
}

// close kills the nodes and closes the cluster.
func (g *nodeGroup) close() error {
	for _, node := range g.nodes {
		node.Kill()
	}
	return g.Close()
}

// gossipRun is one run of the scenario gossip.
type gossipRun struct {
	*scenarioRun
	without, with *nodeGroup
}

// groups returns both groups, the one without gossip first.
func (r *gossipRun) groups() []*nodeGroup { return []*nodeGroup{r.without, r.with} }

// gossip is a scenario: two groups of ten nodes get the same messages for the same partners. One shares what its nodes
// observe, with a liar and a silent node among them; the other shares nothing. Partner-2 fails for a while; partner-1,
// and partner-3, which gets few messages, are healthy all the time.
func gossip(ctx context.Context, s *scenarioRun) (err error) {
	r := &gossipRun{scenarioRun: s}
	if r.without, err = newNodeGroup(ctx, s, "alone", false); err != nil {
		return err
	}
	defer func() { err = errors.Join(err, r.without.close()) }()
	if r.with, err = newNodeGroup(ctx, s, "gossip", true); err != nil {
		return err
	}
	defer func() { err = errors.Join(err, r.with.close()) }()
	r.logf("twenty nodes are ready; in one group %s lies, and %s receives reports and sends none", "node-1", "node-2")
	if err := r.with.awaitPeers(ctx); err != nil {
		return err
	}
	r.logf("the nine that send reports know each other; 36 messages a second come to each group for %v", gossipTraffic)
	traffic := startTraffic(ctx, r.submit)
	defer traffic.stop()
	if err := r.flood(ctx); err != nil {
		return err
	}
	outage, err := r.outage(ctx)
	if err != nil {
		return err
	}
	if err := traffic.wait(); err != nil {
		return err
	}
	r.countAll(ctx)
	return r.compare(outage)
}

// submit submits the messages of both groups, and waits for their clients.
func (r *gossipRun) submit(ctx context.Context) error {
	var clients sync.WaitGroup
	errs := make(chan error, len(r.groups())*len(messagesTo))
	for _, group := range r.groups() {
		for i, n := range messagesTo {
			clients.Go(func() { errs <- submitTo(ctx, group.Cluster, i+1, n, gossipTraffic) })
		}
	}
	clients.Wait()
	close(errs)
	var all []error
	for err := range errs {
		all = append(all, err)
	}
	return errors.Join(all...)
}

// countAll waits for the last results of both groups and adds their tallies.
func (r *gossipRun) countAll(ctx context.Context) {
	r.logf("all messages are submitted; waiting for the last results")
	r.without.AwaitResults(ctx)
	without := r.without.Tally()
	r.with.AwaitResults(ctx)
	with := r.with.Tally()
	r.tally = without.Add(with)
	r.figures["delivered_without_gossip"], r.figures["delivered_with_gossip"] = without.Delivered, with.Delivered
}

// partnerOutage is the outage of partner-2.
type partnerOutage struct {
	start, end  time.Time
	failedCalls [2]int // during it, of each group
}

// outage has partner-2 fail for a while.
func (r *gossipRun) outage(ctx context.Context) (o partnerOutage, err error) {
	var before [2]int
	o.start = time.Now()
	for i, group := range r.groups() {
		before[i] = group.calls(failingDestination)
		group.Destination(failingDestination).System.SetMode(partner.FailsAfterEffect)
	}
	r.logf("partner-2 runs calls and answers 500")
	if err := pause(ctx, outageDuration); err != nil {
		return o, err
	}
	for i, group := range r.groups() {
		o.failedCalls[i] = group.calls(failingDestination) - before[i]
		group.Destination(failingDestination).System.SetMode(partner.Healthy)
	}
	o.end = time.Now()
	r.logf("partner-2 is healthy again; it had %d failed calls without gossip, %d with it", o.failedCalls[0], o.failedCalls[1])
	return o, nil
}

// flood sends one node forged datagrams in the name of another, and reports what they cost it.
func (r *gossipRun) flood(ctx context.Context) error {
	floodedBefore, referenceBefore := r.cpuTime(floodedNode), r.cpuTime(referenceNode)
	forged, err := r.with.FloodGossip(ctx, floodedNode, referenceNode, floodRate, floodDuration)
	if err != nil {
		return err
	}
	if err := pause(ctx, statusDelay); err != nil {
		return err
	}
	extra := r.cpuTime(floodedNode) - floodedBefore - (r.cpuTime(referenceNode) - referenceBefore)
	status, err := r.with.GossipStatus(floodedNode)
	if err != nil {
		return err
	}
	checked := status.Counts["dropped_signature"] // of genuine datagrams no signature is invalid
	percent := 100 * extra.Seconds() / floodDuration.Seconds()
	r.logf("%s was sent %d forged datagrams in %v: it received %d, checked %d forged signatures, and used %.1f%% of a core more than another",
		status.Node, forged, floodDuration, status.Counts["received"], checked, percent)
	r.figures["forged"], r.figures["forged_signatures_checked"] = forged, checked
	r.figures["flood_core_percent"] = math.Round(10*percent) / 10
	return nil
}

// cpuTime returns the processor time of a node with gossip, 0 if it can't be read.
func (r *gossipRun) cpuTime(node int) time.Duration {
	used, err := r.with.nodes[node].CPUTime()
	if err != nil {
		r.logf("the CPU time of a node: %v", err)
	}
	return used
}

// compare kills the nodes with gossip, sets the figures, and checks that gossip did no harm to messages for healthy
// partners.
func (r *gossipRun) compare(outage partnerOutage) error {
	without, with := r.without.healthyDelivered(), r.with.healthyDelivered()
	suspicions, maxBytes := r.with.healthySuspected(), r.with.maxSentBytes()
	for _, node := range r.with.nodes {
		node.Kill()
	}
	reports := r.with.reports(outage)
	r.logf("nodes that were informed of the outage: %v ms after its start; of the recovery: %v", reports.outageMs, reports.recoveryMs)
	harmed := reports.healthyDown + suspicions
	r.figures["failed_calls_without_gossip"], r.figures["failed_calls_with_gossip"] = outage.failedCalls[0], outage.failedCalls[1]
	r.figures["healthy_delivered_without_gossip"], r.figures["healthy_delivered_with_gossip"] = without, with
	r.figures["healthy_suspected"] = harmed
	r.figures["outage_reported_ms"], r.figures["recovery_reported_ms"] = reports.outageMs, reports.recoveryMs
	r.figures["max_bytes_of_a_node"] = maxBytes
	if harmed > 0 {
		return fmt.Errorf("a healthy partner was suspected %d times", harmed)
	}
	if 100*with < 99*without {
		return fmt.Errorf("with gossip %d messages reached healthy partners, %d without", with, without)
	}
	return nil
}

// awaitPeers waits until the nodes that send reports know each other.
func (g *nodeGroup) awaitPeers(ctx context.Context) error {
	for g.alivePeers() < (gossipNodes-1)*(gossipNodes-2) {
		if err := pause(ctx, 100*time.Millisecond); err != nil {
			return err
		}
	}
	return nil
}

// alivePeers counts the peers that the nodes other than the silent one regard as alive, all nodes together.
func (g *nodeGroup) alivePeers() (alive int) {
	for i := range gossipNodes {
		status, err := g.GossipStatus(i)
		if err != nil || i == silentNode {
			continue
		}
		for _, peer := range status.Peers {
			if peer.Status == "alive" {
				alive++
			}
		}
	}
	return alive
}

// healthySuspected counts suspicions of endpoints of healthy partners, all nodes together.
func (g *nodeGroup) healthySuspected() (suspicions int) {
	isFailing := func(endpoint string) bool { return strings.HasPrefix(endpoint, "partner-2") }
	for i := range gossipNodes {
		if status, err := g.GossipStatus(i); err == nil {
			suspicions += len(slices.DeleteFunc(status.Suspected, isFailing))
		}
	}
	return suspicions
}

// maxSentBytes returns the highest number of bytes that a node has sent to its peers.
func (g *nodeGroup) maxSentBytes() (most uint64) {
	for i := range gossipNodes {
		if status, err := g.GossipStatus(i); err == nil {
			most = max(most, status.Counts["sent_bytes"])
		}
	}
	return most
}

// calls returns how many calls a destination has had.
func (g *nodeGroup) calls(destination int) (sum int) {
	for _, n := range g.Destination(destination).System.Ledger().Calls {
		sum += n
	}
	return sum
}

// healthyDelivered returns how many messages had their effect at the healthy partners.
func (g *nodeGroup) healthyDelivered() (sum int) {
	for _, d := range g.Destinations {
		if d.Number != failingDestination {
			sum += len(d.System.Ledger().Effects)
		}
	}
	return sum
}
