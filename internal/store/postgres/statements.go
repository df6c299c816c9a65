package postgres

import (
	"context"
	"wingmount/internal/message"
	"wingmount/internal/store"
	"wingmount/internal/store/group"

	"github.com/jackc/pgx/v5"
)

// queueRecord adds the statements of one record to a transaction. The result of an accepted message is set when the
// transaction has returned.
func (b *backend) queueRecord(batch *pgx.Batch, r *group.Record, result *error) {
	switch r.Kind {
	case group.Accept:
		b.queueAccept(batch, r, result)
	case group.Attempt:
		batch.Queue("INSERT INTO call VALUES ($1::text, $2::text, $3::bigint)", b.cfg.Node, r.Endpoint, r.At.UnixMicro())
		queueHistories(batch, r)
	case group.Outcome:
		queueHistories(batch, r)
		if e := r.EndpointHealth; e != nil {
			batch.Queue(`INSERT INTO endpoint VALUES ($1::text, $2::text, $3::bigint, $4::bigint)
				ON CONFLICT (node, name) DO UPDATE SET failed = excluded.failed, back = excluded.back`,
				b.cfg.Node, r.Endpoint, message.UnixMicros(e.FailedAt), message.UnixMicros(e.RecoveredAt))
		}
	case group.Notified:
		for _, seq := range r.Seqs {
			batch.Queue("UPDATE answer SET told = $2::bigint WHERE seq = $1::bigint AND told IS NULL", int64(seq), r.At.UnixMicro())
		}
	}
	queueResponses(batch, r)
}

// queueAccept persists a message, unless its id is on record. An id is unique among all nodes until its final response is
// deleted.
func (b *backend) queueAccept(batch *pgx.Batch, r *group.Record, result *error) {
	m := r.Message
	batch.Queue("INSERT INTO ident VALUES ($1::text, $2::bigint) ON CONFLICT (id) DO NOTHING", m.ID, int64(m.Seq))
	batch.Queue(`INSERT INTO message SELECT $1::bigint, $2::text, $3::text, $4::text, $5::bigint, $6::bigint, $7::bigint, $8::bigint, $9::bytea
		WHERE EXISTS (SELECT 1 FROM ident WHERE id = $3 AND seq = $1)`,
		int64(m.Seq), b.cfg.Node, m.ID, m.Key, int64(m.Class), int64(m.Destination), m.Deadline.UnixMicro(), r.At.UnixMicro(), nonNil(m.Body))
	b.queueDuplicateCheck(batch, r, result)
}

// queueHistories persists the attempts at messages so far.
func queueHistories(batch *pgx.Batch, r *group.Record) {
	for i, h := range r.Histories {
		batch.Queue(`INSERT INTO past SELECT $1::bigint, $2::bigint, $3::bigint, $4::bigint, $5::bigint, $6::bigint WHERE EXISTS (SELECT 1 FROM message WHERE seq = $1)
			ON CONFLICT (seq) DO UPDATE SET attempts = excluded.attempts, flags = excluded.flags, ran = excluded.ran, zone = excluded.zone, until = excluded.until`,
			int64(r.Seqs[i]), int64(h.Attempts), h.Flags(), message.UnixMicros(h.RanAt), int64(h.RanZone), message.UnixMicros(r.Until))
	}
}

// queueResponses persists final responses, and deletes their messages.
func queueResponses(batch *pgx.Batch, r *group.Record) {
	for i, response := range r.Responses {
		seq := int64(r.Seqs[i])
		var notifiedAt *int64
		if r.WithoutNotification {
			at := r.At.UnixMicro()
			notifiedAt = &at
		}
		batch.Queue(`INSERT INTO answer SELECT seq, node, id, $2::bigint, $3::bigint, dest,
				coalesce((SELECT attempts FROM past WHERE seq = $1::bigint), 0), taken, $4::bigint, $5::bigint FROM message WHERE seq = $1`,
			seq, int64(response.Kind), response.RetryAfter.Milliseconds(), r.At.UnixMicro(), notifiedAt)
		batch.Queue("DELETE FROM message WHERE seq = $1::bigint", seq)
		batch.Queue("DELETE FROM past WHERE seq = $1::bigint", seq)
	}
}

// duplicateQuery reads the message and the final response of an id, for scanDuplicate.
const duplicateQuery = `SELECT i.seq, a.kind, a.retry FROM ident i LEFT JOIN answer a ON a.seq = i.seq WHERE i.id = $1::text`

// scanDuplicate reads a row of duplicateQuery. It returns the error that rejects another message with the id, and the
// number of the message that has it.
func scanDuplicate(row pgx.Row) (*store.DuplicateError, int64, error) {
	var seq int64
	var kind, retry *int64
	if err := row.Scan(&seq, &kind, &retry); err != nil {
		return nil, 0, err
	}
	duplicate := &store.DuplicateError{}
	if kind != nil {
		duplicate.Response = message.StoredResponse(*kind, *retry)
	}
	return duplicate, seq, nil
}

// queueDuplicateCheck sets the result of an accepted message: nil if the id belongs to this message.
func (b *backend) queueDuplicateCheck(batch *pgx.Batch, r *group.Record, result *error) {
	batch.Queue(duplicateQuery, r.Message.ID).QueryRow(func(row pgx.Row) error {
		duplicate, seq, err := scanDuplicate(row)
		if err != nil {
			return err
		}
		*result = nil
		if seq != int64(r.Message.Seq) {
			*result = duplicate
		}
		return nil
	})
}

// Find implements [group.BatchFinder].
func (b *backend) Find(ids []string) ([]error, error) {
	results := make([]error, len(ids))
	batch := &pgx.Batch{}
	for i, id := range ids {
		batch.Queue(duplicateQuery, id).Query(func(rows pgx.Rows) error {
			for rows.Next() {
				duplicate, _, err := scanDuplicate(rows)
				if err != nil {
					return err
				}
				results[i] = duplicate
			}
			return rows.Err()
		})
	}
	ctx, cancel := context.WithTimeout(b.closed, statementTimeout)
	defer cancel()
	if err := b.pool.SendBatch(ctx, batch).Close(); err != nil {
		return nil, err
	}
	return results, nil
}

// nonNil returns an empty slice for nil, which would be stored as NULL.
func nonNil(b []byte) []byte {
	if b == nil {
		return []byte{}
	}
	return b
}
