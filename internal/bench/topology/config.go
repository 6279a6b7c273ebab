// Package topology starts a deployment on the local host from a Config:
// platform stand-ins, engine stand-ins and daemons, each as a separate process,
// optionally with fault-injecting proxies on the links between them.
package topology

import (
	"time"

	"github.com/go-faster/errors"
)

// Binaries holds the paths of the binaries that a deployment runs.
type Binaries struct {
	// Daemon is corkpulleyd; Bench is corkbench, which runs the stand-ins.
	Daemon string
	Bench  string
}

// NodeConfig describes one daemon.
type NodeConfig struct {
	ID   string
	Zone string
}

// EngineConfig describes one engine stand-in.
type EngineConfig struct {
	ID   string
	Zone string
	Pool string
	// Models are loaded at startup: "name" or "name@version".
	Models []string
	// MaxBatch, TokenInterval and LoadTime default to the stand-in's own values when zero.
	MaxBatch      int
	TokenInterval time.Duration
	LoadTime      time.Duration
	// Arguments are additional flags of the stand-in.
	Arguments []string
}

// ModelConfig describes a model version to publish in the weight store.
type ModelConfig struct {
	Name      string
	Version   uint64
	SizeBytes int64
}

// Config describes a deployment.
type Config struct {
	Binaries Binaries
	// Directory receives the logs of all processes; it must exist.
	Directory string
	// Region of all nodes; required if there are nodes.
	Region  string
	Nodes   []NodeConfig
	Engines []EngineConfig
	Models  []ModelConfig
	// Table is the CSV policy table applied once the nodes are ready; empty for none.
	Table string
	// Policy is the daemons' scheduling policy; empty for the default.
	Policy string
	// NodeArguments are additional flags of every daemon.
	NodeArguments []string
	// FaultProxies adds a proxy to each link: to each node's peer address, from each
	// node to the log, and to each engine.
	FaultProxies bool
	// PeerLatency, CallerLatency and EngineLatency are one-way latencies. The
	// first two add a proxy to each node's peer or caller address even without
	// FaultProxies.
	PeerLatency   time.Duration
	CallerLatency time.Duration
	// EngineLatency has no effect without FaultProxies.
	EngineLatency time.Duration
	// PlatformArguments are additional flags of the platform stand-ins, by kind.
	PlatformArguments map[string][]string
}

// Validate returns an error if the configuration is incomplete or inconsistent.
func (c *Config) Validate() error {
	if c.Binaries.Daemon == "" && len(c.Nodes) > 0 {
		return errors.New("deployment has nodes and no daemon binary")
	}
	if c.Binaries.Bench == "" {
		return errors.New("deployment has no corkbench binary")
	}
	if c.Directory == "" {
		return errors.New("deployment has no directory")
	}
	if c.Table != "" && len(c.Nodes) == 0 {
		return errors.New("deployment has a table and no nodes")
	}
	if c.Region == "" && len(c.Nodes) > 0 {
		return errors.New("deployment has nodes and no region")
	}
	return c.validateIDs()
}

func (c *Config) validateIDs() error {
	seen := map[string]bool{}
	check := func(id, zone string) error {
		if id == "" || zone == "" {
			return errors.Errorf("machine %q in zone %q: ID and zone are required", id, zone)
		}
		if seen[id] {
			return errors.Errorf("duplicate machine ID %q", id)
		}
		seen[id] = true
		return nil
	}
	for _, node := range c.Nodes {
		if err := check(node.ID, node.Zone); err != nil {
			return err
		}
	}
	for _, engine := range c.Engines {
		if err := check(engine.ID, engine.Zone); err != nil {
			return err
		}
	}
	return nil
}
