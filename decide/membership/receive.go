package membership

import "time"

const (
	// maxIncarnationGap is by how much others may let an incarnation rise.
	maxIncarnationGap = 1 << 10
	// lastIncarnation leaves room above all that are taken.
	lastIncarnation = 1 << 62
	// relaysPerDatagram bounds the probes for others: so many for each packet a second.
	relaysPerDatagram = 4
)

// Receive takes a packet in from a node whose name has been proved.
func (n *Node) Receive(now time.Duration, from Peer, p Packet) []Out {
	if from == n.settings.Self || !n.names[from] || len(p.Updates) > MaxUpdates {
		return nil
	}
	for _, u := range p.Updates {
		n.merge(now, from, u)
	}
	if m := n.members[from]; m != nil {
		m.heard = now
	}
	differs := p.Digest != n.digest()
	if differs {
		n.diverged++
	}
	n.answer(now, from, p, differs)
	return n.flush()
}

// answer does what the kind of a packet asks for.
func (n *Node) answer(now time.Duration, from Peer, p Packet, differs bool) {
	switch p.Kind {
	case Ping:
		n.send(now, from, Packet{Kind: Ack, Seq: p.Seq}, differs)
	case PingReq:
		n.relay(now, from, p)
	case Ack:
		n.acknowledge(now, from, p)
	case Nack:
		if q := n.probe; q != nil && q.seq == p.Seq && p.Target == q.target {
			q.nacks++
		}
	}
}

// relay probes a member for another node: members alone, so that nobody has packets sent where there is no
// node.
func (n *Node) relay(now time.Duration, from Peer, p Packet) {
	if n.members[p.Target] == nil || p.Target == from || len(n.relays) >= relaysPerDatagram*n.settings.Datagrams {
		return
	}
	seq := n.nextSeq()
	n.relays[seq] = &relay{asked: from, seq: p.Seq, target: p.Target, at: now}
	n.send(now, p.Target, Packet{Kind: Ping, Seq: seq}, false)
}

// acknowledge takes the answer to a probe, of this node or relayed for another.
func (n *Node) acknowledge(now time.Duration, from Peer, p Packet) {
	if r := n.relays[p.Seq]; r != nil && r.target == from {
		delete(n.relays, p.Seq)
		n.send(now, r.asked, Packet{Kind: Ack, Seq: r.seq, Target: r.target}, false)
	}
	if q := n.probe; q != nil && q.seq == p.Seq && (from == q.target || p.Target == q.target) && !q.done {
		q.done = true
		n.adjustHealth(-1)
	}
}

// valid tells whether an update may be believed. Others may let a member's incarnation rise a little, as it
// does when it refutes; a larger gap, as after a lost disk, counts only from the member itself: nobody can
// use up the incarnations of another.
func (n *Node) valid(from Peer, u Update) bool {
	if u.Member != n.settings.Self && !n.names[u.Member] {
		return false
	}
	if u.Status > Left || u.Incarnation > lastIncarnation {
		return false
	}
	known := n.incarnation
	if m := n.members[u.Member]; m != nil {
		known = m.Incarnation
	} else if u.Member != n.settings.Self {
		known = u.Incarnation // of one that is not known any is as good as another
	}
	return from == u.Member || u.Incarnation <= known || u.Incarnation-known <= maxIncarnationGap
}

// merge takes an update into the view that a node sent.
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
		n.add(now, u)
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

// add takes a member in that was not known.
func (n *Node) add(now time.Duration, u Update) {
	if u.Status >= Dead {
		return // it was never known here: that it is away matters to nobody
	}
	m := &member{since: now}
	if u.Status == Suspect {
		m.suspected = map[Peer]bool{u.From: true}
	}
	n.put(m, u)
	n.broadcast(m.Update)
}

// setStatus changes what is believed of a member, and ends a suspicion of it.
func (n *Node) setStatus(now time.Duration, m *member, u Update) {
	if m.Status != u.Status {
		m.since = now
	}
	n.put(m, u)
	m.suspected = nil
}

// suspect begins a suspicion of a member.
func (n *Node) suspect(now time.Duration, m *member, u Update) {
	n.setStatus(now, m, u)
	m.since = now
	m.suspected = map[Peer]bool{u.From: true}
	n.broadcast(u)
}

// confirm takes one more who suspects in: told on while it shortens the suspicion.
func (n *Node) confirm(m *member, u Update) {
	if !m.suspected[u.From] && len(m.suspected) <= n.settings.Confirm {
		m.suspected[u.From] = true
		n.broadcast(u)
	}
}

// refute answers a suspicion of this node itself, under a higher incarnation.
func (n *Node) refute(u Update) {
	switch {
	case n.leaving, u.Incarnation < n.incarnation, u.Status == Alive && u.Incarnation == n.incarnation:
		return
	}
	// Suspected, given up, or known by an incarnation that it does not have any more.
	n.incarnation = u.Incarnation + 1
	n.counts.Refutations++
	if u.Status == Suspect {
		n.adjustHealth(1)
	}
	n.broadcast(Update{Member: n.settings.Self, Status: Alive, Incarnation: n.incarnation})
}
