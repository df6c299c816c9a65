package membership

import "time"

// send sends a packet with as many updates as fit, unless the ceiling is reached. An answer may use all of
// it, a probe leaves a quarter to answers.
func (n *Node) send(now time.Duration, to Peer, p Packet, differs bool) {
	if s := now.Truncate(time.Second); s != n.sentSecond {
		n.sentSecond, n.sentCount = s, 0
	}
	room := n.settings.Datagrams
	if p.Kind == Ping || p.Kind == PingReq {
		room -= room / 4
	}
	if n.sentCount >= room {
		n.counts.Dropped++
		return
	}
	n.sentCount++
	n.counts.Sent++
	p.Digest = n.digest()
	p.Updates = n.piggyback(to, differs)
	n.outbox = append(n.outbox, Out{to, p})
}

// Carry makes a packet without an answer for data that travels beside the updates, if the ceiling leaves room for it: a
// quarter of it stays free for answers.
func (n *Node) Carry(now time.Duration, to Peer) (Out, bool) {
	if s := now.Truncate(time.Second); s != n.sentSecond {
		n.sentSecond, n.sentCount = s, 0
	}
	if n.sentCount >= n.settings.Datagrams-n.settings.Datagrams/4 {
		return Out{}, false
	}
	n.send(now, to, Packet{Kind: Gossip}, false)
	out := n.flush()
	return out[0], true
}

// flush returns the packets to send, and empties the outbox.
func (n *Node) flush() []Out {
	out := n.outbox
	n.outbox = nil
	return out
}

// nextSeq numbers a probe.
func (n *Node) nextSeq() uint32 { n.seq++; return n.seq }
