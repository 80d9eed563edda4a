package jujubeslope

import (
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strings"
	"text/tabwriter"

	"github.com/pkg/errors"
)

// Series holds the values of one quantity at several sizes.
type Series struct {
	// Name is the measured quantity and Size the size that was varied.
	Name   string
	Size   string
	Unit   string
	Points []Point
	Fit    Fit
	// Target is the size that the service has to support; AtTarget is the fitted value there, extrapolated if Target is
	// beyond the points.
	Target   float64
	AtTarget float64
}

// Report holds the series of one run, in the order of their first points.
type Report struct {
	Series []*Series
	// Repeated counts the measurements that were discarded and repeated because the machine paused during them.
	Repeated int
}

// axis is a size that a study varies, with its value for the target size of the service.
type axis struct {
	name   string
	target float64
}

// add appends a point to the series of that name and axis and updates its fit.
func (r *Report) add(a axis, size int, name, unit string, value float64) {
	index := slices.IndexFunc(r.Series, func(s *Series) bool { return s.Name == name && s.Size == a.name })
	if index < 0 {
		index = len(r.Series)
		r.Series = append(r.Series, &Series{Name: name, Size: a.name, Unit: unit, Target: a.target})
	}
	s := r.Series[index]
	s.Points = append(s.Points, Point{Size: float64(size), Value: value})
	s.Fit = FitLine(s.Points)
	s.AtTarget = s.Fit.At(s.Target)
}

// WriteTable writes a table with one line per series.
func (r *Report) WriteTable(out io.Writer) error {
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "MEASURED\tUNIT\tAGAINST\tPOINTS (SIZE:VALUE)\tINTERCEPT\tSLOPE\tR2\tAT TARGET")
	for _, s := range r.Series {
		points := make([]string, 0, len(s.Points))
		for _, p := range s.Points {
			points = append(points, fmt.Sprintf("%g:%.4g", p.Size, p.Value))
		}
		fmt.Fprintf(table, "%s\t%s\t%s\t%s\t%.4g\t%.4g\t%.3f\t%.4g at %g\n", s.Name, s.Unit, s.Size,
			strings.Join(points, " "), s.Fit.Intercept, s.Fit.Slope, s.Fit.R2, s.AtTarget, s.Target)
	}
	if err := table.Flush(); err != nil {
		return errors.Wrap(err, "write table")
	}
	_, err := fmt.Fprintf(out, "measurements repeated after a pause of the machine: %d\n", r.Repeated)
	return errors.Wrap(err, "write table")
}

// WriteJSON writes the report as indented JSON.
func (r *Report) WriteJSON(out io.Writer) error {
	encoder := json.NewEncoder(out)
	encoder.SetIndent("", "  ")
	return errors.Wrap(encoder.Encode(r), "write report")
}
