package control

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net/http"
	"slices"
	"sync/atomic"
	"testing"
	"time"
	"wingmount/decide/lease"
	"wingmount/decide/placement"
	"wingmount/internal/clusterspec"
)

// testConfig returns the config of a destination with two endpoints.
func testConfig(destination placement.DestinationID) clusterspec.DestinationConfig {
	config := clusterspec.DestinationConfig{Destination: destination, Limit: 20, Bundle: 1}
	for i := range 2 {
		config.Endpoints = append(config.Endpoints, clusterspec.Endpoint{
			Name:    fmt.Sprintf("e-%d-%d", destination, i),
			Address: fmt.Sprintf("127.0.0.1:%d", 10_000+i), Zone: fmt.Sprintf("b%d", i),
		})
	}
	return config
}

// testSpecWithConfigs returns a spec like testSpec's with a config for each destination.
func testSpecWithConfigs(nodes, destinations int) *clusterspec.Spec {
	spec := testSpec(nodes, destinations)
	for i := range spec.Destinations {
		d := &spec.Destinations[i]
		config := testConfig(d.Number)
		d.Limit, d.Bundle, d.Endpoints = config.Limit, config.Bundle, config.Endpoints
	}
	return spec
}

// startConfigNodes starts agents that request configs.
func startConfigNodes(t *testing.T, server *Server, names ...placement.NodeID) []*testNode {
	t.Helper()
	var nodes []*testNode
	for _, name := range names {
		nodes = append(nodes, startNode(t, AgentConfig{Node: name, Addresses: []string{server.Addr()}, ReceiveConfigs: true}))
	}
	return nodes
}

// latestConfig returns the latest config that a node received of a destination, and whether the destination is assigned
// to the node.
func (n *testNode) latestConfig(destination placement.DestinationID) (clusterspec.DestinationConfig, bool) {
	_, assigned := n.Assignment(destination)
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.configs[destination], assigned
}

// haveConfigs reports whether each node has the current config of each destination that is assigned to it.
func haveConfigs(nodes []*testNode, spec *clusterspec.Spec) bool {
	for _, n := range nodes {
		for i := range spec.Destinations {
			want := spec.Destinations[i].Config()
			config, assigned := n.latestConfig(want.Destination)
			if assigned && !config.Equal(&want) {
				return false
			}
		}
	}
	return true
}

// cloneSpec returns a copy of a spec that shares no nodes, destinations or endpoints with it.
func cloneSpec(s *clusterspec.Spec) *clusterspec.Spec {
	c := &clusterspec.Spec{Nodes: slices.Clone(s.Nodes), Destinations: slices.Clone(s.Destinations)}
	for i := range c.Destinations {
		c.Destinations[i].Endpoints = slices.Clone(c.Destinations[i].Endpoints)
	}
	return c
}

// Nodes receive the configs of the destinations that they own, and no others. A changed config is sent to its owners
// only, without changed assignments.
func TestChangedConfigReachesOnlyOwners(t *testing.T) {
	t.Parallel()
	const destinations = 20
	spec := testSpecWithConfigs(4, destinations)
	server, _ := startServer(t, testServerConfig(t, spec))
	nodes := startConfigNodes(t, server, "n1", "n2", "n3", "n4")
	eventually(t, "all quota is granted and the nodes have the configs", func() bool { return allGranted(nodes, destinations) && haveConfigs(nodes, spec) })
	for _, n := range nodes {
		n.mu.Lock()
		n.updates = nil
		n.mu.Unlock()
	}
	next := cloneSpec(spec)
	next.Destinations[3].Endpoints[0].Address = "127.0.0.1:9"
	next.Destinations[3].Limit = 7
	if err := server.SetSpec(next); err != nil {
		t.Fatal(err)
	}
	eventually(t, "the owners have the changed config", func() bool { return haveConfigs(nodes, next) })
	for i, n := range nodes {
		owned := false
		if _, assigned := n.Assignment(4); assigned {
			owned = true
		}
		n.mu.Lock()
		received := 0
		for _, update := range n.updates {
			received += len(update.Configs)
			if len(update.Assignments) > 0 {
				t.Errorf("n%d: got changed assignments %+v, want none", i+1, update.Assignments)
			}
		}
		n.mu.Unlock()
		if owned != (received == 1) || received > 1 {
			t.Errorf("n%d: got %d configs, want 1 for an owner of the changed destination and 0 otherwise; owner: %v", i+1, received, owned)
		}
	}
}

// A reply with a changed config is lost on its way to a node. The server sends the config again within 7 s.
func TestLostConfigIsResentWithinSevenSeconds(t *testing.T) {
	t.Parallel()
	spec := testSpecWithConfigs(1, 3)
	server, _ := startServer(t, testServerConfig(t, spec))
	dropping := &droppingTransport{RoundTripper: newTransport(t)}
	node := startNode(t, AgentConfig{Node: "n1", Addresses: []string{server.Addr()}, ReceiveConfigs: true, Transport: dropping})
	nodes := []*testNode{node}
	eventually(t, "the node has all quota and configs", func() bool { return allGranted(nodes, 3) && haveConfigs(nodes, spec) })
	next := cloneSpec(spec)
	next.Destinations[1].Limit = 5
	dropping.drop.Store(true)
	changed := time.Now()
	if err := server.SetSpec(next); err != nil {
		t.Fatal(err)
	}
	eventually(t, "the node has the changed config", func() bool { return haveConfigs(nodes, next) })
	if dropping.dropped.Load() == 0 {
		t.Fatal("no reply was dropped")
	}
	if took := time.Since(changed); took > 7*time.Second {
		t.Errorf("got the config after %v, want 7s at most", took)
	}
}

// droppingTransport drops the next reply with configs after drop is set.
type droppingTransport struct {
	http.RoundTripper
	drop    atomic.Bool
	dropped atomic.Int32
}

func (d *droppingTransport) RoundTrip(request *http.Request) (*http.Response, error) {
	response, err := d.RoundTripper.RoundTrip(request)
	if err != nil {
		return response, err
	}
	text, err := io.ReadAll(response.Body)
	if err != nil {
		return nil, err
	}
	_ = response.Body.Close()
	if bytes.Contains(text, []byte(`"records"`)) && d.drop.CompareAndSwap(true, false) {
		d.dropped.Add(1)
		return nil, errors.New("reply dropped by the test")
	}
	response.Body = io.NopCloser(bytes.NewReader(text))
	return response, nil
}

// A restarted node gets all its assignments and their configs in the first reply.
func TestRestartedNodeReceivesAllConfigsInOneReply(t *testing.T) {
	t.Parallel()
	const destinations = 12
	spec := testSpecWithConfigs(2, destinations)
	config := testServerConfig(t, spec)
	config.RestartGrace = time.Minute
	server, _ := startServer(t, config)
	nodes := startConfigNodes(t, server, "n1", "n2")
	eventually(t, "all quota is granted and the nodes have the configs", func() bool { return allGranted(nodes, destinations) && haveConfigs(nodes, spec) })
	nodes[0].stop(t)
	restarted := startConfigNodes(t, server, "n1")[0]
	eventually(t, "the restarted node has an update", func() bool {
		restarted.mu.Lock()
		defer restarted.mu.Unlock()
		return len(restarted.updates) > 0
	})
	restarted.mu.Lock()
	first := restarted.updates[0]
	restarted.mu.Unlock()
	if !first.Complete || len(first.Assignments) != destinations || len(first.Configs) != destinations {
		t.Errorf("got %d assignments and %d configs in the first reply, want %d of each", len(first.Assignments), len(first.Configs), destinations)
	}
}

// A poll that requests configs is rejected if the server's spec contains no endpoints. A spec with endpoints can't be
// replaced by a spec without them.
func TestServerRejectsMissingConfigs(t *testing.T) {
	t.Parallel()
	server, _ := startServer(t, testServerConfig(t, testSpec(1, 1)))
	node := startConfigNodes(t, server, "n1")[0]
	_, err := node.client.renew(t.Context(), pollRequest{Request: node.nextLeaseRequest(), Configs: true}, 0)
	var failed *ReplyError
	if !errors.As(err, &failed) || failed.Code != codeNoConfigs {
		t.Errorf("got %v, want an error with code %s", err, codeNoConfigs)
	}
	if node.LeaseValid() {
		t.Error("the node has a lease")
	}
	other, _ := startServer(t, testServerConfig(t, testSpecWithConfigs(1, 1)))
	if err := other.SetSpec(testSpec(1, 1)); !errors.Is(err, ErrConfigsWithdrawn) {
		t.Errorf("got %v for a spec without endpoints, want ErrConfigsWithdrawn", err)
	}
}

// nextLeaseRequest returns the request that the agent would send now.
func (n *testNode) nextLeaseRequest() lease.Request {
	n.Agent.mu.Lock()
	defer n.Agent.mu.Unlock()
	return n.holder.Renew(n.clock.now())
}

// A node receives an invalid config. It keeps the destination's previous config and its lease, and applies the rest of
// the reply.
func TestInvalidConfigKeepsPreviousConfig(t *testing.T) {
	t.Parallel()
	spec := testSpecWithConfigs(1, 2)
	server, _ := startServer(t, testServerConfig(t, spec))
	corrupting := &corruptingTransport{RoundTripper: newTransport(t)}
	node := startNode(t, AgentConfig{Node: "n1", Addresses: []string{server.Addr()}, ReceiveConfigs: true, Transport: corrupting})
	nodes := []*testNode{node}
	eventually(t, "the node has all quota and configs", func() bool { return allGranted(nodes, 2) && haveConfigs(nodes, spec) })
	corrupting.corrupt.Store(true)
	next := cloneSpec(spec)
	next.Destinations[0].Endpoints[0].Address = "127.0.0.1:7001"
	next.Destinations[1].Limit = 3
	if err := server.SetSpec(next); err != nil {
		t.Fatal(err)
	}
	eventually(t, "the node has the valid config", func() bool { r, _ := node.latestConfig(2); return r.Limit == 3 })
	if r, _ := node.latestConfig(1); r.Endpoints[0].Address != spec.Destinations[0].Endpoints[0].Address {
		t.Errorf("got config %+v, want the previous config", r)
	}
	if !node.LeaseValid() {
		t.Error("the node lost its lease")
	}
}

// corruptingTransport replaces an address in replies by an invalid one while corrupt is set.
type corruptingTransport struct {
	http.RoundTripper
	corrupt atomic.Bool
}

func (c *corruptingTransport) RoundTrip(request *http.Request) (*http.Response, error) {
	response, err := c.RoundTripper.RoundTrip(request)
	if err != nil || !c.corrupt.Load() {
		return response, err
	}
	text, err := io.ReadAll(response.Body)
	if err != nil {
		return nil, err
	}
	_ = response.Body.Close()
	text = bytes.ReplaceAll(text, []byte(`"127.0.0.1:7001"`), []byte(`"nowhere"`))
	response.Body = io.NopCloser(bytes.NewReader(text))
	return response, nil
}
