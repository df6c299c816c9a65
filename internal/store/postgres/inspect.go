package postgres

import (
	"context"
	"errors"
	"fmt"
	"time"
	"wingmount/internal/message"
	"wingmount/internal/store"

	"github.com/jackc/pgx/v5"
)

// Inspector reads a database that nodes share, for operators. Each method reads in one transaction. An Inspector needs no
// lease, and is not safe for concurrent use.
type Inspector struct{ conn *pgx.Conn }

// Inspect connects to a database. It returns an error if the schema is another one than this program's.
func Inspect(ctx context.Context, url string) (_ *Inspector, err error) {
	c, err := pgx.ParseConfig(url)
	if err != nil {
		return nil, fmt.Errorf("the address of PostgreSQL: %w", err)
	}
	c.ConnectTimeout = statementTimeout
	c.RuntimeParams["application_name"] = "wingmount store"
	conn, err := pgx.ConnectConfig(ctx, c)
	if err != nil {
		return nil, fmt.Errorf("connecting to PostgreSQL: %w", err)
	}
	var v int64
	if err = conn.QueryRow(ctx, "SELECT version FROM schema_version WHERE one = 1").Scan(&v); err != nil {
		err = fmt.Errorf("the database has no store: %w", err)
	} else if v != int64(len(migrations)) {
		err = fmt.Errorf("the database has schema %d, and this program knows %d", v, len(migrations))
	}
	if err != nil {
		return nil, errors.Join(err, conn.Close(ctx))
	}
	return &Inspector{conn}, nil
}

// Migrate brings the schema up to date, and returns the versions before and after.
func Migrate(ctx context.Context, url string) (from, to int, err error) {
	conn, err := pgx.Connect(ctx, url)
	if err != nil {
		return 0, 0, fmt.Errorf("connecting to PostgreSQL: %w", err)
	}
	defer func() { err = errors.Join(err, conn.Close(ctx)) }()
	if err := conn.QueryRow(ctx, "SELECT version FROM schema_version WHERE one = 1").Scan(&from); err != nil && sqlState(err) != "42P01" && !errors.Is(err, pgx.ErrNoRows) {
		return 0, 0, err
	}
	return from, len(migrations), migrate(ctx, conn)
}

// Close implements [store.Inspector].
func (i *Inspector) Close() error {
	ctx, cancel := context.WithTimeout(context.Background(), statementTimeout)
	defer cancel()
	return i.conn.Close(ctx)
}

// inSnapshot runs queries that all read the same state of the database.
func (i *Inspector) inSnapshot(ctx context.Context, f func(pgx.Tx) error) error {
	return pgx.BeginTxFunc(ctx, i.conn, pgx.TxOptions{IsoLevel: pgx.RepeatableRead, AccessMode: pgx.ReadOnly}, f)
}

// Check implements [store.Inspector]. It returns an error for each kind of rows that contradict those of another table.
func (i *Inspector) Check(ctx context.Context) error {
	return i.inSnapshot(ctx, func(tx pgx.Tx) error {
		var all []error
		for _, c := range []struct{ what, query string }{
			{"messages that run and have an answer", "SELECT count(*) FROM message m JOIN answer a ON a.seq = m.seq"},
			{"messages that run and whose id is another's or nobody's", "SELECT count(*) FROM message m LEFT JOIN ident i ON i.id = m.id WHERE i.seq IS NULL OR i.seq <> m.seq"},
			{"answers whose id is another's or nobody's", "SELECT count(*) FROM answer a LEFT JOIN ident i ON i.id = a.id WHERE i.seq IS NULL OR i.seq <> a.seq"},
			{"ids of nothing", "SELECT count(*) FROM ident i LEFT JOIN message m ON m.seq = i.seq LEFT JOIN answer a ON a.seq = i.seq WHERE m.seq IS NULL AND a.seq IS NULL"},
			{"attempts at nothing", "SELECT count(*) FROM past p LEFT JOIN message m ON m.seq = p.seq WHERE m.seq IS NULL"},
			{"messages of a node without a lease", "SELECT count(*) FROM message m LEFT JOIN lease l ON l.node = m.node WHERE l.node IS NULL"},
			{"answers of a node without a lease", "SELECT count(*) FROM answer a LEFT JOIN lease l ON l.node = a.node WHERE l.node IS NULL"},
		} {
			var n int64
			if err := tx.QueryRow(ctx, c.query).Scan(&n); err != nil {
				return err
			}
			if n > 0 {
				all = append(all, fmt.Errorf("the database is not consistent: %d %s", n, c.what))
			}
		}
		return errors.Join(all...)
	})
}

// Stat implements [store.Inspector]. The sums come first, then one line for each node.
func (i *Inspector) Stat(ctx context.Context) ([]store.Figure, error) {
	f := []store.Figure{{Name: "schema", Value: int64(len(migrations))}}
	err := i.inSnapshot(ctx, func(tx pgx.Tx) error {
		var server int64 // microseconds
		if err := tx.QueryRow(ctx, "SELECT "+serverTime).Scan(&server); err != nil {
			return err
		}
		for _, c := range []struct{ name, query string }{
			{"lives of nodes", "SELECT lives FROM counter WHERE one = 1"},
			{"running", "SELECT count(*) FROM message"},
			{"attempts at running", "SELECT coalesce(sum(attempts), 0)::bigint FROM past"},
			{"answers owed", "SELECT count(*) FROM answer WHERE told IS NULL"},
			{"answers kept", "SELECT count(*) FROM answer WHERE told IS NOT NULL"},
		} {
			var n int64
			if err := tx.QueryRow(ctx, c.query).Scan(&n); err != nil {
				return err
			}
			f = append(f, store.Figure{Name: c.name, Value: n})
		}
		rows, err := tx.Query(ctx, `SELECT node, epoch, until, (SELECT count(*) FROM message m WHERE m.node = l.node),
			(SELECT count(*) FROM answer a WHERE a.node = l.node AND a.told IS NULL) FROM lease l ORDER BY node`)
		if err != nil {
			return err
		}
		var node string
		var epoch, until, unfinished, pending int64
		_, err = pgx.ForEachRow(rows, []any{&node, &epoch, &until, &unfinished, &pending}, func() error {
			lease := "given back"
			switch left := time.Duration(until-server) * time.Microsecond; {
			case until <= 1:
			case left > 0:
				lease = fmt.Sprintf("runs for %v", left.Round(time.Millisecond))
			default:
				lease = fmt.Sprintf("ran out %v ago", -left.Round(time.Millisecond))
			}
			f = append(f, store.Figure{Name: "node " + node, Value: fmt.Sprintf("epoch %d, lease %s, %d running, %d answers owed", epoch, lease, unfinished, pending)})
			return nil
		})
		return err
	})
	return f, err
}

// Entries implements [store.Inspector]. A kind below 0 marks a message without a final response.
func (i *Inspector) Entries(ctx context.Context, id string, hand func(store.Entry) error) error {
	return i.inSnapshot(ctx, func(tx pgx.Tx) error {
		rows, err := tx.Query(ctx, `SELECT m.seq AS seq, node, id, dest, taken, deadline, coalesce(attempts, 0) AS attempts, coalesce(flags, 0) AS flags,
				-1::bigint AS kind, 0::bigint AS retry, 0::bigint AS ended, 0::bigint AS told, length(body)::bigint AS bytes
				FROM message m LEFT JOIN past p ON p.seq = m.seq WHERE $1::text = '' OR id = $1::text
			UNION ALL SELECT seq, node, id, dest, taken, 0::bigint, attempts, 0::bigint, kind, retry, ended, coalesce(told, 0), 0::bigint FROM answer
				WHERE $1::text = '' OR id = $1::text ORDER BY 1`, id)
		if err != nil {
			return err
		}
		var seq, acceptedAt, deadline, attempts, flags, kind, retryMs, completedAt, notifiedAt, bodyBytes, destination int64
		var node, messageID string
		columns := []any{
			&seq, &node, &messageID, &destination, &acceptedAt, &deadline, &attempts, &flags,
			&kind, &retryMs, &completedAt, &notifiedAt, &bodyBytes,
		}
		_, err = pgx.ForEachRow(rows, columns, func() error {
			entry := store.Entry{
				Seq: seq, Node: node, ID: messageID, Dest: int(destination),
				Accepted: optionalTime(acceptedAt), Attempts: int(attempts), State: store.StateRunning,
			}
			if kind < 0 {
				var history message.History
				history.SetFlags(flags)
				entry.Deadline, entry.Bytes = optionalTime(deadline), int(bodyBytes)
				entry.MayHaveRun, entry.Outstanding = history.MayHaveRun, history.Outstanding
				return hand(entry)
			}
			entry.State, entry.Outcome, entry.RetryInMs = store.StatePending, message.ResponseKind(kind).String(), retryMs
			entry.Completed, entry.Notified = optionalTime(completedAt), optionalTime(notifiedAt)
			if entry.Notified != nil {
				entry.State = store.StateNotified
			}
			return hand(entry)
		})
		return err
	})
}

// optionalTime returns the time of a column in Unix microseconds, and nil for 0.
func optionalTime(micros int64) *time.Time {
	if micros == 0 {
		return nil
	}
	t := time.UnixMicro(micros)
	return &t
}

// Backup implements [store.Inspector]. It always returns an error: the database has better tools.
func (i *Inspector) Backup(context.Context, string) error {
	return errors.New("PostgreSQL has better tools for a copy of a database: pg_dump, or pg_basebackup with an archive of its WAL")
}
