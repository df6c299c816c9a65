// Package engine owns the decision module: it hands in events in the order of their arrival, and carries
// out the actions that the module wants. Nothing in it waits for a network or a disk: calls run in a
// carrier's goroutines, and outcomes go on record and are announced by a goroutine of their own.
package engine

import (
	"context"
	"fmt"
	"hash/fnv"
	"log/slog"
	"math"
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

// destinationRetention is how long a destination without any endpoint is kept: its
// messages wait, and are given up when their own time is up.
const destinationRetention = 10 * time.Minute

// memoryRetention is how long an endpoint known to an earlier process may take to be listed again.
// What was known of it is too old to count then.
const memoryRetention = time.Minute

// eventCapacity is how many events may wait for the engine; a sender of one more waits.
const eventCapacity = 4096

// Carrier makes calls. Each part of a call that is started gets one policy.Ended by
// [Engine.Post], whenever that is.
type Carrier interface {
	// Start makes a call, and does not wait.
	Start(ctx context.Context, k *carrier.Call)
	// CloseIdle closes the idle connections to an endpoint.
	CloseIdle(e *carrier.Endpoint)
	// EvictIdle closes expired connections. It is called about once a second.
	EvictIdle(now time.Time)
}

// Admission observes what becomes of messages, and which destinations there are. Neither call waits.
type Admission interface {
	// Observe reports what was sent and what has ended since the last call, in order. The
	// slice is the admission's from then on.
	Observe(observations []admission.Seen)
	// SetDestinations sets which destinations there are, and whether the directory has
	// listed them all since this process started. The map is the admission's from then on.
	SetDestinations(destinations map[int]bool, complete bool)
	// RoundBegan and RoundEnded enclose each round of the engine, in which it takes in all events that have
	// come, steps the module, and carries out its actions.
	RoundBegan()
	RoundEnded()
}

// Notifier announces outcomes that are on record. Add does not wait.
type Notifier interface{ Add(m *message.Message) }

// Recorder records each step of the module. Step does not wait, and keeps nothing of the slices.
type Recorder interface {
	Step(now policy.Time, events []policy.Event, actions []policy.Action)
}

// PeerMessenger sends messages to the other nodes. Send does not wait.
type PeerMessenger interface{ Send(policy.Tell) }

// Peers are given what this node observes of endpoints, to share it. Neither call waits.
type Peers interface {
	// SetEndpoints sets the endpoints that the directory has, by their names. The map is theirs from then on.
	SetEndpoints(all map[policy.EndpointID]string)
	// Saw reports how a call ended that took so long: answered, or failed.
	Saw(id policy.EndpointID, took time.Duration, answered bool)
}

// Config is the configuration of an engine.
type Config struct {
	Settings     policy.Settings
	Seed         uint64
	Kinds, Zones map[string]int // the directory's words, as the module's numbers
	// AnswerTime is how long before its deadline a message has its outcome at the latest, beyond a
	// tick: time to record and announce it.
	AnswerTime time.Duration
	// Assigned says that destinations are assigned to nodes: this one makes no call without a share of the
	// destination's limit, see [Engine.SetShares].
	Assigned bool
}

// Parts are the collaborators of an engine. PeerMessages, Peers and Steps may be nil.
type Parts struct {
	Store        store.Store
	Carrier      Carrier
	Admission    Admission
	Notifier     Notifier
	PeerMessages PeerMessenger
	Peers        Peers
	Steps        Recorder
	Memories     Memories // of earlier processes
	Log          *slog.Logger
}

// trackedEndpoint is one address of a destination, and what the engine knows of it. It is kept small, as
// [carrier.Endpoint] is.
type trackedEndpoint struct {
	carrier.Endpoint
	addr        string
	lastOutcome policy.Time // when the last outcome came; 0 for never
	inFlight    int32       // sends without an outcome
	delisted    bool        // the directory has it no more
}

// trackedDestination is what the engine knows of a destination. One without any endpoint is kept for
// destinationRetention, and until a wait that it asked for is over.
type trackedDestination struct {
	endpoints int32 // that the engine tracks
	listed    int32 // those of them that the directory has
	waits     carrier.Gate
}

// vacantDestination is one without an endpoint that the directory has.
type vacantDestination struct {
	*trackedDestination
	since time.Time
}

// Memories are what another node, or an earlier process, observed of endpoints, by their names. They
// are an event of [Engine.Post]; of an endpoint that this node has had outcomes from since, or that is
// not listed, nothing is used.
type Memories map[string]*store.Memory

// Engine owns the module: it hands in the events, once a tick, and carries out its actions in order. It
// waits for nothing else.
type Engine struct {
	Parts
	sender       *policy.Sender
	answerTime   time.Duration // Config.AnswerTime
	settings     policy.Settings
	kinds        map[string]int
	zones        map[string]int
	origin       time.Time
	events       chan any      // policy.Event, directory.List, Memories, shareUpdate or *message.Message
	done         chan struct{} // closed when the engine has ended
	quiesced     chan struct{} // closed when no call is started any more
	messages     map[policy.MessageID]*message.Message
	endpoints    map[policy.EndpointID]*trackedEndpoint
	departing    map[policy.EndpointID]*trackedEndpoint // delisted ones, until no call is in flight to them
	destinations map[int]*trackedDestination
	vacant       map[int]vacantDestination
	debug        bool // the log takes what is of each message and call
	listComplete bool // the directory has sent the whole list
	// destinationsChanged is set while the admission has not been given all that listComplete and destinations say.
	destinationsChanged bool
	batch               []policy.Event
	observations        []admission.Seen // for the admission, at the end of the step
	actions             []policy.Action
	shares              shares
	quiet               bool // no call is started any more
	outcomes            *outcomeWriter
}

// New returns an engine. Its parts are to be set by Use before Run.
func New(c Config) *Engine {
	return &Engine{
		sender:       policy.New(c.Settings, c.Seed),
		answerTime:   c.AnswerTime,
		settings:     c.Settings,
		kinds:        c.Kinds,
		zones:        c.Zones,
		origin:       time.Now(),
		events:       make(chan any, eventCapacity),
		done:         make(chan struct{}),
		quiesced:     make(chan struct{}),
		messages:     map[policy.MessageID]*message.Message{},
		endpoints:    map[policy.EndpointID]*trackedEndpoint{},
		departing:    map[policy.EndpointID]*trackedEndpoint{},
		destinations: map[int]*trackedDestination{},
		vacant:       map[int]vacantDestination{},
		shares:       newShares(c.Assigned),
	}
}

// Use sets the parts of an engine, which know its Post.
func (e *Engine) Use(p Parts) {
	e.Parts = p
	if e.debug = p.Log.Enabled(context.Background(), slog.LevelDebug); e.debug {
		e.Log.Debug("settings", "settings", fmt.Sprintf("%+v", e.settings))
	}
	e.outcomes = newOutcomeWriter(p.Store, p.Notifier, p.Log)
}

func (e *Engine) now() policy.Time { return clockStart + time.Since(e.origin) }

// Post hands in an event: a policy.Event, a directory.List, Memories, or a *message.Message that
// the store has. It waits while too many are there, and does nothing once the engine has ended.
func (e *Engine) Post(event any) {
	select {
	case e.events <- event:
	case <-e.done:
	}
}

// Quiesced is closed when no call is started any more.
func (e *Engine) Quiesced() <-chan struct{} { return e.quiesced }

// Run steps the module until the context ends. Once quiet ends no new call is
// started; outcomes of calls are still handled. When Run returns, the outcomes that the module
// decided are on record.
func (e *Engine) Run(ctx context.Context, quiet <-chan struct{}) {
	defer e.outcomes.start()()
	defer close(e.done)
	timer := time.NewTimer(0)
	defer timer.Stop()
	evictions := time.NewTicker(time.Second)
	defer evictions.Stop()
	var last time.Time
	for {
		select {
		case <-ctx.Done():
			return
		case <-quiet:
			e.quiet, quiet = true, nil
			close(e.quiesced)
			continue
		case now := <-evictions.C:
			e.Carrier.EvictIdle(now)
			e.evict(now)
			continue
		case event := <-e.events:
			e.handle(event)
		case <-timer.C:
			e.batch = append(e.batch, policy.Woken{})
		}
		// Events within a tick are handled together.
		if rest := e.settings.Tick - time.Since(last); rest > 0 {
			time.Sleep(rest)
		}
		e.Admission.RoundBegan()
		e.drain()
		last = time.Now()
		wake := e.react(ctx)
		e.Admission.RoundEnded()
		if wake > 0 {
			timer.Reset(wake - e.now())
		}
	}
}

// drain handles all events that are there.
func (e *Engine) drain() {
	for {
		select {
		case event := <-e.events:
			e.handle(event)
		default:
			return
		}
	}
}

// react steps the module with what was handled, unless no call is started any more. It returns when the
// module wants to be woken, or 0.
func (e *Engine) react(ctx context.Context) (wake policy.Time) {
	if e.quiet {
		e.batch = e.batch[:0]
		e.reportObservations()
		e.shares.followed()
		return 0
	}
	return e.step(ctx)
}

// handle turns an event of the engine into one of the module.
func (e *Engine) handle(event any) {
	switch event := event.(type) {
	case *message.Message:
		e.messages[event.Seq] = event
		if e.debug {
			e.Log.Debug("taken", "n", event.Seq, "dest", event.Dest, "left", time.Until(event.Deadline))
		}
		e.batch = append(e.batch, e.arrival(event))
	case directory.List:
		e.batch = append(e.batch, e.applyList(event))
		if event.Fresh && !e.listComplete {
			e.listComplete, e.destinationsChanged = true, true
		}
		e.publishDestinations()
		e.restore(e.Memories)
		e.publishEndpoints()
	case Memories:
		for name, m := range event {
			if endpoint := e.endpoints[policy.EndpointID(hash(name))]; endpoint != nil && e.heardSince(endpoint, m.FailedAt) {
				delete(event, name)
			}
		}
		e.restore(event)
	case shareUpdate:
		e.applyShares(event)
	case policy.Ended:
		endpoint := e.endpoints[event.Endpoint]
		if e.debug && endpoint != nil {
			e.Log.Debug("outcome", "n", event.Message, "dest", endpoint.Dest, "endpoint", endpoint.Name, "outcome", event.Outcome, "wait", event.Wait, "took", event.Took)
		}
		if endpoint != nil {
			endpoint.inFlight--
			endpoint.lastOutcome = e.now()
		}
		m := e.messages[event.Message]
		if endpoint != nil {
			e.observations = append(e.observations, admission.Seen{Kind: admission.Outcome, Dest: endpoint.Dest, Outcome: event.Outcome, Wait: event.Wait, Took: event.Took})
			e.reportCall(event)
		}
		if event.Final {
			if m != nil {
				e.remove(m, event.Outcome == policy.Delivered)
				if m.End != nil && !m.End.Implied { // set by the store, where deliveries are announced
					e.Notifier.Add(m)
				}
			}
		}
		e.batch = append(e.batch, event)
	case policy.Event:
		e.batch = append(e.batch, event)
	}
}

// heardSince tells whether an endpoint had an outcome here at a time or later.
func (e *Engine) heardSince(endpoint *trackedEndpoint, at time.Time) bool {
	if at.IsZero() {
		return true
	}
	return endpoint.lastOutcome != 0 && endpoint.lastOutcome >= e.moduleTime(at)
}

// publishEndpoints tells peers which endpoints there are.
func (e *Engine) publishEndpoints() {
	if e.Peers == nil {
		return
	}
	all := make(map[policy.EndpointID]string, len(e.endpoints))
	for id, endpoint := range e.endpoints {
		if !endpoint.delisted {
			all[id] = endpoint.Name
		}
	}
	e.Peers.SetEndpoints(all)
}

// reportCall tells peers how a call ended, where that says something of the endpoint. One that was turned away as
// full, called off or never sent says nothing, and neither does a kept connection that broke.
func (e *Engine) reportCall(ended policy.Ended) {
	if e.Peers == nil {
		return
	}
	switch ended.Outcome {
	case policy.Delivered:
		e.Peers.Saw(ended.Endpoint, ended.Took, true)
	case policy.Failed, policy.TimedOut, policy.Unreachable:
		e.Peers.Saw(ended.Endpoint, ended.Took, false)
	case policy.Reset:
		if !ended.Stale {
			e.Peers.Saw(ended.Endpoint, ended.Took, false)
		}
	}
}

// arrival is the module's event for a message that the store has.
func (e *Engine) arrival(m *message.Message) policy.Arrived {
	now, class := e.now(), e.settings.Classes[m.Class]
	a := policy.Arrived{Message: m.Seq, Destination: m.Dest, Class: m.Class, GiveUpAt: now + time.Until(m.Deadline) - e.answerTime}
	if p := m.Past; p.Attempts > 0 {
		a.Past = policy.Past{Attempts: p.Attempts, MayRun: p.MayRun, RanZone: p.RanZone}
		if p.MayRun {
			a.Past.RanAt = e.moduleTime(p.RanAt)
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

// applyList updates the node's own table of endpoints and returns the module's event for it.
func (e *Engine) applyList(in directory.List) policy.Listed {
	out := policy.Listed{Whole: in.Complete}
	named := map[policy.EndpointID]bool{}
	for _, m := range in.Members {
		// The same at all nodes, so that they can tell each other of it.
		id := policy.EndpointID(hash(m.ID))
		endpoint := e.endpoints[id]
		var state policy.EndpointState
		switch m.Phase {
		case directory.Active:
			state = policy.Ready
		case directory.Leaving:
			state = policy.Draining
		case directory.Left:
			state = policy.Gone
		default:
			e.Log.Warn("discovery: unknown phase, nothing changes", "id", m.ID, "phase", m.Phase)
			if endpoint != nil {
				// The module takes what a whole list leaves out for gone.
				state = policy.Ready
				if endpoint.Leaves.Closing() {
					state = policy.Draining
				}
				named[id] = true
				e.shares.attach(endpoint, m.Size)
				out.Entries = append(out.Entries, e.entry(endpoint, state, m.Size))
			}
			continue
		}
		if endpoint == nil {
			if state != policy.Ready {
				// An earlier process may have been told that it drains, and the grace
				// may be over: one that is first heard of as leaving gets nothing.
				continue
			}
			kind, okKind := e.kinds[m.Flavor]
			zone, okZone := e.zones[m.Locality]
			okKind, okZone = okKind && kind <= math.MaxUint16, okZone && zone <= math.MaxUint16
			if !okKind || !okZone || m.ID == "" || m.Cell < 0 || m.Cell > math.MaxUint32 {
				e.Log.Warn("discovery: an endpoint that makes no sense", "id", m.ID, "flavor", m.Flavor, "locality", m.Locality, "cell", m.Cell)
				continue
			}
			endpoint = e.trackEndpoint(id, m, kind, zone)
		}
		if e.debug {
			e.Log.Debug("listed", "dest", endpoint.Dest, "endpoint", endpoint.Name, "kind", endpoint.Kind, "zone", endpoint.Zone, "phase", m.Phase, "rate", m.Size)
		}
		e.shares.attach(endpoint, m.Size)
		if state != policy.Gone {
			endpoint.addr = m.HostPort
		}
		named[id] = true
		e.setLeaving(endpoint, state != policy.Ready)
		e.setDelisted(endpoint, state == policy.Gone)
		out.Entries = append(out.Entries, e.entry(endpoint, state, m.Size))
	}
	if in.Complete {
		for id, endpoint := range e.endpoints {
			if !named[id] {
				e.setLeaving(endpoint, true)
				e.setDelisted(endpoint, true)
			}
		}
	}
	return out
}

func (e *Engine) entry(endpoint *trackedEndpoint, state policy.EndpointState, rate float64) policy.Entry {
	return policy.Entry{Endpoint: endpoint.ID, Destination: endpoint.Dest, Kind: int(endpoint.Kind), Zone: int(endpoint.Zone), State: state,
		Rate: rate, Limit: e.shares.limit(endpoint.Dest, rate)}
}

// restore tells the module what an earlier process observed of the endpoints that have just
// been listed: its backlog must not go to one that is unhealthy or in slow start, and
// recent calls still count for the limits. What was restored is removed from memories.
func (e *Engine) restore(memories Memories) {
	for name, m := range memories {
		id := policy.EndpointID(hash(name))
		if e.endpoints[id] == nil {
			continue
		}
		r := policy.Remembered{Endpoint: id}
		for _, at := range m.Sent {
			r.Sent = append(r.Sent, e.moduleTime(at))
		}
		if !m.FailedAt.IsZero() {
			r.Failed, r.FailedAt = true, e.moduleTime(m.FailedAt)
			if !m.BackAt.IsZero() {
				r.Back, r.BackAt = true, e.moduleTime(m.BackAt)
			}
		}
		e.batch = append(e.batch, r)
		delete(memories, name)
	}
}

// moduleTime turns a time of the wall clock into one of the module's.
func (e *Engine) moduleTime(t time.Time) policy.Time { return min(e.now(), e.now()-time.Since(t)) }

// trackEndpoint makes the entry of an endpoint that the directory has.
func (e *Engine) trackEndpoint(id policy.EndpointID, m directory.Member, kind, zone int) *trackedEndpoint {
	d := e.trackDestination(m.Cell)
	endpoint := &trackedEndpoint{Endpoint: carrier.Endpoint{ID: id, Name: m.ID, Dest: m.Cell, Kind: uint16(kind), Zone: uint16(zone), Waits: &d.waits}}
	if kind < len(e.settings.Kinds) && e.settings.Kinds[kind].RoutesApart {
		endpoint.Waits = &carrier.Gate{}
	}
	e.endpoints[id] = endpoint
	d.endpoints++
	d.listed++
	delete(e.vacant, m.Cell)
	return endpoint
}

// trackDestination finds or makes the entry of a destination.
func (e *Engine) trackDestination(number int) *trackedDestination {
	d := e.destinations[number]
	if d == nil {
		d = &trackedDestination{}
		e.destinations[number], e.destinationsChanged = d, true
	}
	return d
}

// setDelisted notes whether the directory has an endpoint no more.
func (e *Engine) setDelisted(endpoint *trackedEndpoint, delisted bool) {
	if endpoint.delisted == delisted {
		return
	}
	endpoint.delisted = delisted
	d := e.destinations[endpoint.Dest]
	if !delisted {
		delete(e.departing, endpoint.ID)
		delete(e.vacant, endpoint.Dest)
		d.listed++
		return
	}
	e.departing[endpoint.ID] = endpoint
	if d.listed--; d.listed == 0 {
		e.vacant[endpoint.Dest] = vacantDestination{d, time.Now()}
	}
}

// publishDestinations tells the admission which destinations there are, if that has changed: those that
// have an endpoint, or had one of late, since one may have none for a while.
func (e *Engine) publishDestinations() {
	if !e.destinationsChanged {
		return
	}
	e.destinationsChanged = false
	known := make(map[int]bool, len(e.destinations))
	for d := range e.destinations {
		known[d] = true
	}
	e.Admission.SetDestinations(known, e.listComplete)
}

// evict removes delisted endpoints, with their connections, once no call is in flight
// to them; destinations without an endpoint, in time; and what an earlier process knew of
// endpoints that did not come back. Its cost follows the number of delisted endpoints.
func (e *Engine) evict(now time.Time) {
	for id, endpoint := range e.departing {
		if endpoint.inFlight == 0 {
			e.Carrier.CloseIdle(&endpoint.Endpoint)
			delete(e.endpoints, id)
			delete(e.departing, id)
			e.destinations[endpoint.Dest].endpoints--
			e.shares.detach(endpoint)
		}
	}
	for number, d := range e.vacant {
		if d.endpoints == 0 && now.Sub(d.since) > destinationRetention && d.waits.Open(now) {
			delete(e.destinations, number)
			delete(e.vacant, number)
			e.destinationsChanged = true
		}
	}
	e.publishDestinations()
	if now.Sub(e.origin) > memoryRetention {
		clear(e.Memories)
	}
}

// setLeaving closes an endpoint's gate within the grace after it was first told to
// drain or to be gone, and after the module has ceased to send to it.
func (e *Engine) setLeaving(endpoint *trackedEndpoint, leaves bool) {
	if !leaves {
		endpoint.Leaves.Reopen()
	} else {
		endpoint.Leaves.CloseFrom(time.Now().Add(e.settings.DrainGrace * 3 / 4))
	}
}

// step hands the batch to the module and carries out what it wants. It returns
// when the module wants to be woken, or 0.
func (e *Engine) step(ctx context.Context) (wake policy.Time) {
	now := e.now()
	e.actions = e.sender.Step(now, e.batch, e.actions[:0])
	if e.Steps != nil {
		e.Steps.Step(now, e.batch, e.actions)
	}
	clear(e.batch)
	e.batch = e.batch[:0]
	var calls []*carrier.Call
	open := map[policy.EndpointID]*carrier.Call{}
	for _, a := range e.actions {
		switch a := a.(type) {
		case policy.Send:
			// Sends of one step to one endpoint travel as one call.
			m, endpoint := e.messages[a.Message], e.endpoints[a.Endpoint]
			k := open[a.Endpoint]
			if k == nil || len(k.Parts) >= e.bundleMax(endpoint) {
				k = &carrier.Call{Endpoint: &endpoint.Endpoint, Addr: endpoint.addr, Started: time.Now()}
				open[a.Endpoint] = k
				calls = append(calls, k)
			}
			endpoint.inFlight++
			e.observations = append(e.observations, admission.Seen{Kind: admission.Sent, Dest: endpoint.Dest})
			k.Add(m, a.Timeout)
		case policy.Refuse:
			e.complete(a.Message, message.Refused, a.Wait)
		case policy.Fail:
			e.complete(a.Message, message.Failed, 0)
		case policy.CloseIdle:
			if endpoint := e.endpoints[a.Endpoint]; endpoint != nil {
				e.Carrier.CloseIdle(&endpoint.Endpoint)
			}
		case policy.Tell:
			if e.PeerMessages != nil {
				if e.debug {
					e.Log.Debug("note", "tag", a.Tag, "news", a.News)
				}
				e.PeerMessages.Send(a)
			}
		case policy.Wake:
			wake = a.At
		}
	}
	for _, k := range calls {
		if e.debug {
			e.Log.Debug("call", "dest", k.Endpoint.Dest, "endpoint", k.Endpoint.Name, "messages", len(k.Parts))
		}
		e.Carrier.Start(ctx, k)
	}
	e.reportObservations()
	e.shares.followed()
	return wake
}

func (e *Engine) bundleMax(endpoint *trackedEndpoint) int {
	if int(endpoint.Kind) < len(e.settings.Kinds) {
		return e.settings.Kinds[endpoint.Kind].BundleMax
	}
	return 1
}

// complete gives a message its outcome: first on record, then to the notifier.
func (e *Engine) complete(id policy.MessageID, kind message.Kind, wait time.Duration) {
	m := e.messages[id]
	if m == nil {
		return
	}
	e.Log.Debug("ended", "id", m.ID, "n", m.Seq, "dest", m.Dest, "outcome", kind, "left", time.Until(m.Deadline))
	e.remove(m, false)
	e.outcomes.add(store.Ending{Message: m, End: message.End{Kind: kind, RetryAfter: wait}})
}

// remove removes a message that has its outcome.
func (e *Engine) remove(m *message.Message, delivered bool) {
	delete(e.messages, m.Seq)
	e.observations = append(e.observations, admission.Seen{Kind: admission.Ended, Dest: m.Dest, Class: m.Class, ID: m.ID, Delivered: delivered})
}

// reportObservations hands the admission what was observed since the last time.
func (e *Engine) reportObservations() {
	if len(e.observations) > 0 {
		e.Admission.Observe(e.observations)
		e.observations = nil
	}
}
