// Package membership tracks the members of the cluster. It implements the SWIM protocol with Lifeguard's refinements
// (local health, suspicions that expire sooner the more members confirm them, and immediate notification of a
// suspected member) as a state machine. It does no I/O, reads no clock and starts no goroutines; the random source is
// a parameter.
//
// It guarantees:
//   - a node sends at most [Settings].Datagrams packets per second, for any cluster size and during any failure;
//   - a member that responds, directly or through other members, is not declared dead, and a member that was declared
//     dead refutes it;
//   - incarnations never decrease, and older updates change nothing;
//   - nodes that can reach each other converge to the same members, also after a partition, and two groups that share
//     a seed find each other;
//   - only names passed to [Node.SetNames] are stored, so memory is bounded by their number.
//
// A [Node] is not safe for concurrent use. Start reading at [Node.Tick] and [Node.Receive], which return the packets
// to send. The design is described in docs/design/gossip.md.
package membership

import (
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/google/btree"
)

// queueDegree is the degree of the B-tree of pending broadcasts.
const queueDegree = 8

// member is the state of another node.
type member struct {
	Update
	since        time.Duration // time of the last status change or new suspicion
	suspectedBy  map[Peer]bool // members that suspect it, at most Confirmations+1
	lastReceived time.Duration // time of the last packet from the member itself
}

// Counts are totals since the start.
type Counts struct {
	Sent, Dropped      uint64 // packets; Dropped exceeded the rate limit
	Suspicions, Deaths uint64 // suspicions started and deaths declared by this node
	Refutations        uint64
	Invalid            uint64 // updates that are malformed or name an unknown node
}

// Node is the membership state machine of one node. It is not safe for concurrent use.
type Node struct {
	settings    Settings
	random      *rand.Rand
	incarnation uint64
	leaving     bool
	names       map[Peer]bool // nodes that may be members
	view
	counts Counts

	broadcasts      map[Peer]*pendingUpdate
	queue           *btree.BTreeG[*pendingUpdate] // the pending broadcasts, least often sent first
	syncCursor      int                           // position in view.all from which the next view exchange continues
	divergedPackets int                           // packets in this period whose sender has a different view

	probeOrder []Peer // members still to probe in this round; shuffled for each round
	probe      *probe // probe of the current period; nil if there was no member to probe
	relays     map[uint32]*relay
	seq        uint32
	nextPeriod time.Duration // when the next period begins
	health     int           // Lifeguard's local health multiplier: 0 is healthy, higher is worse

	outbox     []Outgoing
	sentSecond time.Duration // the second in which sentCount packets were sent
	sentCount  int
}

// New returns a node without members. Call [Node.SetNames] to set the nodes that may be members.
func New(s Settings, random *rand.Rand) *Node {
	n := &Node{
		settings: s, random: random, incarnation: s.Incarnation, view: view{members: map[Peer]*member{}},
		broadcasts: map[Peer]*pendingUpdate{}, queue: btree.NewG(queueDegree, sentLessOften), relays: map[uint32]*relay{},
	}
	n.broadcast(Update{Member: s.Self, Status: Alive, Incarnation: n.incarnation})
	return n
}

// SetNames sets the nodes that may be members: those whose public key the caller knows. It deletes all others from the
// view.
func (n *Node) SetNames(all []Peer) {
	n.names = map[Peer]bool{}
	for _, p := range all {
		n.names[p] = true
	}
	removed := func(p Peer) bool { return p != n.settings.Self && !n.names[p] }
	for _, p := range slices.Clone(n.all) {
		if removed(p) {
			n.deleteMember(p)
		}
	}
	for p := range maps.Clone(n.broadcasts) {
		if removed(p) {
			n.cancelBroadcast(p)
		}
	}
}

// Incarnation returns the incarnation of this node. The caller must persist it before it sends a packet that contains
// it, see [Settings].
func (n *Node) Incarnation() uint64 { return n.incarnation }

// Counts returns totals since the start.
func (n *Node) Counts() Counts { return n.counts }

// Health returns Lifeguard's local health, from 0 (healthy) to Settings.MaxHealth.
func (n *Node) Health() int { return n.health }

// Member returns the view of a member. It returns false for an unknown member.
func (n *Node) Member(p Peer) (Update, bool) {
	if m := n.members[p]; m != nil {
		return m.Update, true
	}
	return Update{}, false
}

// Present returns the other members that are alive or suspected, in ascending order.
func (n *Node) Present() []Peer { return slices.Clone(n.present) }

// size returns the number of present members, including this node.
func (n *Node) size() int { return 1 + len(n.present) }

// logScale returns the factor by which durations and counts grow with the number of members.
func logScale(n int) float64 { return math.Max(1, math.Log10(float64(n))) }

// ownStatus returns the status that this node broadcasts of itself.
func (n *Node) ownStatus() Status {
	if n.leaving {
		return Left
	}
	return Alive
}

// Leave announces that this node leaves the cluster, and returns the packets to send. It notifies a few members at
// once. The digest of every later packet includes the status Left, so it differs from the recipient's and both exchange
// their views.
func (n *Node) Leave(now time.Duration) []Outgoing {
	n.leaving = true
	n.broadcast(Update{Member: n.settings.Self, Status: Left, Incarnation: n.incarnation})
	for i, p := range n.ShuffledMembers() {
		if i == n.settings.IndirectProbes {
			break
		}
		n.send(now, p, Packet{Kind: Ping, Seq: n.nextSeq()}, false)
	}
	return n.flush()
}
