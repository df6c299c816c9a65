package lease

import (
	"cmp"
	"fmt"
	"slices"
	"time"
	"wingmount/decide/placement"
)

// Update contains the changes that a reply made to a holder's assignments.
type Update struct {
	// Complete means that the reply contained all of the node's assignments.
	Complete bool
	// Assignments contains the changed assignments, ordered by destination. Removed is set in those that ended.
	Assignments []Assignment
}

// Receive accepts the reply to the latest request. An error leaves the assignments and the lease unchanged. Errors wrap
// ErrStaleIncarnation, ErrUnexpectedReply, ErrMalformed, ErrVersionGap or ErrReclaimRequired. After ErrReclaimRequired
// the caller sends the next request at once.
func (h *Holder) Receive(now time.Duration, reply Reply) (Update, error) {
	h.observeClock(now)
	if reply.Incarnation < h.highestIncarnation {
		return Update{}, fmt.Errorf("%w: got %d, want at least %d", ErrStaleIncarnation, reply.Incarnation, h.highestIncarnation)
	}
	if h.closed || h.pending.sequence == 0 || reply.Sequence != h.pending.sequence {
		return Update{}, ErrUnexpectedReply
	}
	answered := h.pending
	h.pending = pendingRequest{}
	if err := h.validateReply(reply, answered); err != nil {
		h.resync = true
		return Update{}, err
	}
	h.highestIncarnation = reply.Incarnation
	h.reclaiming = reply.ReclaimRequired
	if reply.ReclaimRequired {
		return Update{}, ErrReclaimRequired
	}
	update := h.apply(reply)
	h.session, h.appliedVersion, h.resync = reply.Session, reply.Version, false
	h.hasLease, h.expiry = true, answered.sent+reply.Duration
	return update, nil
}

// validateReply returns an error that wraps ErrMalformed or ErrVersionGap if a reply can't be applied.
func (h *Holder) validateReply(reply Reply, answered pendingRequest) error {
	if reply.Incarnation == 0 || reply.Incarnation > MaxIncarnation {
		return fmt.Errorf("%w: incarnation %d, want 1 to %d", ErrMalformed, reply.Incarnation, MaxIncarnation)
	}
	if reply.ReclaimRequired {
		return nil
	}
	if reply.Duration <= 0 || reply.Duration > MaxDuration {
		return fmt.Errorf("%w: lease duration %v, want above 0 and at most %v", ErrMalformed, reply.Duration, MaxDuration)
	}
	if reply.Session.Incarnation() != reply.Incarnation {
		return fmt.Errorf("%w: session %d does not belong to incarnation %d", ErrMalformed, reply.Session, reply.Incarnation)
	}
	if !reply.Complete && !h.appliesTo(reply, answered) {
		return fmt.Errorf("%w: changes start at version %d of session %d, applied is version %d of session %d",
			ErrVersionGap, reply.FromVersion, reply.Session, h.appliedVersion, h.session)
	}
	if reply.Session == h.session && reply.Version < h.appliedVersion {
		return fmt.Errorf("%w: version %d is before the applied version %d", ErrMalformed, reply.Version, h.appliedVersion)
	}
	return h.validateAssignments(reply)
}

// appliesTo reports whether the changes of a reply start at the applied version.
func (h *Holder) appliesTo(reply Reply, answered pendingRequest) bool {
	return reply.Session == h.session &&
		reply.FromVersion == answered.appliedVersion && answered.appliedVersion == h.appliedVersion
}

// validateAssignments returns an error that wraps ErrMalformed if an assignment of a reply can't be applied. Error texts
// use the JSON names of fields: a share is a Quota, gone is Removed.
func (h *Holder) validateAssignments(reply Reply) error {
	seen := make(map[placement.DestinationID]struct{}, len(reply.Assignments))
	for _, assignment := range reply.Assignments {
		destination := assignment.Destination
		if _, duplicate := seen[destination]; duplicate {
			return fmt.Errorf("%w: duplicate assignment of destination %d", ErrMalformed, destination)
		}
		seen[destination] = struct{}{}
		if !validQuota(assignment.Quota) {
			return fmt.Errorf("%w: destination %d: share is %v, want 0 to 1", ErrMalformed, destination, assignment.Quota)
		}
		if assignment.Removed && (assignment.Accepting || assignment.Quota > 0) {
			return fmt.Errorf("%w: destination %d is gone but accepting or has a share", ErrMalformed, destination)
		}
		if known := h.assignments[destination].Epoch; assignment.Epoch < known {
			return fmt.Errorf("%w: destination %d: epoch %d is before the applied epoch %d", ErrMalformed,
				destination, assignment.Epoch, known)
		}
	}
	return nil
}

// apply applies the assignments of a reply.
func (h *Holder) apply(reply Reply) Update {
	update := Update{Complete: reply.Complete}
	if reply.Complete {
		update.Assignments = h.removeMissing(reply)
	}
	for _, assignment := range reply.Assignments {
		if applied, changed := h.applyAssignment(assignment); changed {
			update.Assignments = append(update.Assignments, applied)
		}
	}
	slices.SortFunc(update.Assignments, func(a, b Assignment) int {
		return cmp.Compare(a.Destination, b.Destination)
	})
	return update
}

// removeMissing removes the assignments that a complete reply does not contain, and returns them. Destinations that were
// not released may have unfinished messages, so the next requests report them as unfinished.
func (h *Holder) removeMissing(reply Reply) []Assignment {
	assigned := make(map[placement.DestinationID]struct{}, len(reply.Assignments))
	for _, assignment := range reply.Assignments {
		assigned[assignment.Destination] = struct{}{}
	}
	var removed []Assignment
	for destination, assignment := range h.assignments {
		if _, remains := assigned[destination]; remains {
			continue
		}
		removed = append(removed, Assignment{Destination: destination, Epoch: assignment.Epoch, Removed: true})
		delete(h.assignments, destination)
		if _, released := h.released[destination]; !released {
			h.unfinished[destination] = struct{}{}
		}
	}
	for destination := range h.released {
		if _, remains := assigned[destination]; !remains {
			delete(h.released, destination)
		}
	}
	return removed
}

// applyAssignment applies one assignment. It returns the applied assignment, and whether it differs from the one before.
func (h *Holder) applyAssignment(assignment Assignment) (Assignment, bool) {
	destination := assignment.Destination
	before, known := h.assignments[destination]
	if assignment.Removed {
		delete(h.assignments, destination)
		delete(h.released, destination)
		return assignment, known
	}
	delete(h.unfinished, destination)
	if assignment.Accepting {
		delete(h.released, destination)
	}
	if _, released := h.released[destination]; released {
		h.released[destination] = assignment.Epoch
		assignment.Quota = 0
	}
	h.assignments[destination] = assignment
	return assignment, !known || before != assignment
}
