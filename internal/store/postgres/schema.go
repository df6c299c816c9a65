package postgres

import (
	"context"
	"fmt"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"
)

// migrations are the steps of the schema. One that has been released is never changed.
var migrations = []string{
	`CREATE TABLE counter (one BIGINT PRIMARY KEY, lives BIGINT NOT NULL);
	INSERT INTO counter VALUES (1, 0);
	CREATE TABLE lease (
		node    TEXT PRIMARY KEY,
		epoch   BIGINT NOT NULL,
		commits BIGINT NOT NULL, -- the transactions of the present epoch and those before it
		until   BIGINT NOT NULL  -- by the server's clock, in microseconds
	);
	CREATE TABLE ident (id TEXT PRIMARY KEY, seq BIGINT NOT NULL); -- of all messages on record
	CREATE TABLE message (
		seq      BIGINT PRIMARY KEY,
		node     TEXT NOT NULL,
		id       TEXT NOT NULL,
		key      TEXT NOT NULL,
		class    BIGINT NOT NULL,
		dest     BIGINT NOT NULL,
		deadline BIGINT NOT NULL,
		taken    BIGINT NOT NULL,
		body     BYTEA NOT NULL
	);
	CREATE INDEX message_node ON message (node, seq);
	CREATE TABLE past (
		seq      BIGINT PRIMARY KEY,
		attempts BIGINT NOT NULL,
		flags    BIGINT NOT NULL,
		ran      BIGINT NOT NULL,
		zone     BIGINT NOT NULL
	);
	CREATE TABLE answer (
		seq      BIGINT PRIMARY KEY,
		node     TEXT NOT NULL,
		id       TEXT NOT NULL,
		kind     BIGINT NOT NULL,
		retry    BIGINT NOT NULL,
		dest     BIGINT NOT NULL,
		attempts BIGINT NOT NULL,
		taken    BIGINT NOT NULL,
		ended    BIGINT NOT NULL,
		told     BIGINT
	);
	CREATE INDEX answer_owed ON answer (node, seq) WHERE told IS NULL;
	CREATE INDEX answer_told ON answer (told) WHERE told IS NOT NULL;
	CREATE TABLE endpoint (
		node   TEXT NOT NULL,
		name   TEXT NOT NULL,
		failed BIGINT NOT NULL,
		back   BIGINT NOT NULL,
		PRIMARY KEY (node, name)
	);
	CREATE TABLE call (node TEXT NOT NULL, endpoint TEXT NOT NULL, at BIGINT NOT NULL);
	CREATE INDEX call_node ON call (node, at)`,

	// Until when a call may be out that has no outcome: another node sends nothing before.
	`ALTER TABLE past ADD COLUMN until BIGINT NOT NULL DEFAULT 0`,

	// Until when the node relies on its lease, by its own clock; 0 once it has given it back.
	`ALTER TABLE lease ADD COLUMN own BIGINT NOT NULL DEFAULT 0`,

	// What the numbers of classes and buildings mean, the same to all nodes, see store.Names.
	`CREATE TABLE name (kind BIGINT NOT NULL, n BIGINT NOT NULL, name TEXT NOT NULL, PRIMARY KEY (kind, n))`,

	// Which rule sets the nodes use, see store.RuleSharer.
	`CREATE TABLE rule_use (
		node        TEXT PRIMARY KEY,
		incarnation BIGINT NOT NULL, -- of the process, see counter.lives
		active      TEXT NOT NULL,   -- '' until it is announced
		previous    TEXT NOT NULL,
		drained     BIGINT NOT NULL,
		gone        BIGINT NOT NULL  -- when the process was fenced, by the server's clock in microseconds; 0 while it runs
	)`,
}

// migrate runs the steps that the schema lacks, each in a transaction that also writes its version.
func migrate(ctx context.Context, db interface {
	Begin(ctx context.Context) (pgx.Tx, error)
	Exec(ctx context.Context, sql string, args ...any) (pgconn.CommandTag, error)
},
) error {
	if _, err := db.Exec(ctx, "CREATE TABLE IF NOT EXISTS schema_version (one BIGINT PRIMARY KEY, version BIGINT NOT NULL)"); err != nil {
		return err
	}
	for {
		var done bool
		err := pgx.BeginFunc(ctx, db, func(tx pgx.Tx) error {
			// The row is locked, so nodes that start at the same time run each step once.
			if _, err := tx.Exec(ctx, "INSERT INTO schema_version VALUES (1, 0) ON CONFLICT (one) DO NOTHING"); err != nil {
				return err
			}
			var v int64
			if err := tx.QueryRow(ctx, "SELECT version FROM schema_version WHERE one = 1 FOR UPDATE").Scan(&v); err != nil {
				return err
			}
			if v > int64(len(migrations)) {
				return fmt.Errorf("it has schema %d, and this program knows %d: it was written by a newer one, and is left as it is", v, len(migrations))
			}
			if done = v == int64(len(migrations)); done {
				return nil
			}
			// Only the simple protocol runs several statements at once.
			if _, err := tx.Conn().PgConn().Exec(ctx, migrations[v]).ReadAll(); err != nil {
				return err
			}
			_, err := tx.Exec(ctx, "UPDATE schema_version SET version = $1::bigint WHERE one = 1", v+1)
			return err
		})
		if err != nil || done {
			return err
		}
	}
}
