package control

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"
	"wingmount/decide/leadership"
	"wingmount/decide/placement"
	"wingmount/internal/clusterspec"
	"wingmount/internal/loopback"
	"wingmount/internal/testkit"
)

// Durations for quorum tests.
const (
	quorumLease       = 8 * time.Second
	quorumLeaderLease = 1500 * time.Millisecond
	quorumTick        = 10 * time.Millisecond
)

// Partitions of a partitionedNetwork. A host in isolatedPartition reaches only other hosts there.
const (
	mainPartition = iota
	otherPartition
	isolatedPartition
)

// partitionedNetwork is a transport that fails requests between hosts in different partitions. Hosts are members and
// nodes, identified by name.
type partitionedNetwork struct {
	mu         sync.Mutex
	partitions map[string]int    // partition of each host; mainPartition if absent
	names      map[string]string // names of hosts, by address
	*http.Transport
}

func newPartitionedNetwork(t *testing.T) *partitionedNetwork {
	t.Helper()
	n := &partitionedNetwork{partitions: map[string]int{}, names: map[string]string{}, Transport: &http.Transport{}}
	t.Cleanup(n.CloseIdleConnections)
	return n
}

// setPartition moves hosts to a partition. All hosts start in mainPartition.
func (n *partitionedNetwork) setPartition(partition int, names ...string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, name := range names {
		n.partitions[name] = partition
	}
}

// setName sets the name of the host that listens at an address.
func (n *partitionedNetwork) setName(address, name string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.names[address] = name
}

// connected reports whether a host is in the same partition as the host that listens at an address.
func (n *partitionedNetwork) connected(from, address string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.partitions[from] == n.partitions[n.names[address]]
}

// partitionTransport is the transport of one host in a partitionedNetwork.
type partitionTransport struct {
	*partitionedNetwork
	name string
}

// RoundTrip implements [http.RoundTripper].
func (p partitionTransport) RoundTrip(request *http.Request) (*http.Response, error) {
	if !p.connected(p.name, request.URL.Host) {
		return nil, errDisconnected
	}
	response, err := p.Transport.RoundTrip(request)
	if err == nil && !p.connected(p.name, request.URL.Host) { // partitioned during the request
		_ = response.Body.Close()
		return nil, errDisconnected
	}
	return response, err
}

// testMember is a running member.
type testMember struct {
	*Member
	*running
	name string
}

// testQuorum is a quorum with members in one or more regions.
type testQuorum struct {
	t       *testing.T
	ports   loopback.Ports
	network *partitionedNetwork
	dir     string
	initial []QuorumMember
	regions map[string][]string // addresses of members, by region
	members map[string]*testMember
	spec    *clusterspec.Spec
}

// newTestQuorum starts one member for each element of regions, which may contain a region several times.
func newTestQuorum(t *testing.T, spec *clusterspec.Spec, regions ...string) *testQuorum {
	t.Helper()
	q := &testQuorum{t: t, network: newPartitionedNetwork(t), dir: t.TempDir(), regions: map[string][]string{}, members: map[string]*testMember{}, spec: spec}
	t.Cleanup(func() { testkit.Must(t, q.ports.Close()) })
	for i, region := range regions {
		address := q.freeAddress()
		q.initial = append(q.initial, QuorumMember{ID: leadership.MemberID(i + 1), Region: region, Address: address})
		q.regions[region] = append(q.regions[region], address)
		q.network.setName(address, memberName(i+1))
	}
	for i := range q.initial {
		q.startInitialMember(i + 1)
	}
	return q
}

func memberName(id int) string { return fmt.Sprint("member-", id) }

// freeAddress reserves a local address until the end of the test.
func (q *testQuorum) freeAddress() string {
	q.t.Helper()
	address, err := q.ports.Next()
	testkit.Must(q.t, err)
	return address
}

// startInitialMember starts or restarts one of the initial members.
func (q *testQuorum) startInitialMember(id int) {
	q.t.Helper()
	q.startMember(id, q.initial[id-1], true)
}

func (q *testQuorum) startMember(id int, member QuorumMember, noEarlierLeases bool) *testMember {
	q.t.Helper()
	config := MemberConfig{
		ID: member.ID, Region: member.Region, InitialMembers: q.initial, Tick: quorumTick, transport: partitionTransport{q.network, memberName(id)},
		Leadership: leadership.Config{LeaderLease: quorumLeaderLease, MaxDrift: 0.01, Slack: 10 * time.Millisecond},
	}
	config.ServerConfig = ServerConfig{
		Listen: member.Address, StateDir: filepath.Join(q.dir, memberName(id)), NoEarlierLeases: noEarlierLeases, Lease: quorumLease,
		Slack: time.Millisecond, Window: testWindow, Debounce: testDebounce, InitialWait: 10 * testDebounce, RestartGrace: testDebounce,
	}
	m, err := NewMember(config)
	if err != nil {
		q.t.Fatal(err)
	}
	started := &testMember{Member: m, name: memberName(id)}
	started.running = run(q.t, m.Run)
	q.members[started.name] = started
	return started
}

// kill isolates a member before it stops it, so that its resignation does not reach the others.
func (q *testQuorum) kill(m *testMember) {
	q.t.Helper()
	q.network.setPartition(isolatedPartition, m.name)
	m.stop(q.t)
	delete(q.members, m.name)
	q.network.setPartition(mainPartition, m.name)
}

// leader waits until a member leads a region and returns it. It ignores the members in except.
func (q *testQuorum) leader(region string, except ...*testMember) *testMember {
	q.t.Helper()
	var found *testMember
	eventually(q.t, "a member leads "+region, func() bool {
		for _, m := range q.members {
			if m.config.Region != region || containsMember(except, m) {
				continue
			}
			if m.State().Leading {
				found = m
				return true
			}
		}
		return false
	})
	return found
}

func containsMember(all []*testMember, m *testMember) bool {
	for _, other := range all {
		if other == m {
			return true
		}
	}
	return false
}

// proposeSpec proposes q.spec by one of the members until it is committed.
func (q *testQuorum) proposeSpec() {
	q.t.Helper()
	eventually(q.t, "the spec is committed", func() bool {
		for _, m := range q.members {
			return m.SetSpec(q.t.Context(), q.spec) == nil
		}
		return false
	})
}

// nodes starts agents that use the addresses of a region's members.
func (q *testQuorum) nodes(region string, names ...placement.NodeID) []*testNode {
	q.t.Helper()
	var nodes []*testNode
	for _, name := range names {
		nodes = append(nodes, startNode(q.t, AgentConfig{
			Node: name, Addresses: q.regions[region], ReceiveConfigs: true,
			Transport: partitionTransport{q.network, string(name)},
		}))
	}
	return nodes
}

// haveLeases reports whether each node has a valid lease of quorumLease that was requested after an instant. allGranted
// does not show that, since the first nodes to connect may be granted all quota.
func haveLeases(nodes []*testNode, requestedAfter time.Time) bool {
	for _, n := range nodes {
		minRemaining := max(0, quorumLease-time.Since(requestedAfter)) // read first, so that a delay can't make an older lease pass
		if n.LeaseRemaining() <= minRemaining {
			return false
		}
	}
	return true
}

// leaseStates describes the leases of nodes for a failure message.
func leaseStates(nodes []*testNode) string {
	var text strings.Builder
	for _, n := range nodes {
		n.mu.Lock()
		reported := slices.Clone(n.leased)
		n.mu.Unlock()
		fmt.Fprintf(&text, "\n%s: lease valid %v, remaining %v, reported %v, %d assignments", n.config.Node, n.LeaseValid(), n.LeaseRemaining(), reported, n.Len())
	}
	return text.String()
}

// testQuorumSpec returns a spec with one node for each element of regions. Each region assigns all destinations to its
// own nodes.
func testQuorumSpec(destinations int, regions ...string) *clusterspec.Spec {
	spec := testSpecWithConfigs(0, destinations)
	for i, region := range regions {
		spec.Nodes = append(spec.Nodes, clusterspec.Node{
			Name: fmt.Sprintf("n%d", i+1), Region: region, Zone: fmt.Sprintf("z%d", i%3), Weight: 1,
			Address: fmt.Sprintf("127.0.0.1:%d", 9001+i),
		})
	}
	return spec
}

// The leader of a region fails. Another member must take over before any node's lease expires, and the total quota of a
// destination must never exceed 1.
func TestLeaderFailureKeepsNodeLeases(t *testing.T) {
	t.Parallel()
	const destinations = 12
	q := newTestQuorum(t, testQuorumSpec(destinations, "north", "north", "north"), "north", "north", "north")
	q.proposeSpec()
	began := time.Now()
	nodes := q.nodes("north", "n1", "n2", "n3")
	watchTotalQuotas(t, fixedNodes(nodes), destinations)
	eventually(t, "all quota is granted, and each node has its configs and a lease", func() bool {
		return allGranted(nodes, destinations) && haveConfigs(nodes, q.spec) && haveLeases(nodes, began)
	})
	for range 2 {
		killed := q.leader("north")
		id := int(killed.config.ID)
		incarnation := killed.State().Regions["north"].Incarnation
		partitioned := time.Now()
		q.kill(killed)
		successor := q.leader("north", killed)
		elected := time.Now()
		if got := successor.State().Regions["north"].Incarnation; got != incarnation+1 {
			t.Errorf("got incarnation %d after %d, want the next one", got, incarnation)
		}
		for range 100 {
			for _, n := range nodes {
				if !n.LeaseValid() {
					t.Fatalf("%v after the leader was isolated, %v after its successor was elected: lease of %s expired%s",
						time.Since(partitioned), time.Since(elected), n.config.Node, leaseStates(nodes))
				}
			}
			time.Sleep(20 * time.Millisecond)
		}
		eventually(t, "the nodes renew with the successor", func() bool {
			return successor.serving.Load().server.sessions() == 3 && haveLeases(nodes, elected)
		})
		q.startInitialMember(id)
	}
	for _, n := range nodes {
		n.mu.Lock()
		if !slices.Equal(n.leased, []bool{true}) {
			t.Errorf("%s: got lease changes %v, want [true]", n.config.Node, n.leased)
		}
		n.mu.Unlock()
	}
	if !allGranted(nodes, destinations) {
		t.Error("not all quota is granted")
	}
}

// A leader that stops resigns, so that another member can lead without waiting for the leader lease to expire.
func TestStoppedLeaderIsReplacedWithinItsLease(t *testing.T) {
	t.Parallel()
	q := newTestQuorum(t, testQuorumSpec(4, "north"), "north", "north", "north")
	q.proposeSpec()
	first := q.leader("north")
	began := time.Now()
	first.stop(t)
	delete(q.members, first.name)
	q.leader("north")
	if took := time.Since(began); took > quorumLeaderLease {
		t.Errorf("the region had a new leader after %v, want less than the leader lease", took)
	}
}

// A partition separates the members of one region from the quorum. The region keeps its leader for longer than the
// leader lease and its nodes' leases, since its members vote for the leader. Changes are committed in the other
// partition only. The region applies them once the partition has healed.
func TestRegionWithoutQuorumKeepsLeader(t *testing.T) {
	t.Parallel()
	const destinations = 8
	q := newTestQuorum(t, testQuorumSpec(destinations, "north", "north", "south", "south"), "north", "north", "south", "south", "west")
	q.proposeSpec()
	began := time.Now()
	north, south := q.nodes("north", "n1", "n2"), q.nodes("south", "n3", "n4")
	watchTotalQuotas(t, fixedNodes(north), destinations)
	watchTotalQuotas(t, fixedNodes(south), destinations)
	eventually(t, "all quota is granted, and each node has a lease", func() bool {
		return allGranted(north, destinations) && allGranted(south, destinations) &&
			haveLeases(north, began) && haveLeases(south, began)
	})
	leading := q.leader("north")
	q.network.setPartition(otherPartition, "member-1", "member-2", "n1", "n2")
	partitioned := time.Now()
	ctx, cancel := context.WithTimeout(t.Context(), time.Second)
	defer cancel()
	changed := cloneSpec(q.spec)
	changed.Destinations[0].Limit = 3
	if err := leading.SetSpec(ctx, changed); !errors.Is(err, ErrNoQuorum) {
		t.Errorf("change without the quorum: got %v, want ErrNoQuorum", err)
	}
	changed.Destinations[0].Limit = 7
	eventually(t, "a change in the other partition is committed", func() bool {
		return q.leader("south").SetSpec(t.Context(), changed) == nil
	})
	eventually(t, "nodes in south have the changed config", func() bool { return haveConfigs(south, changed) })
	for time.Since(partitioned) < quorumLease+2*quorumLeaderLease {
		for _, n := range append(north[:2:2], south...) {
			if !n.LeaseValid() {
				t.Fatalf("%v after the partition: lease of %s expired%s", time.Since(partitioned), n.config.Node, leaseStates(append(north[:2:2], south...)))
			}
		}
		time.Sleep(20 * time.Millisecond)
	}
	if !allGranted(north, destinations) || haveConfigs(north, changed) {
		t.Error("the region without the quorum lost quota or received the change")
	}
	q.network.setPartition(mainPartition, "member-1", "member-2", "n1", "n2")
	eventually(t, "nodes in north have the changed config", func() bool { return haveConfigs(north, changed) })
	if !leading.State().Leading {
		t.Error("the region has another leader after the partition")
	}
}

// A partition separates a leader from the other members but not from all nodes. It must stop issuing leases before its
// successor starts, so that two members never grant at once.
func TestPartitionedLeaderStopsBeforeSuccessor(t *testing.T) {
	t.Parallel()
	const destinations = 10
	q := newTestQuorum(t, testQuorumSpec(destinations, "north", "north"), "north", "north", "north")
	q.proposeSpec()
	nodes := q.nodes("north", "n1", "n2")
	watchTotalQuotas(t, fixedNodes(nodes), destinations)
	eventually(t, "all quota is granted", func() bool { return allGranted(nodes, destinations) })
	old := q.leader("north")
	// Node n1 reaches only the old leader, n2 only the other members.
	q.network.setPartition(otherPartition, old.name, "n1")
	successor := q.leader("north", old)
	if old.State().Leading {
		t.Fatal("the old leader still leads the region")
	}
	eventually(t, "the successor has granted all quota to the node that it reaches", func() bool { return allGranted(nodes[1:], destinations) })
	if nodes[0].LeaseValid() {
		t.Error("the node that reaches only the old leader still has a valid lease")
	}
	q.network.setPartition(mainPartition, old.name, "n1")
	eventually(t, "both nodes have sessions and all quota from the successor", func() bool {
		return successor.serving.Load().server.sessions() == 2 && allGranted(nodes, destinations)
	})
}

// A member fails permanently. It is removed and replaced by a member that starts without a log. The new member becomes a
// voter and can lead the region.
func TestLostMemberIsReplaced(t *testing.T) {
	t.Parallel()
	q := newTestQuorum(t, testQuorumSpec(4, "north"), "north", "north", "north")
	q.proposeSpec()
	lost := q.leader("north")
	q.kill(lost)
	remaining := q.leader("north")
	lostID := lost.config.ID
	for _, m := range q.members {
		if m != remaining {
			q.kill(m) // another member is down temporarily, so the remaining one is no majority
			break
		}
	}
	address := q.freeAddress()
	q.network.setName(address, memberName(9))
	added := QuorumMember{ID: 9, Region: "north", Address: address}
	if status := q.post(remaining, pathDrain+"?node=n1&draining=true"); status != http.StatusServiceUnavailable {
		t.Errorf("drain without a majority: got status %d, want 503", status)
	}
	for i := range q.initial {
		if name := memberName(i + 1); q.members[name] == nil && q.initial[i].ID != lostID {
			q.startInitialMember(i + 1)
		}
	}
	for path, want := range map[string]int{
		fmt.Sprint(pathRemove, "?member=", lostID): http.StatusNoContent, pathRemove + "?member=77": http.StatusConflict,
		pathAdd + "?member=0": http.StatusBadRequest,
	} {
		if status := q.post(remaining, path); status != want {
			t.Errorf("%s: got status %d, want %d", path, status, want)
		}
	}
	if status := q.post(remaining, fmt.Sprintf("%s?member=9&region=north&address=%s", pathAdd, address)); status != http.StatusNoContent {
		t.Fatalf("adding a member: got status %d, want 204", status)
	}
	joined := q.startMember(9, added, false)
	eventually(t, "the new member has the spec and is a voter", func() bool {
		state := joined.State()
		return state.Destinations == 4 && len(state.Members) == 3 && !state.Consensus.Learner && state.Consensus.Leader != 0
	})
	for _, m := range q.members {
		if m != joined && m != remaining {
			remaining = m // keep it for a majority of two
		}
	}
	for _, m := range q.members {
		if m != joined && m != remaining {
			m.stop(t) // resigns if it leads
			delete(q.members, m.name)
		}
	}
	if leading := q.leader("north"); leading != joined && leading != remaining {
		t.Errorf("got leader %s, want the new or the remaining member", leading.name)
	}
}

// post sends an operator's request to a member and returns the HTTP status.
func (q *testQuorum) post(m *testMember, path string) int {
	q.t.Helper()
	request, err := http.NewRequestWithContext(q.t.Context(), http.MethodPost, "http://"+m.config.Listen+path, nil)
	if err != nil {
		q.t.Fatal(err)
	}
	response, err := q.network.RoundTrip(request)
	if err != nil {
		q.t.Fatal(err)
	}
	_ = response.Body.Close()
	return response.StatusCode
}

// A member that does not lead commits a drain, and the drain is still in place after a change of leader.
func TestDrainOutlastsLeader(t *testing.T) {
	t.Parallel()
	const destinations = 6
	q := newTestQuorum(t, testQuorumSpec(destinations, "north", "north", "north"), "north", "north", "north")
	q.proposeSpec()
	nodes := q.nodes("north", "n1", "n2", "n3")
	eventually(t, "all quota is granted", func() bool { return allGranted(nodes, destinations) })
	leading := q.leader("north")
	for _, m := range q.members {
		if m != leading {
			if err := m.Drain(t.Context(), "n1", true); err != nil {
				t.Fatal(err)
			}
			if err := m.Drain(t.Context(), "nobody", true); err == nil {
				t.Error("got no error for an unknown node")
			}
			break
		}
	}
	eventually(t, "the draining node accepts messages for no destination", func() bool { return acceptingCount(nodes[0], destinations) == 0 })
	leading.stop(t)
	delete(q.members, leading.name)
	successor := q.leader("north")
	if got := successor.State().Draining; len(got) != 1 || got[0] != "n1" {
		t.Errorf("successor: got draining nodes %v, want n1", got)
	}
}
