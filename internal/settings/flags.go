package settings

import (
	"os"
	"time"

	"github.com/BurntSushi/toml"
	"github.com/go-faster/errors"
)

// Flags are the command-line flags of corkpulleyd. A flag that is given wins
// over the same key of the settings file.
type Flags struct {
	File  string `arg:"--settings,env:CORKPULLEY_SETTINGS" help:"settings file (TOML)"`
	Check bool   `arg:"--check" help:"check the settings, print every mistake, and exit"`

	NodeID             *string        `arg:"--node-id" help:"node.id"`
	Zone               *string        `arg:"--zone" help:"node.zone"`
	Region             *string        `arg:"--region" help:"node.region"`
	Callers            *string        `arg:"--listen-callers" help:"listen.callers, ip:port"`
	Peers              *string        `arg:"--listen-peers" help:"listen.peers, ip:port"`
	Operators          *string        `arg:"--listen-operators" help:"listen.operators, ip:port"`
	AdvertisePeers     *string        `arg:"--advertise-peers" help:"advertise.peers, ip:port"`
	Seeds              []string       `arg:"--seed,separate" help:"cluster.seeds, ip:port (repeat the flag)"`
	ProbeInterval      *time.Duration `arg:"--probe-interval" help:"cluster.probe_interval"`
	LogService         *string        `arg:"--platform-log" help:"platform.log, URL"`
	WeightStore        *string        `arg:"--platform-weight-store" help:"platform.weight_store, URL"`
	Machines           *string        `arg:"--platform-machines" help:"platform.machines, URL"`
	Scorer             *string        `arg:"--platform-scorer" help:"platform.scorer, URL"`
	Policy             *string        `arg:"--policy" help:"scheduling.policy: default, round-robin or least-load"`
	MaxConcurrentLoads *int           `arg:"--max-concurrent-loads" help:"weights.max_concurrent_loads"`
	Grace              *time.Duration `arg:"--grace" help:"shutdown.grace"`
	Level              *string        `arg:"--log-level" help:"log.level: debug, info, warn or error"`
}

// Description is shown at the top of the daemon's help.
func (Flags) Description() string {
	return "corkpulleyd serves live callers and reinforcement-learning trainers from shared model engines.\n" +
		"Settings come from a TOML file and from flags; flags win. See docs/CONFIG.md."
}

// Epilogue is shown at the end of the daemon's help.
func (Flags) Epilogue() string {
	return "Examples:\n" +
		"  corkpulleyd --settings corkpulleyd.toml --check\n" +
		"  corkpulleyd --settings corkpulleyd.toml --node-id n7 --zone tumwater"
}

// Load reads the settings file, if one is named, and applies the flags. Every
// mistake found is returned; the settings are usable only when there is none.
func Load(flags Flags) (Settings, []Problem) {
	loaded := Default()
	var problems []Problem
	if flags.File != "" {
		problems = readFile(flags.File, &loaded)
	}
	flags.apply(&loaded)
	return loaded, append(problems, Check(loaded)...)
}

func readFile(path string, into *Settings) []Problem {
	text, err := os.ReadFile(path)
	if err != nil {
		return []Problem{{Key: "--settings", Value: path, Expected: "a readable file: " + err.Error()}}
	}
	metadata, err := toml.Decode(string(text), into)
	if err != nil {
		return []Problem{{Key: "--settings", Value: path, Expected: "valid TOML: " + parseMessage(err)}}
	}
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
	override(f.Policy, &into.Scheduling.Policy)
	override(f.MaxConcurrentLoads, &into.Weights.MaxConcurrentLoads)
	override((*Duration)(f.Grace), &into.Shutdown.Grace)
	override(f.Level, &into.Log.Level)
}

func override[T any](flag *T, into *T) {
	if flag != nil {
		*into = *flag
	}
}
