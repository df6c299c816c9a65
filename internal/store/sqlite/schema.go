package sqlite

import (
	"fmt"
	"strings"
	"wingmount/internal/failpoint"

	"github.com/ncruces/go-sqlite3"
)

// applicationID identifies a file as a store (PRAGMA application_id): 'wngm'.
const applicationID = 0x776e676d

// migrations contains the steps of the schema in order. A released step must never change. PRAGMA user_version is the
// number of steps that were applied to a file.
var migrations = []string{
	// Times are Unix microseconds, durations milliseconds.
	`CREATE TABLE meta (
		one     INTEGER PRIMARY KEY CHECK (one = 1),
		commits INTEGER NOT NULL, -- so far
		latest  INTEGER NOT NULL  -- time of the last
	) STRICT;
	INSERT INTO meta VALUES (1, 0, 0);
	CREATE TABLE message ( -- runs; never changed
		seq      INTEGER PRIMARY KEY AUTOINCREMENT,
		id       TEXT NOT NULL UNIQUE,
		key      TEXT NOT NULL,
		class    INTEGER NOT NULL,
		dest     INTEGER NOT NULL,
		deadline INTEGER NOT NULL,
		taken    INTEGER NOT NULL,
		body     BLOB NOT NULL
	) STRICT;
	CREATE TABLE past ( -- of messages with an attempt
		seq      INTEGER PRIMARY KEY,
		attempts INTEGER NOT NULL,
		flags    INTEGER NOT NULL, -- 1 settled, 2 out, 4 may run
		ran      INTEGER NOT NULL,
		zone     INTEGER NOT NULL
	) STRICT;
	CREATE TABLE answer ( -- of messages that have ended
		seq      INTEGER PRIMARY KEY,
		id       TEXT NOT NULL UNIQUE,
		kind     INTEGER NOT NULL, -- 0 failed, 1 refused, 2 delivered
		retry    INTEGER NOT NULL,
		dest     INTEGER NOT NULL,
		attempts INTEGER NOT NULL,
		taken    INTEGER NOT NULL,
		ended    INTEGER NOT NULL,
		told     INTEGER -- null while it is owed
	) STRICT;
	CREATE INDEX answer_owed ON answer (seq) WHERE told IS NULL;
	CREATE TABLE endpoint (
		name   TEXT PRIMARY KEY,
		failed INTEGER NOT NULL,
		back   INTEGER NOT NULL -- 0 while no success came after it
	) STRICT, WITHOUT ROWID;`,

	// Recent calls: a node that restarts counts them in its rate windows.
	`CREATE TABLE call (
		n        INTEGER PRIMARY KEY AUTOINCREMENT,
		endpoint TEXT NOT NULL,
		at       INTEGER NOT NULL
	) STRICT;`,

	// Final responses in the order of their sequence numbers, without an index of ids: see ids.go.
	fmt.Sprintf(`CREATE TABLE kept (
		seq      INTEGER PRIMARY KEY,
		id       TEXT NOT NULL,
		segment  INTEGER NOT NULL,
		kind     INTEGER NOT NULL, -- 0 failed, 1 refused, 2 delivered
		retry    INTEGER NOT NULL,
		dest     INTEGER NOT NULL,
		attempts INTEGER NOT NULL,
		taken    INTEGER NOT NULL,
		ended    INTEGER NOT NULL,
		told     INTEGER -- null while it is owed
	) STRICT;
	INSERT INTO kept SELECT seq, id, (row_number() OVER (ORDER BY seq) - 1) / %d, kind, retry, dest, attempts, taken, ended, told
		FROM answer ORDER BY seq;
	DROP TABLE answer;
	ALTER TABLE kept RENAME TO answer;
	CREATE INDEX answer_owed ON answer (seq) WHERE told IS NULL;
	CREATE TABLE segment ( -- sealed ones
		n    INTEGER PRIMARY KEY,
		kept INTEGER NOT NULL, -- answers of it that are on record still
		next INTEGER NOT NULL  -- answers of later segments have this number or a higher one
	) STRICT;
	CREATE TABLE bucket ( -- of a segment's answers: hash of the id and number, 8 bytes each, little-endian
		segment INTEGER NOT NULL,
		n       INTEGER NOT NULL, -- the first bits of the hash
		entries BLOB NOT NULL,
		PRIMARY KEY (segment, n)
	) STRICT, WITHOUT ROWID;
	ALTER TABLE meta ADD COLUMN seed INTEGER NOT NULL DEFAULT 0; -- of the hash
	UPDATE meta SET seed = random();`, maxSegmentResponses),

	// The names of classes and zones, which records refer to by number; see store.Names.
	`CREATE TABLE name (
		kind INTEGER NOT NULL,
		n    INTEGER NOT NULL,
		name TEXT NOT NULL,
		PRIMARY KEY (kind, n)
	) STRICT, WITHOUT ROWID;`,

	// Checksums of the rows: see checksum.go. Rows without one are not rewritten, so that a full file can be migrated.
	`ALTER TABLE meta ADD COLUMN checksum INTEGER NOT NULL DEFAULT 0;
	ALTER TABLE message ADD COLUMN checksum INTEGER NOT NULL DEFAULT 0;
	ALTER TABLE past ADD COLUMN checksum INTEGER NOT NULL DEFAULT 0;
	ALTER TABLE answer ADD COLUMN checksum INTEGER NOT NULL DEFAULT 0;
	ALTER TABLE endpoint ADD COLUMN checksum INTEGER NOT NULL DEFAULT 0;
	ALTER TABLE call ADD COLUMN checksum INTEGER NOT NULL DEFAULT 0;
	ALTER TABLE segment ADD COLUMN checksum INTEGER NOT NULL DEFAULT 0;
	ALTER TABLE bucket ADD COLUMN checksum INTEGER NOT NULL DEFAULT 0;
	ALTER TABLE name ADD COLUMN checksum INTEGER NOT NULL DEFAULT 0;
	UPDATE meta SET checksum = row_checksum(one, commits, latest, seed);
	UPDATE name SET checksum = row_checksum(kind, n, name);`,
}

var (
	duringMigration = failpoint.New("store/sqlite/during-migration")
	afterMigration  = failpoint.New("store/sqlite/after-migration")
)

// queryInt returns the integer that a query selects.
func queryInt(c *sqlite3.Conn, query string) (int64, error) {
	st, _, err := c.Prepare(query)
	if err != nil {
		return 0, fmt.Errorf("%s: %w", query, err)
	}
	defer func() { _ = st.Close() }()
	if !st.Step() {
		if err := st.Err(); err != nil {
			return 0, fmt.Errorf("%s: %w", query, err)
		}
		return 0, fmt.Errorf("%s: got no row, want one", query)
	}
	return st.ColumnInt64(0), nil
}

func pragma(c *sqlite3.Conn, name string) (int64, error) { return queryInt(c, "PRAGMA "+name) }

// singleLineError is an error whose text is on one line.
type singleLineError struct{ error }

func (e singleLineError) Error() string { return strings.Join(strings.Fields(e.error.Error()), " ") }
func (e singleLineError) Unwrap() error { return e.error }

// version checks that a file is a store or empty, and returns the number of migrations that were applied to it. It does
// not change the file.
func version(c *sqlite3.Conn, path string) (int, error) {
	app, err := pragma(c, "application_id")
	if err != nil {
		return 0, err
	}
	v, err := pragma(c, "user_version")
	if err != nil {
		return 0, err
	}
	objects, err := queryInt(c, "SELECT count(*) FROM sqlite_schema")
	if err != nil {
		return 0, err
	}
	switch {
	case app != applicationID && objects > 0:
		return 0, fmt.Errorf("%s is a database of another program; it was not changed", path)
	case v > int64(len(migrations)):
		return 0, fmt.Errorf("%s has schema version %d, but this program supports versions up to %d: a newer program wrote the file; it was not changed", path, v, len(migrations))
	}
	return int(v), nil
}

// migrate applies the migrations from the given index on. Each is one transaction, which also writes the new version.
func migrate(c *sqlite3.Conn, from int) error {
	for i := from; i < len(migrations); i++ {
		if err := runMigration(c, i); err != nil {
			return fmt.Errorf("migrating to schema %d: %w", i+1, err)
		}
		_ = afterMigration.At() // the migration is committed, so an injected error changes nothing
	}
	return nil
}

func runMigration(c *sqlite3.Conn, i int) (err error) {
	tx, err := c.BeginImmediate()
	if err != nil {
		return err
	}
	defer tx.End(&err)
	if err := c.Exec(migrations[i]); err != nil {
		return err
	}
	if err := duringMigration.At(); err != nil {
		return err
	}
	return c.Exec(fmt.Sprintf("PRAGMA application_id = %d; PRAGMA user_version = %d", applicationID, i+1))
}

// checkPages reads all pages and indexes and returns an error if one is damaged.
func checkPages(c *sqlite3.Conn, path string) error {
	st, _, err := c.Prepare("PRAGMA integrity_check(3)")
	if err != nil {
		return fmt.Errorf("%s is damaged; it was not changed: %w", path, err)
	}
	defer func() { _ = st.Close() }()
	for st.Step() {
		if text := st.ColumnText(0); text != "ok" {
			return fmt.Errorf("%s is damaged; it was not changed: %s", path, text)
		}
	}
	if err := st.Err(); err != nil {
		return fmt.Errorf("%s is damaged; it was not changed: %w", path, err)
	}
	return nil
}
