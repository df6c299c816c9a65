// Package testcluster runs real node and control processes on this machine, with fake partner systems, a fake receiver
// of result notifications and a fake PostgreSQL server. It submits messages as clients do, cuts the paths between
// processes, and counts every message at both ends: what its client got, and what its partner ran.
//
// Nodes are processes of their own, so that a test can kill them at a failure point, pause them and start them again.
//
// Destinations are known by their number in the configuration, from 1 on ([Cluster.Destination]). Nodes, control machines
// and regions are counted from 0; their names count from 1.
//
// The methods of a [Cluster] may be called by several goroutines, with these exceptions: one goroutine at a time changes
// configuration ([Cluster.SetRules], [Cluster.MoveEndpoint], [Cluster.ReloadSpec]), and [Cluster.Close] is called last.
//
// Start reading at [New], then [Cluster.StartNode], [Cluster.Submit] and [Cluster.Tally].
package testcluster

import (
	"cmp"
	"errors"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"time"
	"wingmount/internal/fake/partner"
	"wingmount/internal/fake/pgserver"
	"wingmount/internal/fake/results"
	"wingmount/internal/loopback"
)

const (
	// clientTimeout is how long a client waits for a response.
	clientTimeout = 400 * time.Millisecond
	// clientRetryInterval is the time between two attempts of a client.
	clientRetryInterval = 100 * time.Millisecond
	// clientIdleConnections is how many idle connections to a node the clients of Submit keep.
	clientIdleConnections = 64
)

// Defaults of a Config.
const (
	defaultMaxStoreMB  = 64
	defaultResultSlack = 350 * time.Millisecond
	defaultMaxInFlight = 400
	defaultMaxCalls    = 32
)

// Classes of the cluster's nodes, by what a repeated call does at the partner.
const (
	Keyed      = "keyed"
	Idempotent = "idempotent"
	Unsafe     = "unsafe"
	// Ordered messages are delivered one after the other by key. The class exists only with [Config.Rules].
	Ordered = "ordered"
)

// Config describes a cluster. A field that is zero has the default that its comment names.
type Config struct {
	Dir      string   // for stores, configuration files and logs
	Command  []string // starts a node; 'run --config FILE [--fail POINTS]' is appended
	Env      []string // added to the environment of this process
	Store    string   // "sqlite", "journal" or "postgres", which starts a fake server
	Deadline time.Duration
	Nodes    int // 1 by default; with postgres they share one database

	Destinations   int
	PartnerSystems int                  // that the destinations share in turn; one each by default
	PartnerModes   map[int]partner.Mode // by number of the destination; healthy by default
	CallDuration   time.Duration        // how long a partner takes for a call
	AdvertisedRate float64              // of each destination, calls a second; none by default

	BodySize         int           // bytes of a message, about
	MaxStoreMB       int           // 64 by default
	MaxInFlight      int           // messages of a node, 400 by default
	MaxCalls         int           // outstanding calls of a node, 32 by default
	MaxSockets       int           // of a node, the node's own default by default
	ResultRetention  time.Duration // how long nodes keep results, the node's own default by default
	ResultSlack      time.Duration // how long after its deadline a message's result may come, 350 ms by default
	Lease            time.Duration // of nodes on postgres, the node's own default by default
	DecisionLog      string        // the file in which nodes record their decisions; none by default
	DisableAdmission bool          // only MaxInFlight limits what nodes accept
	Rules            string        // of classes and keys; none by default
	Gossip           bool          // nodes share what they observe of partners
	PartnerSettings  string        // lines of [partners] in the nodes' files
	Assignment       *Assignment   // of destinations to nodes by control machines; nil for none
}

// Assignment describes a cluster whose nodes are assigned their destinations by control machines.
type Assignment struct {
	Regions int           // each with its own fraction of each rate limit
	Owners  int           // of a destination in each region
	Lease   time.Duration // of the nodes
	// RestartGrace is how long a node that has left keeps its destinations.
	RestartGrace time.Duration
	// ControlMachines is how many control machines each region has, all of which form one quorum. Nil is one machine for
	// each region, without a quorum.
	ControlMachines []int
	// Distributed is set if nodes get endpoints and limits from the control machines, and have none in their files.
	Distributed bool
}

// withDefaults returns the configuration with a default for each field that is zero.
func (c Config) withDefaults() Config {
	c.MaxStoreMB = cmp.Or(c.MaxStoreMB, defaultMaxStoreMB)
	c.ResultSlack = cmp.Or(c.ResultSlack, defaultResultSlack)
	c.MaxInFlight = cmp.Or(c.MaxInFlight, defaultMaxInFlight)
	c.MaxCalls = cmp.Or(c.MaxCalls, defaultMaxCalls)
	c.Nodes = max(1, c.Nodes)
	c.PartnerSystems = cmp.Or(c.PartnerSystems, c.Destinations)
	return c
}

// Cluster is one installation: its nodes, its control machines, its partners and its receiver of results.
type Cluster struct {
	Destinations []*Destination
	Results      *results.Receiver
	Postgres     *pgserver.Server // nil with other stores

	config  Config
	nodes   []nodeFiles
	ports   loopback.Ports
	client  *http.Client
	systems []*partner.System // of the destinations, each once
	control *controlPlane     // nil without Config.Assignment
	stalls  *stallDetector

	mu             sync.Mutex
	messages       map[string]*Message // by id
	submitted      []string            // ids, in the order of submission
	nextTurn       int                 // counts submissions, which go to all nodes in turn
	outages        []outage
	crashes        int
	rejectionTimes []time.Duration // how long clients waited for a rejection
}

// New builds a cluster. It starts the fakes, and no node or control machine.
func New(config Config) (*Cluster, error) {
	receiver, err := results.New()
	if err != nil {
		return nil, err
	}
	c := &Cluster{
		config: config.withDefaults(), Results: receiver, messages: map[string]*Message{},
		stalls: startStallDetector(), client: newClient(),
	}
	for _, step := range []func() error{c.startPostgres, c.startDestinations, c.prepareNodes, c.prepareControl, c.writeNodeFiles} {
		if err := step(); err != nil {
			return nil, errors.Join(err, c.Close())
		}
	}
	return c, nil
}

// newClient returns a client that follows no redirects by itself.
func newClient() *http.Client {
	return &http.Client{
		Timeout:   clientTimeout,
		Transport: &http.Transport{MaxIdleConnsPerHost: clientIdleConnections},
		CheckRedirect: func(*http.Request, []*http.Request) error {
			return http.ErrUseLastResponse
		},
	}
}

// startPostgres starts the fake PostgreSQL server if the nodes use one.
func (c *Cluster) startPostgres() (err error) {
	if c.config.Store != "postgres" {
		return nil
	}
	c.Postgres, err = pgserver.New(pgserver.Config{Path: filepath.Join(c.config.Dir, "pg.db"), User: "wing", Password: "mount"})
	return err
}

// prepareNodes gives each node its address and its files.
func (c *Cluster) prepareNodes() error {
	for node := range c.config.Nodes {
		files, err := c.newNodeFiles(node)
		if err != nil {
			return err
		}
		c.nodes = append(c.nodes, files)
	}
	return nil
}

// writeNodeFiles writes the configuration of all nodes.
func (c *Cluster) writeNodeFiles() error {
	for node, files := range c.nodes {
		if err := os.WriteFile(files.config, []byte(c.nodeConfig(node)), 0o600); err != nil {
			return err
		}
	}
	return nil
}

// Close stops the fakes and frees the addresses. Processes must have been killed before.
func (c *Cluster) Close() error {
	c.stalls.stop()
	c.client.CloseIdleConnections()
	errs := []error{c.Results.Close(), c.ports.Close()}
	if c.Postgres != nil {
		errs = append(errs, c.Postgres.Close())
	}
	if c.control != nil {
		errs = append(errs, c.control.close())
	}
	for _, s := range c.systems {
		errs = append(errs, s.Close())
	}
	return errors.Join(errs...)
}
