package policy

import "time"

// Time is a reading of the node's clock, counted from any fixed origin.
type Time = time.Duration

// MessageID identifies a message. The node chooses it and never reuses one.
type MessageID uint64

// Event is something that the node observed. The node passes events to [Sender.Step].
type Event interface{ event() }

// EndpointUpdate contains the complete endpoint list, or changes to it.
type EndpointUpdate struct {
	Complete bool // endpoints without an entry are removed
	Entries  []Entry
}

// SubscriptionFailed reports that a [Subscribe] failed or its subscription broke. The sender keeps the last
// endpoint list.
type SubscriptionFailed struct{}

// Arrived contains a message that the node accepted, or restored after a restart.
type Arrived struct {
	Message     MessageID
	Destination int
	Class       int    // index of Settings.Classes
	Key         uint64 // 0 means no key
	GiveUpAt    Time
	Past        PriorAttempts // zero for a new message
}

// PriorAttempts describes the attempts at a message before the node restarted.
type PriorAttempts struct {
	Attempts     int
	MayHaveRun   bool // one of them may have run, or may still run
	FirstRunAt   Time // when the first such attempt was sent
	FirstRunZone int  // the zone to which it was sent
}

// AttemptCompleted reports the outcome of an attempt. The node passes in exactly one for each [Send].
type AttemptCompleted struct {
	Message    MessageID
	Attempt    int // from 0
	Endpoint   EndpointID
	Outcome    Outcome
	RetryAfter time.Duration // from the destination's response, or 0
	Final      bool          // the message is done
	// StaleConnection means, for a Reset, that a cached connection broke before any response. The endpoint
	// may be healthy.
	StaleConnection bool
	Duration        time.Duration
}

// Withdrawn reports that a message must no longer be delivered.
type Withdrawn struct{ Message MessageID }

// PeerMessage contains an observation of another sender. Such messages may be lost or delayed.
type PeerMessage struct {
	Tag        Tag
	Endpoint   EndpointID // 0 if only the Tag is known
	Event      PeerEvent
	ProbeDelay time.Duration // PeerDown: others probe the endpoint, so this sender waits at least this long
}

// HealthRestored contains the observations about an endpoint that the node made before it restarted. It
// may arrive after calls to the endpoint if all their outcomes precede FailedAt.
type HealthRestored struct {
	Endpoint    EndpointID
	CallTimes   []Time // oldest first
	Failed      bool   // a call failed
	FailedAt    Time   // the last failure
	Recovered   bool   // a success followed the last failure
	RecoveredAt Time   // the first such success
}

// Woken reports that the time of a [Wake] has been reached.
type Woken struct{}

func (EndpointUpdate) event()     {}
func (SubscriptionFailed) event() {}
func (Arrived) event()            {}
func (AttemptCompleted) event()   {}
func (Withdrawn) event()          {}
func (PeerMessage) event()        {}
func (HealthRestored) event()     {}
func (Woken) event()              {}

// Action is a command to the node. The node executes the actions of a step immediately and in order.
type Action interface{ action() }

// Send makes one attempt. The Sends of one step to one endpoint form one call, up to Kind.MaxBatch messages.
type Send struct {
	Message  MessageID
	Endpoint EndpointID
	Timeout  time.Duration
}

// Reject ends a message without delivery. Its client may submit it again.
type Reject struct {
	Message    MessageID
	RetryAfter time.Duration // how long the client should wait, or 0
}

// Fail ends a message with an unknown effect: an attempt may have run.
type Fail struct{ Message MessageID }

// Subscribe requests the changes to the endpoint list from now on.
type Subscribe struct{}

// CloseIdle closes the idle connections to an endpoint.
type CloseIdle struct{ Endpoint EndpointID }

// NotifyPeers sends an event to all other senders. It requires Settings.PeerMessages.
type NotifyPeers struct {
	Tag   Tag
	Event PeerEvent
}

// Wake requests a [Woken] in the first step at or after a time.
type Wake struct{ At Time }

func (Send) action()        {}
func (Reject) action()      {}
func (Fail) action()        {}
func (Subscribe) action()   {}
func (CloseIdle) action()   {}
func (NotifyPeers) action() {}
func (Wake) action()        {}
