package picture

import (
	"image/color"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/text"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
)

// Sizes of bars and marks.
const (
	barShare  = 0.7
	minBar    = 1.5 // points
	minEdged  = 6   // points
	markSize  = 2.6 // points
	thinShare = 0.12
)

// span is one bar, on the row given by its place on the value axis.
type span struct {
	// label is written into the bar where it fits.
	label    string
	row      float64
	from, to float64
	// share is the bar's height as a share of its row.
	share float64
	color color.Color
}

// mark is one point in time on a row.
type mark struct {
	row, at float64
	style   draw.GlyphStyle
}

// spans draws bars and marks on rows; row 0 is at the bottom. It implements plot.Plotter.
type spans struct {
	bars  []span
	marks []mark
}

// Plot implements plot.Plotter.
func (s *spans) Plot(canvas draw.Canvas, drawn *plot.Plot) {
	x, y := drawn.Transforms(&canvas)
	for _, bar := range s.bars {
		left, right := visible(x(bar.from), x(bar.to), canvas.Max.X)
		low, high := y(bar.row-bar.share/2), y(bar.row+bar.share/2)
		if high-low < vg.Points(minBar) {
			middle := (low + high) / 2
			low, high = middle-vg.Points(minBar)/2, middle+vg.Points(minBar)/2
		}
		canvas.FillPolygon(bar.color, canvas.ClipPolygonXY(rectangle(left, right, low, high)))
		if right-left >= vg.Points(minEdged) {
			canvas.StrokeLine2(edgeStyle, right, low, right, high)
		}
		writeInto(canvas, bar.label, left, right, low, high)
	}
	for _, mark := range s.marks {
		canvas.DrawGlyphNoClip(mark.style, vg.Point{X: x(mark.at), Y: y(mark.row)})
	}
}

// visible widens a bar to minBar, within the right end of the area.
func visible(left, right, end vg.Length) (vg.Length, vg.Length) {
	right = max(right, left+vg.Points(minBar))
	return min(left, end-vg.Points(minBar)), min(right, end)
}

// edgeStyle separates a bar from the next one.
var edgeStyle = draw.LineStyle{Color: color.White, Width: vg.Points(0.75)}

// writeInto writes the text into a bar if it fits.
func writeInto(canvas draw.Canvas, label string, left, right, low, high vg.Length) {
	style := textStyle(labelSize, text.Style{Color: color.White, XAlign: draw.XCenter, YAlign: draw.YCenter, Handler: plot.DefaultTextHandler})
	if label == "" || style.Width(label)+vg.Points(2*markSize) > right-left || style.Height(label) > high-low {
		return
	}
	canvas.FillText(style, vg.Point{X: (left + right) / 2, Y: (low + high) / 2}, label)
}

// band is a stretch of the time axis.
type band struct{ from, to float64 }

// bands shades stretches of the time axis over a panel's whole height; it implements plot.Plotter.
type bands struct {
	ranges []band
	color  color.Color
}

// Plot implements plot.Plotter.
func (b *bands) Plot(canvas draw.Canvas, drawn *plot.Plot) {
	x, _ := drawn.Transforms(&canvas)
	for _, each := range b.ranges {
		canvas.FillPolygon(b.color, rectangle(x(each.from), x(each.to), canvas.Min.Y, canvas.Max.Y))
	}
}

func rectangle(left, right, low, high vg.Length) []vg.Point {
	return []vg.Point{{X: left, Y: low}, {X: right, Y: low}, {X: right, Y: high}, {X: left, Y: high}}
}

func glyph(shape draw.GlyphDrawer, in color.Color) draw.GlyphStyle {
	return draw.GlyphStyle{Shape: shape, Color: in, Radius: vg.Points(markSize)}
}

// swatch is a legend's sample of a color; it implements plot.Thumbnailer.
type swatch struct{ color color.Color }

// Thumbnail implements plot.Thumbnailer.
func (s swatch) Thumbnail(canvas *draw.Canvas) {
	canvas.FillPolygon(s.color, rectangle(canvas.Min.X, canvas.Max.X, canvas.Min.Y, canvas.Max.Y))
}

// markSample is a legend's sample of a mark; it implements plot.Thumbnailer.
type markSample struct{ style draw.GlyphStyle }

// Thumbnail implements plot.Thumbnailer.
func (s markSample) Thumbnail(canvas *draw.Canvas) {
	canvas.DrawGlyphNoClip(s.style, canvas.Center())
}

// rowTicks labels rows, the first at the top.
func rowTicks(labels []string) plot.ConstantTicks {
	ticks := make(plot.ConstantTicks, 0, len(labels))
	for i, label := range labels {
		ticks = append(ticks, plot.Tick{Value: rowPlace(i, len(labels)), Label: shorten(label)})
	}
	return ticks
}

// rowPlace returns the place on the value axis of row i of count, the first at the top.
func rowPlace(i, count int) float64 { return float64(count - 1 - i) }

// showRows sets the panel's value axis to count rows.
func (p *panel) showRows(labels []string) {
	p.plot.Y.Min, p.plot.Y.Max = -0.6, float64(max(len(labels), 1))-0.4
	p.plot.Y.Tick.Marker = rowTicks(labels)
	p.plot.Y.Tick.Length = 0
	if len(labels) == 0 {
		p.noteNone()
	}
}

// noteNone says in the title that there is nothing to draw.
func (p *panel) noteNone() { p.plot.Title.Text += ": none in these logs" }

// maxLabel bounds a label's characters.
const maxLabel = 32

// shorten cuts a label in its middle, since names alike often differ at their ends.
func shorten(label string) string {
	letters := []rune(label)
	if len(letters) <= maxLabel {
		return label
	}
	head := maxLabel / 2
	return string(letters[:head]) + "…" + string(letters[len(letters)-(maxLabel-head-1):])
}
