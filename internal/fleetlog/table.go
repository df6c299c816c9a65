package fleetlog

import (
	"cmp"
	"io"
	"maps"
	"slices"
	"text/tabwriter"
	"time"
	"wingmount/internal/printer"
	"wingmount/policy"
)

// tableHeader names the columns of the table, whose words operators and their scripts know.
const tableHeader = "dest\tfrom s\tendpoint\ttaken\tcalls\tmessages\tdelivered\tfailed\trefused\tno answer\tno connection\treset\tended\t"

// allEndpoints stands in the column of the endpoint for all of a destination.
const allEndpoints = "all"

// Write prints a table by destination and span, with a line for each endpoint if endpoints is set.
func (c *Counts) Write(w io.Writer, endpoints bool) error {
	p := printer.NewTable(w, 2, tabwriter.AlignRight)
	p.Println(tableHeader)
	for _, key := range slices.SortedFunc(maps.Keys(c.cells), compareKeys) {
		if key.Endpoint != "" && !endpoints {
			continue
		}
		cell := c.cells[key]
		startSeconds := (time.Duration(key.Span) * c.span).Seconds()
		p.Printf("%d\t%.1f\t%s\t", key.Destination, startSeconds, cmp.Or(key.Endpoint, allEndpoints))
		p.Printf("%d\t%d\t%d\t", cell.Accepted, cell.Calls, cell.Sent)
		for _, outcome := range []policy.Outcome{
			policy.Delivered, policy.Failed, policy.RateLimited, policy.TimedOut, policy.Unreachable, policy.Reset,
		} {
			p.Printf("%d\t", cell.Outcomes[outcome])
		}
		p.Printf("%d\t\n", cell.Undelivered)
	}
	peerMessages := 0
	for _, n := range c.peerMessages {
		peerMessages += n
	}
	p.Printf("%d logs, %d notes told\n", c.logs, peerMessages)
	return p.Err()
}

// compareKeys orders keys by destination, span and endpoint, with all endpoints before each of them.
func compareKeys(a, b Key) int {
	return cmp.Or(cmp.Compare(a.Destination, b.Destination), cmp.Compare(a.Span, b.Span), cmp.Compare(a.Endpoint, b.Endpoint))
}
