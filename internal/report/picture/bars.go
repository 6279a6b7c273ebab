package picture

import (
	"image/color"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/text"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
)

const (
	// barShare and thinBarShare are the heights of bars as shares of their row's height.
	barShare     = 0.7
	thinBarShare = 0.12
	// minBarSize, minEdgedBarWidth and markRadius are in points. A bar narrower than minEdgedBarWidth has no edge line.
	minBarSize       = 1.5
	minEdgedBarWidth = 6
	markRadius       = 2.6
)

// bar is a time span on a row, which is a position on the value axis.
type bar struct {
	// label is drawn inside the bar if it fits.
	label    string
	row      float64
	from, to float64
	// share is the bar's height as a share of its row.
	share float64
	color color.Color
}

// mark is a point in time on a row.
type mark struct {
	row, at float64
	style   draw.GlyphStyle
}

// barChart draws bars and marks on rows, with row 0 at the bottom. It implements plot.Plotter.
type barChart struct {
	bars  []bar
	marks []mark
}

// Plot implements plot.Plotter.
func (c *barChart) Plot(canvas draw.Canvas, drawn *plot.Plot) {
	x, y := drawn.Transforms(&canvas)
	for _, bar := range c.bars {
		left, right := widenBar(x(bar.from), x(bar.to), canvas.Max.X)
		low, high := y(bar.row-bar.share/2), y(bar.row+bar.share/2)
		if high-low < vg.Points(minBarSize) {
			middle := (low + high) / 2
			low, high = middle-vg.Points(minBarSize)/2, middle+vg.Points(minBarSize)/2
		}
		canvas.FillPolygon(bar.color, canvas.ClipPolygonXY(rectangle(left, right, low, high)))
		if right-left >= vg.Points(minEdgedBarWidth) {
			canvas.StrokeLine2(edgeStyle, right, low, right, high)
		}
		drawBarLabel(canvas, bar.label, left, right, low, high)
	}
	for _, mark := range c.marks {
		canvas.DrawGlyphNoClip(mark.style, vg.Point{X: x(mark.at), Y: y(mark.row)})
	}
}

// widenBar widens a bar to at least minBarSize points, within the right end of the area.
func widenBar(left, right, end vg.Length) (vg.Length, vg.Length) {
	right = max(right, left+vg.Points(minBarSize))
	return min(left, end-vg.Points(minBarSize)), min(right, end)
}

// edgeStyle is the line that separates a bar from the next one.
var edgeStyle = draw.LineStyle{Color: color.White, Width: vg.Points(0.75)}

// drawBarLabel draws the label inside a bar if it fits.
func drawBarLabel(canvas draw.Canvas, label string, left, right, low, high vg.Length) {
	style := textStyle(labelSize, text.Style{Color: color.White, XAlign: draw.XCenter, YAlign: draw.YCenter, Handler: plot.DefaultTextHandler})
	if label == "" || style.Width(label)+vg.Points(2*markRadius) > right-left || style.Height(label) > high-low {
		return
	}
	canvas.FillText(style, vg.Point{X: (left + right) / 2, Y: (low + high) / 2}, label)
}

// band is a range of the time axis.
type band struct{ from, to float64 }

// bands shades ranges of the time axis over a panel's full height. It implements plot.Plotter.
type bands struct {
	ranges []band
	color  color.Color
}

// Plot implements plot.Plotter.
func (b *bands) Plot(canvas draw.Canvas, drawn *plot.Plot) {
	x, _ := drawn.Transforms(&canvas)
	for _, shaded := range b.ranges {
		canvas.FillPolygon(b.color, rectangle(x(shaded.from), x(shaded.to), canvas.Min.Y, canvas.Max.Y))
	}
}

func rectangle(left, right, low, high vg.Length) []vg.Point {
	return []vg.Point{{X: left, Y: low}, {X: right, Y: low}, {X: right, Y: high}, {X: left, Y: high}}
}

func glyph(shape draw.GlyphDrawer, fill color.Color) draw.GlyphStyle {
	return draw.GlyphStyle{Shape: shape, Color: fill, Radius: vg.Points(markRadius)}
}

// swatch is the legend entry of a color. It implements plot.Thumbnailer.
type swatch struct{ color color.Color }

// Thumbnail implements plot.Thumbnailer.
func (s swatch) Thumbnail(canvas *draw.Canvas) {
	canvas.FillPolygon(s.color, rectangle(canvas.Min.X, canvas.Max.X, canvas.Min.Y, canvas.Max.Y))
}

// markSample is the legend entry of a mark. It implements plot.Thumbnailer.
type markSample struct{ style draw.GlyphStyle }

// Thumbnail implements plot.Thumbnailer.
func (s markSample) Thumbnail(canvas *draw.Canvas) {
	canvas.DrawGlyphNoClip(s.style, canvas.Center())
}

// rowTicks returns ticks that label the rows, the first at the top.
func rowTicks(labels []string) plot.ConstantTicks {
	ticks := make(plot.ConstantTicks, 0, len(labels))
	for i, label := range labels {
		ticks = append(ticks, plot.Tick{Value: rowPosition(i, len(labels)), Label: shorten(label)})
	}
	return ticks
}

// rowPosition returns the position on the value axis of row i of count, the first at the top.
func rowPosition(i, count int) float64 { return float64(count - 1 - i) }

// setRows sets the panel's value axis to a row for each label.
func (p *panel) setRows(labels []string) {
	p.plot.Y.Min, p.plot.Y.Max = -0.6, float64(max(len(labels), 1))-0.4
	p.plot.Y.Tick.Marker = rowTicks(labels)
	p.plot.Y.Tick.Length = 0
	if len(labels) == 0 {
		p.markEmpty()
	}
}

// markEmpty notes in the title that there is nothing to draw.
func (p *panel) markEmpty() { p.plot.Title.Text += ": none in these logs" }

// maxLabel is the maximum length of a label in characters.
const maxLabel = 32

// shorten removes the middle of a long label, as similar names often differ only at their ends.
func shorten(label string) string {
	runes := []rune(label)
	if len(runes) <= maxLabel {
		return label
	}
	head := maxLabel / 2
	return string(runes[:head]) + "…" + string(runes[len(runes)-(maxLabel-head-1):])
}
