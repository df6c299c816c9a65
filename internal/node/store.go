package node

import (
	"context"
	"errors"
	"fmt"
	"io/fs"
	"log/slog"
	"os"
	"time"
	"wingmount/internal/config"
	"wingmount/internal/store"
	"wingmount/internal/store/intents"
	"wingmount/internal/store/journal"
	"wingmount/internal/store/postgres"
	"wingmount/internal/store/sqlite"
)

// The kinds of stores, as the configuration spells them. Any other is SQLite.
const (
	journalStore  = "journal"
	postgresStore = "postgres"
	// processDurability is the durability that survives the end of the process only.
	processDurability = "process"
)

const (
	// intentLogAfter is how long the store may take before attempts and final responses go into the log beside it.
	intentLogAfter = 100 * time.Millisecond
	// intentBytesPerMessage is the size of that log for each message in flight: six attempts and a final response, with
	// the names of endpoints.
	intentBytesPerMessage = 1024
	// journalVersion is the only version that a journal's form has had.
	journalVersion = 1
)

// OpenStore opens the store that a configuration file names.
func OpenStore(f *config.File, log *slog.Logger) (store.Store, store.Recovered, error) {
	names := store.Names{Classes: f.ClassNames(), Zones: f.ZoneNames()}
	switch f.Store.Kind {
	case journalStore:
		return openJournal(f, names, log)
	case postgresStore:
		return openedStore(postgres.Open(context.Background(), postgres.Config{
			URL: f.Store.URL, Node: f.Name, Lease: time.Duration(f.Store.Lease),
			ResponseRetention: time.Duration(f.Store.Keep), NotifyDelivered: f.Answers.URL != "", Names: names,
		}, log))
	}
	return openSQLite(f, names, log)
}

// openedStore returns a store as an interface value that is nil if it could not be opened.
func openedStore[S store.Store](s S, r store.Recovered, err error) (store.Store, store.Recovered, error) {
	if err != nil {
		return nil, r, err
	}
	return s, r, nil
}

func openJournal(f *config.File, names store.Names, log *slog.Logger) (store.Store, store.Recovered, error) {
	if err := os.MkdirAll(f.Store.Path, 0o700); err != nil {
		return nil, store.Recovered{}, fmt.Errorf("opening the journal: %w", err)
	}
	return openedStore(journal.Open(journal.Config{
		Dir: f.Store.Path, MaxBytes: f.Store.MaxMB << 20, NotifyDelivered: f.Answers.URL != "", Names: names,
	}, log))
}

// openSQLite opens a SQLite store with a log of intents beside it, for times at which the store is slow.
func openSQLite(f *config.File, names store.Names, log *slog.Logger) (store.Store, store.Recovered, error) {
	s, durability := f.Store, sqlite.Power
	if s.Durability == processDurability {
		durability = sqlite.Process
	}
	database, recovered, err := sqlite.Open(sqlite.Config{
		Path: s.Path, Durability: durability, MaxBytes: s.MaxMB << 20, ResponseRetention: time.Duration(s.Keep),
		NotifyDelivered: f.Answers.URL != "", NoCheck: s.Check != nil && !*s.Check, Names: names,
	}, log)
	if err != nil {
		return nil, recovered, err
	}
	logged, err := intents.Open(context.Background(), intents.Config{
		Path: s.Path + "-intents", MaxBytes: int64(f.Limits.MaxInFlight) * intentBytesPerMessage,
		StoreTimeout: intentLogAfter, Sync: durability == sqlite.Power,
	}, database, &recovered, log)
	if err != nil {
		return nil, recovered, errors.Join(err, database.Close())
	}
	return logged, recovered, nil
}

// InspectStore opens the store that a configuration file names for reading, for operators.
func InspectStore(ctx context.Context, f *config.File) (store.Inspector, error) {
	switch f.Store.Kind {
	case journalStore:
		return openedInspector(journal.Inspect(f.Store.Path))
	case postgresStore:
		return openedInspector(postgres.Inspect(ctx, f.Store.URL))
	}
	return openedInspector(sqlite.Inspect(f.Store.Path))
}

// openedInspector returns an inspector as an interface value that is nil if it could not be opened.
func openedInspector[I store.Inspector](i I, err error) (store.Inspector, error) {
	if err != nil {
		return nil, err
	}
	return i, nil
}

// MigrateStore migrates the store that a configuration file names to this program's schema, and returns the versions
// before and after. No node may use the store meanwhile.
func MigrateStore(ctx context.Context, f *config.File) (from, to int, err error) {
	switch f.Store.Kind {
	case journalStore:
		return journalVersion, journalVersion, nil
	case postgresStore:
		return postgres.Migrate(ctx, f.Store.URL)
	}
	return sqlite.Migrate(sqlite.Config{Path: f.Store.Path})
}

// storeIsNew reports whether the store that a configuration file names does not exist yet.
func storeIsNew(f *config.File) bool {
	_, err := os.Stat(f.Store.Path)
	return f.Store.Kind != postgresStore && errors.Is(err, fs.ErrNotExist)
}
