package node

import (
	"io"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"testing"

	"github.com/prometheus/client_golang/prometheus"
	"gotest.tools/v3/assert"

	"github.com/corkpulley/corkpulley/internal/settings"
)

var (
	descriptionName = regexp.MustCompile(`fqName: "(corkpulley_[a-z0-9_]+)"`)
	documentedName  = regexp.MustCompile("(?m)^\\| `(corkpulley_[a-z0-9_]+)` \\|")
)

// The operations page must list exactly the metrics that a node registers.
func TestOperationsPageListsEachMetric(t *testing.T) {
	page, err := os.ReadFile(filepath.Join("..", "..", "docs", "OPERATIONS.md"))
	assert.NilError(t, err)
	var documented []string
	for _, match := range documentedName.FindAllStringSubmatch(string(page), -1) {
		// Metrics of hosted nodes are checked in internal/hosted.
		if !strings.HasPrefix(match[1], "corkpulley_hosted_") {
			documented = append(documented, match[1])
		}
	}
	slices.Sort(documented)
	assert.DeepEqual(t, documented, registeredMetrics(t))
}

func registeredMetrics(t *testing.T) []string {
	t.Helper()
	const anyPort, platform = "127.0.0.1:0", "http://127.0.0.1:9"
	config := settings.Default()
	config.Node = settings.Node{ID: "n1", Zone: "z", Region: "r"}
	config.Listen = settings.Listen{Callers: anyPort, Peers: anyPort, Operators: anyPort}
	config.Platform = settings.Platform{Log: platform, WeightStore: platform, Machines: platform, Scorer: platform}
	assert.Equal(t, len(settings.Check(config)), 0)
	n, err := newNode(config, newLogger(config, io.Discard))
	assert.NilError(t, err)
	t.Cleanup(func() {
		_ = n.callers.Close()
		_ = n.admin.Close()
	})
	descriptions := make(chan *prometheus.Desc)
	go func() {
		n.registry.Describe(descriptions)
		close(descriptions)
	}()
	var names []string
	for description := range descriptions {
		if match := descriptionName.FindStringSubmatch(description.String()); match != nil {
			names = append(names, match[1])
		}
	}
	slices.Sort(names)
	return slices.Compact(names)
}
