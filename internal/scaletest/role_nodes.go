package scaletest

import (
	"context"
	"errors"
	"fmt"
	"hash/fnv"
	"log/slog"
	"path/filepath"
	"sync"
	"time"
	"wingmount/decide/lease"
	"wingmount/decide/placement"
	"wingmount/internal/clusterspec"
	"wingmount/internal/control"
	"wingmount/policy"
)

// hollowNode has a node's agent and, where the fleet asks for it, its decision module.
type hollowNode struct {
	number int
	config childConfig
	events *eventWriter

	mu           sync.Mutex // protects sender and destinations
	sender       *policy.Sender
	destinations map[placement.DestinationID]destinationEntry
	began        time.Time

	agent  *control.Agent
	cancel context.CancelFunc
	done   chan error // the result of the agent
}

// destinationEntry is a destination as a hollow node knows it.
type destinationEntry struct {
	endpoints []policy.EndpointID
	limit     float64
}

// runNodes runs hollow nodes until the input ends.
func runNodes(ctx context.Context, config childConfig, commands <-chan command, events *eventWriter) (err error) {
	nodes := map[int]*hollowNode{}
	defer func() {
		for _, n := range nodes {
			n.cancel()
		}
		for _, n := range nodes {
			if endErr := <-n.done; endErr != nil && !errors.Is(endErr, context.Canceled) {
				err = errors.Join(err, fmt.Errorf("%s: %w", nodeName(n.number), endErr))
			}
		}
	}()
	for _, number := range config.Nodes {
		n := &hollowNode{number: number, config: config, events: events}
		if err := n.start(ctx); err != nil {
			return fmt.Errorf("%s: %w", nodeName(number), err)
		}
		nodes[number] = n
	}
	for c := range commands {
		n := nodes[c.Node]
		if c.Op != opRestart || n == nil {
			return fmt.Errorf("command %q of node %d makes no sense", c.Op, c.Node)
		}
		if err := n.restart(ctx); err != nil {
			return fmt.Errorf("%s: %w", nodeName(c.Node), err)
		}
	}
	return nil
}

// start starts the node's agent, and its module with an empty endpoint list.
func (n *hollowNode) start(ctx context.Context) error {
	n.destinations = map[placement.DestinationID]destinationEntry{}
	n.began = time.Now().Add(-moduleStart)
	if n.config.Fleet.Senders {
		n.sender = policy.New(moduleSettings(1), n.config.Seed+uint64(n.number))
	}
	agent, err := control.NewAgent(control.AgentConfig{
		Node: placement.NodeID(nodeName(n.number)), Addresses: n.controlAddresses(),
		StateFile: filepath.Join(n.config.StateDir, nodeName(n.number)), Apply: n.apply, ReceiveConfigs: n.config.Fleet.Endpoints > 0,
		LeaseChanged:  n.leaseChanged,
		OwnerCacheTTL: time.Minute, OwnerCacheSize: 100, Log: slog.New(slog.DiscardHandler),
	})
	if err != nil {
		return err
	}
	n.agent = agent
	ctx, n.cancel = context.WithCancel(ctx)
	n.done = make(chan error, 1)
	go func() { n.done <- agent.Run(ctx) }()
	return nil
}

// controlAddresses returns the addresses that the node's agent polls.
func (n *hollowNode) controlAddresses() []string {
	if len(n.config.Machines) > 0 {
		return homeMachines(n.config.Machines)
	}
	return []string{n.config.Address}
}

// restart stops the agent gracefully and starts another one.
func (n *hollowNode) restart(ctx context.Context) error {
	n.cancel()
	if err := <-n.done; err != nil && !errors.Is(err, context.Canceled) {
		return err
	}
	err := n.start(ctx)
	if err != nil {
		n.done <- err // runNodes waits for it
	}
	return err
}

// apply passes an update to the module and reports it. A hollow node has no messages: it releases at once what it no
// longer accepts messages for.
func (n *hollowNode) apply(update control.Update) {
	e := event{Kind: eventUpdate, Node: n.number, Complete: update.Complete}
	for _, a := range update.Assignments {
		e.IDs = append(e.IDs, a.Destination)
		e.Quotas = append(e.Quotas, a.Quota)
		e.States = append(e.States, stateOf(a))
		if !a.Accepting && !a.Removed {
			n.agent.Release(a.Destination)
		}
	}
	for _, config := range update.Configs {
		e.Configs = append(e.Configs, config.Destination)
		e.Limits = append(e.Limits, config.Limit)
	}
	n.updateModule(update)
	n.events.write(e)
}

func stateOf(a lease.Assignment) assignmentState {
	switch {
	case a.Removed:
		return stateRemoved
	case a.Accepting:
		return stateAccepting
	}
	return stateFinishing
}

// updateModule passes an update to the module as a change of its endpoint list.
func (n *hollowNode) updateModule(update control.Update) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.sender == nil {
		return
	}
	list := policy.EndpointUpdate{}
	for _, a := range update.Assignments {
		list.Entries = append(list.Entries, n.assignmentEntries(a)...)
	}
	for _, config := range update.Configs {
		list.Entries = append(list.Entries, n.configEntries(config)...)
	}
	n.sender.Step(time.Since(n.began), []policy.Event{list}, nil)
}

// assignmentEntries returns the endpoints of a destination whose quota has changed. Without configs it has one.
func (n *hollowNode) assignmentEntries(a lease.Assignment) []policy.Entry {
	if n.config.Fleet.Endpoints == 0 {
		n.destinations[a.Destination] = destinationEntry{endpoints: []policy.EndpointID{policy.EndpointID(a.Destination) + 1}, limit: meanRate}
	}
	return n.entries(a.Destination, a)
}

// configEntries returns the endpoints of a destination whose config has come.
func (n *hollowNode) configEntries(config clusterspec.DestinationConfig) []policy.Entry {
	known := destinationEntry{limit: config.Limit}
	for _, endpoint := range config.Endpoints {
		known.endpoints = append(known.endpoints, policy.EndpointID(hash(config.EndpointID(endpoint))))
	}
	n.destinations[config.Destination] = known
	assigned, _ := n.agent.Assignment(config.Destination)
	return n.entries(config.Destination, assigned)
}

// entries returns the list entries of a destination.
func (n *hollowNode) entries(destination placement.DestinationID, a lease.Assignment) []policy.Entry {
	state := policy.Ready
	if a.Removed {
		state = policy.Removed
	}
	known := n.destinations[destination]
	entries := make([]policy.Entry, 0, len(known.endpoints))
	for _, id := range known.endpoints {
		entries = append(entries, policy.Entry{Endpoint: id, Destination: int(destination), State: state, Rate: known.limit * a.Quota})
	}
	if a.Removed {
		delete(n.destinations, destination)
	}
	return entries
}

// hash returns the identifier of an endpoint by its name.
func hash(s string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(s)) // never fails
	return h.Sum64()
}

func (n *hollowNode) leaseChanged(inForce bool) {
	if !inForce {
		n.events.write(event{Kind: eventLeaseLost, Node: n.number})
	}
}
