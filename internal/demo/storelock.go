package demo

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/ncruces/go-sqlite3"
)

// lockTimeout is how long to wait for the write lock.
const lockTimeout = 5 * time.Second

// lockDatabase takes the write lock of a database as another program would, and returns a function that releases it.
func lockDatabase(ctx context.Context, path string) (unlock func() error, err error) {
	db, err := sqlite3.OpenContext(ctx, "file:"+path)
	if err != nil {
		return nil, fmt.Errorf("locking the database: %w", err)
	}
	if err := errors.Join(db.BusyTimeout(lockTimeout), db.Exec("BEGIN IMMEDIATE")); err != nil {
		return nil, errors.Join(fmt.Errorf("locking the database: %w", err), db.Close())
	}
	return func() error { return errors.Join(db.Exec("ROLLBACK"), db.Close()) }, nil
}
