package steps

import (
	"io"
	"maps"
	"slices"
	"text/tabwriter"
	"time"
	"wingmount/internal/printer"
)

// Write writes the report as a table with a line for each destination, and the first step that differs.
func (r *Report) Write(out io.Writer) error {
	p := printer.NewTable(out, 2, tabwriter.AlignRight)
	p.Print("destination\tarrived\tsent\tdelivered\twaited p50\tp99\t")
	for cause := range causes {
		p.Printf("%v\t", cause)
	}
	p.Println("")
	for _, number := range slices.Sorted(maps.Keys(r.Destinations)) {
		r.Destinations[number].writeLine(p, number)
	}
	if err := p.Err(); err != nil {
		return err
	}
	text := printer.New(out) // outside the table: a step may contain tabs
	text.Printf("%d steps, %d decided otherwise by this build; %d messages open at the end\n", r.Steps, r.Differing, len(r.unfinished))
	if first := r.FirstDiffering; first != nil {
		text.Printf("the first at %v:\n  events   %+v\n  recorded %+v\n  now      %+v\n", first.Now, first.Events, first.Actions, r.Decided)
	}
	return text.Err()
}

// writeLine writes the line of a destination.
func (d *DestinationReport) writeLine(p *printer.Printer, number int) {
	slices.Sort(d.Waits)
	p.Printf("%d\t%d\t%d\t%d\t%v\t%v\t", number, d.Arrived, d.Sent, d.Delivered, quantile(d.Waits, 0.5), quantile(d.Waits, 0.99))
	for _, count := range d.Undelivered {
		p.Printf("%d\t", count)
	}
	p.Println("")
}

// quantile returns a quantile of sorted times in milliseconds, 0 if there are none.
func quantile(sorted []time.Duration, fraction float64) time.Duration {
	if len(sorted) == 0 {
		return 0
	}
	return sorted[int(fraction*float64(len(sorted)-1))].Round(time.Millisecond)
}
