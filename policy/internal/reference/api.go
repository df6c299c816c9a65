// Package reference is the decision module as it was before its step was made to follow what
// changes. The tests of package policy hand both the same events and want the same actions. It
// goes when that work is done.
//
// Its settings, events and actions are as they were then, so that names in package policy can change;
// convert.go maps those of package policy to them. Start reading at Module.
package reference

import "time"

// Time is a reading of the node's clock, counted from any fixed origin.
type Time = time.Duration

// MessageID names a message. The node chooses it and never uses one twice.
type MessageID uint64

// Event is something that the node has seen.
type Event interface{ event() }

// Listed brings the whole list of endpoints, or changes to it.
type Listed struct {
	Whole   bool // endpoints that are missing are gone
	Entries []Entry
}

// ListFailed says that a [Subscribe] failed or was broken. The list stays.
type ListFailed struct{}

// Arrived brings a new message, or one that an earlier life of the node had.
type Arrived struct {
	Message     MessageID
	Destination int
	Class       int
	Key         uint64 // 0 where the message has none
	GiveUpAt    Time
	Past        Past // what lies behind it; nothing for a new message
}

// Past is what a message has behind it from an earlier life of the node.
type Past struct {
	Attempts int
	MayRun   bool // one of them may have run, or may run yet
	RanAt    Time // when the first such attempt was sent
	RanZone  int  // where it was sent
}

// Ended tells how an attempt ended. Every [Send] has exactly one.
type Ended struct {
	Message  MessageID
	Attempt  int // from 0
	Endpoint EndpointID
	Outcome  Outcome
	Wait     time.Duration // the wait that was told, or 0
	Final    bool          // the message has concluded
	// Stale says of a Reset that a kept connection broke before any answer: it tells
	// of the connection, and nothing of the endpoint.
	Stale bool
	Took  time.Duration
}

// Withdrawn says that nobody wants a message any more.
type Withdrawn struct{ Message MessageID }

// Told brings what another sender observed. Such messages may be lost or late.
type Told struct {
	Tag      Tag
	Endpoint EndpointID // 0 where only the Tag is known
	News     News
	Spare    time.Duration // Down: others try it, so this sender waits so long at least
}

// Remembered tells what an earlier process of the node observed of an endpoint. It comes
// before the first call to it.
type Remembered struct {
	Endpoint EndpointID
	Sent     []Time // calls, oldest first
	Failed   bool
	FailedAt Time // the last failure
	Back     bool // a success came after it
	BackAt   Time // the first such
}

// Woken says that the time of a [Wake] has come.
type Woken struct{}

func (Listed) event()     {}
func (ListFailed) event() {}
func (Arrived) event()    {}
func (Ended) event()      {}
func (Withdrawn) event()  {}
func (Told) event()       {}
func (Remembered) event() {}
func (Woken) event()      {}

// Action is something that the node shall do, at once and in the order given.
type Action interface{ action() }

// Send makes one attempt. Sends of one step to one endpoint travel as one call, as its kind allows.
type Send struct {
	Message  MessageID
	Endpoint EndpointID
	Timeout  time.Duration
}

// Refuse ends a message undelivered. Its client may hand it in again.
type Refuse struct {
	Message MessageID
	Wait    time.Duration // how long the client should stay away, or 0
}

// Fail ends a message with no promise about its effect.
type Fail struct{ Message MessageID }

// Subscribe asks for changes to the list from now on.
type Subscribe struct{}

// CloseIdle closes the idle connections to an endpoint.
type CloseIdle struct{ Endpoint EndpointID }

// Tell sends a message to all other senders. It comes only with Settings.PeerMessages.
type Tell struct {
	Tag  Tag
	News News
}

// Wake asks for a [Woken] at the first step at or after a time.
type Wake struct{ At Time }

func (Send) action()      {}
func (Refuse) action()    {}
func (Fail) action()      {}
func (Subscribe) action() {}
func (CloseIdle) action() {}
func (Tell) action()      {}
func (Wake) action()      {}

// Repeat says what a repeat of a message does at its destination.
type Repeat int

// The kinds of message, by what a repeat of them does.
const (
	// Idempotent messages may be sent and refused at will.
	Idempotent Repeat = iota
	// Deduplicated messages are dropped when repeated within a window, by
	// the endpoints of a group.
	Deduplicated
	// AtMostOnce messages must never take effect twice.
	AtMostOnce
)

// Class is what the settings say of one class of message.
type Class struct {
	Repeat       Repeat
	GroupAll     bool          // Deduplicated: every endpoint of the destination drops repeats
	GroupZone    bool          // Deduplicated: the endpoints of one zone drop repeats
	Window       time.Duration // Deduplicated: how long repeats are dropped
	Ordered      bool          // messages with the same key go one at a time, in order
	SoftDeadline time.Duration // delivered within this time, a message earns its full value
	Deadline     time.Duration // a message is given up this long after it was first handed in
	Value        float64       // for the delivery of one message
	LateValue    float64       // the share of Value that is left at the deadline
}

// Kind is what the settings say of one kind of destination.
type Kind struct {
	RoutesApart bool // each endpoint has its own limit, pace and outages
	BundleMax   int  // messages in one call at most
}

// Listing says what the rate that the list gives for a destination is worth.
type Listing int

// The ways in which rates are listed.
const (
	RateUnlisted Listing = iota // no rates are given
	RateNominal                 // rates are right
	RateRough                   // rates are up to half too high or too low
)

// Settings is what a sender knows when it starts.
type Settings struct {
	Senders int // how many senders there are
	Classes []Class
	Kinds   []Kind
	// MustSubscribe says that changes to the list come only to who asked.
	MustSubscribe bool
	ZoneFee       []float64 // per zone: value lost for each message that a route apart there takes
	Listing       Listing

	HalvesLate   bool          // value halves with each soft deadline after the first, instead of falling evenly
	Slots        int           // calls that may be out at once
	MaxHeld      int           // messages held at most, sent or not
	MaxAttempts  int           // attempts for a message at most
	PeerMessages bool          // senders may send each other notes
	MaxWait      time.Duration // the longest wait that a client heeds
	AdviseWait   bool          // clients are told how long to wait
	// ConnectTimeout is when an attempt without a connection is Unreachable.
	ConnectTimeout time.Duration
	// LeastTimeout is the least time-out of an attempt: no pause of this machine, of the network or of a
	// partner that is shorter makes a message be sent twice.
	LeastTimeout time.Duration
	Tick         time.Duration // how often the sender is called at most

	DrainGrace   time.Duration // sends to a draining endpoint must cease within this time
	ColdShare    float64       // the share of its capacity that a destination has after an outage
	WarmUp       time.Duration // the time within which it is back to all of it
	FallMultiple float64       // sent more than this multiple of its present capacity
	FallWindow   time.Duration // for this long, it falls over
	KeyRest      time.Duration // Ordered: how long a key rests after an attempt that may still run
}

// EndpointID names an endpoint. It is the node's own name for it and carries no meaning.
type EndpointID uint64

// EndpointState is what the list says of an endpoint. It tells nothing of its health.
type EndpointState int8

// The states of an endpoint in the list.
const (
	Gone EndpointState = iota
	Ready
	Draining
)

// Entry is one endpoint in a list.
type Entry struct {
	Endpoint    EndpointID
	Destination int
	Kind        int
	Zone        int
	State       EndpointState
	Rate        float64 // see Settings.Listing: calls a second from all senders together
	// Limit is how many calls a second this sender may make at most to what shares a limit with the
	// endpoint: its own share, which no other sender uses. It holds from the step that brings it, for all
	// endpoints of the destination unless its routes are apart, and what the logs count then counts
	// against it. 0 means that none is known, so that the sender has to learn it by refusals; NoCalls
	// that the sender has no share for now. An entry that is Gone changes no limit.
	Limit float64
}

// Outcome says how an attempt ended.
type Outcome int

// The outcomes. Full, Unreachable and Moot prove that the attempt never ran.
const (
	Delivered   Outcome = iota
	Failed              // the destination answered with an error
	Full                // turned away unseen
	TimedOut            // no answer in time
	Unreachable         // no connection could be made
	Reset               // the connection broke
	Cancelled           // called off
	Moot                // not sent at all
)

// News is what one sender tells the others of an endpoint.
type News int

// The kinds of event.
const (
	Down     News = iota // an outage is on
	Back                 // it answers again
	BackCold             // it answers again and is cold
	Jam                  // it turns calls away at its rate limit
)

// TagBits is the size of a [Tag].
const TagBits = 22

// Tag names an endpoint in a note, in few bits: notes are priced. Two may, rarely, have the same.
type Tag uint32
