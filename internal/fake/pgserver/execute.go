package pgserver

import (
	"context"
	"errors"

	"github.com/jackc/pgx/v5/pgproto3"
)

// execute runs a portal to its end.
func (x *session) execute(p *portal) error {
	if err := x.pass(AtStatement); err != nil {
		return err
	}
	ctx, done := x.statementContext()
	defer done()
	switch command := firstWord(p.text); command {
	case "BEGIN", "START":
		return x.begin(ctx)
	case "COMMIT", "END":
		return x.commit(ctx)
	case "ROLLBACK", "ABORT":
		return x.rollback()
	case "SET":
		if err := x.db.set(p.text); err != nil {
			return err
		}
		x.complete("SET")
		return nil
	case "DISCARD", "DEALLOCATE", "RESET":
		x.complete(command)
		return nil
	default:
		return x.runStatement(ctx, p)
	}
}

// runStatement runs a statement that the database knows, and sends its rows.
func (x *session) runStatement(ctx context.Context, p *portal) error {
	if x.status == statusFailed {
		return errTransactionFailed
	}
	if err := x.db.setReadOnly(x.server.readOnly.Load()); err != nil {
		return err
	}
	tag, err := x.db.run(ctx, p, func(row [][]byte) { x.send(&pgproto3.DataRow{Values: row}) })
	if err != nil {
		return err
	}
	x.complete(tag)
	return nil
}

// begin begins a transaction, unless one is open. It takes the database's write lock.
func (x *session) begin(ctx context.Context) error {
	if x.status == statusIdle {
		if err := x.db.exec(ctx, "BEGIN IMMEDIATE"); err != nil {
			return err
		}
		x.status = statusInTransaction
	}
	x.complete("BEGIN")
	return nil
}

// commit commits the transaction, or rolls it back if it has failed.
func (x *session) commit(ctx context.Context) error {
	if err := x.pass(BeforeCommit); err != nil {
		return x.abandon(err)
	}
	tag := "COMMIT"
	switch x.status {
	case statusInTransaction:
		if err := x.db.exec(ctx, "COMMIT"); err != nil {
			return x.abandon(err)
		}
	case statusFailed:
		if err := x.db.rollback(); err != nil {
			return err
		}
		tag = "ROLLBACK"
	}
	x.status = statusIdle
	if err := x.pass(DuringCommit); err != nil {
		return errConnectionClosed // it is committed, and must not be reported as an error
	}
	x.complete(tag)
	if err := x.pass(AfterCommit); err != nil {
		_ = x.backend.Flush()
		return errConnectionClosed
	}
	return nil
}

// abandon rolls the transaction back after an error, which it returns.
func (x *session) abandon(err error) error {
	if x.status == statusIdle {
		return err
	}
	x.status = statusIdle
	return errors.Join(err, x.db.rollback())
}

// rollback rolls the transaction back if there is one.
func (x *session) rollback() error {
	if x.status != statusIdle {
		if err := x.db.rollback(); err != nil {
			return err
		}
	}
	x.status = statusIdle
	x.complete("ROLLBACK")
	return nil
}
