package trainerapi

import (
	"github.com/corkpulley/corkpulley/internal/api"
	"github.com/corkpulley/corkpulley/internal/core/errkind"
	"github.com/corkpulley/corkpulley/internal/core/ledger"
	"github.com/corkpulley/corkpulley/internal/core/policy"
)

// Limits of request fields.
const (
	maxPromptBytes  = 256 << 10
	maxGroupBytes   = 256
	maxTokens       = 32768
	maxTemperature  = 10.0
	maxFetchSamples = 1024
	maxWaitMS       = 60_000
	maxSampleIDs    = 65536
)

func checkTrainer(table *policy.Table, trainer string) error {
	row, found := table.Row(trainer)
	if !found {
		return errkind.New(errkind.UnknownService, "no service %q in table revision %d", trainer, table.Revision)
	}
	if row.Kind != policy.KindTrainer {
		return errkind.New(errkind.UnknownService, "service %q is of kind %s, not a trainer", trainer, row.Kind)
	}
	return nil
}

func checkStepID(step string) error {
	if !ledger.ValidStepID(step) {
		return errkind.New(errkind.InvalidRequest,
			"step ID %q: expected 1..%d letters, digits, dots, underscores or hyphens, starting with a letter or digit",
			step, ledger.MaxStepIDLength)
	}
	return nil
}

func checkStepRequest(request api.StepRequest) error {
	switch {
	case len(request.Prompts) == 0:
		return errkind.New(errkind.InvalidRequest, "prompts is empty, expected at least one")
	case request.SamplesPerPrompt < 1 || request.SamplesPerPrompt > ledger.MaxSamplesPerPrompt:
		return outOfRange("samples_per_prompt", int64(request.SamplesPerPrompt), 1, ledger.MaxSamplesPerPrompt)
	case len(request.Prompts) > ledger.MaxSlots/request.SamplesPerPrompt:
		return errkind.New(errkind.InvalidRequest, "%d prompts with %d samples each exceed the limit of %d samples per step",
			len(request.Prompts), request.SamplesPerPrompt, ledger.MaxSlots)
	case request.MaxTokens < 1 || request.MaxTokens > maxTokens:
		return outOfRange("max_tokens", int64(request.MaxTokens), 1, maxTokens)
	case request.Temperature < 0 || request.Temperature > maxTemperature:
		return errkind.New(errkind.InvalidRequest, "temperature is %g, expected 0..%g", request.Temperature, maxTemperature)
	}
	if err := checkPrompts(request.Prompts); err != nil {
		return err
	}
	return checkTrainerVersion(request.TrainerVersion)
}

// checkTrainerVersion rejects calls without the trainer's version. Versions start
// at 1; with version 0, no sample would count as stale.
func checkTrainerVersion(version uint64) error {
	if version == 0 {
		return errkind.New(errkind.InvalidRequest,
			"trainer_version is missing or 0, expected the trainer's current weight version")
	}
	return nil
}

func checkPrompts(prompts []api.StepPrompt) error {
	for i, prompt := range prompts {
		if len(prompt.Text) == 0 || len(prompt.Text) > maxPromptBytes {
			return errkind.New(errkind.InvalidRequest, "prompts[%d].text has %d bytes, expected 1..%d",
				i, len(prompt.Text), maxPromptBytes)
		}
		if len(prompt.Group) > maxGroupBytes {
			return errkind.New(errkind.InvalidRequest, "prompts[%d].group has %d bytes, expected at most %d",
				i, len(prompt.Group), maxGroupBytes)
		}
	}
	return nil
}

// checkFetchRequest checks a fetch and fills in the defaults.
func checkFetchRequest(request *api.FetchRequest) error {
	if request.Max == 0 {
		request.Max = api.DefaultFetchMax
	}
	if request.WaitMS == 0 {
		request.WaitMS = api.DefaultFetchWaitMS
	}
	if request.Step != "" {
		if err := checkStepID(request.Step); err != nil {
			return err
		}
	}
	switch {
	case request.Max < 1 || request.Max > maxFetchSamples:
		return outOfRange("max", int64(request.Max), 1, maxFetchSamples)
	case request.WaitMS < 1 || request.WaitMS > maxWaitMS:
		return outOfRange("wait_ms", request.WaitMS, 1, maxWaitMS)
	}
	if err := checkSampleIDs("holding", request.Holding); err != nil {
		return err
	}
	return checkTrainerVersion(request.TrainerVersion)
}

func checkAckRequest(request api.AckRequest) error {
	if request.Token < 1 {
		return errkind.New(errkind.InvalidRequest, "token is %d, expected the token of a fetch", request.Token)
	}
	if len(request.Samples) == 0 {
		return errkind.New(errkind.InvalidRequest, "samples is empty, expected at least one sample ID")
	}
	if err := checkSampleIDs("samples", request.Samples); err != nil {
		return err
	}
	return checkTrainerVersion(request.TrainerVersion)
}

func checkSampleIDs(field string, ids []string) error {
	if len(ids) > maxSampleIDs {
		return errkind.New(errkind.InvalidRequest, "%s has %d IDs, at most %d allowed", field, len(ids), maxSampleIDs)
	}
	for i, id := range ids {
		if _, err := ledger.ParseSampleKey(id); err != nil {
			return errkind.New(errkind.InvalidRequest, "%s[%d]: %v", field, i, err)
		}
	}
	return nil
}

func outOfRange(field string, value, lowest, highest int64) error {
	return errkind.New(errkind.InvalidRequest, "%s is %d, expected %d..%d", field, value, lowest, highest)
}
