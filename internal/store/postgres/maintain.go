package postgres

import (
	"context"
	"time"

	"github.com/jackc/pgx/v5"
)

const (
	// maxSweptResponses is how many final responses one sweep deletes.
	maxSweptResponses = 500
	sweepInterval     = 10 * time.Second
	// callRetention is for how long calls are kept, which count for the rate windows of the node's next process.
	callRetention = 5 * time.Minute
	// endpointRetention is for how long the failures of endpoints are kept.
	endpointRetention = time.Hour
)

// Maintain implements [group.Backend]. It renews the lease once a third of it has passed, and deletes old records.
func (b *backend) Maintain(now time.Time) error {
	ctx, cancel := context.WithTimeout(b.closed, statementTimeout)
	defer cancel()
	if now.Sub(b.renewedAt) > b.cfg.Lease/3 {
		if err := b.renewLease(ctx); err != nil {
			return err
		}
	}
	if now.Before(b.nextSweep) {
		return nil
	}
	b.nextSweep = now.Add(sweepInterval)
	return b.sweep(ctx, now)
}

// sweep deletes the records whose retention has ended: final responses with their ids (maxSweptResponses at most), calls
// and failures of endpoints.
func (b *backend) sweep(ctx context.Context, now time.Time) error {
	// An id is selected by its response, so it is deleted before that.
	batch := &pgx.Batch{}
	notifiedBefore := now.Add(-b.cfg.ResponseRetention).UnixMicro()
	batch.Queue("BEGIN")
	batch.Queue(`DELETE FROM ident WHERE seq IN (SELECT seq FROM answer WHERE told IS NOT NULL AND told < $1::bigint ORDER BY told LIMIT $2::bigint)`, notifiedBefore, int64(maxSweptResponses))
	batch.Queue(`DELETE FROM answer WHERE seq IN (SELECT seq FROM answer WHERE told IS NOT NULL AND told < $1::bigint ORDER BY told LIMIT $2::bigint)`, notifiedBefore, int64(maxSweptResponses))
	batch.Queue("DELETE FROM call WHERE node = $1::text AND at < $2::bigint", b.cfg.Node, now.Add(-callRetention).UnixMicro())
	batch.Queue("DELETE FROM endpoint WHERE node = $1::text AND failed < $2::bigint", b.cfg.Node, now.Add(-endpointRetention).UnixMicro())
	batch.Queue("COMMIT")
	return b.pool.SendBatch(ctx, batch).Close()
}
