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
	done   chan struct{}   // closed once the module follows it
}

// SetShares sets the shares of destinations' limits that this node may use while it has a lease, where
// destinations are assigned to nodes; those that are not among them stay. It returns when the module follows
// them, or the engine has ended.
func (l *Engine) SetShares(shares map[int]float64) {
	l.postAndWait(shareUpdate{shares: shares, done: make(chan struct{})})
}

// SetLeased tells whether this node has a lease. Without one it makes no call. It returns as SetShares does.
func (l *Engine) SetLeased(leased bool) {
	l.postAndWait(shareUpdate{leased: &leased, done: make(chan struct{})})
}

func (l *Engine) postAndWait(u shareUpdate) {
	l.Post(u)
	select {
	case <-u.done:
	case <-l.done:
	}
}

// shares are what this node may use of destinations' limits.
type shares struct {
	assigned  bool // destinations are assigned to nodes
	leased    bool
	of        map[int]float64 // by destination, those above 0
	following []chan struct{} // of updates that the module is about to follow
}

func newShares(assigned bool) shares { return shares{assigned: assigned, of: map[int]float64{}} }

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

// attach notes a destination's endpoint, whose limit changes with the destination's share.
func (s *shares) attach(d *destination, e *endpoint) {
	if s.assigned {
		d.endpoints = append(d.endpoints, e)
	}
}

// detach forgets an endpoint.
func (s *shares) detach(d *destination, e *endpoint) {
	if i := slices.Index(d.endpoints, e); i >= 0 {
		d.endpoints = slices.Delete(d.endpoints, i, i+1)
	}
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
func (l *Engine) applyShares(u shareUpdate) {
	changed := make([]int, 0, len(u.shares))
	for destination, share := range u.shares {
		l.shares.set(destination, share)
		changed = append(changed, destination)
	}
	if u.leased != nil && *u.leased != l.shares.leased {
		l.shares.leased = *u.leased
		for destination := range l.shares.of {
			changed = append(changed, destination)
		}
	}
	if listed := l.relisted(changed); len(listed.Entries) > 0 {
		l.batch = append(l.batch, listed)
	}
	l.shares.following = append(l.shares.following, u.done)
}

// relisted are the entries of destinations' endpoints that are listed, as they are now.
func (l *Engine) relisted(destinations []int) policy.Listed {
	var listed policy.Listed
	for _, number := range destinations {
		d := l.dests[number]
		if d == nil {
			continue
		}
		for _, e := range d.endpoints {
			if e.gone {
				continue
			}
			state := policy.Ready
			if e.Leaves.Closing() {
				state = policy.Draining
			}
			listed.Entries = append(listed.Entries, l.entry(e, state))
		}
	}
	return listed
}
