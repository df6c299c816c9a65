package reference

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// This file holds what a sender remembers and the plain handling of it. It
// decides nothing: see policy.go.

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
	ordered   []*destination // in order of first mention; maps are never ranged over
	messages  map[MessageID]*message
	open      []*message // not ended, in order of arrival
	arrivals  int
	turns     map[uint64]*turn

	subscribed  bool // changes to the list come, or the answer is on its way
	subscribeAt Time // when to ask again

	started  Time          // the first step
	smallCut float64       // so many cuts take a slice of one call to one call for all senders
	usual    float64       // mean latency of calls in seconds
	heardAt  Time          // when the last note came
	toldAt   Time          // when the last note was told
	longest  time.Duration // the longest time that a message may wait
	sweepAt  Time          // when to look again for what can be let go of
	look     int           // numbers the looks at all messages, each before one send
	doubtAt  int           // the look in which doubts were counted
	doubts   int
	inFlight int     // calls out
	share    int     // of the slots that each destination has at least, in this step
	pace     float64 // how much slower than their own estimates all destinations answer of late
}

// New returns a sender that knows nothing but its settings. All its randomness
// comes from seed.
func New(settings Settings, seed uint64) *Sender {
	settings.Senders = max(settings.Senders, 1)
	settings.Slots = max(settings.Slots, 1)
	longest := settings.FallWindow
	for _, c := range settings.Classes {
		longest = max(longest, c.Deadline)
	}
	return &Sender{
		longest: longest, set: settings, smallCut: math.Pow(float64(settings.Senders), -1.0/smallCuts),
		rng: rand.New(rand.NewPCG(seed, seed^0x9e3779b97f4a7c15)), pace: 1, usual: firstLatency.Seconds(),
		endpoints: map[EndpointID]*endpoint{}, tags: map[Tag]*endpoint{}, dests: map[int]*destination{},
		messages: map[MessageID]*message{}, turns: map[uint64]*turn{},
	}
}

// sendLog is one sliding window of send times.
type sendLog struct {
	window time.Duration
	times  []Time
}

// only keeps one entry, for a log that is asked for its last one alone.
func (l *sendLog) only(now Time) { l.times = append(l.times[:0], now) }

// count drops the entries that are a window old and tells how many are left.
// The last one is kept beside the count, for a window that stretches later.
func (l *sendLog) count(now Time) int {
	stale := 0
	for stale < len(l.times) && now-l.times[stale] >= l.window {
		stale++
	}
	n := len(l.times) - stale
	if n == 0 && stale > 0 {
		stale--
	}
	l.times = append(l.times[:0], l.times[stale:]...)
	return n
}

func (l *sendLog) record(now Time) { l.times = append(l.times, now) }

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

	calls    []*call // out, oldest first
	lastSent Time
	lastOK   Time
	score    float64 // failure score
	suspect  bool    // its last outcome was a failure
	out      bool    // an outage is on
	since    Time    // when the outage was noticed
	lead     bool    // this sender told the others of it
	timeouts int     // time-outs in a row
	broken   bool    // an error, a refusal or no connection came since its last success
	fullRun  int     // fulls in a row, of calls sent after the one before was heard
	fullAt   Time    // when the last full was heard
	warming  bool    // back from an outage
	warmFrom Time    // when it was first seen back
	cold     sendLog // calls, while it may be cold
	phase    float64 // drawn with each call: how long a stretched window is, about 1
	troubled Time    // when it was first seen or heard to fail since it was sound, or 0
}

// path is what shares one limit: a destination, or a route where routes are
// apart.
type path struct {
	dest      *destination
	jamAt     Time          // when fulls were last told or heard of
	jamFor    time.Duration // the span for which the logs closed then
	kind      Kind
	fee       float64
	endpoints []*endpoint

	narrow, wide sendLog
	passed       sendLog // successes within the narrow window
	peak         int     // the most of them that there ever were
	passes       int     // successes so far
	most         int     // the most endpoints that were ready at a time
	slice        float64 // calls in a narrow window; infinite while unbound
	beforeRun    float64 // the slice before the fulls in a row of late, or 0
	listed       float64 // listed part of this sender in calls a second, or 0
	sureRate     float64 // the least that listed may mean
	closedUntil  Time    // told wait or pause
	nextTrial    Time    // during an outage
	latency      time.Duration
	deviation    time.Duration // mean distance of an answer from latency
	baseline     time.Duration
}

// destination has the held messages of its paths.
type destination struct {
	number int
	paths  []*path
	queue  []*message // held, in order of arrival
	owed   int        // messages that are not forgotten
	goneAt Time       // when its last endpoint was let go of

	// What was found in a look at all messages; see hasWay.
	roomAt int
	room   bool
}

// message is one message from its arrival until it has ended and no attempt
// at it is out.
type message struct {
	id       MessageID
	number   int // in the order of arrival
	class    *Class
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

// older tells which of two messages was handed in first.
func (m *message) older(o *message) bool {
	return m.born < o.born || m.born == o.born && m.number < o.number
}

// turn is the line of messages of one key.
type turn struct {
	line      []*message
	restUntil Time
}

// outSince tells whether all endpoints of a path are out, and from when.
func (p *path) outSince() (Time, bool) {
	from, any := Time(0), false
	for _, e := range p.endpoints {
		if e.state != Ready {
			continue
		}
		if !e.out {
			return 0, false
		}
		from, any = max(from, e.since), true
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
	m.dest.queue = remove(m.dest.queue, m)
}

func (p *path) inFlight() int {
	n := 0
	for _, e := range p.endpoints {
		n += len(e.calls)
	}
	return n
}

// trouble keeps the first time at which an endpoint was seen or heard to fail.
func (e *endpoint) trouble(now Time) {
	if e.troubled == 0 {
		e.troubled = now
	}
}

// counted takes a note that all hear at once as a call, for a time that differs.
func (s *Sender) counted(e *endpoint) {
	e.phase = s.rng.Float64()
	e.cold.only(s.now)
}

func (p *path) readyEndpoints() int {
	n := 0
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
		d = &destination{number: n, goneAt: s.now}
		s.dests[n] = d
		s.ordered = append(s.ordered, d)
	}
	return d
}

// end takes a message that has its final answer out of everything but the
// attempt that may still be out.
func (s *Sender) end(m *message) {
	m.ended = true
	s.open = remove(s.open, m)
	m.dest.queue = remove(m.dest.queue, m)
	if m.call == nil {
		s.forget(m)
	}
}

func (s *Sender) forget(m *message) {
	delete(s.messages, m.id)
	m.dest.owed--
	if m.turn != nil {
		m.turn.line = remove(m.turn.line, m)
	}
}

// jitter is a random span below d.
func (s *Sender) jitter(d time.Duration) time.Duration {
	if d <= 0 {
		return 0
	}
	return time.Duration(s.rng.Int64N(int64(d)))
}

// remove takes the first x out of a slice, in place.
func remove[T comparable](list []T, x T) []T {
	for i, v := range list {
		if v == x {
			return append(list[:i], list[i+1:]...)
		}
	}
	return list
}

func (s *Sender) listed(l Listed) {
	named := map[EndpointID]bool{}
	for _, entry := range l.Entries {
		named[entry.Endpoint] = true
		e := s.endpoints[entry.Endpoint]
		if e == nil {
			if entry.State != Ready {
				// Its grace may have run before it was let go of, or in an earlier life.
				continue
			}
			e = s.addEndpoint(entry)
		}
		s.setState(e, entry.State)
	}
	if !l.Whole {
		return
	}
	for _, d := range s.ordered {
		for _, p := range d.paths {
			for _, e := range p.endpoints {
				if !named[e.id] {
					s.setState(e, Gone)
				}
			}
		}
	}
}

// letGo forgets endpoints that are gone. Each is kept while a call is out to it, and
// for the longest time that a message may wait: until then a new endpoint beside it
// may be the cold replacement of one that was out. With the last endpoint of a route
// apart goes its path; a shared path stays with its destination, which goes when it
// has had no endpoint and no message for as long again as its logs may look back.
func (s *Sender) letGo() {
	if s.now < s.sweepAt {
		return
	}
	s.sweepAt = s.now + sweepGap
	left := func(e *endpoint) bool {
		gone := e.state == Gone && len(e.calls) == 0 && s.now-e.told >= s.longest
		if gone {
			delete(s.endpoints, e.id)
			if t := tagOf(e.id); s.tags[t] == e {
				delete(s.tags, t)
			}
			e.path.dest.goneAt = s.now
		}
		return gone
	}
	for _, d := range s.ordered {
		for _, p := range d.paths {
			p.endpoints = slices.DeleteFunc(p.endpoints, left)
		}
		d.paths = slices.DeleteFunc(d.paths, func(p *path) bool { return p.kind.RoutesApart && len(p.endpoints) == 0 })
	}
	s.ordered = slices.DeleteFunc(s.ordered, func(d *destination) bool {
		listed := slices.ContainsFunc(d.paths, func(p *path) bool { return len(p.endpoints) > 0 })
		gone := !listed && d.owed == 0 && s.now-d.goneAt >= time.Duration(s.set.Senders)*2*wideWindow
		if gone {
			delete(s.dests, d.number)
		}
		return gone
	})
}

func (s *Sender) setState(e *endpoint, state EndpointState) {
	if state == Ready || e.state == Ready {
		e.told = s.now
	}
	e.state = state
	e.path.most = max(e.path.most, e.path.readyEndpoints())
}

func (s *Sender) arrived(a Arrived) {
	class := &s.set.Classes[a.Class]
	m := &message{id: a.Message, class: class, dest: s.destination(a.Destination),
		born: min(s.now, a.GiveUpAt-class.Deadline), giveUpAt: a.GiveUpAt,
		attempts: a.Past.Attempts, ran: a.Past.MayRun, settled: a.Past.MayRun,
		ranAt: a.Past.RanAt, ranZone: a.Past.RanZone}
	s.messages[m.id] = m
	s.arrivals++
	m.number = s.arrivals
	m.dest.owed++
	s.open = append(s.open, m)
	m.dest.queue = append(m.dest.queue, m)
	if class.Ordered && a.Key != 0 {
		if s.turns[a.Key] == nil {
			s.turns[a.Key] = &turn{}
		}
		m.turn = s.turns[a.Key]
		m.turn.line = append(m.turn.line, m)
	}
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
	s.tags[tagOf(e.id)] = e
	s.joined(e)
	return e
}

// worth is what a message of a class earns when it is delivered at an age.
func (s *Sender) worth(c *Class, age time.Duration) float64 {
	switch {
	case age >= c.Deadline:
		return 0
	case age <= c.SoftDeadline:
		return c.Value
	case s.set.HalvesLate:
		return c.Value * max(c.LateValue, math.Exp2(-float64(age-c.SoftDeadline)/float64(c.SoftDeadline)))
	}
	return c.Value * (1 - (1-c.LateValue)*float64(age-c.SoftDeadline)/float64(c.Deadline-c.SoftDeadline))
}

// warmth is the share of its capacity that a destination has again, at least.
func (s *Sender) warmth(from Time) float64 {
	if s.set.WarmUp <= 0 {
		return 1
	}
	cold := max(0.01, s.set.ColdShare)
	return min(1, cold+(1-cold)*float64(s.now-from)/float64(s.set.WarmUp))
}

// drawPhase spreads what senders that saw the same would do at the same time.
func (s *Sender) drawPhase() float64 {
	return 1 - stretchSpread + 2*stretchSpread*s.rng.Float64()
}

// tell sends a note where senders may, and tells whether it did.
func (s *Sender) tell(e *endpoint, news News) bool {
	may := s.mayTell()
	if may {
		s.toldAt = s.now
		s.out = append(s.out, Tell{Tag: tagOf(e.id), News: news})
	}
	return may
}

// doubtful counts the messages that are out to endpoints that are out, suspect or
// stalled. Within one look at all messages that does not change, so it is counted once.
func (s *Sender) doubtful() int {
	if s.doubtAt == s.look {
		return s.doubts
	}
	s.doubtAt, s.doubts = s.look, 0
	for _, d := range s.ordered {
		for _, p := range d.paths {
			for _, e := range p.endpoints {
				if len(e.calls) == 0 || !e.out && !e.suspect && !s.stalled(e) {
					continue
				}
				for _, c := range e.calls {
					s.doubts += c.left
				}
			}
		}
	}
	return s.doubts
}

// hasWay tells whether a destination has room for one more call, counted once a look.
func (s *Sender) hasWay(d *destination) bool {
	if d.roomAt != s.look {
		d.roomAt, d.room = s.look, slices.ContainsFunc(d.paths, s.hasRoom)
	}
	return d.room
}

// tag spreads the ids of endpoints over the tags.
func tagOf(id EndpointID) Tag {
	return Tag(uint64(id) * 0x9e3779b97f4a7c15 >> (64 - TagBits))
}

// remembered takes over what an earlier life of the node saw of an endpoint: its
// calls count for the logs still, and one that failed last is out, or cold if it
// came back less than a warm-up ago, so that a restored backlog waits for a trial.
func (s *Sender) remembered(r Remembered) {
	e := s.endpoints[r.Endpoint]
	if e == nil {
		return
	}
	p := e.path
	for _, log := range []*sendLog{&p.narrow, &p.wide} {
		log.times = append(log.times, r.Sent...)
		slices.Sort(log.times)
		log.count(s.now)
	}
	switch {
	case !r.Failed:
	case !r.Back:
		e.out, e.suspect, e.broken, e.since, e.score = true, true, true, s.now, outScore
		e.trouble(r.FailedAt)
		p.nextTrial = max(p.nextTrial, s.now+s.trialGap(e))
	case s.warmth(r.BackAt) < 1:
		e.warming, e.warmFrom = true, r.BackAt
		e.trouble(r.FailedAt)
		e.cold.times = append(e.cold.times, r.Sent...)
		slices.Sort(e.cold.times)
	}
}

// returned takes an endpoint out of its outage.
func (s *Sender) returned(e *endpoint, news News) {
	e.out = false
	if news == BackCold {
		e.warming, e.warmFrom = true, s.now
	}
}
