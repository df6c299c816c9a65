package policy

import (
	"slices"
	"time"
	"wingmount/decide/ratelimit"
	"wingmount/internal/container"
	"wingmount/internal/estimate"
)

// evictInterval is the interval at which a sender checks for endpoints and destinations to evict.
const evictInterval = time.Second

// registry contains the destinations and endpoints of a sender.
type registry struct {
	endpoints    container.TagMap[Tag, *endpoint]
	destinations map[int]*destination
	added        uint64 // number of destinations added so far

	removed   container.Expiry[*endpoint]    // not in the endpoint list, by the time they may be evicted
	unused    container.Expiry[*destination] // without endpoints, by the time they may be evicted
	evictAt   Time                           // when to check again for evictions
	retention time.Duration                  // how long a destination without endpoints is kept
}

func newRegistry(senders int) registry {
	// For allotments below one call the windows are longer than wideWindow, by a factor of up to senders, and
	// jitter lengthens them by a further factor of up to 1.5.
	return registry{
		destinations: map[int]*destination{},
		retention:    time.Duration(senders) * 2 * wideWindow,
	}
}

// destination is the state of one destination. It is idle until its first message, report or restored health
// arrives: addMessage, receiveReport and restoreHealth activate it before any other access. Only
// applyEndpointList, evict and their callees may access an idle destination. They check active, or traffic
// and health for nil, before they use traffic or health. The fields of backlog may be used only while the
// destination has a message, or after a check for nil.
type destination struct {
	number int
	order  uint64 // its position in the order in which destinations were added
	paths  []*path
	active bool // its paths' traffic and their endpoints' health are allocated

	*backlog // nil while it has no message
}

// path is the group of endpoints that share one rate limit: all endpoints of a destination, or a single one
// if the routes of the destination are separate.
type path struct {
	dest      *destination
	endpoints []*endpoint

	// Rates from the endpoint list, in calls a second. advertisedRate is that of all senders together.
	// assignedRate is the Entry.AssignedRate of this sender; it is kept up to date only while the destination
	// is idle.
	advertisedRate  float64
	assignedRate    float64
	ratesReceivedAt Time // when these rates were received
	// assumedCallAt is the random time of a call that is counted although none was sent, so that senders with
	// shared quotas do not start together.
	assumedCallAt Time
	maxReady      uint32 // the maximum number of endpoints that were ready at the same time
	kindIndex     uint16
	zone          uint16

	*traffic // nil while its destination is idle
}

// traffic contains the measurements of the calls on a path, and the limits on further calls.
type traffic struct {
	kind        Kind
	fee         float64 // for each message, as a fraction of its value
	outstanding int     // number of outstanding calls

	limiter             rateLimiter
	latency             estimate.Latency
	successes           estimate.Rate
	nextProbeAt         Time // the earliest time of the next probe during an outage
	consecutiveTimeouts int  // of all its endpoints
}

// endpoint is one address of a destination.
type endpoint struct {
	id             EndpointID
	path           *path
	older          *endpoint // see Link
	stateChangedAt Time      // when an endpoint list last had it as ready, or it stopped being ready
	zone           int32
	state          EndpointState

	*health // nil while its destination is idle
}

// health contains the outstanding calls to an endpoint, and its health as derived from earlier calls.
type health struct {
	calls      []*call // outstanding, oldest first
	lastSentAt Time
	circuit    circuitBreaker
	ramp       recoveryRamp
}

// Link returns the field that points to the next older endpoint with the same tag, for container.TagMap.
func (e *endpoint) Link() **endpoint { return &e.older }

// destination returns a destination by its number, and adds it if it is new.
func (s *Sender) destination(number int) *destination {
	r := &s.registry
	d := r.destinations[number]
	if d == nil {
		d = &destination{number: number, order: r.added}
		r.added++
		r.destinations[number] = d
		r.unused.Set(d, s.now+r.retention)
	}
	return d
}

// findEndpoint returns an endpoint by its ID, or nil.
func (s *Sender) findEndpoint(id EndpointID) *endpoint {
	return s.registry.endpoints.Find(TagOf(id), func(e *endpoint) bool { return e.id == id })
}

// applyEndpointList applies an endpoint list, or changes to it.
func (s *Sender) applyEndpointList(list EndpointUpdate) {
	present := map[EndpointID]bool{}
	for _, entry := range list.Entries {
		present[entry.Endpoint] = true
		e := s.findEndpoint(entry.Endpoint)
		// An unknown endpoint that is draining is skipped: its drain grace may have ended before a restart of
		// this node.
		if e == nil && entry.State == Ready {
			e = s.addEndpoint(entry)
		}
		if e != nil {
			s.setState(e, entry.State)
			s.applyAssignedRate(e.path, entry)
		}
	}
	if !list.Complete {
		return
	}
	for e := range s.registry.endpoints.All() { // the order does not matter
		if !present[e.id] {
			s.setState(e, Removed)
		}
	}
}

func (s *Sender) addEndpoint(entry Entry) *endpoint {
	d := s.destination(entry.Destination)
	var p *path
	if len(d.paths) > 0 && !s.settings.Kinds[s.kindIndex(entry)].SeparateRoutes {
		p = d.paths[0]
	} else {
		p = s.newPath(d, entry)
		d.paths = append(d.paths, p)
	}
	e := &endpoint{id: entry.Endpoint, path: p, zone: int32(entry.Zone), state: Ready}
	p.endpoints = append(p.endpoints, e)
	s.registry.endpoints.Add(TagOf(e.id), e)
	s.registry.unused.Remove(d)
	if d.active {
		e.health = newHealth()
		s.inheritOutage(e)
	}
	return e
}

// kindIndex returns the index of an entry's kind in the settings, the last index for an unknown kind.
func (s *Sender) kindIndex(entry Entry) uint16 {
	return uint16(min(entry.Kind, len(s.settings.Kinds)-1))
}

// newPath returns a path for an entry. It draws the random assumedCallAt, so that activate draws no random
// numbers.
func (s *Sender) newPath(d *destination, entry Entry) *path {
	p := &path{
		dest: d, advertisedRate: entry.Rate, assignedRate: entry.AssignedRate, ratesReceivedAt: s.now,
		maxReady: 1, kindIndex: s.kindIndex(entry), zone: uint16(min(entry.Zone, len(s.settings.ZoneFee)-1)),
	}
	if s.startsFromAdvertisedRate(p) && s.sharesQuotas() {
		p.assumedCallAt = s.now - estimate.Jitter(s.rng, s.initialNarrowSpan(p))
	}
	if d.active {
		s.startTraffic(p)
	}
	return p
}

// startTraffic allocates the traffic of a path. The initial allotment is unlimited, or this sender's share of
// the advertised rate and at least one call in a narrow window.
func (s *Sender) startTraffic(p *path) {
	p.traffic = &traffic{
		kind:      s.settings.Kinds[p.kindIndex],
		limiter:   newRateLimiter(),
		successes: estimate.Rate{Window: container.Window{Span: narrowWindow}},
		latency:   estimate.Latency{Mean: initialLatency},
	}
	l := &p.limiter
	if s.startsFromAdvertisedRate(p) {
		l.advertisedRatePerSender = p.advertisedRate / float64(s.settings.Senders)
		l.allotment = max(1, l.advertisedRatePerSender*narrowWindow.Seconds())
		l.safeRate = s.settings.RateAccuracy.LowerBound(l.advertisedRatePerSender)
		if s.sharesQuotas() {
			s.followAdvertisedRate(l, p)
			l.narrow.Record(p.assumedCallAt)
		}
	}
	if p.kind.SeparateRoutes {
		p.fee = s.settings.ZoneFee[p.zone]
	}
	if p.assignedRate != 0 {
		s.setAssignedRate(l, p.ratesReceivedAt, p.assignedRate)
	}
}

// initialNarrowSpan returns the initial length of the narrow window of a path that follows a shared quota of
// its advertised rate.
func (s *Sender) initialNarrowSpan(p *path) time.Duration {
	l := newRateLimiter()
	s.followAdvertisedRate(&l, p)
	return l.narrow.Span
}

// followAdvertisedRate sets the quota of a limiter to a path's advertised rate, shared by all senders.
func (s *Sender) followAdvertisedRate(l *rateLimiter, p *path) {
	l.quota = ratelimit.NewShared(p.ratesReceivedAt, p.advertisedRate, s.settings.Senders)
	l.updateFromQuota(s.now)
}

func newHealth() *health {
	return &health{ramp: recoveryRamp{jitter: 1}}
}

// activate allocates the traffic and health of an idle destination. It draws no random numbers, and the
// values that it sets do not depend on when it is called.
func (s *Sender) activate(d *destination) {
	if d.active {
		return
	}
	d.active = true
	for _, p := range d.paths {
		s.startTraffic(p)
		for _, e := range p.endpoints {
			e.health = newHealth()
		}
	}
}

func (s *Sender) setState(e *endpoint, state EndpointState) {
	if state == Ready || e.state == Ready {
		e.stateChangedAt = s.now
	}
	if e.state = state; state == Removed {
		s.registry.removed.Set(e, e.stateChangedAt+s.maxMessageAge)
	} else {
		s.registry.removed.Remove(e)
	}
	e.path.maxReady = max(e.path.maxReady, uint32(e.path.countReady()))
}

// evict deletes removed endpoints and unused destinations. A removed endpoint is kept while a call to it is
// outstanding, and for at least the longest time that a message may wait, so that a replacement added
// meanwhile, which may still be warming up after an outage, inherits the open circuit: see inheritOutage. The
// path of a separate route is deleted with its last endpoint, and a shared path with its destination: once
// the destination has no message and has had no endpoint for the retention, within which calls may still
// count in the path's windows.
func (s *Sender) evict() {
	if s.now < s.registry.evictAt {
		return
	}
	s.registry.evictAt = s.now + evictInterval
	s.registry.removed.PopUntil(s.now, s.evictEndpoint)
	s.registry.unused.PopUntil(s.now, func(d *destination) {
		if d.backlog == nil {
			delete(s.registry.destinations, d.number)
			return
		}
		s.registry.unused.Set(d, s.now+1) // check again in the next eviction
	})
	s.queues.keys.Expire(s.now)
}

func (s *Sender) evictEndpoint(e *endpoint) {
	if e.health != nil && len(e.calls) > 0 {
		s.registry.removed.Set(e, s.now+1)
		return
	}
	s.registry.endpoints.Remove(TagOf(e.id), e)
	p, d := e.path, e.path.dest
	p.endpoints = slices.DeleteFunc(p.endpoints, func(o *endpoint) bool { return o == e })
	if len(p.endpoints) > 0 {
		return
	}
	if s.settings.Kinds[p.kindIndex].SeparateRoutes {
		d.paths = slices.DeleteFunc(d.paths, func(o *path) bool { return o == p })
	}
	if !slices.ContainsFunc(d.paths, func(p *path) bool { return len(p.endpoints) > 0 }) {
		s.registry.unused.Set(d, s.now+s.registry.retention)
	}
}

// countReady returns how many endpoints of a path are in state Ready.
func (p *path) countReady() int {
	return container.Count(p.endpoints, func(e *endpoint) bool { return e.state == Ready })
}
