package picture

import (
	"fmt"
	"strconv"
	"time"

	"gonum.org/v1/plot/vg/draw"

	"github.com/corkpulley/corkpulley/internal/report/timeline"
)

// Heights of panels with rows, in pixels, and their numbers of rows.
const (
	rowHeight         = 18
	thinRowHeight     = 7
	maxFullHeightRows = 60
	maxRows           = 160
	frameHeight       = 70
	minHeight         = 150
)

// rowsHeight returns the height in pixels of a panel with that many rows.
func rowsHeight(rows int) int {
	height := rowHeight
	if rows > maxFullHeightRows {
		height = thinRowHeight
	}
	return max(minHeight, frameHeight+rows*height)
}

// Styles of the marks on jobs.
var (
	takeoverMark      = glyph(draw.PyramidGlyph{}, black)
	refusedEndMark    = glyph(draw.CrossGlyph{}, red)
	refusedSubmitMark = glyph(draw.PlusGlyph{}, pink)
)

func jobsPicture(source *timeline.Timeline) func(*timeAxis) (Picture, error) {
	return func(axis *timeAxis) (Picture, error) {
		lanes := lanesOf(source.Jobs, source.Last)
		omitted := max(0, len(lanes)-maxRows)
		lanes = lanes[:len(lanes)-omitted]
		drawn := axis.newPanel("batch jobs by model", "", rowsHeight(len(lanes)))
		drawn.setRows(laneLabels(lanes))
		chart := &barChart{}
		for i, lane := range lanes {
			for _, job := range lane.jobs {
				chart.addJob(axis, job, rowPosition(i, len(lanes)), source.Last)
			}
		}
		drawn.plot.Add(chart)
		addJobLegend(&drawn)
		caption := "One bar per batch job, with the number of its step, from its submission to the accepted call for its end. " +
			"Rows with the same model hold jobs that overlap. A thin line shows time whose beginning or end is not in the logs."
		if omitted > 0 {
			caption += fmt.Sprintf(" %d further rows are not drawn.", omitted)
		}
		return render(Picture{Name: "jobs", Title: "Batch jobs", Caption: caption}, drawn)
	}
}

// laneLabels labels the first lane of each model.
func laneLabels(lanes []*lane) []string {
	labels := make([]string, len(lanes))
	for i, lane := range lanes {
		if i == 0 || lanes[i-1].model != lane.model {
			labels[i] = lane.model
		}
	}
	return labels
}

func addJobLegend(drawn *panel) {
	drawn.legend.Add("until its first item started", swatch{pale(blue)})
	drawn.legend.Add("from its first item to its end", swatch{blue})
	drawn.legend.Add("no first item in the logs", swatch{gray})
	drawn.legend.Add("run by a further leader", markSample{takeoverMark})
	drawn.legend.Add("first and last end refused", markSample{refusedEndMark})
	drawn.legend.Add("submission refused", markSample{refusedSubmitMark})
}

// addJob adds the bars and marks of one job.
func (c *barChart) addJob(axis *timeAxis, job *timeline.Job, row float64, last time.Time) {
	end := jobEnd(job, last)
	c.addBody(axis, job, row, end)
	if len(job.Accepted) > 1 {
		for _, at := range job.Accepted[1:] {
			c.marks = append(c.marks, mark{row: row, at: axis.at(at), style: takeoverMark})
		}
	}
	if job.EndsRefused > 0 {
		c.marks = append(c.marks,
			mark{row: row, at: axis.at(job.FirstEndRefused), style: refusedEndMark},
			mark{row: row, at: axis.at(job.LastEndRefused), style: refusedEndMark})
	}
	if job.SubmitsRefused > 0 {
		c.marks = append(c.marks, mark{row: row, at: axis.at(job.FirstSubmitAttempt), style: refusedSubmitMark})
	}
}

// stepLabel returns the job's step number, or "" if its submission is not in the logs.
func stepLabel(job *timeline.Job) string {
	if job.Model == "" {
		return ""
	}
	return strconv.FormatInt(job.Step, 10)
}

// addBody adds the job's bar, thin if its submission or its end is not in the logs.
func (c *barChart) addBody(axis *timeAxis, job *timeline.Job, row float64, end time.Time) {
	share := barShare
	if job.Submitted.IsZero() || job.EndRequested.IsZero() {
		share = thinBarShare
	}
	begin := job.First()
	if job.FirstStart.IsZero() {
		c.bars = append(c.bars, bar{row: row, from: axis.at(begin), to: axis.at(end), share: share, color: gray})
		return
	}
	c.bars = append(c.bars,
		bar{row: row, from: axis.at(begin), to: axis.at(job.FirstStart), share: share, color: pale(blue)},
		bar{row: row, from: axis.at(job.FirstStart), to: axis.at(end), share: share, color: blue, label: stepLabel(job)})
}
