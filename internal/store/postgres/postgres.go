// Package postgres is a store of record in a PostgreSQL database that several nodes share.
//
// Each node owns its messages by a lease with an epoch, which is the fencing token. Every transaction of a node updates
// its lease row, and fails there if the epoch has changed: a node that was paused past the end of its lease can write
// nothing more. Durability is the server's: with synchronous_commit on, what is committed survives a crash of the server's
// machine.
//
// If the response to a COMMIT is lost, the node raises its own epoch, which fences a late COMMIT of the old transaction,
// and reads in the lease row whether that transaction was counted: see resolveCommit.
//
// While the database can't be reached, a lease stands for a record: see failImplied. The messages of a node whose lease
// has expired, or which has shut down, are moved to the other nodes: see takeover.go.
//
// # Concurrency
//
// A [Store] is safe for concurrent use. The [group.Queue] in it calls the backend from one goroutine, which writes all its
// fields; only Closing, ImpliedUntil, [Store.Owned], [Store.AnnounceRules] and [Store.PeerRules] run in other goroutines. Nodes exclude each other by locks on the
// rows of the table lease.
//
// Start reading at [Open], then Commit in commit.go and TakeOver in takeover.go.
package postgres

import (
	"context"
	"fmt"
	"log/slog"
	"sync/atomic"
	"time"
	"wingmount/internal/failpoint"
	"wingmount/internal/store"
	"wingmount/internal/store/group"
	"wingmount/policy"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgxpool"
)

const (
	// statementTimeout bounds a transaction, and each query for whether one was committed.
	statementTimeout = 2 * time.Second
	// maxConnections is one for the writer's goroutine, one to spare while a broken one is replaced, and one for the rules of
	// other nodes.
	maxConnections = 3
	// messageNumberBits is how many bits of a message's number count the messages of one process; those above them are the
	// number of the process.
	messageNumberBits = 32
	// serverTime is the server's clock in microseconds, as SQL. Only it decides when a lease expires.
	serverTime = "(extract(epoch FROM clock_timestamp()) * 1000000)::bigint"
)

// Failpoints.
var (
	beforeTransaction = failpoint.New("store/postgres/before-transaction")
	afterCommit       = failpoint.New("store/postgres/after-commit")
	afterLease        = failpoint.New("store/postgres/after-lease")
)

// Config configures a store.
type Config struct {
	URL  string // postgres://…
	Node string // the owner of its messages; the newest process with this name has them
	// Lease is for how long a node owns its messages after it last renewed its lease.
	Lease time.Duration
	// ResponseRetention is for how long a final response is kept after its client was notified.
	ResponseRetention time.Duration
	// NotifyDelivered is set if clients are notified of deliveries as of other final responses.
	NotifyDelivered bool
	// Names are those that this node uses. It takes over no messages of classes that it does not use.
	Names store.Names
}

// Store is a store of record in a PostgreSQL database.
type Store struct {
	*group.Queue
	backend *backend
}

// backend writes the transactions of a store. Its fields belong to the goroutine of the queue unless they say otherwise.
type backend struct {
	cfg    Config
	log    *slog.Logger
	pool   *pgxpool.Pool
	closed context.Context // done when the store closes
	cancel context.CancelFunc
	names  store.Names

	incarnation int64 // number of this process; it does not change after Open

	epoch        int64 // of this process's lease
	commits      int64 // transactions counted in the lease row
	renewedAt    time.Time
	nextSweep    time.Time
	nextTakeover time.Time
	// reliedUntil is until when this process relies on its lease, by its own clock. It is safe for concurrent use.
	reliedUntil atomic.Pointer[time.Time]
}

// Open connects, brings the schema up to date, acquires the node's lease and reads its unfinished messages. A process of
// the same node name that still runs is fenced: it can write nothing more.
func Open(ctx context.Context, c Config, log *slog.Logger) (_ *Store, _ store.Recovered, err error) {
	var none store.Recovered
	pool, err := connect(ctx, c)
	if err != nil {
		return nil, none, err
	}
	b := &backend{cfg: c, log: log, pool: pool}
	b.closed, b.cancel = context.WithCancel(context.Background())
	defer func() {
		if err != nil {
			b.cancel()
			pool.Close()
		}
	}()
	if err := migrate(ctx, pool); err != nil {
		return nil, none, fmt.Errorf("bringing the schema up to date: %w", err)
	}
	incarnation, err := b.acquire(ctx)
	if err != nil {
		return nil, none, fmt.Errorf("taking the lease: %w", err)
	}
	_ = afterLease.At() // the lease is acquired, so an injected error changes nothing
	recovered, err := b.readRecovered(ctx)
	recovered.Names = b.names
	if err != nil {
		return nil, none, fmt.Errorf("reading the unfinished messages: %w", err)
	}
	queue := group.New(group.Config{
		NotifyDelivered: c.NotifyDelivered, LastSeq: policy.MessageID(incarnation << messageNumberBits),
		Unfinished: recovered.Unfinished(), EndpointHealth: recovered.EndpointHealth,
	}, b, log)
	return &Store{queue, b}, recovered, nil
}

// connect makes a pool of connections. Their statements wait for locks for half of statementTimeout at most.
func connect(ctx context.Context, c Config) (*pgxpool.Pool, error) {
	pc, err := pgxpool.ParseConfig(c.URL)
	if err != nil {
		return nil, fmt.Errorf("the address of PostgreSQL: %w", err)
	}
	pc.MaxConns = maxConnections
	pc.ConnConfig.ConnectTimeout = statementTimeout
	pc.ConnConfig.RuntimeParams["application_name"] = "wingmount " + c.Node
	pc.AfterConnect = func(ctx context.Context, conn *pgx.Conn) error {
		_, err := conn.Exec(ctx, fmt.Sprintf("SET lock_timeout = %d", statementTimeout.Milliseconds()/2))
		return err
	}
	pc.BeforeClose = func(conn *pgx.Conn) {
		if conn.IsClosed() { // it failed: don't wait for a server that may not respond
			_ = conn.PgConn().Conn().Close()
		}
	}
	pool, err := pgxpool.NewWithConfig(ctx, pc)
	if err != nil {
		return nil, fmt.Errorf("connecting to PostgreSQL: %w", err)
	}
	return pool, nil
}

// Full implements [group.Backend].
func (b *backend) Full(err error) bool { return sqlState(err) == sqlStateDiskFull }

// Close implements [group.Backend]. It resigns the lease, so that other nodes can take over at once.
func (b *backend) Close() error {
	ctx, cancel := context.WithTimeout(context.Background(), statementTimeout)
	defer cancel()
	_, err := b.pool.Exec(ctx, "UPDATE lease SET until = 0, own = 0 WHERE node = $1::text AND epoch = $2::bigint", b.cfg.Node, b.epoch)
	b.cancel()
	b.pool.Close()
	if err != nil {
		return fmt.Errorf("giving the lease back: %w", err)
	}
	return nil
}
