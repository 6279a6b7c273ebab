// Package picture draws a timeline as PNG images that share one time axis.
package picture

import (
	"bytes"

	"github.com/go-faster/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgimg"

	"github.com/corkpulley/corkpulley/internal/report/timeline"
)

// Sizes in pixels.
const (
	// Width is the width of every picture.
	Width       = 1280
	legendWidth = 220
	// dataLeft is where the time axis begins in every picture.
	dataLeft    = 220
	panelHeight = 190
	margin      = 12
	resolution  = 96
)

// Picture is one image of a timeline.
type Picture struct {
	// Name is the file name without its extension.
	Name    string
	Title   string
	Caption string
	// Height is the image's height in pixels.
	Height int
	PNG    []byte
}

// panel is a plot with its legend.
type panel struct {
	plot   *plot.Plot
	legend plot.Legend
	// height in pixels.
	height int
}

// All draws every picture of the timeline.
func All(timeline *timeline.Timeline) ([]Picture, error) {
	axis := newTimeAxis(timeline)
	var pictures []Picture
	for _, draw := range []func(*timeAxis) (Picture, error){
		jobsPicture(timeline), requestsPicture(timeline), triesPicture(timeline), leadershipPicture(timeline),
		contactPicture(timeline), configurationsPicture(timeline), nodesPicture(timeline),
	} {
		picture, err := draw(axis)
		if err != nil {
			return nil, errors.Wrapf(err, "draw %s", picture.Name)
		}
		pictures = append(pictures, picture)
	}
	return pictures, nil
}

func pixels(count int) vg.Length { return vg.Length(count) * vg.Inch / resolution }

// draw draws the plot, with its data area starting at dataLeft, and the legend to its right.
func (p *panel) draw(tile draw.Canvas) {
	area := draw.Crop(tile, pixels(margin), -pixels(legendWidth), 0, 0)
	area = draw.Crop(area, pixels(dataLeft)-p.plot.DataCanvas(area).Min.X, 0, 0, 0)
	p.plot.Draw(area)
	p.legend.Draw(draw.Crop(tile, pixels(Width-legendWidth+margin), 0, 0, -pixels(2*margin)))
}

// render draws the panels into the picture, from top to bottom.
func render(picture Picture, panels ...panel) (Picture, error) {
	for _, panel := range panels {
		picture.Height += panel.height
	}
	image := vgimg.NewWith(vgimg.UseWH(pixels(Width), pixels(picture.Height)), vgimg.UseDPI(resolution))
	canvas := draw.New(image)
	top := picture.Height
	for _, panel := range panels {
		tile := draw.Crop(canvas, 0, 0, pixels(top-panel.height), -pixels(picture.Height-top))
		panel.draw(tile)
		top -= panel.height
	}
	var encoded bytes.Buffer
	if _, err := (vgimg.PngCanvas{Canvas: image}).WriteTo(&encoded); err != nil {
		return picture, errors.Wrap(err, "encode the image")
	}
	picture.PNG = encoded.Bytes()
	return picture, nil
}
