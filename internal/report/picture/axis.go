package picture

import (
	"image/color"
	"time"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/font"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/text"
	"gonum.org/v1/plot/vg"

	"github.com/corkpulley/corkpulley/internal/report/timeline"
)

const (
	// maxTicks bounds the labeled ticks of the time axis.
	maxTicks    = 12
	clockLayout = "15:04:05"
	hourLayout  = "01-02 15:04"
	dayLayout   = "2006-01-02"
	// minSpan keeps an axis drawable when all lines have the same time.
	minSpan = time.Second

	// Font sizes in points.
	titleSize  = 11
	labelSize  = 9
	legendSize = 8
)

// tickSteps are the possible distances between ticks, ascending.
var tickSteps = []time.Duration{
	time.Second, 2 * time.Second, 5 * time.Second, 10 * time.Second, 30 * time.Second,
	time.Minute, 2 * time.Minute, 5 * time.Minute, 10 * time.Minute, 30 * time.Minute,
	time.Hour, 2 * time.Hour, 6 * time.Hour, 12 * time.Hour, 24 * time.Hour, 7 * 24 * time.Hour, 30 * 24 * time.Hour,
	365 * 24 * time.Hour, 10 * 365 * 24 * time.Hour, 50 * 365 * 24 * time.Hour,
}

// timeAxis maps times to seconds since the timeline's first line.
type timeAxis struct {
	first time.Time
	span  time.Duration
	gaps  *bands
}

func newTimeAxis(shown *timeline.Timeline) *timeAxis {
	axis := &timeAxis{first: shown.First, span: max(shown.Span(), minSpan)}
	axis.gaps = &bands{color: gapColor}
	for _, gap := range shown.Gaps {
		axis.gaps.ranges = append(axis.gaps.ranges, band{from: axis.at(gap.From), to: axis.at(gap.To)})
	}
	return axis
}

// at returns the position of a time, clamped to the ends of the axis.
func (a *timeAxis) at(at time.Time) float64 {
	return min(max(at.Sub(a.first), 0), a.span).Seconds()
}

// Ticks implements plot.Ticker with clock times in UTC.
func (a *timeAxis) Ticks(_, _ float64) []plot.Tick {
	step := tickSteps[len(tickSteps)-1]
	for _, candidate := range tickSteps {
		if a.span/candidate < maxTicks {
			step = candidate
			break
		}
	}
	layout := clockLayout
	switch {
	case step >= 24*time.Hour:
		layout = dayLayout
	case step >= 2*time.Hour:
		layout = hourLayout
	}
	var ticks []plot.Tick
	first := a.first.UTC()
	for at := first.Truncate(step); !at.After(first.Add(a.span)); at = at.Add(step) {
		if !at.Before(first) {
			ticks = append(ticks, plot.Tick{Value: a.at(at), Label: at.Format(layout)})
		}
	}
	return ticks
}

func textStyle(size float64, base text.Style) text.Style {
	base.Font = font.From(font.Font{Typeface: "Liberation", Variant: "Sans"}, vg.Points(size))
	return base
}

// newPanel returns an empty panel over the whole time axis.
func (a *timeAxis) newPanel(title, valueLabel string, height int) panel {
	drawn := plot.New()
	drawn.Title.Text = title
	drawn.Title.TextStyle = textStyle(titleSize, drawn.Title.TextStyle)
	drawn.Title.Padding = vg.Points(3)
	drawn.X.Tick.Marker = a
	drawn.X.Padding = 0
	drawn.Y.Padding = 0
	drawn.Y.Label.Text = valueLabel
	for _, axis := range []*plot.Axis{&drawn.X, &drawn.Y} {
		axis.Label.TextStyle = textStyle(labelSize, axis.Label.TextStyle)
		axis.Tick.Label = textStyle(labelSize, axis.Tick.Label)
	}
	grid := plotter.NewGrid()
	grid.Horizontal.Color, grid.Vertical.Color = gridColor, gridColor
	drawn.Add(a.gaps, grid)
	legend := plot.NewLegend()
	legend.Top, legend.Left = true, true
	legend.ThumbnailWidth = vg.Points(12)
	legend.TextStyle = textStyle(legendSize, legend.TextStyle)
	legend.Padding = vg.Points(2)
	if len(a.gaps.ranges) > 0 {
		legend.Add("gap: no progress", swatch{gapColor})
	}
	drawn.X.Min, drawn.X.Max = 0, a.span.Seconds()
	return panel{plot: drawn, legend: legend, height: height}
}

var (
	gridColor = color.Gray{Y: 215}
	gapColor  = color.RGBA{R: 0xfb, G: 0xe3, B: 0xe0, A: 0xff}
)
