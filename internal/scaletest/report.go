package scaletest

import (
	"encoding/json"
	"fmt"
	"io"
	"math"
	"slices"
	"strings"
	"time"
	"wingmount/internal/printer"
	"wingmount/internal/scaletest/regression"
)

// Report is the result of a run.
type Report struct {
	Build    string        `json:"build"`
	Date     time.Time     `json:"date"`
	Machine  string        `json:"machine"`
	Scenario string        `json:"scenario"`
	Seed     uint64        `json:"seed"`
	Series   []Series      `json:"series,omitempty"`
	Fleets   []FleetResult `json:"fleets,omitempty"`
}

// Series is one quantity at several sizes.
type Series struct {
	Measure  string  `json:"measure"`
	Quantity string  `json:"quantity"`
	Unit     string  `json:"unit"`
	Axis     string  `json:"axis"` // what the size counts
	Fixed    string  `json:"fixed,omitempty"`
	Levels   []Level `json:"levels"`
	// Line and Law are fitted to the medians of the levels. They are missing where none can be fitted.
	Line *regression.Line     `json:"line,omitempty"`
	Law  *regression.PowerLaw `json:"law,omitempty"`
}

// Level has the values of the repeats at one size.
type Level struct {
	Size   int       `json:"size"`
	Values []float64 `json:"values"`
}

// Median returns the median of the repeats.
func (l Level) Median() float64 { return percentile(l.Values, 0.5) }

// rankRounding permits the rounding of a fraction of a count: 0.07 of 100 values are 7, not 7.000000000000001.
const rankRounding = 1e-6

// percentile returns the value that a fraction of all values does not exceed, by nearest rank.
func percentile(values []float64, fraction float64) float64 {
	if len(values) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(values))
	rank := int(math.Ceil(fraction*float64(len(sorted)) - rankRounding))
	return sorted[min(max(rank, 1), len(sorted))-1]
}

// fit fits the line and the power law. A quantity that is zero at some size has no power law.
func (s *Series) fit() {
	var points []regression.Point
	for _, level := range s.Levels {
		points = append(points, regression.Point{Size: float64(level.Size), Value: level.Median()})
	}
	if line, err := regression.FitLine(points); err == nil {
		s.Line = &line
	}
	if law, err := regression.FitPowerLaw(points); err == nil {
		s.Law = &law
	}
}

// Write prints the report as tables.
func (r *Report) Write(out io.Writer) error {
	if _, err := fmt.Fprintf(out, "build %s, %s, %s, seed %d\n", r.Build, r.Date.Format("2006-01-02 15:04"), r.Machine, r.Seed); err != nil {
		return err
	}
	if len(r.Series) > 0 {
		if err := writeSeries(out, r.Series); err != nil {
			return err
		}
	}
	for i := range r.Fleets {
		if err := r.Fleets[i].write(out); err != nil {
			return err
		}
	}
	return nil
}

// writeSeries prints a table with a line for each series.
func writeSeries(out io.Writer, all []Series) error {
	p := printer.NewTable(out, 2, 0)
	p.Println("\nmeasure\tquantity\tby\tmedians at sizes\texponent (95%)\tslope per unit of size (95%)")
	for _, s := range all {
		p.Printf("%s\t%s, %s\t%s\t%s\t%s\t%s\n", s.Measure, s.Quantity, s.Unit, s.axis(), s.levels(), s.exponent(), s.slope())
	}
	return p.Err()
}

// axis formats what the sizes count and what is fixed.
func (s *Series) axis() string {
	if s.Fixed == "" {
		return s.Axis
	}
	return s.Axis + ", " + s.Fixed
}

// levels formats the medians at all sizes.
func (s *Series) levels() string {
	var levels []string
	for _, l := range s.Levels {
		levels = append(levels, fmt.Sprintf("%d: %s%s", l.Size, figure(l.Median()), formatRange(l)))
	}
	return strings.Join(levels, "; ")
}

// exponent formats the exponent of the power law, "-" where there is none.
func (s *Series) exponent() string {
	if s.Law == nil {
		return "-"
	}
	e := s.Law.Exponent
	return fmt.Sprintf("%.2f (%.2f to %.2f)", e.Value, e.Low, e.High)
}

// slope formats the slope of the line, "-" where there is none.
func (s *Series) slope() string {
	if s.Line == nil {
		return "-"
	}
	slope := s.Line.Slope
	return fmt.Sprintf("%s (%s to %s) %s", figure(slope.Value), figure(slope.Low), figure(slope.High), s.Unit)
}

// formatRange formats the range of the repeats, empty where they are equal.
func formatRange(l Level) string {
	low, high := slices.Min(l.Values), slices.Max(l.Values)
	if low == high {
		return ""
	}
	return fmt.Sprintf(" [%s..%s]", figure(low), figure(high))
}

// figure formats a value with four digits.
func figure(value float64) string { return fmt.Sprintf("%.4g", value) }

// WriteJSON prints the report as one JSON object.
func (r *Report) WriteJSON(out io.Writer) error {
	encoder := json.NewEncoder(out)
	encoder.SetIndent("", "  ")
	return encoder.Encode(r)
}
