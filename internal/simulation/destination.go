package simulation

import (
	"slices"
	"time"
	"wingmount/policy"
)

// Health is how an endpoint behaves.
type Health int

// The ways in which endpoints behave.
const (
	Healthy  Health = iota
	Refusing        // connections are refused
	Silent          // calls get no response
	Failing         // all calls end with an error, and may have run
	Slow            // calls are answered after seconds
)

const (
	// slowResponseTime is the mean time of a response of a slow endpoint.
	slowResponseTime = 4 * time.Second
	// defaultCapacityFactor is the capacity of a destination as a multiple of its limit.
	defaultCapacityFactor = 1.5
	// zones is the number of zones that endpoints are in, one after the other.
	zones = 2
)

// Destination describes a destination system.
type Destination struct {
	Limit           float64       // calls a second from all senders; rejected calls use it up
	BurstWindow     time.Duration // the limit of so long may come at once
	AdvertisedLimit float64       // the limit that the endpoint list gives; 0: none
	Capacity        float64       // calls a second that it bears when warm; 0: half more than the limit
	Endpoints       int
	ResponseTime    time.Duration // mean
	RetryAfter      time.Duration // sent with each rejection; 0: none
	// Owners are the nodes that share the limit evenly. Each is assigned its part of the advertised limit, all
	// of the traffic comes to them, and no other node knows of the destination. nil: all nodes send to it, and
	// none is assigned a part.
	Owners []int
}

// visibleTo reports whether the endpoint list of a node has the destination.
func (d *Destination) visibleTo(node int) bool {
	return d.Owners == nil || slices.Contains(d.Owners, node)
}

// ownerLimit returns the limit that each owner is assigned, 0 where none is.
func (d *Destination) ownerLimit() float64 {
	if d.Owners == nil {
		return 0
	}
	return d.AdvertisedLimit / float64(len(d.Owners))
}

// destination is a destination with its state.
type destination struct {
	Destination
	index      int
	endpoints  []*endpoint
	tokens     float64 // calls that it takes now
	refilledAt policy.Time
	recovery   recovery
}

// endpoint is one endpoint of a destination.
type endpoint struct {
	id          policy.EndpointID
	destination *destination
	zone        int
	state       policy.EndpointState
	health      Health
}

// refill adds the tokens since the last call.
func (d *destination) refill(now policy.Time) {
	d.tokens = min(d.Limit*d.BurstWindow.Seconds(), d.tokens+d.Limit*(now-d.refilledAt).Seconds())
	d.refilledAt = now
}

// addEndpoint adds an endpoint to a destination.
func (c *Cluster) addEndpoint(destination int) *endpoint {
	d := c.destinations[destination]
	e := &endpoint{
		id: policy.EndpointID(len(c.endpointOrder) + 1), destination: d, zone: len(d.endpoints) % zones, state: policy.Ready,
	}
	c.endpoints[e.id] = e
	c.endpointOrder = append(c.endpointOrder, e)
	d.endpoints = append(d.endpoints, e)
	return e
}

// SetHealth changes how all endpoints of a destination behave. A time in any health but Healthy, Slow too, is an outage:
// the destination warms up after it.
func (c *Cluster) SetHealth(destination int, health Health) {
	d := c.destinations[destination]
	for _, e := range d.endpoints {
		e.health = health
	}
	if begins := d.recovery.setDown(c.now, health != Healthy); begins {
		c.Checker.observeOutage(d)
	}
}

// SetAdvertisedLimit changes the limit of a destination and its entry in the endpoint list, which nodes receive
// within [Config.ListDelay].
func (c *Cluster) SetAdvertisedLimit(destination int, limit float64) {
	d := c.destinations[destination]
	c.Checker.observeLimitChange(c.now, d, limit)
	d.Limit, d.AdvertisedLimit = limit, limit
	for _, n := range c.nodes {
		c.after(c.randomDelay(c.config.ListDelay), func() {
			if n.up && !n.partitioned {
				c.updateLimits(n, []int{destination})
			}
		})
	}
}

// SetLimit changes the limit of a destination, but not its entry in the endpoint list.
func (c *Cluster) SetLimit(destination int, limit float64) { c.destinations[destination].Limit = limit }
