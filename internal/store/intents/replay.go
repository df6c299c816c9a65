package intents

import (
	"context"
	"fmt"
	"os"
	"time"
	"wingmount/internal/message"
	"wingmount/internal/store"
	"wingmount/policy"
)

// replay writes the intents that the store lacks to the store, in the order of the log, and then empties the log. It
// updates the recovered messages accordingly.
func (s *Store) replay(ctx context.Context, r *store.Recovered) error {
	data, err := os.ReadFile(s.cfg.Path)
	if err != nil {
		return err
	}
	delivered, latest, err := s.replayIntents(ctx, data, r.Pending)
	if err != nil {
		return err
	}
	r.Rebase(latest, time.Now())
	if err := s.Store.Complete(ctx); err != nil { // barrier: all intents must be durable before the log is emptied
		return err
	}
	pending := r.Pending[:0]
	for _, m := range r.Pending {
		if delivered[m.Seq] && m.FinalResponse == nil {
			continue // completed without notification
		}
		m.History.RecordInterruption()
		pending = append(pending, m)
	}
	r.Pending = pending
	return s.truncate()
}

// replayIntents writes the intents in data to the store, up to the first unreadable one. It skips intents that the store
// already has: those of completed messages, and attempts that are on record. It returns the sequence numbers of the
// messages for which it replayed a delivery, and the latest time in the log.
func (s *Store) replayIntents(ctx context.Context, data []byte, pending []*message.Message) (delivered map[policy.MessageID]bool, latest time.Time, err error) {
	messages := map[policy.MessageID]*message.Message{}
	for _, m := range pending {
		messages[m.Seq] = m
	}
	delivered = map[policy.MessageID]bool{}
	missing := 0
	for len(data) > 0 {
		i, rest, ok := decode(data)
		if !ok {
			s.log.Warn("store: ignoring unreadable tail of the intent log", "bytes", len(data))
			break
		}
		data = rest
		if i.at.After(latest) {
			latest = i.at
		}
		m := messages[i.seq]
		if m == nil || m.FinalResponse != nil || delivered[i.seq] {
			continue
		}
		if i.isAttempt() && m.History.Attempts >= i.history.Attempts {
			continue
		}
		missing++
		if err := s.replayIntent(ctx, m, i); err != nil {
			return nil, latest, err
		}
		delivered[i.seq] = i.kind == kindDelivered
	}
	if missing > 0 {
		s.log.Info("store: intent log replayed", "records", missing)
	}
	return delivered, latest, nil
}

// replayIntent writes one intent to the store.
func (s *Store) replayIntent(ctx context.Context, m *message.Message, i intent) error {
	var err error
	switch i.kind {
	case kindAttemptWithHistory, kindAttempt:
		m.History = historyBefore(i, m.History)
		err = s.Store.RecordAttempt(ctx, store.Attempt{Endpoint: i.endpoint, Zone: i.zone, At: i.at, Messages: []*message.Message{m}})
	case kindDelivered:
		err = s.Store.RecordOutcome(ctx, store.Outcome{Message: m, Outcome: policy.Delivered, Endpoint: i.endpoint, At: i.at})
	case kindResponse:
		err = s.Store.Complete(ctx, store.Completion{Message: m, Response: i.response})
	}
	if err != nil {
		return err
	}
	return atReplay.At()
}

// historyBefore returns the history that a message had right before a logged attempt. The recovered history may lack
// earlier attempts and their outcomes.
func historyBefore(i intent, recovered message.History) message.History {
	if i.kind == kindAttempt {
		// The outcomes of earlier attempts are unknown. Where the zone matters, a message that may have run is sent to
		// the same zone only, so an attempt in another zone shows that no earlier one ran.
		recovered.RanZone = i.zone
		return recovered
	}
	before := i.history
	before.Attempts--
	before.Outstanding, before.MayHaveRun = false, before.CompletedMayHaveRun
	return before
}

// truncate empties the log. It is called with the lock held, or before other goroutines use the store.
func (s *Store) truncate() error {
	if err := atTruncate.At(); err != nil {
		return err
	}
	if err := s.file.Truncate(0); err != nil {
		return fmt.Errorf("truncating the intent log: %w", err)
	}
	s.size = 0
	return nil
}
