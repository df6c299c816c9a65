package lease

import (
	"time"

	"wingmount/decide/placement"
)

// Config are the settings of a grantor.
type Config struct {
	// Duration is how long a lease lasts by the holder's clock, from the sending of its request.
	Duration time.Duration
	// MaxDrift bounds clocks: in a time in which the grantor's clock shows t, a holder's shows (1-MaxDrift)*t at least.
	MaxDrift float64
	// Slack is added to each wait for the end of a lease: the time between a holder's look at its clock and what it does.
	Slack time.Duration
	// MaxSessions bounds the sessions.
	MaxSessions int
	// MaxUnfinished bounds the destinations that a node may have a part in without being their owner.
	MaxUnfinished int
}

// Grantor is the control process's side of all sessions. It is not safe for concurrent use. Times are from
// any fixed origin; one that goes back is taken for the latest one.
type Grantor struct{}

// NewGrantor returns a grantor that begins now. It grants nothing but what is claimed until all leases of
// earlier incarnations have surely ended.
func NewGrantor(now time.Duration, incarnation Incarnation, config Config) *Grantor {
	return &Grantor{}
}

// Ready is when leases of earlier incarnations have surely ended.
func (g *Grantor) Ready() time.Duration { return 0 }

// SetOwners says which nodes own a destination from now on. Shares follow by steps that never let their sum exceed 1.
func (g *Grantor) SetOwners(now time.Duration, destination placement.DestinationID, owners []placement.NodeID) {
}

// Receive takes in a request. What it confirms and releases counts at once; the lease is renewed by Answer.
func (g *Grantor) Receive(now time.Duration, request Request) (SessionID, error) { return 0, nil }

// HasNews tells whether an answer to a request of a session would carry more than the renewal itself.
func (g *Grantor) HasNews(session SessionID, applied Version) bool { return false }

// Answer renews a session and returns the reply to a request that was received.
func (g *Grantor) Answer(now time.Duration, session SessionID, request Request) (Reply, error) {
	return Reply{}, nil
}

// Advance ends sessions whose lease has surely ended, and grants on what they had. It returns the nodes that
// have no session any more.
func (g *Grantor) Advance(now time.Duration) []placement.NodeID { return nil }

// Next is when Advance has something to do next; false is never, as things are.
func (g *Grantor) Next() (time.Duration, bool) { return 0, false }

// TakeNews calls yield with each session that got news since the last call.
func (g *Grantor) TakeNews(yield func(SessionID)) {}

// Alive tells whether a node has a session.
func (g *Grantor) Alive(node placement.NodeID) bool { return false }

// Holding is what the grantor reckons with for one holder of a destination.
type Holding struct {
	Node       placement.NodeID
	Session    SessionID
	Assignment Assignment // what it was told last
	Reserved   float64    // the most of the limit that it may still believe to have
	Confirmed  bool       // it has applied what it was told last
	Expires    time.Duration
}

// Holdings are the holders of a destination.
func (g *Grantor) Holdings(destination placement.DestinationID) []Holding { return nil }
