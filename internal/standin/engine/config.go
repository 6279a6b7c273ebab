// Package engine simulates a model engine: continuous batching, request priorities, a bounded prefix cache, delayed
// and lost cache events, delayed load reports, stream resumption and cancellation, a weight version per chunk, fenced
// orders, and a history of what it executed for consistency checks.
package engine

import (
	"strconv"
	"strings"
	"time"

	"github.com/go-faster/errors"

	"github.com/corkpulley/corkpulley/internal/engine"
)

// Defaults of Config.
const (
	defaultListen         = "127.0.0.1:0"
	defaultMaxBatch       = 8
	defaultMaxWaiting     = 256
	defaultChunkTokens    = 1
	defaultTokenInterval  = 10 * time.Millisecond
	defaultCacheTokens    = 65536
	defaultReportInterval = 250 * time.Millisecond
	defaultHeartbeat      = time.Second
	defaultResumeWindow   = 10 * time.Second
	defaultDrainTimeout   = time.Minute
)

// Config configures an engine. Zero fields take the defaults of the command-line flags.
type Config struct {
	Listen    string   `arg:"--listen" default:"127.0.0.1:0" help:"address to listen on"`
	Advertise string   `arg:"--advertise" help:"address to register (default: the one listened on)"`
	ID        string   `arg:"--id" help:"engine ID (default: engine-ADDRESS)"`
	Pool      string   `arg:"--pool" help:"pool of the engine"`
	Zone      string   `arg:"--zone" help:"zone of the engine"`
	Models    []string `arg:"--model,separate" help:"model held at start, NAME or NAME@VERSION (default version 1)"`

	MaxBatch    int `arg:"--max-batch" default:"8" help:"requests that run at once"`
	MaxWaiting  int `arg:"--max-waiting" default:"256" help:"requests that may wait"`
	ChunkTokens int `arg:"--chunk-tokens" default:"1" help:"tokens gathered into one chunk"`

	TokenInterval   time.Duration `arg:"--token-interval" default:"10ms" help:"decode step of a batch of one"`
	PrefillPerToken time.Duration `arg:"--prefill-per-token" help:"prefill time of a prompt token that is not cached"`
	CacheTokens     int           `arg:"--cache-tokens" default:"65536" help:"capacity of the prefix cache"`

	EventDelay     time.Duration `arg:"--event-delay" help:"delay of cache events"`
	EventLossShare float64       `arg:"--event-gap" help:"share of cache events lost, 0..1"`
	ReportInterval time.Duration `arg:"--report-interval" default:"250ms" help:"age that load figures may reach"`

	LoadTime      time.Duration `arg:"--load-time" help:"pause of a model while a version is swapped in"`
	LoadFailShare float64       `arg:"--load-fail-share" help:"share of loads that fail part-way, 0..1"`

	Store     string        `arg:"--store" help:"base URL of the weight store (default: loads download nothing)"`
	Machines  string        `arg:"--machines" help:"base URL of the machine list (default: not registered)"`
	Heartbeat time.Duration `arg:"--heartbeat" default:"1s" help:"interval of registrations"`

	ResumeWindow time.Duration `arg:"--resume-window" default:"10s" help:"how long a stream without a reader is kept"`
	DrainTimeout time.Duration `arg:"--drain-timeout" default:"1m" help:"longest wait for running requests at a stop"`
	Seed         int64         `arg:"--seed" help:"seed of faults and answer lengths"`
	History      bool          `arg:"--history" help:"keep the history that GET /v1/history answers"`
	HistoryFile  string        `arg:"--history-file" help:"file to which the history of requests is appended as it happens; implies --history"`
}

// withDefaults returns the config with zero fields set to their defaults.
func (c Config) withDefaults() Config {
	setDefault(&c.Listen, defaultListen)
	setDefault(&c.MaxBatch, defaultMaxBatch)
	setDefault(&c.MaxWaiting, defaultMaxWaiting)
	setDefault(&c.ChunkTokens, defaultChunkTokens)
	setDefault(&c.TokenInterval, defaultTokenInterval)
	setDefault(&c.CacheTokens, defaultCacheTokens)
	setDefault(&c.ReportInterval, defaultReportInterval)
	setDefault(&c.Heartbeat, defaultHeartbeat)
	setDefault(&c.ResumeWindow, defaultResumeWindow)
	setDefault(&c.DrainTimeout, defaultDrainTimeout)
	return c
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

// Validate returns an error for the first setting that is out of range.
func (c Config) Validate() error {
	c = c.withDefaults()
	if c.MaxBatch < 1 || c.MaxWaiting < 1 || c.ChunkTokens < 1 || c.CacheTokens < 1 {
		return errors.New("max-batch, max-waiting, chunk-tokens and cache-tokens must be positive")
	}
	if c.EventLossShare < 0 || c.EventLossShare > 1 || c.LoadFailShare < 0 || c.LoadFailShare > 1 {
		return errors.New("event-gap and load-fail-share must lie in 0..1")
	}
	if c.TokenInterval < 0 || c.PrefillPerToken < 0 || c.EventDelay < 0 || c.LoadTime < 0 {
		return errors.New("times must not be negative")
	}
	_, err := parseModels(c.Models)
	return err
}

// parseModels parses "NAME" and "NAME@VERSION".
func parseModels(arguments []string) ([]engine.ModelVersion, error) {
	models := make([]engine.ModelVersion, 0, len(arguments))
	for _, argument := range arguments {
		name, number, found := strings.Cut(argument, "@")
		model := engine.ModelVersion{Model: name, Version: 1}
		if found {
			version, err := strconv.ParseUint(number, 10, 64)
			if err != nil || version == 0 {
				return nil, errors.Errorf("model %q: version must be a whole number from 1", argument)
			}
			model.Version = version
		}
		if name == "" {
			return nil, errors.Errorf("model %q: name is empty", argument)
		}
		models = append(models, model)
	}
	return models, nil
}
