package testcluster

import (
	"fmt"
	"strings"
	"time"
	"wingmount/internal/fake/partner"
)

// maxDescribed is how many messages DescribeRepeats describes; it counts the others.
const maxDescribed = 8

// DescribeRepeats returns, for each message that ran twice, had concurrent calls or got conflicting results, what its client, its partner and the
// receiver of results saw of it, and when nodes were down meanwhile. Times count from the message's submission. It
// returns an empty text if there is none. Tests print it beside a failure: no test passes or fails by it.
//
// OnRecord returns what the stores have on record of an id; nil for no such line.
func (c *Cluster) DescribeRepeats(onRecord func(id string) string) string {
	var b strings.Builder
	found := c.repeated()
	for _, m := range found[:min(len(found), maxDescribed)] {
		c.describeRepeated(&b, m)
		if onRecord != nil {
			fmt.Fprintf(&b, "  on record: %s\n", onRecord(m.ID))
		}
	}
	if len(found) > maxDescribed {
		fmt.Fprintf(&b, "and %d more messages\n", len(found)-maxDescribed)
	}
	if b.Len() > 0 {
		fmt.Fprintf(&b, "this process was delayed by %v at most\n", c.LongestStall())
	}
	return b.String()
}

// repeatedMessage is a message that ran twice, had concurrent calls or got conflicting results.
type repeatedMessage struct {
	Message
	system *partner.System
	calls  []partner.CallRecord
}

// repeated returns the messages that ran twice, had concurrent calls or got conflicting results, in the order of their
// submission.
func (c *Cluster) repeated() (found []repeatedMessage) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, id := range c.submitted {
		m := c.messages[id]
		if m.Destination < 1 || m.Destination > len(c.Destinations) {
			continue
		}
		system := c.Destinations[m.Destination-1].System
		calls := system.CallsOf(id)
		var results Tally
		results.countRepeatedResults(c.Results.For(id))
		effects, concurrent := 0, false
		for _, call := range calls {
			if call.Ran {
				effects++
			}
			concurrent = concurrent || call.Concurrent
		}
		if concurrent || results.ConflictingResults > 0 || (observedMessage{Message: *m}).repeatsMatter() && effects > 1 {
			found = append(found, repeatedMessage{Message: *m, system: system, calls: calls})
		}
	}
	return found
}

// describeRepeated writes what is known of one message.
func (c *Cluster) describeRepeated(b *strings.Builder, m repeatedMessage) {
	since := func(at time.Time) time.Duration { return at.Sub(m.SubmittedAt).Round(time.Millisecond) }
	fmt.Fprintf(b, "%s: class %s, destination %d, submitted %s, deadline %v after; the partner drops repeats of a key in its zone for %v\n",
		m.ID, m.Class, m.Destination, m.SubmittedAt.Format("15:04:05.000"), since(m.Deadline), m.system.DedupeWindow)
	for _, a := range m.submissions {
		fmt.Fprintf(b, "  %v: its client submitted it to node %d, and got status %d (error: %v) after %v\n",
			since(a.started), a.node+1, a.status, a.err, a.duration.Round(time.Millisecond))
	}
	for i, call := range m.calls {
		fmt.Fprintf(b, "  %v: call %d at %s (%s), key %q, ran: %v, beside another call: %v\n",
			since(call.At), i+1, call.Address, call.Zone, call.Key, call.Ran, call.Concurrent)
	}
	for _, n := range c.Results.For(m.ID) {
		fmt.Fprintf(b, "  %v: notified that it was %s\n", since(n.At), n.Outcome)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, o := range c.outages {
		end := "now"
		if !o.end.IsZero() {
			end = since(o.end).String()
		}
		fmt.Fprintf(b, "  %v to %s: node %d was down\n", since(o.start), end, o.node+1)
	}
}
