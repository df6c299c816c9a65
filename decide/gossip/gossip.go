// Package gossip combines a node's view of the cluster members (package membership), its assessment of partners'
// endpoints (package evidence), and the reports on its own calls that it sends to the other nodes. It does no I/O,
// reads no clock and starts no goroutines; the random source is a parameter.
//
// It guarantees, in addition to the guarantees of those two packages:
//   - a node reports only its own calls, never those of another node;
//   - a node sends no reports on an endpoint to which its calls have never failed, unless a peer reports failures: it
//     reports an endpoint when its calls start to fail or to succeed again, repeats that report every RefreshInterval
//     while it makes calls, and reports when its calls succeed although a peer reports failures;
//   - reports count toward the packet rate limit of membership, and membership's responses take precedence over them;
//   - memory is bounded by the configured endpoints and peers.
//
// A [Core] is not safe for concurrent use. Start reading at [Core.Tick] and [Core.Receive]. observe.go records this
// node's calls, disseminate.go sends reports, and effects.go derives the state changes that the caller acts on. The
// design is described in docs/design/gossip.md.
package gossip

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"
	"wingmount/decide/evidence"
	"wingmount/decide/membership"
)

// Settings are the limits and durations of a core. Durations must be positive.
type Settings struct {
	Membership membership.Settings
	Evidence   evidence.Settings
	// Capacity returns the number of reports that fit into a packet with the given number of updates.
	Capacity func(updates int) int
	// MaxRecipients is the maximum number of peers that a report is sent to.
	MaxRecipients int
	// Window is the length of the windows in which calls are counted.
	Window time.Duration
	// MinInterval is the minimum time between two reports on the same endpoint.
	MinInterval time.Duration
	// RefreshInterval is the time after which a report that is still valid is sent again.
	RefreshInterval time.Duration
}

// Defaults returns the settings of the node self in an availability zone. It joins through the seeds.
func Defaults(self membership.Peer, zone int, capacity func(updates int) int, seeds ...membership.Peer) Settings {
	return Settings{
		Membership: membership.Defaults(self, seeds...), Evidence: evidence.Defaults(zone), Capacity: capacity,
		MaxRecipients: 64, Window: time.Second, MinInterval: 500 * time.Millisecond, RefreshInterval: 3 * time.Second,
	}
}

// Packet is a message between nodes. All its reports are about calls of its sender.
type Packet struct {
	membership.Packet
	Reports []evidence.Report
}

// Outgoing is a packet to send.
type Outgoing struct {
	To membership.Peer
	Packet
}

// Counts are totals since the start.
type Counts struct {
	Sent      uint64 // reports
	Received  uint64 // reports that were accepted
	Rejected  uint64 // reports that were rejected, for example from a non-member, too old, or repeated
	Suspected uint64 // transitions of an endpoint to suspected
	Recovered uint64 // recoveries that peers observed before this node
}

// Core is the gossip state machine of one node.
type Core struct {
	settings  Settings
	random    *rand.Rand
	members   *membership.Node
	evaluator *evidence.Evaluator
	endpoints map[evidence.Endpoint]*observedEndpoint
	pending   []*observedEndpoint // endpoints with a pending report, sorted by sortPending
	sendOrder []membership.Peer   // remaining recipients of this round, in random order
	present   []membership.Peer
	toAssess  map[evidence.Endpoint]bool // endpoints whose assessment may have changed
	suspected map[evidence.Endpoint]bool
	effects   []Effect
	counts    Counts
}

// New returns a core without members and endpoints. Set them with [Core.SetNames] and [Core.SetEndpoints].
func New(s Settings, random *rand.Rand) *Core {
	return &Core{
		settings: s, random: random, members: membership.New(s.Membership, random), evaluator: evidence.New(s.Evidence),
		endpoints: map[evidence.Endpoint]*observedEndpoint{},
		toAssess:  map[evidence.Endpoint]bool{}, suspected: map[evidence.Endpoint]bool{},
	}
}

// Members returns the membership state of this node. Callers must not modify it.
func (c *Core) Members() *membership.Node { return c.members }

// Counts returns totals since the start.
func (c *Core) Counts() Counts { return c.counts }

// SetNames sets the nodes that may be members.
func (c *Core) SetNames(all []membership.Peer) { c.members.SetNames(all) }

// Restore restores the peer reputations that an earlier process saved.
func (c *Core) Restore(now time.Duration, all []evidence.PeerReputation) {
	c.evaluator.Restore(now, all)
}

// Reputations returns the reputations of all peers.
func (c *Core) Reputations(now time.Duration) []evidence.PeerReputation {
	return c.evaluator.Reputations(now)
}

// Suspected returns the suspected endpoints in ascending order.
func (c *Core) Suspected() []evidence.Endpoint {
	var all []evidence.Endpoint
	for id := range c.suspected {
		all = append(all, id)
	}
	slices.Sort(all)
	return all
}

// SetEndpoints replaces the set of endpoints. Only the first Evidence.MaxEndpoints are used.
func (c *Core) SetEndpoints(ids []evidence.Endpoint) {
	ids = ids[:min(len(ids), c.settings.Evidence.MaxEndpoints)]
	c.evaluator.SetEndpoints(ids)
	previous := c.endpoints
	c.endpoints = make(map[evidence.Endpoint]*observedEndpoint, len(ids))
	for _, id := range ids {
		if c.endpoints[id] = previous[id]; previous[id] == nil {
			c.endpoints[id] = &observedEndpoint{id: id}
		}
	}
	removed := func(id evidence.Endpoint) bool { return c.endpoints[id] == nil }
	c.pending = slices.DeleteFunc(c.pending, func(o *observedEndpoint) bool { return removed(o.id) })
	for id := range previous {
		if removed(id) {
			delete(c.toAssess, id)
			delete(c.suspected, id)
		}
	}
}

// Receive handles a packet from an authenticated node and returns the packets to send. The caller must have converted
// the times of its reports to this node's clock.
func (c *Core) Receive(now time.Duration, from membership.Peer, p Packet) []Outgoing {
	out := c.members.Receive(now, from, p.Packet)
	c.updateMembers(now, c.members.Present())
	for _, report := range p.Reports {
		report.Peer = evidence.Peer(from)
		if c.evaluator.Receive(now, report) != nil {
			c.counts.Rejected++
			continue
		}
		c.counts.Received++
		c.toAssess[report.Endpoint] = true
		if o := c.endpoints[report.Endpoint]; 2*report.Failed > report.Calls && c.contradicts(now, o) {
			c.schedule(now, o, true)
		}
	}
	return c.addReportsToAll(now, out)
}

// Tick runs the actions that are due and returns the packets to send. Call it several times per Settings.MinInterval.
func (c *Core) Tick(now time.Duration) []Outgoing {
	present := c.members.Present()
	c.updateMembers(now, present)
	c.expirePending(now, len(present))
	c.sortPending(now, len(present))
	out := c.disseminate(now, present, c.addReportsToAll(now, c.members.Tick(now)))
	c.assess(now)
	return out
}

// Leave announces that this node leaves the cluster, and returns the packets to send.
func (c *Core) Leave(now time.Duration) []Outgoing {
	return c.addReportsToAll(now, c.members.Leave(now))
}

// updateMembers passes the present members to the evaluator if they have changed.
func (c *Core) updateMembers(now time.Duration, present []membership.Peer) {
	if slices.Equal(present, c.present) {
		return
	}
	c.present = present
	peers := make([]evidence.Peer, len(present))
	for i, p := range present {
		peers[i] = evidence.Peer(p)
	}
	c.evaluator.SetMembers(now, peers)
}

// sortedEndpoints returns the keys of a set in ascending order.
func sortedEndpoints(set map[evidence.Endpoint]bool) []evidence.Endpoint {
	ids := make([]evidence.Endpoint, 0, len(set))
	for id := range set {
		ids = append(ids, id)
	}
	slices.SortFunc(ids, cmp.Compare)
	return ids
}
