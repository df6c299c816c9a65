package group

import (
	"time"
	"wingmount/internal/store"
)

// Backend is the database of a [Queue]. The writer's goroutine calls Begin, Commit and Maintain, and the methods of
// [BatchFinder] and [Taker]. Any goroutine may call Full, with or without the queue's lock, also while the writer's
// goroutine is inside another method. The goroutine of [Queue.Close] calls Closing, and Close after the writer has ended.
//
// If Begin, Commit, Maintain or [Taker.TakeOver] returns an error that wraps [store.ErrFenced], the queue stops
// permanently: it writes no further record, and all its later calls return the error. After any other error the queue
// retries.
type Backend interface {
	// Begin begins a transaction, and fails if that is not possible soon. Until it returns nil, Accept calls can be
	// cancelled.
	Begin() error
	// Commit writes records in the transaction that Begin started, and commits it. It returns one result per record: nil,
	// or for an Accept record the error that rejects its message. If Commit itself returns an error, no record is persisted
	// and the transaction is rolled back. A backend that does not know whether its commit succeeded must determine it
	// before it returns.
	Commit(batch []*Record) ([]error, error)
	// Maintain does periodic maintenance. It is called about every maintenanceInterval, also under load, but not between a
	// failed transaction and the next successful one, and not while the queue is closing.
	Maintain(now time.Time) error
	// Full reports whether an error means that the database has no capacity left. It is safe for concurrent use, and does
	// not block.
	Full(err error) bool
	// Closing sets the time by which Commit must return because the queue is closing: a Commit that has not determined by
	// then whether its records are persisted returns [store.ErrUndecided]. Closing is called once, possibly while another
	// method runs.
	Closing(by time.Time)
	// Close releases the database.
	Close() error
}

// WriteTimer is a backend that measures how long records take.
type WriteTimer interface {
	// WriteTime returns how long the last successful Commit took to write its records, without what it takes however many
	// they are, such as a sync. The writer calls it after Commit.
	WriteTime() time.Duration
}

// Taker is a backend that shares its database with other nodes and can take over their messages.
type Taker interface {
	// TakeOver makes this node the owner of messages of a node whose lease has expired, and returns them. It takes over as
	// many unfinished messages as capacity allows, and more if their deadlines are near. The writer calls it after each
	// successful Maintain, so that later calls take over the rest.
	TakeOver(now time.Time, capacity int) (store.Recovered, error)
}

// BatchFinder is a backend that can look up message ids between two transactions.
type BatchFinder interface {
	// Find returns one result per id: the [store.DuplicateError] that would reject an Accept of the id, or nil.
	Find(ids []string) ([]error, error)
}

// Implier is a backend of a shared database in which this node's lease implies final responses; see the package comment.
type Implier interface {
	// ImpliedUntil returns the time, by this machine's clock, up to which the lease implies failures: a message with a
	// later deadline has no implied response. It is safe for concurrent use.
	ImpliedUntil() time.Time
}
