package jujubeday

import (
	"bytes"
	"html/template"
	"image/color"
	"io"
	"slices"
	"time"

	"github.com/pkg/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgsvg"
)

const (
	plotWidth  = 24 * vg.Centimeter
	plotHeight = 7 * vg.Centimeter
	// binSeconds is the width of a time bin: trainers read twice a second, and a step takes several seconds.
	binSeconds = 1.0
)

var (
	blue = color.RGBA{R: 30, G: 90, B: 160, A: 255}
	red  = color.RGBA{R: 190, G: 40, B: 40, A: 255}
	grey = color.RGBA{R: 130, G: 130, B: 130, A: 255}
)

// Figure is a rendered plot with its caption.
type Figure struct {
	Caption string
	SVG     template.HTML
}

var page = template.Must(template.New("day").Parse(`<!DOCTYPE html>
<html lang="en"><head><meta charset="utf-8"><title>{{.First.Format "2006-01-02 15:04:05"}}</title>
<style>body{font-family:sans-serif;margin:2em;max-width:75em}table{border-collapse:collapse}td,th{padding:.2em .8em;text-align:right}
tr:nth-child(even){background:#f3f3f3}td:first-child,th:first-child{text-align:left}figure{margin:1.5em 0}</style></head><body>
<h1>{{.First.Format "2006-01-02 15:04:05"}} to {{.Last.Format "15:04:05"}}</h1>
<p>Times are in seconds from the first line.</p>
{{range .Figures}}<figure><figcaption>{{.Caption}}</figcaption>{{.SVG}}</figure>
{{end}}<h2>Steps</h2>
<table><tr><th>Submission</th><th>Model</th><th>Read at</th><th>Items</th><th>Runs</th><th>Not complete</th><th>First start</th><th>Last end</th></tr>
{{range .Rows}}<tr><td>{{.ID}}</td><td>{{.Model}}</td><td>{{printf "%.1f" .Read}}</td><td>{{.Items}}</td><td>{{.Runs}}</td><td>{{.Broken}}</td><td>{{printf "%.2f" .Start}}</td><td>{{printf "%.2f" .End}}</td></tr>
{{end}}</table></body></html>
`))

// stepRow is a row of the table of steps, with times in seconds: Read since the first log line, Start and End since Read.
type stepRow struct {
	*Step
	Read, Start, End float64
}

// WritePage writes the summary as a self-contained HTML page.
func (s *Summary) WritePage(output io.Writer) error {
	var figures []Figure
	for _, spec := range []struct {
		caption, unit string
		addData       func(*plot.Plot) error
	}{
		{"Seconds from reading a step's record to its first start (grey) and its last end (blue)", "s", s.plotSteps},
		{"Runs in flight", "runs", s.plotRuns},
		{"Mean runs in flight by engine in each second; darker cells have more runs", "engine", s.plotEngines},
		{"Known weight version of the engine at each start of a run, offset by the engine's index", "version", s.plotVersions},
		{"Refusals (red) and instance starts (grey) in each second", "count", s.plotEvents},
	} {
		figure, err := s.drawFigure(spec.caption, spec.unit, spec.addData)
		if err != nil {
			return err
		}
		figures = append(figures, figure)
	}
	var rows []stepRow
	for _, step := range s.Steps {
		rows = append(rows, stepRow{
			step, s.elapsed(step.Read), secondsBetween(step.Read, step.FirstStart), secondsBetween(step.Read, step.LastEnd),
		})
	}
	return errors.Wrap(page.Execute(output, map[string]any{
		"First": s.First, "Last": s.Last, "Figures": figures, "Rows": rows,
	}), "write page")
}

// secondsBetween returns the seconds between two times, or 0 if the second one is unknown.
func secondsBetween(from, to time.Time) float64 {
	if to.IsZero() {
		return 0
	}
	return to.Sub(from).Seconds()
}

// elapsed returns the seconds from the first log line to a time.
func (s *Summary) elapsed(at time.Time) float64 { return at.Sub(s.First).Seconds() }

func (s *Summary) drawFigure(caption, unit string, addData func(*plot.Plot) error) (Figure, error) {
	p := plot.New()
	p.X.Min, p.X.Max = 0, s.elapsed(s.Last)
	p.X.Label.Text, p.Y.Label.Text = "s", unit
	if err := addData(p); err != nil {
		return Figure{}, errors.Wrap(err, caption)
	}
	canvas := vgsvg.New(plotWidth, plotHeight)
	p.Draw(draw.New(canvas))
	var svg bytes.Buffer
	if _, err := canvas.WriteTo(&svg); err != nil {
		return Figure{}, errors.Wrap(err, caption)
	}
	// Inline SVG must not have the XML declaration that the canvas writes first.
	text := svg.String()
	if start := bytes.Index(svg.Bytes(), []byte("<svg")); start > 0 {
		text = text[start:]
	}
	return Figure{caption, template.HTML(text)}, nil // safe: the SVG is generated above from numbers and constant texts
}

func addScatter(p *plot.Plot, points plotter.XYs, colour color.Color) error {
	if len(points) == 0 {
		return nil
	}
	scatter, err := plotter.NewScatter(points)
	if err != nil {
		return errors.Wrap(err, "points")
	}
	scatter.Color, scatter.Radius, scatter.Shape = colour, vg.Points(2), draw.CircleGlyph{}
	p.Add(scatter)
	return nil
}

func (s *Summary) plotSteps(p *plot.Plot) error {
	var starts, ends plotter.XYs
	for _, step := range s.Steps {
		starts = append(starts, plotter.XY{X: s.elapsed(step.Read), Y: secondsBetween(step.Read, step.FirstStart)})
		ends = append(ends, plotter.XY{X: s.elapsed(step.Read), Y: secondsBetween(step.Read, step.LastEnd)})
	}
	if err := addScatter(p, starts, grey); err != nil {
		return err
	}
	return addScatter(p, ends, blue)
}

// meanRunsInFlight returns the mean number of runs in flight in each time bin.
func (s *Summary) meanRunsInFlight(spans []Span) []float64 {
	means := make([]float64, int(s.elapsed(s.Last)/binSeconds)+1)
	for _, span := range spans {
		from, to := s.elapsed(span.Start), s.elapsed(span.End)
		for i := int(from / binSeconds); i < len(means) && float64(i)*binSeconds < to; i++ {
			low := max(from, float64(i)*binSeconds)
			high := min(to, float64(i+1)*binSeconds)
			means[i] += max(0, high-low) / binSeconds
		}
	}
	return means
}

func (s *Summary) plotRuns(p *plot.Plot) error {
	var points plotter.XYs
	for i, count := range s.meanRunsInFlight(s.Spans) {
		points = append(points, plotter.XY{X: float64(i) * binSeconds, Y: count})
	}
	line, err := plotter.NewLine(points)
	if err != nil {
		return errors.Wrap(err, "line")
	}
	line.Color = blue
	p.Add(line)
	return nil
}

// engineNames returns the sorted names of the engines that had runs.
func (s *Summary) engineNames() []string {
	var names []string
	for _, span := range s.Spans {
		names = append(names, span.Engine)
	}
	slices.Sort(names)
	return slices.Compact(names)
}

// runGrid implements plotter.GridXYZ: the mean runs in flight, with a row for each engine and a column for each time bin.
type runGrid struct{ cells [][]float64 }

func (g runGrid) Dims() (columns, rows int) { return len(g.cells[0]), len(g.cells) }
func (g runGrid) Z(column, row int) float64 { return g.cells[row][column] }
func (g runGrid) X(column int) float64      { return (float64(column) + 0.5) * binSeconds }
func (g runGrid) Y(row int) float64         { return float64(row) }

// bluePalette is a gradient from white to blue.
type bluePalette struct{}

func (bluePalette) Colors() []color.Color {
	const shades = 16
	var colours []color.Color
	for i := range shades {
		share := float64(i) / (shades - 1)
		mix := func(full uint8) uint8 { return uint8(255 - share*float64(255-int(full))) }
		colours = append(colours, color.RGBA{R: mix(blue.R), G: mix(blue.G), B: mix(blue.B), A: 255})
	}
	return colours
}

func (s *Summary) plotEngines(p *plot.Plot) error {
	names := s.engineNames()
	cells := make([][]float64, len(names))
	for i, name := range names {
		var engineSpans []Span
		for _, span := range s.Spans {
			if span.Engine == name {
				engineSpans = append(engineSpans, span)
			}
		}
		cells[i] = s.meanRunsInFlight(engineSpans)
	}
	if len(cells) < 2 || len(cells[0]) < 2 {
		return nil // a heat map needs at least two rows and columns
	}
	p.Add(plotter.NewHeatMap(runGrid{cells}, bluePalette{}))
	return nil
}

func (s *Summary) plotVersions(p *plot.Plot) error {
	names := s.engineNames()
	// Adds a fraction below one for each engine, so that points of engines with the same version don't overlap.
	var points plotter.XYs
	for _, known := range s.Versions {
		index, _ := slices.BinarySearch(names, known.Engine)
		points = append(points, plotter.XY{X: s.elapsed(known.At), Y: known.Version + 0.8*float64(index)/float64(max(1, len(names)))})
	}
	return addScatter(p, points, blue)
}

func (s *Summary) plotEvents(p *plot.Plot) error {
	countBySecond := func(times []time.Time) plotter.XYs {
		counts := map[int]float64{}
		for _, at := range times {
			counts[int(s.elapsed(at)/binSeconds)]++
		}
		var points plotter.XYs
		for second, n := range counts {
			points = append(points, plotter.XY{X: float64(second) * binSeconds, Y: n})
		}
		slices.SortFunc(points, func(a, b plotter.XY) int { return int(a.X - b.X) })
		return points
	}
	if err := addScatter(p, countBySecond(s.Restarts), grey); err != nil {
		return err
	}
	return addScatter(p, countBySecond(s.Refused), red)
}
