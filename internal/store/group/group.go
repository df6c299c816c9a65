// Package group implements the database-independent part of a store of record by group commit: [Queue] checks each call
// against its state in memory, in the order of the calls, and queues its record. One goroutine writes the queued records in
// transactions of many records. The [Backend] decides whether a message is a duplicate.
//
// While the database can't be written, new messages are rejected immediately. All other records stay queued until they are
// written; their number is bounded by the messages in flight.
//
// # Implied responses
//
// Nodes that share a database use the same rule for a message whose owner's lease has expired: if the message has no final
// response on record and its deadline is within that lease, it has failed. A node that can't write may therefore notify the
// client of that failure once the deadline has passed, instead of the response that it could not write. Such a response is
// implied by the lease. [Implier] defines the latest deadline to which the rule applies, and implied.go implements the rule.
//
// # Concurrency
//
// The methods of [Queue] are safe for concurrent use; its mutex guards the queue and that state. The writer's goroutine
// calls the [Backend] without the lock. A second goroutine runs if the backend is an [Implier]. Both end with Close.
//
// Start reading at [Queue] and its commit method. calls.go contains the methods of [store.Store].
package group

import (
	"errors"
	"fmt"
	"log/slog"
	"sync"
	"time"
	"wingmount/internal/message"
	"wingmount/internal/store"
	"wingmount/policy"
)

const (
	// maxBatchRecords and minBatchRecords bound the limit on the records in a transaction. The limit is halved after each
	// failed Commit and doubled after each successful one: with a fixed limit, a database that is too slow for a full
	// transaction would never make progress.
	maxBatchRecords, minBatchRecords = 512, 8
	// maxWriteTime bounds the time to write the records of a transaction, if the backend measures it: a message to accept may
	// have to wait for the transaction in progress, and its client waits 400 ms for the answer.
	maxWriteTime = 50 * time.Millisecond
	// acceptShareDivisor reserves 1/acceptShareDivisor of a transaction's records for messages to accept.
	acceptShareDivisor = 8
	// commitRetryDelay is the pause after a failed transaction.
	commitRetryDelay = 50 * time.Millisecond
	// closeTimeout is how long Close tries to write the remaining records. Close still waits for a transaction that is in
	// progress when the timeout expires.
	closeTimeout = 5 * time.Second
	// maintenanceInterval is the time between two calls of Backend.Maintain.
	maintenanceInterval = 200 * time.Millisecond
	// impliedDelay is the minimum time between the message's deadline and the notification of its implied response. A
	// response is also replaced only after it has been queued for impliedDelay.
	impliedDelay = 100 * time.Millisecond
	// impliedCheckInterval is the time between two searches for unwritten responses that the lease implies.
	impliedCheckInterval = 25 * time.Millisecond
	// maxPendingFinds bounds the number of queued id lookups. A further lookup returns store.ErrUnavailable.
	maxPendingFinds = 256
)

// Config configures a queue.
type Config struct {
	// NotifyDelivered is set if clients are notified of deliveries too, not only of other final responses.
	NotifyDelivered bool
	// LastSeq is the last assigned sequence number. The next accepted message gets LastSeq+1.
	LastSeq policy.MessageID
	// Unfinished lists the recovered messages without a final response.
	Unfinished []*message.Message
	// EndpointHealth is the recovered health of endpoints by name. New copies it.
	EndpointHealth map[string]*store.EndpointHealth
}

// Queue implements [store.Store] on a backend.
type Queue struct {
	cfg     Config
	backend Backend
	log     *slog.Logger

	wake       chan struct{} // non-empty if the writer may have work
	writerDone chan struct{} // closed when the writer has ended
	fenced     chan struct{} // closed once fencedErr is set
	batchLimit int           // maximum records in the next transaction; only the writer uses it

	mu        sync.Mutex // guards all fields below
	updates   []*Record  // queued records other than Accept, in the order of their calls
	accepts   []*Record  // queued Accept records, written after the updates: see commit
	finds     []findRequest
	closing   bool
	closeBy   time.Time // when Close stops trying to write; set with closing
	failure   error     // of the last transaction, nil if it succeeded
	fencedErr error     // set once this node must not write any further record

	onLate    func(*message.Message) // nil if Accept must wait until its record is decided
	capacity  func() int             // in messages; nil if takeover is disabled
	adopt     func(store.Recovered)
	onImplied func(*message.Message)

	lastSeq        policy.MessageID
	unfinished     map[policy.MessageID]*message.Message  // without a final response
	unwritten      map[policy.MessageID]unwrittenResponse // see trackUnwritten
	endpointHealth map[string]*store.EndpointHealth       // of endpoints that have failed; shows whether an outcome changes it
}

// New returns a queue and starts its goroutines, which run until Close or until the node is fenced.
func New(c Config, b Backend, log *slog.Logger) *Queue {
	q := &Queue{
		cfg: c, backend: b, log: log, wake: make(chan struct{}, 1), writerDone: make(chan struct{}), fenced: make(chan struct{}),
		batchLimit: maxBatchRecords, lastSeq: c.LastSeq, unfinished: map[policy.MessageID]*message.Message{},
		unwritten: map[policy.MessageID]unwrittenResponse{}, endpointHealth: map[string]*store.EndpointHealth{},
	}
	for _, m := range c.Unfinished {
		q.unfinished[m.Seq] = m
	}
	for name, h := range c.EndpointHealth {
		if !h.FailedAt.IsZero() {
			q.endpointHealth[name] = &store.EndpointHealth{FailedAt: h.FailedAt, RecoveredAt: h.RecoveredAt}
		}
	}
	if i, ok := b.(Implier); ok {
		go q.runImplied(i)
	}
	go q.runWriter()
	return q
}

// OnLate implements [store.Late].
func (q *Queue) OnLate(f func(*message.Message)) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.onLate = f
}

// OnTakeover implements part of [store.Shared] for stores whose backend is a [Taker].
func (q *Queue) OnTakeover(capacity func() int, adopt func(store.Recovered)) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.capacity, q.adopt = capacity, adopt
}

// OnImplied implements part of [store.Shared].
func (q *Queue) OnImplied(f func(*message.Message)) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.onImplied = f
}

// Lost implements part of [store.Shared].
func (q *Queue) Lost() <-chan struct{} { return q.fenced }

// Pending returns the number of queued records, including those of a transaction in progress.
func (q *Queue) Pending() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return len(q.updates) + len(q.accepts)
}

// Failure returns the error of the last transaction, or nil if it succeeded.
func (q *Queue) Failure() error {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.failure
}

// Close implements [store.Store]. It returns an error if records could not be written within closeTimeout.
func (q *Queue) Close() error {
	q.mu.Lock()
	if q.closing {
		q.mu.Unlock()
		return errClosed
	}
	closeBy := time.Now().Add(closeTimeout)
	q.closing, q.closeBy = true, closeBy
	q.mu.Unlock()
	q.backend.Closing(closeBy)
	q.wakeWriter()
	<-q.writerDone
	q.mu.Lock()
	remaining, failure := len(q.updates)+len(q.accepts), q.failure
	q.mu.Unlock()
	var err error
	if remaining > 0 {
		err = fmt.Errorf("closing the store: %d records could not be written: %w", remaining, failure)
	}
	return errors.Join(err, q.backend.Close())
}
