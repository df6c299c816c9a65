package group

import (
	"time"
	"wingmount/internal/message"
	"wingmount/internal/store"
	"wingmount/policy"
)

// Kind identifies the method of [store.Store] that created a record.
type Kind int

// The record kinds, with the fields that each sets in addition to Seqs and At.
const (
	Accept   Kind = iota // Message
	Attempt              // Histories, Endpoint, Until
	Outcome              // Histories, Endpoint, EndpointHealth; Responses if it completes the message
	Complete             // Responses
	Notified
)

// Record is one record to write to the database. A backend must not modify it.
type Record struct {
	Kind      Kind
	Seqs      []policy.MessageID // of the messages, in the order of Histories and Responses
	Message   *message.Message
	Histories []message.History
	Responses []message.FinalResponse
	// WithoutNotification is set if the client is not notified of the responses: their messages don't become pending.
	WithoutNotification bool
	Endpoint            string
	At                  time.Time
	Until               time.Time             // latest time at which the call is abandoned
	EndpointHealth      *store.EndpointHealth // the endpoint's new health, nil if it did not change

	state     recordState // guarded by Queue.mu
	hasWaiter bool        // a caller waits for done
	done      chan error  // receives the result; buffered, so that the writer does not block
}

// recordState is the state of a queued record. Its transitions are:
//
//	queued -> claimed -> decided    a transaction succeeded
//	claimed, abandoned -> queued    the transaction failed
//	claimed -> abandoned            the caller of Accept stopped waiting; later transitions are those of claimed
//	queued -> cancelled             the caller of Accept stopped waiting, or the message was rejected
type recordState int

const (
	queued    recordState = iota
	claimed               // part of the transaction in progress
	abandoned             // claimed, and its caller no longer waits
	cancelled             // discarded before it was claimed
	decided               // written, or rejected by the backend
)

// enqueue queues a record and wakes the writer. The caller has held the lock since it checked the call, so that records are
// queued in the order of these checks.
func (q *Queue) enqueue(r *Record) {
	r.done = make(chan error, 1)
	if r.Kind == Accept {
		q.accepts = append(q.accepts, r)
	} else {
		q.updates = append(q.updates, r)
	}
	q.wakeWriter()
}

// wakeWriter makes the writer check for queued records and lookups. It does not block.
func (q *Queue) wakeWriter() {
	select {
	case q.wake <- struct{}{}:
	default:
	}
}
