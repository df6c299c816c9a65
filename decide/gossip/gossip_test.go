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
	ms           = time.Millisecond
	second       = time.Second
	ownZone      = 1
	tickInterval = 100 * ms
)

// capacity is the capacity of the wire format: 135 bytes for updates of 17 bytes and reports of 16 bytes.
func capacity(updates int) int { return (135 - 17*updates) / 16 }

// event is the arrival of a packet, a tick of a node, or the end of a call of a node.
type event struct {
	at       time.Duration
	seq      int             // order of events at the same time
	to, from membership.Peer // from is 0 for a tick
	call     evidence.Endpoint
	Packet
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, k int) bool {
	return e[i].at < e[k].at || e[i].at == e[k].at && e[i].seq < e[k].seq
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

// cluster simulates nodes on virtual time that call endpoints, of which some are down.
type cluster struct {
	rng            *rand.Rand
	now            time.Duration
	nodes          map[membership.Peer]*Core
	down           map[evidence.Endpoint]bool
	effects        map[membership.Peer][]effect
	queue          events
	nextSeq        int
	names          []membership.Peer
	endpoints      []evidence.Endpoint
	loss           float64
	partitioned    func(a, b membership.Peer) bool // nil if all nodes can reach each other
	sentThisSecond map[membership.Peer]int         // packets by node
	currentSecond  time.Duration
	maxPerSecond   int // packets of one node
	totalSent      int
}

func newCluster(tb testing.TB, seed uint64, size, endpoints int) *cluster {
	tb.Helper()
	tb.Logf("seed %d", seed)
	c := &cluster{
		rng: rand.New(rand.NewPCG(seed, 7)), nodes: map[membership.Peer]*Core{}, down: map[evidence.Endpoint]bool{},
		effects: map[membership.Peer][]effect{}, sentThisSecond: map[membership.Peer]int{},
	}
	var names []membership.Peer
	var ids []evidence.Endpoint
	for i := range size {
		names = append(names, membership.Peer(i+1))
	}
	for i := range endpoints {
		ids = append(ids, evidence.Endpoint(i+1))
	}
	c.names, c.endpoints = names, ids
	for _, p := range names {
		c.startNode(p, 1)
		c.push(event{at: time.Duration(c.rng.Int64N(int64(tickInterval))), to: p})
	}
	for from := c.now; !c.converged(); c.run(tickInterval) {
		if c.now-from > 10*time.Minute {
			tb.Fatal("nodes did not discover each other within 10 minutes")
		}
	}
	return c
}

// startNode starts a new process of a node.
func (c *cluster) startNode(p membership.Peer, inc uint64) {
	s := Defaults(p, ownZone, capacity, 1, 2, 3)
	s.Membership.Incarnation = inc
	c.nodes[p] = New(s, rand.New(rand.NewPCG(c.rng.Uint64(), 1)))
	c.nodes[p].SetNames(c.names)
	c.nodes[p].SetEndpoints(c.endpoints)
}

// converged reports whether every node considers all others present.
func (c *cluster) converged() bool {
	for _, n := range c.nodes {
		if len(n.Members().Present()) != len(c.nodes)-1 {
			return false
		}
	}
	return true
}

func (c *cluster) push(e event) {
	c.nextSeq++
	e.seq = c.nextSeq
	heap.Push(&c.queue, e)
}

// send counts packets and queues those that are not lost for delivery.
func (c *cluster) send(from membership.Peer, out []Outgoing) {
	if s := c.now.Truncate(second); s != c.currentSecond {
		c.currentSecond = s
		clear(c.sentThisSecond)
	}
	for _, o := range out {
		c.totalSent++
		c.sentThisSecond[from]++
		c.maxPerSecond = max(c.maxPerSecond, c.sentThisSecond[from])
		if c.rng.Float64() >= c.loss && (c.partitioned == nil || !c.partitioned(from, o.To)) {
			c.push(event{at: c.now + ms + time.Duration(c.rng.Int64N(int64(20*ms))), to: o.To, from: from, Packet: o.Packet})
		}
	}
}

// run advances the virtual time by d.
func (c *cluster) run(d time.Duration) {
	end := c.now + d
	for len(c.queue) > 0 && c.queue[0].at <= end {
		e := heap.Pop(&c.queue).(event)
		c.now = e.at
		n := c.nodes[e.to]
		switch {
		case n == nil:
		case e.call != 0:
			n.ObserveCall(c.now, e.call, c.now-10*ms, !c.down[e.call])
		case e.from == 0:
			c.send(e.to, n.Tick(c.now))
			for _, x := range n.Effects() {
				c.effects[e.to] = append(c.effects[e.to], effect{c.now, x})
			}
			c.push(event{at: c.now + tickInterval, to: e.to})
		default:
			c.send(e.to, n.Receive(c.now, e.from, e.Packet))
		}
	}
	c.now = end
}

// scheduleCalls schedules calls of nodes to an endpoint, one per interval, for a duration from now.
func (c *cluster) scheduleCalls(id evidence.Endpoint, interval, d time.Duration, by ...membership.Peer) {
	for _, p := range by {
		for at := time.Duration(c.rng.Int64N(int64(interval))); at < d; at += interval {
			c.push(event{at: c.now + at, to: p, call: id})
		}
	}
}

func (c *cluster) reportsSent() (n uint64) {
	for _, node := range c.nodes {
		n += node.Counts().Sent
	}
	return n
}

// Five of ten nodes call an endpoint that fails and later recovers. The five nodes that do not call it must receive
// both changes within 2.5 s, the recovery after a success of a single node, and no node sends reports while nothing
// changes.
func TestOutageAndRecoveryReachNodesWithoutCalls(t *testing.T) {
	c := newCluster(t, 1, 10, 3)
	callers, others := []membership.Peer{1, 2, 3, 4, 5}, []membership.Peer{6, 7, 8, 9, 10}
	c.scheduleCalls(1, 200*ms, 10*second, callers...)
	c.scheduleCalls(2, 200*ms, 40*second, callers...)
	c.run(10 * second)
	if n := c.reportsSent(); n != 0 {
		t.Errorf("sent %d reports without an outage, want 0", n)
	}
	c.down[1] = true
	start := c.now
	c.scheduleCalls(1, 200*ms, 10*second, callers...)
	c.run(10 * second)
	for _, p := range others {
		e := c.effects[p]
		if len(e) != 1 || e[0].Endpoint != 1 || !e[0].Down || e[0].ProbePause <= 0 || e[0].at-start > 2500*ms {
			t.Errorf("node %d: got effects %v, want one outage of endpoint 1 within 2.5s after %v", p, e, start)
		}
	}
	c.down[1] = false
	start = c.now
	c.scheduleCalls(1, 200*ms, 100*ms, 3) // one call
	c.run(5 * second)
	for p, n := range c.nodes {
		if p == 3 {
			continue
		}
		e := c.effects[p]
		last := e[len(e)-1]
		if last.Effect != (Effect{Endpoint: 1}) || last.at-start > 2500*ms || len(n.Suspected()) != 0 {
			t.Errorf("node %d: got effects %v and suspected endpoints %v, want a recovery of endpoint 1 within 2.5s after %v", p, e, n.Suspected(), start)
		}
	}
	if c.maxPerSecond > membership.Defaults(1).Datagrams {
		t.Errorf("got %d packets per second of one node, want at most %d", c.maxPerSecond, membership.Defaults(1).Datagrams)
	}
}

// Two of ten nodes report truthfully for a minute and then collude: they report a healthy endpoint as down, or a
// failed endpoint as recovered. The other nodes must not change their state of a healthy endpoint, whether they call
// it or not. A false recovery may cause at most two calls per node, which reduce the weights of the colluding nodes.
func TestTwoColludingPeersBelowQuorumChangeNothing(t *testing.T) {
	c := newCluster(t, 2, 10, 3)
	sendReports := func(failed int, ids ...evidence.Endpoint) {
		for p := range c.nodes {
			if p > 2 {
				for _, colluder := range []membership.Peer{1, 2} {
					for _, id := range ids {
						e := evidence.Report{Endpoint: id, Zone: ownZone, From: c.now - 10*ms, To: c.now, Calls: 50, Failed: 50 * failed}
						c.send(p, c.nodes[p].Receive(c.now, colluder, Packet{Packet: membership.Packet{Kind: membership.Gossip}, Reports: []evidence.Report{e}}))
					}
				}
			}
		}
	}
	c.scheduleCalls(1, 500*ms, 90*second, 3, 4, 5, 6)
	c.scheduleCalls(3, 500*ms, 90*second, 3, 4, 5, 6, 7, 8, 9, 10)
	for range 60 { // truthful reports increase their weights
		sendReports(0, 1, 3)
		c.run(second)
	}
	for range 100 {
		sendReports(1, 1, 2)
		c.run(100 * ms)
	}
	for p, e := range c.effects {
		t.Errorf("node %d: got effects %v from false reports of an outage, want none", p, e)
	}
	c.down[3] = true
	c.run(5 * second)
	clear(c.effects)
	for range 50 {
		sendReports(0, 3)
		c.run(100 * ms)
	}
	for p, e := range c.effects {
		if recoveries := slices.DeleteFunc(e, func(e effect) bool { return e.Down }); len(recoveries) > 2 {
			t.Errorf("node %d: got %d recoveries from false reports, want at most 2: %v; reputations %+v", p, len(recoveries), recoveries, c.nodes[p].Reputations(c.now)[:4])
		}
	}
}

// Reports from another availability zone arrive but cause no effects in this one.
func TestReportsFromOtherZoneHaveNoEffect(t *testing.T) {
	c := newCluster(t, 3, 8, 2)
	for p := range membership.Peer(4) {
		s := Defaults(p+1, ownZone+1, capacity, 5)
		s.Membership.Incarnation = 9
		c.nodes[p+1] = New(s, rand.New(rand.NewPCG(uint64(p), 3)))
		c.nodes[p+1].SetNames([]membership.Peer{1, 2, 3, 4, 5, 6, 7, 8})
		c.nodes[p+1].SetEndpoints([]evidence.Endpoint{1, 2})
	}
	c.down[1] = true
	c.scheduleCalls(1, 200*ms, 20*second, 1, 2, 3, 4)
	c.run(20 * second)
	for p := range membership.Peer(8) {
		if p+1 > 4 && len(c.effects[p+1]) > 0 {
			t.Errorf("node %d: got effects %v from reports of another zone, want none", p+1, c.effects[p+1])
		}
		if counts := c.nodes[p+1].Counts(); p+1 > 4 && counts.Received == 0 {
			t.Errorf("node %d received no reports: got counts %+v", p+1, counts)
		}
	}
}

// With 5,000 endpoints down at once, reports stay within the packet rate limit, and a node without calls still
// receives a quorum of reports for at least 50 of the endpoints.
func TestOutageOfFiveThousandEndpointsStaysWithinRateLimit(t *testing.T) {
	const endpoints = 5000
	c := newCluster(t, 4, 10, endpoints)
	for id := range evidence.Endpoint(endpoints) {
		c.down[id+1] = true
		c.scheduleCalls(id+1, 4*second, 20*second, 1, 2, 3, 4, 5, 6, 7, 8, 9)
	}
	c.run(20 * second)
	suspected := map[evidence.Endpoint]bool{}
	for _, e := range c.effects[10] {
		if e.Down {
			suspected[e.Endpoint] = true
		}
	}
	t.Logf("the node without calls suspected %d of %d endpoints within 20 s; %.1f packets per node and second", len(suspected), endpoints, float64(c.totalSent)/10/c.now.Seconds())
	if len(suspected) < 50 {
		t.Errorf("the node without calls suspected %d endpoints, want at least 50", len(suspected))
	}
	if c.maxPerSecond > membership.Defaults(1).Datagrams {
		t.Errorf("got %d packets per second of one node, want at most %d", c.maxPerSecond, membership.Defaults(1).Datagrams)
	}
}

// The simulation is deterministic: the same seed produces the same packets and effects.
func TestSameSeedProducesSameRun(t *testing.T) {
	simulate := func() string {
		c := newCluster(t, 5, 8, 4)
		c.loss = 0.1
		c.down[1] = true
		c.scheduleCalls(1, 300*ms, 10*second, 1, 2, 3, 4, 5, 6)
		c.run(10 * second)
		return fmt.Sprint(c.totalSent, c.nextSeq, c.effects)
	}
	if a, b := simulate(), simulate(); a != b {
		t.Errorf("got different runs with the same seed:\n%s\n%s", a, b)
	}
}

// For any sequence of calls and packets, a packet contains no more reports than fit, stored state is bounded, and
// peers' reports cause no effect for an endpoint to which this node's calls always succeed.
func TestAnyInputKeepsLimitsAndSucceedingEndpoint(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := Defaults(1, ownZone, capacity, 2)
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
			switch rapid.IntRange(0, 3).Draw(t, "step kind") {
			case 0:
				out = c.Tick(now)
			case 1:
				c.ObserveCall(now, evidence.Endpoint(rapid.IntRange(2, 13).Draw(t, "endpoint")), now, rapid.Bool().Draw(t, "succeeded"))
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
					t.Fatalf("got a packet with %d reports and %d updates, more than fit", len(o.Reports), len(o.Updates))
				}
			}
			for _, e := range c.Effects() {
				if e.Endpoint == 1 {
					t.Fatalf("got effect %+v for an endpoint to which all calls succeeded, want none", e)
				}
			}
			if len(c.pending) > len(c.endpoints) || len(c.suspected) > len(c.endpoints) || len(c.toAssess) > len(c.endpoints)+1 {
				t.Fatalf("got %d pending reports, %d suspected endpoints and %d to assess with %d endpoints, want no more than endpoints", len(c.pending), len(c.suspected), len(c.toAssess), len(c.endpoints))
			}
			for _, o := range c.pending {
				if len(o.report.recipients) > s.MaxRecipients {
					t.Fatalf("got a report with %d recipients, want at most %d", len(o.report.recipients), s.MaxRecipients)
				}
			}
		}
	})
}

// BenchmarkOutageDissemination measures how soon nodes without calls detect an outage that a third of the nodes
// observe, and the packets that this takes, with 5% packet loss, in seconds of virtual time.
func BenchmarkOutageDissemination(b *testing.B) {
	for _, size := range []int{10, 100, 1000} {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			for b.Loop() {
				c := newCluster(b, 11, size, 3)
				c.loss = 0.05
				var callers []membership.Peer
				for p := range membership.Peer(size) {
					if p%3 == 0 {
						callers = append(callers, p+1)
					}
				}
				c.down[1] = true
				start, sent := c.now, c.totalSent
				c.maxPerSecond = 0
				c.scheduleCalls(1, 200*ms, 10*second, callers...)
				c.run(10 * second)
				var detected []float64
				for p := range c.nodes {
					if !slices.Contains(callers, p) {
						at := 10.0
						if e := c.effects[p]; len(e) > 0 {
							at = (e[0].at - start).Seconds()
						}
						detected = append(detected, at)
					}
				}
				slices.Sort(detected)
				b.ReportMetric(detected[len(detected)/2], "s/p50")
				b.ReportMetric(detected[len(detected)*99/100], "s/p99")
				b.ReportMetric(float64(c.totalSent-sent)/float64(size)/10, "packets/node/s")
				b.ReportMetric(float64(c.maxPerSecond), "peak/s")
			}
		})
	}
}

// Datagrams can be lost, so reports are sent repeatedly. With a loss of 20%, every node still detects an outage whose
// callers stop calling after 400 ms.
func TestOutageReachesAllNodesUnderPacketLoss(t *testing.T) {
	c := newCluster(t, 6, 10, 2)
	c.loss = 0.2
	c.down[1] = true
	c.scheduleCalls(1, 200*ms, 400*ms, 1, 2, 3, 4)
	c.run(5 * second)
	for p := range membership.Peer(6) {
		if e := c.effects[p+5]; len(e) != 1 || !e[0].Down {
			t.Errorf("node %d: got effects %v, want one outage", p+5, e)
		}
	}
}

// The cluster is partitioned for 30 s while an endpoint fails and recovers. Each half acts on the observations of its
// own callers, no node suspects the endpoint after its recovery, and after the partition all nodes detect the next
// outage.
func TestNoSuspicionAfterRecoveryDuringPartition(t *testing.T) {
	c := newCluster(t, 7, 10, 2)
	half := func(p membership.Peer) bool { return p <= 5 }
	c.down[1] = true
	c.scheduleCalls(1, 300*ms, 10*second, 1, 2, 3, 6, 7, 8)
	c.run(5 * second)
	c.partitioned = func(a, b membership.Peer) bool { return half(a) != half(b) }
	c.run(10 * second)
	c.down[1] = false
	c.scheduleCalls(1, 300*ms, 20*second, 1)
	c.run(20 * second)
	for p, n := range c.nodes {
		if len(n.Suspected()) != 0 {
			t.Errorf("node %d suspects endpoints %v 20 s after their recovery", p, n.Suspected())
		}
		last := c.effects[p][len(c.effects[p])-1]
		if recovered := !last.Down; half(p) && p != 1 && !recovered {
			t.Errorf("node %d: got effects %v, want a recovery last, as a node in its half observed one", p, c.effects[p])
		}
	}
	c.partitioned = nil
	for from := c.now; !c.converged(); c.run(tickInterval) {
		if c.now-from > 2*time.Minute {
			t.Fatal("the halves did not merge within 2 minutes")
		}
	}
	clear(c.effects)
	c.down[1] = true
	c.scheduleCalls(1, 300*ms, 4*second, 1, 2, 3, 6, 7, 8)
	c.run(4 * second)
	for p := range c.nodes {
		if e := c.effects[p]; len(e) == 0 || !e[0].Down {
			t.Errorf("node %d: got effects %v, want an outage first", p, e)
		}
	}
}

// All ten nodes restart within a second. They discover each other again within a minute and detect the next outage.
func TestAllNodesRestartAndDetectNextOutage(t *testing.T) {
	c := newCluster(t, 8, 10, 2)
	for _, p := range c.names {
		c.startNode(p, 300)
		c.run(100 * ms)
	}
	start := c.now
	for !c.converged() {
		if c.now-start > time.Minute {
			t.Fatal("nodes did not discover each other within a minute after the restart")
		}
		c.run(tickInterval)
	}
	t.Logf("converged %v after the last start", c.now-start)
	c.down[1] = true
	c.scheduleCalls(1, 300*ms, 4*second, 1, 2, 3, 4)
	c.run(5 * second)
	for _, p := range c.names[4:] {
		if e := c.effects[p]; len(e) == 0 || !e[0].Down {
			t.Errorf("node %d: got effects %v, want an outage first", p, e)
		}
	}
}

// A node that restarts every second does not disturb the others: they remain members of each other's views, no
// effects occur, and the packet rate limit is met.
func TestRestartingNodeDoesNotDisturbOthers(t *testing.T) {
	c := newCluster(t, 9, 10, 2)
	c.scheduleCalls(1, 500*ms, 60*second, 1, 2, 3)
	c.maxPerSecond = 0
	for i := range 60 {
		c.startNode(10, uint64(2+i))
		c.run(second)
		for p, n := range c.nodes {
			if present := len(n.Members().Present()); p != 10 && present < 8 {
				t.Fatalf("after %d restarts node %d has %d other members, want at least 8", i+1, p, present)
			}
		}
	}
	if len(c.effects) > 0 || c.maxPerSecond > membership.Defaults(1).Datagrams+1 { // two incarnations may share a second
		t.Errorf("got effects %v and %d packets per second of one node, want no effects and at most the rate limit", c.effects, c.maxPerSecond)
	}
	c.run(5 * second)
	if !c.converged() {
		t.Error("the restarting node is not a member in all views 5 s after its last restart")
	}
}
