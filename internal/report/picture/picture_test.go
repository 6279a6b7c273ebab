package picture

import (
	"bytes"
	"fmt"
	"image"
	"image/color"
	"image/png"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/corkpulley/corkpulley/internal/report/timeline"
)

// busyLines hold an event for each picture and a gap from 2 s to 7 s.
const busyLines = `
{"node":"n1","time":1000,"message":"node started"}
{"node":"n1","config":3,"time":1050,"message":"configuration in force"}
{"node":"n1","topic":"t","keys":3,"time":1100,"message":"first full read of the topic completed"}
{"node":"n1","epoch":1,"time":1200,"message":"leadership gained"}
{"node":"n1","job":"j1","model":"m","step":4,"items":8,"time":1300,"message":"job submitted"}
{"node":"n1","job":"j1","time":1310,"message":"job accepted by its runner"}
{"node":"n1","job":"j1","item":"i","time":1400,"message":"item started"}
{"node":"n1","id":"r1","verdict":"answered","time":2000,"message":"engine tried"}
{"node":"n1","id":"r1","status":200,"time":2000,"message":"request ended"}
{"node":"n1","id":"r2","kind":"no_capacity","time":4000,"message":"request refused"}
{"node":"n1","topic":"t","reachable":false,"time":4100,"message":"topic reachability changed"}
{"node":"n1","direct":false,"time":4200,"message":"switched between direct and relayed log calls"}
{"node":"n1","job":"j1","error":"log_unavailable","time":5000,"message":"job end requested"}
{"node":"n1","job":"j1","time":7000,"message":"job end requested"}
{"node":"n1","epoch":1,"time":9000,"message":"leadership lost"}
{"node":"n1","config":4,"time":9000,"message":"configuration in force"}
`

func read(t *testing.T, lines string) *timeline.Timeline {
	t.Helper()
	builder := timeline.NewBuilder(timeline.Options{MinimumGap: 3 * time.Second})
	assert.NilError(t, builder.Read("lines", strings.NewReader(lines)))
	built, err := builder.Timeline()
	assert.NilError(t, err)
	return built
}

func decode(t *testing.T, picture Picture) image.Image {
	t.Helper()
	decoded, err := png.Decode(bytes.NewReader(picture.PNG))
	assert.NilError(t, err, picture.Name)
	return decoded
}

// containsColor reports whether the data area has a pixel of the color.
func containsColor(drawn image.Image, wanted color.RGBA) bool {
	for y := drawn.Bounds().Min.Y; y < drawn.Bounds().Max.Y; y++ {
		for x := dataLeft; x < Width-legendWidth; x++ {
			if color.RGBAModel.Convert(drawn.At(x, y)) == wanted {
				return true
			}
		}
	}
	return false
}

// Guards against undecodable images, and images whose size differs from that in the page.
func TestEachPictureDecodesWithItsSize(t *testing.T) {
	for name, lines := range map[string]string{
		"busy": busyLines,
		"bare": `{"node":"n1","time":1000,"message":"nothing that is drawn"}`,
	} {
		pictures, err := All(read(t, lines))
		assert.NilError(t, err, name)
		assert.Equal(t, len(pictures), 7)
		for _, picture := range pictures {
			assert.DeepEqual(t, decode(t, picture).Bounds(), image.Rect(0, 0, Width, picture.Height))
		}
	}
}

// Guards against pictures that omit events of the timeline.
func TestEachPictureShowsItsEventsAndTheGap(t *testing.T) {
	pictures, err := All(read(t, busyLines))
	assert.NilError(t, err)
	shown := map[string][]color.RGBA{
		"jobs": {pale(blue), blue}, "requests": {green, red}, "tries": {green}, "leadership": {green},
		"contact": {red, orange}, "configurations": {blue}, "nodes": {blue},
	}
	for _, picture := range pictures {
		drawn := decode(t, picture)
		for _, wanted := range append(shown[picture.Name], gapColor) {
			assert.Assert(t, containsColor(drawn, wanted), "%s lacks %v", picture.Name, wanted)
		}
	}
}

// Guards against overlapping jobs drawn in one row, and against a row for each job.
func TestOverlappingJobsGetSeparateLanes(t *testing.T) {
	job := func(id, model string, from, to int64) timeline.Job {
		at := time.UnixMilli(from)
		return timeline.Job{ID: id, Model: model, FirstSubmitAttempt: at, Submitted: at, EndRequested: time.UnixMilli(to)}
	}
	lanes := lanesOf([]timeline.Job{
		job("a", "m", 1000, 2000), job("b", "m", 1500, 2500), job("c", "m", 2100, 2400), job("d", "other", 2200, 2300),
	}, time.UnixMilli(3000))
	var packed []string
	for _, lane := range lanes {
		ids := lane.model
		for _, job := range lane.jobs {
			ids += " " + job.ID
		}
		packed = append(packed, ids)
	}
	assert.DeepEqual(t, packed, []string{"m a c", "m b", "other d"})
}

// Guards against overlapping ticks and bars thinner than a pixel for long time spans.
func TestTicksAndBinsAreBoundedForAnySpan(t *testing.T) {
	for _, span := range []time.Duration{0, time.Second, time.Minute, time.Hour, 24 * time.Hour, 40 * 24 * time.Hour, 400 * 24 * time.Hour, 80000 * 24 * time.Hour} {
		last := time.UnixMilli(1000).Add(span)
		built := read(t, fmt.Sprintf(`{"node":"n","time":1000,"message":"request ended"}
{"node":"n","time":%d,"message":"request ended"}`, last.UnixMilli()))
		axis := newTimeAxis(built)
		assert.Assert(t, len(axis.Ticks(0, 0)) <= maxTicks+1, "%s", span)
		width, count := axis.bins(built.Requests)
		assert.Assert(t, count <= maxBins, "%s: %d bins", span, count)
		assert.Assert(t, width >= minBinWidth)
	}
}
