package policy

import "time"

// Repeat classifies messages by the effect of a repeat at the destination.
type Repeat int

const (
	// Idempotent messages may be repeated without restriction, and rejected even if they may have run.
	Idempotent Repeat = iota
	// Deduplicated messages are dropped by a group of endpoints if they are repeated within a time window.
	Deduplicated
	// AtMostOnce messages must never take effect twice.
	AtMostOnce
)

// Class configures one class of message.
type Class struct {
	Repeat       Repeat
	GroupAll     bool          // Deduplicated: all endpoints of the destination drop repeats
	GroupZone    bool          // Deduplicated: the endpoints of one zone drop repeats
	DedupWindow  time.Duration // Deduplicated: how long repeats are dropped
	Ordered      bool          // messages with the same key are sent one at a time, in order
	SoftDeadline time.Duration // a message delivered within this time earns its full value
	Deadline     time.Duration // a message is given up this long after it was first submitted
	Value        float64       // earned by the delivery of one message
	LateValue    float64       // the fraction of Value that is earned at the deadline
}

// Kind configures one kind of destination.
type Kind struct {
	SeparateRoutes bool // each endpoint has its own rate limit, call spacing and outages
	MaxBatch       int  // the maximum number of messages in one call
}

// RateAccuracy is the accuracy of the rates in the endpoint list.
type RateAccuracy int

const (
	// RateUnknown means that the list contains no rates.
	RateUnknown RateAccuracy = iota
	// RateExact means that the rates are correct.
	RateExact
	// RateRough means that each rate is within 50% of the true rate.
	RateRough
)

// maxRoughFactor is the maximum ratio of a rough rate to the true rate.
const maxRoughFactor = 1.5

// LowerBound returns the lowest true rate that is consistent with an advertised rate.
func (a RateAccuracy) LowerBound(rate float64) float64 {
	if a == RateRough {
		return rate / maxRoughFactor
	}
	return rate
}

// Settings configures a [Sender]. It does not change after [New].
type Settings struct {
	Senders       int // number of senders, this one included
	Classes       []Class
	Kinds         []Kind
	ZoneFee       []float64 // by zone: fee for a message on a separate route, as a fraction of its value
	RateAccuracy  RateAccuracy
	MustSubscribe bool // list changes arrive only after a Subscribe; internal/engine passes them without it
	PeerMessages  bool // senders may notify each other

	Slots       int // the maximum number of outstanding calls
	MaxInFlight int // the maximum number of messages in flight, sent or not; 0 means no limit
	MaxAttempts int // the maximum number of attempts at a message

	HalvesLate       bool          // late value halves per further soft deadline instead of falling linearly
	AdviseRetryAfter bool          // rejections advise when to submit the message again
	MaxRetryAfter    time.Duration // the longest advised delay that a client respects
	Tick             time.Duration // the shortest time between two steps

	// ConnectTimeout is the time after which an attempt without a connection is Unreachable.
	ConnectTimeout time.Duration
	// MinTimeout is the shortest timeout of an attempt. A shorter pause of this machine, the network or a
	// partner then causes no repeated attempt.
	MinTimeout time.Duration

	DrainGrace time.Duration // calls to a draining endpoint must end within this time
	// KeyCooldown is how long an Ordered key waits after an attempt that may still run.
	KeyCooldown time.Duration

	// InitialCapacity is the fraction of its capacity that a destination has immediately after an outage.
	// WarmUp is the time in which the fraction rises to 1. A destination fails again if it gets more than
	// OverloadFactor times its current capacity for OverloadWindow. OverloadFactor 0 means that overload
	// causes no failure.
	InitialCapacity float64
	WarmUp          time.Duration
	OverloadFactor  float64
	OverloadWindow  time.Duration
}

// EndpointID identifies an endpoint. It must be the same on all nodes, because tags are derived
// from it. Its value has no other meaning.
type EndpointID uint64

// EndpointState is the state of an endpoint in the endpoint list. It implies nothing about its health.
type EndpointState int8

const (
	// Removed endpoints are no longer in the list.
	Removed EndpointState = iota
	// Ready endpoints take calls.
	Ready
	// Draining endpoints shut down gracefully: calls must end within Settings.DrainGrace.
	Draining
)

// Entry is one endpoint in an endpoint list.
type Entry struct {
	Endpoint    EndpointID
	Destination int
	Kind        int // index of Settings.Kinds
	Zone        int // index of Settings.ZoneFee
	State       EndpointState
	Rate        float64 // calls a second from all senders together; see Settings.RateAccuracy
	// AssignedRate is the part of the endpoint's rate limit that is assigned to this sender only, in calls a
	// second. It applies from the step that receives it: to the endpoint if its destination has separate
	// routes, otherwise to all endpoints of the destination. Calls before that step count in the windows too.
	// 0 means that no rate is assigned: the sender then estimates the limit from rejections. NoCalls means
	// that this sender may currently make no calls. Removed entries change no rate.
	AssignedRate float64
}

// NoCalls is the Entry.AssignedRate of a sender that may currently make no calls: messages wait.
const NoCalls = -1.0

// Outcome is the result of an attempt.
type Outcome int

const (
	// Delivered means that the destination accepted the message.
	Delivered Outcome = iota
	// Failed means that the destination returned an error.
	Failed
	// RateLimited means that a rate limit rejected the call: it did not run.
	RateLimited
	// TimedOut means that no response was received before the timeout.
	TimedOut
	// Unreachable means that no connection was established: the attempt did not run.
	Unreachable
	// Reset means that the connection broke.
	Reset
	// Cancelled means that the node cancelled the attempt.
	Cancelled
	// NotSent means that the attempt was never sent.
	NotSent
)

// PeerEvent is an observation about an endpoint that a sender reports to the other senders.
type PeerEvent int

const (
	// PeerDown means that an outage has begun.
	PeerDown PeerEvent = iota
	// PeerRecovered means that the endpoint responds again, at full capacity.
	PeerRecovered
	// PeerSlowStart means that the endpoint responds again and is warming up.
	PeerSlowStart
	// PeerRateLimited means that the endpoint's rate limit rejected a call.
	PeerRateLimited
)

// TagBits is the size of a [Tag] in bits.
const TagBits = 22

// Tag identifies an endpoint in a message between senders. It is short because each bit of such a message has
// a cost. In rare cases two endpoints have the same tag.
type Tag uint32

// tagMultiplier is 2^64 divided by the golden ratio: its products with close IDs differ in their high bits.
const tagMultiplier = 0x9e3779b97f4a7c15

// TagOf returns the tag of an endpoint.
func TagOf(id EndpointID) Tag { return Tag(uint64(id) * tagMultiplier >> (64 - TagBits)) }
