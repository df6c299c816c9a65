package gossip

import (
	"crypto/ed25519"
	"time"
	"wingmount/decide/gossip"
)

// send sends packets. The caller has the lock. A new incarnation is persisted before a datagram with it is sent.
func (n *Node) send(out []gossip.Outgoing) {
	n.gate.inc = n.core.Members().Incarnation()
	if n.gate.inc > n.reserved {
		s := n.status()
		s.Reserved = n.gate.inc + reservedIncarnations
		err := s.write(n.cfg.State, true)
		if (err != nil) != n.mute {
			if n.mute = err != nil; n.mute {
				n.cfg.Log.Error("gossip: sending stops until the state can be saved", "err", err)
			}
		}
		if err != nil {
			n.counts["not_sent"] += uint64(len(out))
			return
		}
		n.reserved = s.Reserved
	}
	now := n.now()
	for _, o := range out {
		s := n.gate.senders[o.To]
		if s == nil || !s.addr.IsValid() {
			n.counts["no_address"]++
			continue
		}
		n.counters[o.To]++
		b, err := encode(header{
			cluster: n.gate.cluster, from: n.gate.self, to: o.To, key: keyID(n.cfg.Key.Public().(ed25519.PublicKey)),
			incarnation: n.gate.inc, toIncarnation: uint32(s.inc), counter: n.counters[o.To], sent: time.Now().UnixMilli(),
		}, o.Packet, now, n.cfg.Key)
		if err == nil {
			err = atSend.At()
		}
		if err == nil {
			_, err = n.conn.WriteToUDPAddrPort(b, s.addr)
		}
		if err != nil { // such as a port unreachable of an earlier one; reports are sent again
			n.counts["not_sent"]++
			n.cfg.Log.Debug("gossip: sending", "to", n.names[o.To], "err", err)
			continue
		}
		n.counts["sent"]++
		n.counts["sent_bytes"] += uint64(len(b))
	}
}
