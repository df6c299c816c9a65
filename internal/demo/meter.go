package demo

import (
	"context"
	"fmt"
	"time"
	"wingmount/internal/fake/partner"
	"wingmount/internal/fake/results"
	"wingmount/internal/testcluster"
)

// readingInterval is the time between two readings of a meter.
const readingInterval = 50 * time.Millisecond

// meter submits its readings one after the other, each once the one before is accepted.
type meter struct {
	name, street string
	accepted     []string // ids, in order
	retries      int      // after a rejection
}

// run submits readings until stop is closed.
func (m *meter) run(ctx context.Context, c *testcluster.Cluster, stop <-chan struct{}) error {
	for n, attempt := 0, 0; ; {
		select {
		case <-stop:
			return nil
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(readingInterval):
		}
		reading := m.reading(n, attempt)
		if err := c.SubmitMessage(ctx, reading); err != nil {
			return err
		}
		switch got := c.Message(reading.ID); {
		case got.Rejected:
			attempt++
			m.retries++
			continue
		case got.Accepted || got.KnownAccepted:
			m.accepted = append(m.accepted, reading.ID)
		}
		n, attempt = n+1, 0
	}
}

// reading returns a message with reading n. Each attempt is a new message.
func (m *meter) reading(n, attempt int) testcluster.Message {
	return testcluster.Message{
		ID: fmt.Sprintf("%s-%04d-%d", m.name, n, attempt), Class: testcluster.Idempotent, Destination: orderedDestination,
		Body: fmt.Sprintf(`{"meter":%q,"street":%q,"n":%d}`, m.name, m.street, n),
	}
}

// outOfOrder returns a description of each delivered reading that ran before an older one of the meter. Readings that
// have failed do not count: they may run at any time.
func (m *meter) outOfOrder(ledger partner.Ledger, receiver *results.Receiver) (found []string) {
	var previousRan time.Time
	previous := ""
	for _, id := range m.accepted {
		ran, ok := ledger.FirstEffect[id]
		notifications := receiver.For(id)
		if !ok || len(notifications) == 0 || notifications[0].Outcome != "delivered" {
			continue
		}
		if ran.Before(previousRan) {
			found = append(found, fmt.Sprintf("%s ran %v before %s (%d and %d calls)", id, previousRan.Sub(ran), previous, ledger.Calls[id], ledger.Calls[previous]))
		}
		previousRan, previous = ran, id
	}
	return found
}
