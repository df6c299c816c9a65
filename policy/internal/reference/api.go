// Package reference is the decision module as it was before its step was made to follow what
// changes. The tests of package policy hand both the same events and want the same actions. It
// goes when that work is done.
package reference

import "wingmount/policy"

// What both share.
type (
	Time          = policy.Time
	MessageID     = policy.MessageID
	EndpointID    = policy.EndpointID
	Repeat        = policy.Repeat
	Class         = policy.Class
	Kind          = policy.Kind
	Listing       = policy.Listing
	Settings      = policy.Settings
	Event         = policy.Event
	EndpointState = policy.EndpointState
	Entry         = policy.Entry
	Listed        = policy.Listed
	ListFailed    = policy.ListFailed
	Arrived       = policy.Arrived
	Past          = policy.Past
	Outcome       = policy.Outcome
	Ended         = policy.AttemptCompleted
	Withdrawn     = policy.Withdrawn
	News          = policy.PeerEvent
	Tag           = policy.Tag
	Told          = policy.PeerMessage
	Remembered    = policy.HealthRestored
	Woken         = policy.Woken
	Action        = policy.Action
	Send          = policy.Send
	Refuse        = policy.Refuse
	Fail          = policy.Fail
	Subscribe     = policy.Subscribe
	CloseIdle     = policy.CloseIdle
	Tell          = policy.NotifyPeers
	Wake          = policy.Wake
)

// What both share.
const (
	Idempotent   = policy.Idempotent
	Deduplicated = policy.Deduplicated
	AtMostOnce   = policy.AtMostOnce
	RateUnlisted = policy.RateUnlisted
	RateNominal  = policy.RateNominal
	RateRough    = policy.RateRough
	Gone         = policy.Gone
	Ready        = policy.Ready
	Draining     = policy.Draining
	Delivered    = policy.Delivered
	Failed       = policy.Failed
	Full         = policy.RateLimited
	TimedOut     = policy.TimedOut
	Unreachable  = policy.Unreachable
	Reset        = policy.Reset
	Cancelled    = policy.Cancelled
	Moot         = policy.NotSent
	Down         = policy.PeerDown
	Back         = policy.PeerRecovered
	BackCold     = policy.PeerSlowStart
	Jam          = policy.PeerRateLimited
	TagBits      = policy.TagBits
)
