// Package scale measures how many nodes act together: hollow nodes share one
// process and an in-memory network, with the real cluster, tables, trainer
// coordinator and weight coordinator on each. Engines, dispatchers and the
// platform are stand-ins in memory. Time runs at its real pace.
package scale

import (
	"context"
	"io"
	"time"

	"github.com/go-faster/errors"
)

// Bounds of one run.
const (
	maxNodes   = 1000
	maxEngines = 20_000
	maxSeconds = 300
)

// Settings is the command line of the bench.
type Settings struct {
	Nodes   int `arg:"--nodes" default:"420" help:"nodes (up to 1000)"`
	Zones   int `arg:"--zones" default:"17" help:"zones, at most one for each node"`
	Regions int `arg:"--regions" default:"6" help:"regions, at most one for each zone"`
	Engines int `arg:"--engines" default:"6100" help:"engines (up to 20000)"`
	Models  int `arg:"--models" default:"13" help:"models that share the engines evenly, each with a pool"`
	Floor   int `arg:"--floor" default:"50" help:"percent of a pool's engines that stay in service while weights change"`

	Seconds     float64 `arg:"--seconds" default:"20" help:"how long the steady state is measured (1..300)"`
	Changes     int     `arg:"--changes" default:"20" help:"table changes to measure"`
	CutSeconds  float64 `arg:"--cut-seconds" default:"40" help:"how long a region is cut off (1..300)"`
	LoadSeconds float64 `arg:"--load-seconds" default:"5" help:"time of one weight load"`
	StoreRate   float64 `arg:"--store-rate" default:"2000" help:"downloads a second that the weight store allows"`
	MaxLoads    int     `arg:"--max-loads" default:"4096" help:"weights.max_concurrent_loads of each node"`
	FarLatency  float64 `arg:"--far-latency" default:"20" help:"one-way latency between regions in ms"`
	Only        string  `arg:"--only" help:"comma-separated experiments to run: tables, weights, rack, zone, region, churn; the steady state is always measured"`
	Seed        uint64  `arg:"--seed" default:"1" help:"seed of the random choices"`
	JSON        bool    `arg:"--json" help:"print the report as one JSON object"`
}

func (s Settings) latencies() latencies {
	return latencies{
		zone:   250 * time.Microsecond,
		region: 500 * time.Microsecond,
		far:    time.Duration(s.FarLatency * float64(time.Millisecond)),
	}
}

func (s Settings) check() error {
	switch {
	case s.Nodes < 1 || s.Nodes > maxNodes:
		return errors.Errorf("--nodes must be 1..%d", maxNodes)
	case s.Zones < 1 || s.Zones > s.Nodes:
		return errors.New("--zones must be 1 or more, and at most one for each node")
	case s.Regions < 1 || s.Regions > s.Zones:
		return errors.New("--regions must be 1 or more, and at most one for each zone")
	case s.Engines < 1 || s.Engines > maxEngines:
		return errors.Errorf("--engines must be 1..%d", maxEngines)
	case s.Models < 1 || s.Models > s.Engines:
		return errors.New("--models must be 1 or more, and at most one for each engine")
	case s.Floor < 0 || s.Floor > 99:
		return errors.New("--floor must be 0..99")
	case s.Seconds < 1 || s.Seconds > maxSeconds || s.CutSeconds < 1 || s.CutSeconds > maxSeconds:
		return errors.Errorf("--seconds and --cut-seconds must be 1..%d", maxSeconds)
	case s.LoadSeconds <= 0 || s.StoreRate <= 0 || s.MaxLoads < 1 || s.FarLatency < 0 || s.Changes < 0:
		return errors.New("--load-seconds, --store-rate and --max-loads must be above 0, --far-latency and --changes not below")
	}
	return checkNames(s.Only)
}

// Run runs the experiments and prints the report. It fails when the deployment
// does not come together, or when an experiment does not end in time.
func Run(ctx context.Context, settings *Settings, output io.Writer) error {
	if err := settings.check(); err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	report := &Report{Settings: *settings}
	before := heapInUse()
	world := newWorld(ctx, *settings)
	defer world.stop()
	told := func() error { return report.printNew(output) }
	if settings.JSON {
		told = func() error { return nil }
	}
	if err := world.run(report, before, told); err != nil {
		return err
	}
	if settings.JSON {
		return report.printJSON(output)
	}
	return nil
}

// run starts the deployment and makes the experiments one after the other. After
// each it calls told.
func (w *World) run(report *Report, heapBefore uint64, told func() error) error {
	began := time.Now()
	if err := w.start(); err != nil {
		return err
	}
	if err := w.waitJoined(); err != nil {
		return err
	}
	report.JoinSeconds = time.Since(began).Seconds()
	if err := w.measureSteady(report, heapBefore); err != nil {
		return err
	}
	if err := told(); err != nil {
		return err
	}
	for _, experiment := range experiments {
		if !chosen(w.settings.Only, experiment.name) {
			continue
		}
		if err := experiment.run(w, report); err != nil {
			return wrap(err, experiment.name)
		}
		if err := told(); err != nil {
			return err
		}
	}
	return nil
}
