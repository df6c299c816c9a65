package scaletest

import (
	"context"
	"math/rand/v2"
	"runtime"
	"time"
	"wingmount/decide/membership"
)

const (
	membershipTick   = 100 * time.Millisecond
	membershipWarmUp = 30 * time.Second // before the span that is measured
	membershipSpan   = 20 * time.Second
)

// delivery is a packet that has been sent.
type delivery struct {
	from   membership.Peer
	packet membership.Packet
}

// memberGroup has members on virtual time, whose packets arrive with the next tick.
type memberGroup struct {
	nodes   []*membership.Node
	inboxes [][]delivery
	now     time.Duration
	sent    int // packets
}

// peerOf returns the identifier of the node with an index.
func peerOf(index int) membership.Peer { return membership.Peer(index + 1) }

// newMemberGroup returns members that all know each other.
func newMemberGroup(size int, seed uint64) *memberGroup {
	g := &memberGroup{now: time.Hour, inboxes: make([][]delivery, size)}
	names := make([]membership.Peer, size)
	for i := range size {
		names[i] = peerOf(i)
	}
	for i := range size {
		settings := membership.Defaults(peerOf(i), peerOf(0))
		settings.Incarnation = 1
		node := membership.New(settings, rand.New(rand.NewPCG(seed, uint64(i))))
		node.SetNames(names)
		g.nodes = append(g.nodes, node)
	}
	for i, node := range g.nodes {
		for first := 0; first < size; first += membership.MaxUpdates {
			packet := membership.Packet{Kind: membership.Ack}
			for other := first; other < min(size, first+membership.MaxUpdates); other++ {
				packet.Updates = append(packet.Updates, membership.Update{Member: peerOf(other), Status: membership.Alive, Incarnation: 1})
			}
			node.Receive(g.now, peerOf((i+1)%size), packet)
		}
	}
	return g
}

// run advances the clock by a span.
func (g *memberGroup) run(ctx context.Context, span time.Duration) error {
	for end := g.now + span; g.now < end; {
		if err := ctx.Err(); err != nil {
			return err
		}
		g.now += membershipTick
		arrived := g.inboxes
		g.inboxes = make([][]delivery, len(g.nodes))
		for i, node := range g.nodes {
			for _, d := range arrived[i] {
				g.send(i, node.Receive(g.now, d.from, d.packet))
			}
			g.send(i, node.Tick(g.now))
		}
	}
	return nil
}

// send puts packets into the inboxes of their receivers.
func (g *memberGroup) send(from int, out []membership.Outgoing) {
	for _, o := range out {
		g.sent++
		to := int(o.To) - 1
		g.inboxes[to] = append(g.inboxes[to], delivery{from: peerOf(from), packet: o.Packet})
	}
}

// measureMembership measures packets, memory and processor time of a member that knows all others.
func measureMembership(ctx context.Context, _ Slope, size int, seed uint64, _ environment) ([]value, error) {
	before := heapInUse()
	g := newMemberGroup(size, seed)
	if err := g.run(ctx, membershipWarmUp); err != nil {
		return nil, err
	}
	sent, began := g.sent, cpuTime()
	if err := g.run(ctx, membershipSpan); err != nil {
		return nil, err
	}
	used := cpuTime() - began
	packets := float64(g.sent-sent) / float64(size) / membershipSpan.Seconds()
	memory := float64(heapInUse()-before) / float64(size)
	runtime.KeepAlive(g)
	return []value{
		{"packets of a node", "1/s", packets},
		{"memory of a node", "B", memory},
		{"processor time of a node", "µs/s", float64(used.Microseconds()) / float64(size) / membershipSpan.Seconds()},
	}, nil
}
