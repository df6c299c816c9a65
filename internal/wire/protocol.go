// Package wire reads and writes the simulator's protocol: batches of events, replies with actions, settings, and the
// messages between instances.
//
// A batch has event records and a tail that they share, a reply has action records and a tail. Numbers are
// little-endian, without padding between fields. The package is strict: whatever it cannot account for is an error. It
// has no state and is safe for concurrent use.
//
// # The protocol's words
//
// The protocol has words of its own. Each is mapped here, in the tags of settings.go, and nowhere else:
//
//	code       word          constant                   fields by the protocol's words
//	event 16   first         EventResponseStarted       Tid MessageID, RoundNo Attempt, duration DurationUs
//	event 17   page          EventEndpointList          Share RateLimit
//	event 18   stop          EventStop
//	event 19   aborted       EventWithdrawn             Tid MessageID
//	event 20   select        EventSelectInstance
//	event 21   from_peer     EventPeerMessage           By Peer, Contents Data
//	event 22   done          EventAttemptCompleted      HoldMs RetryAfterMs
//	event 23   ingress       EventMessageArrived        ToExchange Destination, Lane Class, PathKey Key, Marks Flags,
//	                                                    WeightHintUs CostHintUs, Billing Tenant
//	event 24   born          EventInstanceStarted
//	event 25   wakeup        EventTimerFired
//	event 26   fleet         EventEndpointsChanged      Version Revision
//	event 27   ping_result   EventHealthCheckCompleted
//	action 16  retract       ActionCancelAttempt
//	action 17  push_back     ActionReject
//	action 18  by            ActionSelectInstance
//	action 19  ask_load      ActionHealthCheck
//	action 20  route         ActionSend
//	action 21  shut_idle     ActionCloseIdle
//	action 22  pull          ActionFetchList
//	action 23  crash         ActionCrash
//	action 24  say_log       ActionLog
//	action 25  tell          ActionNotifyPeers
//	action 26  subscribe     ActionSubscribe
//	action 27  timer         ActionSetTimer
//	action 28  fail          ActionFail
//	result     full, moot    ResultRateLimited, ResultNotSent
//
// Start reading at [ReadBatch] and [AppendReply].
package wire

import "math"

// Sizes in bytes, and bounds.
const (
	batchHeader   = 20
	eventSize     = 48
	actionSize    = 24
	entrySize     = 25
	maxBatch      = 1 << 30
	maxListNumber = 15
)

// Event codes.
const (
	EventResponseStarted      = 16
	EventEndpointList         = 17
	EventStop                 = 18
	EventWithdrawn            = 19
	EventSelectInstance       = 20
	EventPeerMessage          = 21
	EventAttemptCompleted     = 22
	EventMessageArrived       = 23
	EventInstanceStarted      = 24
	EventTimerFired           = 25
	EventEndpointsChanged     = 26
	EventHealthCheckCompleted = 27
)

// Action codes.
const (
	ActionCancelAttempt  = 16
	ActionReject         = 17
	ActionSelectInstance = 18
	ActionHealthCheck    = 19
	ActionSend           = 20
	ActionCloseIdle      = 21
	ActionFetchList      = 22
	ActionCrash          = 23
	ActionLog            = 24
	ActionNotifyPeers    = 25
	ActionSubscribe      = 26
	ActionSetTimer       = 27
	ActionFail           = 28
)

// AllPeers is the recipient of an ActionNotifyPeers for all other instances.
const AllPeers = math.MaxUint32

// Kinds of an EventEndpointsChanged.
const (
	ListDelta       = 0 // changed entries only
	ListComplete    = 1
	ListCached      = 2 // complete, as the instance last had it
	ListUnavailable = 3 // a request for the list failed
)

// Results of attempts and health checks.
const (
	ResultOK            = 200
	ResultFailed        = 502
	ResultRateLimited   = 429
	ResultTimeout       = 408
	ResultConnectFailed = 521
	ResultReset         = 520
	ResultCancelled     = 444
	ResultNotSent       = 409
)

// Endpoint is the address of an endpoint, four bytes with the first one first, and a port, packed into one number.
type Endpoint uint64

// Report is a load report of N values.
type Report struct {
	N      uint8
	Values [4]float32
}

// EndpointEntry is one endpoint of a list.
type EndpointEntry struct {
	Zone        uint16
	Endpoint    Endpoint
	Kind        uint16
	Destination uint16
	State       uint8
	RateLimit   float32 // calls a second
	ReadyAtUs   uint64
}

// Event is one event record. Code determines which fields are set: those whose comment names it.
type Event struct {
	Code     uint8
	Instance uint16 // SelectInstance

	MessageID    uint64   // ResponseStarted, Withdrawn, AttemptCompleted, MessageArrived
	Attempt      uint8    // ResponseStarted, AttemptCompleted
	Endpoint     Endpoint // ResponseStarted, AttemptCompleted, HealthCheckCompleted
	DurationUs   uint32   // ResponseStarted, AttemptCompleted, HealthCheckCompleted
	Result       uint16   // AttemptCompleted, HealthCheckCompleted
	RetryAfterMs uint32   // AttemptCompleted
	Final        bool     // AttemptCompleted
	Report       Report   // AttemptCompleted, HealthCheckCompleted

	Destination float32 // MessageArrived
	Class       uint8   // MessageArrived
	Key         uint64  // MessageArrived
	Flags       uint8   // MessageArrived
	GiveUpAtUs  uint64  // MessageArrived
	CostHintUs  uint32  // MessageArrived
	Tenant      uint32  // MessageArrived

	List     uint32          // EndpointList, EndpointsChanged: the list's number
	Entries  []EndpointEntry // EndpointList
	Kind     uint8           // EndpointsChanged
	Revision uint64          // EndpointsChanged

	Seed  uint64 // InstanceStarted
	Token uint64 // TimerFired
	Peer  uint32 // PeerMessage: the sender's number
	Data  []byte // InstanceStarted (the settings), PeerMessage
}

// Batch is one frame of events.
type Batch struct {
	Number uint32
	NowUs  uint64
	Events []Event
}

// Action is one action record. Code determines which fields are used: those whose comment names it.
type Action struct {
	Code         uint8
	Instance     uint16   // SelectInstance
	MessageID    uint64   // CancelAttempt, Reject, Send, Fail
	Attempt      uint8    // CancelAttempt
	RetryAfterUs uint32   // Reject
	TimeoutUs    uint32   // Send
	Endpoint     Endpoint // HealthCheck, Send, CloseIdle
	AtUs         uint64   // SetTimer
	Token        uint64   // SetTimer
	Enabled      bool     // Subscribe
	Recipient    uint32   // NotifyPeers
	Data         []byte   // Crash, Log, NotifyPeers
}
