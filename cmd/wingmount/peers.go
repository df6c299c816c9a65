package main

import (
	"errors"
	"flag"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"time"
	"wingmount/internal/config"
	"wingmount/internal/gossip"
	"wingmount/internal/printer"
)

var errPeersUsage = errors.New("usage: wingmount peers key FILE | wingmount peers show --config FILE [--json]")

// maxStatusAge is how old the status file of a running node may be.
const maxStatusAge = 10 * time.Second

// peersCommand runs what follows 'peers' on the command line: it makes a node's key, or prints what a node knows of
// its peers.
func peersCommand(args []string, out io.Writer) error {
	if len(args) == 2 && args[0] == "key" && !strings.HasPrefix(args[1], "-") {
		public, err := config.NewGossipKey(args[1])
		if err != nil {
			return err
		}
		_, err = fmt.Fprintln(out, public)
		return err
	}
	if len(args) == 0 || args[0] != "show" {
		return errPeersUsage
	}
	asJSON := false
	path, err := parseConfigFlag("peers show", args[1:], func(set *flag.FlagSet) { set.BoolVar(&asJSON, "json", false, "as one JSON object") })
	if err != nil {
		return err
	}
	f, err := config.Load(path)
	if err != nil {
		return err
	}
	if f.Gossip.Listen == "" {
		return fmt.Errorf("%s has no [gossip]", path)
	}
	status, err := gossip.ReadStatus(f.Gossip.State)
	if err != nil {
		return err
	}
	now := time.Now()
	if asJSON {
		return errors.Join(encodeIndented(status, out), checkStatusAge(status, now))
	}
	return errors.Join(printPeers(status, now, out), checkStatusAge(status, now))
}

// checkStatusAge fails if a status is too old to be of a node that runs.
func checkStatusAge(s gossip.Status, now time.Time) error {
	if age := now.Sub(s.At); age > maxStatusAge {
		return fmt.Errorf("this is %v old: the node does not run, or can't write its state", age.Round(time.Second))
	}
	return nil
}

// printPeers prints a status as tables of the peers and of the counters.
func printPeers(s gossip.Status, now time.Time, out io.Writer) error {
	p := printer.NewTable(out, 2, 0)
	age := now.Sub(s.At)
	p.Printf("%s, incarnation %d, health %d (0 is well), as of %v ago\n\n", s.Node, s.Incarnation, s.Health, age.Round(time.Millisecond))
	p.Println("peer\tstatus\tincarnation\taddress\tweight\tright\twrong")
	for _, peer := range s.Peers {
		trust, known := s.Trust[peer.Name]
		weight := "-"
		if known {
			weight = fmt.Sprintf("%.3f", trust.Weight)
		}
		p.Printf("%s\t%s\t%d\t%s\t%s\t%d\t%d\n", peer.Name, peer.Status, peer.Incarnation, peer.Address, weight, trust.Right, trust.Wrong)
	}
	p.Printf("\nsuspected\t%s\n", strings.Join(s.Suspected, ", "))
	for _, name := range slices.Sorted(maps.Keys(s.Counts)) {
		p.Printf("%s\t%d\n", name, s.Counts[name])
	}
	return p.Err()
}
