package control

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"path/filepath"
	"sync"
	"testing"
	"time"
	"wingmount/decide/lease"
	"wingmount/decide/placement"
	"wingmount/internal/clusterspec"
	"wingmount/internal/testkit"

	"go.uber.org/goleak"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// Durations for the tests. The lease is short, so that tests that wait for its expiry are quick.
const (
	testLease    = 3 * time.Second
	testWindow   = 50 * time.Millisecond
	testDebounce = 20 * time.Millisecond
	testTimeout  = 15 * time.Second
)

// testSpec returns a spec with nodes n1, n2, ... in zones z0 to z2, and destinations with two owners.
func testSpec(nodes, destinations int) *clusterspec.Spec {
	spec := &clusterspec.Spec{}
	for i := 1; i <= nodes; i++ {
		spec.Nodes = append(spec.Nodes, clusterspec.Node{
			Name: fmt.Sprintf("n%d", i), Region: "north", Zone: fmt.Sprintf("z%d", i%3), Weight: 1,
			Address: fmt.Sprintf("127.0.0.1:%d", 9000+i),
		})
	}
	for i := 1; i <= destinations; i++ {
		spec.Destinations = append(spec.Destinations, clusterspec.Destination{Number: placement.DestinationID(i), Rate: 10, Owners: 2})
	}
	return spec
}

// running is a Run method that runs in a goroutine until stop or cancel.
type running struct {
	cancel context.CancelFunc
	done   chan struct{}
	err    error
}

// run calls a Run method in a goroutine, and stops it at the end of the test.
func run(t *testing.T, serve func(context.Context) error) *running {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	r := &running{cancel: cancel, done: make(chan struct{})}
	go func() {
		defer close(r.done)
		r.err = serve(ctx)
	}()
	t.Cleanup(func() { r.stop(t) })
	return r
}

func (r *running) stop(t *testing.T) {
	t.Helper()
	r.cancel()
	<-r.done
	if r.err != nil {
		t.Error(r.err)
	}
}

func testServerConfig(t *testing.T, spec *clusterspec.Spec) ServerConfig {
	t.Helper()
	return ServerConfig{
		Listen: "127.0.0.1:0", Spec: spec, StateDir: t.TempDir(), NoEarlierLeases: true,
		Lease: testLease, Slack: time.Millisecond, Window: testWindow, Debounce: testDebounce,
		InitialWait: 10 * testDebounce, RestartGrace: testDebounce,
	}
}

func startServer(t *testing.T, config ServerConfig) (*Server, *running) {
	t.Helper()
	server, err := NewServer(config)
	if err != nil {
		t.Fatal(err)
	}
	return server, run(t, server.Run)
}

// testNode is a running agent. It records the updates and changes of the lease that the agent reports.
type testNode struct {
	*Agent
	*running
	mu      sync.Mutex
	updates []Update
	leased  []bool
	configs map[placement.DestinationID]clusterspec.DestinationConfig // the latest config of each destination
}

func startNode(t *testing.T, config AgentConfig) *testNode {
	t.Helper()
	n := &testNode{configs: map[placement.DestinationID]clusterspec.DestinationConfig{}}
	config.Apply = func(update Update) {
		n.mu.Lock()
		defer n.mu.Unlock()
		n.updates = append(n.updates, update)
		for _, received := range update.Configs {
			n.configs[received.Destination] = received
		}
	}
	config.LeaseChanged = func(valid bool) {
		n.mu.Lock()
		defer n.mu.Unlock()
		n.leased = append(n.leased, valid)
	}
	agent, err := NewAgent(config)
	if err != nil {
		t.Fatal(err)
	}
	n.Agent = agent
	n.running = run(t, agent.Run)
	return n
}

// newTransport returns a transport that closes its connections at the end of the test.
func newTransport(t *testing.T) *http.Transport {
	t.Helper()
	transport := &http.Transport{}
	t.Cleanup(transport.CloseIdleConnections)
	return transport
}

func startNodes(t *testing.T, server *Server, names ...placement.NodeID) []*testNode {
	t.Helper()
	var nodes []*testNode
	for _, name := range names {
		nodes = append(nodes, startNode(t, AgentConfig{Node: name, Addresses: []string{server.Addr()}}))
	}
	return nodes
}

// eventually waits until a condition is true, and fails the test after testTimeout.
func eventually(t *testing.T, what string, condition func() bool) {
	t.Helper()
	testkit.EventuallyWithin(t, testTimeout, what, condition)
}

// totalQuota returns the sum of the nodes' quotas of a destination.
func totalQuota(nodes []*testNode, destination placement.DestinationID) float64 {
	total := 0.0
	for _, n := range nodes {
		total += n.Quota(destination)
	}
	return total
}

// allGranted reports whether the quota of each destination is completely granted.
func allGranted(nodes []*testNode, destinations int) bool {
	for i := 1; i <= destinations; i++ {
		if totalQuota(nodes, placement.DestinationID(i)) < 0.999 {
			return false
		}
	}
	return true
}

// watchTotalQuotas fails the test if the nodes' quotas of a destination ever add up to more than 1.
func watchTotalQuotas(t *testing.T, nodes func() []*testNode, destinations int) {
	t.Helper()
	stop, done := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(done)
		for {
			select {
			case <-stop:
				return
			case <-time.After(2 * time.Millisecond):
			}
			for i := 1; i <= destinations; i++ {
				if total := totalQuota(nodes(), placement.DestinationID(i)); total > 1 {
					t.Errorf("destination %d: got a total quota of %v, want 1 at most", i, total)
					return
				}
			}
		}
	}()
	t.Cleanup(func() { close(stop); <-done })
}

func fixedNodes(nodes []*testNode) func() []*testNode { return func() []*testNode { return nodes } }

func TestEachDestinationHasTwoOwners(t *testing.T) {
	t.Parallel()
	const destinations = 40
	config := testServerConfig(t, testSpec(4, destinations))
	config.InitialWait = testTimeout // the first placement waits for all four nodes
	server, _ := startServer(t, config)
	nodes := startNodes(t, server, "n1", "n2", "n3", "n4")
	watchTotalQuotas(t, fixedNodes(nodes), destinations)
	eventually(t, "all destinations are granted", func() bool { return allGranted(nodes, destinations) })
	for i := 1; i <= destinations; i++ {
		owners := 0
		for _, n := range nodes {
			if assignment, ok := n.Assignment(placement.DestinationID(i)); ok && assignment.Accepting {
				owners++
			}
		}
		if owners != 2 {
			t.Errorf("destination %d: got %d owners, want 2", i, owners)
		}
	}
}

// A node loses its connection to the server. Others may get its quotas only after its lease has expired.
func TestDisconnectedNodeIsReplacedAfterLeaseExpiry(t *testing.T) {
	t.Parallel()
	const destinations = 20
	server, _ := startServer(t, testServerConfig(t, testSpec(3, destinations)))
	transport := newFaultyTransport(t)
	nodes := append([]*testNode{startNodeWithTransport(t, transport, "n1", server.Addr())}, startNodes(t, server, "n2", "n3")...)
	watchTotalQuotas(t, fixedNodes(nodes), destinations)
	eventually(t, "all quota is granted", func() bool { return allGranted(nodes, destinations) })
	// A disconnected node keeps its quotas until its lease expires.
	transport.disconnected.Store(true)
	eventually(t, "the others have all quota", func() bool { return allGranted(nodes[1:], destinations) })
	if nodes[0].LeaseValid() {
		t.Fatal("quotas of the disconnected node were granted to others while its lease was valid")
	}
}

// A node that stops closes its session, so that others need not wait for the expiry of its lease, which is long here.
func TestClosedSessionIsReplacedBeforeLeaseExpiry(t *testing.T) {
	t.Parallel()
	const destinations = 20
	config := testServerConfig(t, testSpec(3, destinations))
	config.Lease = time.Minute
	server, _ := startServer(t, config)
	nodes := startNodes(t, server, "n1", "n2", "n3")
	eventually(t, "all quota is granted", func() bool { return allGranted(nodes, destinations) })
	nodes[0].stop(t)
	eventually(t, "the others have all quota", func() bool { return allGranted(nodes[1:], destinations) })
	nodes[0].mu.Lock()
	defer nodes[0].mu.Unlock()
	if last := nodes[0].leased[len(nodes[0].leased)-1]; last {
		t.Fatal("LeaseChanged did not report the end of the lease")
	}
}

// A draining node stops accepting messages. It must keep assignments and quota until it has finished the accepted ones.
func TestDrainingNodeFinishesAcceptedMessages(t *testing.T) {
	t.Parallel()
	const destinations = 20
	server, _ := startServer(t, testServerConfig(t, testSpec(3, destinations)))
	nodes := startNodes(t, server, "n1", "n2", "n3")
	watchTotalQuotas(t, fixedNodes(nodes), destinations)
	eventually(t, "all quota is granted", func() bool { return allGranted(nodes, destinations) })
	if err := server.Drain("n1", true); err != nil {
		t.Fatal(err)
	}
	draining := nodes[0]
	owned := draining.Len()
	eventually(t, "the draining node accepts messages for no destination", func() bool { return acceptingCount(draining, destinations) == 0 })
	if draining.Len() != owned {
		t.Fatalf("got %d destinations with unfinished messages, want %d", draining.Len(), owned)
	}
	for i := 1; i <= destinations; i++ {
		id := placement.DestinationID(i)
		if _, ok := draining.Assignment(id); ok && draining.Quota(id) == 0 {
			t.Errorf("destination %d: the draining node has unfinished messages but no quota", i)
		}
		draining.Release(id)
	}
	eventually(t, "the draining node has no assignments", func() bool { return draining.Len() == 0 })
	eventually(t, "the others have all quota", func() bool { return allGranted(nodes[1:], destinations) })
	if err := server.Drain("n1", false); err != nil {
		t.Fatal(err)
	}
	eventually(t, "the node is an owner again", func() bool { return acceptingCount(draining, destinations) > 0 })
	if err := server.Drain("nobody", true); err == nil {
		t.Fatal("got no error for an unknown node")
	}
}

// acceptingCount returns the number of destinations for which a node accepts messages.
func acceptingCount(n *testNode, destinations int) int {
	count := 0
	for i := 1; i <= destinations; i++ {
		if assignment, ok := n.Assignment(placement.DestinationID(i)); ok && assignment.Accepting {
			count++
		}
	}
	return count
}

// The server restarts while nodes have leases, and one node fails meanwhile. Its quota must not be granted before its
// lease has expired; the others keep their assignments.
func TestServerRestartKeepsLeasesAndWaitsForUnreclaimedQuota(t *testing.T) {
	t.Parallel()
	const destinations = 20
	config := testServerConfig(t, testSpec(3, destinations))
	config.Lease = 6 * time.Second
	server, first := startServer(t, config)
	config.Listen = server.Addr()
	nodes := startNodes(t, server, "n1", "n2", "n3")
	watchTotalQuotas(t, fixedNodes(nodes), destinations)
	eventually(t, "all quota is granted", func() bool { return allGranted(nodes, destinations) })
	before := make(map[placement.DestinationID]lease.Assignment)
	for i := 1; i <= destinations; i++ {
		before[placement.DestinationID(i)], _ = nodes[0].Assignment(placement.DestinationID(i))
	}
	first.stop(t)
	time.Sleep(300 * time.Millisecond)
	if !nodes[0].LeaseValid() || !allGranted(nodes, destinations) {
		t.Fatal("leases or quotas were lost while no server was running")
	}
	nodes[2].cancel() // fails during the restart: its quota must not be granted while it may still be used
	<-nodes[2].done
	second, _ := startServer(t, config)
	if incarnation := second.State().Incarnation; incarnation != 2 {
		t.Fatalf("got incarnation %d, want 2", incarnation)
	}
	eventually(t, "the two other nodes have a session", func() bool { return second.sessions() == 2 })
	for id, assignment := range before {
		if now, _ := nodes[0].Assignment(id); now != assignment {
			t.Errorf("destination %d: got %+v after the restart, want %+v", id, now, assignment)
		}
	}
	ready := second.origin.Add(second.grantor.GraceEnd())
	eventually(t, "the two other nodes have all quota", func() bool { return allGranted(nodes[:2], destinations) })
	if time.Now().Before(ready) {
		t.Fatal("unreclaimed quota was granted before the end of the grace period")
	}
}

func (s *Server) sessions() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.grantor.SessionCount()
}

func TestSecondServerOnStateFolderIsRejected(t *testing.T) {
	t.Parallel()
	config := testServerConfig(t, testSpec(1, 1))
	startServer(t, config)
	if _, err := NewServer(config); err == nil {
		t.Fatal("got no error for a second server on the same state folder")
	}
}

// A server that starts without its state reuses an old incarnation. Nodes report the newer incarnation, and the server
// must not open sessions until an operator sets AboveIncarnation.
func TestServerWithLostStateIsSuperseded(t *testing.T) {
	t.Parallel()
	const destinations = 5
	config := testServerConfig(t, testSpec(2, destinations))
	config.Lease = 5 * time.Second
	config.AboveIncarnation = 8
	server, first := startServer(t, config)
	config.Listen = server.Addr()
	nodes := startNodes(t, server, "n1", "n2")
	eventually(t, "all quota is granted", func() bool { return allGranted(nodes, destinations) })
	first.stop(t)
	config.StateDir, config.AboveIncarnation = t.TempDir(), 0 // simulates a lost disk
	second, restored := startServer(t, config)
	eventually(t, "the server is superseded", func() bool { return second.State().SupersededBy == 9 })
	if second.sessions() != 0 {
		t.Fatal("got sessions on a superseded server, want none")
	}
	restored.stop(t)
	config.AboveIncarnation = 9
	startServer(t, config)
	eventually(t, "the server grants leases under an incarnation above the lost one", func() bool {
		return nodes[0].highestIncarnation() == 10 && allGranted(nodes, destinations)
	})
}

func (n *testNode) highestIncarnation() lease.Incarnation {
	n.Agent.mu.Lock()
	defer n.Agent.mu.Unlock()
	return n.holder.HighestIncarnation()
}

// A killed node does not close its session. With its state file, the next process replaces the session before the lease,
// which is long here, has expired.
func TestKilledNodeResumesBeforeLeaseExpiryWithStateFile(t *testing.T) {
	t.Parallel()
	const destinations = 10
	config := testServerConfig(t, testSpec(2, destinations))
	config.Lease = time.Minute
	server, _ := startServer(t, config)
	other := startNodes(t, server, "n2")[0]
	transport := newFaultyTransport(t)
	agentConfig := AgentConfig{
		Node: "n1", Addresses: []string{server.Addr()}, Transport: transport,
		StateFile: filepath.Join(t.TempDir(), "agent.json"),
	}
	killed := startNode(t, agentConfig)
	eventually(t, "all quota is granted", func() bool { return allGranted([]*testNode{other, killed}, destinations) })
	if _, err := NewAgent(agentConfig); err == nil {
		t.Fatal("got no error for a second agent on the same state file")
	}
	transport.disconnected.Store(true) // prevents the agent from closing its session
	killed.stop(t)
	transport.disconnected.Store(false)
	restarted := startNode(t, agentConfig)
	eventually(t, "all quota is granted after the restart", func() bool { return allGranted([]*testNode{other, restarted}, destinations) })
	restarted.mu.Lock()
	defer restarted.mu.Unlock()
	if len(restarted.updates) == 0 || !restarted.updates[0].Complete {
		t.Fatalf("got the updates %+v, want a complete one first", restarted.updates)
	}
}

// A node that owns no destination, since it is draining, has unfinished messages from an earlier process. It must get
// quotas to finish them.
func TestUnfinishedMessagesGetQuotaWithoutOwnership(t *testing.T) {
	t.Parallel()
	const destinations = 9
	server, _ := startServer(t, testServerConfig(t, testSpec(4, destinations)))
	nodes := startNodes(t, server, "n1", "n2", "n3")
	eventually(t, "all quota is granted", func() bool { return allGranted(nodes, destinations) })
	if err := server.Drain("n4", true); err != nil {
		t.Fatal(err)
	}
	late := startNodes(t, server, "n4")[0]
	all := append(nodes[:3:3], late)
	watchTotalQuotas(t, fixedNodes(all), destinations)
	late.ReportUnfinished(3, 5)
	eventually(t, "the node has quotas to finish its messages", func() bool { return late.Quota(3) > 0 && late.Quota(5) > 0 })
	if assignment, _ := late.Assignment(3); assignment.Accepting {
		t.Fatal("got an accepting assignment, want one that only finishes messages")
	}
	late.Release(3)
	eventually(t, "destination 3 is released", func() bool { return late.Len() == 1 && totalQuota(nodes, 3) > 0.999 })
	if totalQuota(all, 5) < 0.999 {
		t.Fatal("the quota of destination 5 is not completely granted")
	}
}

func TestLocateReturnsOwnersWithAddresses(t *testing.T) {
	t.Parallel()
	const destinations = 10
	server, _ := startServer(t, testServerConfig(t, testSpec(3, destinations)))
	nodes := startNodes(t, server, "n1", "n2", "n3")
	eventually(t, "all quota is granted", func() bool { return allGranted(nodes, destinations) })
	for i := 1; i <= destinations; i++ {
		owners, err := nodes[0].Locate(t.Context(), placement.DestinationID(i))
		if err != nil || len(owners) != 2 {
			t.Fatalf("destination %d: got %v, %v, want two owners", i, owners, err)
		}
		for _, owner := range owners {
			if owner.Address == "" {
				t.Errorf("destination %d: owner %s has no address", i, owner.Node)
			}
		}
	}
	if owners, err := nodes[0].Locate(t.Context(), 4711); !errors.Is(err, ErrUnknownDestination) || len(owners) != 0 {
		t.Fatalf("unknown destination: got %v, %v, want ErrUnknownDestination", owners, err)
	}
}

// A change to the spec must not make the server send all assignments again. An invalid spec must not be applied.
func TestSpecChangeSendsIncrementalUpdates(t *testing.T) {
	t.Parallel()
	const destinations = 30
	config := testServerConfig(t, testSpec(3, destinations))
	server, _ := startServer(t, config)
	nodes := startNodes(t, server, "n1", "n2", "n3")
	eventually(t, "all quota is granted", func() bool { return allGranted(nodes, destinations) })
	before := make([]int, len(nodes))
	for i, n := range nodes {
		n.mu.Lock()
		before[i] = len(n.updates)
		n.mu.Unlock()
	}
	if err := server.SetSpec(testSpec(3, destinations+1)); err != nil {
		t.Fatal(err)
	}
	eventually(t, "the new destination is granted", func() bool { return totalQuota(nodes, destinations+1) > 0.999 })
	for i, n := range nodes {
		n.mu.Lock()
		for _, update := range n.updates[before[i]:] {
			if update.Complete {
				t.Errorf("%s: got a complete update, want changes only", n.config.Node)
			}
		}
		n.mu.Unlock()
	}
	bad := testSpec(3, 1)
	bad.Destinations[0].Rate = -1
	if err := server.SetSpec(bad); err == nil {
		t.Fatal("got no error for an invalid spec")
	}
	if state := server.State(); state.Destinations != destinations+1 {
		t.Fatalf("got state %+v, want the previous spec", state)
	}
}
