package control

import (
	"context"
	"log/slog"
	"time"

	"wingmount/decide/lease"
	"wingmount/decide/placement"
)

// AgentConfig are the settings of a node's agent.
type AgentConfig struct {
	Node      placement.NodeID
	Addresses []string // host:port of control processes, tried in turn
	// StateFile keeps the highest incarnation heard and the session, and is locked while the process lives: a
	// restarted node's old shares are free at once. Empty keeps nothing.
	StateFile string
	// Apply puts changed assignments in force. Calls come one at a time and in order; when Apply returns, the node
	// keeps to them, and the agent confirms them.
	Apply func(lease.Update)
	// LeaseChanged tells that the lease began, or that it has ended; InForce says so without delay.
	LeaseChanged func(inForce bool)
	LocateFor    time.Duration // how long answers of Locate are kept
	LocateMax    int           // how many of them at most
	Log          *slog.Logger
}

// Owner is an owner of a destination and its address.
type Owner struct {
	Node    placement.NodeID `json:"node"`
	Address string           `json:"address"`
}

// Agent keeps a node's lease and its part.
type Agent struct{}

// NewAgent returns an agent without a lease. Run takes part.
func NewAgent(config AgentConfig) (*Agent, error) { return &Agent{}, nil }

// Run takes part until the context ends, and then gives the lease back. Apply is not called after it.
func (a *Agent) Run(ctx context.Context) error { return nil }

// InForce tells whether the lease is in force by the node's own clock. It is cheap: look before each call's first byte.
func (a *Agent) InForce() bool { return false }

// Assignment is what is assigned of a destination, in force or not.
func (a *Agent) Assignment(destination placement.DestinationID) (lease.Assignment, bool) {
	return lease.Assignment{}, false
}

// Unfinished says that the node has accepted messages for these destinations, as at its start.
func (a *Agent) Unfinished(destinations ...placement.DestinationID) {}

// Released says that the node has nothing unfinished for a destination that it no longer accepts for.
func (a *Agent) Released(destination placement.DestinationID) bool { return false }

// Locate returns the owners of a destination, of late.
func (a *Agent) Locate(ctx context.Context, destination placement.DestinationID) ([]Owner, error) {
	return nil, nil
}
