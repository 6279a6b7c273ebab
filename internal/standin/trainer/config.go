// Package trainer simulates a reinforcement learning trainer: it submits steps, fetches and acknowledges samples,
// sleeps for the training time, and publishes a weight version after each step. Its report is based on its own counts,
// not on those of the system under test.
package trainer

import (
	"time"

	"github.com/go-faster/errors"

	"github.com/corkpulley/corkpulley/internal/platform/weightstore"
)

// UnknownBound is the Config.StalenessBound with which staleness is reported but not checked.
const UnknownBound = -1

// Config configures a Trainer.
type Config struct {
	Listen           string        `arg:"--listen" default:"127.0.0.1:0" help:"address of the report endpoint (ip:port)"`
	Servers          []string      `arg:"--server,separate" help:"base URL of a node (http://ip:port); may be repeated"`
	Trainer          string        `arg:"--trainer" help:"service name of the trainer"`
	StepPrefix       string        `arg:"--step-prefix" default:"step" help:"step IDs are PREFIX-N"`
	Steps            int           `arg:"--steps" default:"4" help:"number of steps"`
	StepsAhead       int           `arg:"--ahead" default:"0" help:"steps submitted ahead of the one being trained"`
	Prompts          int           `arg:"--prompts" default:"8" help:"prompts in a step"`
	SamplesPerPrompt int           `arg:"--samples" default:"4" help:"samples for each prompt"`
	MaxTokens        int           `arg:"--max-tokens" default:"64" help:"longest answer in tokens"`
	Groups           int           `arg:"--groups" default:"2" help:"prompt groups; prompts of a group share a prefix"`
	GroupMinTokens   []int         `arg:"--group-shortest,separate" help:"shortest answer of each group in tokens (default: the engine's)"`
	PrefixBytes      int           `arg:"--prefix-bytes" default:"256" help:"length of a group's shared prefix"`
	Seed             int64         `arg:"--seed" default:"1" help:"seed of the prompts and samples"`
	TrainTime        time.Duration `arg:"--train-time" default:"200ms" help:"time that training on a step takes"`
	AckDelay         time.Duration `arg:"--pause" default:"0s" help:"pause between persisting and acknowledging samples"`
	WeightStore      string        `arg:"--weight-store" help:"base URL of the weight store; empty publishes nothing"`
	Model            string        `arg:"--model" help:"model that the trainer publishes"`
	WeightBytes      int64         `arg:"--weight-bytes" default:"1048576" help:"size of a published version"`
	StartVersion     uint64        `arg:"--start-version" default:"0" help:"version to start from; 0 asks the weight store"`
	StalenessBound   int           `arg:"--bound" default:"-1" help:"staleness bound of the table's row, to judge samples by; -1: not judged"`
	FetchMax         int           `arg:"--fetch-max" default:"64" help:"samples wanted in one fetch"`
	FetchWait        time.Duration `arg:"--fetch-wait" default:"5s" help:"longest wait of one fetch"`
	CheckTokens      bool          `arg:"--check-tokens" default:"true" help:"check each token's text against the named versions"`

	// Store overrides WeightStore if set.
	Store weightstore.Store `arg:"-"`
}

// withDefaults returns the config with zero fields set to their defaults.
func (c Config) withDefaults() Config {
	if c.StepPrefix == "" {
		c.StepPrefix = "step"
	}
	c.Groups = max(c.Groups, 1)
	if c.FetchMax <= 0 {
		c.FetchMax = 64
	}
	if c.FetchWait <= 0 {
		c.FetchWait = 5 * time.Second
	}
	if c.WeightBytes <= 0 {
		c.WeightBytes = 1 << 20
	}
	return c
}

func (c Config) validate() error {
	switch {
	case len(c.Servers) == 0:
		return errors.New("trainer: no server configured")
	case c.Trainer == "":
		return errors.New("trainer: no service name configured")
	case c.Steps < 1 || c.Prompts < 1 || c.SamplesPerPrompt < 1 || c.MaxTokens < 1 || c.StepsAhead < 0:
		return errors.New("trainer: steps, prompts, samples and max-tokens must be 1 or more, ahead 0 or more")
	case c.Model == "" && (c.Store != nil || c.WeightStore != ""):
		return errors.New("trainer: weight store configured without a model")
	case c.Store == nil && c.WeightStore == "" && c.StartVersion == 0:
		return errors.New("trainer: start version required without a weight store")
	}
	return nil
}
