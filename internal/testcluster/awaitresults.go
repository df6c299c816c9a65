package testcluster

import (
	"context"
	"time"
)

const (
	// restartSlack is how long after a node is ready again a result may come that was due while the node was down.
	restartSlack = 1500 * time.Millisecond
	// takeoverSlack is how long after a lease has expired other nodes may take to notice.
	takeoverSlack = time.Second
	// resultsInterval is how often AwaitResults looks.
	resultsInterval = 10 * time.Millisecond
	// lateResultWait is how long AwaitResults waits for a result that is late.
	lateResultWait = time.Second
)

// AwaitResults waits until every message that was accepted has its result, or all results are overdue.
func (c *Cluster) AwaitResults(ctx context.Context) {
	for ctx.Err() == nil {
		pending := c.pendingResults()
		if pending.count == 0 || time.Now().After(pending.lastDue.Add(lateResultWait)) {
			return
		}
		wait(ctx, resultsInterval)
	}
}

// pendingResults is how many results are missing, and when the last of them is due.
type pendingResults struct {
	count   int
	lastDue time.Time
}

func (c *Cluster) pendingResults() pendingResults {
	c.mu.Lock()
	defer c.mu.Unlock()
	var pending pendingResults
	for _, m := range c.messages {
		if !m.Accepted && !m.KnownAccepted || len(c.Results.For(m.ID)) > 0 {
			continue
		}
		pending.count++
		if due := c.resultDue(m); due.After(pending.lastDue) {
			pending.lastDue = due
		}
	}
	return pending
}

// resultDue returns when the result of a message is due: after its deadline, or after an outage that began before, by
// when another node has its messages or it is ready again. The caller must lock c.mu.
func (c *Cluster) resultDue(m *Message) time.Time {
	due := m.Deadline.Add(c.config.ResultSlack)
	for _, o := range c.outages {
		if o.start.After(due) {
			continue
		}
		if recovered := c.recoveredBy(o).Add(restartSlack); recovered.After(due) {
			due = recovered
		}
	}
	return due
}

// recoveredBy returns by when the messages of a node that was down are with a node again.
func (c *Cluster) recoveredBy(o outage) time.Time {
	end := o.end
	if end.IsZero() {
		end = time.Now()
	}
	if len(c.nodes) == 1 || c.config.Lease == 0 {
		return end
	}
	if takeoverEnd := o.start.Add(c.config.Lease + takeoverSlack); takeoverEnd.Before(end) {
		return takeoverEnd
	}
	return end
}
