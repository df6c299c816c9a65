package testcluster

import (
	"slices"
	"strings"
	"time"
	"wingmount/internal/fake/results"
)

// LoadOutcomes is what became of the messages of one load.
type LoadOutcomes struct {
	Accepted           int
	RejectedAtIngress  int // by the node, which did not accept them
	Delivered          int
	Rejected           int // accepted, with the result that they surely never ran
	Failed             int
	CalledTwice        int     // sent to their partner more than once
	DeliveredPerSecond float64 // while the load came

	LatencyP50, LatencyP99 time.Duration // of delivered messages, from when they were due until the partner had run them
	DeliveredByDestination map[int]int   // while the load came, by number
}

// LoadOutcomes returns what became of the messages of a load whose ids have its prefix.
func (c *Cluster) LoadOutcomes(report LoadReport, prefix string) LoadOutcomes {
	ledgers := c.readLedgers()
	c.mu.Lock()
	defer c.mu.Unlock()
	outcomes := LoadOutcomes{DeliveredByDestination: map[int]int{}}
	var latencies []time.Duration
	inTime := 0
	for _, id := range c.submitted {
		if !strings.HasPrefix(id, prefix+"-") {
			continue
		}
		m := c.messages[id]
		ledger := ledgers.of(c, m.Destination)
		outcomes.countSubmission(m, ledger.Calls[id])
		if !outcomes.countResult(c.Results.For(id)) {
			continue
		}
		ranAt, ran := ledger.FirstEffect[id]
		if !ran { // lost, see Tally.Lost
			continue
		}
		latencies = append(latencies, ranAt.Sub(m.SubmittedAt))
		if ranAt.Before(report.PlannedEnd) {
			inTime++
			outcomes.DeliveredByDestination[m.Destination]++
		}
	}
	outcomes.DeliveredPerSecond = float64(inTime) / report.PlannedEnd.Sub(report.PlannedStart).Seconds()
	outcomes.LatencyP50, outcomes.LatencyP99 = percentile(latencies, 0.5), percentile(latencies, 0.99)
	return outcomes
}

// countSubmission counts what the client and the partner of a message saw of it.
func (o *LoadOutcomes) countSubmission(m *Message, calls int) {
	if calls > 1 {
		o.CalledTwice++
	}
	if m.Accepted || m.KnownAccepted {
		o.Accepted++
	} else if m.Rejected {
		o.RejectedAtIngress++
	}
}

// countResult counts a message by the first notification of its result, and reports whether it was delivered.
func (o *LoadOutcomes) countResult(notifications []results.Notification) (delivered bool) {
	if len(notifications) == 0 {
		return false
	}
	switch notifications[0].Outcome {
	case outcomeDelivered:
		o.Delivered++
		return true
	case outcomeRejected:
		o.Rejected++
	default:
		o.Failed++
	}
	return false
}

// percentile returns the least value that more than a fraction of all do not exceed, or the greatest; 0 for none.
func percentile(all []time.Duration, fraction float64) time.Duration {
	if len(all) == 0 {
		return 0
	}
	all = slices.Sorted(slices.Values(all))
	return all[min(len(all)-1, int(fraction*float64(len(all))))]
}
