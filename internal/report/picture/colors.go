package picture

import "image/color"

// A palette that color-blind readers can distinguish.
var (
	green  = color.RGBA{R: 0x00, G: 0x9e, B: 0x73, A: 0xff}
	blue   = color.RGBA{R: 0x00, G: 0x72, B: 0xb2, A: 0xff}
	red    = color.RGBA{R: 0xd5, G: 0x5e, B: 0x00, A: 0xff}
	orange = color.RGBA{R: 0xe6, G: 0x9f, B: 0x00, A: 0xff}
	sky    = color.RGBA{R: 0x56, G: 0xb4, B: 0xe9, A: 0xff}
	pink   = color.RGBA{R: 0xcc, G: 0x79, B: 0xa7, A: 0xff}
	yellow = color.RGBA{R: 0xd9, G: 0xce, B: 0x2a, A: 0xff}
	black  = color.RGBA{R: 0x22, G: 0x22, B: 0x22, A: 0xff}
	gray   = color.RGBA{R: 0x99, G: 0x99, B: 0x99, A: 0xff}
)

// seriesColors are assigned to series in order; further series get the last one.
var seriesColors = []color.RGBA{red, blue, orange, sky, pink, yellow, green, black, gray}

// pale returns the color mixed with white, one part to two.
func pale(strong color.RGBA) color.RGBA {
	mix := func(part uint8) uint8 { return uint8((int(part) + 2*0xff) / 3) }
	return color.RGBA{R: mix(strong.R), G: mix(strong.G), B: mix(strong.B), A: strong.A}
}
