// Package store defines the contract of a store of record. A store persists the messages that a node has accepted, the
// attempts to send them, and the one final response of each message.
//
// A store guarantees the following:
//   - A restarted node recovers every message whose [Store.Accept] returned nil and whose client was not
//     notified of the response.
//   - The recovered history of a message has an attempt for every call of which a byte may have been sent.
//   - A message that is completed on record never becomes unfinished again.
//   - Records of one message are applied in the order of their calls. A crash loses at most a tail of the records whose calls
//     have not returned, or that are documented as ordered but not yet durable.
//
// # Concurrency
//
// Every method may block on a disk or a network, so the engine's goroutine calls none of them. All methods are safe for
// concurrent use.
//
// Start reading at [Store]. The implementations are in the subpackages; storetest contains the conformance suite that each
// of them passes.
package store

import (
	"context"
	"errors"
	"slices"
	"time"
	"wingmount/internal/message"
	"wingmount/policy"
)

var (
	// ErrFull rejects a message because the store has no capacity for it.
	ErrFull = errors.New("the store is full")
	// ErrKeyExpired rejects an attempt to send a message that an endpoint may already have processed, because its
	// destination no longer deduplicates by the message's key.
	ErrKeyExpired = errors.New("the destination no longer deduplicates by the message's key")
	// ErrCompleted rejects an attempt to send a message whose final response is on record.
	ErrCompleted = errors.New("the message is already completed")
	// ErrFenced rejects every call once another node, or a newer process of the same name, owns this node's messages: this
	// process must no longer accept messages, send them or notify clients of responses. Package egress also returns it if
	// this node's lease has expired.
	ErrFenced = errors.New("the messages belong to another node")
	// ErrUndecided is returned if the store could not determine in time whether a message was accepted. An accepted message
	// is then unfinished like any other, and is passed to the function set by [Late.OnLate].
	ErrUndecided = errors.New("unknown whether the message is on record")
	// ErrUnavailable is returned if the store can't be reached, is locked or does not respond.
	ErrUnavailable = errors.New("the store is not available")
)

// DuplicateError rejects a message whose id is already on record.
type DuplicateError struct {
	Response *message.FinalResponse // nil if the message on record is unfinished
}

func (e *DuplicateError) Error() string {
	if e.Response == nil {
		return "duplicate id: the message on record is unfinished"
	}
	return "duplicate id: the message on record is completed as " + e.Response.Kind.String()
}

// Attempt describes a call that is about to send one message or a batch.
type Attempt struct {
	Endpoint string
	Zone     int
	At       time.Time // when the attempt is recorded, before the first byte is sent
	Until    time.Time // latest time at which the call is abandoned
	Messages []*message.Message
}

// Outcome is the result of the attempt to send one message.
type Outcome struct {
	Message  *message.Message
	Outcome  policy.Outcome
	Endpoint string
	At       time.Time
	// CompletesUndelivered is set if the message is completed although it was not delivered. It gets no further attempt,
	// and its client is not notified.
	CompletesUndelivered bool
}

// Completion is the final response of one message that was not delivered.
type Completion struct {
	Message  *message.Message
	Response message.FinalResponse
}

// EndpointHealth is the recorded state of an endpoint, which the node's next process recovers.
type EndpointHealth struct {
	CallTimes   []time.Time // one for each call, also of a batch; oldest first
	FailedAt    time.Time   // the last failure
	RecoveredAt time.Time   // the first success after FailedAt, zero if there is none
}

// Names are the names of classes and availability zones. Records contain their indexes instead.
type Names struct{ Classes, Zones []string }

// Extend returns n with the missing names of more appended. An index that was assigned keeps its meaning, regardless of the
// order of the names in a later configuration.
func (n Names) Extend(more Names) Names {
	extend := func(names, more []string) []string {
		names = slices.Clone(names)
		for _, name := range more {
			if !slices.Contains(names, name) {
				names = append(names, name)
			}
		}
		return names
	}
	return Names{Classes: extend(n.Classes, more.Classes), Zones: extend(n.Zones, more.Zones)}
}

// Lists returns the names of classes at index 0 and of availability zones at index 1. Stores persist these indexes.
func (n *Names) Lists() []*[]string { return []*[]string{&n.Classes, &n.Zones} }

// Recovered is the content of a store when it is opened.
type Recovered struct {
	// Pending contains the messages that are unfinished, or of whose response the client was not notified, in the order in
	// which they were accepted. For a message with a FinalResponse only the notification is missing; only its ID, Seq,
	// Destination and FinalResponse are guaranteed to be set. In the history of any other message, an attempt that was
	// outstanding counts as one that may have run.
	Pending []*message.Message
	// EndpointHealth is the health of endpoints by name.
	EndpointHealth map[string]*EndpointHealth
	// Names are the names on record, extended by the names with which the store was opened. They define the indexes of
	// classes and zones in all calls. They may include names of other nodes or earlier processes that this process does not
	// use.
	Names Names

	rebasedBy time.Duration // by how much Rebase has adjusted the times
}

// Unfinished returns the recovered messages without a final response.
func (r *Recovered) Unfinished() []*message.Message {
	var unfinished []*message.Message
	for _, m := range r.Pending {
		if m.FinalResponse == nil {
			unfinished = append(unfinished, m)
		}
	}
	return unfinished
}

// The states of an [Entry], as shown to operators.
const (
	StateRunning  = "running" // without a final response
	StatePending  = "owed"    // with a final response of which the client was not notified
	StateNotified = "told"    // with a final response of which the client was notified, or need not be
)

// Entry describes the record of one message for operators.
type Entry struct {
	Seq         int64      `json:"seq,omitempty"` // 0 if the number is not on record
	ID          string     `json:"id"`
	Node        string     `json:"node,omitempty"` // the owner, if nodes share the store
	State       string     `json:"state"`          // StateRunning, StatePending or StateNotified
	Dest        int        `json:"dest,omitempty"` // number of the destination
	Accepted    *time.Time `json:"taken,omitempty"`
	Deadline    *time.Time `json:"deadline,omitempty"`
	Bytes       int        `json:"bytes,omitempty"` // of the body
	Attempts    int        `json:"attempts"`
	Outstanding bool       `json:"out,omitempty"`          // an attempt has no outcome
	MayHaveRun  bool       `json:"may_have_run,omitempty"` // only if it is unfinished
	Outcome     string     `json:"outcome,omitempty"`
	RetryInMs   int64      `json:"retry_in_ms,omitempty"`
	Completed   *time.Time `json:"ended,omitempty"`
	Notified    *time.Time `json:"told,omitempty"`
}

// Store is a store of record. Only the store changes the fields Seq, History and FinalResponse of messages. A call changes
// them only before it returns, except that a [Shared] store may later replace or remove a FinalResponse that is not
// persisted.
type Store interface {
	// Accept persists a new message and assigns its sequence number. The message is durable when Accept returns nil;
	// otherwise it is not accepted, and no later process recovers it (but see ErrUndecided). Ingresses call it before they
	// respond to a client. It returns
	//   - a [DuplicateError] if the id is that of an unfinished message, or of one whose response is still retained,
	//   - ErrFull if there is no capacity for all records that the message may need until its client is notified,
	//   - ErrUnavailable if the message could not be persisted, at the latest when the context ends,
	//   - ErrFenced once another node owns this node's messages,
	//   - ErrUndecided, from a store that implements [Late], if it is unknown when the context ends whether the message is
	//     persisted.
	Accept(ctx context.Context, m *message.Message) error
	// RecordAttempt persists that messages are about to be sent in one call. It is called before the first byte is
	// sent. The attempt is durable when RecordAttempt returns nil. After an error the call must not be made, although the
	// attempt may still become part of the record. RecordAttempt returns ErrCompleted if one of the messages is completed,
	// and ErrKeyExpired if one must no longer be sent at that time; in both cases no attempt is recorded for any of them.
	// Its other errors are those of Complete.
	RecordAttempt(ctx context.Context, a Attempt) error
	// RecordOutcome persists the outcome of an attempt. When it returns, the outcome is ordered before all later calls. A
	// crash may lose it until a barrier (see [Store.Complete]) or the next RecordAttempt of the message has returned nil;
	// the message then counts as one that may have run. The outcome Delivered is a final response, and is durable when RecordOutcome returns nil. A store that
	// notifies deliveries then sets FinalResponse, and the message is pending until MarkNotified. Its errors are those of
	// Complete.
	RecordOutcome(ctx context.Context, o Outcome) error
	// Complete persists final responses. They are durable when Complete returns nil, and clients must not be notified
	// before that.
	// A completed message keeps its first response: the call that completes the message sets FinalResponse, which remains
	// nil if the client is not notified. Without completions, Complete is a barrier: when it returns nil, the store has
	// persisted all earlier calls.
	//
	// Complete returns ErrFenced once another node owns this node's messages. That node decides their final responses, so
	// FinalResponse is reset to nil unless the response was persisted or is Implied (see [Shared]). Complete returns
	// ErrUnavailable if the context ended before the responses were known to be durable; they may still become durable. It
	// returns another error if the store is closed or can't write. A store that retries failed writes returns only when the
	// write has succeeded, the context has ended or the store closes.
	Complete(ctx context.Context, completions ...Completion) error
	// MarkNotified records that clients were notified of final responses, so that their messages are no longer pending. It
	// is ordered when it returns, like RecordOutcome; if a crash loses the record, the clients are notified again. It returns
	// ErrFenced once another node owns this node's messages, and another error if the store is closed or can't write.
	MarkNotified(ctx context.Context, ms ...*message.Message) error
	// Close makes all records durable and releases the store. No other method may be called after it.
	Close() error
}

// Late is a store that can persist a message after its Accept has returned [ErrUndecided].
type Late interface {
	// OnLate sets the function that receives these messages, each once. It must be called before the first Accept. Without
	// a function, Accept waits until it is known whether the message is persisted.
	OnLate(func(*message.Message))
}

// Finder is a store that can look up a message id without writing a record.
type Finder interface {
	// Find returns a [DuplicateError] if the id is on record, as [Store.Accept] would. It returns nil if the id is not on
	// record and no earlier Accept of it can still persist it. Any other error means that neither could be determined.
	Find(ctx context.Context, id string) error
}

// Shared is a store that several nodes share. Each node owns its messages by a lease. When a node's lease expires, the
// running nodes take over its messages.
type Shared interface {
	// OnTakeover sets two functions: capacity returns how many more messages the node can take over, and adopt receives the
	// unfinished messages, the responses of which clients must be notified and the health of endpoints of a node whose
	// lease has expired. Each message is passed once, to one node. OnTakeover must be called before the first Accept;
	// without it, the node takes over no messages.
	OnTakeover(capacity func() int, adopt func(Recovered))
	// OnImplied sets the function that receives messages of whose final responses clients are notified although they are
	// not on record, while the store can't be reached. A message whose deadline is within its owner's lease, and that has no
	// response on record when the lease expires, has failed: every later owner records that failure. Its owner may therefore
	// notify the client of the failure too, after the deadline. Such a response is marked Implied.
	OnImplied(func(*message.Message))
	// Owned reports whether the lease is valid by this process's own clock. Because a process may have been paused, it
	// checks Owned before it acts on an earlier record, for example before it sends the first byte of a call. Owned is not
	// needed before writing records: the store rejects records of a node whose lease was lost.
	Owned() bool
	// Lost returns a channel that is closed once another process owns this process's messages. The process must then exit.
	Lost() <-chan struct{}
}

// beyondKeyWindow is an age at which the key of a message has expired at every destination.
const beyondKeyWindow = 1000 * time.Hour

// Rebase adjusts the recovered times if the clock was set back. Normally now is after latest, the latest time on record.
// If it is not, the length of the node's downtime is unknown: no message gets more time than it had left, and the key of a
// message that may have run counts as expired. If a store has several files, Rebase is called for each.
func (r *Recovered) Rebase(latest, now time.Time) {
	setBack := latest.Sub(now)
	if setBack <= r.rebasedBy {
		return
	}
	back := setBack - r.rebasedBy
	r.rebasedBy = setBack
	for _, m := range r.Pending {
		m.Deadline = m.Deadline.Add(-back)
		if m.History.MayHaveRun {
			m.History.RanAt = now.Add(-beyondKeyWindow)
		}
	}
	for _, e := range r.EndpointHealth {
		for i := range e.CallTimes {
			e.CallTimes[i] = e.CallTimes[i].Add(-back)
		}
		for _, t := range []*time.Time{&e.FailedAt, &e.RecoveredAt} {
			if !t.IsZero() {
				*t = t.Add(-back)
			}
		}
	}
}
