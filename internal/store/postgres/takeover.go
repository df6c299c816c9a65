package postgres

import (
	"context"
	"errors"
	"fmt"
	"math"
	"slices"
	"strconv"
	"strings"
	"time"
	"wingmount/internal/failpoint"
	"wingmount/internal/message"
	"wingmount/internal/store"

	"github.com/jackc/pgx/v5"
)

const (
	// maxTakeoverMessages is how many messages one transaction takes over at most, so that several nodes share the messages
	// of another one.
	maxTakeoverMessages = 256
	// takeoverIntervalFraction is the time between two queries for expired leases as a fraction of the lease, and
	// minTakeoverInterval its lower bound. After a takeover the next query comes at once.
	takeoverIntervalFraction = 0.05
	minTakeoverInterval      = 100 * time.Millisecond
	// urgentWithin is the remaining time below which a node takes a message over without capacity for it: it may be
	// too late for more than a notification of its failure.
	urgentWithin = 3 * time.Second
	// noSendWithin is the remaining time below which nothing is sent for a message any more.
	noSendWithin = 50 * time.Millisecond
)

// Failpoints: in the transaction of a takeover, and after it.
var (
	duringTakeover = failpoint.New("store/postgres/during-takeover")
	afterTakeover  = failpoint.New("store/postgres/after-takeover")
)

// errLeaseRenewed rolls a takeover back whose lease is valid again.
var errLeaseRenewed = errors.New("the lease has been renewed")

// takeoverLimits are which messages one transaction takes over.
type takeoverLimits struct {
	now            time.Time
	deadlineBefore int64 // Unix microseconds
	maxMessages    int
}

// limitsFor returns the limits of a takeover by a node with capacity for some more messages. The rule: the node takes over
// as many messages as it has capacity for; without any, those with less than urgentWithin left, so that their clients are
// notified in time. One transaction takes over maxTakeoverMessages at most.
func limitsFor(now time.Time, capacity int) takeoverLimits {
	if capacity <= 0 {
		return takeoverLimits{now: now, deadlineBefore: now.Add(urgentWithin).UnixMicro(), maxMessages: maxTakeoverMessages}
	}
	return takeoverLimits{now: now, deadlineBefore: math.MaxInt64, maxMessages: min(capacity, maxTakeoverMessages)}
}

// args returns the arguments of takeoverCondition, after a first one.
func (l takeoverLimits) args(first string) []any {
	return []any{first, l.deadlineBefore, l.now.UnixMicro(), l.now.Add(noSendWithin).UnixMicro()}
}

// abandonedQuery returns the query for the node whose lease expired first, of those that have messages to take over or
// responses to notify. Its $1 is this node; for the others see takeoverCondition.
func (b *backend) abandonedQuery() string {
	return `SELECT l.node FROM lease l WHERE l.until < ` + serverTime + ` AND l.node <> $1::text
	AND (EXISTS (SELECT 1 FROM message m LEFT JOIN past p ON p.seq = m.seq WHERE m.node = l.node AND ` + b.takeoverCondition() + `)
		OR EXISTS (SELECT 1 FROM answer a WHERE a.node = l.node AND a.told IS NULL)) ORDER BY l.until LIMIT 1`
}

// takeoverCondition returns the SQL condition for the messages that a node may take over. The rule: the class is one that this
// node uses, the deadline is before $2, and no attempt is in progress at $3, which a paused process may still be sending;
// a message whose deadline is before $4 qualifies in any case, since nothing is sent for it any more. All times are
// Unix microseconds.
func (b *backend) takeoverCondition() string {
	classes := "m.class >= 0"
	if len(b.cfg.Names.Classes) > 0 {
		var numbers []string
		for _, name := range b.cfg.Names.Classes {
			numbers = append(numbers, strconv.Itoa(slices.Index(b.names.Classes, name)))
		}
		classes = "m.class IN (" + strings.Join(numbers, ", ") + ")"
	}
	return classes + ` AND m.deadline < $2::bigint AND (p.seq IS NULL OR (p.flags & 2) = 0 OR p.until < $3::bigint OR m.deadline < $4::bigint)`
}

// TakeOver implements [group.Taker]. It adopts the messages of one node in several transactions, the nearest deadline
// first. Each transaction fences that node, so a new process of it either has read its messages before or finds them gone.
func (b *backend) TakeOver(now time.Time, capacity int) (store.Recovered, error) {
	if now.Before(b.nextTakeover) {
		return store.Recovered{}, nil
	}
	b.nextTakeover = now.Add(max(minTakeoverInterval, time.Duration(takeoverIntervalFraction*float64(b.cfg.Lease))))
	limits := limitsFor(now, capacity)
	sent := time.Now()
	ctx, cancel := context.WithTimeout(b.closed, statementTimeout)
	defer cancel()
	var node string
	switch err := b.pool.QueryRow(ctx, b.abandonedQuery(), limits.args(b.cfg.Node)...).Scan(&node); {
	case errors.Is(err, pgx.ErrNoRows):
		return store.Recovered{}, nil
	case err != nil:
		return store.Recovered{}, fmt.Errorf("looking for what others left: %w", err)
	}
	recovered, counted, err := b.takeOverFrom(ctx, node, limits, sent)
	switch {
	case errors.Is(err, errLeaseRenewed):
		return store.Recovered{}, nil
	case sqlState(err) == sqlStateNotNullViolation:
		return store.Recovered{}, fmt.Errorf("%w: %w", store.ErrFenced, err)
	case err != nil && sqlState(err) == "" && counted:
		// The connection broke, perhaps after the COMMIT.
		committed, e := b.resolveCommit(err)
		if e != nil || !committed {
			return store.Recovered{}, errors.Join(err, e)
		}
	case err != nil:
		return store.Recovered{}, fmt.Errorf("taking over what %s left: %w", node, err)
	}
	b.commits++
	b.renew(sent)
	if len(recovered.Pending) > 0 {
		b.nextTakeover = now
		b.log.Warn("store: took over messages of a node with an expired lease", "from", node, "messages", len(recovered.Pending))
	}
	_ = afterTakeover.At() // the messages belong to this node, so an injected error changes nothing
	return recovered, nil
}

// takeOverFrom takes over messages of another node in one transaction, and returns them. The transaction was sent at the
// given time, and counted in the lease of this node if counted is true. It returns errLeaseRenewed if the other node's
// lease is valid again.
func (b *backend) takeOverFrom(ctx context.Context, node string, limits takeoverLimits, sent time.Time) (recovered store.Recovered, counted bool, err error) {
	err = pgx.BeginFunc(ctx, b.pool, func(tx pgx.Tx) error {
		if _, err := tx.Exec(ctx, renewAndCount, b.cfg.Node, b.epoch, b.cfg.Lease.Microseconds(), b.relyUntil(sent).UnixMicro()); err != nil {
			return err
		}
		counted = true
		// Each transaction of the other node locks this row, so none is in progress now. It may have renewed the lease.
		tag, err := tx.Exec(ctx, "UPDATE lease SET epoch = epoch + 1 WHERE node = $1::text AND until < "+serverTime, node)
		if err != nil {
			return err
		}
		if tag.RowsAffected() == 0 {
			return errLeaseRenewed
		}
		var reliedUntil int64
		if err := tx.QueryRow(ctx, "SELECT own FROM lease WHERE node = $1::text", node).Scan(&reliedUntil); err != nil {
			return err
		}
		if err := b.failImplied(ctx, tx, node, reliedUntil, limits.now); err != nil {
			return err
		}
		recovered, err = b.adopt(ctx, tx, node, limits)
		return err
	})
	return recovered, counted, err
}

// failImplied persists the failures that the lease of a node implies. The rule: an unfinished message whose deadline is not
// after the time until which its owner relied on its lease has failed. While the owner could not reach the database it may
// have notified the client of that without a record, so no later owner may decide otherwise. The time is by the owner's
// clock, in Unix microseconds; 0 is that of a lease that was resigned, which implies nothing.
func (b *backend) failImplied(ctx context.Context, tx pgx.Tx, node string, reliedUntil int64, now time.Time) error {
	if reliedUntil == 0 {
		return nil
	}
	if _, err := tx.Exec(ctx, `INSERT INTO answer SELECT m.seq, node, id, $3::bigint, 0, dest, coalesce(p.attempts, 0), taken, $4::bigint, NULL::bigint
		FROM message m LEFT JOIN past p ON p.seq = m.seq WHERE node = $1::text AND deadline <= $2::bigint`,
		node, reliedUntil, int64(message.Failed), now.UnixMicro()); err != nil {
		return err
	}
	if _, err := tx.Exec(ctx, "DELETE FROM past WHERE seq IN (SELECT seq FROM message WHERE node = $1::text AND deadline <= $2::bigint)", node, reliedUntil); err != nil {
		return err
	}
	_, err := tx.Exec(ctx, "DELETE FROM message WHERE node = $1::text AND deadline <= $2::bigint", node, reliedUntil)
	return err
}

// adopt reads messages and responses of another node, and makes this node their owner.
func (b *backend) adopt(ctx context.Context, tx pgx.Tx, node string, limits takeoverLimits) (store.Recovered, error) {
	recovered := store.Recovered{EndpointHealth: map[string]*store.EndpointHealth{}}
	which := "m.node = $1::text AND " + b.takeoverCondition() + " ORDER BY m.deadline, m.seq LIMIT $5::bigint"
	args := append(limits.args(node), int64(limits.maxMessages))
	unfinished, _, err := readUnfinished(ctx, tx, which, args...)
	if err != nil {
		return recovered, err
	}
	responses, err := readPendingResponses(ctx, tx, "node = $1::text AND told IS NULL ORDER BY seq LIMIT $2::bigint", node, int64(maxTakeoverMessages))
	if err != nil {
		return recovered, err
	}
	if err := readEndpointHealth(ctx, tx, node, recovered.EndpointHealth); err != nil {
		return recovered, err
	}
	if err := duringTakeover.At(); err != nil {
		return recovered, err
	}
	// These select the same rows as above: who changes them locks the lease row of their node first.
	if _, err := tx.Exec(ctx, `UPDATE message SET node = $6::text WHERE seq IN (SELECT m.seq FROM message m LEFT JOIN past p ON p.seq = m.seq
		WHERE `+which+")", append(args, b.cfg.Node)...); err != nil {
		return recovered, err
	}
	if _, err := tx.Exec(ctx, `UPDATE answer SET node = $1::text WHERE seq IN (SELECT seq FROM answer WHERE node = $2::text AND told IS NULL
		ORDER BY seq LIMIT $3::bigint)`, b.cfg.Node, node, int64(maxTakeoverMessages)); err != nil {
		return recovered, err
	}
	recovered.Pending = slices.Concat(unfinished, responses)
	return recovered, nil
}
