package gossip

import (
	"context"
	"crypto/ed25519"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"os"
	"path/filepath"
	"reflect"
	"slices"
	"sync"
	"testing"
	"time"
	"wingmount/decide/evidence"
	"wingmount/decide/gossip"
	"wingmount/decide/membership"
	"wingmount/internal/failpoint"
	"wingmount/internal/loopback"
	"wingmount/internal/testkit"
	"wingmount/policy"

	"go.uber.org/goleak"
	"pgregory.net/rapid"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

const ms = time.Millisecond

// keyFor is a key that is the same in every run.
func keyFor(n int) ed25519.PrivateKey {
	seed := make([]byte, ed25519.SeedSize)
	seed[0], seed[1] = byte(n), byte(n>>8)
	return ed25519.NewKeyFromSeed(seed)
}

func public(n int) ed25519.PublicKey { return keyFor(n).Public().(ed25519.PublicKey) }

// What is encoded is read back as it was, in 256 bytes at most, and its signature is good; with any bit
// turned it is not.
func TestEncode(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Hour
		h := header{
			cluster: rapid.Uint32().Draw(t, "cluster"), from: 1, to: 2, key: keyID(public(1)), incarnation: rapid.Uint64().Draw(t, "inc"),
			toIncarnation: rapid.Uint32().Draw(t, "to inc"), counter: rapid.Uint32().Draw(t, "counter"), sent: rapid.Int64().Draw(t, "sent"),
		}
		p := gossip.Packet{Packet: membership.Packet{
			Kind: membership.Kind(rapid.IntRange(0, 255).Draw(t, "kind")), Seq: rapid.Uint32().Draw(t, "seq"),
			Target: membership.Peer(rapid.Uint32().Draw(t, "target")), Digest: rapid.Uint64().Draw(t, "digest"),
		}}
		for range rapid.IntRange(0, membership.MaxUpdates).Draw(t, "updates") {
			p.Updates = append(p.Updates, membership.Update{
				Member: membership.Peer(rapid.Uint32().Draw(t, "member")), Status: membership.Status(rapid.IntRange(0, 255).Draw(t, "status")),
				Incarnation: rapid.Uint64().Draw(t, "of"), From: membership.Peer(rapid.Uint32().Draw(t, "by")),
			})
		}
		for range rapid.IntRange(0, Capacity(len(p.Updates))).Draw(t, "items") {
			to := now - time.Duration(rapid.IntRange(0, 65535).Draw(t, "age"))*ms
			calls := rapid.IntRange(1, 255).Draw(t, "calls")
			p.Reports = append(p.Reports, evidence.Report{
				Endpoint: evidence.Endpoint(rapid.Uint64().Draw(t, "endpoint")), Zone: rapid.IntRange(0, 65535).Draw(t, "zone"),
				From: to - time.Duration(rapid.IntRange(0, 65535).Draw(t, "span"))*ms, To: to, Calls: calls, Failed: rapid.IntRange(0, calls).Draw(t, "failed"),
			})
		}
		b, err := encode(h, p, now, keyFor(1))
		if err != nil || len(b) > MaxDatagram {
			t.Fatalf("%d bytes: %v", len(b), err)
		}
		got, err := parseHeader(b)
		if err != nil {
			t.Fatal(err)
		}
		if back := got.packet(b, now, 0); !reflect.DeepEqual(back, p) {
			t.Fatalf("%+v\nis read as\n%+v", p, back)
		}
		if !verify(b, public(1)) || verify(b, public(2)) {
			t.Fatal("the signature")
		}
		b[rapid.IntRange(0, len(b)-1).Draw(t, "byte")] ^= 1 << rapid.IntRange(0, 7).Draw(t, "bit")
		if verify(b, public(1)) {
			t.Fatal("a changed datagram is good")
		}
	})
}

// Many calls are reported by their fraction, and a packet that does not fit is an error.
func TestEncodeBounds(t *testing.T) {
	e := evidence.Report{Endpoint: 1, From: time.Hour - 3*time.Minute, To: time.Hour, Calls: 100_000, Failed: 60_000}
	b, err := encode(header{}, gossip.Packet{Reports: []evidence.Report{e}}, time.Hour, keyFor(1))
	testkit.Must(t, err)
	h, err := parseHeader(b)
	testkit.Must(t, err)
	if got := h.packet(b, time.Hour, 0).Reports[0]; got.Calls != 255 || got.Failed != 153 || got.To-got.From != 65535*ms {
		t.Errorf("%+v", got)
	}
	if _, err := encode(header{}, gossip.Packet{Reports: make([]evidence.Report, Capacity(0)+1)}, time.Hour, keyFor(1)); err == nil {
		t.Error("one item too many fits")
	}
	if Capacity(membership.MaxUpdates) < 1 {
		t.Error("no evidence fits beside the most updates")
	}
}

// No bytes make the reader panic or read past them.
func FuzzParse(f *testing.F) {
	b, err := encode(header{}, gossip.Packet{Reports: make([]evidence.Report, 2), Packet: membership.Packet{Updates: make([]membership.Update, 3)}}, 0, keyFor(1))
	testkit.Must(f, err)
	f.Add(b)
	f.Add(b[:60])
	f.Fuzz(func(t *testing.T, b []byte) {
		h, err := parseHeader(b)
		if err != nil {
			return
		}
		if p := h.packet(b, time.Hour, 0); len(p.Updates) != h.updates || len(p.Reports) != h.items {
			t.Errorf("%+v", p)
		}
		verify(b, public(1))
	})
}

// Each reason for which a datagram is dropped, one change at a time; the cheap ones before a signature is looked at.
func TestGate(t *testing.T) {
	wall, now := time.UnixMilli(1e12), time.Hour
	addr := netip.MustParseAddrPort("127.0.0.1:7001")
	fresh := func() *gate {
		return &gate{rate: 48, self: 2, cluster: 7, first: 100, inc: 103, senders: map[membership.Peer]*sender{1: {addr: addr, inc: 50, high: 10, window: 1}}}
	}
	good := header{cluster: 7, from: 1, to: 2, incarnation: 50, toIncarnation: 103, counter: 11, sent: wall.UnixMilli()}
	for i, c := range []struct {
		change func(h *header)
		want   reason
	}{
		{func(*header) {}, ""},
		{func(h *header) { h.cluster++ }, wrongCluster},
		{func(h *header) { h.from = 3 }, unknownPeer},
		{func(h *header) { h.from, h.to = 2, 2 }, unknownPeer},
		{func(h *header) { h.to = 3 }, wrongAddressee},
		{func(h *header) { h.toIncarnation = 99 }, wrongAddressee},
		{func(h *header) { h.toIncarnation = 104 }, wrongAddressee},
		{func(h *header) { h.toIncarnation = 100 }, ""},
		{func(h *header) { h.toIncarnation, h.kind = 0, membership.Ping }, ""},
		{func(h *header) { h.toIncarnation, h.kind = 0, membership.Gossip }, wrongAddressee},
		{func(h *header) { h.toIncarnation, h.items = 0, 1 }, wrongAddressee},
		{func(h *header) { h.sent -= 2001 }, badTime},
		{func(h *header) { h.sent += 2001 }, badTime},
		{func(h *header) { h.incarnation-- }, oldIncarnation},
		{func(h *header) { h.incarnation, h.counter = 51, 1 }, ""},
		{func(h *header) { h.counter = 10 }, replayed},
		{func(h *header) { h.counter = 9 }, ""},
		{func(h *header) { h.counter = 0 }, replayed},
	} {
		h := good
		c.change(&h)
		if _, why := fresh().check(h, addr, wall, now); why != c.want {
			t.Errorf("case %d: %q, want %q", i, why, c.want)
		}
	}
}

// Whatever the order in which datagrams and their copies come, each is accepted once at most, and one that is not
// far behind is accepted.
func TestReplays(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := &gate{self: 2, senders: map[membership.Peer]*sender{1: {}}}
		s := g.senders[1]
		accepted, high, inc := map[[2]uint64]bool{}, uint32(0), uint64(0)
		for range rapid.IntRange(1, 200).Draw(t, "datagrams") {
			h := header{from: 1, incarnation: uint64(rapid.IntRange(1, 3).Draw(t, "life")), counter: uint32(rapid.IntRange(0, 150).Draw(t, "counter"))}
			id := [2]uint64{h.incarnation, uint64(h.counter)}
			if h.counter > 0 && h.incarnation > inc {
				inc, high = h.incarnation, 0
			}
			fine := h.incarnation == inc && h.counter > 0 && !accepted[id] && (high == 0 || h.counter+replayWindow > high)
			if got := g.accept(s, h, netip.AddrPort{}); got != fine {
				t.Fatalf("%+v: accepted %v, want %v; the highest is %d", h, got, fine, high)
			}
			if fine {
				accepted[id], high = true, max(high, h.counter)
			}
		}
	})
}

// A flood in a peer's name from elsewhere leaves what the peer itself sends its room, and all signatures that
// are looked at stay within the budget.
func TestBudgets(t *testing.T) {
	wall := time.UnixMilli(1e12)
	addr, other := netip.MustParseAddrPort("127.0.0.1:7001"), netip.MustParseAddrPort("127.0.0.1:6666")
	g := &gate{rate: 48, self: 2, senders: map[membership.Peer]*sender{1: {addr: addr}}}
	h := header{from: 1, to: 2, kind: membership.Ping, sent: wall.UnixMilli()}
	looked, own := 0, 0
	for i := range 100_000 { // in ten seconds
		now := time.Hour + time.Duration(i)*100*time.Microsecond
		h.counter++
		if _, why := g.check(h, other, wall, now); why == "" {
			looked++
		}
		if i%625 == 0 { // sixteen a second
			if _, why := g.check(h, addr, wall, now); why == "" {
				own++
			}
		}
	}
	if own != 160 || looked > strangerBurst+10*strangerRate {
		t.Errorf("%d of 160 of its own, %d of a flood", own, looked)
	}
}

// testCluster is nodes on loopback, each with a recorder of the effects that it was notified of.
type testCluster struct {
	t        *testing.T
	dir      string
	nodes    []*Node
	ends     []func()
	mu       sync.Mutex
	notified map[int][]policy.PeerMessage
	peers    []Peer
}

func newTestCluster(t *testing.T, size int) *testCluster {
	t.Helper()
	r := &testCluster{t: t, dir: t.TempDir(), nodes: make([]*Node, size), ends: make([]func(), size), notified: map[int][]policy.PeerMessage{}}
	var ports loopback.Ports
	t.Cleanup(func() { testkit.Must(t, ports.Close()) })
	for i := range size {
		addr, err := ports.Next()
		testkit.Must(t, err)
		r.peers = append(r.peers, Peer{Name: fmt.Sprint("n", i), Address: addr, Keys: []ed25519.PublicKey{public(i)}})
	}
	for i := range size {
		r.start(i, keyFor(i))
	}
	t.Cleanup(func() {
		for i := range r.nodes {
			r.stop(i)
		}
	})
	return r
}

func (r *testCluster) config(i int, key ed25519.PrivateKey) Config {
	return Config{
		Name: r.peers[i].Name, Listen: r.peers[i].Address, Cluster: "c", Zone: "ops", Key: key, Peers: r.peers,
		State: filepath.Join(r.dir, fmt.Sprint(i, ".json")), Log: testkit.QuietLog(), OnEffect: func(effect policy.PeerMessage) {
			r.mu.Lock()
			defer r.mu.Unlock()
			r.notified[i] = append(r.notified[i], effect)
		},
	}
}

func (r *testCluster) start(i int, key ed25519.PrivateKey) {
	n, err := Open(r.config(i, key))
	testkit.Must(r.t, err)
	n.SetEndpoints(map[policy.EndpointID]string{1: "e1", 2: "e2"})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { n.Run(ctx); close(done) }()
	r.nodes[i], r.ends[i] = n, func() { cancel(); <-done }
}

func (r *testCluster) stop(i int) {
	if r.ends[i] != nil {
		r.ends[i]()
		r.ends[i] = nil
	}
}

func (r *testCluster) effects(i int) []policy.PeerMessage {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.notified[i])
}

func alive(s Status) (n int) {
	for _, p := range s.Peers {
		if p.Status == "alive" {
			n++
		}
	}
	return n
}

func (r *testCluster) together() {
	r.t.Helper()
	for i, n := range r.nodes {
		testkit.Eventually(r.t, fmt.Sprint("node ", i, " knows all"), func() bool { return alive(n.Status()) == len(r.nodes)-1 })
	}
}

// Nodes on real sockets: an outage that three observe is reported to the fourth, and the recovery; a node that restarts
// has a new incarnation, and accepts no datagram for the previous one, nor one that was signed before a key was
// removed.
func TestNodes(t *testing.T) {
	r := newTestCluster(t, 4)
	r.together()
	for i := range 3 {
		r.nodes[i].RecordCall(1, ms, false)
		r.nodes[i].RecordCall(1, ms, false)
	}
	testkit.Eventually(t, "the outage is known", func() bool {
		effects := r.effects(3)
		return len(effects) == 1 && effects[0].Endpoint == 1 && effects[0].Event == policy.PeerDown && effects[0].ProbeDelay > 0
	})
	if s := r.nodes[3].Status(); !slices.Equal(s.Suspected, []string{"e1"}) {
		t.Errorf("suspected %v", s.Suspected)
	}
	r.nodes[0].RecordCall(1, ms, true)
	testkit.Eventually(t, "the return is known", func() bool {
		effects := r.effects(3)
		return len(effects) == 2 && effects[1] == policy.PeerMessage{Endpoint: 1, Event: policy.PeerSlowStart}
	})

	// A datagram as n0 would send it to n3 now, kept by somebody who listens.
	n, to := r.nodes[0], r.nodes[3]
	datagram := func(counter uint32) []byte {
		n.mu.Lock()
		defer n.mu.Unlock()
		now := n.now()
		e := evidence.Report{Endpoint: 2, Zone: zoneID("ops"), From: now - ms, To: now, Calls: 9, Failed: 9}
		b, err := encode(header{
			cluster: n.gate.cluster, from: PeerID("n0"), to: PeerID("n3"), key: keyID(public(0)), incarnation: n.gate.inc,
			toIncarnation: uint32(n.gate.senders[PeerID("n3")].inc), counter: counter, sent: time.Now().UnixMilli(),
		},
			gossip.Packet{Packet: membership.Packet{Kind: membership.Gossip}, Reports: []evidence.Report{e}}, now, keyFor(0))
		testkit.Must(t, err)
		return b
	}
	from := n.Addr()
	drop := func(what string, b []byte, why reason) {
		t.Helper()
		before := to.Status().Counts
		to.receive(b, from)
		after := to.Status().Counts
		if after["dropped_"+string(why)] != before["dropped_"+string(why)]+1 || after["heard"] != before["heard"] {
			t.Errorf("%s: want it dropped for %q, counts %v", what, why, after)
		}
	}
	kept := datagram(1 << 20)
	before := to.Status().Counts["heard"]
	to.receive(kept, from)
	if to.Status().Counts["heard"] != before+1 {
		t.Fatal("a good datagram was not accepted")
	}
	drop("a replay", kept, replayed)
	kept = datagram(1<<20 + 1)
	incarnation := to.Status().Incarnation
	r.stop(3)
	r.start(3, keyFor(3))
	if to = r.nodes[3]; to.Status().Incarnation <= incarnation {
		t.Errorf("incarnation %d after %d", to.Status().Incarnation, incarnation)
	}
	drop("one for the incarnation before", kept, wrongAddressee)
	r.together()

	// The key of n0 changes: for a while both count, then the old one does not.
	r.peers[0].Keys = []ed25519.PublicKey{public(0), public(100)}
	for _, n := range r.nodes {
		testkit.Must(t, n.SetPeers(r.peers))
	}
	r.stop(0)
	r.start(0, keyFor(100))
	r.together()
	old := r.nodes[0].Status().Incarnation
	r.peers[0].Keys = r.peers[0].Keys[1:]
	for _, n := range r.nodes {
		testkit.Must(t, n.SetPeers(r.peers))
	}
	n = r.nodes[0]
	testkit.Eventually(t, "n0 has effects of n3", func() bool {
		n.mu.Lock()
		defer n.mu.Unlock()
		return n.gate.senders[PeerID("n3")].inc == to.Status().Incarnation
	})
	if n.Status().Incarnation < old {
		t.Error("the incarnation went back")
	}
	drop("one by the old key", datagram(1<<20+2), unknownKey)
}

// While the state can't be written nothing is sent, and the node continues; afterwards it sends again. An incarnation
// that ended at any of the points has an incarnation above all that were used.
func TestStateCantBeWritten(t *testing.T) {
	points := failpoint.Names("gossip/state/")
	if len(points) != 3 {
		t.Errorf("points %v: is each one walked?", points)
	}
	for _, point := range points {
		t.Run(filepath.Base(point), func(t *testing.T) {
			r := newTestCluster(t, 2)
			r.together()
			used := r.nodes[1].Status().Incarnation
			r.stop(1)
			reset, err := failpoint.Set(point, func() error { return failpoint.InjectedError{Point: point} })
			testkit.Must(t, err)
			defer reset()
			r.start(1, keyFor(1))
			testkit.Eventually(t, "it would have notified", func() bool { return r.nodes[1].Status().Counts["not_sent"] > 0 })
			if s := r.nodes[1].Status(); s.Counts["sent"] != 0 || s.Incarnation <= used {
				t.Errorf("%d datagrams with incarnation %d, not on record; used was %d", s.Counts["sent"], s.Incarnation, used)
			}
			reset()
			r.together()
		})
	}
}

// A state file that is damaged, or gone, does no harm: the incarnation begins at the present time.
func TestDamagedState(t *testing.T) {
	path := filepath.Join(t.TempDir(), "state")
	now := time.UnixMilli(1_800_000_000_000)
	if inc, _, err := firstIncarnation(path, now); err != nil || inc != 1_800_000_000_000 {
		t.Errorf("%d, %v", inc, err)
	}
	testkit.Must(t, os.WriteFile(path, []byte(`{"reserved": 7`), 0o600))
	if inc, _, err := firstIncarnation(path, now); err == nil || inc != 1_800_000_000_000 {
		t.Errorf("%d, %v", inc, err)
	}
	testkit.Must(t, Status{Reserved: 7, Trust: map[string]TrustOfPeers{"n1": {Weight: 0.25, Wrong: 1}}}.write(path, true))
	inc, s, err := firstIncarnation(path, now)
	if err != nil || inc != 8 || len(s.standings()) != 1 || s.standings()[0].Weight != 0.25 {
		t.Errorf("%d, %+v, %v", inc, s, err)
	}
}

// Calls beyond the room for them are left out, and counted; nobody waits.
func TestCallsAreBounded(t *testing.T) {
	r := newTestCluster(t, 1)
	n := r.nodes[0]
	r.stop(0)
	for range maxPendingCalls + 10 {
		n.RecordCall(1, ms, true)
	}
	if len(n.calls) != maxPendingCalls {
		t.Errorf("%d wait", len(n.calls))
	}
	n.tick()
	if n.counts["calls_left_out"] != 1 || len(n.calls) != 0 {
		t.Errorf("%v", n.counts)
	}
}

// BenchmarkFlood: what a datagram of a flood costs that is dropped by form, by its budget, or after its signature.
func BenchmarkFlood(b *testing.B) {
	dir := b.TempDir()
	c := Config{
		Name: "a", Listen: "127.0.0.1:0", Cluster: "c", Key: keyFor(1), State: filepath.Join(dir, "s"), Log: testkit.QuietLog(),
		Peers: []Peer{{Name: "b", Address: "127.0.0.1:9", Keys: []ed25519.PublicKey{public(2)}}},
	}
	n, err := Open(c)
	testkit.Must(b, err)
	defer func() { testkit.Must(b, n.conn.Close()) }()
	garbage := make([]byte, 200)
	for i := range garbage {
		garbage[i] = byte(rand.Uint32())
	}
	garbage[0] = 99
	forged, err := encode(header{cluster: n.gate.cluster, from: PeerID("b"), to: PeerID("a"), key: keyID(public(2)), incarnation: 1, counter: 1, sent: time.Now().UnixMilli()},
		gossip.Packet{}, time.Hour, keyFor(3))
	testkit.Must(b, err)
	b.Run("form", func(b *testing.B) {
		for b.Loop() {
			n.receive(garbage, netip.AddrPort{})
		}
	})
	b.Run("budget", func(b *testing.B) {
		for b.Loop() {
			n.receive(forged, netip.AddrPort{})
		}
	})
	b.Run("signature", func(b *testing.B) {
		for b.Loop() {
			if verify(forged, public(2)) {
				b.Fatal("it is good")
			}
		}
	})
}
