package gossip

import (
	"crypto/ed25519"
	"net/netip"
	"time"
	"wingmount/decide/membership"
)

// Bounds of the cost of datagrams that are not verified yet.
const (
	// peerShare is how many signatures a second are verified for the known address of a peer, as a multiple of the
	// datagrams that a peer may send: some of them may arrive late and together.
	peerShare = 3
	// strangerRate (a second) and strangerBurst bound those of all other addresses together, such as of a peer that
	// has moved.
	strangerRate, strangerBurst = 32, 32
	// allRate (a second) and allBurst bound all signatures together: 9% of a core at 87 µs each.
	allRate, allBurst = 1000, 1000
	// maxSkew is the largest difference of the sender's clock, transit included. A node whose clock is off by more
	// is cut off: the others drop all that it sends, and it drops what they send. Only the counter dropped_time shows it.
	maxSkew = 2 * time.Second
	// replayWindow is how many later datagrams of a sender may arrive before one that is still accepted.
	replayWindow = 64
)

// reason is why a datagram was dropped. Its text is part of a counter's name.
type reason string

// The reasons, in the order in which they are checked.
const (
	badForm        reason = "form"      // not of this form and version
	wrongCluster   reason = "cluster"   // of another cluster
	unknownPeer    reason = "stranger"  // of a node without a key
	wrongAddressee reason = "addressee" // for another node, or another process of this one
	badTime        reason = "time"      // the sender's clock differs, or the transit took too long
	oldIncarnation reason = "past_life" // of an earlier process of its sender
	replayed       reason = "replayed"  // accepted before, or too far behind
	overBudget     reason = "budget"    // not verified, to bound the cost
	unknownKey     reason = "key"       // by no key of its sender
	badSignature   reason = "signature"
)

// bucket is a token bucket.
type bucket struct {
	tokens float64
	at     time.Duration
	known  bool
}

// take removes a token, and reports whether there was one.
func (b *bucket) take(now time.Duration, rate, burst float64) bool {
	if !b.known {
		b.tokens, b.known = burst, true
	} else {
		b.tokens = min(burst, b.tokens+rate*(now-b.at).Seconds())
	}
	b.at = now
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// sender is the state of the gate for a peer.
type sender struct {
	keys   []ed25519.PublicKey
	addr   netip.AddrPort // of the newest datagram that was verified
	inc    uint64
	high   uint32 // counter
	window uint64 // bit n: high-n was accepted
	bucket bucket
}

// gate rejects datagrams of other clusters, replayed, late or unsigned ones. Cheap checks come first, and signatures are
// verified within a budget. It does no I/O and reads no clock.
type gate struct {
	rate       float64 // of signatures for a peer's own address, a second
	self       membership.Peer
	cluster    uint32
	first, inc uint64 // the incarnations of this process
	senders    map[membership.Peer]*sender
	strangers  bucket
	all        bucket
}

// check returns the sender by whose keys a datagram is to be verified, or why it is dropped. It uses up the budget of
// signatures, and changes nothing else.
func (g *gate) check(h header, from netip.AddrPort, wall time.Time, now time.Duration) (*sender, reason) {
	s := g.senders[h.from]
	switch {
	case h.cluster != g.cluster:
		return nil, wrongCluster
	case s == nil || h.from == g.self:
		return nil, unknownPeer
	case h.to != g.self:
		return nil, wrongAddressee
	// A sender that does not know this process of the node yet may make itself known, and send nothing else.
	case h.toIncarnation == 0 && (h.items > 0 || h.kind == membership.Gossip),
		h.toIncarnation != 0 && h.toIncarnation-uint32(g.first) > uint32(g.inc-g.first):
		return nil, wrongAddressee
	}
	switch off := wall.Sub(time.UnixMilli(h.sent)); {
	case off > maxSkew || off < -maxSkew:
		return nil, badTime
	case h.incarnation < s.inc:
		return nil, oldIncarnation
	case h.counter == 0 || h.incarnation == s.inc && s.seen(h.counter):
		return nil, replayed
	}
	if !g.hasBudget(s, from, now) || !g.all.take(now, allRate, allBurst) {
		return nil, overBudget
	}
	return s, ""
}

// hasBudget reports whether one more signature of a sender may be verified, for its known address or for others.
func (g *gate) hasBudget(s *sender, from netip.AddrPort, now time.Duration) bool {
	if from == s.addr {
		return s.bucket.take(now, g.rate, g.rate)
	}
	return g.strangers.take(now, strangerRate, strangerBurst)
}

// seen reports whether a counter was accepted before, or is too far behind to know.
func (s *sender) seen(counter uint32) bool {
	if counter > s.high {
		return false
	}
	behind := s.high - counter
	return behind >= replayWindow || s.window&(1<<behind) != 0
}

// accept records a datagram that has been verified. It returns false if another copy came first.
func (g *gate) accept(s *sender, h header, from netip.AddrPort) bool {
	switch {
	case h.counter == 0 || h.incarnation < s.inc || h.incarnation == s.inc && s.seen(h.counter):
		return false
	case h.incarnation > s.inc: // a new process of the sender: its counter begins anew
		s.inc, s.high, s.window = h.incarnation, h.counter, 1
	case h.counter > s.high:
		if ahead := h.counter - s.high; ahead < replayWindow {
			s.window = s.window<<ahead | 1
		} else {
			s.window = 1
		}
		s.high = h.counter
	default:
		s.window |= 1 << (s.high - h.counter)
		return true
	}
	s.addr = from
	return true
}

// keyOf returns the sender's key that a datagram names, nil if there is none.
func (s *sender) keyOf(id uint16) ed25519.PublicKey {
	for _, k := range s.keys {
		if keyID(k) == id {
			return k
		}
	}
	return nil
}
