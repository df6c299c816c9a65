package gossip

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
	"wingmount/decide/evidence"
	"wingmount/decide/membership"

	"pgregory.net/rapid"
)

const (
	ms     = time.Millisecond
	second = time.Second
	here   = 1
	ticks  = 100 * ms
)

// capacity is as the wire has it: 135 bytes, 17 for an update and 16 for an item of evidence.
func capacity(updates int) int { return (135 - 17*updates) / 16 }

// event is a packet that arrives, a tick, or a call of a node that ends.
type event struct {
	at       time.Duration
	n        int
	to, from membership.Peer // from 0: a tick
	call     evidence.Endpoint
	Packet
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, k int) bool {
	return e[i].at < e[k].at || e[i].at == e[k].at && e[i].n < e[k].n
}
func (e events) Swap(i, k int) { e[i], e[k] = e[k], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := len(*e) - 1
	x := (*e)[last]
	*e = (*e)[:last]
	return x
}

type effect struct {
	at time.Duration
	Effect
}

// cluster is a tier on virtual time, whose nodes call endpoints that are down or not.
type cluster struct {
	rng     *rand.Rand
	now     time.Duration
	nodes   map[membership.Peer]*Core
	down    map[evidence.Endpoint]bool
	effects map[membership.Peer][]effect
	queue   events
	n       int
	names   []membership.Peer
	ids     []evidence.Endpoint
	loss    float64
	cut     func(a, b membership.Peer) bool // nil where all reach all
	sent    map[membership.Peer]int         // in this second
	sec     time.Duration
	peak    int
	total   int
}

func newCluster(tb testing.TB, seed uint64, size, endpoints int) *cluster {
	tb.Helper()
	tb.Logf("seed %d", seed)
	w := &cluster{
		rng: rand.New(rand.NewPCG(seed, 7)), nodes: map[membership.Peer]*Core{}, down: map[evidence.Endpoint]bool{},
		effects: map[membership.Peer][]effect{}, sent: map[membership.Peer]int{},
	}
	var names []membership.Peer
	var ids []evidence.Endpoint
	for i := range size {
		names = append(names, membership.Peer(i+1))
	}
	for i := range endpoints {
		ids = append(ids, evidence.Endpoint(i+1))
	}
	w.names, w.ids = names, ids
	for _, p := range names {
		w.start(p, 1)
		w.push(event{at: time.Duration(w.rng.Int64N(int64(ticks))), to: p})
	}
	for from := w.now; !w.agree(); w.run(ticks) {
		if w.now-from > 10*time.Minute {
			tb.Fatal("the nodes never knew each other")
		}
	}
	return w
}

// start starts a process of a node.
func (w *cluster) start(p membership.Peer, inc uint64) {
	s := Defaults(p, here, capacity, 1, 2, 3)
	s.Membership.Incarnation = inc
	w.nodes[p] = New(s, rand.New(rand.NewPCG(w.rng.Uint64(), 1)))
	w.nodes[p].SetNames(w.names)
	w.nodes[p].SetEndpoints(w.ids)
}

func (w *cluster) agree() bool {
	for _, n := range w.nodes {
		if len(n.Members().Present()) != len(w.nodes)-1 {
			return false
		}
	}
	return true
}

func (w *cluster) push(e event) {
	w.n++
	e.n = w.n
	heap.Push(&w.queue, e)
}

func (w *cluster) carry(from membership.Peer, out []Outgoing) {
	if s := w.now.Truncate(second); s != w.sec {
		w.sec = s
		clear(w.sent)
	}
	for _, o := range out {
		w.total++
		w.sent[from]++
		w.peak = max(w.peak, w.sent[from])
		if w.rng.Float64() >= w.loss && (w.cut == nil || !w.cut(from, o.To)) {
			w.push(event{at: w.now + ms + time.Duration(w.rng.Int64N(int64(20*ms))), to: o.To, from: from, Packet: o.Packet})
		}
	}
}

func (w *cluster) run(d time.Duration) {
	end := w.now + d
	for len(w.queue) > 0 && w.queue[0].at <= end {
		e := heap.Pop(&w.queue).(event)
		w.now = e.at
		n := w.nodes[e.to]
		switch {
		case n == nil:
		case e.call != 0:
			n.ObserveCall(w.now, e.call, w.now-10*ms, !w.down[e.call])
		case e.from == 0:
			w.carry(e.to, n.Tick(w.now))
			for _, x := range n.Effects() {
				w.effects[e.to] = append(w.effects[e.to], effect{w.now, x})
			}
			w.push(event{at: w.now + ticks, to: e.to})
		default:
			w.carry(e.to, n.Receive(w.now, e.from, e.Packet))
		}
	}
	w.now = end
}

// calls lets nodes call an endpoint so often from now on, for a time.
func (w *cluster) calls(id evidence.Endpoint, every, d time.Duration, by ...membership.Peer) {
	for _, p := range by {
		for at := time.Duration(w.rng.Int64N(int64(every))); at < d; at += every {
			w.push(event{at: w.now + at, to: p, call: id})
		}
	}
}

func (w *cluster) reportsSent() (n uint64) {
	for _, c := range w.nodes {
		n += c.Counts().Sent
	}
	return n
}

// An outage that five of ten nodes met is known to the five that did not call, soon; and so is the return
// that one of them met. Without events no node reports anything.
func TestOutageAndReturnAreKnown(t *testing.T) {
	w := newCluster(t, 1, 10, 3)
	callers, others := []membership.Peer{1, 2, 3, 4, 5}, []membership.Peer{6, 7, 8, 9, 10}
	w.calls(1, 200*ms, 10*second, callers...)
	w.calls(2, 200*ms, 40*second, callers...)
	w.run(10 * second)
	if n := w.reportsSent(); n != 0 {
		t.Errorf("%d reports were sent in calm", n)
	}
	w.down[1] = true
	start := w.now
	w.calls(1, 200*ms, 10*second, callers...)
	w.run(10 * second)
	for _, p := range others {
		e := w.effects[p]
		if len(e) != 1 || e[0].Endpoint != 1 || !e[0].Down || e[0].ProbePause <= 0 || e[0].at-start > 2500*ms {
			t.Errorf("node %d: %v, from %v on", p, e, start)
		}
	}
	w.down[1] = false
	start = w.now
	w.calls(1, 200*ms, 100*ms, 3) // one call
	w.run(5 * second)
	for p, n := range w.nodes {
		if p == 3 {
			continue
		}
		e := w.effects[p]
		last := e[len(e)-1]
		if last.Effect != (Effect{Endpoint: 1}) || last.at-start > 2500*ms || len(n.Suspected()) != 0 {
			t.Errorf("node %d: %v, from %v on; suspected %v", p, e, start, n.Suspected())
		}
	}
	if w.peak > membership.Defaults(1).Datagrams {
		t.Errorf("%d packets in a second", w.peak)
	}
}

// Two of ten who collude and say all the time that a healthy endpoint is down, or that one is back that is not,
// after an hour of telling the truth, change nothing for the others, whether these call it or not: but for one
// call each, by which they lose their say.
func TestTwoLiars(t *testing.T) {
	w := newCluster(t, 2, 10, 3)
	lie := func(failed int, ids ...evidence.Endpoint) {
		for p := range w.nodes {
			if p > 2 {
				for _, liar := range []membership.Peer{1, 2} {
					for _, id := range ids {
						e := evidence.Report{Endpoint: id, Zone: here, From: w.now - 10*ms, To: w.now, Calls: 50, Failed: 50 * failed}
						w.carry(p, w.nodes[p].Receive(w.now, liar, Packet{Packet: membership.Packet{Kind: membership.Gossip}, Reports: []evidence.Report{e}}))
					}
				}
			}
		}
	}
	w.calls(1, 500*ms, 90*second, 3, 4, 5, 6)
	w.calls(3, 500*ms, 90*second, 3, 4, 5, 6, 7, 8, 9, 10)
	for range 60 { // the truth: they win trust
		lie(0, 1, 3)
		w.run(second)
	}
	for range 100 {
		lie(1, 1, 2)
		w.run(100 * ms)
	}
	for p, e := range w.effects {
		t.Errorf("node %d was made to believe %v", p, e)
	}
	w.down[3] = true
	w.run(5 * second)
	clear(w.effects)
	for range 50 {
		lie(0, 3)
		w.run(100 * ms)
	}
	for p, e := range w.effects {
		if calls := slices.DeleteFunc(e, func(e effect) bool { return e.Down }); len(calls) > 2 {
			t.Errorf("node %d was made to call %d times: %v; %+v", p, len(calls), calls, w.nodes[p].Reputations(w.now)[:4])
		}
	}
}

// What another zone sees means nothing for this one.
func TestOtherBuilding(t *testing.T) {
	w := newCluster(t, 3, 8, 2)
	for p := range membership.Peer(4) {
		s := Defaults(p+1, here+1, capacity, 5)
		s.Membership.Incarnation = 9
		w.nodes[p+1] = New(s, rand.New(rand.NewPCG(uint64(p), 3)))
		w.nodes[p+1].SetNames([]membership.Peer{1, 2, 3, 4, 5, 6, 7, 8})
		w.nodes[p+1].SetEndpoints([]evidence.Endpoint{1, 2})
	}
	w.down[1] = true
	w.calls(1, 200*ms, 20*second, 1, 2, 3, 4)
	w.run(20 * second)
	for p := range membership.Peer(8) {
		if p+1 > 4 && len(w.effects[p+1]) > 0 {
			t.Errorf("node %d: %v", p+1, w.effects[p+1])
		}
		if c := w.nodes[p+1].Counts(); p+1 > 4 && c.Received == 0 {
			t.Errorf("node %d heard nothing: %+v", p+1, c)
		}
	}
}

// With 5,000 endpoints out at once evidence stays within the limit: new events go first, and each node
// hears of most of them.
func TestFiveThousandEndpoints(t *testing.T) {
	const endpoints = 5000
	w := newCluster(t, 4, 10, endpoints)
	for id := range evidence.Endpoint(endpoints) {
		w.down[id+1] = true
		w.calls(id+1, 4*second, 20*second, 1, 2, 3, 4, 5, 6, 7, 8, 9)
	}
	w.run(20 * second)
	known := map[evidence.Endpoint]bool{}
	for _, e := range w.effects[10] {
		if e.Down {
			known[e.Endpoint] = true
		}
	}
	t.Logf("the one that calls nobody suspected %d of %d at some time within 20 s; %.1f packets a node and second", len(known), endpoints, float64(w.total)/10/w.now.Seconds())
	if len(known) < 50 {
		t.Errorf("only %d", len(known))
	}
	if w.peak > membership.Defaults(1).Datagrams {
		t.Errorf("%d packets in a second", w.peak)
	}
}

// The same seed gives the same tier.
func TestSameSeed(t *testing.T) {
	play := func() string {
		w := newCluster(t, 5, 8, 4)
		w.loss = 0.1
		w.down[1] = true
		w.calls(1, 300*ms, 10*second, 1, 2, 3, 4, 5, 6)
		w.run(10 * second)
		return fmt.Sprint(w.total, w.n, w.effects)
	}
	if a, b := play(), play(); a != b {
		t.Errorf("%s\n%s", a, b)
	}
}

// Whatever comes, a packet has no more evidence than capacity, what is kept is bounded, and an endpoint that this
// node sees answering all the time is never slowed.
func TestAnything(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := Defaults(1, here, capacity, 2)
		s.Membership.Incarnation, s.MaxRecipients = 5, rapid.IntRange(1, 4).Draw(t, "reach")
		c := New(s, rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1)))
		c.SetNames([]membership.Peer{1, 2, 3, 4, 5, 6})
		ids := []evidence.Endpoint{1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12}
		c.SetEndpoints(ids)
		now := time.Duration(0)
		for range rapid.IntRange(1, 120).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 1000).Draw(t, "pause")) * ms
			c.ObserveCall(now, 1, now, true)
			var out []Outgoing
			switch rapid.IntRange(0, 3).Draw(t, "what") {
			case 0:
				out = c.Tick(now)
			case 1:
				c.ObserveCall(now, evidence.Endpoint(rapid.IntRange(2, 13).Draw(t, "endpoint")), now, rapid.Bool().Draw(t, "answered"))
			case 2:
				c.SetEndpoints(ids[:rapid.IntRange(1, len(ids)).Draw(t, "endpoints")])
			default:
				p := Packet{Packet: membership.Packet{Kind: membership.Kind(rapid.IntRange(0, 5).Draw(t, "kind"))}}
				from := membership.Peer(rapid.IntRange(0, 8).Draw(t, "from"))
				p.Updates = []membership.Update{{Member: from, Incarnation: 1}}
				for range rapid.IntRange(0, 9).Draw(t, "evidence") {
					to := now - time.Duration(rapid.IntRange(-2000, 20000).Draw(t, "age"))*ms
					p.Reports = append(p.Reports, evidence.Report{
						Endpoint: evidence.Endpoint(rapid.IntRange(0, 13).Draw(t, "id")), Zone: rapid.IntRange(0, 2).Draw(t, "zone"),
						From: to - time.Duration(rapid.IntRange(-10, 2000).Draw(t, "span"))*ms, To: to, Calls: rapid.IntRange(-1, 9).Draw(t, "calls"), Failed: rapid.IntRange(-1, 9).Draw(t, "failed"),
					})
				}
				out = c.Receive(now, from, p)
			}
			for _, o := range out {
				if len(o.Reports) > capacity(len(o.Updates)) {
					t.Fatalf("%d items beside %d updates", len(o.Reports), len(o.Updates))
				}
			}
			for _, e := range c.Effects() {
				if e.Endpoint == 1 {
					t.Fatalf("%+v of one that answers", e)
				}
			}
			if len(c.pending) > len(c.endpoints) || len(c.suspected) > len(c.endpoints) || len(c.toAssess) > len(c.endpoints)+1 {
				t.Fatalf("%d pending, %d suspected, %d to assess of %d endpoints", len(c.pending), len(c.suspected), len(c.toAssess), len(c.endpoints))
			}
			for _, o := range c.pending {
				if len(o.report.recipients) > s.MaxRecipients {
					t.Fatalf("%d recipients, %d at most", len(o.report.recipients), s.MaxRecipients)
				}
			}
		}
	})
}

// BenchmarkSpread: how soon the nodes that did not call know of an outage that a third of them met, with 5%
// loss, and what that costs; seconds of virtual time.
func BenchmarkSpread(b *testing.B) {
	for _, size := range []int{10, 100, 1000} {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			for b.Loop() {
				w := newCluster(b, 11, size, 3)
				w.loss = 0.05
				var callers []membership.Peer
				for p := range membership.Peer(size) {
					if p%3 == 0 {
						callers = append(callers, p+1)
					}
				}
				w.down[1] = true
				start, sent := w.now, w.total
				w.peak = 0
				w.calls(1, 200*ms, 10*second, callers...)
				w.run(10 * second)
				var took []float64
				for p := range w.nodes {
					if !slices.Contains(callers, p) {
						at := 10.0
						if e := w.effects[p]; len(e) > 0 {
							at = (e[0].at - start).Seconds()
						}
						took = append(took, at)
					}
				}
				slices.Sort(took)
				b.ReportMetric(took[len(took)/2], "s/p50")
				b.ReportMetric(took[len(took)*99/100], "s/p99")
				b.ReportMetric(float64(w.total-sent)/float64(size)/10, "packets/node/s")
				b.ReportMetric(float64(w.peak), "peak/s")
			}
		})
	}
}

// Each report is sent twice: with every fifth datagram lost all nodes still learn of an outage whose callers then
// stop calling.
func TestLossIsMadeUpFor(t *testing.T) {
	w := newCluster(t, 6, 10, 2)
	w.loss = 0.2
	w.down[1] = true
	w.calls(1, 200*ms, 400*ms, 1, 2, 3, 4)
	w.run(5 * second)
	for p := range membership.Peer(6) {
		if e := w.effects[p+5]; len(e) != 1 || !e[0].Down {
			t.Errorf("node %d: %v", p+5, e)
		}
	}
}

// A tier that is cut in two for 30 s while a partner is out and comes back: each half knows what its own callers
// saw, nobody believes that the partner is down once it is back, and after the partition they share the next outage.
func TestCutWhileAPartnerReturns(t *testing.T) {
	w := newCluster(t, 7, 10, 2)
	half := func(p membership.Peer) bool { return p <= 5 }
	w.down[1] = true
	w.calls(1, 300*ms, 10*second, 1, 2, 3, 6, 7, 8)
	w.run(5 * second)
	w.cut = func(a, b membership.Peer) bool { return half(a) != half(b) }
	w.run(10 * second)
	w.down[1] = false
	w.calls(1, 300*ms, 20*second, 1)
	w.run(20 * second)
	for p, n := range w.nodes {
		if len(n.Suspected()) != 0 {
			t.Errorf("node %d suspects %v that has been back for 20 s", p, n.Suspected())
		}
		last := w.effects[p][len(w.effects[p])-1]
		if recovered := !last.Down; half(p) && p != 1 && !recovered {
			t.Errorf("node %d, beside one that saw it answer, was told %v", p, w.effects[p])
		}
	}
	w.cut = nil
	for from := w.now; !w.agree(); w.run(ticks) {
		if w.now-from > 2*time.Minute {
			t.Fatal("the halves never met again")
		}
	}
	clear(w.effects)
	w.down[1] = true
	w.calls(1, 300*ms, 4*second, 1, 2, 3, 6, 7, 8)
	w.run(4 * second)
	for p := range w.nodes {
		if e := w.effects[p]; len(e) == 0 || !e[0].Down {
			t.Errorf("node %d: %v", p, e)
		}
	}
}

// All ten restart within a second: they know each other again, and share the next outage.
func TestAllRestart(t *testing.T) {
	w := newCluster(t, 8, 10, 2)
	for _, p := range w.names {
		w.start(p, 300)
		w.run(100 * ms)
	}
	start := w.now
	for !w.agree() {
		if w.now-start > time.Minute {
			t.Fatal("they never knew each other again")
		}
		w.run(ticks)
	}
	t.Logf("all know all %v after the last had started", w.now-start)
	w.down[1] = true
	w.calls(1, 300*ms, 4*second, 1, 2, 3, 4)
	w.run(5 * second)
	for _, p := range w.names[4:] {
		if e := w.effects[p]; len(e) == 0 || !e[0].Down {
			t.Errorf("node %d: %v", p, e)
		}
	}
}

// A peer that restarts every second disturbs no other: the others stay known to all, nothing is reported of partners, and
// the limit is kept.
func TestFlappingPeer(t *testing.T) {
	w := newCluster(t, 9, 10, 2)
	w.calls(1, 500*ms, 60*second, 1, 2, 3)
	w.peak = 0
	for i := range 60 {
		w.start(10, uint64(2+i))
		w.run(second)
		for p, n := range w.nodes {
			if known := len(n.Members().Present()); p != 10 && known < 8 {
				t.Fatalf("after %d restarts node %d knows %d others", i+1, p, known)
			}
		}
	}
	if len(w.effects) > 0 || w.peak > membership.Defaults(1).Datagrams+1 { // a second of one incarnation and of the next one
		t.Errorf("effects %v, %d packets in a second", w.effects, w.peak)
	}
	w.run(5 * second)
	if !w.agree() {
		t.Error("once it stays it is not known to all")
	}
}
