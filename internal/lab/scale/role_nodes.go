package scale

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"path/filepath"
	"sync"
	"time"

	"wingmount/decide/lease"
	"wingmount/decide/placement"
	"wingmount/internal/control"
	"wingmount/policy"
)

// hollowNode has a node's agent and, where the fleet asks for it, its decision module.
type hollowNode struct {
	number int
	config childConfig
	events *eventWriter

	mu     sync.Mutex // of sender
	sender *policy.Sender
	began  time.Time

	agent  *control.Agent
	cancel context.CancelFunc
	done   chan error // the agent's end
}

// runNodes runs hollow nodes until the input ends.
func runNodes(ctx context.Context, config childConfig, commands <-chan command, events *eventWriter) error {
	nodes := map[int]*hollowNode{}
	defer func() {
		for _, n := range nodes {
			n.cancel()
		}
		for _, n := range nodes {
			<-n.done
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

// start starts the node's agent, and its module with an empty list.
func (n *hollowNode) start(ctx context.Context) error {
	n.began = time.Now().Add(-time.Duration(moduleStart))
	if n.config.Fleet.Senders {
		n.sender = policy.New(moduleSettings(1), n.config.Seed+uint64(n.number))
	}
	agent, err := control.NewAgent(control.AgentConfig{Node: placement.NodeID(nodeName(n.number)), Addresses: []string{n.config.Address},
		StateFile: filepath.Join(n.config.StateDir, nodeName(n.number)), Apply: n.apply, LeaseChanged: n.leaseChanged,
		LocateFor: time.Minute, LocateMax: 100, Log: slog.New(slog.DiscardHandler)})
	if err != nil {
		return err
	}
	n.agent = agent
	ctx, n.cancel = context.WithCancel(ctx)
	n.done = make(chan error, 1)
	go func() { n.done <- agent.Run(ctx) }()
	return nil
}

// restart stops the agent in good order and starts another one.
func (n *hollowNode) restart(ctx context.Context) error {
	n.cancel()
	if err := <-n.done; err != nil && !errors.Is(err, context.Canceled) {
		return err
	}
	err := n.start(ctx)
	if err != nil {
		n.done <- err // for who waits for the end of all
	}
	return err
}

// apply takes in an update, hands it to the module, and reports it. A hollow node has nothing accepted: what it
// has to finish it releases at once.
func (n *hollowNode) apply(update lease.Update) {
	e := event{Kind: eventUpdate, Node: n.number, Complete: update.Complete}
	for _, a := range update.Assignments {
		e.IDs = append(e.IDs, a.Destination)
		e.Shares = append(e.Shares, a.Share)
		e.States = append(e.States, stateOf(a))
		if !a.Accepting && !a.Gone {
			n.agent.Released(a.Destination)
		}
	}
	n.list(update)
	n.events.write(e)
}

func stateOf(a lease.Assignment) assignmentState {
	switch {
	case a.Gone:
		return stateGone
	case a.Accepting:
		return stateAccepting
	}
	return stateFinishing
}

// list hands the update to the module as a change of its list.
func (n *hollowNode) list(update lease.Update) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.sender == nil {
		return
	}
	listed := policy.Listed{}
	for _, a := range update.Assignments {
		state := policy.Ready
		if a.Gone {
			state = policy.Gone
		}
		listed.Entries = append(listed.Entries, policy.Entry{Endpoint: policy.EndpointID(a.Destination) + 1, Destination: int(a.Destination),
			State: state, Rate: meanRate * a.Share})
	}
	n.sender.Step(policy.Time(time.Since(n.began)), []policy.Event{listed}, nil)
}

func (n *hollowNode) leaseChanged(inForce bool) {
	if !inForce {
		n.events.write(event{Kind: eventLapsed, Node: n.number})
	}
}
