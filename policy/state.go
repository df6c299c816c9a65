package policy

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"wingmount/decide/share"
	"wingmount/decide/terms"
	"wingmount/internal/estimate"
	"wingmount/internal/index"
)

// This file holds what a sender remembers and the plain handling of it. It decides nothing: see
// policy.go.

// sweepGap is how often a sender looks for what it can let go of.
const sweepGap = time.Second

// Sender decides for one node. It is not safe for concurrent use.
type Sender struct {
	set   Settings
	rng   *rand.Rand
	now   Time
	out   []Action
	armed Time // the earliest wake that was asked for, or 0

	endpoints map[EndpointID]*endpoint
	tags      map[Tag]*endpoint
	dests     map[int]*destination
	mentions  uint64 // destinations mentioned so far
	messages  map[MessageID]*message
	turns     map[uint64]*turn

	// What a step walks, so that it costs nothing for what is merely configured.
	queued   index.Ordered[*destination] // with messages in their queues, in order of first mention
	calling  index.Ordered[*endpoint]    // with calls out
	gone     index.Heap[*endpoint]       // listed as gone, by when they may be evicted
	unlisted index.Heap[*destination]    // without endpoints, by when they may be evicted

	worths   []estimate.Worth     // by class
	arrivals uint64               // messages so far
	waiting  int                  // those of them in the queues
	closing  index.Heap[*message] // those that are plain, by when they are not ready any more
	deadline index.Heap[*message] // those that have not ended, by giveUpAt
	oblivion index.Heap[*message] // those in the queues whose key is remembered until then
	hopeless []*message           // those that can't be sent any more; some may have ended

	subscribed  bool // changes to the list come, or the answer is on its way
	subscribeAt Time // when to ask again

	steps    int           // so far
	started  Time          // the first
	smallCut float64       // so many cuts take a slice of one call to one call for all senders
	usual    float64       // mean latency of calls in seconds
	heardAt  Time          // when the last note came
	toldAt   Time          // when the last note was told
	longest  time.Duration // the longest time that a message may wait
	sweepAt  Time          // when to look again for what can be let go of
	doubts   int           // see doubtful; counted once between sends, which alone change it in a step
	inFlight int           // calls out
	share    int           // of the slots that each destination has at least, in this step
	pace     float64       // how much slower than their own estimates all destinations answer of late
}

// New returns a sender that knows nothing but its settings. All its randomness comes from seed.
func New(settings Settings, seed uint64) *Sender {
	settings.Senders = max(settings.Senders, 1)
	settings.Slots = max(settings.Slots, 1)
	longest := settings.FallWindow
	var worths []estimate.Worth
	for _, c := range settings.Classes {
		longest = max(longest, c.Deadline)
		worths = append(worths, estimate.Worth{Aim: c.Aim, Deadline: c.Deadline, Full: c.Worth, Late: c.LateWorth, Halves: settings.HalvesLate})
	}
	return &Sender{
		longest: longest, worths: worths, set: settings, smallCut: math.Pow(float64(settings.Senders), -1.0/smallCuts),
		rng: rand.New(rand.NewPCG(seed, seed^0x9e3779b97f4a7c15)), pace: 1, usual: firstLatency.Seconds(),
		endpoints: map[EndpointID]*endpoint{}, tags: map[Tag]*endpoint{}, dests: map[int]*destination{},
		messages: map[MessageID]*message{}, turns: map[uint64]*turn{},
	}
}

// uncounted says that nobody has asked for the number of doubtful messages since the last send.
const uncounted = -1

// call is one call that is out: one message, or a bundle with one fate.
type call struct {
	endpoint *endpoint
	sent     Time
	size     int  // messages sent with it
	left     int  // messages without an outcome
	judged   bool // its outcome has been taken into the endpoint's health
}

// endpoint is one address of a destination.
type endpoint struct {
	id    EndpointID
	path  *path
	zone  int
	state EndpointState
	told  Time // when it was told to be draining or gone

	evicting bool // it is among Sender.gone

	calls    []*call // out, oldest first
	lastSent Time
	lastOK   Time
	score    float64      // failure score
	suspect  bool         // its last outcome was a failure
	out      bool         // an outage is on
	since    Time         // when the outage was noticed
	lead     bool         // this sender told the others of it
	timeouts int          // time-outs in a row
	broken   bool         // an error, a refusal or no connection came since its last success
	fullRun  int          // fulls in a row, of calls sent after the one before was heard
	fullAt   Time         // when the last full was heard
	warming  bool         // back from an outage
	warmFrom Time         // when it was first seen back
	cold     index.Window // calls, while it may be cold
	phase    float64      // drawn with each call: how long a stretched window is, about 1
	troubled Time         // when it was first seen or heard to fail since it was sound, or 0
	heat     share.Heat   // what it refuses, where parts of a limit are shared
}

// path is what shares one limit: a destination, or a route where routes are apart.
type path struct {
	dest      *destination
	jamAt     Time          // when fulls were last told or heard of
	jamFor    time.Duration // the span for which the logs closed then
	kind      Kind
	fee       float64
	endpoints []*endpoint
	inFlight  int // calls out

	narrow, wide index.Window
	taken        estimate.Rate // its successes
	most         int           // the most endpoints that were ready at a time
	part         *share.Part   // of a limit that many senders share, or nil
	phase        float64       // drawn with each call: how long a stretched window is, about 1
	slice        float64       // calls in a narrow window; infinite while unbound
	beforeRun    float64       // the slice before the fulls in a row of late, or 0
	listed       float64       // listed part of this sender in calls a second, or 0
	sureRate     float64       // the least that listed may mean
	closedUntil  Time          // told wait or pause
	nextTrial    Time          // during an outage
	unanswered   int           // time-outs since its last success
	latency      estimate.Latency
}

// destination has the held messages of its paths.
type destination struct {
	number   int
	paths    []*path
	inFlight int                   // calls out
	queue    index.Queue[*message] // held; plain are those that nothing but their age tells apart
	owed     int                   // messages that are not forgotten

	order  uint64                    // of first mention
	expiry *index.Item[*destination] // in Sender.unlisted, or nil while it has endpoints

	// What may come next of its messages in this step, the first before all others; see pickOf.
	rankedAt int // a step
	ranked   []pick
	worst    pick // see makeRoom
}

// message is one message from its arrival until it has ended and no attempt at it is out.
type message struct {
	id       MessageID
	held     index.Entry[*message] // in the queue
	due      index.Item[*message]
	forget   index.Item[*message]
	closes   index.Item[*message]
	class    *Class
	worth    *estimate.Worth
	dest     *destination
	born     Time // when it was first handed in
	giveUpAt Time
	turn     *turn

	attempts  int
	call      *call // the attempt that is out
	ended     bool
	ran       bool // an attempt may have run, or is out
	ranAt     Time // when the first such attempt was sent
	ranZone   int  // where it was sent
	settled   bool // some finished attempt may have run
	notBefore Time
	failedAt  *endpoint // the endpoint that failed it last
}

// turn is the line of messages of one key.
type turn struct {
	line      []*message
	restUntil Time
}

// outSince tells whether all endpoints of a path are out, and from when.
func (p *path) outSince() (from Time, any bool) {
	for _, e := range p.endpoints {
		if e.state == Ready && !e.out {
			return 0, false
		}
		if e.state == Ready {
			from, any = max(from, e.since), true
		}
	}
	return from, any
}

// take moves a message from its queue into a call.
func (s *Sender) take(m *message, c *call) {
	c.size++
	c.left++
	m.call = c
	m.attempts++
	if !m.ran {
		m.ran, m.ranAt, m.ranZone = true, s.now, c.endpoint.zone
	}
	s.dequeue(m)
}

// enqueue puts a message that has no attempt out into its queue.
func (s *Sender) enqueue(m *message) {
	if m.attempts > 0 || m.ran {
		m.dest.queue.MakeOdd(&m.held)
	}
	m.dest.queue.Add(&m.held)
	s.queued.Add(m.dest.order, m.dest)
	s.waiting++
	switch {
	case m.attempts >= s.set.MaxAttempts || m.ran && m.class.Repeat == AtMostOnce:
		s.hopeless = append(s.hopeless, m)
	case m.ran && m.class.Repeat == Deduplicated:
		s.oblivion.Set(&m.forget, int64(m.ranAt+m.class.Window))
	}
}

func (s *Sender) dequeue(m *message) {
	if m.dest.queue.Remove(&m.held) {
		s.waiting--
		s.oblivion.Remove(&m.forget)
		if m.dest.queue.Len() == 0 {
			s.queued.Remove(m.dest.order)
		}
	}
}

// returnCall takes a call that is over off its endpoint.
func (s *Sender) returnCall(c *call) {
	e := c.endpoint
	e.calls = slices.DeleteFunc(e.calls, func(o *call) bool { return o == c })
	if len(e.calls) == 0 {
		s.calling.Remove(uint64(e.id))
	}
	s.count(e.path, -1)
}

// count keeps the calls out.
func (s *Sender) count(p *path, n int) {
	s.inFlight, p.inFlight, p.dest.inFlight = s.inFlight+n, p.inFlight+n, p.dest.inFlight+n
}

// counted takes a note that all hear at once as a call, for a time that differs.
func (s *Sender) counted(e *endpoint) {
	e.phase = s.rng.Float64()
	e.cold.Only(s.now)
}

// sick tells that an endpoint refuses calls by itself: another behind the same limit takes them.
func (s *Sender) sick(e *endpoint) bool {
	coolest := math.Inf(1)
	for _, o := range e.path.endpoints {
		if o != e && o.state == Ready && !o.out {
			coolest = min(coolest, o.heat.Now(s.now))
		}
	}
	return e.path.part != nil && e.heat.Sick(s.now, coolest)
}

// refused takes in that an endpoint refused a call, of this sender or of one that told so.
func (s *Sender) refused(e *endpoint, alone bool) {
	if e.heat.Refused(s.now); !e.out && !s.sick(e) { // an outage's tell nothing of the limit
		e.path.part.Refused(s.now, alone)
	}
}

func (p *path) readyEndpoints() (n int) {
	for _, e := range p.endpoints {
		if e.state == Ready {
			n++
		}
	}
	return n
}

func (s *Sender) destination(n int) *destination {
	d := s.dests[n]
	if d == nil {
		d = &destination{number: n, order: s.mentions}
		s.mentions++
		s.dests[n] = d
		s.unlist(d)
	}
	return d
}

// unlist has a destination without endpoints evicted when its logs can't matter any more.
func (s *Sender) unlist(d *destination) {
	d.expiry = &index.Item[*destination]{Value: d}
	s.unlisted.Set(d.expiry, int64(s.now+time.Duration(s.set.Senders)*2*wideWindow))
}

// end takes a message that has its final answer out of everything but the attempt that may still be out.
func (s *Sender) end(m *message) {
	m.ended = true
	s.deadline.Remove(&m.due)
	s.closing.Remove(&m.closes)
	s.dequeue(m)
	if m.call == nil {
		s.forget(m)
	}
}

func (s *Sender) forget(m *message) {
	delete(s.messages, m.id)
	m.dest.owed--
	if m.turn != nil {
		m.turn.line = slices.DeleteFunc(m.turn.line, func(o *message) bool { return o == m })
	}
}

func (s *Sender) listed(l Listed) {
	named := map[EndpointID]bool{}
	for _, entry := range l.Entries {
		named[entry.Endpoint] = true
		e := s.endpoints[entry.Endpoint]
		if e == nil && entry.State == Ready { // the grace of others may have run, also in an earlier life
			e = s.addEndpoint(entry)
		}
		if e != nil {
			s.setState(e, entry.State)
		}
	}
	if !l.Whole {
		return
	}
	for id, e := range s.endpoints { // each by itself: the order of a map does not matter
		if !named[id] {
			s.setState(e, Gone)
		}
	}
}

// evict forgets endpoints that are gone. Each is kept while a call is out to it, and for the longest time
// that a message may wait: until then a new endpoint beside it may be the cold replacement of one that
// was out. With the last endpoint of a route apart goes its path; a shared path stays with its
// destination, which goes when it has had no endpoint and no message for as long again as its logs may
// look back.
func (s *Sender) evict() {
	if s.now < s.sweepAt {
		return
	}
	s.sweepAt = s.now + sweepGap
	s.gone.PopUntil(int64(s.now), s.evictEndpoint)
	s.unlisted.PopUntil(int64(s.now), func(d *destination) {
		if d.owed == 0 {
			delete(s.dests, d.number)
			return
		}
		s.unlisted.Set(d.expiry, int64(s.now+1)) // for the next sweep
	})
}

func (s *Sender) evictEndpoint(e *endpoint) {
	if e.evicting = e.state == Gone; !e.evicting {
		return // it came back
	}
	due := e.told + s.longest
	if due > s.now || len(e.calls) > 0 {
		s.gone.Set(&index.Item[*endpoint]{Value: e}, int64(max(due, s.now+1)))
		return
	}
	delete(s.endpoints, e.id)
	if t := terms.TagOf(e.id); s.tags[t] == e {
		delete(s.tags, t)
	}
	p, d := e.path, e.path.dest
	p.endpoints = slices.DeleteFunc(p.endpoints, func(o *endpoint) bool { return o == e })
	if len(p.endpoints) > 0 {
		return
	}
	if p.kind.RoutesApart {
		d.paths = slices.DeleteFunc(d.paths, func(o *path) bool { return o == p })
	}
	if !slices.ContainsFunc(d.paths, func(p *path) bool { return len(p.endpoints) > 0 }) {
		s.unlist(d)
	}
}

func (s *Sender) setState(e *endpoint, state EndpointState) {
	if state == Ready || e.state == Ready {
		e.told = s.now
	}
	if e.state = state; state == Gone && !e.evicting {
		e.evicting = true
		s.gone.Set(&index.Item[*endpoint]{Value: e}, int64(e.told+s.longest))
	}
	e.path.most = max(e.path.most, e.path.readyEndpoints())
}

func (s *Sender) arrived(a Arrived) {
	class := &s.set.Classes[a.Class]
	m := &message{id: a.Message, class: class, worth: &s.worths[a.Class], dest: s.destination(a.Destination),
		born: min(s.now, a.GiveUpAt-class.Deadline), giveUpAt: a.GiveUpAt,
		attempts: a.Past.Attempts, ran: a.Past.MayRun, settled: a.Past.MayRun,
		ranAt: a.Past.RanAt, ranZone: a.Past.RanZone}
	s.arrivals++
	m.due.Value, m.forget.Value, m.closes.Value = m, m, m
	m.held = index.Entry[*message]{Value: m, Class: a.Class, Born: int64(m.born), Number: s.arrivals}
	s.messages[m.id] = m
	m.dest.owed++
	s.deadline.Set(&m.due, int64(m.giveUpAt))
	if class.Ordered && a.Key != 0 {
		if s.turns[a.Key] == nil {
			s.turns[a.Key] = &turn{}
		}
		m.turn = s.turns[a.Key]
		m.turn.line = append(m.turn.line, m)
	}
	if m.held.Plain = m.turn == nil && m.attempts == 0 && !m.ran; m.held.Plain {
		s.closing.Set(&m.closes, int64(m.giveUpAt-3*s.set.Tick))
	}
	s.enqueue(m)
}

func (s *Sender) addEndpoint(entry Entry) *endpoint {
	d := s.destination(entry.Destination)
	kind := Kind{BundleMax: 1}
	if entry.Kind < len(s.set.Kinds) {
		kind = s.set.Kinds[entry.Kind]
	}
	var p *path
	if len(d.paths) > 0 && !kind.RoutesApart {
		p = d.paths[0]
	} else {
		p = s.newPath(d, kind, entry)
		d.paths = append(d.paths, p)
	}
	e := &endpoint{id: entry.Endpoint, path: p, zone: entry.Zone, state: Ready, phase: 1}
	p.endpoints = append(p.endpoints, e)
	s.endpoints[e.id] = e
	s.tags[terms.TagOf(e.id)] = e
	if d.expiry != nil {
		s.unlisted.Remove(d.expiry)
		d.expiry = nil
	}
	s.joined(e)
	return e
}

// warmth is the share of its capacity that a destination has again, at least.
func (s *Sender) warmth(from Time) float64 {
	return estimate.Warmth(s.now-from, s.set.WarmUp, max(0.01, s.set.ColdShare))
}

// drawPhase spreads what senders that saw the same would do at the same time.
func (s *Sender) drawPhase() float64 {
	return 1 - stretchSpread + 2*stretchSpread*s.rng.Float64()
}

// doubtful counts the messages that are out to endpoints that are out, suspect or stalled.
func (s *Sender) doubtful() (n int) {
	for _, e := range s.calling.Values() {
		if e.out || e.suspect || s.stalled(e) {
			for _, c := range e.calls {
				n += c.left
			}
		}
	}
	return n
}

// remembered takes over what an earlier life of the node saw of an endpoint: its calls count for the logs
// still, and one that failed last is out, or cold if it came back less than a warm-up ago, so that a
// restored backlog waits for a trial.
func (s *Sender) remembered(r Remembered) {
	e := s.endpoints[r.Endpoint]
	if e == nil {
		return
	}
	p := e.path
	for _, log := range []*index.Window{&p.narrow, &p.wide} {
		log.Add(r.Sent)
		log.Count(s.now)
	}
	switch {
	case !r.Failed:
	case !r.Back:
		e.out, e.suspect, e.broken, e.since, e.score = true, true, true, s.now, outScore
		e.troubled = cmp.Or(e.troubled, r.FailedAt)
		p.nextTrial = max(p.nextTrial, s.now+s.trialGap(e))
	case s.warmth(r.BackAt) < 1:
		e.warming, e.warmFrom = true, r.BackAt
		e.troubled = cmp.Or(e.troubled, r.FailedAt)
		e.cold.Add(r.Sent)
	}
}

// returned takes an endpoint out of its outage.
func (s *Sender) returned(e *endpoint, news News) {
	e.out = false
	if news == BackCold {
		e.warming, e.warmFrom = true, s.now
	}
}
