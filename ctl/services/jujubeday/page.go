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
	// secondsShown is the width of a bar: trainers read twice a second, and a step takes several.
	secondsShown = 1.0
)

var (
	blue = color.RGBA{R: 30, G: 90, B: 160, A: 255}
	red  = color.RGBA{R: 190, G: 40, B: 40, A: 255}
	grey = color.RGBA{R: 130, G: 130, B: 130, A: 255}
)

// Figure is a plot with its caption.
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

// row is a step with its times in seconds: Read from the first line, the others from Read on.
type row struct {
	*Step
	Read, Start, End float64
}

// WritePage writes the day as one HTML page.
func (d *Day) WritePage(output io.Writer) error {
	var figures []Figure
	for _, one := range []struct {
		caption, unit string
		fill          func(*plot.Plot) error
	}{
		{"Seconds from a step's record to its first start (grey) and its last end (blue)", "s", d.plotSteps},
		{"Runs in flight", "runs", d.plotRuns},
		{"Runs in flight by engine, the mean of each second; darker is fuller", "engine", d.plotEngines},
		{"Weight versions that engines were known to have when a run began, by the engine's place in the list", "version", d.plotVersions},
		{"Refusals (red) and starts of instances (grey) in each second", "count", d.plotEvents},
	} {
		figure, err := d.draw(one.caption, one.unit, one.fill)
		if err != nil {
			return err
		}
		figures = append(figures, figure)
	}
	var rows []row
	for _, step := range d.Steps {
		rows = append(rows, row{step, d.seconds(step.Read), since(step.Read, step.FirstStart), since(step.Read, step.LastEnd)})
	}
	return errors.Wrap(page.Execute(output, map[string]any{
		"First": d.First, "Last": d.Last, "Figures": figures, "Rows": rows,
	}), "write page")
}

// since returns the seconds between two times, 0 when the second one is unknown.
func since(from, to time.Time) float64 {
	if to.IsZero() {
		return 0
	}
	return to.Sub(from).Seconds()
}

func (d *Day) seconds(at time.Time) float64 { return at.Sub(d.First).Seconds() }

func (d *Day) draw(caption, unit string, fill func(*plot.Plot) error) (Figure, error) {
	p := plot.New()
	p.X.Min, p.X.Max = 0, d.seconds(d.Last)
	p.X.Label.Text, p.Y.Label.Text = "s", unit
	if err := fill(p); err != nil {
		return Figure{}, errors.Wrap(err, caption)
	}
	canvas := vgsvg.New(plotWidth, plotHeight)
	p.Draw(draw.New(canvas))
	var svg bytes.Buffer
	if _, err := canvas.WriteTo(&svg); err != nil {
		return Figure{}, errors.Wrap(err, caption)
	}
	// A page holds the element without the XML declaration before it.
	text := svg.String()
	if at := bytes.Index(svg.Bytes(), []byte("<svg")); at > 0 {
		text = text[at:]
	}
	return Figure{caption, template.HTML(text)}, nil // drawn above from numbers only
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

func (d *Day) plotSteps(p *plot.Plot) error {
	var starts, ends plotter.XYs
	for _, step := range d.Steps {
		starts = append(starts, plotter.XY{X: d.seconds(step.Read), Y: since(step.Read, step.FirstStart)})
		ends = append(ends, plotter.XY{X: d.seconds(step.Read), Y: since(step.Read, step.LastEnd)})
	}
	if err := addScatter(p, starts, grey); err != nil {
		return err
	}
	return addScatter(p, ends, blue)
}

// bins returns the mean number of runs in flight in each second of the day.
func (d *Day) bins(spans []Span) []float64 {
	counts := make([]float64, int(d.seconds(d.Last)/secondsShown)+1)
	for _, span := range spans {
		from, to := d.seconds(span.Start), d.seconds(span.End)
		for i := int(from / secondsShown); i < len(counts) && float64(i)*secondsShown < to; i++ {
			low := max(from, float64(i)*secondsShown)
			high := min(to, float64(i+1)*secondsShown)
			counts[i] += max(0, high-low) / secondsShown
		}
	}
	return counts
}

func (d *Day) plotRuns(p *plot.Plot) error {
	var points plotter.XYs
	for i, count := range d.bins(d.Spans) {
		points = append(points, plotter.XY{X: float64(i) * secondsShown, Y: count})
	}
	line, err := plotter.NewLine(points)
	if err != nil {
		return errors.Wrap(err, "line")
	}
	line.Color = blue
	p.Add(line)
	return nil
}

// engines returns the names of the engines in order.
func (d *Day) engines() []string {
	var names []string
	for _, span := range d.Spans {
		names = append(names, span.Engine)
	}
	slices.Sort(names)
	return slices.Compact(names)
}

// grid is the runs by second and engine.
type grid struct{ cells [][]float64 }

func (g grid) Dims() (columns, rows int) { return len(g.cells[0]), len(g.cells) }
func (g grid) Z(column, row int) float64 { return g.cells[row][column] }
func (g grid) X(column int) float64      { return (float64(column) + 0.5) * secondsShown }
func (g grid) Y(row int) float64         { return float64(row) }

// shades is a palette from white to blue.
type shades struct{}

func (shades) Colors() []color.Color {
	const steps = 16
	var colours []color.Color
	for i := range steps {
		part := float64(i) / (steps - 1)
		mix := func(full uint8) uint8 { return uint8(255 - part*float64(255-int(full))) }
		colours = append(colours, color.RGBA{R: mix(blue.R), G: mix(blue.G), B: mix(blue.B), A: 255})
	}
	return colours
}

func (d *Day) plotEngines(p *plot.Plot) error {
	names := d.engines()
	cells := make([][]float64, len(names))
	for i, name := range names {
		var own []Span
		for _, span := range d.Spans {
			if span.Engine == name {
				own = append(own, span)
			}
		}
		cells[i] = d.bins(own)
	}
	if len(cells) < 2 || len(cells[0]) < 2 {
		return nil // nothing to compare
	}
	p.Add(plotter.NewHeatMap(grid{cells}, shades{}))
	return nil
}

func (d *Day) plotVersions(p *plot.Plot) error {
	names := d.engines()
	// Engines of the same version are told apart by a fraction below one.
	var points plotter.XYs
	for _, seen := range d.Versions {
		at, _ := slices.BinarySearch(names, seen.Engine)
		points = append(points, plotter.XY{X: d.seconds(seen.At), Y: seen.Version + 0.8*float64(at)/float64(max(1, len(names)))})
	}
	return addScatter(p, points, blue)
}

func (d *Day) plotEvents(p *plot.Plot) error {
	count := func(times []time.Time) plotter.XYs {
		counts := map[int]float64{}
		for _, at := range times {
			counts[int(d.seconds(at)/secondsShown)]++
		}
		var points plotter.XYs
		for second, n := range counts {
			points = append(points, plotter.XY{X: float64(second) * secondsShown, Y: n})
		}
		slices.SortFunc(points, func(a, b plotter.XY) int { return int(a.X - b.X) })
		return points
	}
	if err := addScatter(p, count(d.Restarts), grey); err != nil {
		return err
	}
	return addScatter(p, count(d.Refused), red)
}
