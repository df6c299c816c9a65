package lease

import (
	"fmt"
	"slices"
	"time"
	"wingmount/decide/placement"
)

// Receive accepts a request. The request's confirmations and releases take effect at once; Answer renews the lease. It
// returns session 0 without an error for a process that closed its session. Errors wrap ErrMalformed, ErrSuperseded,
// ErrReclaimRequired, ErrTooManySessions or ErrStaleRequest.
func (g *Grantor) Receive(now time.Duration, request Request) (SessionID, error) {
	g.advance(now)
	if err := request.validate(); err != nil {
		return 0, err
	}
	if request.Incarnation > g.incarnation {
		g.supersededBy = max(g.supersededBy, request.Incarnation)
	}
	if g.supersededBy > 0 {
		return 0, fmt.Errorf("%w: %d, and this one is %d", ErrSuperseded, g.supersededBy, g.incarnation)
	}
	if request.Replaces != 0 {
		g.endSession(g.findSession(request.Node, request.Replaces))
	}
	s := g.findSession(request.Node, request.Process)
	if request.Closing {
		g.endSession(s)
		return 0, nil
	}
	if s == nil {
		opened, err := g.openSession(request)
		if err != nil {
			return 0, err
		}
		s = opened
	}
	return s.id, g.acceptReports(s, request)
}

// validate returns an error that wraps ErrMalformed if a request is out of bounds. Error texts are sent to the node and
// use the JSON names of fields: claims are Reclaims, a share is a Quota.
func (r Request) validate() error {
	if r.Node == "" || len(r.Node) > MaxNameLength {
		return fmt.Errorf("%w: a node's name of %d bytes", ErrMalformed, len(r.Node))
	}
	if r.Process == 0 || r.Process == r.Replaces {
		return fmt.Errorf("%w: process %d replaces %d", ErrMalformed, r.Process, r.Replaces)
	}
	if r.Incarnation > MaxIncarnation {
		return fmt.Errorf("%w: incarnation %d", ErrMalformed, r.Incarnation)
	}
	if len(r.Unfinished) > MaxReports || len(r.Released) > MaxReports || len(r.Reclaims) > MaxReclaims {
		return fmt.Errorf("%w: %d unfinished, %d released, %d claims", ErrMalformed,
			len(r.Unfinished), len(r.Released), len(r.Reclaims))
	}
	for _, reclaimed := range r.Reclaims {
		if !validQuota(reclaimed.Quota) {
			return fmt.Errorf("%w: destination %d is claimed with a share of %v", ErrMalformed,
				reclaimed.Destination, reclaimed.Quota)
		}
	}
	return nil
}

// acceptReports processes the confirmations, releases and unfinished destinations of a session's request. Confirmations
// and releases count even if a later request was received before.
func (g *Grantor) acceptReports(s *session, request Request) error {
	if request.Session == s.id {
		if request.AppliedVersion > s.version {
			return fmt.Errorf("%w: version %d is confirmed, and %d is the latest", ErrMalformed,
				request.AppliedVersion, s.version)
		}
		g.confirm(s, request.AppliedVersion)
	}
	g.release(s, request.Released)
	if request.Sequence <= s.sequence {
		return ErrStaleRequest
	}
	s.sequence = request.Sequence
	if s.isActive() {
		g.addReported(s, request.Unfinished)
	}
	return nil
}

// confirm lowers reservations to the quotas of an applied version, because the holder uses no quota of an earlier
// version.
func (g *Grantor) confirm(s *session, applied Version) {
	if applied <= s.appliedVersion {
		return
	}
	changed := s.changedSince(s.appliedVersion)
	s.appliedVersion = applied
	later := slices.IndexFunc(changed, func(granted *grant) bool { return granted.version > applied })
	if later >= 0 {
		changed = changed[:later]
	}
	for _, confirmed := range changed {
		a := confirmed.allocation
		g.quarantineQuota(a, confirmed.reserved-confirmed.quota)
		confirmed.reserved = confirmed.quota
		if confirmed.role == roleReleased {
			s.removeGrant(confirmed)
			a.remove(confirmed)
			g.deleteAllocationIfUnused(a)
		}
	}
	for _, confirmed := range changed {
		g.rebalance(confirmed.allocation)
	}
}

// releaseCounts reports whether a release ends a grant: the grant must not be accepting, and the release must name its
// latest epoch.
func releaseCounts(granted *grant, release Release) bool {
	return !granted.accepting && granted.epoch == release.Epoch
}

// release sets the quotas and reservations of released grants to 0.
func (g *Grantor) release(s *session, releases []Release) {
	for _, release := range releases {
		a := g.allocations[release.Destination]
		if a == nil {
			continue
		}
		granted := a.findGrant(s)
		if granted == nil || granted.role == roleReleased {
			continue
		}
		if !releaseCounts(granted, release) && !g.faults.ignoreEpoch {
			continue
		}
		g.quarantineQuota(a, granted.reserved)
		granted.quota, granted.reserved = 0, 0
		granted.role, granted.accepting = roleReleased, false
		g.newEpoch(granted)
		g.rebalance(a)
	}
}

// addReported adds grants for the destinations of a session's unfinished messages, up to Config.MaxUnfinished.
func (g *Grantor) addReported(s *session, unfinished []placement.DestinationID) {
	for _, destination := range unfinished {
		a := g.allocationFor(destination)
		if a.findGrant(s) != nil || s.reportedGrants >= g.config.MaxUnfinished {
			g.deleteAllocationIfUnused(a)
			continue
		}
		g.addGrant(&grant{allocation: a, session: s, reported: true})
		g.rebalance(a)
	}
}
