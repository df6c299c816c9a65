package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"net/http"
	"net/url"
	"os"
	"slices"
	"time"
	"wingmount/internal/config"
	"wingmount/internal/control"
	"wingmount/internal/printer"
)

// specTimeout is how long the control machines may take to agree on a cluster spec.
const specTimeout = 2 * time.Minute

// The paths of the API of a control machine for operators of a quorum.
const (
	quorumPath = "/v1/quorum/state"
	addPath    = "/v1/quorum/add"
	removePath = "/v1/quorum/remove"
	specPath   = "/v1/quorum/world"
)

// quorumArgs are the arguments of 'wingmount quorum'.
type quorumArgs struct {
	Config  string `name:"config" placeholder:"FILE" help:"The file of a control machine, see deploy/quorum.toml."`
	Control string `name:"control" placeholder:"HOST:PORT" help:"A control machine, where no file is at hand."`

	Show struct {
		JSON bool `name:"json" help:"As one JSON object."`
	} `cmd:"" name:"show" help:"Show the control machines, who holds each region, and how far this machine has followed."`
	SetSpec struct {
		File string `arg:"" name:"file" help:"The world file, see deploy/world.toml."`
	} `cmd:"" name:"world" help:"Have a world file agreed on: what differs, whole or not at all."`
	Add struct {
		ID      uint64 `arg:"" name:"id" help:"Its id, which no machine had before."`
		Region  string `arg:"" name:"region" help:"Its region."`
		Address string `arg:"" name:"address" help:"HOST:PORT of it."`
	} `cmd:"" name:"add" help:"Add a control machine, which is started without --fresh and without a log."`
	Remove struct {
		ID uint64 `arg:"" name:"id" help:"Its id."`
	} `cmd:"" name:"remove" help:"Take a control machine out that has ended for good."`
}

// quorumCommand runs what follows 'quorum' on the command line.
func quorumCommand(ctx context.Context, args []string, out io.Writer) error {
	var a quorumArgs
	command, err := parseArgs("wingmount quorum", "Looks at the control machines that agree, and changes what they agree on.", &a, args, out)
	if err != nil {
		return ignoreHelp(err)
	}
	address, err := machineAddress(a)
	if err != nil {
		return err
	}
	client := newControlClient(address, specTimeout)
	switch command {
	case "world <file>":
		return client.setSpec(ctx, a.SetSpec.File)
	case "add <id> <region> <address>":
		return client.changeMember(ctx, addPath, url.Values{"member": {fmt.Sprint(a.Add.ID)}, "region": {a.Add.Region}, "address": {a.Add.Address}})
	case "remove <id>":
		return client.changeMember(ctx, removePath, url.Values{"member": {fmt.Sprint(a.Remove.ID)}})
	}
	return client.showQuorum(ctx, a.Show.JSON, out)
}

// machineAddress returns the address of the control machine that the arguments name.
func machineAddress(a quorumArgs) (string, error) {
	if (a.Config == "") == (a.Control == "") {
		return "", errors.New("name a control machine by --config FILE or by --control HOST:PORT")
	}
	if a.Control != "" {
		return a.Control, nil
	}
	c, err := config.LoadControl(a.Config)
	if err != nil {
		return "", err
	}
	if c.Quorum == nil {
		return "", fmt.Errorf("%s has no [quorum]", a.Config)
	}
	return c.Listen, nil
}

// setSpec proposes the cluster spec in a file, which the control machines apply completely or not at all.
func (c *controlClient) setSpec(ctx context.Context, path string) error {
	file, err := os.Open(path)
	if err != nil {
		return fmt.Errorf("reading the world: %w", err)
	}
	defer func() { _ = file.Close() }()
	_, err = c.do(ctx, http.MethodPost, specPath, url.Values{"whole": {"true"}}, file)
	return err
}

// changeMember adds or removes a control machine.
func (c *controlClient) changeMember(ctx context.Context, path string, query url.Values) error {
	_, err := c.do(ctx, http.MethodPost, path, query, nil)
	return err
}

// showQuorum prints what a machine knows of the quorum, as a table or as JSON.
func (c *controlClient) showQuorum(ctx context.Context, asJSON bool, out io.Writer) error {
	text, err := c.do(ctx, http.MethodGet, quorumPath, nil, nil)
	if err != nil {
		return err
	}
	var state control.QuorumState
	if asJSON {
		return printJSON(text, &state, out)
	}
	if err := json.Unmarshal(text, &state); err != nil {
		return fmt.Errorf("reading the answer of the control machine: %w", err)
	}
	return printQuorum(state, out)
}

// printQuorum prints a table of the machines and one of the regions.
func printQuorum(state control.QuorumState, out io.Writer) error {
	p := printer.NewTable(out, 2, 0)
	consensus := state.Consensus
	p.Printf("machine %d of region %s: leader %d, term %d, %d of %d entries followed, world version %d with %d nodes and %d destinations\n",
		consensus.ID, state.Region, consensus.Leader, consensus.Term, consensus.Applied, consensus.Commit, state.SpecVersion, state.Nodes, state.Destinations)
	if !state.Joined {
		p.Println("the others do not know of this process yet: it holds no region, and consents to nothing")
	}
	if consensus.Stopped != "" {
		p.Printf("it takes no part any more: %s\n", consensus.Stopped)
	}
	p.Println("\nmachine\tregion\taddress\tholds")
	for _, m := range state.Members {
		leads := "" // the region that this machine leads
		if state.Regions[m.Region].Leader == m.ID {
			leads = m.Region
		}
		p.Printf("%d\t%s\t%s\t%s\n", m.ID, m.Region, m.Address, leads)
	}
	p.Println("\nregion\tholder\tincarnation\trenewals")
	for _, region := range slices.Sorted(maps.Keys(state.Regions)) {
		term := state.Regions[region]
		p.Printf("%s\t%d\t%d\t%d\n", region, term.Leader, term.Incarnation, term.Renewals)
	}
	return p.Err()
}
