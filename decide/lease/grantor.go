package lease

import (
	"maps"
	"math"
	"slices"
	"time"
	"wingmount/decide/placement"
	"wingmount/internal/container"
)

// Grantor is the control process's side of all sessions: it grants quotas to nodes. It is not safe for concurrent use.
// Times are durations since any fixed origin; a time before the latest one counts as the latest one.
type Grantor struct {
	config         Config
	incarnation    Incarnation
	supersededBy   Incarnation // the newest incarnation that a node has named, 0 if none is newer
	now            time.Duration
	graceEnd       time.Duration
	graceOver      bool
	sessionTimeout time.Duration // from an answer until the session's lease has certainly expired
	lastEpoch      Epoch
	lastSession    SessionID
	sessions       map[SessionID]*session
	nodes          map[placement.NodeID]*node
	allocations    map[placement.DestinationID]*allocation
	expiries       container.Heap[*session]
	quarantine     []quarantinedQuota // earliest end first
	ownersComplete bool               // MarkOwnersComplete was called
	updated        []SessionID        // sessions that TakeUpdated will yield
	disconnected   []placement.NodeID // nodes that Advance will return
	faults         faults
}

// NewGrantor returns a grantor whose grace period begins now. During the grace period it grants only reclaimed quotas.
// Out-of-range settings get their defaults, see Config.
func NewGrantor(now time.Duration, incarnation Incarnation, config Config) *Grantor {
	config = config.withDefaults()
	graceEnd := now + config.gracePeriod()
	return &Grantor{
		config:         config,
		incarnation:    incarnation,
		now:            now,
		graceEnd:       graceEnd,
		graceOver:      now >= graceEnd,
		sessionTimeout: config.expiryWait(config.Duration),
		lastEpoch:      Epoch(incarnation) << counterBits,
		lastSession:    SessionID(incarnation) << counterBits,
		sessions:       map[SessionID]*session{},
		nodes:          map[placement.NodeID]*node{},
		allocations:    map[placement.DestinationID]*allocation{},
	}
}

// GraceEnd returns the end of the grace period: by then leases of earlier incarnations have expired.
func (g *Grantor) GraceEnd() time.Duration { return g.graceEnd }

// Incarnation returns the grantor's own incarnation.
func (g *Grantor) Incarnation() Incarnation { return g.incarnation }

// SupersededBy returns the newest incarnation that a node has named if it is newer than the grantor's own, else 0. A
// superseded grantor answers no requests.
func (g *Grantor) SupersededBy() Incarnation { return g.supersededBy }

// HasSession reports whether a node has a session.
func (g *Grantor) HasSession(id placement.NodeID) bool {
	n := g.nodes[id]
	return n != nil && len(n.sessions) > 0
}

// SessionCount returns the number of sessions.
func (g *Grantor) SessionCount() int { return len(g.sessions) }

// Advance ends sessions whose lease has expired, and makes released quota available once its window has passed. It
// returns the nodes whose last session has ended since the previous call of Advance.
func (g *Grantor) Advance(now time.Duration) []placement.NodeID {
	g.advance(now)
	nodes := g.disconnected
	g.disconnected = nil
	return nodes
}

// advance moves the grantor's time forward and processes all deadlines that have passed.
func (g *Grantor) advance(now time.Duration) {
	g.now = max(g.now, now)
	g.expiries.PopUntil(int64(g.now), g.endSession)
	g.endQuarantines()
	if g.graceOver || g.now < g.graceEnd {
		return
	}
	g.graceOver = true
	for _, destination := range slices.Sorted(maps.Keys(g.allocations)) {
		g.rebalance(g.allocations[destination])
	}
}

// NextDeadline returns the earliest time at which Advance changes the grantor's state. It returns false if there is none
// until another method changes the state.
func (g *Grantor) NextDeadline() (time.Duration, bool) {
	next, exists := time.Duration(math.MaxInt64), false
	if first, expiry := g.expiries.Min(); first != nil {
		next, exists = time.Duration(expiry), true
	}
	if !g.graceOver {
		next, exists = min(next, g.graceEnd), true
	}
	if len(g.quarantine) > 0 {
		next, exists = min(next, g.quarantine[0].until), true
	}
	return next, exists
}

// allocationFor returns the allocation of a destination, and creates it if there is none.
func (g *Grantor) allocationFor(destination placement.DestinationID) *allocation {
	a := g.allocations[destination]
	if a == nil {
		a = &allocation{destination: destination, ownersKnown: g.ownersComplete}
		g.allocations[destination] = a
	}
	return a
}

// deleteAllocationIfUnused deletes an allocation without holders, owners and quarantined quota.
func (g *Grantor) deleteAllocationIfUnused(a *allocation) {
	if len(a.grants) == 0 && len(a.owners) == 0 && a.quarantined == 0 {
		delete(g.allocations, a.destination)
	}
}

// nodeFor returns the state of a node, and creates it if there is none.
func (g *Grantor) nodeFor(id placement.NodeID) *node {
	n := g.nodes[id]
	if n == nil {
		n = &node{id: id, owned: map[placement.DestinationID]*allocation{}}
		g.nodes[id] = n
	}
	return n
}

// deleteNodeIfUnused deletes the state of a node without sessions and without owned destinations.
func (g *Grantor) deleteNodeIfUnused(n *node) {
	if len(n.sessions) == 0 && len(n.owned) == 0 {
		delete(g.nodes, n.id)
	}
}
