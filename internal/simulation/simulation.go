// Package simulation runs the decision modules of a cluster on virtual time: hundreds of nodes send to a
// few destinations with rate limits, outages and slow recoveries, while endpoint lists arrive late, peer
// messages get lost, and nodes fail and restart with what they had persisted. Nodes may also send under leases
// that one control process grants. A [Checker], written from the rules of the service and not from the module,
// reports which rule was broken. The same configuration and seed give the same run.
//
// It is for tests: no node imports it. A [Cluster] is not safe for concurrent use; its clock advances
// only in [Cluster.Run]. Start reading at [Cluster].
package simulation

import (
	"time"
	"wingmount/policy"
)

const (
	// startTime keeps the clock away from zero, which means "never" to the module.
	startTime = time.Hour
	// propagationBound is how long after a change of the endpoint list each node that can be reached must know of it.
	propagationBound = 6 * time.Second
	// historyRetention is how long a node's calls are remembered across a restart.
	historyRetention = 12 * time.Second
	// localPollDelay bounds how long a node takes to read its agent's list after a start or a partition.
	localPollDelay = 100 * time.Millisecond
	// maxScheduledEvents bounds the event queue; a run that needs more stops and reports it.
	maxScheduledEvents = 4_000_000
	// rejectionTime is how long a destination takes to reject a call.
	rejectionTime = 10 * time.Millisecond
)

// Config describes a simulated cluster.
type Config struct {
	Settings      policy.Settings // Senders is the number that the nodes are configured with
	Nodes         int
	Seed          uint64
	Destinations  []Destination
	TrafficWeight func(node int) float64 // a node's traffic relative to the others'; nil: all alike

	PeerMessageLoss float64       // fraction of peer messages that never arrive
	ResponseLoss    float64       // fraction of executed calls whose connection breaks before the response
	ListDelay       time.Duration // the longest time until a node receives a change of the endpoint list

	Leases *LeaseConfig // nodes send under leases; nil: they need none
	Fault  ModelFault   // for tests of the checker
}

// ModelFault distorts what the modules see and do, to show that the checker finds the violations that follow.
type ModelFault struct {
	AlterSettings func(policy.Settings) policy.Settings
	AlterEvent    func(policy.Event) policy.Event // nil: the event is dropped
	AlterActions  func([]policy.Action) []policy.Action
	// LongestTimeout gives a call the longest timeout of its messages in place of the shortest.
	LongestTimeout bool
}

// Counts are the totals since the last [Cluster.TakeCounts].
type Counts struct {
	Accepted, Delivered int     // messages
	Undelivered         int     // messages that ended with a rejection or a failure
	RejectedAtIngress   int     // messages that no node accepted
	Value               float64 // of the delivered messages

	Calls, RateLimited int // calls, and those that the destination rejected
	BlockedByLease     int // calls that a node's lease did not permit
	PeerMessages       int
	OwnerChanges       int // of owner sets
}
