package report

import (
	"bytes"
	_ "embed"
	"encoding/base64"
	"fmt"
	"html/template"
	"slices"
	"strings"
	"time"

	"github.com/go-faster/errors"

	"github.com/corkpulley/corkpulley/internal/report/picture"
	"github.com/corkpulley/corkpulley/internal/report/timeline"
)

const (
	timestampLayout = "2006-01-02 15:04:05.000"
	// maxTableRows bounds the rows of each table except the totals.
	maxTableRows = 50
)

//go:embed page.html.tmpl
var pageText string

var pageTemplate = template.Must(template.New("page").Funcs(template.FuncMap{
	"stamp": formatTime,
	"seconds": func(duration time.Duration) string {
		return fmt.Sprintf("%.3f s", duration.Seconds())
	},
	"inline": func(image picture.Picture) template.URL {
		return template.URL("data:image/png;base64," + base64.StdEncoding.EncodeToString(image.PNG))
	},
	"width": func() int { return picture.Width },
}).Parse(pageText))

// page is the template's input.
type page struct {
	Timeline *timeline.Timeline
	Totals   []totalRow
	Pictures []picture.Picture
	// Takeovers, Versions and Unreadable hold at most Shown rows.
	Takeovers  []timeline.Takeover
	Versions   []timeline.Version
	Unreadable []timeline.Source
	Shown      int
}

// totalRow is a row of the totals table.
type totalRow struct{ Name, Value string }

func renderPage(built *timeline.Timeline, pictures []picture.Picture) ([]byte, error) {
	unreadable := slices.DeleteFunc(slices.Clone(built.Sources), func(source timeline.Source) bool {
		return source.Unreadable == 0
	})
	shown := page{
		Timeline: built, Totals: totalRows(Sum(built)), Pictures: pictures,
		Takeovers: firstRows(built.Takeovers), Versions: firstRows(built.Versions), Unreadable: firstRows(unreadable),
		Shown: maxTableRows,
	}
	var written bytes.Buffer
	if err := pageTemplate.Execute(&written, shown); err != nil {
		return nil, errors.Wrap(err, "render the page")
	}
	return written.Bytes(), nil
}

func firstRows[Row any](rows []Row) []Row { return rows[:min(len(rows), maxTableRows)] }

func formatTime(at time.Time) string {
	if at.IsZero() {
		return "-"
	}
	return at.UTC().Format(timestampLayout)
}

func totalRows(totals Totals) []totalRow {
	lines, jobs := totals.Lines, totals.Jobs
	return []totalRow{
		{"nodes", fmt.Sprint(totals.Nodes)},
		{"lines read", fmt.Sprintf("%d, %d unreadable, %d out of range, %d suppressed by the nodes",
			lines.Read, lines.Unreadable, lines.OutOfRange, lines.Suppressed)},
		{"events omitted because a list was full", fmt.Sprint(lines.Omitted)},
		{"requests", listCounts(totals.Requests)},
		{"engine tries", listCounts(totals.Tries)},
		{"batch jobs", fmt.Sprintf("%d named, %d submitted, %d ended; %d submissions and %d ends refused; %d items finished",
			jobs.Named, jobs.Submitted, jobs.Ended, jobs.SubmitsRefused, jobs.EndsRefused, jobs.ItemsFinished)},
		{"leadership", fmt.Sprintf("%d terms, %d takeovers", totals.Terms, totals.TakeoverCount)},
		{"contact with the log", listCounts(totals.Contact)},
		{"topics read in full", fmt.Sprint(totals.TopicReads)},
		{"configuration versions", fmt.Sprint(totals.Versions)},
		{"processes", listCounts(totals.Processes)},
		{"gaps", fmt.Sprintf("%d, the longest %.3f s", totals.Gaps, totals.LongestGap)},
	}
}

// listCounts formats the counts, the largest first.
func listCounts(counted map[string]int) string {
	var parts []string
	for _, label := range labelsByCount(counted) {
		parts = append(parts, fmt.Sprintf("%d %s", counted[label], label))
	}
	if len(parts) == 0 {
		return "none"
	}
	return strings.Join(parts, ", ")
}
