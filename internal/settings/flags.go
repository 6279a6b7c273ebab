package settings

import (
	"os"
	"time"

	"github.com/BurntSushi/toml"
	"github.com/go-faster/errors"

	"github.com/corkpulley/corkpulley/internal/buildinfo"
)

// Flags are the command-line flags of corkpulleyd. A flag overrides the same
// key of the settings file. Settings that a deployment enables before all of its nodes know them
// have an environment variable too: older builds ignore it, but refuse an unknown key or flag.
type Flags struct {
	File  string `arg:"--settings,env:CORKPULLEY_SETTINGS" placeholder:"FILE" help:"settings file (TOML)"`
	Check bool   `arg:"--check" help:"check the settings, print every mistake, and exit"`

	NodeID             *string        `arg:"--node-id" placeholder:"ID" help:"node.id"`
	Zone               *string        `arg:"--zone" placeholder:"NAME" help:"node.zone"`
	Region             *string        `arg:"--region" placeholder:"NAME" help:"node.region"`
	Callers            *string        `arg:"--listen-callers" placeholder:"IP:PORT" help:"listen.callers"`
	Peers              *string        `arg:"--listen-peers" placeholder:"IP:PORT" help:"listen.peers"`
	Operators          *string        `arg:"--listen-operators" placeholder:"IP:PORT" help:"listen.operators"`
	AdvertisePeers     *string        `arg:"--advertise-peers" placeholder:"IP:PORT" help:"advertise.peers"`
	Seeds              []string       `arg:"--seed,separate" placeholder:"IP:PORT" help:"cluster.seeds (repeat the flag)"`
	ProbeInterval      *time.Duration `arg:"--probe-interval" placeholder:"DURATION" help:"cluster.probe_interval"`
	LogService         *string        `arg:"--platform-log" placeholder:"URL" help:"platform.log"`
	WeightStore        *string        `arg:"--platform-weight-store" placeholder:"URL" help:"platform.weight_store"`
	Machines           *string        `arg:"--platform-machines" placeholder:"URL" help:"platform.machines"`
	Scorer             *string        `arg:"--platform-scorer" placeholder:"URL" help:"platform.scorer"`
	HostedLog          *string        `arg:"--hosted-log" placeholder:"IP:PORT" help:"hosted.log"`
	Policy             *string        `arg:"--policy" placeholder:"NAME" help:"scheduling.policy: default, round-robin, least-load or one-hop"`
	JobOrder           *string        `arg:"--job-order,env:CORKPULLEY_JOB_ORDER" placeholder:"ORDER" help:"scheduling.job_order: arrival or due"`
	EngineSpeeds       *string        `arg:"--engine-speeds,env:CORKPULLEY_ENGINE_SPEEDS" placeholder:"SPEEDS" help:"scheduling.engine_speeds: uniform or mixed"`
	MaxConcurrentLoads *int           `arg:"--max-concurrent-loads" placeholder:"N" help:"weights.max_concurrent_loads"`
	Grace              *time.Duration `arg:"--grace" placeholder:"DURATION" help:"shutdown.grace"`
	MaxDescriptors     *int           `arg:"--max-descriptors,env:CORKPULLEY_MAX_DESCRIPTORS" placeholder:"N" help:"node.max_descriptors"`
	Level              *string        `arg:"--log-level" placeholder:"LEVEL" help:"log.level: debug, info, warn or error"`
}

// Version returns the text for --version.
func (Flags) Version() string { return "corkpulleyd " + buildinfo.Version() }

// Description returns the introduction of the help text.
func (Flags) Description() string {
	return "corkpulleyd serves live callers and reinforcement-learning trainers from shared model engines.\n" +
		"Settings come from a TOML file and from flags; flags override the file. See docs/CONFIG.md."
}

// Epilogue returns the end of the help text.
func (Flags) Epilogue() string {
	return "Examples:\n" +
		"  corkpulleyd --settings corkpulleyd.toml --check\n" +
		"  corkpulleyd --settings corkpulleyd.toml --node-id n7 --zone tumwater"
}

// Load reads the settings file, if flags name one, applies the flags and returns
// all problems; the settings are usable only when there are none. A file that
// cannot be read or decoded is reported as the only problem, because the keys
// that it sets would be reported as missing.
func Load(flags Flags) (Settings, []Problem) {
	loaded := Default()
	var unknown []Problem
	if flags.File != "" {
		metadata, problem := readFile(flags.File, &loaded)
		if problem != nil {
			return loaded, []Problem{*problem}
		}
		unknown = unknownKeys(metadata)
	}
	flags.apply(&loaded)
	return loaded, append(unknown, Check(loaded)...)
}

func readFile(path string, into *Settings) (toml.MetaData, *Problem) {
	text, err := os.ReadFile(path)
	if err != nil {
		return toml.MetaData{}, &Problem{Key: "--settings", Value: path, Expected: "a readable file: " + err.Error()}
	}
	metadata, err := toml.Decode(string(text), into)
	if err != nil {
		return toml.MetaData{}, &Problem{Key: "--settings", Value: path, Expected: "valid TOML: " + parseMessage(err)}
	}
	return metadata, nil
}

func unknownKeys(metadata toml.MetaData) []Problem {
	var problems []Problem
	for _, key := range metadata.Undecoded() {
		problems = append(problems, Problem{Key: key.String(), Expected: "a known key (see docs/CONFIG.md)"})
	}
	return problems
}

func parseMessage(err error) string {
	var parse toml.ParseError
	if errors.As(err, &parse) {
		return parse.Error()
	}
	return err.Error()
}

func (f Flags) apply(into *Settings) {
	override(f.NodeID, &into.Node.ID)
	override(f.Zone, &into.Node.Zone)
	override(f.Region, &into.Node.Region)
	override(f.Callers, &into.Listen.Callers)
	override(f.Peers, &into.Listen.Peers)
	override(f.Operators, &into.Listen.Operators)
	override(f.AdvertisePeers, &into.Advertise.Peers)
	if len(f.Seeds) > 0 {
		into.Cluster.Seeds = f.Seeds
	}
	override((*Duration)(f.ProbeInterval), &into.Cluster.ProbeInterval)
	override(f.LogService, &into.Platform.Log)
	override(f.WeightStore, &into.Platform.WeightStore)
	override(f.Machines, &into.Platform.Machines)
	override(f.Scorer, &into.Platform.Scorer)
	override(f.HostedLog, &into.Hosted.Log)
	override(f.Policy, &into.Scheduling.Policy)
	override(f.JobOrder, &into.Scheduling.JobOrder)
	override(f.EngineSpeeds, &into.Scheduling.EngineSpeeds)
	override(f.MaxDescriptors, &into.Node.MaxDescriptors)
	override(f.MaxConcurrentLoads, &into.Weights.MaxConcurrentLoads)
	override((*Duration)(f.Grace), &into.Shutdown.Grace)
	override(f.Level, &into.Log.Level)
}

func override[T any](flag *T, into *T) {
	if flag != nil {
		*into = *flag
	}
}
