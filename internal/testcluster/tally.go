package testcluster

import (
	"fmt"
	"slices"
	"time"
	"wingmount/internal/fake/results"
)

// Outcomes in notifications; any other one is a failure.
const (
	outcomeDelivered = "delivered"
	outcomeRejected  = "refused"
)

// Tally is what became of all messages, counted at the clients and at the partners.
type Tally struct {
	Submitted          int `json:"submitted"`
	Accepted           int `json:"accepted"`
	RejectedAtIngress  int `json:"rejected_at_ingress"` // by a node, which did not accept them
	Delivered          int `json:"delivered"`
	Rejected           int `json:"rejected"` // accepted, with the result that they surely never ran
	Failed             int `json:"failed"`   // accepted, with the result that they may have run
	WithoutResult      int `json:"without_result"`
	ConflictingResults int `json:"conflicting_results"` // notified of two different results
	RepeatedResults    int `json:"repeated_results"`    // notified of the same result more than once, which is harmless
	RanTwice           int `json:"ran_twice"`           // more effects than keys dedupe, where repeats matter
	RejectedButRan     int `json:"rejected_but_ran"`    // rejected, with an effect where repeats matter
	Lost               int `json:"lost"`                // delivered, without an effect
	ConcurrentCalls    int `json:"concurrent_calls"`    // calls while another one for the same message was outstanding
	Late               int `json:"late"`                // with a result after it was due
	EarlyCalls         int `json:"early_calls"`         // calls before the time of Retry-After
	Crashes            int `json:"crashes"`
	// RejectionP99 is the 99th percentile of how long clients waited for a rejection, in milliseconds.
	RejectionP99 float64 `json:"rejection_p99_ms"`
}

// Tally counts all messages that were submitted so far.
func (c *Cluster) Tally() Tally {
	c.mu.Lock()
	defer c.mu.Unlock()
	t := Tally{Crashes: c.crashes, RejectionP99: c.rejectionP99()}
	ledgers := c.readLedgers()
	for _, ledger := range ledgers {
		t.ConcurrentCalls += ledger.ConcurrentCalls
		t.EarlyCalls += ledger.EarlyCalls
	}
	for _, id := range c.submitted {
		m := c.messages[id]
		t.count(observedMessage{
			Message: *m, notifications: c.Results.For(id),
			effects: ledgers.of(c, m.Destination).Effects[id], due: c.resultDue(m),
		})
	}
	return t
}

// rejectionP99 returns the 99th percentile of how long clients waited for a rejection, in milliseconds. The caller must
// lock c.mu.
func (c *Cluster) rejectionP99() float64 {
	return float64(percentile(c.rejectionTimes, 0.99).Microseconds()) / 1000
}

// observedMessage is what all sides know of one message.
type observedMessage struct {
	Message
	notifications []results.Notification
	effects       int       // at the partner
	due           time.Time // of its result
}

// repeatsMatter reports whether the message may have one effect only.
func (m observedMessage) repeatsMatter() bool { return m.Class != Idempotent }

// ranAgainstRejection reports whether a message had an effect that its client may repeat after a rejection.
func (m observedMessage) ranAgainstRejection() bool { return m.repeatsMatter() && m.effects > 0 }

// count counts one message.
func (t *Tally) count(m observedMessage) {
	t.Submitted++
	if m.repeatsMatter() && m.effects > 1 {
		t.RanTwice++
	}
	accepted := m.Accepted || m.KnownAccepted
	if accepted {
		t.Accepted++
	}
	switch {
	case len(m.notifications) > 0:
		t.countResult(m)
	case accepted:
		t.WithoutResult++
	case m.Rejected:
		t.RejectedAtIngress++
		if m.ranAgainstRejection() {
			t.RejectedButRan++
		}
	default: // its client got no response, and no node accepted it
	}
}

// countResult counts a message that has a result.
func (t *Tally) countResult(m observedMessage) {
	t.countRepeatedResults(m.notifications)
	first := m.notifications[0]
	if first.At.After(m.due) {
		t.Late++
	}
	switch first.Outcome {
	case outcomeDelivered:
		t.Delivered++
		if m.effects == 0 && !m.Duplicate {
			t.Lost++
		}
	case outcomeRejected:
		t.Rejected++
		if m.ranAgainstRejection() {
			t.RejectedButRan++
		}
	default:
		t.Failed++
	}
}

// countRepeatedResults counts a message with more than one notification.
func (t *Tally) countRepeatedResults(notifications []results.Notification) {
	if len(notifications) < 2 {
		return
	}
	t.RepeatedResults++
	first := notifications[0].Outcome
	if slices.ContainsFunc(notifications, func(n results.Notification) bool { return n.Outcome != first }) {
		t.ConflictingResults++
	}
}

// Violations returns the counts of broken guarantees that are not 0, each with its name.
func (t Tally) Violations() []string {
	var violations []string
	for _, v := range []struct {
		name  string
		count int
	}{
		{"without a result", t.WithoutResult},
		{"with conflicting results", t.ConflictingResults},
		{"ran twice", t.RanTwice},
		{"rejected but ran", t.RejectedButRan},
		{"lost", t.Lost},
		{"concurrent calls", t.ConcurrentCalls},
		{"late", t.Late},
		{"early calls", t.EarlyCalls},
	} {
		if v.count > 0 {
			violations = append(violations, fmt.Sprintf("%d %s", v.count, v.name))
		}
	}
	return violations
}

// Add returns the sum of the counts of two clusters, and the higher of their percentiles.
func (t Tally) Add(o Tally) Tally {
	return Tally{
		Submitted:          t.Submitted + o.Submitted,
		Accepted:           t.Accepted + o.Accepted,
		RejectedAtIngress:  t.RejectedAtIngress + o.RejectedAtIngress,
		Delivered:          t.Delivered + o.Delivered,
		Rejected:           t.Rejected + o.Rejected,
		Failed:             t.Failed + o.Failed,
		WithoutResult:      t.WithoutResult + o.WithoutResult,
		ConflictingResults: t.ConflictingResults + o.ConflictingResults,
		RepeatedResults:    t.RepeatedResults + o.RepeatedResults,
		RanTwice:           t.RanTwice + o.RanTwice,
		RejectedButRan:     t.RejectedButRan + o.RejectedButRan,
		Lost:               t.Lost + o.Lost,
		ConcurrentCalls:    t.ConcurrentCalls + o.ConcurrentCalls,
		Late:               t.Late + o.Late,
		EarlyCalls:         t.EarlyCalls + o.EarlyCalls,
		Crashes:            t.Crashes + o.Crashes,
		RejectionP99:       max(t.RejectionP99, o.RejectionP99),
	}
}
