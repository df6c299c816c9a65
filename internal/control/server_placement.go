package control

import (
	"context"
	"maps"
	"slices"
	"time"
	"wingmount/decide/placement"
)

// maxOwnerChangesPerLock is the number of destinations that get new owners before Server.mu is released for polls.
const maxOwnerChangesPerLock = 1000

// schedulePlacement schedules a new placement after changes have been collected for Debounce, but not before earliest
// and not before earlier leases have expired. The first placement also waits for InitialWait if some nodes have no
// session. A placement that is already pending is not delayed. The caller holds mu.
func (s *Server) schedulePlacement(now, earliest time.Duration) {
	if s.table.Load() == nil && s.grantor.SessionCount() < len(s.spec.Nodes) {
		earliest = max(earliest, s.config.InitialWait)
	}
	due := max(now+s.config.Debounce, earliest, s.grantor.GraceEnd()+s.config.Debounce)
	if !s.placementPending || due < s.placementDue {
		s.placementDue = due
	}
	s.placementPending = true
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// computePlacement computes a placement on the eligible nodes and applies changed owners. If the computation fails, it
// logs the error, keeps the current owners and does not end the grace period. It does not retry; the next change of
// nodes, sessions or spec schedules another placement.
func (s *Server) computePlacement(ctx context.Context) {
	s.mu.Lock()
	now := s.now()
	s.placementPending = false
	input := s.spec.PlacementInput(func(id placement.NodeID) bool { return s.eligible(now, id) }, s.draining, s.config.LoadBound)
	s.expireDepartures(now)
	previous := s.table.Load()
	base := previous
	if previous == nil {
		// The first placement starts from the assignments that nodes have reclaimed, so that these stay where the rules
		// of package placement allow it.
		base = placement.Restore(input.Nodes, s.grantor.AcceptingNodes())
	}
	s.mu.Unlock()

	began := time.Now()
	table, err := placement.Compute(base, input)
	if err != nil {
		s.config.Log.Error("control: placement failed", "err", err)
		return
	}
	changed := table.Changed(previous)
	s.table.Store(table)
	for chunk := range slices.Chunk(changed, maxOwnerChangesPerLock) {
		if ctx.Err() != nil {
			return
		}
		s.applyOwners(table, chunk)
	}
	s.endGrace()
	s.config.Log.Info("control: placement computed", "nodes", len(input.Nodes), "destinations", len(input.Destinations),
		"changed", len(changed), "took", time.Since(began))
}

// eligible reports whether a node may own destinations: it has a session, or has closed it less than RestartGrace ago.
// The caller holds mu.
func (s *Server) eligible(now time.Duration, id placement.NodeID) bool {
	if s.grantor.HasSession(id) {
		return true
	}
	until, departed := s.departed[id]
	return departed && now < until
}

// expireDepartures removes nodes from departed that have a session again or whose RestartGrace has elapsed. It
// schedules a placement for the time when the RestartGrace of the next node elapses. The caller holds mu.
func (s *Server) expireDepartures(now time.Duration) {
	maps.DeleteFunc(s.departed, func(id placement.NodeID, until time.Duration) bool {
		return now >= until || s.grantor.HasSession(id)
	})
	for _, until := range s.departed {
		s.schedulePlacement(now, until)
	}
}

// applyOwners passes the owners of some destinations to the grantor, and notifies the polls that this affects.
func (s *Server) applyOwners(table *placement.Table, destinations []placement.DestinationID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	for _, destination := range destinations {
		s.grantor.SetOwners(now, destination, table.Owners(destination))
	}
	s.notifyPolls()
}

// endGrace ends the grace period once leases of earlier incarnations must have expired. Nodes lose reclaimed
// destinations that have no owner in the placement, and waiting polls with an update are answered. The end is
// persisted, so that the next start waits only for leases of the current duration.
//
// A failed write is logged, and endGrace does not retry it. Until Server.Drain writes the state, a restarted server
// waits for the longer lease, which is safe.
func (s *Server) endGrace() {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	if now < s.grantor.GraceEnd() {
		return
	}
	s.grantor.MarkOwnersComplete(now)
	s.notifyPolls()
	if s.state.LongestLease == s.config.Lease {
		return
	}
	s.state.LongestLease = s.config.Lease
	if err := s.onGraceEnd(s.state); err != nil {
		s.config.Log.Warn("control: state not written", "err", err)
	}
}
