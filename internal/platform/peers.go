package platform

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"net/netip"
	"wingmount/internal/wire"
	"wingmount/policy"
)

// maxPeerMessage is the longest datagram that nodes may send each other, in bytes.
const maxPeerMessage = 256

// Peers exchanges messages with the other nodes, as datagrams that may be lost. It implements
// engine.PeerMessenger.
type Peers struct {
	conn      *net.UDPConn
	broadcast netip.AddrPort
	known     map[netip.AddrPort]bool // the other nodes
	log       *slog.Logger
	receive   func(policy.Event)
}

// OpenPeers listens for messages of other nodes, until Run ends.
func OpenPeers(c Config, log *slog.Logger, receive func(policy.Event)) (*Peers, error) {
	listen, err := netip.ParseAddrPort(c.PeerListen)
	if err != nil {
		return nil, fmt.Errorf("peer_listen: %w", err)
	}
	broadcast, err := netip.ParseAddrPort(c.PeerBroadcast)
	if err != nil {
		return nil, fmt.Errorf("peers_all: %w", err)
	}
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(listen))
	if err != nil {
		return nil, fmt.Errorf("listening for notes: %w", err)
	}
	p := &Peers{conn: conn, broadcast: broadcast, known: map[netip.AddrPort]bool{}, log: log, receive: receive}
	for i, addr := range c.Peers {
		if i != c.Index {
			p.known[addr] = true
		}
	}
	return p, nil
}

// Run receives messages until the context ends. What a stranger sends, or what is no message, is ignored.
func (p *Peers) Run(ctx context.Context) {
	stop := context.AfterFunc(ctx, func() { _ = p.conn.Close() })
	defer stop()
	datagram := make([]byte, maxPeerMessage+1)
	for {
		n, from, err := p.conn.ReadFromUDPAddrPort(datagram)
		if ctx.Err() != nil {
			return
		}
		if err != nil { // for instance a message of this node that reached nobody
			p.log.Debug("peers: reading", "err", err)
			continue
		}
		from = netip.AddrPortFrom(from.Addr().Unmap(), from.Port())
		message, ok := wire.DecodePeerMessage(datagram[:n])
		if !ok || !p.known[from] {
			p.log.Warn("peers: datagram ignored", "from", from, "bytes", n)
			continue
		}
		p.receive(message)
	}
}

// Send sends a message to all other nodes. It may be lost.
func (p *Peers) Send(m policy.NotifyPeers) {
	if _, err := p.conn.WriteToUDPAddrPort(wire.EncodePeerMessage(m), p.broadcast); err != nil {
		p.log.Debug("peers: sending", "err", err)
	}
}
