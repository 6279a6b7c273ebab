package command

import (
	"bytes"
	"encoding/json"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/corkpulley/corkpulley/internal/bench/slopes"
)

func TestSlopesPrintsItsReport(t *testing.T) {
	var output, problems bytes.Buffer
	code := Main([]string{"slopes", "--only", "bytes of a delivery", "--json"}, &output, &problems)
	assert.Equal(t, code, ExitOK, problems.String())
	var report slopes.Report
	assert.NilError(t, json.Unmarshal(output.Bytes(), &report))
	assert.Equal(t, len(report.Measurements), 1)
	assert.Check(t, report.Measurements[0].Slope > 0)
}

func TestSlopesRefusesAnUnknownSweep(t *testing.T) {
	var output, problems bytes.Buffer
	code := Main([]string{"slopes", "--only", "no such sweep"}, &output, &problems)
	assert.Equal(t, code, ExitFailed)
	assert.Equal(t, output.Len(), 0)
}
