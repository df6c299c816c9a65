package membership

import "time"

const (
	// maxIncarnationGap is the maximum amount by which an update from another node may raise a member's incarnation.
	maxIncarnationGap = 1 << 10
	// maxIncarnation is the highest incarnation that is accepted. It leaves room for a refutation to use a higher
	// one.
	maxIncarnation = 1 << 62
	// relaysPerDatagram is the maximum number of relays in progress, as a multiple of [Settings].Datagrams.
	relaysPerDatagram = 4
)

// Receive handles a packet from an authenticated node and returns the packets to send. It ignores packets from
// unknown nodes.
func (n *Node) Receive(now time.Duration, from Peer, p Packet) []Outgoing {
	if from == n.settings.Self || !n.names[from] || len(p.Updates) > MaxUpdates {
		return nil
	}
	for _, u := range p.Updates {
		n.merge(now, from, u)
	}
	if m := n.members[from]; m != nil {
		m.lastReceived = now
	}
	differs := p.Digest != n.digest()
	if differs {
		n.divergedPackets++
	}
	n.respond(now, from, p, differs)
	return n.flush()
}

// respond handles a packet according to its kind.
func (n *Node) respond(now time.Duration, from Peer, p Packet, differs bool) {
	switch p.Kind {
	case Ping:
		n.send(now, from, Packet{Kind: Ack, Seq: p.Seq}, differs)
	case PingReq:
		n.relayPing(now, from, p)
	case Ack:
		n.handleAck(now, from, p)
	case Nack:
		if q := n.probe; q != nil && q.seq == p.Seq && p.Target == q.target {
			q.nacks++
		}
	}
}

// relayPing probes a member on behalf of another node. Only members are probed, so that a node cannot direct packets
// to arbitrary targets.
func (n *Node) relayPing(now time.Duration, from Peer, p Packet) {
	if n.members[p.Target] == nil || p.Target == from || len(n.relays) >= relaysPerDatagram*n.settings.Datagrams {
		return
	}
	seq := n.nextSeq()
	n.relays[seq] = &relay{requester: from, seq: p.Seq, target: p.Target, started: now}
	n.send(now, p.Target, Packet{Kind: Ping, Seq: seq}, false)
}

// handleAck handles the response to a probe of this node or to a relayed probe.
func (n *Node) handleAck(now time.Duration, from Peer, p Packet) {
	if r := n.relays[p.Seq]; r != nil && r.target == from {
		delete(n.relays, p.Seq)
		n.send(now, r.requester, Packet{Kind: Ack, Seq: r.seq, Target: r.target}, false)
	}
	if q := n.probe; q != nil && q.seq == p.Seq && (from == q.target || p.Target == q.target) && !q.acked {
		q.acked = true
		n.adjustHealth(-1)
	}
}

// valid reports whether an update is accepted. A third node may raise a member's incarnation by a small amount, as
// the member itself does when it refutes. A larger gap, for example after the member lost its disk, is accepted only
// from the member itself, so that no other node can exhaust its incarnations.
func (n *Node) valid(from Peer, u Update) bool {
	if u.Member != n.settings.Self && !n.names[u.Member] {
		return false
	}
	if u.Status > Left || u.Incarnation > maxIncarnation {
		return false
	}
	known := n.incarnation
	if m := n.members[u.Member]; m != nil {
		known = m.Incarnation
	} else if u.Member != n.settings.Self {
		known = u.Incarnation // any incarnation is accepted for an unknown member
	}
	return from == u.Member || u.Incarnation <= known || u.Incarnation-known <= maxIncarnationGap
}

// merge applies an update from another node to the view.
func (n *Node) merge(now time.Duration, from Peer, u Update) {
	if !n.valid(from, u) {
		n.counts.Invalid++
		return
	}
	if u.Member == n.settings.Self {
		n.refute(u)
		return
	}
	m := n.members[u.Member]
	if m == nil {
		n.addMember(now, u)
		return
	}
	switch {
	case u.Incarnation < m.Incarnation, u.Incarnation == m.Incarnation && u.Status < m.Status:
		return
	case u.Incarnation == m.Incarnation && u.Status == m.Status:
		if u.Status == Suspect {
			n.confirm(m, u)
		}
		return
	case u.Status == Suspect:
		n.suspect(now, m, u)
		return
	}
	n.setStatus(now, m, u)
	n.broadcast(u)
}

// addMember adds a member that was unknown.
func (n *Node) addMember(now time.Duration, u Update) {
	if u.Status >= Dead {
		return // the member is unknown here, so its departure changes nothing
	}
	m := &member{since: now}
	if u.Status == Suspect {
		m.suspectedBy = map[Peer]bool{u.From: true}
	}
	n.set(m, u)
	n.broadcast(m.Update)
}

// setStatus changes the status of a member and clears the suspicion of it.
func (n *Node) setStatus(now time.Duration, m *member, u Update) {
	if m.Status != u.Status {
		m.since = now
	}
	n.set(m, u)
	m.suspectedBy = nil
}

// suspect starts a suspicion of a member and broadcasts it.
func (n *Node) suspect(now time.Duration, m *member, u Update) {
	n.setStatus(now, m, u)
	m.since = now
	m.suspectedBy = map[Peer]bool{u.From: true}
	n.broadcast(u)
}

// confirm adds another member to a suspicion, and broadcasts the confirmation if it shortens the suspicion.
func (n *Node) confirm(m *member, u Update) {
	if !m.suspectedBy[u.From] && len(m.suspectedBy) <= n.settings.Confirmations {
		m.suspectedBy[u.From] = true
		n.broadcast(u)
	}
}

// refute responds to an update that claims this node is suspected, dead or has a higher incarnation: it broadcasts
// that the node is alive, with a higher incarnation.
func (n *Node) refute(u Update) {
	switch {
	case n.leaving, u.Incarnation < n.incarnation, u.Status == Alive && u.Incarnation == n.incarnation:
		return
	}
	// The node is suspected, declared dead, or has a higher incarnation in another node's view.
	n.incarnation = u.Incarnation + 1
	n.counts.Refutations++
	if u.Status == Suspect {
		n.adjustHealth(1)
	}
	n.broadcast(Update{Member: n.settings.Self, Status: Alive, Incarnation: n.incarnation})
}
