package picture

import (
	"cmp"
	"fmt"
	"slices"

	"github.com/corkpulley/corkpulley/internal/report/timeline"
)

func leadershipPicture(source *timeline.Timeline) func(*timeAxis) (Picture, error) {
	return func(axis *timeAxis) (Picture, error) {
		rows := leaderRows(source.Terms)
		omitted := max(0, len(rows)-maxRows)
		rows = rows[:len(rows)-omitted]
		drawn := axis.newPanel("leadership by node", "", rowsHeight(len(rows)))
		drawn.setRows(rows)
		drawn.plot.Add(termBars(axis, source.Terms, rows))
		drawn.legend.Add("led", swatch{green})
		drawn.legend.Add("led; the end is not logged", swatch{pale(green)})
		caption := "From a node's line that it gained the leadership to its line that it lost or released it. Where that is missing, the bar " +
			"ends at the node's next start or stop, the next leader's first line, or the end of the logs. Names in brackets are the home " +
			"regions to whose jobs the leadership is bound."
		if omitted > 0 {
			caption += fmt.Sprintf(" %d further rows are not drawn.", omitted)
		}
		return render(Picture{Name: "leadership", Title: "Leadership", Caption: caption}, drawn)
	}
}

// rowOf returns the label of a term's row.
func rowOf(term timeline.Term) string {
	if term.Scope == timeline.Everywhere {
		return term.Node
	}
	return fmt.Sprintf("%s [%s]", term.Node, term.Scope)
}

// leaderRows returns the row labels, those of the scope Everywhere first, each scope's in order of the first term.
func leaderRows(terms []timeline.Term) []string {
	ordered := slices.Clone(terms)
	slices.SortStableFunc(ordered, func(a, b timeline.Term) int {
		return cmp.Or(scopeOrder(a.Scope)-scopeOrder(b.Scope), cmp.Compare(a.Scope, b.Scope))
	})
	var rows []string
	for _, term := range ordered {
		if row := rowOf(term); !slices.Contains(rows, row) {
			rows = append(rows, row)
		}
	}
	return rows
}

func scopeOrder(scope string) int {
	if scope == timeline.Everywhere {
		return 0
	}
	return 1
}

func termBars(axis *timeAxis, terms []timeline.Term, rows []string) *barChart {
	chart := &barChart{}
	for _, term := range terms {
		row := slices.Index(rows, rowOf(term))
		if row < 0 {
			continue
		}
		fill := green
		if term.EndKnownBy != timeline.EndLogged {
			fill = pale(green)
		}
		chart.bars = append(chart.bars, bar{
			row: rowPosition(row, len(rows)), from: axis.at(term.From), to: axis.at(term.To), share: barShare, color: fill,
		})
	}
	return chart
}
