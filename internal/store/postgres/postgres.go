// Package postgres is a store of record in a PostgreSQL database that several nodes share.
//
// Each node owns its messages by a lease with an epoch. Every transaction of a node updates
// its lease row, and fails there, in the database, once the epoch is another: a node that was
// paused past its lease can write nothing more. Durability is the server's: with
// synchronous_commit on, what is durable outlasts the server's machine.
//
// A COMMIT whose answer did not come is found out, never guessed: the node raises its own
// epoch, which fences whatever of its old transaction is still to come, and reads in the
// lease row whether that transaction counted.
//
// While the database can't be reached, a lease stands for a record: see expire.
//
// What a node leaves whose lease has run out, or that stopped in good order, is taken over by
// the others while they run; see takeover.go.
package postgres

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"log/slog"
	"slices"
	"sync/atomic"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"
	"github.com/jackc/pgx/v5/pgxpool"

	"wingmount/internal/fail"
	"wingmount/internal/message"
	"wingmount/internal/store"
	"wingmount/internal/store/group"
	"wingmount/policy"
)

const (
	// statementTime bounds a transaction, and each try to find out what became of one.
	statementTime = 2 * time.Second
	// resolvePause is between two such tries.
	resolvePause = 100 * time.Millisecond
	// sweepMax is how many answers one look for old ones deletes.
	sweepMax = 500
	sweepGap = 10 * time.Second
	// lifeBits is the room for the numbers of one life's messages.
	lifeBits = 32
	// now is the server's clock in microseconds: leases are measured by it alone.
	now = "(extract(epoch FROM clock_timestamp()) * 1000000)::bigint"
)

// Where a crash matters.
var (
	atSend  = fail.New("store/postgres/before-transaction")
	atAfter = fail.New("store/postgres/after-commit")
	atLease = fail.New("store/postgres/after-lease")
)

// Config is what a store is told.
type Config struct {
	URL  string // postgres://…
	Node string // the owner of its messages; the newest process under a name has them
	// Lease is how long a node owns its messages after it was last heard of.
	Lease         time.Duration
	Keep          time.Duration // answers, after they were told
	TellDelivered bool
	// Names are those that this node uses. Messages of classes that it does not use are left to
	// others.
	Names store.Names
}

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
}

// Store is a store of record in a PostgreSQL database.
type Store struct {
	*group.Queue
	base *base
}

// Owned implements part of [store.Shared].
func (s *Store) Owned() bool {
	until := s.base.owned.Load()
	return until != nil && time.Now().Before(*until)
}

// base is the backend of a store.
type base struct {
	cfg     Config
	log     *slog.Logger
	pool    *pgxpool.Pool
	life    context.Context // ends when the store closes
	end     context.CancelFunc
	epoch   int64
	commits int64
	renewed time.Time // when the last transaction that renewed the lease was sent
	sweepAt time.Time
	names   store.Names
	takeAt  time.Time                 // when to look for what others left
	owned   atomic.Pointer[time.Time] // until when the lease runs by this process's clock
}

// own is until when a lease that is renewed by what is sent at a time may be relied on.
func (b *base) own(sent time.Time) time.Time {
	return sent.Add(b.cfg.Lease - time.Duration(leaseMargin*float64(b.cfg.Lease)))
}

// ImpliedUntil implements [group.Implier]: see expire.
func (b *base) ImpliedUntil() time.Time { return *b.owned.Load() }

// leaseMargin is the share of the lease that is not relied on where only this process's clock
// tells: it may run slower than the server's.
const leaseMargin = 0.1

// renew notes that a transaction which was sent at a time has renewed the lease.
func (b *base) renew(sent time.Time) {
	b.renewed = sent
	until := b.own(sent)
	b.owned.Store(&until)
}

// Open connects, brings the schema up to date, takes the node's lease and reads what it owes.
// A process of the same name that lives still can write nothing from then on.
func Open(ctx context.Context, c Config, log *slog.Logger) (_ *Store, _ store.Recovered, err error) {
	var none store.Recovered
	pc, err := pgxpool.ParseConfig(c.URL)
	if err != nil {
		return nil, none, fmt.Errorf("the address of PostgreSQL: %w", err)
	}
	pc.MaxConns = 2
	pc.ConnConfig.ConnectTimeout = statementTime
	pc.ConnConfig.RuntimeParams["application_name"] = "wingmount " + c.Node
	pc.AfterConnect = func(ctx context.Context, conn *pgx.Conn) error {
		_, err := conn.Exec(ctx, fmt.Sprintf("SET lock_timeout = %d", statementTime.Milliseconds()/2))
		return err
	}
	pc.BeforeClose = func(conn *pgx.Conn) {
		if conn.IsClosed() { // it failed: nobody waits for what a silent server may still say
			_ = conn.PgConn().Conn().Close()
		}
	}
	pool, err := pgxpool.NewWithConfig(ctx, pc)
	if err != nil {
		return nil, none, fmt.Errorf("connecting to PostgreSQL: %w", err)
	}
	b := &base{cfg: c, log: log, pool: pool}
	b.life, b.end = context.WithCancel(context.Background())
	defer func() {
		if err != nil {
			b.end()
			pool.Close()
		}
	}()
	if err := migrate(ctx, pool); err != nil {
		return nil, none, fmt.Errorf("bringing the schema up to date: %w", err)
	}
	life, err := b.acquire(ctx)
	if err != nil {
		return nil, none, fmt.Errorf("taking the lease: %w", err)
	}
	_ = atLease.At() // it is taken, whatever an error says
	r, err := b.recover(ctx)
	r.Names = b.names
	if err != nil {
		return nil, none, fmt.Errorf("reading what is owed: %w", err)
	}
	var live []*message.Message
	for _, m := range r.Owed {
		if m.End == nil {
			live = append(live, m)
		}
	}
	q := group.New(group.Config{TellDelivered: c.TellDelivered, Next: policy.MessageID(life << lifeBits), Live: live, Memories: r.Memories}, b, log)
	return &Store{q, b}, r, nil
}

func state(err error) string {
	var e *pgconn.PgError
	if errors.As(err, &e) {
		return e.Code
	}
	return ""
}

// migrate runs the steps that the schema lacks, each with its version in a transaction.
func migrate(ctx context.Context, db interface {
	Begin(ctx context.Context) (pgx.Tx, error)
	Exec(ctx context.Context, sql string, args ...any) (pgconn.CommandTag, error)
}) error {
	if _, err := db.Exec(ctx, "CREATE TABLE IF NOT EXISTS schema_version (one BIGINT PRIMARY KEY, version BIGINT NOT NULL)"); err != nil {
		return err
	}
	for {
		var done bool
		err := pgx.BeginFunc(ctx, db, func(tx pgx.Tx) error {
			// The row is locked, so that nodes that start together do each step once.
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
			// Several statements: the simple protocol.
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

// acquire takes the lease under a new epoch, and returns the number of this life.
func (b *base) acquire(ctx context.Context) (life int64, err error) {
	sent := time.Now()
	err = pgx.BeginFunc(ctx, b.pool, func(tx pgx.Tx) error {
		if _, err := tx.Exec(ctx, "UPDATE counter SET lives = lives + 1 WHERE one = 1"); err != nil {
			return err
		}
		if err := tx.QueryRow(ctx, "SELECT lives FROM counter WHERE one = 1").Scan(&life); err != nil {
			return err
		}
		if b.names, err = readNames(ctx, tx); err != nil {
			return err
		}
		all := b.names.With(b.cfg.Names)
		for kind, list := range all.Lists() {
			for n := len(*b.names.Lists()[kind]); n < len(*list); n++ {
				if _, err := tx.Exec(ctx, "INSERT INTO name VALUES ($1::bigint, $2::bigint, $3::text)", int64(kind), int64(n), (*list)[n]); err != nil {
					return err
				}
			}
		}
		b.names = all
		if _, err := tx.Exec(ctx, "INSERT INTO lease (node, epoch, commits, until) VALUES ($1::text, 0, 0, 0) ON CONFLICT (node) DO NOTHING", b.cfg.Node); err != nil {
			return err
		}
		var own, latest int64
		if err := tx.QueryRow(ctx, "SELECT own, (SELECT coalesce(max(taken), 0) FROM message WHERE node = $1::text) FROM lease WHERE node = $1 FOR UPDATE", b.cfg.Node).Scan(&own, &latest); err != nil {
			return err
		}
		// The clock may have been set back since.
		if err := b.expire(ctx, tx, b.cfg.Node, min(own, max(latest, sent.UnixMicro())), sent); err != nil {
			return err
		}
		if _, err := tx.Exec(ctx, "UPDATE lease SET epoch = epoch + 1, until = "+now+" + $2::bigint, own = $3::bigint WHERE node = $1::text",
			b.cfg.Node, b.cfg.Lease.Microseconds(), b.own(sent).UnixMicro()); err != nil {
			return err
		}
		return tx.QueryRow(ctx, "SELECT epoch, commits FROM lease WHERE node = $1::text", b.cfg.Node).Scan(&b.epoch, &b.commits)
	})
	if err == nil {
		b.renew(sent)
	}
	return life, err
}

// Begin implements [group.Backend]. The transaction goes out whole with Commit, in one round
// trip; nothing is begun before.
func (b *base) Begin() error { return nil }

// fence counts a transaction in the lease, and fails with not-null violation where the epoch
// is another.
const fence = "UPDATE lease SET commits = CASE WHEN epoch = $2::bigint THEN commits + 1 END, until = " + now + " + $3::bigint, own = $4::bigint WHERE node = $1::text"

// Commit implements [group.Backend].
func (b *base) Commit(records []*group.Record) ([]error, error) {
	if err := atSend.At(); err != nil {
		return nil, err
	}
	sent := time.Now()
	batch := &pgx.Batch{}
	batch.Queue("BEGIN")
	batch.Queue(fence, b.cfg.Node, b.epoch, b.cfg.Lease.Microseconds(), b.own(sent).UnixMicro())
	results := make([]error, len(records))
	for i, r := range records {
		b.queue(batch, r, &results[i])
	}
	batch.Queue("COMMIT")
	ctx, cancel := context.WithTimeout(b.life, statementTime)
	defer cancel()
	err := func() error {
		conn, err := b.pool.Acquire(ctx)
		if err != nil {
			return notSent{err}
		}
		defer conn.Release()
		err = conn.SendBatch(ctx, batch).Close()
		if state(err) != "" && !conn.Conn().IsClosed() {
			// The server said no, and COMMIT was passed over with the rest.
			_, e := conn.Exec(ctx, "ROLLBACK")
			if e != nil {
				_ = conn.Conn().Close(ctx) // it must not come back into the pool
			}
			return refused{err}
		}
		return err
	}()
	var no refused
	var un notSent
	switch {
	case err == nil:
	case errors.As(err, &no) && state(err) == "23502":
		return nil, fmt.Errorf("%w: %w", store.ErrFenced, err)
	case errors.As(err, &no), errors.As(err, &un):
		return nil, err
	default:
		landed, e := b.resolve(err)
		if e != nil {
			return nil, e
		}
		if !landed {
			return nil, err
		}
		b.log.Info("store: a commit whose answer was lost had been made", "err", err)
		if err := b.reread(records, results); err != nil {
			return nil, err
		}
	}
	b.commits++
	b.renew(sent)
	_ = atAfter.At() // it is on record, whatever an error says
	return results, nil
}

// refused is an error that the server told: nothing was committed.
type refused struct{ error }

func (r refused) Unwrap() error { return r.error }

// notSent is an error before anything was sent.
type notSent struct{ error }

func (n notSent) Unwrap() error { return n.error }

// resolve finds out whether a transaction whose answer did not come was committed. It tries
// until the database answers or the store closes.
func (b *base) resolve(why error) (landed bool, err error) {
	b.log.Warn("store: whether a transaction was committed is not known, and is found out", "err", why)
	for b.life.Err() == nil {
		var commits, epoch int64
		err := func() error {
			ctx, cancel := context.WithTimeout(b.life, statementTime)
			defer cancel()
			return pgx.BeginFunc(ctx, b.pool, func(tx pgx.Tx) error {
				// From here on nothing of the old transaction can come any more.
				tag, err := tx.Exec(ctx, "UPDATE lease SET epoch = epoch + 1 WHERE node = $1::text AND epoch = $2::bigint", b.cfg.Node, b.epoch)
				if err != nil {
					return err
				}
				if err := tx.QueryRow(ctx, "SELECT epoch, commits FROM lease WHERE node = $1::text", b.cfg.Node).Scan(&epoch, &commits); err != nil {
					return err
				}
				if tag.RowsAffected() == 0 && epoch != b.epoch+1 {
					return store.ErrFenced
				}
				return nil
			})
		}()
		switch {
		case errors.Is(err, store.ErrFenced):
			return false, err
		case err == nil:
			b.epoch = epoch
			landed = commits == b.commits+1
			if commits != b.commits && !landed {
				return false, fmt.Errorf("%w: the lease counts %d transactions, not %d", store.ErrFenced, commits, b.commits)
			}
			return landed, nil
		}
		select {
		case <-b.life.Done():
		case <-time.After(resolvePause):
		}
	}
	return false, fmt.Errorf("%w: %w", store.ErrUndecided, why)
}

// Closing implements [group.Backend].
func (b *base) Closing(by time.Time) { time.AfterFunc(time.Until(by), b.end) }

// reread asks what became of the takes of a transaction that landed unheard.
func (b *base) reread(records []*group.Record, results []error) error {
	for i, r := range records {
		if r.Kind != group.Take {
			continue
		}
		for {
			batch := &pgx.Batch{}
			b.queueKnown(batch, r, &results[i])
			ctx, cancel := context.WithTimeout(b.life, statementTime)
			err := b.pool.SendBatch(ctx, batch).Close()
			cancel()
			if err == nil {
				break
			}
			if b.life.Err() != nil {
				return fmt.Errorf("%w: %w", store.ErrUndecided, err)
			}
			time.Sleep(resolvePause)
		}
	}
	return nil
}

// queue adds the statements of one record.
func (b *base) queue(batch *pgx.Batch, r *group.Record, result *error) {
	past := func() {
		for i, p := range r.Pasts {
			batch.Queue(`INSERT INTO past SELECT $1::bigint, $2::bigint, $3::bigint, $4::bigint, $5::bigint, $6::bigint WHERE EXISTS (SELECT 1 FROM message WHERE seq = $1)
				ON CONFLICT (seq) DO UPDATE SET attempts = excluded.attempts, flags = excluded.flags, ran = excluded.ran, zone = excluded.zone, until = excluded.until`,
				int64(r.Seqs[i]), int64(p.Attempts), p.Flags(), message.Micros(p.RanAt), int64(p.RanZone), message.Micros(r.Until))
		}
	}
	switch r.Kind {
	case group.Take:
		m := r.Message
		// The id is one of all nodes' until its answer is let go of.
		batch.Queue("INSERT INTO ident VALUES ($1::text, $2::bigint) ON CONFLICT (id) DO NOTHING", m.ID, int64(m.Seq))
		batch.Queue(`INSERT INTO message SELECT $1::bigint, $2::text, $3::text, $4::text, $5::bigint, $6::bigint, $7::bigint, $8::bigint, $9::bytea
			WHERE EXISTS (SELECT 1 FROM ident WHERE id = $3 AND seq = $1)`,
			int64(m.Seq), b.cfg.Node, m.ID, m.Key, int64(m.Class), int64(m.Dest), m.Deadline.UnixMicro(), r.At.UnixMicro(), notNil(m.Body))
		b.queueKnown(batch, r, result)
	case group.Attempt:
		batch.Queue("INSERT INTO call VALUES ($1::text, $2::text, $3::bigint)", b.cfg.Node, r.Endpoint, r.At.UnixMicro())
		past()
	case group.Outcome:
		past()
		if e := r.Memory; e != nil {
			batch.Queue(`INSERT INTO endpoint VALUES ($1::text, $2::text, $3::bigint, $4::bigint)
				ON CONFLICT (node, name) DO UPDATE SET failed = excluded.failed, back = excluded.back`,
				b.cfg.Node, r.Endpoint, message.Micros(e.FailedAt), message.Micros(e.BackAt))
		}
	case group.Told:
		for _, seq := range r.Seqs {
			batch.Queue("UPDATE answer SET told = $2::bigint WHERE seq = $1::bigint AND told IS NULL", int64(seq), r.At.UnixMicro())
		}
	}
	for i, e := range r.Ends {
		seq := int64(r.Seqs[i])
		var told *int64
		if r.Over {
			at := r.At.UnixMicro()
			told = &at
		}
		batch.Queue(`INSERT INTO answer SELECT seq, node, id, $2::bigint, $3::bigint, dest,
				coalesce((SELECT attempts FROM past WHERE seq = $1::bigint), 0), taken, $4::bigint, $5::bigint FROM message WHERE seq = $1`,
			seq, int64(e.Kind), e.RetryAfter.Milliseconds(), r.At.UnixMicro(), told)
		batch.Queue("DELETE FROM message WHERE seq = $1::bigint", seq)
		batch.Queue("DELETE FROM past WHERE seq = $1::bigint", seq)
	}
}

// knownID asks what is on record of an id, see scanKnown.
const knownID = `SELECT i.seq, a.kind, a.retry FROM ident i LEFT JOIN answer a ON a.seq = i.seq WHERE i.id = $1::text`

// scanKnown reads the row of knownID: what a take of the id hears, and the number of the message that has it.
func scanKnown(row pgx.Row) (*store.KnownError, int64, error) {
	var seq int64
	var kind, retry *int64
	if err := row.Scan(&seq, &kind, &retry); err != nil {
		return nil, 0, err
	}
	known := &store.KnownError{}
	if kind != nil {
		known.End = &message.End{Kind: message.Kind(*kind), RetryAfter: time.Duration(*retry) * time.Millisecond}
	}
	return known, seq, nil
}

// queueKnown asks whose the id of a take is.
func (b *base) queueKnown(batch *pgx.Batch, r *group.Record, result *error) {
	batch.Queue(knownID, r.Message.ID).QueryRow(func(row pgx.Row) error {
		known, seq, err := scanKnown(row)
		if err != nil {
			return err
		}
		*result = nil
		if seq != int64(r.Message.Seq) {
			*result = known
		}
		return nil
	})
}

// Find implements [group.Finder].
func (b *base) Find(ids []string) ([]error, error) {
	results := make([]error, len(ids))
	batch := &pgx.Batch{}
	for i, id := range ids {
		batch.Queue(knownID, id).Query(func(rows pgx.Rows) error {
			for rows.Next() {
				known, _, err := scanKnown(rows)
				if err != nil {
					return err
				}
				results[i] = known
			}
			return rows.Err()
		})
	}
	ctx, cancel := context.WithTimeout(b.life, statementTime)
	defer cancel()
	if err := b.pool.SendBatch(ctx, batch).Close(); err != nil {
		return nil, err
	}
	return results, nil
}

func notNil(b []byte) []byte {
	if b == nil {
		return []byte{}
	}
	return b
}

// Idle implements [group.Backend]: it renews the lease in time, and lets go of old answers.
func (b *base) Idle(at time.Time) error {
	ctx, cancel := context.WithTimeout(b.life, statementTime)
	defer cancel()
	if at.Sub(b.renewed) > b.cfg.Lease/3 {
		sent := time.Now()
		tag, err := b.pool.Exec(ctx, "UPDATE lease SET until = "+now+" + $3::bigint, own = $4::bigint WHERE node = $1::text AND epoch = $2::bigint",
			b.cfg.Node, b.epoch, b.cfg.Lease.Microseconds(), b.own(sent).UnixMicro())
		if err != nil {
			return err
		}
		if tag.RowsAffected() == 0 {
			return store.ErrFenced
		}
		b.renew(sent)
	}
	if at.Before(b.sweepAt) {
		return nil
	}
	b.sweepAt = at.Add(sweepGap)
	// Each table by itself: an id is let go of after its answer, and is known until then.
	batch := &pgx.Batch{}
	old := at.Add(-b.cfg.Keep).UnixMicro()
	batch.Queue("BEGIN")
	batch.Queue(`DELETE FROM ident WHERE seq IN (SELECT seq FROM answer WHERE told IS NOT NULL AND told < $1::bigint ORDER BY told LIMIT $2::bigint)`, old, int64(sweepMax))
	batch.Queue(`DELETE FROM answer WHERE seq IN (SELECT seq FROM answer WHERE told IS NOT NULL AND told < $1::bigint ORDER BY told LIMIT $2::bigint)`, old, int64(sweepMax))
	batch.Queue("DELETE FROM call WHERE node = $1::text AND at < $2::bigint", b.cfg.Node, at.Add(-5*time.Minute).UnixMicro())
	batch.Queue("DELETE FROM endpoint WHERE node = $1::text AND failed < $2::bigint", b.cfg.Node, at.Add(-time.Hour).UnixMicro())
	batch.Queue("COMMIT")
	return b.pool.SendBatch(ctx, batch).Close()
}

// Full implements [group.Backend].
func (b *base) Full(err error) bool { return state(err) == "53100" }

// Close implements [group.Backend]: the lease ends with it.
func (b *base) Close() error {
	ctx, cancel := context.WithTimeout(context.Background(), statementTime)
	defer cancel()
	_, err := b.pool.Exec(ctx, "UPDATE lease SET until = 0, own = 0 WHERE node = $1::text AND epoch = $2::bigint", b.cfg.Node, b.epoch)
	b.end()
	b.pool.Close()
	if err != nil {
		return fmt.Errorf("giving the lease back: %w", err)
	}
	return nil
}

// recover reads what the node owes.
func (b *base) recover(ctx context.Context) (store.Recovered, error) {
	r := store.Recovered{Memories: map[string]*store.Memory{}}
	running, latest, err := readRunning(ctx, b.pool, "m.node = $1::text ORDER BY m.seq", b.cfg.Node)
	if err != nil {
		return r, err
	}
	answers, err := readAnswers(ctx, b.pool, "node = $1::text AND told IS NULL ORDER BY seq", b.cfg.Node)
	if err != nil {
		return r, err
	}
	r.Owed = slices.Concat(running, answers)
	slices.SortFunc(r.Owed, func(a, b *message.Message) int { return cmp.Compare(a.Seq, b.Seq) })
	if err := readEndpoints(ctx, b.pool, b.cfg.Node, r.Memories); err != nil {
		return r, err
	}
	for _, e := range r.Memories {
		latest = max(latest, message.Micros(e.FailedAt), message.Micros(e.BackAt))
	}
	rows, err := b.pool.Query(ctx, "SELECT endpoint, at FROM call WHERE node = $1::text ORDER BY at", b.cfg.Node)
	if err != nil {
		return r, err
	}
	var name string
	var at int64
	if _, err := pgx.ForEachRow(rows, []any{&name, &at}, func() error {
		latest = max(latest, at)
		if r.Memories[name] == nil {
			r.Memories[name] = &store.Memory{}
		}
		r.Memories[name].Sent = append(r.Memories[name].Sent, time.UnixMicro(at))
		return nil
	}); err != nil {
		return r, err
	}
	r.Rebase(message.FromMicros(latest), time.Now())
	return r, nil
}

// readNames reads the names on record.
func readNames(ctx context.Context, q querier) (store.Names, error) {
	var have store.Names
	lists := have.Lists()
	rows, err := q.Query(ctx, "SELECT kind, name FROM name ORDER BY kind, n")
	if err != nil {
		return have, err
	}
	var kind int64
	var name string
	_, err = pgx.ForEachRow(rows, []any{&kind, &name}, func() error {
		if kind >= 0 && kind < int64(len(lists)) {
			*lists[kind] = append(*lists[kind], name)
		}
		return nil
	})
	return have, err
}

func messageID(seq int64) policy.MessageID { return policy.MessageID(seq) }
