package hosted

import (
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"testing"

	"github.com/prometheus/client_golang/prometheus"
	"gotest.tools/v3/assert"
)

var (
	metricName     = regexp.MustCompile(`fqName: "(corkpulley_[a-z0-9_]+)"`)
	documentedRow  = regexp.MustCompile("(?m)^\\| `(corkpulley_hosted_[a-z0-9_]+)` \\|")
	messageCall    = regexp.MustCompile(`Msg\("([^"]+)"\)`)
	documentedCell = regexp.MustCompile("`([^`]+)`")
)

// hostedPackages are the packages that write the log lines of a hosted node.
var hostedPackages = []string{
	"hosted", "follow", "leadership", "logrelay", "jobrelay", "batchjobs", "batchrun", "weightorders", "ingress",
	"duties", "crashes", "coldpermits", "logusage", "peerload",
}

func operationsPage(t *testing.T) string {
	t.Helper()
	page, err := os.ReadFile(filepath.Join("..", "..", "docs", "OPERATIONS.md"))
	assert.NilError(t, err)
	return string(page)
}

func TestOperationsPageNamesEachHostedMetric(t *testing.T) {
	registry := prometheus.NewRegistry()
	newMetrics(registry)
	descriptions := make(chan *prometheus.Desc)
	go func() {
		registry.Describe(descriptions)
		close(descriptions)
	}()
	var registered, documented []string
	for description := range descriptions {
		registered = append(registered, metricName.FindStringSubmatch(description.String())[1])
	}
	for _, match := range documentedRow.FindAllStringSubmatch(operationsPage(t), -1) {
		documented = append(documented, match[1])
	}
	slices.Sort(registered)
	slices.Sort(documented)
	assert.DeepEqual(t, documented, registered)
}

// Compares the log messages in the documentation with those in the code.
func TestOperationsPageNamesEachHostedLine(t *testing.T) {
	written := map[string]bool{}
	for _, folder := range hostedPackages {
		files, err := filepath.Glob(filepath.Join("..", folder, "*.go"))
		assert.NilError(t, err)
		for _, file := range files {
			if strings.HasSuffix(file, "_test.go") {
				continue
			}
			source, err := os.ReadFile(file)
			assert.NilError(t, err)
			for _, match := range messageCall.FindAllStringSubmatch(string(source), -1) {
				written[match[1]] = true
			}
		}
	}
	documented := map[string]bool{}
	_, table, found := strings.Cut(operationsPage(t), "| hosted message |")
	assert.Assert(t, found)
	for line := range strings.Lines(table) {
		if strings.HasPrefix(line, "| `") {
			cells := strings.SplitN(line, "|", 3)
			for _, match := range documentedCell.FindAllStringSubmatch(cells[1], -1) {
				documented[match[1]] = true
			}
		}
		if line == "\n" {
			break
		}
	}
	assert.DeepEqual(t, documented, written)
}
