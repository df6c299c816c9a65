package engine

import (
	"maps"
	"slices"
	"wingmount/internal/directory"
	"wingmount/policy"
)

// Assignment is a change of the quotas and endpoints assigned to this node, if destinations are assigned to nodes.
// Destinations that a map does not contain are unchanged.
type Assignment struct {
	// Quotas are fractions of the destinations' rate limits, by destination. 0 removes the quota.
	Quotas map[int]float64
	// Endpoints maps each changed destination to all its endpoints, or to none if it is no longer assigned. The map is
	// nil if the node gets its endpoints from its own directory.
	Endpoints map[int][]directory.Member
}

// assignmentChanged is the event that changes quotas, endpoints or the lease. It takes effect in the next step.
type assignmentChanged struct {
	Assignment
	leaseValid *bool         // whether quotas may be used; nil for no change
	done       chan struct{} // closed at the end of the round that handles the change
}

// SetAssignment changes the quotas and endpoints assigned to this node. Quotas apply only while its lease is valid.
// SetAssignment returns at the end of the round that handles the change, or when Run has returned. While the engine
// drains, the module does not get the change.
func (e *Engine) SetAssignment(assignment Assignment) {
	e.postAndWait(assignmentChanged{Assignment: assignment, done: make(chan struct{})})
}

// SetLeaseValid sets whether this node's lease is valid. Without a valid lease the node makes no call. SetLeaseValid
// returns at the end of the round that handles the change, or when Run has returned. While the engine drains, the module
// does not get the change.
func (e *Engine) SetLeaseValid(valid bool) {
	e.postAndWait(assignmentChanged{leaseValid: &valid, done: make(chan struct{})})
}

func (e *Engine) postAndWait(changed assignmentChanged) {
	e.Post(changed)
	select {
	case <-changed.done:
	case <-e.done:
	}
}

func (a assignmentChanged) apply(e *Engine) {
	changed := make([]int, 0, len(a.Quotas))
	for destination, quota := range a.Quotas {
		e.quotas.set(destination, quota)
		changed = append(changed, destination)
	}
	if a.leaseValid != nil && *a.leaseValid != e.quotas.leaseValid {
		e.quotas.leaseValid = *a.leaseValid
		for destination := range e.quotas.byDestination {
			changed = append(changed, destination)
		}
	}
	if a.Endpoints != nil {
		e.updateEndpoints(e.listChanges(a.Endpoints))
	}
	if event := e.limitUpdate(changed); len(event.Entries) > 0 {
		e.batch = append(e.batch, event)
	}
	if a.done != nil {
		e.quotas.waiting = append(e.quotas.waiting, a.done)
	}
}

// listChanges returns the changes after which each destination in the map has exactly the given endpoints.
func (e *Engine) listChanges(endpoints map[int][]directory.Member) directory.List {
	list := directory.List{Live: true}
	for _, number := range slices.Sorted(maps.Keys(endpoints)) {
		members := endpoints[number]
		list.Members = append(list.Members, members...)
		for _, known := range e.quotas.endpoints[number] {
			present := slices.ContainsFunc(members, func(m directory.Member) bool { return m.ID == known.Name })
			if !present && !known.removed {
				list.Members = append(list.Members, directory.Member{ID: known.Name, Destination: number, Phase: directory.Removed, Size: known.rate})
			}
		}
	}
	return list
}

// limitUpdate returns the module's event with the current limits of the destinations' endpoints.
func (e *Engine) limitUpdate(destinations []int) policy.EndpointUpdate {
	var event policy.EndpointUpdate
	for _, number := range destinations {
		for _, endpoint := range e.quotas.endpoints[number] {
			if endpoint.removed {
				continue
			}
			event.Entries = append(event.Entries, e.entry(endpoint.trackedEndpoint, endpoint.state(), endpoint.rate))
		}
	}
	return event
}

// assignedQuotas contains this node's quotas and the endpoints that they apply to.
type assignedQuotas struct {
	assigned      bool // destinations are assigned to nodes
	leaseValid    bool
	byDestination map[int]float64 // fractions of the rate limit, without zeros
	endpoints     map[int][]ratedEndpoint
	waiting       []chan struct{} // closed by notifyWaiting at the end of this round
}

// ratedEndpoint is an endpoint and its rate limit from the directory's list, in calls per second.
type ratedEndpoint struct {
	*trackedEndpoint
	rate float64
}

func newAssignedQuotas(assigned bool) assignedQuotas {
	return assignedQuotas{assigned: assigned, byDestination: map[int]float64{}, endpoints: map[int][]ratedEndpoint{}}
}

// limit returns this node's rate limit for an endpoint of a destination, given the endpoint's total rate limit. Both are
// in calls per second.
//
// The limit is the destination's quota times the endpoint's rate limit. Without a quota or a valid lease it is
// policy.NoCalls, which is negative. It is 0, which means unknown, if destinations are not assigned or the endpoint has
// no rate limit.
//
// The quotas of all nodes add up to 1, and the quota of a node without a valid lease may be given to another node.
func (q *assignedQuotas) limit(destination int, rate float64) float64 {
	if !q.assigned {
		return 0
	}
	quota := q.byDestination[destination]
	if !q.leaseValid || quota == 0 {
		return policy.NoCalls
	}
	return quota * rate
}

// set sets the quota of a destination, or removes it if the quota is 0.
func (q *assignedQuotas) set(destination int, quota float64) {
	if quota > 0 {
		q.byDestination[destination] = quota
		return
	}
	delete(q.byDestination, destination)
}

// attach adds an endpoint, so that its limit follows its destination's quota. If the endpoint is present, attach updates
// its rate limit.
func (q *assignedQuotas) attach(endpoint *trackedEndpoint, rate float64) {
	if !q.assigned {
		return
	}
	all := q.endpoints[endpoint.Destination]
	if i := indexOf(all, endpoint); i >= 0 {
		all[i].rate = rate
		return
	}
	q.endpoints[endpoint.Destination] = append(all, ratedEndpoint{endpoint, rate})
}

// detach removes an endpoint. It is called when the endpoint is evicted.
func (q *assignedQuotas) detach(endpoint *trackedEndpoint) {
	all := q.endpoints[endpoint.Destination]
	i := indexOf(all, endpoint)
	if i < 0 {
		return
	}
	if all = slices.Delete(all, i, i+1); len(all) == 0 {
		delete(q.endpoints, endpoint.Destination)
		return
	}
	q.endpoints[endpoint.Destination] = all
}

func indexOf(all []ratedEndpoint, endpoint *trackedEndpoint) int {
	return slices.IndexFunc(all, func(r ratedEndpoint) bool { return r.trackedEndpoint == endpoint })
}

// notifyWaiting lets the waiting callers of SetAssignment and SetLeaseValid return. It is called at the end of a round.
func (q *assignedQuotas) notifyWaiting() {
	for _, done := range q.waiting {
		close(done)
	}
	clear(q.waiting)
	q.waiting = q.waiting[:0]
}
