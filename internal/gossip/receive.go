package gossip

import (
	"errors"
	"net"
	"net/netip"
	"time"
)

// read handles datagrams until the socket closes.
func (n *Node) read() {
	buf := make([]byte, MaxDatagram+1)
	var since time.Time
	reads := 0
	for {
		size, from, err := n.conn.ReadFromUDPAddrPort(buf)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil { // such as a port unreachable of a datagram that was sent
			n.cfg.Log.Debug("gossip: reading", "err", err)
			continue
		}
		if now := time.Now(); now.Sub(since) >= readInterval {
			since, reads = now, 0
		}
		if reads++; reads > maxReads {
			time.Sleep(readInterval - time.Since(since)) // meanwhile the system's buffer fills, and it drops the rest
		}
		n.receive(buf[:size], plain(from))
	}
}

// receive handles one datagram, and sends the answers.
func (n *Node) receive(b []byte, from netip.AddrPort) {
	h, err := parseHeader(b)
	wall, now := time.Now(), n.now()
	n.mu.Lock()
	defer n.mu.Unlock()
	n.counts["received"]++
	if err != nil {
		n.counts["dropped_"+string(badForm)]++
		return
	}
	s, why := n.gate.check(h, from, wall, now)
	if why == "" {
		why = n.verified(b, h, s)
	}
	if why == "" && !n.gate.accept(s, h, from) {
		why = replayed
	}
	if why != "" {
		n.counts["dropped_"+string(why)]++
		return
	}
	transit := max(0, wall.Sub(time.UnixMilli(h.sent)))
	n.send(n.core.Receive(now, h.from, h.packet(b, now, transit)))
}

// verified checks the signature. The caller has the lock, which is released meanwhile.
func (n *Node) verified(b []byte, h header, s *sender) reason {
	key := s.keyOf(h.key)
	if key == nil {
		return unknownKey
	}
	n.counts["verified"]++
	n.mu.Unlock()
	valid := verify(b, key)
	n.mu.Lock()
	if !valid {
		return badSignature
	}
	if n.gate.senders[h.from] != s { // SetPeers was called meanwhile
		return unknownKey
	}
	return ""
}
