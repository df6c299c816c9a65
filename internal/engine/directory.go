package engine

import (
	"time"
	"wingmount/internal/directory"
	"wingmount/policy"
)

const (
	// vacantRetention is how long a destination without endpoints is kept. Until then its messages wait for an endpoint
	// or for their own deadline.
	vacantRetention = 10 * time.Minute
	// healthRetention is how long the health history of an earlier process is kept for endpoints that are not in the
	// directory's list yet. An older history is outdated.
	healthRetention = time.Minute
)

// updateEndpoints applies a complete endpoint list or changes to it, and publishes the result.
func (e *Engine) updateEndpoints(list directory.List) {
	e.batch = append(e.batch, e.applyList(list))
	if list.Live && !e.listComplete {
		e.listComplete, e.destinationsChanged = true, true
	}
	e.publishDestinations()
	e.restoreHealth(e.deps.HealthHistory)
	e.publishEndpoints()
}

// applyList updates the endpoint table from a list, and returns the module's event for the update.
func (e *Engine) applyList(list directory.List) policy.EndpointUpdate {
	event := policy.EndpointUpdate{Complete: list.Complete, Entries: e.removeSuperseded(list)}
	present := map[policy.EndpointID]bool{}
	for _, m := range list.Members {
		if entry, ok := e.applyMember(m); ok {
			present[entry.Endpoint] = true
			event.Entries = append(event.Entries, entry)
		}
	}
	if list.Complete {
		for id, endpoint := range e.endpoints {
			if !present[id] {
				e.setDraining(endpoint, true)
				e.setRemoved(endpoint, true)
			}
		}
	}
	return event
}

// removeSuperseded removes the endpoints at whose address the list has a new one, and returns the module's entries for them.
// The directory may announce the new process before the end of the old one.
func (e *Engine) removeSuperseded(list directory.List) (entries []policy.Entry) {
	if !e.uniqueAddresses {
		return nil
	}
	arrived := map[string]policy.EndpointID{} // by address
	for _, m := range list.Members {
		id := endpointID(m.ID)
		known := e.endpoints[id]
		if m.Phase == directory.Active && (known == nil || known.removed || known.addr != m.HostPort) {
			arrived[m.HostPort] = id
		}
	}
	if len(arrived) == 0 {
		return nil
	}
	for id, endpoint := range e.endpoints {
		if newcomer, found := arrived[endpoint.addr]; !found || newcomer == id || endpoint.removed {
			continue
		}
		e.deps.Log.Warn("discovery: endpoint removed, another one has its address", "id", endpoint.Name)
		e.setDraining(endpoint, true)
		e.setRemoved(endpoint, true)
		entries = append(entries, e.entry(endpoint, policy.Removed, 0))
	}
	return entries
}

// applyMember updates one endpoint of the table and returns the module's entry for it. It returns false if this node does
// not call the endpoint.
func (e *Engine) applyMember(m directory.Member) (policy.Entry, bool) {
	endpoint := e.endpoints[endpointID(m.ID)]
	state, known := endpointState(m.Phase)
	if !known {
		e.deps.Log.Warn("discovery: unknown phase, endpoint unchanged", "id", m.ID, "phase", m.Phase)
		return e.unchangedEntry(endpoint, m)
	}
	if endpoint == nil && state != policy.Ready {
		// An endpoint that is draining in its first entry gets no messages: an earlier process may have received the
		// drain notice, and the drain grace may be over.
		return policy.Entry{}, false
	}
	if endpoint == nil {
		if endpoint = e.trackMember(m); endpoint == nil {
			return policy.Entry{}, false
		}
	}
	if e.debug {
		e.deps.Log.Debug("endpoint updated", "dest", endpoint.Destination, "endpoint", endpoint.Name, "kind", endpoint.Kind, "zone", endpoint.Zone, "phase", m.Phase, "rate", m.Size)
	}
	e.quotas.attach(endpoint, m.Size)
	if state != policy.Removed && endpoint.addr != m.HostPort {
		endpoint.Supersede()
		endpoint.addr = m.HostPort
	}
	e.setDraining(endpoint, state != policy.Ready)
	e.setRemoved(endpoint, state == policy.Removed)
	return e.entry(endpoint, state, m.Size), true
}

// endpointState returns the module's state for a phase. It returns false for an unknown phase.
func endpointState(phase string) (policy.EndpointState, bool) {
	switch phase {
	case directory.Active:
		return policy.Ready, true
	case directory.Draining:
		return policy.Draining, true
	case directory.Removed:
		return policy.Removed, true
	default:
		return policy.Removed, false
	}
}

// unchangedEntry returns an entry with the current state of an endpoint whose new phase is unknown. If a complete list
// had no entry for the endpoint, the module would remove it.
func (e *Engine) unchangedEntry(endpoint *trackedEndpoint, m directory.Member) (policy.Entry, bool) {
	if endpoint == nil {
		return policy.Entry{}, false
	}
	e.quotas.attach(endpoint, m.Size)
	return e.entry(endpoint, endpoint.state(), m.Size), true
}

// trackMember adds a new endpoint to the table. It returns nil if the entry is invalid.
func (e *Engine) trackMember(m directory.Member) *trackedEndpoint {
	kind, zone, valid := e.kindAndZone(m)
	if !valid {
		e.deps.Log.Warn("discovery: invalid endpoint ignored", "id", m.ID, "kind", m.Kind, "zone", m.Zone, "dest", m.Destination)
		return nil
	}
	ownLimit := kind < len(e.settings.Kinds) && e.settings.Kinds[kind].SeparateRoutes
	return e.track(m, kind, zone, ownLimit)
}

// entry returns the module's entry for an endpoint. The rate is its limit in the directory's list, in calls per second.
func (e *Engine) entry(endpoint *trackedEndpoint, state policy.EndpointState, rate float64) policy.Entry {
	return policy.Entry{
		Endpoint: endpoint.ID, Destination: endpoint.Destination, Kind: int(endpoint.Kind), Zone: int(endpoint.Zone), State: state,
		Rate: rate, AssignedRate: e.quotas.limit(endpoint.Destination, rate),
	}
}

// setDraining schedules the closing of a draining endpoint's gate, or opens the gate again. The gate stops calls that
// the module decided on before it received the drain notice. It closes 3/4 of the drain grace after the first notice.
// By then the module has stopped sending.
func (e *Engine) setDraining(endpoint *trackedEndpoint, draining bool) {
	if !draining {
		endpoint.DrainGate.Reopen()
	} else {
		endpoint.DrainGate.CloseAt(time.Now().Add(e.settings.DrainGrace * 3 / 4))
	}
}

// publishEndpoints passes the endpoints in the directory's list to the observation sharer.
func (e *Engine) publishEndpoints() {
	if e.deps.Observations == nil {
		return
	}
	all := make(map[policy.EndpointID]string, len(e.endpoints))
	for id, endpoint := range e.endpoints {
		if !endpoint.removed {
			all[id] = endpoint.Name
		}
	}
	e.deps.Observations.SetEndpoints(all)
}

// publishDestinations passes the known destinations to Admission if they have changed. A destination is known if it
// has an endpoint, or had one within vacantRetention.
func (e *Engine) publishDestinations() {
	if !e.destinationsChanged {
		return
	}
	e.destinationsChanged = false
	known := make(map[int]bool, len(e.destinations))
	for d := range e.destinations {
		known[d] = true
	}
	e.deps.Admission.SetDestinations(known, e.listComplete)
}

// evict frees state that is no longer needed. Run calls it every evictInterval.
//   - An endpoint removed from the directory's list is evicted, with its connections, once no call to it is in flight.
//   - A destination without endpoints is evicted after vacantRetention, or at the end of its Retry-After if that is later.
//   - The health history of an earlier process is dropped after healthRetention.
//
// Its cost is proportional to the number of removed endpoints and vacant destinations.
func (e *Engine) evict(now time.Time) {
	for id, endpoint := range e.departing {
		if endpoint.inFlight == 0 {
			e.deps.Carrier.CloseIdle(&endpoint.Endpoint)
			delete(e.endpoints, id)
			delete(e.departing, id)
			e.destinations[endpoint.Destination].endpoints--
			e.quotas.detach(endpoint)
		}
	}
	for number, d := range e.vacant {
		if d.endpoints == 0 && now.Sub(d.since) > vacantRetention && d.retryAfterGate.IsOpen(now) {
			delete(e.destinations, number)
			delete(e.vacant, number)
			e.destinationsChanged = true
		}
	}
	e.publishDestinations()
	if now.Sub(e.origin) > healthRetention {
		clear(e.deps.HealthHistory)
	}
}
