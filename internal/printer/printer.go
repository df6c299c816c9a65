// Package printer writes a report of several lines and keeps the first error, so that whoever writes the report checks
// once, at its end. A [Printer] is for one goroutine.
package printer

import (
	"errors"
	"fmt"
	"io"
	"text/tabwriter"
)

// Printer writes text to a writer until that fails; from then on it writes nothing.
type Printer struct {
	out   io.Writer
	flush func() error // nil where nothing is buffered
	err   error
}

// New returns a printer that writes to a writer as it comes.
func New(out io.Writer) *Printer { return &Printer{out: out} }

// NewTable returns a printer whose lines are cells that end with a tab, or are separated by tabs: they are written in
// columns when [Printer.Err] is called.
func NewTable(out io.Writer, padding int, flags uint) *Printer {
	w := tabwriter.NewWriter(out, 0, 0, padding, ' ', flags)
	return &Printer{out: w, flush: w.Flush}
}

// Printf writes text as [fmt.Printf] does.
func (p *Printer) Printf(format string, args ...any) {
	if p.err == nil {
		_, p.err = fmt.Fprintf(p.out, format, args...)
	}
}

// Print writes text as it is.
func (p *Printer) Print(text string) {
	if p.err == nil {
		_, p.err = io.WriteString(p.out, text)
	}
}

// Println writes text and ends the line.
func (p *Printer) Println(text string) { p.Print(text + "\n") }

// Err writes what is buffered, and returns the first error of all that was written so far.
func (p *Printer) Err() error {
	if p.flush != nil {
		p.err = errors.Join(p.err, p.flush())
	}
	return p.err
}
