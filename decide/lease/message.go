package lease

import (
	"errors"
	"time"

	"wingmount/decide/placement"
)

// Incarnation numbers the lives of a control process. Each life has a higher one than all before it.
type Incarnation uint64

// SessionID names a session of one node's process with one incarnation of the grantor. 0 is none.
type SessionID uint64

// Version numbers the states of one session's part. 0 is before the first one.
type Version uint64

// Epoch numbers grants. A later grant of the same destination has a higher epoch, also across incarnations.
type Epoch uint64

// Assignment is what a node may do with a destination while its lease is in force.
type Assignment struct {
	Destination placement.DestinationID `json:"destination"`
	Epoch       Epoch                   `json:"epoch"`
	// Share is the part of the destination's limit, 0 to 1, that the node may use. 0 is none at all for now.
	Share float64 `json:"share"`
	// Accepting says that the node takes new messages for the destination. A node that does not accept
	// finishes what it has accepted, and says that it has released the destination once that is empty.
	Accepting bool `json:"accepting"`
	// Gone says that the node has no part in the destination any more.
	Gone bool `json:"gone,omitempty"`
}

// Release says that a node has nothing unfinished for a destination that it does not accept for, and
// uses no grant of it up to an epoch any more.
type Release struct {
	Destination placement.DestinationID `json:"destination"`
	Epoch       Epoch                   `json:"epoch"`
}

// Request opens or renews a session. That a version is applied confirms each share of that version.
type Request struct {
	Node        placement.NodeID `json:"node"`
	Incarnation Incarnation      `json:"incarnation"` // the highest one heard
	Session     SessionID        `json:"session"`
	Sequence    uint64           `json:"sequence"` // rises with each request of a holder
	Applied     Version          `json:"applied"`  // 0 asks for the whole part
	// Replaces is a session of an earlier process of the node, which has surely ended.
	Replaces SessionID `json:"replaces,omitempty"`
	// Claims are the assignments in force, told to a grantor that has not granted them.
	Claims []Assignment `json:"claims,omitempty"`
	// Unfinished are destinations that the node has accepted messages for and has no assignment of.
	Unfinished []placement.DestinationID `json:"unfinished,omitempty"`
	Released   []Release                 `json:"released,omitempty"`
	// Leaving ends the session: the node uses no share any more.
	Leaving bool `json:"leaving,omitempty"`
}

// Reply renews a session for Duration from the sending of the request that it answers.
type Reply struct {
	Incarnation Incarnation   `json:"incarnation"`
	Session     SessionID     `json:"session"`
	Sequence    uint64        `json:"sequence"`
	Duration    time.Duration `json:"duration"`
	From        Version       `json:"from"` // the version that the assignments are changes to
	Version     Version       `json:"version"`
	Complete    bool          `json:"complete"` // the whole part: assignments that are missing are gone
	Assignments []Assignment  `json:"assignments,omitempty"`
}

// Errors of a grantor and of a holder.
var (
	ErrSuperseded   = errors.New("a newer incarnation of the control process is known")
	ErrOld          = errors.New("the reply is of an older incarnation of the control process")
	ErrFull         = errors.New("no more sessions")
	ErrMalformed    = errors.New("malformed message")
	ErrUnexpected   = errors.New("the reply answers no request that is under way")
	ErrGap          = errors.New("the changes are not to the version that is applied")
	ErrNoSession    = errors.New("the session has ended")
	ErrStaleRequest = errors.New("a later request of the session was received")
)
