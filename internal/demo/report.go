package demo

import (
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"strings"
	"time"
	"wingmount/internal/printer"
	"wingmount/internal/testcluster"
)

// Notes in the report's table.
const (
	noteResubmit = "harmless to submit again"
	noteZero     = "must be 0"
)

// reportRow is a line of the report's table.
type reportRow struct {
	label string
	count int
	note  string
}

// reportRows returns the table of a tally.
func reportRows(t testcluster.Tally) []reportRow {
	return []reportRow{
		{"messages submitted", t.Submitted, ""},
		{"  rejected at ingress", t.RejectedAtIngress, noteResubmit},
		{"  accepted", t.Accepted, ""},
		{"result: delivered", t.Delivered, ""},
		{"result: rejected", t.Rejected, noteResubmit},
		{"result: failed", t.Failed, "may have run"},
		{"notified of the same result again", t.RepeatedResults, "after a crash; harmless"},
		{"crashes of nodes", t.Crashes, ""},
		{"without a result", t.WithoutResult, noteZero},
		{"with conflicting results", t.ConflictingResults, noteZero},
		{"ran twice", t.RanTwice, noteZero},
		{"rejected, but ran", t.RejectedButRan, noteZero},
		{"delivered, but never ran", t.Lost, noteZero},
		{"concurrent calls for one message", t.ConcurrentCalls, noteZero},
		{"result after it was due", t.Late, noteZero},
		{"calls before Retry-After", t.EarlyCalls, noteZero},
	}
}

// report writes the table and the JSON object. It returns an error if a guarantee was broken.
func (r *scenarioRun) report(name string, took time.Duration, out io.Writer) error {
	p := printer.NewTable(out, 2, 0)
	for _, row := range reportRows(r.tally) {
		p.Printf("%s\t%d\t%s\n", row.label, row.count, row.note)
	}
	if err := p.Err(); err != nil {
		return err
	}
	line, err := r.reportLine(name, took)
	if err != nil {
		return err
	}
	if _, err := fmt.Fprintf(out, "%s\n", line); err != nil {
		return err
	}
	if violations := r.tally.Violations(); len(violations) > 0 {
		return fmt.Errorf("guarantees were broken: %s", strings.Join(violations, ", "))
	}
	return nil
}

// reportLine returns the JSON object: the tally, the scenario's own figures, its name and how long it took.
func (r *scenarioRun) reportLine(name string, took time.Duration) ([]byte, error) {
	text, err := json.Marshal(r.tally)
	if err != nil {
		return nil, err
	}
	line := map[string]any{}
	if err := json.Unmarshal(text, &line); err != nil {
		return nil, err
	}
	maps.Copy(line, r.figures)
	line["scenario"], line["seconds"] = name, float64(took.Milliseconds())/1000
	return json.Marshal(line)
}
