package membership

import (
	"maps"
	"math"
	"slices"
	"time"
)

// probe is the probe of the current period.
type probe struct {
	target   Peer
	seq      uint32
	sent     time.Duration
	indirect int // number of members asked to probe; at least 1 after probeIndirectly ran
	nacks    int
	acked    bool
}

// relay is a probe that this node sent on behalf of another node.
type relay struct {
	requester Peer
	seq       uint32 // sequence number of the requester's probe
	target    Peer
	started   time.Duration
	nacked    bool
}

// Tick runs the actions that are due and returns the packets to send. Call it several times per Settings.Timeout.
func (n *Node) Tick(now time.Duration) []Outgoing {
	n.expireRelays(now)
	n.expireSuspicions(now)
	if n.leaving {
		return n.flush()
	}
	n.probeIndirectly(now)
	if now >= n.nextPeriod {
		n.startPeriod(now)
	}
	return n.flush()
}

// expireRelays sends a Nack to each requester whose target has not responded within Timeout, and deletes relays older
// than two periods.
func (n *Node) expireRelays(now time.Duration) {
	for _, seq := range slices.Sorted(maps.Keys(n.relays)) {
		r := n.relays[seq]
		if now-r.started >= n.settings.Timeout && !r.nacked {
			r.nacked = true
			n.send(now, r.requester, Packet{Kind: Nack, Seq: r.seq, Target: r.target}, false)
		}
		if now-r.started >= 2*n.settings.Period {
			delete(n.relays, seq)
		}
	}
}

// expireSuspicions declares members dead that have not refuted a suspicion in time.
func (n *Node) expireSuspicions(now time.Duration) {
	for _, p := range slices.Clone(n.view.suspect) {
		m := n.members[p]
		if now-m.since < n.suspicionTimeout(m) {
			continue
		}
		n.counts.Deaths++
		n.setStatus(now, m, Update{Member: p, Status: Dead, Incarnation: m.Incarnation})
		n.broadcast(m.Update)
	}
}

// probeIndirectly asks other members to probe a target that has not responded within the timeout.
func (n *Node) probeIndirectly(now time.Duration) {
	q := n.probe
	if q == nil || q.acked || q.indirect > 0 || now-q.sent < n.scaleByHealth(n.settings.Timeout) {
		return
	}
	for _, p := range n.ShuffledMembers() {
		if q.indirect == n.settings.IndirectProbes {
			break
		}
		if p != q.target && n.members[p].Status == Alive {
			q.indirect++
			n.send(now, p, Packet{Kind: PingReq, Seq: q.seq, Target: q.target}, false)
		}
	}
	q.indirect = max(q.indirect, 1) // marks the step as done even if no member could be asked
}

// scaleByHealth multiplies a duration by the local health plus one, which extends it while this node is unhealthy.
func (n *Node) scaleByHealth(d time.Duration) time.Duration { return d * time.Duration(n.health+1) }

// suspicionTimeout returns the duration of a suspicion. As more members confirm the suspicion, it decreases from the
// longest duration, Beta times the shortest, to the shortest, Alpha·logScale(members) periods.
func (n *Node) suspicionTimeout(m *member) time.Duration {
	shortest := n.settings.Alpha * logScale(n.size()) * float64(n.settings.Period)
	longest := n.settings.Beta * shortest
	confirmed := max(0, len(m.suspectedBy)-1)
	d := longest - (longest-shortest)*math.Log(float64(confirmed)+1)/math.Log(float64(n.settings.Confirmations)+1)
	return time.Duration(math.Max(shortest, d))
}

// startPeriod ends the previous probe and starts the next one.
func (n *Node) startPeriod(now time.Duration) {
	n.endProbe(now)
	n.nextPeriod = now + n.scaleByHealth(n.settings.Period)
	if target, ok := n.nextTarget(); ok {
		n.probe = &probe{target: target, seq: n.nextSeq(), sent: now}
		n.send(now, target, Packet{Kind: Ping, Seq: n.probe.seq}, false)
	}
	n.syncDiverged(now)
	n.probeAbsent(now)
}

// endProbe ends the probe of the previous period, and suspects the target if it has not responded.
func (n *Node) endProbe(now time.Duration) {
	q := n.probe
	n.probe = nil
	if q == nil || q.acked {
		return
	}
	// Healthy members that were asked respond with a Nack. Missing Nacks indicate that this node itself is unhealthy.
	n.adjustHealth(max(1, q.indirect-q.nacks))
	m := n.members[q.target]
	if m == nil || m.Status > Suspect {
		return
	}
	u := Update{Member: q.target, Status: Suspect, Incarnation: m.Incarnation, From: n.settings.Self}
	if m.Status == Suspect {
		n.confirm(m, u)
		return
	}
	n.counts.Suspicions++
	n.suspect(now, m, u)
}

// syncDiverged sends additional pings with view updates if packets in this period showed different views. The pings
// use up to a quarter of the packet rate limit, and their responses as much.
func (n *Node) syncDiverged(now time.Duration) {
	if n.divergedPackets > 0 {
		for i, p := range n.ShuffledMembers() {
			if i >= n.settings.Datagrams/responseReserveDivisor {
				break
			}
			n.send(now, p, Packet{Kind: Ping, Seq: n.nextSeq()}, true)
		}
	}
	n.divergedPackets = 0
}

// probeAbsent additionally probes a random dead member or unknown seed, so that groups find each other after a
// partition or if they have never been in contact.
func (n *Node) probeAbsent(now time.Duration) {
	var absent []Peer
	for _, p := range n.settings.Seeds {
		if n.members[p] == nil && p != n.settings.Self {
			absent = append(absent, p)
		}
	}
	absent = append(absent, n.dead...)
	if len(absent) == 0 {
		return
	}
	slices.Sort(absent)
	n.send(now, absent[n.random.IntN(len(absent))], Packet{Kind: Ping, Seq: n.nextSeq()}, true)
}

// adjustHealth changes the local health within its limits. Higher values are worse.
func (n *Node) adjustHealth(by int) { n.health = min(n.settings.MaxHealth, max(0, n.health+by)) }

// nextTarget returns the member to probe next. Each round probes every member once in random order.
func (n *Node) nextTarget() (Peer, bool) {
	for range 2 {
		for len(n.probeOrder) > 0 {
			p := n.probeOrder[0]
			n.probeOrder = n.probeOrder[1:]
			if m := n.members[p]; m != nil && m.Status <= Suspect {
				return p, true
			}
		}
		n.probeOrder = n.ShuffledMembers()
	}
	return 0, false
}

// ShuffledMembers returns the present members in random order.
func (n *Node) ShuffledMembers() []Peer {
	all := n.Present()
	n.random.Shuffle(len(all), func(i, k int) { all[i], all[k] = all[k], all[i] })
	return all
}
