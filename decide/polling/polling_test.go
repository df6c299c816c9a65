package polling

import (
	"container/heap"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// For any number of nodes: a node that starts with an old list polls within 500 ms, a node whose call was rejected or
// timed out polls again within the propagation bound, and a response that is queued behind the calls of all nodes
// does not time out.
func TestDelaysAndTimeoutsKeepBounds(t *testing.T) {
	for _, nodes := range []int{math.MinInt, -1, 0, 1, 2, 3, 80, 300, 1100, 10_000, math.MaxInt} {
		s := Schedule{Nodes: nodes, Rand: rand.New(rand.NewPCG(1, 5))}
		for failures := range 200 {
			if delay := s.InitialDelay(); delay < 0 || delay > 500*time.Millisecond {
				t.Fatalf("%d nodes: got an initial delay of %v, want at most 500ms", nodes, delay)
			}
			for _, rejected := range []bool{false, true} {
				delay := s.NextDelay(failures-1, rejected)
				if delay < MinInterval {
					t.Fatalf("%d nodes: after %d failures got a delay of %v, want %v or more", nodes, failures, delay, MinInterval)
				}
				if age := delay + s.ChangeTimeout(1) + s.ResponseTimeout(1); rejected && age > PropagationBound || !rejected && max(s.ChangeTimeout(0)+s.ResponseTimeout(0), s.ListTimeout(0))+age > PropagationBound {
					t.Fatalf("%d nodes: after %d failures got a delay of %v, with which a change takes %v, more than the propagation bound allows", nodes, failures, delay, age)
				}
			}
		}
		if p := min(s.ResponseTimeout(1), s.ListTimeout(1)); nodes > 1 && p <= maxQueueTime {
			t.Errorf("%d nodes: got a response timeout of %v, want more than the %v that an overloaded directory takes", nodes, p, maxQueueTime)
		}
		if w := s.ChangeTimeout(0); w < time.Second {
			t.Errorf("%d nodes: got a change timeout of %v, want at least 1s", nodes, w)
		}
	}
}

// Regardless of the directory's state before a change and of how earlier calls end, every node receives the change
// within the propagation bound, and from an agent that serves only this node within the drain grace.
func TestChangeArrivesWithinPropagationBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := Schedule{
			Nodes: rapid.IntRange(1, 1100).Draw(t, "nodes"), Rand: rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 3)),
			DrainGrace: time.Duration(rapid.IntRange(500, 4000).Draw(t, "grace")) * time.Millisecond,
		}
		changed := time.Duration(rapid.IntRange(0, 30_000).Draw(t, "change")) * time.Millisecond
		took := time.Duration(rapid.IntRange(1, 2000).Draw(t, "took")) * time.Millisecond // response time
		if s.Nodes == 1 {
			took = min(took, 20*time.Millisecond)
		}
		// Endings of the calls that start before the change. The last of them is in progress at the change and its
		// response never arrives. unresponsive includes a response that arrives too slowly and a connection that is
		// not established.
		endings := rapid.SampledFrom([]condition{responding, rejecting, unresponsive})
		at, failures, ended := s.InitialDelay(), 0, time.Duration(-1)
		for at < changed {
			limit := s.ChangeTimeout(failures) + s.ResponseTimeout(failures)
			if rapid.Bool().Draw(t, "complete list") { // a node without a list
				limit = s.ListTimeout(failures)
			}
			rejected := false
			switch endings.Draw(t, "ending") {
			case responding: // the call waits for a change that does not occur
				if at+limit > changed { // a response would contain the change, so it is lost
					limit = s.ChangeTimeout(failures) + s.ResponseTimeout(failures)
					failures++
					break
				}
				limit, failures = min(limit, s.ChangeTimeout(failures)+took), 0
				at += limit + MinInterval
				continue
			case rejecting:
				limit, rejected = time.Millisecond, true
				failures++
			case unresponsive:
				failures++
			}
			ended = at + limit
			at = ended + s.NextDelay(failures, rejected)
		}
		received := at + took
		if received-changed > PropagationBound {
			t.Fatalf("%d nodes: the change arrived after %v; the last call ended at %v, the next began at %v, the change was at %v", s.Nodes, received-changed, ended, at, changed)
		}
		if s.Nodes == 1 && failures > 1 && received-changed > max(s.DrainGrace, 500*time.Millisecond) {
			t.Fatalf("the change from an agent arrived after %v, want within the drain grace of %v", received-changed, s.DrainGrace)
		}
	})
}

// directory simulates a directory that accepts calls at a rate. It rejects calls that would be queued for longer than
// maxQueueTime, which takes no capacity. A response that arrives after the node's timeout is wasted.
type directory struct {
	rate      float64
	busyUntil time.Duration                 // end of the queue of accepted calls
	state     func(time.Duration) condition // state at a time
}

type condition int

const (
	responding condition = iota
	rejecting
	unresponsive
)

// maxQueueTime is the maximum time that a call may be queued at a directory.
const maxQueueTime = 2 * time.Second

type poll struct {
	at       time.Duration
	node     int
	failures int
}

type polls []poll

func (a polls) Len() int           { return len(a) }
func (a polls) Less(i, j int) bool { return a[i].at < a[j].at }
func (a polls) Swap(i, j int)      { a[i], a[j] = a[j], a[i] }
func (a *polls) Push(x any)        { *a = append(*a, x.(poll)) }
func (a *polls) Pop() any          { o := *a; l := o[len(o)-1]; *a = o[:len(o)-1]; return l }

// simulate starts nodes at the same time and runs their polls until each has received a response. It returns the time
// of each node's response and the number of calls in each second.
func simulate(nodes int, seed uint64, d *directory, length time.Duration) (answered []time.Duration, calls []int) {
	answered, calls = make([]time.Duration, nodes), make([]int, int(length/time.Second)+1)
	s := Schedule{Nodes: nodes, Rand: rand.New(rand.NewPCG(seed, 9))}
	var due polls
	for n := range nodes {
		answered[n] = math.MaxInt64
		heap.Push(&due, poll{at: s.InitialDelay(), node: n})
	}
	for len(due) > 0 && due[0].at < length {
		a := heap.Pop(&due).(poll)
		calls[a.at/time.Second]++
		wait, rejected := time.Millisecond, true
		switch d.state(a.at) {
		case responding:
			if d.busyUntil = max(d.busyUntil, a.at); d.busyUntil-a.at > maxQueueTime {
				break
			}
			d.busyUntil += time.Duration(float64(time.Second) / d.rate)
			rejected = false
			if wait = d.busyUntil - a.at; wait <= s.ResponseTimeout(1) {
				answered[a.node] = a.at + wait
				continue
			}
			wait = s.ResponseTimeout(1)
		case unresponsive:
			wait, rejected = s.ResponseTimeout(1), false
		}
		a.failures++
		a.at += wait + s.NextDelay(a.failures, rejected)
		heap.Push(&due, a)
	}
	return answered, calls
}

// A directory with the capacity for one call per node in 2 to 8 s rejects all calls or does not respond for some
// time. Once it can respond, each of 1 to 1,100 nodes that started together must soon receive a response. The calls
// per second must not exceed what the propagation bound requires: a rejected node polls twice in 3.4 s, and a node
// without a response once in 2.8 s.
func TestFleetReceivesListsAfterDirectoryFault(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		nodes := rapid.IntRange(1, 1100).Draw(t, "nodes")
		spread := rapid.Float64Range(2, 8).Draw(t, "seconds for one call per node")
		fault := rapid.SampledFrom([]condition{rejecting, unresponsive}).Draw(t, "fault")
		until := time.Duration(rapid.IntRange(0, 20).Draw(t, "until")) * time.Second
		d := &directory{rate: max(2, float64(nodes)/spread), state: func(at time.Duration) condition {
			if at < until {
				return fault
			}
			return responding
		}}
		answered, calls := simulate(nodes, rapid.Uint64().Draw(t, "seed"), d, until+2*time.Minute)
		late := 0
		for n, at := range answered {
			if at == math.MaxInt64 {
				t.Fatalf("node %d: got no list within 2 minutes after the fault", n)
			}
			if at > until+2*MaxSpread {
				late++
			}
		}
		if late > nodes/50 {
			t.Errorf("got %d of %d nodes with a list later than %v after the directory could respond", late, nodes, 2*MaxSpread)
		}
		// Each node makes its first call in the first second, and nodes of fleets of up to 35 draw from shorter
		// ranges.
		for second, n := range calls {
			limit := 0.9*float64(nodes) + 10 + float64(min(nodes, 35))*4
			if second == 0 {
				limit += 0.6 * float64(nodes)
			}
			if float64(n) > limit {
				t.Errorf("%d nodes: got %d calls in second %d, want at most %.0f", nodes, n, second, limit)
			}
		}
	})
}
