package policy

import (
	"slices"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	_ "github.com/corkpulley/corkpulley/internal/common/fixedseed"
)

const sampleHeader = "service,kind,pool,model,version,priority,share,staleness,cap,repeatable,zones,floor\n"

func TestParseCSVAcceptsSpreadsheetExports(t *testing.T) {
	text := "\uFEFF# revision 7,,,,,,,,,,,\r\n" +
		"\r\n" +
		"Kind,service,pool,model,version,priority,share,staleness,cap,repeatable,zones,floor,\r\n" +
		",,,,,,,,,,,,\r\n" +
		"trainer, drafts ,replies,salmon,Latest,3,10,2,40,YES,galway; westport,50,\r\n" +
		"live,\"desk\",permits,base,12,9,1,-,-,no,*,0,\r\n"
	rows, problems := ParseCSV(text)
	assert.Equal(t, len(problems), 0, "%v", problems)
	assert.DeepEqual(t, rows, []Row{
		{
			Service: "desk", Kind: KindLive, Pool: "permits", Model: "base", Version: 12,
			Priority: 9, Share: 1, Staleness: -1,
		},
		{
			Service: "drafts", Kind: KindTrainer, Pool: "replies", Model: "salmon", Priority: 3, Share: 10,
			Staleness: 2, Cap: 40, Repeatable: true, Zones: []string{"galway", "westport"}, Floor: 50,
		},
	})
	revision, found := ParseRevisionComment(text)
	assert.Assert(t, found)
	assert.Equal(t, revision, int64(7))
}

func TestParseCSVReportsAllProblems(t *testing.T) {
	text := sampleHeader +
		"good,live,p,m,latest,0,1,-,-,yes,*,0\n" +
		"Bad_Name,neither,,m,0,10,0,-2,0,maybe,a;a,101\n" +
		"good,trainer,p,m,1,1,1,-,1,no,a;;b,1,extra\n" +
		"broken,\"live\"x,p\n" +
		"short,live\n"
	rows, problems := ParseCSV(text)
	assert.Equal(t, len(rows), 0)
	var found []string
	for _, problem := range problems {
		assert.Assert(t, problem.Expected != "")
		// One i for each line, so that the problems sort by line.
		found = append(found, strings.Repeat("i", problem.Line)+":"+problem.Column+":"+problem.Value)
	}
	slices.Sort(found)
	wanted := []string{
		// Line 3.
		"iii:cap:0", "iii:floor:101", "iii:kind:neither", "iii:pool:", "iii:priority:10", "iii:repeatable:maybe",
		"iii:service:Bad_Name", "iii:share:0", "iii:staleness:-2", "iii:version:0", "iii:zones:a;a",
		// Line 4: a trainer must have a bound and be repeatable; duplicate service.
		"iiii::extra", "iiii:repeatable:no", "iiii:service:good", "iiii:staleness:-", "iiii:zones:a;;b",
		// Line 5 is malformed CSV; line 6 lacks ten cells.
		"iiiii::",
		"iiiiii:cap:", "iiiiii:floor:", "iiiiii:model:", "iiiiii:pool:", "iiiiii:priority:", "iiiiii:repeatable:",
		"iiiiii:share:", "iiiiii:staleness:", "iiiiii:version:", "iiiiii:zones:",
	}
	slices.Sort(wanted)
	assert.DeepEqual(t, found, wanted)
}

func TestParseCSVRejectsInvalidHeader(t *testing.T) {
	for name, text := range map[string]string{
		"empty":      "\r\n\r\n",
		"semicolons": strings.ReplaceAll(sampleHeader, ",", ";"),
		"missing":    strings.Replace(sampleHeader, ",floor", "", 1),
		"unknown":    strings.Replace(sampleHeader, "floor", "floor,ceiling", 1),
		"twice":      strings.Replace(sampleHeader, "floor", "floor,cap", 1),
		"broken":     "\"" + sampleHeader,
	} {
		t.Run(name, func(t *testing.T) {
			_, problems := ParseCSV(text)
			assert.Equal(t, len(problems), 1, "%v", problems)
		})
	}
}

func TestFormatCSVRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rows := rowsGenerator().Draw(t, "rows")
		parsed, problems := ParseCSV(FormatRevisionComment(3) + FormatCSV(rows))
		assert.Equal(t, len(problems), 0, "%v", problems)
		assert.Equal(t, len(Validate(rows)), 0)
		assert.Equal(t, len(Diff(rows, parsed)), 0)
	})
}

// rowsGenerator generates valid tables of up to five services.
func rowsGenerator() *rapid.Generator[[]Row] {
	return rapid.SliceOfNDistinct(rowGenerator(), 0, 5, func(row Row) string { return row.Service })
}

func rowGenerator() *rapid.Generator[Row] {
	return rapid.Custom(func(t *rapid.T) Row {
		row := Row{
			Service:    rapid.SampledFrom([]string{"a", "b", "c-1", "d", "e"}).Draw(t, "service"),
			Kind:       rapid.SampledFrom([]ServiceKind{KindLive, KindTrainer}).Draw(t, "kind"),
			Pool:       rapid.SampledFrom([]string{"p", "q"}).Draw(t, "pool"),
			Model:      "m",
			Version:    rapid.Uint64().Draw(t, "version"),
			Priority:   rapid.IntRange(0, MaxPriority).Draw(t, "priority"),
			Share:      rapid.IntRange(MinShare, MaxShare).Draw(t, "share"),
			Cap:        rapid.IntRange(0, MaxCap).Draw(t, "cap"),
			Repeatable: rapid.Bool().Draw(t, "repeatable"),
			Zones:      rapid.SampledFrom([][]string{nil, {"x"}, {"y", "x"}}).Draw(t, "zones"),
			Floor:      rapid.IntRange(0, MaxFloor).Draw(t, "floor"),
		}
		row.Repeatable = row.Repeatable || row.Kind == KindTrainer
		row.Staleness = rapid.IntRange(minStaleness(row.Kind), MaxStaleness).Draw(t, "staleness")
		return row
	})
}
