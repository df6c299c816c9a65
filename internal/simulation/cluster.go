package simulation

import (
	"math/rand/v2"
	"time"
	"wingmount/policy"
)

// Cluster is a simulated cluster: its nodes and destinations, the network between them, and the clients.
type Cluster struct {
	Checker *Checker
	Counts  Counts

	config  Config
	rng     *rand.Rand // of nodes, network and destinations
	loadRNG *rand.Rand // of the clients, so that the load does not depend on what the cluster does

	now       policy.Time
	queue     eventQueue
	scheduled uint64 // events so far
	queueFull bool

	nodes             []*node
	cumulativeWeights []float64 // of the nodes' traffic
	destinations      []*destination
	endpoints         map[policy.EndpointID]*endpoint
	endpointOrder     []*endpoint // in the order in which they were added
	control           *control    // nil without leases
	lastMessage       policy.MessageID
}

// New returns a cluster whose nodes have all just started.
func New(config Config) *Cluster {
	c := &Cluster{
		config:    config,
		rng:       rand.New(rand.NewPCG(config.Seed, 1)),
		loadRNG:   rand.New(rand.NewPCG(config.Seed, 2)),
		now:       startTime,
		endpoints: map[policy.EndpointID]*endpoint{},
	}
	c.Checker = newChecker(config.Settings)
	for i, d := range config.Destinations {
		c.addDestination(i, d)
	}
	if config.Leases != nil {
		c.control = newControl(c, *config.Leases)
	}
	for i := range config.Nodes {
		c.addNode(i)
	}
	return c
}

func (c *Cluster) addDestination(index int, d Destination) {
	if d.Capacity == 0 {
		d.Capacity = defaultCapacityFactor * d.Limit
	}
	c.destinations = append(c.destinations, &destination{
		Destination: d, index: index, tokens: d.Limit * d.BurstWindow.Seconds(), refilledAt: c.now,
	})
	for range max(1, d.Endpoints) {
		c.addEndpoint(index)
	}
}

func (c *Cluster) addNode(index int) {
	weight := 1.0
	if c.config.TrafficWeight != nil {
		weight = c.config.TrafficWeight(index)
	}
	if index > 0 {
		weight += c.cumulativeWeights[index-1]
	}
	c.cumulativeWeights = append(c.cumulativeWeights, weight)
	n := newNode(index)
	c.nodes = append(c.nodes, n)
	for _, e := range c.endpointOrder {
		if e.destination.visibleTo(index) {
			n.knownStates[e.id] = e.state
		}
	}
	c.Start(index)
}

// Run advances the clock by d.
func (c *Cluster) Run(d time.Duration) {
	until := c.now + d
	for !c.queueFull && c.queue.hasDue(until) {
		next := c.queue.pop()
		c.now = max(c.now, next.at)
		next.run()
	}
	c.now = until
	if c.queueFull {
		c.Checker.report(RuleSimulation, "more than %d events are scheduled", maxScheduledEvents)
	}
}

// Finish runs until each message must have completed, and reports those that have not.
func (c *Cluster) Finish() {
	longest := time.Duration(0)
	for _, class := range c.config.Settings.Classes {
		longest = max(longest, class.Deadline)
	}
	c.Run(longest + 2*time.Second)
	for _, n := range c.nodes {
		for _, m := range n.unfinished {
			c.Checker.checkUnfinished(c.now, n, m)
		}
	}
}

// TakeCounts returns the counts since the last call and resets them.
func (c *Cluster) TakeCounts() Counts {
	counts := c.Counts
	c.Counts = Counts{}
	return counts
}
