package lease

import (
	"time"

	"wingmount/decide/placement"
)

// HolderConfig are the settings of a node's side.
type HolderConfig struct {
	Node placement.NodeID
	// Incarnation is the highest one that an earlier process of the node has heard, 0 for none.
	Incarnation Incarnation
	// Replaces is the session of an earlier process of the node that has surely ended, 0 for none.
	Replaces SessionID
}

// Update is what a reply changed.
type Update struct {
	// Complete says that the assignments are the node's whole part.
	Complete bool
	// Assignments are those that differ from before; with Complete those that were lost are among them as Gone.
	Assignments []Assignment
}

// Holder is a node's side of its session lease. It is not safe for concurrent use. Times are from any
// fixed origin; one that goes back ends the lease.
type Holder struct{}

// NewHolder returns a holder without a lease.
func NewHolder(config HolderConfig) *Holder { return &Holder{} }

// Renew returns the request to send now. The lease that its reply gives counts from this time. Requests sent
// before it are given up.
func (h *Holder) Renew(now time.Duration) Request { return Request{} }

// Receive takes in the reply to the latest request. After an error the part is as it was.
func (h *Holder) Receive(now time.Duration, reply Reply) (Update, error) { return Update{}, nil }

// InForce tells whether the lease is in force.
func (h *Holder) InForce(now time.Duration) bool { return false }

// Ends is when the lease ends; it is not in force from that time on.
func (h *Holder) Ends() time.Duration { return 0 }

// Assignment is what is assigned of a destination, in force or not. False is no part in it.
func (h *Holder) Assignment(destination placement.DestinationID) (Assignment, bool) {
	return Assignment{}, false
}

// Share is the part of a destination's limit that may be used now: 0 without a lease in force.
func (h *Holder) Share(now time.Duration, destination placement.DestinationID) float64 { return 0 }

// Assignments calls yield with each assignment, in no order, until it returns false.
func (h *Holder) Assignments(yield func(Assignment) bool) {}

// Unfinished says that the node has accepted messages for these destinations. Those without an assignment
// are reported, and get a finishing share.
func (h *Holder) Unfinished(destinations ...placement.DestinationID) {}

// Released says that the node has nothing unfinished for a destination that it does not accept for. Its
// share is 0 from now on. It returns false, and nothing changes, where the destination is accepted for.
func (h *Holder) Released(destination placement.DestinationID) bool { return false }

// Leave ends the lease now, and returns the request that tells so.
func (h *Holder) Leave(now time.Duration) Request { return Request{} }

// End ends the lease now; the next reply may begin it again.
func (h *Holder) End() {}
