package store

import (
	"context"
	"time"
)

// RuleUse is which rule sets for keys and classes a node uses. Rule sets are identified by a digest of their text.
type RuleUse struct {
	Active   string // evaluates messages
	Previous string // is being replaced by Active; empty if no change is in progress
	// Drained is set if no message of the node uses a key that only Previous gives.
	Drained bool
}

// PeerState is how the rule use of another node is known.
type PeerState int

// The states of another node.
const (
	PeerStarting PeerState = iota // it has not announced its rules, and accepts no message before it does
	PeerRunning                   // it has announced its rules
	PeerGone                      // it has stopped or its lease has expired; it writes nothing more
	PeerUnknown                   // it runs a version that does not announce its rules
)

// PeerRules is the rule use of another node of the same store.
type PeerRules struct {
	RuleUse
	Node    string
	State   PeerState
	GoneFor time.Duration // for PeerGone: at least how long ago it became unable to accept messages
}

// RuleSharer is a store through which nodes tell each other which rule sets they use.
type RuleSharer interface {
	// AnnounceRules persists the rule use of this node. It returns ErrFenced if a newer process has this node's name.
	AnnounceRules(ctx context.Context, use RuleUse) error
	// PeerRules returns the rule use of all other nodes, and fences those whose leases have expired. It has every
	// announcement that was persisted before the call.
	PeerRules(ctx context.Context) ([]PeerRules, error)
}
