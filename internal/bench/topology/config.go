// Package topology starts a whole deployment on one machine from a typed
// description: platform stand-ins, engine stand-ins and daemons, each a process
// of its own, with fault-injecting proxies on their links where asked for.
package topology

import (
	"time"

	"github.com/go-faster/errors"
)

// Binaries are the paths of the programs that a deployment runs.
type Binaries struct {
	// Daemon is corkpulleyd; Bench is corkbench, which holds the stand-ins.
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
	// Models are loaded from the start: "name" or "name@version".
	Models []string
	// MaxBatch, TokenInterval and LoadTime keep the stand-in's defaults when zero.
	MaxBatch      int
	TokenInterval time.Duration
	LoadTime      time.Duration
	// Arguments are further flags of the stand-in.
	Arguments []string
}

// ModelConfig is a model that the weight store holds from the start.
type ModelConfig struct {
	Name      string
	Version   uint64
	SizeBytes int64
}

// Config describes a deployment.
type Config struct {
	Binaries Binaries
	// Directory keeps the logs of all processes; it must exist.
	Directory string
	// Region of all machines, required with nodes.
	Region  string
	Nodes   []NodeConfig
	Engines []EngineConfig
	Models  []ModelConfig
	// Table is the CSV that is applied once the nodes are ready; empty for none.
	Table string
	// Policy is the daemons' scheduling policy; empty for the default one.
	Policy string
	// NodeArguments are further flags of every daemon.
	NodeArguments []string
	// Faults puts a proxy on each link: into each node's peer address, from
	// each node to the log, and into each engine.
	Faults bool
	// PeerLatency, CallerLatency and EngineLatency are added one way, rounded up
	// to whole milliseconds. The first two put a proxy on the links into each
	// node's peer and callers' addresses also without Faults.
	PeerLatency   time.Duration
	CallerLatency time.Duration
	// EngineLatency needs Faults.
	EngineLatency time.Duration
	// PlatformArguments are further flags of the platform's stand-ins, by kind.
	PlatformArguments map[string][]string
}

// Validate returns why the deployment cannot be started.
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
			return errors.Errorf("machine %q in zone %q: both must be named", id, zone)
		}
		if seen[id] {
			return errors.Errorf("machine %q is described twice", id)
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
