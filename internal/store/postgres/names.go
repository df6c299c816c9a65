package postgres

import (
	"context"
	"wingmount/internal/store"

	"github.com/jackc/pgx/v5"
)

// mergeNames persists the names that are not on record, and returns all that are.
func mergeNames(ctx context.Context, tx pgx.Tx, more store.Names) (store.Names, error) {
	have, err := readNames(ctx, tx)
	if err != nil {
		return have, err
	}
	all := have.Extend(more)
	for kind, list := range all.Lists() {
		for n := len(*have.Lists()[kind]); n < len(*list); n++ {
			if _, err := tx.Exec(ctx, "INSERT INTO name VALUES ($1::bigint, $2::bigint, $3::text)", int64(kind), int64(n), (*list)[n]); err != nil {
				return have, err
			}
		}
	}
	return all, nil
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
