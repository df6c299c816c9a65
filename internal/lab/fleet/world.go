// Package fleet plays many decision modules on virtual time: hundreds of nodes that send to a few
// destinations with limits, outages and cold returns, while lists come late, notes get lost and nodes
// die and come back with what they kept. A checker beside it, written from the rules and not from the
// module, says which of them was broken. The same configuration and seed give the same play.
//
// It is for tests: no node imports it.
package fleet

import (
	"container/heap"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"wingmount/policy"
)

const (
	// start keeps the clock away from zero, which means 'never' to the module.
	start = policy.Time(time.Hour)
	// toldAfter is when a change of the list counts as told, heard or not.
	toldAfter = 6 * time.Second
	// kept is how long calls are remembered over a restart.
	kept = 12 * time.Second
	// asks is within what time a node hears what its agent has, when it starts or can hear it again.
	asks = 100 * time.Millisecond
	// maxPending bounds the events that wait; a play that needs more is cut off and says so.
	maxPending = 4_000_000
	// refusal is how long a call takes that is turned away.
	refusal = 10 * time.Millisecond
)

// Health is how an endpoint does.
type Health int

// The ways in which endpoints do.
const (
	Sound   Health = iota
	Down           // connections are refused
	Silent         // nothing comes back
	Failing        // all calls end with an error, and may have run
	Hung           // calls are answered, seconds late
)

// hangs is the mean time of an answer of one that is hung.
const hangs = 4 * time.Second

// Config is what is played.
type Config struct {
	Settings     policy.Settings // Senders is the number that the nodes are told
	Nodes        int
	Seed         uint64
	Destinations []Destination
	Weight       func(node int) float64 // a node's part of the traffic beside the others'; nil: all alike
	NotesLost    float64                // the share of notes that never arrive
	AnswersLost  float64                // the share of calls that run and break before their answer
	ListDelay    time.Duration          // a node hears of a change within so long
	Fault        Fault                  // for tests of the checker
}

// Fault is a lie between the world and the modules, to see that the checker finds what comes of it.
type Fault struct {
	Settings func(policy.Settings) policy.Settings
	Event    func(policy.Event) policy.Event // nil: it is not handed in
	Actions  func([]policy.Action) []policy.Action
	// Longest gives a call the longest time of its messages in place of the shortest.
	Longest bool
}

// Destination is one partner system.
type Destination struct {
	Limit     float64       // calls a second that it takes of all; refused calls use it up
	Depth     time.Duration // so much of the limit at once
	Listed    float64       // what the list says of the limit, 0 for nothing
	Capacity  float64       // calls a second that it bears when warm; 0: half more than the limit
	Endpoints int
	Took      time.Duration // the mean time of an answer
	Wait      time.Duration // told with each refusal, 0 for none
}

type destination struct {
	Destination
	tokens float64
	filled policy.Time
	ends   []*endpoint
}

type endpoint struct {
	id     policy.EndpointID
	dest   *destination
	zone   int
	state  policy.EndpointState
	health Health
	change policy.Time // of state
}

// message is one message, as the world sees it.
type message struct {
	id       policy.MessageID
	class    int
	dest     int
	key      uint64
	born     policy.Time
	giveUp   policy.Time
	attempts int
	mayRun   bool
	ranAt    policy.Time
	ranZone  int
	out      *call
	over     bool
	taken    int // its place in the order in which its node took messages
}

type call struct {
	end   *endpoint
	parts []*message
	at    policy.Time
}

// memory is what a node keeps of an endpoint.
type memory struct {
	sent             []policy.Time
	failed, back     bool
	failedAt, backAt policy.Time
}

type node struct {
	number   int
	sender   *policy.Sender
	life     int
	up       bool
	ready    policy.Time // when it last started
	owed     map[policy.MessageID]*message
	memories map[policy.EndpointID]*memory
	heard    map[policy.EndpointID]policy.EndpointState // the list as it had it last
	calls    []*call
	cut      bool // it hears no list and no note
}

// Counts are what happened since the last look.
type Counts struct {
	Taken, Calls, Refused, Delivered, Ended, Notes int
	Worth                                          float64
}

// World is a play.
type World struct {
	Check  *Check
	Counts Counts

	conf   Config
	rng    *rand.Rand // of the world
	load   *rand.Rand // of the clients, so that the same come whatever the world does
	now    policy.Time
	due    events
	number uint64
	nodes  []*node
	dests  []*destination
	ends   map[policy.EndpointID]*endpoint
	order  []*endpoint
	sums   []float64 // of weights
	last   policy.MessageID
	full   bool
}

type event struct {
	at     policy.Time
	number uint64
	do     func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].number < e[j].number
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	old := *e
	last := old[len(old)-1]
	*e = old[:len(old)-1]
	return last
}

// New returns a world whose nodes have all just started.
func New(c Config) *World {
	w := &World{conf: c, rng: rand.New(rand.NewPCG(c.Seed, 1)), load: rand.New(rand.NewPCG(c.Seed, 2)), now: start,
		ends: map[policy.EndpointID]*endpoint{}}
	w.Check = newCheck(c.Settings)
	for i, d := range c.Destinations {
		if d.Capacity == 0 {
			d.Capacity = 1.5 * d.Limit
		}
		o := &destination{Destination: d, tokens: d.Limit * d.Depth.Seconds(), filled: w.now}
		w.dests = append(w.dests, o)
		for range max(1, d.Endpoints) {
			w.join(i)
		}
	}
	sum := 0.0
	for i := range c.Nodes {
		weight := 1.0
		if c.Weight != nil {
			weight = c.Weight(i)
		}
		sum += weight
		w.sums = append(w.sums, sum)
		n := &node{number: i, owed: map[policy.MessageID]*message{}, memories: map[policy.EndpointID]*memory{},
			heard: map[policy.EndpointID]policy.EndpointState{}}
		w.nodes = append(w.nodes, n)
		for _, e := range w.order {
			n.heard[e.id] = e.state
		}
		w.Start(i)
	}
	return w
}

// join adds an endpoint to a destination, in a zone of its own.
func (w *World) join(dest int) *endpoint {
	d := w.dests[dest]
	e := &endpoint{id: policy.EndpointID(len(w.order) + 1), dest: d, zone: len(d.ends) % 2, state: policy.Ready, change: w.now}
	w.ends[e.id], w.order, d.ends = e, append(w.order, e), append(d.ends, e)
	return e
}

func (w *World) after(d time.Duration, do func()) {
	if len(w.due) >= maxPending {
		w.full = true
		return
	}
	w.number++
	heap.Push(&w.due, event{w.now + d, w.number, do})
}

// Run lets the world live for a time.
func (w *World) Run(d time.Duration) {
	until := w.now + d
	for len(w.due) > 0 && w.due[0].at <= until && !w.full {
		e := heap.Pop(&w.due).(event)
		w.now = max(w.now, e.at)
		e.do()
	}
	w.now = until
	if w.full {
		w.Check.broken("world", "more than %d events wait", maxPending)
	}
}

// Finish lets all messages come to their end.
func (w *World) Finish() {
	longest := time.Duration(0)
	for _, c := range w.conf.Settings.Classes {
		longest = max(longest, c.Deadline)
	}
	w.Run(longest + 2*time.Second)
	for _, n := range w.nodes {
		for _, m := range n.owed {
			w.Check.overdue(w.now, n, m)
		}
	}
}

// Look returns what happened since the last look.
func (w *World) Look() Counts {
	c := w.Counts
	w.Counts = Counts{}
	return c
}

// Offer has clients hand in so many messages a second for a destination, at any node that is up, during a
// time that begins now. They come in while the world runs.
func (w *World) Offer(dest int, rate float64, during time.Duration) {
	if rate <= 0 {
		return
	}
	for at := time.Duration(0); ; {
		if at += time.Duration(w.load.ExpFloat64() / rate * float64(time.Second)); at >= during {
			return
		}
		x, key := w.load.Float64(), w.load.Uint64N(50)+1
		w.after(at, func() { w.arrive(dest, x, key) })
	}
}

func (w *World) arrive(dest int, x float64, key uint64) {
	i, _ := slices.BinarySearch(w.sums, x*w.sums[len(w.sums)-1])
	for range w.nodes { // the front passes over nodes that are down
		if w.nodes[i%len(w.nodes)].up {
			break
		}
		i++
	}
	n := w.nodes[i%len(w.nodes)]
	if !n.up || w.conf.Settings.MaxHeld > 0 && len(n.owed) >= w.conf.Settings.MaxHeld {
		return // turned away before it is taken
	}
	w.last++
	m := &message{id: w.last, dest: dest, key: key, born: w.now, giveUp: w.now + w.conf.Settings.Classes[0].Deadline, taken: int(w.last)}
	n.owed[m.id] = m
	w.Counts.Taken++
	w.Check.takes(n, m)
	w.step(n, w.arrived(m))
}

func (w *World) arrived(m *message) policy.Arrived {
	a := policy.Arrived{Message: m.id, Destination: m.dest, Class: m.class, GiveUpAt: m.giveUp,
		Past: policy.Past{Attempts: m.attempts, MayRun: m.mayRun, RanZone: m.ranZone}}
	if m.mayRun {
		a.Past.RanAt = m.ranAt
	}
	if w.conf.Settings.Classes[m.class].Ordered {
		a.Key = m.key
	}
	return a
}

// step hands events to a node's module and does what it wants.
func (w *World) step(n *node, events ...policy.Event) {
	if !n.up {
		return
	}
	if f := w.conf.Fault.Event; f != nil {
		told := events[:0:0]
		for _, e := range events {
			if e = f(e); e != nil {
				told = append(told, e)
			}
		}
		events = told
	}
	actions := n.sender.Step(w.now, events, nil)
	if f := w.conf.Fault.Actions; f != nil {
		actions = f(actions)
	}
	var calls []*call
	open := map[policy.EndpointID]*call{}
	timeouts := map[*call]time.Duration{}
	for _, a := range actions {
		switch a := a.(type) {
		case policy.Wake:
			life := n.life
			w.after(max(a.At-w.now, w.conf.Settings.Tick), func() {
				if n.life == life {
					w.step(n, policy.Woken{})
				}
			})
		case policy.Tell:
			w.tell(n, a)
		case policy.Refuse:
			w.end(n, a.Message, true)
		case policy.Fail:
			w.end(n, a.Message, false)
		case policy.Send:
			e, m := w.ends[a.Endpoint], n.owed[a.Message]
			if e == nil || m == nil {
				w.Check.broken("dup", "node %d sends a message that it does not owe", n.number)
				continue
			}
			k := open[e.id]
			if k == nil || len(k.parts) >= w.conf.Settings.Kinds[0].BundleMax {
				k = &call{end: e, at: w.now}
				open[e.id], calls = k, append(calls, k)
			}
			w.Check.sends(w.now, n, m, e)
			m.attempts++
			if !m.mayRun {
				m.mayRun, m.ranAt, m.ranZone = true, w.now, e.zone
			}
			m.out = k
			k.parts = append(k.parts, m)
			if t, ok := timeouts[k]; !ok || (a.Timeout < t) != w.conf.Fault.Longest {
				timeouts[k] = a.Timeout // one fate
			}
		}
	}
	for _, k := range calls {
		w.call(n, k, timeouts[k])
	}
}

func (w *World) tell(n *node, t policy.Tell) {
	w.Counts.Notes++
	for _, o := range w.nodes {
		if o != n && o.up && !o.cut && !n.cut && w.rng.Float64() >= w.conf.NotesLost {
			life := o.life
			w.after(time.Millisecond+time.Duration(w.rng.Int64N(int64(34*time.Millisecond))), func() {
				if o.life == life && !o.cut {
					w.step(o, policy.Told{Tag: t.Tag, News: t.News})
				}
			})
		}
	}
}

func (w *World) end(n *node, id policy.MessageID, refused bool) {
	m := n.owed[id]
	if m == nil {
		w.Check.broken("lost", "node %d ends a message that it does not owe", n.number)
		return
	}
	w.Check.ends(w.now, n, m, refused)
	m.over = true
	w.Counts.Ended++
	if m.out == nil {
		delete(n.owed, id)
	}
}

// call carries out one call, and tells its node how it ended.
func (w *World) call(n *node, k *call, timeout time.Duration) {
	w.Counts.Calls++
	w.Check.calls(w.now, n, k.end)
	n.calls = append(n.calls, k)
	mem := n.memories[k.end.id]
	if mem == nil {
		mem = &memory{}
		n.memories[k.end.id] = mem
	}
	mem.sent = append(slices.DeleteFunc(mem.sent, func(t policy.Time) bool { return w.now-t > kept }), w.now)
	d := k.end.dest
	o := policy.Ended{Endpoint: k.end.id, Outcome: policy.Delivered, Final: true,
		Took: time.Duration(float64(d.Took) * (0.3 + 0.7*w.rng.ExpFloat64()))}
	d.tokens = min(d.Limit*d.Depth.Seconds(), d.tokens+d.Limit*(w.now-d.filled).Seconds())
	d.filled = w.now
	runs := true
	switch health := k.end.health; {
	case k.end.state == policy.Gone || health == Down:
		o.Outcome, o.Took, runs = policy.Unreachable, 2*time.Millisecond, false
	case health == Silent:
		o.Outcome, o.Took, runs = policy.TimedOut, timeout, false
	case health == Failing:
		o.Outcome = policy.Failed
	case k.end.state == policy.Draining || d.tokens < 1 || w.Check.cold(k.end).over(w.now):
		o.Outcome, o.Took, o.Wait, runs = policy.Full, refusal, d.Wait, false
		w.Counts.Refused++
		d.tokens = max(0, d.tokens-1)
	default:
		d.tokens--
		if health == Hung {
			o.Took = time.Duration(float64(hangs) * w.rng.ExpFloat64())
		}
		if w.rng.Float64() < w.conf.AnswersLost {
			o.Outcome = policy.Reset
		}
		if o.Took > timeout {
			o.Outcome, o.Took = policy.TimedOut, timeout
		}
	}
	o.Final = o.Outcome == policy.Delivered
	if runs {
		for _, m := range k.parts {
			w.Check.runs(w.now, m, k.end)
		}
	}
	life := n.life
	w.after(o.Took, func() {
		if n.life == life {
			w.ended(n, k, o)
		}
	})
}

func (w *World) ended(n *node, k *call, o policy.Ended) {
	n.calls = slices.DeleteFunc(n.calls, func(c *call) bool { return c == k })
	mem := n.memories[k.end.id]
	if o.Outcome == policy.Delivered {
		if mem.failed && !mem.back {
			mem.back, mem.backAt = true, w.now
		}
	} else if o.Outcome != policy.Full {
		mem.failed, mem.failedAt, mem.back = true, w.now, false
	}
	w.Check.outcome(w.now, n, k.end, o)
	w.Check.answers(n, k, o.Outcome)
	var events []policy.Event
	for _, m := range k.parts {
		m.out = nil
		w.Check.rests(w.now, n, m, o.Outcome)
		if o.Outcome == policy.Full || o.Outcome == policy.Unreachable {
			m.mayRun = m.ranAt < k.at // an earlier attempt may have run, this one did not
		}
		if o.Outcome == policy.Delivered && !m.over {
			m.over = true
			w.Counts.Delivered++
			w.Counts.Worth += w.worth(m)
		}
		if m.over {
			delete(n.owed, m.id)
		}
		part := o
		part.Message, part.Attempt = m.id, m.attempts-1
		part.Final = m.over
		events = append(events, part)
	}
	w.step(n, events...)
}

func (w *World) worth(m *message) float64 {
	c := w.conf.Settings.Classes[m.class]
	age := w.now - m.born
	switch {
	case age <= c.Aim:
		return c.Worth
	case age >= c.Deadline:
		return 0
	}
	return c.Worth * (1 - (1-c.LateWorth)*float64(age-c.Aim)/float64(c.Deadline-c.Aim))
}

// Kill ends a node at once: it keeps what it owes and what it knew of endpoints.
func (w *World) Kill(i int) {
	n := w.nodes[i]
	if !n.up {
		return
	}
	n.up = false
	n.life++
	w.Check.killed(n)
	for _, k := range n.calls {
		for _, m := range k.parts {
			m.out = nil // it may have run: it goes on record before it is sent
			if m.over {
				delete(n.owed, m.id)
			}
		}
	}
	n.calls = nil
}

// Start starts a node with what it kept.
func (w *World) Start(i int) {
	n := w.nodes[i]
	if n.up {
		return
	}
	n.up, n.ready = true, w.now
	set := w.conf.Settings
	if f := w.conf.Fault.Settings; f != nil {
		set = f(set)
	}
	n.sender = policy.New(set, w.conf.Seed<<32|uint64(n.life)<<16|uint64(i))
	list := policy.Listed{Whole: true}
	for _, e := range w.order {
		if s, ok := n.heard[e.id]; ok && s != policy.Gone {
			list.Entries = append(list.Entries, w.entry(e, s))
		}
	}
	events := []policy.Event{list}
	for _, e := range w.order {
		if m := n.memories[e.id]; m != nil {
			events = append(events, policy.Remembered{Endpoint: e.id, Sent: slices.Clone(m.sent), Failed: m.failed, FailedAt: m.failedAt, Back: m.back, BackAt: m.backAt})
		}
	}
	owed := make([]*message, 0, len(n.owed))
	for _, m := range n.owed {
		owed = append(owed, m)
	}
	slices.SortFunc(owed, func(a, b *message) int { return a.taken - b.taken })
	for _, m := range owed {
		events = append(events, w.arrived(m))
	}
	w.step(n, events...)
	w.hear(n, asks) // a node that starts asks its agent at once
}

func (w *World) entry(e *endpoint, s policy.EndpointState) policy.Entry {
	return policy.Entry{Endpoint: e.id, Destination: slices.Index(w.dests, e.dest), Zone: e.zone, State: s, Rate: e.dest.Listed}
}

// hear has a node hear the list as it is, within a time.
func (w *World) hear(n *node, within time.Duration) {
	life := n.life
	w.after(time.Duration(w.rng.Float64()*float64(within)), func() {
		if n.life != life || !n.up || n.cut {
			return
		}
		list := policy.Listed{}
		for _, e := range w.order {
			if n.heard[e.id] == e.state {
				continue
			}
			n.heard[e.id] = e.state
			list.Entries = append(list.Entries, w.entry(e, e.state))
			if e.state != policy.Ready {
				w.Check.told(w.now, n, e)
			}
		}
		if len(list.Entries) > 0 {
			w.step(n, list)
		}
	})
}

// changed tells all nodes of the list, and counts what they did not hear in time as told, but for those
// that are cut off: what a node can't hear it can't keep, but by sending nothing.
func (w *World) changed(e *endpoint) {
	e.change = w.now
	state := e.state
	for _, n := range w.nodes {
		w.hear(n, w.conf.ListDelay)
	}
	w.after(toldAfter, func() {
		for _, n := range w.nodes {
			if e.state == state && state != policy.Ready && !n.cut {
				w.Check.told(w.now, n, e)
			}
		}
	})
}

// Replace has an endpoint drain, go after a time, and another come in its place, cold.
func (w *World) Replace(dest, number int, after time.Duration) {
	old := w.dests[dest].ends[number]
	old.state = policy.Draining
	w.changed(old)
	w.changed(w.join(dest))
	w.after(after, func() {
		old.state = policy.Gone
		w.changed(old)
	})
}

// Cut keeps lists and notes from a node, or lets them through again.
func (w *World) Cut(i int, cut bool) {
	if w.nodes[i].cut = cut; !cut {
		w.hear(w.nodes[i], asks)
	}
}

// SetHealth has all endpoints of a destination do so from now on.
func (w *World) SetHealth(dest int, h Health) {
	d := w.dests[dest]
	for _, e := range d.ends {
		e.health = h
	}
	w.Check.health(w.now, d, h != Sound)
}

// SetLimit changes what a destination takes.
func (w *World) SetLimit(dest int, limit float64) { w.dests[dest].Limit = limit }

// Capacity is the sum of the limits, in calls a second.
func (w *World) Capacity() float64 {
	sum := 0.0
	for _, d := range w.dests {
		sum += d.Limit
	}
	return math.Max(sum, 0)
}
