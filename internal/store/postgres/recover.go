package postgres

import (
	"cmp"
	"context"
	"slices"
	"time"
	"wingmount/internal/message"
	"wingmount/internal/store"
	"wingmount/policy"

	"github.com/jackc/pgx/v5"
)

// readRecovered reads the unfinished messages of the node, and the health of its endpoints.
func (b *backend) readRecovered(ctx context.Context) (store.Recovered, error) {
	r := store.Recovered{EndpointHealth: map[string]*store.EndpointHealth{}}
	unfinished, latest, err := readUnfinished(ctx, b.pool, "m.node = $1::text ORDER BY m.seq", b.cfg.Node)
	if err != nil {
		return r, err
	}
	responses, err := readPendingResponses(ctx, b.pool, "node = $1::text AND told IS NULL ORDER BY seq", b.cfg.Node)
	if err != nil {
		return r, err
	}
	r.Pending = slices.Concat(unfinished, responses)
	slices.SortFunc(r.Pending, func(a, b *message.Message) int { return cmp.Compare(a.Seq, b.Seq) })
	if err := readEndpointHealth(ctx, b.pool, b.cfg.Node, r.EndpointHealth); err != nil {
		return r, err
	}
	for _, e := range r.EndpointHealth {
		latest = max(latest, message.UnixMicros(e.FailedAt), message.UnixMicros(e.RecoveredAt))
	}
	rows, err := b.pool.Query(ctx, "SELECT endpoint, at FROM call WHERE node = $1::text ORDER BY at", b.cfg.Node)
	if err != nil {
		return r, err
	}
	var name string
	var at int64
	if _, err := pgx.ForEachRow(rows, []any{&name, &at}, func() error {
		latest = max(latest, at)
		if r.EndpointHealth[name] == nil {
			r.EndpointHealth[name] = &store.EndpointHealth{}
		}
		r.EndpointHealth[name].CallTimes = append(r.EndpointHealth[name].CallTimes, time.UnixMicro(at))
		return nil
	}); err != nil {
		return r, err
	}
	r.Rebase(message.FromUnixMicros(latest), time.Now())
	return r, nil
}

// messageID returns the number of a message from its column.
func messageID(seq int64) policy.MessageID { return policy.MessageID(seq) }

// querier is a pool or a transaction.
type querier interface {
	Query(ctx context.Context, sql string, args ...any) (pgx.Rows, error)
}

// readUnfinished reads messages without a final response, and the latest time on record of any (Unix microseconds).
func readUnfinished(ctx context.Context, q querier, where string, args ...any) (unfinished []*message.Message, latest int64, err error) {
	rows, err := q.Query(ctx, `SELECT m.seq, id, key, class, dest, deadline, taken, body, attempts, flags, ran, zone
		FROM message m LEFT JOIN past p ON p.seq = m.seq WHERE `+where, args...)
	if err != nil {
		return nil, 0, err
	}
	unfinished, err = pgx.CollectRows(rows, func(row pgx.CollectableRow) (*message.Message, error) {
		m := &message.Message{}
		var seq, class, dest, deadline, acceptedAt int64
		var attempts, flags, ran, zone *int64
		if err := row.Scan(&seq, &m.ID, &m.Key, &class, &dest, &deadline, &acceptedAt, &m.Body, &attempts, &flags, &ran, &zone); err != nil {
			return nil, err
		}
		m.Seq, m.Class, m.Destination, m.Deadline = messageID(seq), int(class), int(dest), time.UnixMicro(deadline)
		latest = max(latest, acceptedAt)
		if attempts != nil {
			m.History = message.History{Attempts: int(*attempts), RanAt: message.FromUnixMicros(*ran), RanZone: int(*zone)}
			m.History.SetFlags(*flags)
			latest = max(latest, *ran)
		}
		m.History.RecordInterruption()
		return m, nil
	})
	return unfinished, latest, err
}

// readPendingResponses reads final responses of which clients were not notified.
func readPendingResponses(ctx context.Context, q querier, where string, args ...any) ([]*message.Message, error) {
	rows, err := q.Query(ctx, "SELECT seq, id, dest, kind, retry FROM answer WHERE "+where, args...)
	if err != nil {
		return nil, err
	}
	return pgx.CollectRows(rows, func(row pgx.CollectableRow) (*message.Message, error) {
		var seq, dest, kind, retry int64
		m := &message.Message{}
		if err := row.Scan(&seq, &m.ID, &dest, &kind, &retry); err != nil {
			return nil, err
		}
		m.Seq, m.Destination = messageID(seq), int(dest)
		m.FinalResponse = message.StoredResponse(kind, retry)
		return m, nil
	})
}

// readEndpointHealth reads when the endpoints of a node failed and recovered.
func readEndpointHealth(ctx context.Context, q querier, node string, into map[string]*store.EndpointHealth) error {
	rows, err := q.Query(ctx, "SELECT name, failed, back FROM endpoint WHERE node = $1::text", node)
	if err != nil {
		return err
	}
	var name string
	var failed, back int64
	_, err = pgx.ForEachRow(rows, []any{&name, &failed, &back}, func() error {
		into[name] = &store.EndpointHealth{FailedAt: message.FromUnixMicros(failed), RecoveredAt: message.FromUnixMicros(back)}
		return nil
	})
	return err
}
