package picture

import (
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/vg/draw"

	"github.com/corkpulley/corkpulley/internal/report/timeline"
)

// maxVersionRows bounds the height of the versions panel, in rows.
const maxVersionRows = 10

// startupReadMark marks the first and last node that read a version after its start.
var startupReadMark = glyph(draw.RingGlyph{}, orange)

func configurationsPicture(source *timeline.Timeline) func(*timeAxis) (Picture, error) {
	return func(axis *timeAxis) (Picture, error) {
		drawn := axis.newPanel("configuration versions coming into force", "version", rowsHeight(min(len(source.Versions), maxVersionRows)))
		chart := &barChart{}
		for i := range source.Versions {
			chart.addVersion(axis, &source.Versions[i])
		}
		drawn.plot.Add(chart)
		drawn.plot.Y.Min, drawn.plot.Y.Max = versionRange(source.Versions)
		drawn.plot.Y.Tick.Marker = plot.TickerFunc(integerTicks)
		if len(source.Versions) == 0 {
			drawn.markEmpty()
		}
		drawn.legend.Add("first to last running node", swatch{blue})
		drawn.legend.Add("read at a node's start", markSample{startupReadMark})
		return render(Picture{
			Name: "configurations", Title: "Configuration versions",
			Caption: "A bar goes from the first to the last running node that put the version in force. Rings are the first and the last node " +
				"that read it after their start, which is no delay.",
		}, drawn)
	}
}

func (c *barChart) addVersion(axis *timeAxis, version *timeline.Version) {
	row := float64(version.Number)
	if running := version.Running; running.Nodes > 0 {
		c.bars = append(c.bars, bar{row: row, from: axis.at(running.First), to: axis.at(running.Last), share: barShare / 2, color: blue})
	}
	if starting := version.Starting; starting.Nodes > 0 {
		c.marks = append(c.marks,
			mark{row: row, at: axis.at(starting.First), style: startupReadMark},
			mark{row: row, at: axis.at(starting.Last), style: startupReadMark})
	}
}

func versionRange(versions []timeline.Version) (low, high float64) {
	if len(versions) == 0 {
		return 0, 1
	}
	return float64(versions[0].Number) - 1, float64(versions[len(versions)-1].Number) + 1
}
