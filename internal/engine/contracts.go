package engine

import (
	"context"
	"log/slog"
	"time"
	"wingmount/decide/admission"
	"wingmount/internal/egress"
	"wingmount/internal/message"
	"wingmount/internal/store"
	"wingmount/policy"
)

// Carrier makes calls to endpoints. When the attempt at a message of a call completes, the OnOutcome callback of the
// carrier's [egress.Recorder] posts one [CompletedAttempt] to the engine.
type Carrier interface {
	// Start starts a call and returns without waiting for its outcome.
	Start(ctx context.Context, call *egress.Call)
	// CloseIdle closes the idle connections to an endpoint.
	CloseIdle(e *egress.Endpoint)
	// EvictIdle closes idle connections that have expired. The engine calls it about once a second.
	EvictIdle(now time.Time)
}

// Admission receives the engine's observations of messages and calls, and the set of known destinations. Its methods do
// not block. inflight.Registry implements it.
type Admission interface {
	// Observe reports the observations since the previous call, in order. It takes ownership of the slice.
	Observe(observations []admission.Observation)
	// SetDestinations replaces the set of known destinations. The set is complete if a live list, or an assignment of
	// endpoints, has been applied since this process started. SetDestinations takes ownership of the map.
	SetDestinations(destinations map[int]bool, complete bool)
	// RoundBegan and RoundEnded are called at the start and the end of each round. In a round the engine handles all
	// queued events, steps the decision module, and executes its actions.
	RoundBegan()
	RoundEnded()
}

// Notifier announces persisted final responses to clients. Add does not block.
type Notifier interface{ Add(m *message.Message) }

// StepLog records each step of the decision module. Step does not block, and does not retain the slices.
type StepLog interface {
	Step(now policy.Time, events []policy.Event, actions []policy.Action)
}

// PeerMessenger sends the decision module's messages to the other nodes. Send does not block. platform.Peers implements
// it.
type PeerMessenger interface{ Send(policy.NotifyPeers) }

// ObservationSharer shares this node's observations of endpoints with other nodes. Its methods do not block. gossip.Node
// implements it.
type ObservationSharer interface {
	// SetEndpoints replaces the names of the endpoints in the directory's list. It takes ownership of the map.
	SetEndpoints(all map[policy.EndpointID]string)
	// RecordCall records that a call completed after the given duration, and whether the endpoint answered it.
	RecordCall(id policy.EndpointID, duration time.Duration, answered bool)
}

// Config is the configuration of an engine.
type Config struct {
	Settings policy.Settings
	Seed     uint64
	// Kinds and Zones map the directory's names of kinds and zones to the decision module's numbers.
	Kinds, Zones map[string]int
	// ResponseMargin is the time reserved before a message's deadline, in addition to a tick, to persist and announce
	// its final response.
	ResponseMargin time.Duration
	// Assigned is set if destinations are assigned to nodes. A node then calls a destination only while it has a quota
	// of the destination's rate limit, see [Engine.SetAssignment].
	Assigned bool
	// UniqueAddresses is set if each endpoint is a process of its own: one that appears at the address of another shows that
	// the other one has gone.
	UniqueAddresses bool
}

// Dependencies are the collaborators of an engine. WriteContext, PeerMessages, Observations and StepLog may be nil.
type Dependencies struct {
	Store store.Store
	// WriteContext bounds the writes of final responses. It is canceled only if the store has not persisted them in
	// time when the node stops. They then stay queued in the store, and this process does not announce them.
	WriteContext  context.Context
	Carrier       Carrier
	Admission     Admission
	Notifier      Notifier
	PeerMessages  PeerMessenger
	Observations  ObservationSharer
	StepLog       StepLog
	HealthHistory HealthHistory // recorded by earlier processes
	Log           *slog.Logger
}
