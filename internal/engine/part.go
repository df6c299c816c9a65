package engine

import (
	"slices"

	"wingmount/decide/terms"
	"wingmount/policy"
)

// shareUpdate is an event: what this node may use of destinations' limits from the next step on.
type shareUpdate struct {
	shares map[int]float64 // of the limits, by destination; 0 is none. Those that are missing stay
	leased *bool           // whether any share may be used; nil where that stays
	done   chan struct{}   // closed once the module follows it; nil where nobody waits
}

// SetShares sets the shares of destinations' limits that this node may use while it has a lease, where
// destinations are assigned to nodes; those that are not among them stay. It returns when the module follows
// them, or the engine has ended.
func (e *Engine) SetShares(shares map[int]float64) {
	e.postAndWait(shareUpdate{shares: shares, done: make(chan struct{})})
}

// SetLeased tells whether this node has a lease. Without one it makes no call. It returns as SetShares does.
func (e *Engine) SetLeased(leased bool) {
	e.postAndWait(shareUpdate{leased: &leased, done: make(chan struct{})})
}

func (e *Engine) postAndWait(u shareUpdate) {
	e.Post(u)
	select {
	case <-u.done:
	case <-e.done:
	}
}

// shares are what this node may use of destinations' limits.
type shares struct {
	assigned  bool // destinations are assigned to nodes
	leased    bool
	of        map[int]float64 // by destination, those above 0
	following []chan struct{} // of updates that the module is about to follow
	// endpoints are those of each destination, where destinations are assigned to nodes.
	endpoints map[int][]listedEndpoint
}

// listedEndpoint is an endpoint with the rate that it was listed with.
type listedEndpoint struct {
	*trackedEndpoint
	rate float64
}

func newShares(assigned bool) shares {
	return shares{assigned: assigned, of: map[int]float64{}, endpoints: map[int][]listedEndpoint{}}
}

// limit is how many calls a second this node may make of a destination's rate: 0 where that is not known.
func (s *shares) limit(destination int, rate float64) float64 {
	if !s.assigned {
		return 0
	}
	share := s.of[destination]
	if !s.leased || share == 0 {
		return terms.NoCalls
	}
	return share * rate
}

// set sets the share of a destination.
func (s *shares) set(destination int, share float64) {
	if share > 0 {
		s.of[destination] = share
		return
	}
	delete(s.of, destination)
}

// attach notes a destination's endpoint, whose limit changes with the destination's share, and its listed rate.
func (s *shares) attach(endpoint *trackedEndpoint, rate float64) {
	if !s.assigned {
		return
	}
	of := s.endpoints[endpoint.Dest]
	if i := indexOf(of, endpoint); i >= 0 {
		of[i].rate = rate
		return
	}
	s.endpoints[endpoint.Dest] = append(of, listedEndpoint{endpoint, rate})
}

// detach forgets an endpoint.
func (s *shares) detach(endpoint *trackedEndpoint) {
	of := s.endpoints[endpoint.Dest]
	i := indexOf(of, endpoint)
	if i < 0 {
		return
	}
	if of = slices.Delete(of, i, i+1); len(of) == 0 {
		delete(s.endpoints, endpoint.Dest)
		return
	}
	s.endpoints[endpoint.Dest] = of
}

func indexOf(of []listedEndpoint, endpoint *trackedEndpoint) int {
	return slices.IndexFunc(of, func(l listedEndpoint) bool { return l.trackedEndpoint == endpoint })
}

// followed tells those who wait that the module follows their updates.
func (s *shares) followed() {
	for _, done := range s.following {
		close(done)
	}
	clear(s.following)
	s.following = s.following[:0]
}

// applyShares takes in an update, and tells the module of the endpoints whose limits it changes.
func (e *Engine) applyShares(u shareUpdate) {
	changed := make([]int, 0, len(u.shares))
	for destination, share := range u.shares {
		e.shares.set(destination, share)
		changed = append(changed, destination)
	}
	if u.leased != nil && *u.leased != e.shares.leased {
		e.shares.leased = *u.leased
		for destination := range e.shares.of {
			changed = append(changed, destination)
		}
	}
	if listed := e.relisted(changed); len(listed.Entries) > 0 {
		e.batch = append(e.batch, listed)
	}
	if u.done != nil {
		e.shares.following = append(e.shares.following, u.done)
	}
}

// relisted are the entries of destinations' endpoints that are listed, as they are now.
func (e *Engine) relisted(destinations []int) policy.Listed {
	var listed policy.Listed
	for _, number := range destinations {
		for _, endpoint := range e.shares.endpoints[number] {
			if endpoint.delisted {
				continue
			}
			state := policy.Ready
			if endpoint.Leaves.Closing() {
				state = policy.Draining
			}
			listed.Entries = append(listed.Entries, e.entry(endpoint.trackedEndpoint, state, endpoint.rate))
		}
	}
	return listed
}
