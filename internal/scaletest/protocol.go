package scaletest

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"time"
	"wingmount/decide/placement"
)

// The roles of a child process.
const (
	RoleControl = "control" // the control process
	RoleNodes   = "nodes"   // hollow nodes, those of one zone
)

// childConfig is the first line that a child process reads.
type childConfig struct {
	Fleet    Fleet    `json:"fleet"`
	Seed     uint64   `json:"seed"`
	StateDir string   `json:"state_dir"`
	Address  string   `json:"address"`         // of the control process
	Machine  int      `json:"machine"`         // the number of a control machine, from 1; 0 for a single control process
	Machines []string `json:"machines"`        // addresses of the control machines
	Nodes    []int    `json:"nodes,omitempty"` // the hollow nodes of this process
	LeaseMS  int64    `json:"lease_ms"`
	Replay   []change `json:"replay,omitempty"` // changes made before, for a control process that starts again
}

// lease returns the duration of a node's lease.
func (c childConfig) lease() time.Duration { return time.Duration(c.LeaseMS) * time.Millisecond }

// The operations of a command.
const (
	opChange  = "change"  // to the control process
	opSpec    = "spec"    // to a control machine: have the quorum agree on the first spec
	opRestart = "restart" // to the process of a node
)

// command is one line that a child process reads.
type command struct {
	Op      string   `json:"op"`
	Changes []change `json:"changes,omitempty"`
	Node    int      `json:"node,omitempty"`
}

// errUnknownOperation is the error of a command that a role does not have.
var errUnknownOperation = errors.New("the process has no such operation")

func unknownOperation(op string) error { return fmt.Errorf("%w: %q", errUnknownOperation, op) }

// change is one change of configuration: a destination that is new, or has another number of owners or another limit.
// What is 0 stays as it was.
type change struct {
	Destination int     `json:"destination"`
	Owners      int     `json:"owners,omitempty"`
	Limit       float64 `json:"limit,omitempty"`
}

// The kinds of event that child processes report.
const (
	eventReady     = "ready"      // the control process listens
	eventChanged   = "changed"    // the control process has applied a command
	eventLeading   = "leading"    // the control machine leads the region
	eventUpdate    = "update"     // a node has applied an update
	eventLeaseLost = "lease_lost" // a node's lease is no longer in force
	eventFailed    = "failed"     // the child process ends with an error
)

// event is one line that a child process writes. The assignments of an update are in columns.
type event struct {
	Kind     string                    `json:"kind"`
	At       int64                     `json:"at"` // nanoseconds since 1970
	Address  string                    `json:"address,omitempty"`
	TookMS   float64                   `json:"took_ms,omitempty"`
	Node     int                       `json:"node,omitempty"`
	Complete bool                      `json:"complete,omitempty"`
	IDs      []placement.DestinationID `json:"ids,omitempty"`
	Quotas   []float64                 `json:"quotas,omitempty"`
	States   []assignmentState         `json:"states,omitempty"`
	// Configs are the destinations whose configs came, and Limits the limits in them.
	Configs []placement.DestinationID `json:"configs,omitempty"`
	Limits  []float64                 `json:"limits,omitempty"`
	Error   string                    `json:"error,omitempty"`

	from *child // set by the reader
}

// assignmentState is what a node may do with a destination.
type assignmentState int

const (
	stateFinishing assignmentState = iota // no new messages
	stateAccepting
	stateRemoved
)

// RunRole runs a child process: it reads its configuration and commands from in, one JSON object a line, and writes
// events to out. It returns when in ends.
func RunRole(ctx context.Context, role string, in io.Reader, out io.Writer) error {
	decoder := json.NewDecoder(in)
	events := newEventWriter(out)
	var config childConfig
	if err := decoder.Decode(&config); err != nil {
		err = fmt.Errorf("reading the configuration: %w", err)
		events.write(event{Kind: eventFailed, Error: err.Error()})
		return err
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	commands := make(chan command)
	go func() {
		defer cancel()
		defer close(commands)
		readCommands(ctx, decoder, commands)
	}()
	err := dispatch(ctx, role, config, commands, events)
	if err != nil && ctx.Err() == nil {
		events.write(event{Kind: eventFailed, Error: err.Error()})
	}
	return err
}

// dispatch runs the process of a role.
func dispatch(ctx context.Context, role string, config childConfig, commands <-chan command, events *eventWriter) error {
	switch {
	case role == RoleControl && config.Machine > 0:
		return runMember(ctx, config, commands, events)
	case role == RoleControl:
		return runControl(ctx, config, commands, events)
	case role == RoleNodes:
		return runNodes(ctx, config, commands, events)
	}
	return fmt.Errorf("%q is no role", role)
}

// readCommands forwards commands until the input ends or can't be read.
func readCommands(ctx context.Context, decoder *json.Decoder, commands chan<- command) {
	for {
		var c command
		if err := decoder.Decode(&c); err != nil {
			return
		}
		select {
		case commands <- c:
		case <-ctx.Done():
			return
		}
	}
}
