package postgres

import (
	"context"
	"fmt"
	"time"
	"wingmount/internal/store"

	"github.com/jackc/pgx/v5"
)

// AnnounceRules implements [store.RuleSharer]. It is safe for concurrent use.
func (s *Store) AnnounceRules(ctx context.Context, use store.RuleUse) error {
	ctx, cancel := context.WithTimeout(ctx, statementTimeout)
	defer cancel()
	b := s.backend
	tag, err := b.pool.Exec(ctx, "UPDATE rule_use SET active = $3::text, previous = $4::text, drained = $5::bigint WHERE node = $1::text AND incarnation = $2::bigint AND gone = 0",
		b.cfg.Node, b.incarnation, use.Active, use.Previous, boolNumber(use.Drained))
	if err != nil {
		return fmt.Errorf("announcing the rules in use: %w", err)
	}
	if tag.RowsAffected() == 0 {
		return store.ErrFenced
	}
	return nil
}

func boolNumber(b bool) int64 {
	if b {
		return 1
	}
	return 0
}

// PeerRules implements [store.RuleSharer]. It is safe for concurrent use.
func (s *Store) PeerRules(ctx context.Context) (peers []store.PeerRules, err error) {
	ctx, cancel := context.WithTimeout(ctx, statementTimeout)
	defer cancel()
	err = pgx.BeginFunc(ctx, s.backend.pool, func(tx pgx.Tx) error {
		var now int64 // by the server's clock, in microseconds
		if err := tx.QueryRow(ctx, "SELECT "+serverTime).Scan(&now); err != nil {
			return err
		}
		if err := fenceExpired(ctx, tx, s.backend.cfg.Node, now); err != nil {
			return err
		}
		peers, err = readPeerRules(ctx, tx, s.backend.cfg.Node, now)
		return err
	})
	if err != nil {
		return nil, fmt.Errorf("reading the rules of other nodes: %w", err)
	}
	return peers, nil
}

// fenceExpired fences the other nodes whose leases have expired, and records that they are gone. A process with an expired
// lease could renew it as long as no other one raises its epoch.
func fenceExpired(ctx context.Context, tx pgx.Tx, node string, now int64) error {
	if _, err := tx.Exec(ctx, `UPDATE lease SET epoch = epoch + 1 WHERE node <> $1::text AND until < $2::bigint
		AND NOT EXISTS (SELECT 1 FROM rule_use r WHERE r.node = lease.node AND r.gone > 0)`, node, now); err != nil {
		return err
	}
	_, err := tx.Exec(ctx, `INSERT INTO rule_use SELECT node, 0, '', '', 0, $2::bigint FROM lease WHERE node <> $1::text AND until < $2::bigint
		ON CONFLICT (node) DO UPDATE SET gone = CASE WHEN rule_use.gone > 0 THEN rule_use.gone ELSE excluded.gone END`, node, now)
	return err
}

// readPeerRules reads the rule use of the other nodes.
func readPeerRules(ctx context.Context, tx pgx.Tx, node string, now int64) ([]store.PeerRules, error) {
	rows, err := tx.Query(ctx, `SELECT l.node, r.active, r.previous, r.drained, r.gone
		FROM lease l LEFT JOIN rule_use r ON r.node = l.node WHERE l.node <> $1::text ORDER BY l.node`, node)
	if err != nil {
		return nil, err
	}
	return pgx.CollectRows(rows, func(row pgx.CollectableRow) (store.PeerRules, error) {
		p := store.PeerRules{State: store.PeerUnknown}
		var active, previous *string
		var drained, gone *int64
		if err := row.Scan(&p.Node, &active, &previous, &drained, &gone); err != nil || active == nil {
			return p, err
		}
		p.RuleUse = store.RuleUse{Active: *active, Previous: *previous, Drained: *drained != 0}
		switch {
		case *gone > 0:
			p.State, p.GoneFor = store.PeerGone, time.Duration(now-*gone)*time.Microsecond
		case p.Active != "":
			p.State = store.PeerRunning
		default:
			p.State = store.PeerStarting
		}
		return p, nil
	})
}
