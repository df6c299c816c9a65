package gossip

import (
	"maps"
	"time"
	"wingmount/decide/membership"
)

// Status returns the present status.
func (n *Node) Status() Status {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.status()
}

var statusNames = map[membership.Status]string{membership.Alive: "alive", membership.Suspect: "suspect", membership.Dead: "dead", membership.Left: "left"}

func (n *Node) status() Status {
	m := n.core.Members()
	s := Status{
		Node: n.cfg.Name, At: time.Now(), Incarnation: m.Incarnation(), Reserved: n.reserved, Health: m.Health(), Suspected: []string{},
		Peers: []PeerStatus{}, Counts: maps.Clone(n.counts), Trust: map[string]TrustOfPeers{},
	}
	for _, id := range sortedPeers(n.names) {
		p := PeerStatus{Name: n.names[id], Status: "unknown"}
		if u, ok := m.Member(id); ok {
			p.Status, p.Incarnation = statusNames[u.Status], u.Incarnation
		}
		if a := n.gate.senders[id].addr; a.IsValid() {
			p.Address = a.String()
		}
		s.Peers = append(s.Peers, p)
	}
	for _, id := range n.core.Suspected() {
		s.Suspected = append(s.Suspected, n.known[id])
	}
	for _, st := range n.core.Reputations(n.now()) {
		if name := n.names[membership.Peer(st.Peer)]; name != "" {
			s.Trust[name] = TrustOfPeers{st.Weight, st.Right, st.Wrong}
		}
	}
	// The names are those that operators know, see docs/operate/gossip.md.
	c, mc := n.core.Counts(), m.Counts()
	for name, v := range map[string]uint64{
		"told": c.Sent, "heard": c.Received, "refused": c.Rejected, "suspected": c.Suspected, "returned": c.Recovered,
		"over_ceiling": mc.Dropped, "suspicions_of_members": mc.Suspicions, "deaths": mc.Deaths, "refutations": mc.Refutations,
	} {
		s.Counts[name] = v
	}
	return s
}
