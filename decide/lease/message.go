package lease

import (
	"errors"
	"time"
	"wingmount/decide/placement"
)

// Incarnation numbers the processes that grant leases: each one has a higher number than all before it.
type Incarnation uint64

// MaxIncarnation is the highest incarnation.
const MaxIncarnation Incarnation = 1<<24 - 1

// ProcessID distinguishes the processes of one node. 0 means no process.
type ProcessID uint64

// SessionID identifies a session of one node's process with one incarnation of a grantor. 0 means no session.
type SessionID uint64

// counterBits is the number of low bits of a SessionID and of an Epoch that contain a counter. The higher bits contain the
// incarnation.
const counterBits = 40

// Incarnation returns the incarnation of the grantor that opened the session.
func (s SessionID) Incarnation() Incarnation { return Incarnation(s >> counterBits) }

// Version numbers the states of one session's assignments. 0 precedes the first state.
type Version uint64

// Epoch is the fencing token of a grant. A later grant of a destination to a node has a higher epoch, also across
// incarnations.
type Epoch uint64

// Incarnation returns the incarnation of the grantor that made the grant.
func (e Epoch) Incarnation() Incarnation { return Incarnation(e >> counterBits) }

// Assignment permits a node to use a quota of a destination's limit, and to accept messages for the destination or only
// finish them, while the node's lease is valid.
type Assignment struct {
	Destination placement.DestinationID `json:"destination"`
	Epoch       Epoch                   `json:"epoch"`
	// Quota is the fraction of the destination's limit, 0 to 1, that the node may use. Multiplied by the rate limit of
	// an endpoint it is the endpoint's policy.Entry.AssignedRate, in calls per second. The JSON field and error texts
	// call it a share. It is unrelated to ratelimit.Quota, which is the state of one sender's rate limit.
	Quota float64 `json:"share"`
	// Accepting means that the node accepts new messages for the destination. Otherwise the node finishes its accepted
	// messages, and releases the destination once none is unfinished.
	Accepting bool `json:"accepting"`
	// Removed means that the node is no longer assigned the destination.
	Removed bool `json:"gone,omitempty"`
}

// Release reports that a node has no unfinished messages for a destination, does not accept messages for it, and no
// longer uses any grant of it up to Epoch.
type Release struct {
	Destination placement.DestinationID `json:"destination"`
	Epoch       Epoch                   `json:"epoch"`
}

// Request opens or renews a session. AppliedVersion confirms that the holder has applied all changes up to that
// version.
type Request struct {
	Node        placement.NodeID `json:"node"`
	Process     ProcessID        `json:"process"`
	Incarnation Incarnation      `json:"incarnation"` // the highest one from which the node has received a reply
	Session     SessionID        `json:"session"`
	Sequence    uint64           `json:"sequence"` // increases with each request of a process
	// AppliedVersion is the version of the holder's assignments. 0 requests all of them.
	AppliedVersion Version `json:"applied"`
	// Replaces is an earlier process of the node, which must have ended.
	Replaces ProcessID `json:"replaces,omitempty"`
	// Reclaiming means that Reclaims contains all assignments of the holder, or none if its lease is not valid.
	Reclaiming bool         `json:"claiming,omitempty"`
	Reclaims   []Assignment `json:"claims,omitempty"`
	// Unfinished lists destinations for which the node has accepted messages but has no assignment.
	Unfinished []placement.DestinationID `json:"unfinished,omitempty"`
	Released   []Release                 `json:"released,omitempty"`
	// Closing ends the session: the process no longer uses any quota.
	Closing bool `json:"leaving,omitempty"`
}

// Reply renews a session for Duration from the sending of the request that it answers.
type Reply struct {
	Incarnation Incarnation   `json:"incarnation"`
	Session     SessionID     `json:"session"`
	Sequence    uint64        `json:"sequence"`
	Duration    time.Duration `json:"duration"`
	// ReclaimRequired means that the grantor is a new incarnation, and that the holder has to send the request again with
	// Reclaims. Such a reply does not renew the session.
	ReclaimRequired bool `json:"claims_wanted,omitempty"`
	// FromVersion is the version to which Assignments are changes.
	FromVersion Version `json:"from"`
	Version     Version `json:"version"`
	// Complete means that Assignments contains all assignments of the node, not only changes.
	Complete    bool         `json:"complete"`
	Assignments []Assignment `json:"assignments,omitempty"`
}

// Bounds of requests and leases.
const (
	// MaxNameLength is the longest name of a node, in bytes.
	MaxNameLength = 255
	// MaxReports bounds the number of unfinished destinations, and of releases, in one request. Later requests report
	// the rest.
	MaxReports = 1024
	// MaxReclaims bounds the number of assignments that one node reclaims.
	MaxReclaims = 1 << 20
	// MaxDuration is the longest lease.
	MaxDuration = time.Hour
)

// Errors that a Grantor and a Holder return.
var (
	ErrSuperseded       = errors.New("a newer incarnation of the control process is known")
	ErrStaleIncarnation = errors.New("reply is from an older incarnation of the control process")
	ErrTooManySessions  = errors.New("there are as many sessions as may be")
	ErrMalformed        = errors.New("malformed message")
	ErrUnexpectedReply  = errors.New("reply does not answer the pending request")
	ErrVersionGap       = errors.New("reply contains changes to a version that is not applied")
	ErrNoSession        = errors.New("the session has ended")
	ErrStaleRequest     = errors.New("a later request of the process was received")
	ErrReclaimRequired  = errors.New("new incarnation of the control process requires the node to reclaim its assignments")
)
