package postgres

import (
	"context"
	"time"
	"wingmount/internal/store"

	"github.com/jackc/pgx/v5"
)

// leaseMarginFraction is the fraction of a lease on which a process does not rely by its own clock, which may run slower
// than the server's.
const leaseMarginFraction = 0.1

// renewAndCount renews a lease and counts a transaction in it. If the epoch is another one, the count becomes NULL and the
// statement fails with a not-null violation, and the transaction with it.
const renewAndCount = "UPDATE lease SET commits = CASE WHEN epoch = $2::bigint THEN commits + 1 END, until = " + serverTime + " + $3::bigint, own = $4::bigint WHERE node = $1::text"

// Owned implements part of [store.Shared]: it reports whether this process relies on its lease, by its own clock. It is
// safe for concurrent use.
func (s *Store) Owned() bool {
	until := s.backend.reliedUntil.Load()
	return until != nil && time.Now().Before(*until)
}

// relyUntil returns until when this process relies on its lease, by its own clock, if it is renewed by a statement sent at
// that time: for the lease less leaseMarginFraction, however late the response comes.
func (b *backend) relyUntil(sent time.Time) time.Time {
	return sent.Add(b.cfg.Lease - time.Duration(leaseMarginFraction*float64(b.cfg.Lease)))
}

// ImpliedUntil implements [group.Implier]: see failImplied.
func (b *backend) ImpliedUntil() time.Time { return *b.reliedUntil.Load() }

// renewLease renews the lease outside of a transaction. It returns [store.ErrFenced] if the epoch is another one.
func (b *backend) renewLease(ctx context.Context) error {
	sent := time.Now()
	tag, err := b.pool.Exec(ctx, "UPDATE lease SET until = "+serverTime+" + $3::bigint, own = $4::bigint WHERE node = $1::text AND epoch = $2::bigint",
		b.cfg.Node, b.epoch, b.cfg.Lease.Microseconds(), b.relyUntil(sent).UnixMicro())
	if err != nil {
		return err
	}
	if tag.RowsAffected() == 0 {
		return store.ErrFenced
	}
	b.renew(sent)
	return nil
}

// renew notes that the lease was renewed by a statement sent at that time.
func (b *backend) renew(sent time.Time) {
	b.renewedAt = sent
	until := b.relyUntil(sent)
	b.reliedUntil.Store(&until)
}

// acquire acquires the lease with a new epoch, which fences an older process of this node. It returns the number of this
// process, which no other process of any node has.
func (b *backend) acquire(ctx context.Context) (incarnation int64, err error) {
	sent := time.Now()
	err = pgx.BeginFunc(ctx, b.pool, func(tx pgx.Tx) error {
		if _, err := tx.Exec(ctx, "UPDATE counter SET lives = lives + 1 WHERE one = 1"); err != nil {
			return err
		}
		if err := tx.QueryRow(ctx, "SELECT lives FROM counter WHERE one = 1").Scan(&incarnation); err != nil {
			return err
		}
		if b.names, err = mergeNames(ctx, tx, b.cfg.Names); err != nil {
			return err
		}
		if _, err := tx.Exec(ctx, "INSERT INTO lease (node, epoch, commits, until) VALUES ($1::text, 0, 0, 0) ON CONFLICT (node) DO NOTHING", b.cfg.Node); err != nil {
			return err
		}
		var own, latest int64
		if err := tx.QueryRow(ctx, "SELECT own, (SELECT coalesce(max(taken), 0) FROM message WHERE node = $1::text) FROM lease WHERE node = $1 FOR UPDATE", b.cfg.Node).Scan(&own, &latest); err != nil {
			return err
		}
		// If the clock was ahead when the lease was recorded and was set back since, own is in the future: no message whose
		// deadline has not passed may fail.
		implied := min(own, max(latest, sent.UnixMicro()))
		if err := b.failImplied(ctx, tx, b.cfg.Node, implied, sent); err != nil {
			return err
		}
		if _, err := tx.Exec(ctx, "UPDATE lease SET epoch = epoch + 1, until = "+serverTime+" + $2::bigint, own = $3::bigint WHERE node = $1::text",
			b.cfg.Node, b.cfg.Lease.Microseconds(), b.relyUntil(sent).UnixMicro()); err != nil {
			return err
		}
		if _, err := tx.Exec(ctx, `INSERT INTO rule_use VALUES ($1::text, $2::bigint, '', '', 0, 0)
			ON CONFLICT (node) DO UPDATE SET incarnation = excluded.incarnation, active = '', previous = '', drained = 0, gone = 0`, b.cfg.Node, incarnation); err != nil {
			return err
		}
		return tx.QueryRow(ctx, "SELECT epoch, commits FROM lease WHERE node = $1::text", b.cfg.Node).Scan(&b.epoch, &b.commits)
	})
	if err == nil {
		b.incarnation = incarnation
		b.renew(sent)
	}
	return incarnation, err
}
