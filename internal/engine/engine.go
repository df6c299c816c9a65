// Package engine owns the decision module: it hands in what has come, in the order in
// which it came, and carries out what the module wants. Nothing in it waits for a network
// or a disk: calls run in a carrier's goroutines, and final answers go on record and are
// told by a goroutine of its own.
package engine

import (
	"context"
	"fmt"
	"hash/fnv"
	"log/slog"
	"time"

	"wingmount/decide/admission"
	"wingmount/internal/carrier"
	"wingmount/internal/directory"
	"wingmount/internal/message"
	"wingmount/internal/store"
	"wingmount/policy"
)

// clockStart keeps the module's clock away from zero, which means 'never' to it.
const clockStart = time.Hour

// destinationTime is how long a destination without any endpoint stays one: its
// messages are held, and given up in their own time.
const destinationTime = 10 * time.Minute

// memoryTime is how long an endpoint of an earlier life may take to be listed again.
// What was known of it is too old to count then.
const memoryTime = time.Minute

// eventRoom is how many events may wait for the engine; who has one more waits.
const eventRoom = 4096

// Carrier makes calls. Each part of a call that is started gets one policy.Ended by
// [Engine.Post], whenever that is.
type Carrier interface {
	// Start makes a call, and does not wait.
	Start(ctx context.Context, k *carrier.Call)
	// CloseIdle closes the idle connections to an endpoint.
	CloseIdle(e *carrier.Endpoint)
	// Tidy is called about once a second.
	Tidy(now time.Time)
}

// Admission hears what becomes of messages, and which destinations there are. Neither call waits.
type Admission interface {
	// Observe tells what was sent and what has ended since it was last called, in order. The
	// slice is the admission's from then on.
	Observe(observations []admission.Seen)
	// SetDestinations tells the destinations that there are, and whether the directory has
	// told of them in this life of the node. The map is the admission's from then on.
	SetDestinations(dests map[int]bool, told bool)
}

// Teller tells final answers that are on record. Add does not wait.
type Teller interface{ Add(m *message.Message) }

// Recorder is told each step of the module. Step does not wait, and keeps nothing of the slices.
type Recorder interface {
	Step(now policy.Time, events []policy.Event, actions []policy.Action)
}

// Notes sends notes to the other nodes. Send does not wait.
type Notes interface{ Send(policy.Tell) }

// Peers hear what this node sees of endpoints, to share it. Neither call waits.
type Peers interface {
	// SetEndpoints tells the endpoints that the directory has, by their names. The map is theirs from then on.
	SetEndpoints(all map[policy.EndpointID]string)
	// Saw tells how a call ended that took so long: answered, or failed.
	Saw(id policy.EndpointID, took time.Duration, answered bool)
}

// Config is what an engine is told.
type Config struct {
	Settings     policy.Settings
	Seed         uint64
	Kinds, Zones map[string]int // the directory's words, as the module's numbers
	// AnswerTime is how long before its time is up a message is answered at the latest, beyond a
	// tick: for the record of its answer and the telling.
	AnswerTime time.Duration
	// Assigned says that destinations are assigned to nodes: this one makes no call without a share of the
	// destination's limit, see [Engine.SetShares].
	Assigned bool
}

// Parts is what an engine works with. Notes, Peers and Steps may be nil.
type Parts struct {
	Store     store.Store
	Carrier   Carrier
	Admission Admission
	Teller    Teller
	Notes     Notes
	Peers     Peers
	Steps     Recorder
	Memories  Memories // of earlier lives
	Log       *slog.Logger
}

// endpoint is one address of a destination, and what the engine knows of it.
type endpoint struct {
	carrier.Endpoint
	addr  string
	out   int       // sends without an outcome
	gone  bool      // the directory has it no more
	heard time.Time // when the last outcome came
	rate  float64   // listed
}

// destination is what the engine knows of a destination. One without any endpoint stays for
// destinationTime, and until a wait that was told is over.
type destination struct {
	present int // its endpoints
	listed  int // those of them that the directory has
	waits   *carrier.Gate
	since   time.Time // from when on none was listed
	// endpoints are those that are present, where destinations are assigned to nodes.
	endpoints []*endpoint
}

// Memories are what another node, or an earlier life, saw of endpoints, by their names. They
// are an event of [Engine.Post]; of an endpoint that this node has heard from since, or that is
// not listed, nothing is taken.
type Memories map[string]*store.Memory

// Engine owns the module: it hands in what has come, once a tick, and carries out what
// the module wants, in order. It waits for nothing else.
type Engine struct {
	Parts
	sender    *policy.Sender
	answers   time.Duration // Config.AnswerTime
	settings  policy.Settings
	kinds     map[string]int
	zones     map[string]int
	origin    time.Time
	events    chan any      // policy.Event, directory.List, Memories, shareUpdate or *message.Message
	done      chan struct{} // closed when the engine has ended
	quieted   chan struct{} // closed when no call is started any more
	held      map[policy.MessageID]*message.Message
	endpoints map[policy.EndpointID]*endpoint
	leaving   map[policy.EndpointID]*endpoint // those that are gone, until no call is out to them
	dests     map[int]*destination
	vacant    map[int]*destination // those without an endpoint that the directory has
	debug     bool                 // the log takes what is of each message and call
	told      bool                 // the directory has told the whole list
	changed   bool                 // the admission has not heard of all that told and dests say
	batch     []policy.Event
	seen      []admission.Seen // for the admission, at the end of the step
	actions   []policy.Action
	shares    shares
	quiet     bool // no call is started any more
	scribe    *scribe
}

// New returns an engine. Its parts are to be set by Use before Run.
func New(c Config) *Engine {
	return &Engine{sender: policy.New(c.Settings, c.Seed), answers: c.AnswerTime, settings: c.Settings, kinds: c.Kinds, zones: c.Zones,
		origin: time.Now(), events: make(chan any, eventRoom), done: make(chan struct{}), quieted: make(chan struct{}),
		held: map[policy.MessageID]*message.Message{}, endpoints: map[policy.EndpointID]*endpoint{},
		leaving: map[policy.EndpointID]*endpoint{}, dests: map[int]*destination{}, vacant: map[int]*destination{}, shares: newShares(c.Assigned)}
}

// Use sets the parts of an engine, which know its Post.
func (l *Engine) Use(p Parts) {
	l.Parts = p
	if l.debug = p.Log.Enabled(context.Background(), slog.LevelDebug); l.debug {
		l.Log.Debug("settings", "settings", fmt.Sprintf("%+v", l.settings))
	}
	l.scribe = newScribe(p.Store, p.Teller, p.Log)
}

func (l *Engine) now() policy.Time { return clockStart + time.Since(l.origin) }

// Post hands in an event: a policy.Event, a directory.List, Memories, or a *message.Message that
// the store has. It waits while too many are there, and does nothing once the engine has ended.
func (l *Engine) Post(e any) {
	select {
	case l.events <- e:
	case <-l.done:
	}
}

// Quieted is closed when no call is started any more.
func (l *Engine) Quieted() <-chan struct{} { return l.quieted }

// Run steps the module until the context ends. Once quiet ends no new call is
// started; outcomes are still taken in. When Run returns, the answers that the module
// gave are on record.
func (l *Engine) Run(ctx context.Context, quiet <-chan struct{}) {
	defer l.scribe.start()()
	defer close(l.done)
	timer := time.NewTimer(0)
	defer timer.Stop()
	reaper := time.NewTicker(time.Second)
	defer reaper.Stop()
	var last time.Time
	for {
		select {
		case <-ctx.Done():
			return
		case <-quiet:
			l.quiet, quiet = true, nil
			close(l.quieted)
			continue
		case now := <-reaper.C:
			l.Carrier.Tidy(now)
			l.letGo(now)
			continue
		case e := <-l.events:
			l.take(e)
		case <-timer.C:
			l.batch = append(l.batch, policy.Woken{})
		}
		// What comes within a tick is taken together.
		if rest := l.settings.Tick - time.Since(last); rest > 0 {
			time.Sleep(rest)
		}
		for more := true; more; {
			select {
			case e := <-l.events:
				l.take(e)
			default:
				more = false
			}
		}
		last = time.Now()
		if l.quiet {
			l.batch = l.batch[:0]
			l.tell()
			l.shares.followed()
			continue
		}
		if wake := l.step(ctx); wake > 0 {
			timer.Reset(wake - l.now())
		}
	}
}

// take turns what has come into an event of the module.
func (l *Engine) take(e any) {
	switch e := e.(type) {
	case *message.Message:
		l.held[e.Seq] = e
		if l.debug {
			l.Log.Debug("taken", "n", e.Seq, "dest", e.Dest, "left", time.Until(e.Deadline))
		}
		l.batch = append(l.batch, l.arrived(e))
	case directory.List:
		l.batch = append(l.batch, l.listed(e))
		if e.Fresh && !l.told {
			l.told, l.changed = true, true
		}
		l.publish()
		l.remind(l.Memories)
		l.share()
	case Memories:
		for name, m := range e {
			if o := l.endpoints[policy.EndpointID(hash(name))]; o != nil && !o.heard.Before(m.FailedAt) {
				delete(e, name)
			}
		}
		l.remind(e)
	case shareUpdate:
		l.applyShares(e)
	case policy.Ended:
		o := l.endpoints[e.Endpoint]
		if l.debug && o != nil {
			l.Log.Debug("outcome", "n", e.Message, "dest", o.Dest, "endpoint", o.Name, "outcome", e.Outcome, "wait", e.Wait, "took", e.Took)
		}
		if o != nil {
			o.out--
			o.heard = time.Now()
		}
		m := l.held[e.Message]
		if o != nil {
			l.seen = append(l.seen, admission.Seen{Kind: admission.Outcome, Dest: o.Dest, Outcome: e.Outcome, Wait: e.Wait, Took: e.Took})
			l.saw(e)
		}
		if e.Final {
			if m != nil {
				l.forget(m, e.Outcome == policy.Delivered)
				if m.End != nil && !m.End.Implied { // set by the store, where deliveries are told
					l.Teller.Add(m)
				}
			}
		}
		l.batch = append(l.batch, e)
	case policy.Event:
		l.batch = append(l.batch, e)
	}
}

// share tells peers which endpoints there are.
func (l *Engine) share() {
	if l.Peers == nil {
		return
	}
	all := make(map[policy.EndpointID]string, len(l.endpoints))
	for id, e := range l.endpoints {
		if !e.gone {
			all[id] = e.Name
		}
	}
	l.Peers.SetEndpoints(all)
}

// saw tells peers how a call ended, where that says something of the endpoint. One that was turned away as
// full, called off or never sent says nothing, and neither does a kept connection that broke.
func (l *Engine) saw(e policy.Ended) {
	if l.Peers == nil {
		return
	}
	switch e.Outcome {
	case policy.Delivered:
		l.Peers.Saw(e.Endpoint, e.Took, true)
	case policy.Failed, policy.TimedOut, policy.Unreachable:
		l.Peers.Saw(e.Endpoint, e.Took, false)
	case policy.Reset:
		if !e.Stale {
			l.Peers.Saw(e.Endpoint, e.Took, false)
		}
	}
}

func (l *Engine) arrived(m *message.Message) policy.Arrived {
	now, class := l.now(), l.settings.Classes[m.Class]
	a := policy.Arrived{Message: m.Seq, Destination: m.Dest, Class: m.Class, GiveUpAt: now + time.Until(m.Deadline) - l.answers}
	if p := m.Past; p.Attempts > 0 {
		a.Past = policy.Past{Attempts: p.Attempts, MayRun: p.MayRun, RanZone: p.RanZone}
		if p.MayRun {
			a.Past.RanAt = l.past(p.RanAt)
		}
	}
	if class.Repeat == policy.Deduplicated {
		m.Window = class.Window
	}
	if class.Ordered && m.Key != "" {
		a.Key = hash(m.Key) | 1
	}
	return a
}

func hash(s string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(s)) // never fails
	return h.Sum64()
}

// listed keeps the node's own table of endpoints and tells the module of it.
func (l *Engine) listed(in directory.List) policy.Listed {
	out := policy.Listed{Whole: in.Complete}
	named := map[policy.EndpointID]bool{}
	for _, m := range in.Members {
		// The same at all nodes, so that they can tell each other of it.
		id := policy.EndpointID(hash(m.ID))
		e := l.endpoints[id]
		var state policy.EndpointState
		switch m.Phase {
		case directory.Active:
			state = policy.Ready
		case directory.Leaving:
			state = policy.Draining
		case directory.Left:
			state = policy.Gone
		default:
			l.Log.Warn("discovery: unknown phase, nothing changes", "id", m.ID, "phase", m.Phase)
			if e != nil {
				// The module takes what a whole list leaves out for gone.
				state = policy.Ready
				if e.Leaves.Closing() {
					state = policy.Draining
				}
				named[id] = true
				e.rate = m.Size
				out.Entries = append(out.Entries, l.entry(e, state))
			}
			continue
		}
		if e == nil {
			if state != policy.Ready {
				// An earlier life may have been told that it drains, and the grace
				// may be over: one that is first heard of as leaving gets nothing.
				continue
			}
			kind, okKind := l.kinds[m.Flavor]
			zone, okZone := l.zones[m.Locality]
			if !okKind || !okZone || m.ID == "" || m.Cell < 0 {
				l.Log.Warn("discovery: an endpoint that makes no sense", "id", m.ID, "flavor", m.Flavor, "locality", m.Locality)
				continue
			}
			e = &endpoint{Endpoint: carrier.Endpoint{ID: id, Name: m.ID, Dest: m.Cell, Kind: kind, Zone: zone,
				Leaves: &carrier.Gate{}, Waits: &carrier.Gate{}}}
			d := l.destination(m.Cell)
			if kind >= len(l.settings.Kinds) || !l.settings.Kinds[kind].RoutesApart {
				e.Waits = d.waits
			}
			d.present++
			l.shares.attach(d, e)
			e.gone, l.endpoints[id], l.leaving[id] = true, e, e
		}
		if l.debug {
			l.Log.Debug("listed", "dest", e.Dest, "endpoint", e.Name, "kind", e.Kind, "zone", e.Zone, "phase", m.Phase, "rate", m.Size)
		}
		e.rate = m.Size
		if state != policy.Gone {
			e.addr = m.HostPort
		}
		named[id] = true
		l.setLeaving(e, state != policy.Ready)
		l.setGone(e, state == policy.Gone)
		out.Entries = append(out.Entries, l.entry(e, state))
	}
	if in.Complete {
		for id, e := range l.endpoints {
			if !named[id] {
				l.setLeaving(e, true)
				l.setGone(e, true)
			}
		}
	}
	return out
}

func (l *Engine) entry(e *endpoint, state policy.EndpointState) policy.Entry {
	return policy.Entry{Endpoint: e.ID, Destination: e.Dest, Kind: e.Kind, Zone: e.Zone, State: state, Rate: e.rate,
		Limit: l.shares.limit(e.Dest, e.rate)}
}

// remind tells the module what an earlier life saw of the endpoints that it has
// just been given: its backlog must not go to one that is out or cold, and the
// calls of late count for the limits still. What it tells is removed.
func (l *Engine) remind(memories Memories) {
	for name, m := range memories {
		id := policy.EndpointID(hash(name))
		if l.endpoints[id] == nil {
			continue
		}
		r := policy.Remembered{Endpoint: id}
		for _, at := range m.Sent {
			r.Sent = append(r.Sent, l.past(at))
		}
		if !m.FailedAt.IsZero() {
			r.Failed, r.FailedAt = true, l.past(m.FailedAt)
			if !m.BackAt.IsZero() {
				r.Back, r.BackAt = true, l.past(m.BackAt)
			}
		}
		l.batch = append(l.batch, r)
		delete(memories, name)
	}
}

// past turns a time of the wall clock into one of the module's.
func (l *Engine) past(t time.Time) policy.Time { return min(l.now(), l.now()-time.Since(t)) }

// destination finds or makes the entry of a destination.
func (l *Engine) destination(number int) *destination {
	d := l.dests[number]
	if d == nil {
		d = &destination{waits: &carrier.Gate{}, since: time.Now()}
		l.dests[number], l.vacant[number], l.changed = d, d, true
	}
	return d
}

// setGone notes whether the directory has an endpoint.
func (l *Engine) setGone(e *endpoint, gone bool) {
	if e.gone == gone {
		return
	}
	e.gone = gone
	d := l.dests[e.Dest]
	if !gone {
		delete(l.leaving, e.ID)
		delete(l.vacant, e.Dest)
		d.listed++
		return
	}
	l.leaving[e.ID] = e
	if d.listed--; d.listed == 0 {
		d.since = time.Now()
		l.vacant[e.Dest] = d
	}
}

// publish tells the admission which destinations there are, if that has changed: those that
// have an endpoint, or had one of late, since one may have none for a while.
func (l *Engine) publish() {
	if !l.changed {
		return
	}
	l.changed = false
	known := make(map[int]bool, len(l.dests))
	for d := range l.dests {
		known[d] = true
	}
	l.Admission.SetDestinations(known, l.told)
}

// letGo forgets the endpoints that are gone, with their connections, once no call is
// out to them; destinations without an endpoint, in time; and what an earlier life knew of
// endpoints that did not come back. It looks at what is gone alone.
func (l *Engine) letGo(now time.Time) {
	for id, e := range l.leaving {
		if e.out == 0 {
			l.Carrier.CloseIdle(&e.Endpoint)
			delete(l.endpoints, id)
			delete(l.leaving, id)
			l.dests[e.Dest].present--
			l.shares.detach(l.dests[e.Dest], e)
		}
	}
	for number, d := range l.vacant {
		if d.present == 0 && now.Sub(d.since) > destinationTime && d.waits.Open(now) {
			delete(l.dests, number)
			delete(l.vacant, number)
			l.changed = true
		}
	}
	l.publish()
	if now.Sub(l.origin) > memoryTime {
		clear(l.Memories)
	}
}

// setLeaving closes an endpoint's gate within the grace after it was first told to
// drain or to be gone, and after the module has ceased to send to it.
func (l *Engine) setLeaving(e *endpoint, leaves bool) {
	if !leaves {
		e.Leaves.Reopen()
	} else {
		e.Leaves.CloseFrom(time.Now().Add(l.settings.DrainGrace * 3 / 4))
	}
}

// step hands the batch to the module and carries out what it wants. It returns
// when the module wants to be woken, or 0.
func (l *Engine) step(ctx context.Context) (wake policy.Time) {
	now := l.now()
	l.actions = l.sender.Step(now, l.batch, l.actions[:0])
	if l.Steps != nil {
		l.Steps.Step(now, l.batch, l.actions)
	}
	clear(l.batch)
	l.batch = l.batch[:0]
	var calls []*carrier.Call
	open := map[policy.EndpointID]*carrier.Call{}
	for _, a := range l.actions {
		switch a := a.(type) {
		case policy.Send:
			// Sends of one step to one endpoint travel as one call.
			m, e := l.held[a.Message], l.endpoints[a.Endpoint]
			k := open[a.Endpoint]
			if k == nil || len(k.Parts) >= l.bundleMax(e) {
				k = &carrier.Call{Endpoint: &e.Endpoint, Addr: e.addr, Started: time.Now()}
				open[a.Endpoint] = k
				calls = append(calls, k)
			}
			e.out++
			l.seen = append(l.seen, admission.Seen{Kind: admission.Sent, Dest: e.Dest})
			k.Add(m, a.Timeout)
		case policy.Refuse:
			l.end(a.Message, message.Refused, a.Wait)
		case policy.Fail:
			l.end(a.Message, message.Failed, 0)
		case policy.CloseIdle:
			if e := l.endpoints[a.Endpoint]; e != nil {
				l.Carrier.CloseIdle(&e.Endpoint)
			}
		case policy.Tell:
			if l.Notes != nil {
				if l.debug {
					l.Log.Debug("note", "tag", a.Tag, "news", a.News)
				}
				l.Notes.Send(a)
			}
		case policy.Wake:
			wake = a.At
		}
	}
	for _, k := range calls {
		if l.debug {
			l.Log.Debug("call", "dest", k.Endpoint.Dest, "endpoint", k.Endpoint.Name, "messages", len(k.Parts))
		}
		l.Carrier.Start(ctx, k)
	}
	l.tell()
	l.shares.followed()
	return wake
}

func (l *Engine) bundleMax(e *endpoint) int {
	if e.Kind < len(l.settings.Kinds) {
		return l.settings.Kinds[e.Kind].BundleMax
	}
	return 1
}

// end gives a message its final answer: first on record, then to who tells it.
func (l *Engine) end(id policy.MessageID, kind message.Kind, wait time.Duration) {
	m := l.held[id]
	if m == nil {
		return
	}
	l.Log.Debug("ended", "id", m.ID, "n", m.Seq, "dest", m.Dest, "outcome", kind, "left", time.Until(m.Deadline))
	l.forget(m, false)
	l.scribe.add(store.Ending{Message: m, End: message.End{Kind: kind, RetryAfter: wait}})
}

func (l *Engine) forget(m *message.Message, delivered bool) {
	delete(l.held, m.Seq)
	l.seen = append(l.seen, admission.Seen{Kind: admission.Ended, Dest: m.Dest, Class: m.Class, ID: m.ID, Delivered: delivered})
}

// tell tells the admission what was seen since it was last told.
func (l *Engine) tell() {
	if len(l.seen) > 0 {
		l.Admission.Observe(l.seen)
		l.seen = nil
	}
}
