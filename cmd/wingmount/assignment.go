package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"net/url"
	"os"
	"time"
	"wingmount/decide/lease"
	"wingmount/internal/config"
	"wingmount/internal/control"
	"wingmount/internal/printer"
)

// controlTimeout is how long a control process may take for a request of an operator.
const controlTimeout = 5 * time.Second

// The paths of the API of a control process for operators.
const (
	statePath   = "/v1/assignment/state"
	drainPath   = "/v1/assignment/drain"
	explainPath = "/v1/assignment/explain"
)

// controlArgs are the arguments of 'wingmount control'.
type controlArgs struct {
	Config           string `name:"config" required:"" placeholder:"FILE" help:"The file of this control process, see deploy/assignment.toml."`
	NoEarlierLeases  bool   `name:"fresh" help:"No control process has granted anything to these nodes before: grant at once."`
	AboveIncarnation uint32 `name:"above" placeholder:"N" help:"Begin above this incarnation, where the state was lost or restored from a backup, and no other control process runs."`
}

// controlCommand runs a control process until the context ends.
func controlCommand(ctx context.Context, args []string, reload <-chan os.Signal, out io.Writer, log *slog.Logger) error {
	var a controlArgs
	if _, err := parseArgs("wingmount control", "Assigns destinations to nodes, see docs/operate/assignment.md.", &a, args, out); err != nil {
		return ignoreHelp(err)
	}
	c, err := config.LoadControl(a.Config)
	if err != nil {
		return err
	}
	settings := control.ServerConfig{
		Listen: c.Listen, SpecFile: c.SpecFile, StateDir: c.State, NoEarlierLeases: a.NoEarlierLeases,
		AboveIncarnation: lease.Incarnation(a.AboveIncarnation), Lease: time.Duration(c.Lease), MaxDrift: c.MaxDrift, Slack: time.Duration(c.Slack),
		Window: time.Duration(c.Window), InitialWait: time.Duration(c.Gather),
		MaxSessions: c.MaxSessions, LoadBound: c.LoadBound, Debounce: time.Duration(c.Debounce),
		RestartGrace: time.Duration(c.RestartGrace), ReloadOn: reload, Log: log,
	}
	if c.Quorum != nil {
		return runMember(ctx, c, a, settings, log)
	}
	server, err := control.NewServer(settings)
	if err != nil {
		return err
	}
	log.Info("control: ready", "listen", server.Addr())
	return server.Run(ctx)
}

// runMember runs a control process that is one of a quorum until the context ends.
func runMember(ctx context.Context, c *config.Control, a controlArgs, settings control.ServerConfig, log *slog.Logger) error {
	if a.AboveIncarnation > 0 {
		return errors.New("with [quorum] the incarnation to begin above is quorum.above, the same in each file")
	}
	member, err := control.NewMember(c.MemberConfig(settings))
	if err != nil {
		return err
	}
	log.Info("control: ready", "listen", member.Addr(), "quorum", c.Quorum.ID, "region", c.Quorum.Region)
	return member.Run(ctx)
}

// assignmentArgs are the arguments of 'wingmount assignment'.
type assignmentArgs struct {
	Config  string `name:"config" placeholder:"FILE" help:"The file of the control process, or of a node with [assignment]."`
	Control string `name:"control" placeholder:"HOST:PORT" help:"The control process, where no file is at hand."`

	Show struct {
		JSON bool `name:"json" help:"As one JSON object."`
	} `cmd:"" name:"show" help:"Show the nodes, their leases and their parts."`
	Drain struct {
		Node string `arg:"" name:"node" help:"The name of the node."`
		Undo bool   `name:"undo" help:"Let the node back."`
	} `cmd:"" name:"drain" help:"Take a node out of all owner sets: it finishes what it has accepted."`
	Explain struct {
		Destination string `arg:"" name:"destination" help:"The number of the destination, or its name."`
	} `cmd:"" name:"explain" help:"Say why a destination has its owners, and what they hold, as JSON."`
}

// assignmentCommand runs what follows 'assignment' on the command line.
func assignmentCommand(ctx context.Context, args []string, out io.Writer) error {
	var a assignmentArgs
	command, err := parseArgs("wingmount assignment", "Looks at the assignment of destinations to nodes, and drains nodes.", &a, args, out)
	if err != nil {
		return ignoreHelp(err)
	}
	address, err := controlAddress(a)
	if err != nil {
		return err
	}
	client := newControlClient(address, controlTimeout)
	switch command {
	case "drain <node>":
		return client.drain(ctx, a.Drain.Node, !a.Drain.Undo)
	case "explain <destination>":
		return client.explain(ctx, a.Explain.Destination, out)
	}
	return client.show(ctx, a.Show.JSON, out)
}

// controlAddress returns the address of the control process that the arguments name.
func controlAddress(a assignmentArgs) (string, error) {
	if (a.Config == "") == (a.Control == "") {
		return "", errors.New("name the control process by --config FILE or by --control HOST:PORT")
	}
	if a.Control != "" {
		return a.Control, nil
	}
	c, err := config.LoadControl(a.Config)
	if err == nil {
		return c.Listen, nil
	}
	node, nodeErr := config.Load(a.Config)
	if nodeErr != nil {
		return "", fmt.Errorf("it is neither of a control process nor of a node: %w", errors.Join(err, nodeErr))
	}
	if node.Assignment == nil {
		return "", fmt.Errorf("%s has no [assignment]", a.Config)
	}
	return node.Assignment.Control[0], nil
}

// drain takes a node out of all owner sets, or puts it back.
func (c *controlClient) drain(ctx context.Context, node string, draining bool) error {
	_, err := c.do(ctx, http.MethodPost, drainPath, url.Values{"node": {node}, "draining": {fmt.Sprint(draining)}}, nil)
	return err
}

// explain prints as JSON why a destination has its owners.
func (c *controlClient) explain(ctx context.Context, destination string, out io.Writer) error {
	text, err := c.do(ctx, http.MethodGet, explainPath, url.Values{"destination": {destination}}, nil)
	if err != nil {
		return err
	}
	return printJSON(text, &control.Explanation{}, out)
}

// show prints the state of the control process as a table or as JSON.
func (c *controlClient) show(ctx context.Context, asJSON bool, out io.Writer) error {
	text, err := c.do(ctx, http.MethodGet, statePath, nil, nil)
	if err != nil {
		return err
	}
	var state control.State
	if asJSON {
		return printJSON(text, &state, out)
	}
	if err := json.Unmarshal(text, &state); err != nil {
		return fmt.Errorf("reading the answer of the control process: %w", err)
	}
	return printAssignment(state, out)
}

// printAssignment prints a table of the nodes, a line for each session of a node.
func printAssignment(state control.State, out io.Writer) error {
	p := printer.NewTable(out, 2, 0)
	p.Printf("incarnation %d, leases of %.1f s, %d destinations, %d without an owner\n", state.Incarnation, state.LeaseSeconds,
		state.Destinations, state.Unplaced)
	if state.SupersededBy > 0 {
		p.Printf("incarnation %d is known: this one answers no node any more\n", state.SupersededBy)
	}
	if state.GraceSeconds > 0 {
		p.Printf("for %.1f s more only what nodes claim is granted: leases of earlier incarnations may be in force\n", state.GraceSeconds)
	}
	p.Println("\nnode\tregion\tzone\taddress\tload\tstate\tdestinations\tversion\tapplied\tlease ends in")
	for _, node := range state.Nodes {
		nodeState := "alive"
		if node.Draining {
			nodeState = "draining"
		}
		if len(node.Sessions) == 0 {
			p.Printf("%s\t%s\t%s\t%s\t%.1f\tno lease\n", node.Node, node.Region, node.Zone, node.Address, node.Load)
		}
		for _, session := range node.Sessions {
			sessionState := nodeState
			if !session.Active {
				sessionState = "earlier process"
			}
			p.Printf("%s\t%s\t%s\t%s\t%.1f\t%s\t%d\t%d\t%d\t%.1f s\n", node.Node, node.Region, node.Zone, node.Address, node.Load,
				sessionState, session.Assignments, session.Version, session.AppliedVersion, session.ExpiresSeconds)
		}
	}
	return p.Err()
}
