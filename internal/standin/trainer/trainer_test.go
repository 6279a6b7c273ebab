package trainer

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/alexflint/go-arg"
	"gotest.tools/v3/assert"

	"github.com/corkpulley/corkpulley/internal/api"
)

func sample(id string, index int, version uint64) api.Sample {
	return api.Sample{
		ID: id, Step: "step-0", Index: index, Text: "0:3 1:4 ", Tokens: 2,
		Versions: []api.VersionSpan{{Version: version, From: 0, To: 1}, {Version: 4, From: 1, To: 2}},
	}
}

func TestVersionChecksRejectInvalidSpans(t *testing.T) {
	good := sample("a", 0, 3)
	assert.Assert(t, versionsCoverTokens(good) && versionsMatchText(good))
	wrong := sample("a", 0, 2)
	assert.Assert(t, versionsCoverTokens(wrong) && !versionsMatchText(wrong), "the span's version differs from that in the text")
	gap := good
	gap.Versions = gap.Versions[1:]
	assert.Assert(t, !versionsCoverTokens(gap))
	short := good
	short.Text = "0:3 "
	assert.Assert(t, !versionsMatchText(short))
	unversioned := sample("a", 0, 0)
	assert.Assert(t, !versionsCoverTokens(unversioned))
}

func TestJournalCountsDuplicatesAndStaleSamples(t *testing.T) {
	journal := NewJournal()
	journal.persist(5, []api.Sample{sample("step-0/0/1", 0, 3), sample("step-0/1/1", 1, 1)}, 0)
	token, ids := journal.nextAcknowledgement()
	assert.Equal(t, token, int64(5))
	request := api.AckRequest{Token: token, Samples: ids, TrainerVersion: 4}
	for range 2 {
		journal.applyResponse(request, api.AckResponse{Accepted: ids})
	}
	report := journal.report(1)
	assert.Equal(t, report.SamplesAcknowledged, 2)
	assert.Equal(t, report.Duplicates, 0, "a repeated response is not a duplicate")
	assert.Equal(t, report.Stale, 1)
	assert.Equal(t, report.StalenessMax, uint64(3))
	journal.persist(9, []api.Sample{sample("step-0/0/2", 0, 3)}, 0)
	journal.applyResponse(api.AckRequest{Token: 9, TrainerVersion: 4}, api.AckResponse{Accepted: []string{"step-0/0/2"}})
	assert.Equal(t, journal.report(UnknownBound).Duplicates, 1)
	assert.Assert(t, journal.report(UnknownBound).ViolatesGuarantees())
}

func TestTrainerCountsLostSamples(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_ = json.NewEncoder(w).Encode(api.FetchResponse{
			Steps: []api.StepStatus{{Step: "step-0", Done: true}},
		})
	}))
	defer server.Close()
	trainer := New(Config{
		Servers: []string{server.URL}, Trainer: "t", Steps: 1, Prompts: 1, SamplesPerPrompt: 2, MaxTokens: 1,
		StartVersion: 1, TrainTime: time.Millisecond,
	})
	report, err := trainer.Run(t.Context())
	assert.NilError(t, err)
	assert.Equal(t, report.Lost, 2)
	assert.Assert(t, report.ViolatesGuarantees())
}

func TestConfigParsesFlagsAndRequiresStartVersion(t *testing.T) {
	var config Config
	parser, err := arg.NewParser(arg.Config{}, &config)
	assert.NilError(t, err)
	arguments := []string{"--server", "http://a", "--server", "http://b", "--trainer", "t", "--check-tokens=false"}
	assert.NilError(t, parser.Parse(arguments))
	assert.DeepEqual(t, config.Servers, []string{"http://a", "http://b"})
	assert.Assert(t, !config.CheckTokens)
	assert.Equal(t, config.StalenessBound, UnknownBound)
	assert.ErrorContains(t, config.validate(), "start version")
}
