package docscheck

import (
	"fmt"
	"maps"
	"os"
	"path/filepath"
	"reflect"
	"slices"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/corkpulley/corkpulley/internal/core/errkind"
	"github.com/corkpulley/corkpulley/internal/core/policy"
	"github.com/corkpulley/corkpulley/internal/settings"
)

func readPage(t *testing.T, name string) string {
	t.Helper()
	text, err := os.ReadFile(filepath.Join("..", "..", "docs", name))
	assert.NilError(t, err)
	return string(text)
}

// tableRows returns the cells of each row of the Markdown tables whose header starts with the given cells.
func tableRows(t *testing.T, page string, header ...string) [][]string {
	t.Helper()
	var rows [][]string
	inside := false
	for line := range strings.Lines(page) {
		cells := splitRow(line)
		switch {
		case len(cells) >= len(header) && slices.Equal(cells[:len(header)], header):
			inside = true
		case len(cells) == 0:
			inside = false
		case inside && !strings.HasPrefix(cells[0], "---"):
			rows = append(rows, cells)
		}
	}
	assert.Assert(t, len(rows) > 0, "no table with the header %q", header)
	return rows
}

func splitRow(line string) []string {
	line = strings.TrimSpace(line)
	if !strings.HasPrefix(line, "|") {
		return nil
	}
	var cells []string
	for cell := range strings.SplitSeq(strings.Trim(line, "|"), "|") {
		cells = append(cells, strings.Trim(strings.TrimSpace(cell), "`"))
	}
	return cells
}

func firstCells(rows [][]string) []string {
	var first []string
	for _, row := range rows {
		first = append(first, row[0])
	}
	return first
}

// settingsKeys returns the TOML keys of a section, such as "node.id".
func settingsKeys(section reflect.Type, prefix string) []string {
	var keys []string
	for field := range section.Fields() {
		key := prefix + field.Tag.Get("toml")
		if field.Type.Kind() == reflect.Struct {
			keys = append(keys, settingsKeys(field.Type, key+".")...)
		} else {
			keys = append(keys, key)
		}
	}
	return keys
}

func TestConfigPageListsEachSetting(t *testing.T) {
	rows := tableRows(t, readPage(t, "CONFIG.md"), "key", "flag")
	assert.DeepEqual(t, firstCells(rows), settingsKeys(reflect.TypeFor[settings.Settings](), ""))
}

// defaults returns the default of each key that has one, formatted as in the page.
func defaults(section reflect.Value, prefix string) map[string]string {
	found := make(map[string]string)
	for field, value := range section.Fields() {
		key := prefix + field.Tag.Get("toml")
		switch {
		case value.Kind() == reflect.Struct:
			maps.Copy(found, defaults(value, key+"."))
		case value.IsZero():
		case value.Type() == reflect.TypeFor[settings.Duration]():
			found[key] = time.Duration(value.Int()).String()
		default:
			found[key] = fmt.Sprint(value.Interface())
		}
	}
	return found
}

func TestConfigPageListsEachDefault(t *testing.T) {
	const defaultCell = 3
	documented := make(map[string]string)
	actual := defaults(reflect.ValueOf(settings.Default()), "")
	for _, row := range tableRows(t, readPage(t, "CONFIG.md"), "key", "flag", "range", "default") {
		if _, known := actual[row[0]]; !known {
			continue // the cell explains what applies if the key is not set
		}
		documented[row[0]] = row[defaultCell]
		if duration, err := time.ParseDuration(row[defaultCell]); err == nil {
			documented[row[0]] = duration.String()
		}
	}
	assert.DeepEqual(t, documented, actual)
}

func TestConfigPageListsEachFlag(t *testing.T) {
	page := readPage(t, "CONFIG.md")
	for field := range reflect.TypeFor[settings.Flags]().Fields() {
		flag, _, _ := strings.Cut(field.Tag.Get("arg"), ",")
		assert.Assert(t, strings.Contains(page, "`"+flag+"`") || strings.Contains(page, "`"+flag+" "), flag)
	}
}

func TestConfigPageListsEachTableColumn(t *testing.T) {
	rows := tableRows(t, readPage(t, "CONFIG.md"), "column", "range")
	assert.DeepEqual(t, firstCells(rows), policy.Columns)
}

// Guards against an error whose code, HTTP status or execution state differs from the page.
func TestOperationsPageListsEachErrorCode(t *testing.T) {
	var documented []string
	for _, row := range tableRows(t, readPage(t, "OPERATIONS.md"), "code", "status", "ran") {
		documented = append(documented, strings.Join(row[:3], " "))
	}
	var actual []string
	for _, kind := range errkind.All() {
		answer := kind.Response()
		actual = append(actual, fmt.Sprintf("%s %d %s", answer.Code, answer.Status, answer.Execution))
	}
	slices.Sort(documented)
	slices.Sort(actual)
	assert.DeepEqual(t, documented, actual)
}

func TestSampleTableIsValid(t *testing.T) {
	text, err := os.ReadFile(filepath.Join("..", "..", "examples", "table.csv"))
	assert.NilError(t, err)
	_, problems := policy.ParseCSV(string(text))
	assert.Equal(t, len(problems), 0, "%v", problems)
}
