package store

import "context"

// Inspector reads a store for operators, even while a node uses the store. It does not change the store.
type Inspector interface {
	// Check reads the entire store. It returns an error that describes at least one fault, or nil if it finds none.
	Check(ctx context.Context) error
	// Stat returns statistics of the store, such as the numbers of running messages, pending responses and retained
	// responses.
	Stat(ctx context.Context) ([]Figure, error)
	// Entries calls visit with the entry of the message with an id, or with the entries of all messages if id is empty. The
	// entries are in the order in which their messages were accepted, as far as that order is on record. Entries stops at
	// the first error of visit and returns it.
	Entries(ctx context.Context, id string, visit func(Entry) error) error
	// Backup writes a consistent snapshot of the store to a path that must not exist. A store whose database has better
	// backup tools returns an error that names them.
	Backup(ctx context.Context, to string) error
	// Close releases the store.
	Close() error
}

// Figure is one named value of [Inspector.Stat].
type Figure struct {
	Name  string
	Value any // a number, or text for operators
}
