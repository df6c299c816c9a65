package lease

import (
	"maps"
	"slices"
	"time"
	"wingmount/decide/placement"
)

// HolderConfig configures a Holder.
type HolderConfig struct {
	Node placement.NodeID
	// Process distinguishes this process of the node from all its other processes. It must not be 0.
	Process ProcessID
	// Replaces is an earlier process of the node that has ended, or 0 for none.
	Replaces ProcessID
	// Incarnation is the highest one from which an earlier process of the node received a reply, or 0 for none.
	Incarnation Incarnation
}

// pendingRequest is the latest request while it awaits its reply.
type pendingRequest struct {
	sequence       uint64 // 0 means that no request is pending
	sent           time.Duration
	appliedVersion Version
}

// Holder is a node's side of its session lease. It is not safe for concurrent use. Times are durations since any fixed
// origin; a time before that of the previous call ends the lease.
type Holder struct {
	config             HolderConfig
	highestIncarnation Incarnation
	session            SessionID
	appliedVersion     Version
	resync             bool // the next request requests all assignments
	reclaiming         bool // the next request reclaims the assignments
	closed             bool
	sequence           uint64 // of the latest request
	pending            pendingRequest
	lastSeen           time.Duration // time of the previous call
	hasLease           bool          // a lease was granted and Expire has not ended it since
	expiry             time.Duration
	assignments        map[placement.DestinationID]Assignment
	// released maps each released destination to the epoch up to which its grants are no longer used. Such a destination
	// is not accepting and has no unfinished messages.
	released map[placement.DestinationID]Epoch
	// unfinished contains the destinations with accepted messages but without an assignment.
	unfinished map[placement.DestinationID]struct{}
}

// NewHolder returns a holder without a lease.
func NewHolder(config HolderConfig) *Holder {
	return &Holder{
		config:             config,
		highestIncarnation: config.Incarnation,
		assignments:        map[placement.DestinationID]Assignment{},
		released:           map[placement.DestinationID]Epoch{},
		unfinished:         map[placement.DestinationID]struct{}{},
	}
}

// observeClock records the time. If the clock has gone back, it ends the lease and drops the pending request, whose
// sending time is no longer meaningful.
func (h *Holder) observeClock(now time.Duration) {
	if now < h.lastSeen {
		h.Expire()
	}
	h.lastSeen = now
}

// Valid reports whether the lease is valid: it was granted, and its duration has not passed since the request was sent.
// If now is before the time of the previous call, Valid ends the lease and drops the pending request.
func (h *Holder) Valid(now time.Duration) bool {
	h.observeClock(now)
	return h.hasLease && now < h.expiry
}

// Expiry returns the end of the lease, from which on it is not valid. It returns 0 without a lease.
func (h *Holder) Expiry() time.Duration {
	if !h.hasLease {
		return 0
	}
	return h.expiry
}

// Expire ends the lease and drops the pending request. The reply to a later request may begin a lease again.
func (h *Holder) Expire() {
	h.hasLease = false
	h.pending = pendingRequest{}
}

// Renew returns the request to send now. The lease that its reply grants counts from now. Replies to earlier requests no
// longer count.
func (h *Holder) Renew(now time.Duration) Request {
	valid := h.Valid(now)
	h.sequence++
	request := Request{
		Node:           h.config.Node,
		Process:        h.config.Process,
		Incarnation:    h.highestIncarnation,
		Session:        h.session,
		Sequence:       h.sequence,
		AppliedVersion: h.appliedVersion,
		Replaces:       h.config.Replaces,
		Unfinished:     firstKeys(h.unfinished),
		Released:       h.pendingReleases(),
	}
	if h.resync {
		request.AppliedVersion = 0
	}
	if h.reclaiming {
		request.Reclaiming = true
		if valid {
			request.Reclaims = h.reclaims()
		}
	}
	h.pending = pendingRequest{sequence: h.sequence, sent: now, appliedVersion: request.AppliedVersion}
	return request
}

// Close ends the lease permanently, and returns the request that closes the session.
func (h *Holder) Close(now time.Duration) Request {
	h.observeClock(now)
	h.Expire()
	h.closed = true
	h.sequence++
	return Request{
		Node:        h.config.Node,
		Process:     h.config.Process,
		Incarnation: h.highestIncarnation,
		Session:     h.session,
		Sequence:    h.sequence,
		Replaces:    h.config.Replaces,
		Closing:     true,
	}
}

// reclaims returns all assignments, ordered by destination.
func (h *Holder) reclaims() []Assignment {
	reclaims := make([]Assignment, 0, len(h.assignments))
	for _, destination := range slices.Sorted(maps.Keys(h.assignments)) {
		reclaims = append(reclaims, h.assignments[destination])
	}
	return reclaims
}

// pendingReleases returns the releases that the next request reports, at most MaxReports.
func (h *Holder) pendingReleases() []Release {
	var releases []Release
	for _, destination := range firstKeys(h.released) {
		releases = append(releases, Release{Destination: destination, Epoch: h.released[destination]})
	}
	return releases
}

// firstKeys returns the smallest keys of a map, in ascending order and at most MaxReports.
func firstKeys[V any](m map[placement.DestinationID]V) []placement.DestinationID {
	if len(m) == 0 {
		return nil
	}
	keys := slices.Sorted(maps.Keys(m))
	return keys[:min(len(keys), MaxReports)]
}

// HighestIncarnation returns the highest incarnation from which a reply was received or that HolderConfig named.
func (h *Holder) HighestIncarnation() Incarnation { return h.highestIncarnation }

// AppliedVersion returns the version of the assignments.
func (h *Holder) AppliedVersion() Version { return h.appliedVersion }

// Assignment returns the assignment of a destination, also if the lease is not valid, and false if there is none.
func (h *Holder) Assignment(destination placement.DestinationID) (Assignment, bool) {
	assignment, ok := h.assignments[destination]
	return assignment, ok
}

// Quota returns the fraction of a destination's limit that the node may use now: 0 without a valid lease. If now is
// before the time of the previous call, Quota ends the lease as Valid does.
func (h *Holder) Quota(now time.Duration, destination placement.DestinationID) float64 {
	if !h.Valid(now) {
		return 0
	}
	return h.assignments[destination].Quota
}

// Assignments calls yield with each assignment, in unspecified order, until yield returns false.
func (h *Holder) Assignments(yield func(Assignment) bool) {
	for _, assignment := range h.assignments {
		if !yield(assignment) {
			return
		}
	}
}

// Len returns the number of assignments.
func (h *Holder) Len() int { return len(h.assignments) }

// ReportUnfinished records that the node has accepted messages for these destinations. The next requests report the
// destinations without an assignment, which then get a quota to finish the messages.
func (h *Holder) ReportUnfinished(destinations ...placement.DestinationID) {
	for _, destination := range destinations {
		if _, assigned := h.assignments[destination]; !assigned {
			h.unfinished[destination] = struct{}{}
		}
	}
}

// Release records that the node has no unfinished messages for a destination that is not accepting. The quota is 0 from
// now on. If the destination is accepting, Release changes nothing and returns false.
func (h *Holder) Release(destination placement.DestinationID) bool {
	assignment, assigned := h.assignments[destination]
	if assignment.Accepting {
		return false
	}
	delete(h.unfinished, destination)
	if assigned {
		assignment.Quota = 0
		h.assignments[destination] = assignment
		h.released[destination] = assignment.Epoch
	}
	return true
}

// HasPendingReport reports whether the next request contains a release or an unfinished destination.
func (h *Holder) HasPendingReport() bool { return len(h.released) > 0 || len(h.unfinished) > 0 }
