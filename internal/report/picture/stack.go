package picture

import (
	"fmt"
	"image/color"
	"time"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/vg/draw"

	"github.com/corkpulley/corkpulley/internal/report/timeline"
)

const (
	maxBins     = 240 // per panel
	minBinWidth = time.Second
	// maxSeries bounds the series of a panel; the rarest ones are merged into the last.
	maxSeries = 9
	// headroomFactor is the ratio of the value axis to the highest bar.
	headroomFactor = 1.08
)

// series holds a rate per bin.
type series struct {
	name  string
	color color.Color
	rates []float64
	total int
}

// stack draws series as stacked bars. It implements plot.Plotter.
type stack struct {
	binWidth float64
	series   []series
}

// Plot implements plot.Plotter.
func (s *stack) Plot(canvas draw.Canvas, drawn *plot.Plot) {
	x, y := drawn.Transforms(&canvas)
	below := s.emptyBins()
	for _, layer := range s.series {
		for bin, rate := range layer.rates {
			if rate == 0 {
				continue
			}
			left, right := float64(bin)*s.binWidth, float64(bin+1)*s.binWidth
			bar := rectangle(x(left), x(right), y(below[bin]), y(below[bin]+rate))
			canvas.FillPolygon(layer.color, canvas.ClipPolygonXY(bar))
			below[bin] += rate
		}
	}
}

func (s *stack) emptyBins() []float64 {
	if len(s.series) == 0 {
		return nil
	}
	return make([]float64, len(s.series[0].rates))
}

// highest returns the height of the highest bar.
func (s *stack) highest() float64 {
	sums, highest := s.emptyBins(), 0.0
	for _, layer := range s.series {
		for bin, rate := range layer.rates {
			sums[bin] += rate
			highest = max(highest, sums[bin])
		}
	}
	return highest
}

// bins returns the width and number of the bins for drawing the rates over the axis.
func (a *timeAxis) bins(rates *timeline.Rates) (time.Duration, int) {
	bucket := rates.Width()
	minWidth := max(minBinWidth, a.span/maxBins+1)
	width := (minWidth + bucket - 1) / bucket * bucket
	return width, int(a.span/width) + 1
}

// stackOf returns the rates of the labels, with series beyond maxSeries merged. Labels without events are omitted.
func (a *timeAxis) stackOf(rates *timeline.Rates, labels []string, colors []color.RGBA) *stack {
	width, count := a.bins(rates)
	stacked := &stack{binWidth: width.Seconds()}
	for _, label := range labels {
		total := rates.Total(label)
		if total == 0 {
			continue
		}
		values := rates.PerSecond(label, a.first, width, count)
		if len(stacked.series) == maxSeries {
			stacked.series[maxSeries-1].merge(values, total)
			continue
		}
		fill := colors[min(len(stacked.series), len(colors)-1)]
		stacked.series = append(stacked.series, series{name: label, color: fill, rates: values, total: total})
	}
	return stacked
}

func (s *series) merge(rates []float64, total int) {
	s.name = "others"
	s.total += total
	for bin, rate := range rates {
		s.rates[bin] += rate
	}
}

// ratePanel returns a panel with the rates of the labels.
func (a *timeAxis) ratePanel(title string, rates *timeline.Rates, labels []string, colors []color.RGBA) panel {
	drawn := a.newPanel(title, "per second", panelHeight)
	stacked := a.stackOf(rates, labels, colors)
	drawn.plot.Add(stacked)
	drawn.plot.Y.Min, drawn.plot.Y.Max = 0, stacked.highest()*headroomFactor
	drawn.plot.Y.Tick.Marker = plot.TickerFunc(rateTicks)
	if len(stacked.series) == 0 {
		drawn.plot.Y.Max = 1
		drawn.markEmpty()
	}
	for _, layer := range stacked.series {
		drawn.legend.Add(fmt.Sprintf("%s (%d)", shorten(layer.name), layer.total), swatch{layer.color})
	}
	return drawn
}
