// Package gossip lets the nodes of a cluster share what they observe of partners' endpoints: signed datagrams of 256
// bytes at most between nodes that have each other's keys. Package decide/gossip decides what is sent and what follows.
//
// It promises:
//   - a node sends [Config].Datagrams a second at most, 16 or 4 KiB/s by default, however many nodes there are;
//   - a datagram changes something only if it is signed by a known key, for this process of this node, recent and
//     received for the first time; what a flood of others costs is bounded;
//   - it never blocks the caller that reports calls, and once it is open, a failure of it leaves the node working;
//     if [Open] fails, the gateway does not start
//   - an incarnation is persisted before a datagram with it is sent, so no process of a node repeats one.
//
// # Concurrency
//
// [Node.Run] has two goroutines, a ticker and a reader. One mutex guards the core and the gate, a second one what
// callers report until the next tick, so that a caller never waits for a datagram.
//
// Start reading at [Node.Run]. send.go and receive.go have the way of a datagram out and in, gate.go the checks of
// received ones, wire.go their form, state.go the state file, status.go what operators see.
package gossip

import (
	"cmp"
	"context"
	"crypto/ed25519"
	"errors"
	"fmt"
	"hash/fnv"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"time"
	"wingmount/decide/evidence"
	"wingmount/decide/gossip"
	"wingmount/decide/membership"
	"wingmount/internal/failpoint"
	"wingmount/policy"
)

// DefaultDatagrams is how many datagrams a node sends in a second at most by default.
const DefaultDatagrams = 16

const (
	// tickInterval is the time between two ticks of the core.
	tickInterval = 50 * time.Millisecond
	// saveInterval is the time between two writes of the state, for operators and the next process.
	saveInterval = 2 * time.Second
	// maxPendingCalls is how many calls may wait for the next tick; more are dropped.
	maxPendingCalls = 8192
	// maxReads is how many datagrams are read in each readInterval.
	maxReads     = 2000
	readInterval = 100 * time.Millisecond
	// clockStart keeps the clock above zero, which means never.
	clockStart = time.Hour
)

// Failure points with which a test makes a node report its calls wrongly, or receive and send nothing.
var (
	atObserve = failpoint.New("gossip/peer/before-saw")
	atSend    = failpoint.New("gossip/peer/before-send")
)

// Peer is another node.
type Peer struct {
	Name    string
	Address string // HOST:PORT; if empty, it is learnt from the datagrams of the peer
	Keys    []ed25519.PublicKey
}

// Config is the configuration of a node. A peer with the node's own name is ignored.
type Config struct {
	Name, Listen, Cluster, Zone string
	Key                         ed25519.PrivateKey
	Peers                       []Peer
	State                       string // the file of [Status]
	Datagrams                   int    // in a second at most; DefaultDatagrams if 0
	Log                         *slog.Logger
	// OnEffect is called with what follows from peers' reports. It may block; the ticker waits for it.
	OnEffect func(policy.PeerMessage)
}

// call is how one call of this node ended.
type call struct {
	id         evidence.Endpoint
	began, now time.Duration
	answered   bool
}

// Node is the gossip of one node. It is safe for concurrent use.
type Node struct {
	cfg    Config
	conn   *net.UDPConn
	origin time.Time

	pendingMu sync.Mutex
	calls     []call
	endpoints map[policy.EndpointID]string // nil if nothing changed

	mu       sync.Mutex
	core     *gossip.Core
	gate     gate
	names    map[membership.Peer]string
	known    map[evidence.Endpoint]string
	counters map[membership.Peer]uint32
	reserved uint64
	mute     bool // the incarnation could not be persisted: nothing is sent
	counts   map[string]uint64
}

// Open listens and reads the state of the previous process. It sends nothing before [Node.Run]. It returns an error if it
// can't listen, as on a port in use, or if a peer's configuration is not valid; a state that can't be read is only logged.
func Open(c Config) (*Node, error) {
	inc, previous, err := firstIncarnation(c.State, time.Now())
	if err != nil {
		c.Log.Error("gossip: the state of peers is lost", "err", err)
	}
	addr, err := net.ResolveUDPAddr("udp", c.Listen)
	if err != nil {
		return nil, fmt.Errorf("gossip: listening on %s: %w", c.Listen, err)
	}
	conn, err := net.ListenUDP("udp", addr)
	if err != nil {
		return nil, fmt.Errorf("gossip: listening on %s: %w", c.Listen, err)
	}
	c.Datagrams = cmp.Or(c.Datagrams, DefaultDatagrams)
	h := fnv.New32a()
	_, _ = h.Write([]byte(c.Cluster)) // never fails
	n := &Node{
		cfg: c, conn: conn, origin: time.Now(), counters: map[membership.Peer]uint32{}, counts: map[string]uint64{}, reserved: previous.Reserved,
		names: map[membership.Peer]string{}, known: map[evidence.Endpoint]string{},
		gate: gate{rate: float64(peerShare * c.Datagrams), self: PeerID(c.Name), cluster: h.Sum32(), first: inc, inc: inc, senders: map[membership.Peer]*sender{}},
	}
	var seeds []membership.Peer
	for _, p := range c.Peers {
		if p.Address != "" && p.Name != c.Name {
			seeds = append(seeds, PeerID(p.Name))
		}
	}
	s := gossip.Defaults(n.gate.self, zoneID(c.Zone), Capacity, seeds...)
	s.Membership.Incarnation, s.Membership.Datagrams = inc, c.Datagrams
	n.core = gossip.New(s, rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())))
	if err := n.SetPeers(c.Peers); err != nil {
		return nil, errors.Join(err, conn.Close())
	}
	n.core.Restore(n.now(), previous.standings())
	return n, nil
}

// Addr returns the address that the node listens on.
func (n *Node) Addr() netip.AddrPort { return n.conn.LocalAddr().(*net.UDPAddr).AddrPort() }

func (n *Node) now() time.Duration { return clockStart + time.Since(n.origin) }

// SetPeers sets which nodes may take part, and with which keys: a key that is missing is not accepted any more. The
// address that a peer has moved to since stays known.
func (n *Node) SetPeers(peers []Peer) error {
	names, senders := map[membership.Peer]string{}, map[membership.Peer]*sender{}
	for _, p := range peers {
		if p.Name == n.cfg.Name {
			continue
		}
		s := &sender{keys: p.Keys}
		if p.Address != "" {
			addr, err := net.ResolveUDPAddr("udp", p.Address)
			if err != nil {
				return fmt.Errorf("gossip: peer %q: %w", p.Name, err)
			}
			s.addr = plain(addr.AddrPort())
		}
		names[PeerID(p.Name)], senders[PeerID(p.Name)] = p.Name, s
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	for id, s := range senders {
		if had := n.gate.senders[id]; had != nil {
			keys, addr := s.keys, s.addr
			*s = *had
			if s.keys = keys; s.high == 0 {
				s.addr = addr
			}
		}
	}
	n.names, n.gate.senders = names, senders
	ids := make([]membership.Peer, 0, len(names))
	for id := range names {
		ids = append(ids, id)
	}
	n.core.SetNames(ids)
	return nil
}

func plain(a netip.AddrPort) netip.AddrPort { return netip.AddrPortFrom(a.Addr().Unmap(), a.Port()) }

// SetEndpoints sets which endpoints there are, with their names. It does not block; the map belongs to the node from
// then on.
func (n *Node) SetEndpoints(all map[policy.EndpointID]string) {
	n.pendingMu.Lock()
	defer n.pendingMu.Unlock()
	n.endpoints = all
}

// RecordCall reports how a call of this node ended, and how long it took. It does not block.
func (n *Node) RecordCall(id policy.EndpointID, took time.Duration, answered bool) {
	now := n.now()
	if atObserve.At() != nil {
		answered = !answered
	}
	n.pendingMu.Lock()
	defer n.pendingMu.Unlock()
	if len(n.calls) < maxPendingCalls {
		n.calls = append(n.calls, call{evidence.Endpoint(id), now - took, now, answered})
	}
}

// Run takes part until the context ends, announces to the others that this node leaves, and closes the socket. It
// returns when its goroutines have ended.
func (n *Node) Run(ctx context.Context) {
	var reading sync.WaitGroup
	reading.Go(n.read)
	ticker, saver := time.NewTicker(tickInterval), time.NewTicker(saveInterval)
	defer ticker.Stop()
	defer saver.Stop()
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
		case <-ticker.C:
			n.tick()
		case <-saver.C:
			if err := n.save(); err != nil {
				n.cfg.Log.Warn("gossip: the state is not saved", "err", err)
			}
		}
	}
	n.mu.Lock()
	n.send(n.core.Leave(n.now()))
	n.mu.Unlock()
	if err := errors.Join(n.conn.Close(), n.save()); err != nil {
		n.cfg.Log.Warn("gossip: closing", "err", err)
	}
	reading.Wait()
}

// save writes the state file.
func (n *Node) save() error {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.status().write(n.cfg.State, false)
}

// tick passes what callers reported to the core, sends what is due, and calls OnEffect with what follows.
func (n *Node) tick() {
	n.pendingMu.Lock()
	calls, endpoints := n.calls, n.endpoints
	n.calls, n.endpoints = nil, nil
	n.pendingMu.Unlock()
	n.mu.Lock()
	if endpoints != nil {
		n.known = map[evidence.Endpoint]string{}
		ids := make([]evidence.Endpoint, 0, len(endpoints))
		for id, name := range endpoints {
			ids = append(ids, evidence.Endpoint(id))
			n.known[evidence.Endpoint(id)] = name
		}
		n.core.SetEndpoints(ids)
	}
	// It counts the ticks with a full queue. How many calls RecordCall has dropped since the last tick is not counted.
	if len(calls) == maxPendingCalls {
		n.counts["calls_left_out"]++
	}
	for _, c := range calls {
		n.core.ObserveCall(c.now, c.id, c.began, c.answered)
	}
	n.send(n.core.Tick(n.now()))
	effects, known := n.core.Effects(), n.known
	n.mu.Unlock()
	for _, e := range effects {
		n.cfg.Log.Info("gossip: effect of peer reports", "endpoint", known[e.Endpoint], "down", e.Down, "probe_pause", e.ProbePause)
		message := policy.PeerMessage{Endpoint: policy.EndpointID(e.Endpoint), Event: policy.PeerSlowStart}
		if e.Down {
			message.Event, message.ProbeDelay = policy.PeerDown, e.ProbePause
		}
		n.cfg.OnEffect(message)
	}
}
