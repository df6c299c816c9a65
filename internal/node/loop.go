package node

import (
	"context"
	"hash/fnv"
	"log/slog"
	"time"

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

// loop owns the module: it hands in what has come, once a tick, and carries out
// what the module wants, in order. It waits for nothing else.
type loop struct {
	sender    *policy.Sender
	settings  policy.Settings
	names     names
	log       *slog.Logger
	caller    *caller
	journal   *journal
	finals    *finals
	intake    *intake
	peers     *peers // nil where notes are not allowed
	origin    time.Time
	events    chan any      // policy.Event, list or *message
	done      chan struct{} // closed when the loop has ended
	quieted   chan struct{} // closed when no call is started any more
	held      map[policy.MessageID]*message
	endpoints map[policy.EndpointID]*endpoint
	waits     map[int]*gate     // by destination, where routes share a limit
	dests     map[int]time.Time // when each destination was last seen to have an endpoint
	told      bool              // discovery has told the whole list
	batch     []policy.Event
	actions   []policy.Action
	quiet     bool // no call is started any more
}

func (l *loop) now() policy.Time { return clockStart + time.Since(l.origin) }

// post hands an event to the loop.
func (l *loop) post(e any) {
	select {
	case l.events <- e:
	case <-l.done:
	}
}

// run steps the module until the context ends. Once quiet ends no new call is
// started; outcomes are still taken in.
func (l *loop) run(ctx context.Context, quiet <-chan struct{}) {
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
			l.caller.pool.closeIdle(now.Add(-l.caller.idle), nil)
			if n := l.caller.spoilt.Swap(0); n > 0 {
				l.log.Info("calls: answers that could not be read", "count", n)
			}
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
			continue
		}
		if wake := l.step(ctx); wake > 0 {
			timer.Reset(wake - l.now())
		}
	}
}

// take turns what has come into an event of the module.
func (l *loop) take(e any) {
	switch e := e.(type) {
	case *message:
		l.held[e.seq] = e
		l.batch = append(l.batch, l.arrived(e))
	case list:
		l.batch = append(l.batch, l.listed(e))
		l.told = l.told || e.fresh
		l.publish(time.Now())
		l.remind()
	case policy.Ended:
		if o := l.endpoints[e.Endpoint]; o != nil {
			o.out--
		}
		if e.Final {
			if m := l.held[e.Message]; m != nil {
				l.forget(m)
			}
		}
		l.batch = append(l.batch, e)
	case policy.Event:
		l.batch = append(l.batch, e)
	}
}

func (l *loop) arrived(m *message) policy.Arrived {
	now, class := l.now(), l.settings.Classes[m.class]
	a := policy.Arrived{Message: m.seq, Destination: m.dest, Class: m.class, GiveUpAt: now + time.Until(m.deadline)}
	if p := m.past; p.attempts > 0 {
		a.Past = policy.Past{Attempts: p.attempts, MayRun: p.mayRun, RanZone: p.ranZone}
		if p.mayRun {
			a.Past.RanAt = l.past(p.ranAt)
		}
	}
	if class.Repeat == policy.Deduplicated {
		m.window = class.Window
	}
	if class.Ordered && m.key != "" {
		a.Key = hash(m.key) | 1
	}
	return a
}

func hash(s string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(s)) // never fails
	return h.Sum64()
}

// listed keeps the node's own table of endpoints and tells the module of it.
func (l *loop) listed(in list) policy.Listed {
	out := policy.Listed{Whole: in.Complete}
	named := map[policy.EndpointID]bool{}
	for _, m := range in.Members {
		// The same at all nodes, so that they can tell each other of it.
		id := policy.EndpointID(hash(m.ID))
		e := l.endpoints[id]
		var state policy.EndpointState
		switch m.Phase {
		case "active":
			state = policy.Ready
		case "leaving":
			state = policy.Draining
		case "left":
			state = policy.Gone
		default:
			l.log.Warn("discovery: unknown phase, nothing changes", "id", m.ID, "phase", m.Phase)
			if e != nil {
				// The module takes what a whole list leaves out for gone.
				state = policy.Ready
				if e.leaves.closedFrom.Load() != 0 {
					state = policy.Draining
				}
				named[id] = true
				out.Entries = append(out.Entries, l.entry(e, m, state))
			}
			continue
		}
		if e == nil {
			if state != policy.Ready {
				// An earlier life may have been told that it drains, and the grace
				// may be over: one that is first heard of as leaving gets nothing.
				continue
			}
			kind, okKind := l.names.kinds[m.Flavor]
			zone, okZone := l.names.zones[m.Locality]
			if !okKind || !okZone || m.ID == "" || m.Cell < 0 {
				l.log.Warn("discovery: an endpoint that makes no sense", "id", m.ID, "flavor", m.Flavor, "locality", m.Locality)
				continue
			}
			e = &endpoint{id: id, name: m.ID, dest: m.Cell, kind: kind, zone: zone, leaves: &gate{}, waits: &gate{}}
			if kind >= len(l.settings.Kinds) || !l.settings.Kinds[kind].RoutesApart {
				if l.waits[m.Cell] == nil {
					l.waits[m.Cell] = e.waits
				}
				e.waits = l.waits[m.Cell]
			}
			l.endpoints[id] = e
		}
		if state != policy.Gone {
			e.addr = m.HostPort
		}
		named[id] = true
		l.setLeaving(e, state != policy.Ready)
		e.gone = state == policy.Gone
		out.Entries = append(out.Entries, l.entry(e, m, state))
	}
	if in.Complete {
		for id, e := range l.endpoints {
			if !named[id] {
				l.setLeaving(e, true)
				e.gone = true
			}
		}
	}
	return out
}

func (l *loop) entry(e *endpoint, m member, state policy.EndpointState) policy.Entry {
	return policy.Entry{Endpoint: e.id, Destination: e.dest, Kind: e.kind, Zone: e.zone, State: state, Rate: m.Size}
}

// remind tells the module what an earlier life saw of the endpoints that it has
// just been given: its backlog must not go to one that is out or cold, and the
// calls of late count for the limits still.
func (l *loop) remind() {
	for name, m := range l.journal.memories {
		id := policy.EndpointID(hash(name))
		if l.endpoints[id] == nil {
			continue
		}
		r := policy.Remembered{Endpoint: id}
		for _, at := range m.sent {
			r.Sent = append(r.Sent, l.past(at))
		}
		if !m.failedAt.IsZero() {
			r.Failed, r.FailedAt = true, l.past(m.failedAt)
			if !m.backAt.IsZero() {
				r.Back, r.BackAt = true, l.past(m.backAt)
			}
		}
		l.batch = append(l.batch, r)
		delete(l.journal.memories, name)
	}
}

// past turns a time of the wall clock into one of the module's.
func (l *loop) past(t time.Time) policy.Time { return min(l.now(), l.now()-time.Since(t)) }

// publish tells the intake which destinations there are: those that have an endpoint,
// or had one of late, since one may have none for a while.
func (l *loop) publish(now time.Time) {
	for _, e := range l.endpoints {
		if !e.gone {
			l.dests[e.dest] = now
		}
	}
	known := make(map[int]bool, len(l.dests))
	for d, seen := range l.dests {
		if now.Sub(seen) > destinationTime {
			delete(l.dests, d)
			continue
		}
		known[d] = true
	}
	l.intake.setDestinations(known, l.told)
}

// letGo forgets the endpoints that are gone, with their connections, once no call is
// out to them; the gates of destinations without an endpoint, once their wait is over;
// and what an earlier life knew of endpoints that did not come back.
func (l *loop) letGo(now time.Time) {
	listed := map[int]bool{}
	for id, e := range l.endpoints {
		if e.gone && e.out == 0 {
			l.caller.pool.closeIdle(time.Time{}, e)
			delete(l.endpoints, id)
			continue
		}
		listed[e.dest] = true
	}
	for dest, g := range l.waits {
		if !listed[dest] && g.open(now) {
			delete(l.waits, dest)
		}
	}
	l.publish(now)
	if now.Sub(l.origin) > memoryTime {
		clear(l.journal.memories)
	}
}

// setLeaving closes an endpoint's gate within the grace after it was first told to
// drain or to be gone, and after the module has ceased to send to it.
func (l *loop) setLeaving(e *endpoint, leaves bool) {
	if !leaves {
		e.leaves.closedFrom.Store(0)
	} else {
		e.leaves.closedFrom.CompareAndSwap(0, time.Now().Add(l.settings.DrainGrace*3/4).UnixNano())
	}
}

// step hands the batch to the module and carries out what it wants. It returns
// when the module wants to be woken, or 0.
func (l *loop) step(ctx context.Context) (wake policy.Time) {
	l.actions = l.sender.Step(l.now(), l.batch, l.actions[:0])
	clear(l.batch)
	l.batch = l.batch[:0]
	var calls []*call
	open := map[policy.EndpointID]*call{}
	for _, a := range l.actions {
		switch a := a.(type) {
		case policy.Send:
			// Sends of one step to one endpoint travel as one call.
			m, e := l.held[a.Message], l.endpoints[a.Endpoint]
			k := open[a.Endpoint]
			if k == nil || len(k.parts) >= l.bundleMax(e) {
				k = &call{endpoint: e, addr: e.addr, started: time.Now()}
				open[a.Endpoint] = k
				calls = append(calls, k)
			}
			e.out++
			k.parts = append(k.parts, &part{message: m, timeout: a.Timeout})
			k.limit = max(k.limit, a.Timeout)
		case policy.Refuse:
			l.end(a.Message, true, a.Wait)
		case policy.Fail:
			l.end(a.Message, false, 0)
		case policy.CloseIdle:
			if e := l.endpoints[a.Endpoint]; e != nil {
				l.caller.pool.closeIdle(time.Time{}, e)
			}
		case policy.Tell:
			if l.peers != nil {
				l.peers.send(a)
			}
		case policy.Wake:
			wake = a.At
		}
	}
	for _, k := range calls {
		l.caller.start(ctx, k)
	}
	return wake
}

func (l *loop) bundleMax(e *endpoint) int {
	if e.kind < len(l.settings.Kinds) {
		return l.settings.Kinds[e.kind].BundleMax
	}
	return 1
}

// end gives a message its final answer: first on record, then to the platform.
func (l *loop) end(id policy.MessageID, back bool, wait time.Duration) {
	m := l.held[id]
	if m == nil {
		return
	}
	n := newNotice(m.id, back, wait)
	if err := l.journal.ended(m, n); err != nil {
		l.log.Error("journal: end", "id", m.id, "err", err)
	}
	l.log.Debug("ended", "id", m.id, "dest", m.dest, "outcome", n.Outcome, "left", time.Until(m.deadline))
	l.forget(m)
	l.finals.add(m)
}

func (l *loop) forget(m *message) {
	delete(l.held, m.seq)
	l.intake.ended(m.id)
}
