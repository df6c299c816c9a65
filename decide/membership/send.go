package membership

import "time"

// responseReserveDivisor determines the part of the packet rate limit that is reserved for responses: one quarter.
const responseReserveDivisor = 4

// send queues a packet with as many updates as fit, unless the rate limit is reached. Responses may use the full
// limit; probes leave a quarter of it to responses. If differs is set, the packet also contains a part of this node's
// view, because the recipient's may differ.
func (n *Node) send(now time.Duration, to Peer, p Packet, differs bool) {
	if s := now.Truncate(time.Second); s != n.sentSecond {
		n.sentSecond, n.sentCount = s, 0
	}
	limit := n.settings.Datagrams
	if p.Kind == Ping || p.Kind == PingReq {
		limit -= limit / responseReserveDivisor
	}
	if n.sentCount >= limit {
		n.counts.Dropped++
		return
	}
	n.sentCount++
	n.counts.Sent++
	p.Digest = n.digest()
	p.Updates = n.piggyback(to, differs)
	n.outbox = append(n.outbox, Outgoing{to, p})
}

// PacketFor returns a packet of kind Gossip, which requests no response, for data that is sent along with updates. It
// returns false if the rate limit has no capacity left: a quarter of it is reserved for responses.
func (n *Node) PacketFor(now time.Duration, to Peer) (Outgoing, bool) {
	if s := now.Truncate(time.Second); s != n.sentSecond {
		n.sentSecond, n.sentCount = s, 0
	}
	if n.sentCount >= n.settings.Datagrams-n.settings.Datagrams/responseReserveDivisor {
		return Outgoing{}, false
	}
	n.send(now, to, Packet{Kind: Gossip}, false)
	out := n.flush()
	return out[0], true
}

// flush returns the queued packets and empties the outbox.
func (n *Node) flush() []Outgoing {
	out := n.outbox
	n.outbox = nil
	return out
}

// nextSeq returns the sequence number of the next probe.
func (n *Node) nextSeq() uint32 { n.seq++; return n.seq }
