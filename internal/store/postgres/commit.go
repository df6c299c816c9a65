package postgres

import (
	"context"
	"errors"
	"fmt"
	"time"
	"wingmount/internal/store"
	"wingmount/internal/store/group"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"
)

// resolveInterval is between two queries for whether a transaction was committed.
const resolveInterval = 100 * time.Millisecond

// Begin implements [group.Backend]. It does nothing: Commit sends the complete transaction in one round trip.
func (b *backend) Begin() error { return nil }

// Commit implements [group.Backend].
func (b *backend) Commit(records []*group.Record) ([]error, error) {
	if err := beforeTransaction.At(); err != nil {
		return nil, err
	}
	sent := time.Now()
	batch, results := b.transaction(sent, records)
	err := b.sendTransaction(batch)
	var rejected rejectedError
	var unsent notSentError
	switch {
	case err == nil:
	case errors.As(err, &rejected) && sqlState(err) == sqlStateNotNullViolation:
		return nil, fmt.Errorf("%w: %w", store.ErrFenced, err)
	case errors.As(err, &rejected), errors.As(err, &unsent):
		return nil, err
	default:
		committed, e := b.resolveCommit(err)
		if e != nil {
			return nil, e
		}
		if !committed {
			return nil, err
		}
		b.log.Info("store: transaction was committed, only the response was lost", "err", err)
		if err := b.rereadDuplicates(records, results); err != nil {
			return nil, err
		}
	}
	b.commits++
	b.renew(sent)
	_ = afterCommit.At() // the records are persisted, so an injected error changes nothing
	return results, nil
}

// transaction returns the statements of one transaction, and the slice that receives the results of its records.
func (b *backend) transaction(sent time.Time, records []*group.Record) (*pgx.Batch, []error) {
	batch := &pgx.Batch{}
	batch.Queue("BEGIN")
	batch.Queue(renewAndCount, b.cfg.Node, b.epoch, b.cfg.Lease.Microseconds(), b.relyUntil(sent).UnixMicro())
	results := make([]error, len(records))
	for i, r := range records {
		b.queueRecord(batch, r, &results[i])
	}
	batch.Queue("COMMIT")
	return batch, results
}

// sendTransaction sends a complete transaction. It returns a [rejectedError] or a [notSentError] if the transaction was
// certainly not committed; after any other error that is not known.
func (b *backend) sendTransaction(batch *pgx.Batch) error {
	ctx, cancel := context.WithTimeout(b.closed, statementTimeout)
	defer cancel()
	conn, err := b.pool.Acquire(ctx)
	if err != nil {
		return notSentError{err}
	}
	defer conn.Release()
	err = conn.SendBatch(ctx, batch).Close()
	if sqlState(err) == "" || conn.Conn().IsClosed() {
		return err
	}
	// A statement failed, and the server skipped the others with the COMMIT.
	if _, e := conn.Exec(ctx, "ROLLBACK"); e != nil {
		_ = conn.Conn().Close(ctx) // a connection in a transaction must not be reused
	}
	return rejectedError{err}
}

// rejectedError is an error that the server returned: nothing was committed.
type rejectedError struct{ error }

func (r rejectedError) Unwrap() error { return r.error }

// notSentError is an error before anything was sent.
type notSentError struct{ error }

func (n notSentError) Unwrap() error { return n.error }

// resolveCommit reports whether the transaction whose response was lost, for the given reason, was committed. The rule:
// this process raises its own epoch, so that the transaction can't be committed from then on; it was committed if the
// lease row counts one transaction more than this process knows of. It tries until the database responds, and returns
// [store.ErrUndecided] if the store closes before, and [store.ErrFenced] if another process has raised the epoch.
func (b *backend) resolveCommit(reason error) (committed bool, err error) {
	b.log.Warn("store: response to a commit lost, reading whether it was committed", "err", reason)
	for b.closed.Err() == nil {
		epoch, commits, err := b.raiseOwnEpoch()
		switch {
		case errors.Is(err, store.ErrFenced):
			return false, err
		case err == nil:
			b.epoch = epoch
			committed = commits == b.commits+1
			if commits != b.commits && !committed {
				return false, fmt.Errorf("%w: the lease counts %d transactions, not %d", store.ErrFenced, commits, b.commits)
			}
			return committed, nil
		}
		select {
		case <-b.closed.Done():
		case <-time.After(resolveInterval):
		}
	}
	return false, fmt.Errorf("%w: %w", store.ErrUndecided, reason)
}

// rereadDuplicates reads which messages a transaction accepted whose response was lost, and sets the results of the
// others. It tries until the database responds or the store closes.
func (b *backend) rereadDuplicates(records []*group.Record, results []error) error {
	for i, r := range records {
		if r.Kind != group.Accept {
			continue
		}
		for {
			batch := &pgx.Batch{}
			b.queueDuplicateCheck(batch, r, &results[i])
			ctx, cancel := context.WithTimeout(b.closed, statementTimeout)
			err := b.pool.SendBatch(ctx, batch).Close()
			cancel()
			if err == nil {
				break
			}
			if b.closed.Err() != nil {
				return fmt.Errorf("%w: %w", store.ErrUndecided, err)
			}
			time.Sleep(resolveInterval)
		}
	}
	return nil
}

// ownEpochStep is by how much a process raises its own epoch. Others raise it by 1, so the difference shows who raised it:
// this process, whose response was lost, or another one that fences it.
const ownEpochStep = 1 << 32

// raiseOwnEpoch raises the epoch of this process, and returns it with the number of transactions that the lease counts. It
// returns [store.ErrFenced] if another process has raised the epoch. It may be repeated if its own response is lost.
func (b *backend) raiseOwnEpoch() (epoch, commits int64, err error) {
	ctx, cancel := context.WithTimeout(b.closed, statementTimeout)
	defer cancel()
	err = pgx.BeginFunc(ctx, b.pool, func(tx pgx.Tx) error {
		// With the lock on this row, the old transaction is either committed already or fails.
		tag, err := tx.Exec(ctx, "UPDATE lease SET epoch = epoch + $3::bigint WHERE node = $1::text AND epoch = $2::bigint",
			b.cfg.Node, b.epoch, int64(ownEpochStep))
		if err != nil {
			return err
		}
		if err := tx.QueryRow(ctx, "SELECT epoch, commits FROM lease WHERE node = $1::text", b.cfg.Node).Scan(&epoch, &commits); err != nil {
			return err
		}
		if tag.RowsAffected() == 0 && epoch != b.epoch+ownEpochStep {
			return store.ErrFenced
		}
		return nil
	})
	return epoch, commits, err
}

// Closing implements [group.Backend]. It is safe for concurrent use.
func (b *backend) Closing(by time.Time) { time.AfterFunc(time.Until(by), b.cancel) }

// SQLSTATE codes of the server, see appendix A of its manual.
const (
	sqlStateNotNullViolation = "23502"
	sqlStateDiskFull         = "53100"
)

// sqlState returns the SQLSTATE of an error that the server returned, and "" for all others.
func sqlState(err error) string {
	var e *pgconn.PgError
	if errors.As(err, &e) {
		return e.Code
	}
	return ""
}
