package control

import (
	"errors"
	"wingmount/decide/leadership"
	"wingmount/decide/placement"
	"wingmount/internal/clusterspec"
)

// command is an entry of the replicated log. At most one of the pointers is set. The JSON names must not change, since
// the log is stored.
type command struct {
	// ID identifies the command to its proposer, which waits for the outcome.
	ID           uint64                  `json:"id"`
	Join         *leadership.Join        `json:"join,omitempty"`
	Candidacy    *leadership.Candidacy   `json:"claim,omitempty"`
	Renewal      *leadership.Renewal     `json:"renew,omitempty"`
	Resignation  *leadership.Resignation `json:"release,omitempty"`
	AddMember    *addMember              `json:"add,omitempty"`
	RemoveMember *removeMember           `json:"remove,omitempty"`
	Drain        *setDraining            `json:"drain,omitempty"`
	SpecChange   *specChange             `json:"world,omitempty"`
}

// addMember adds a member to the quorum.
type addMember struct {
	Member  leadership.MemberID `json:"member"`
	Region  string              `json:"region"`
	Address string              `json:"address"` // HOST:PORT
}

// removeMember removes a member, which must have stopped permanently.
type removeMember struct {
	Member leadership.MemberID `json:"member"`
}

// setDraining sets whether a node is draining.
type setDraining struct {
	Node     placement.NodeID `json:"node"`
	Draining bool             `json:"draining"`
	Previous uint64           `json:"after"` // the drain version on which the command is based
}

// specChange is one part of a change to the cluster spec. The change is atomic: it takes effect when its last part is
// applied.
type specChange struct {
	Change   uint64 `json:"change"` // identifies the change
	Previous uint64 `json:"after"`  // the spec version on which the change is based
	Part     int    `json:"part"`   // from 0
	Last     bool   `json:"last,omitempty"`
	clusterspec.Delta
}

// Outcomes of commands that took no effect.
var (
	// ErrConflict reports that the state is no longer the version on which the command is based.
	ErrConflict = errors.New("something else was changed first")
	// ErrNoEffect reports that a command does not apply to the current state.
	ErrNoEffect = errors.New("the command has no effect")
)
