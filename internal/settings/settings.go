// Package settings defines the daemon's settings, reads them from a TOML file
// and from flags (flags override the file), and validates them.
package settings

import (
	"slices"
	"strings"
	"time"
)

// Settings are the settings of one daemon.
type Settings struct {
	Node       Node       `toml:"node"`
	Topology   Topology   `toml:"topology"`
	Listen     Listen     `toml:"listen"`
	Advertise  Advertise  `toml:"advertise"`
	Cluster    Cluster    `toml:"cluster"`
	Platform   Platform   `toml:"platform"`
	Hosted     Hosted     `toml:"hosted"`
	Scheduling Scheduling `toml:"scheduling"`
	Weights    Weights    `toml:"weights"`
	Shutdown   Shutdown   `toml:"shutdown"`
	Log        Log        `toml:"log"`
}

// Node identifies this daemon and describes its location and resources.
type Node struct {
	// ID is unique over all nodes: 1..63 of a-z, 0-9, '-' and '.'.
	ID string `toml:"id"`
	// Zone and Region are names of 1..63 of a-z, 0-9 and '-'.
	Zone   string `toml:"zone"`
	Region string `toml:"region"`
	// Processors is the number of processors available to this process, possibly
	// fractional, 0..1024; 0 when unknown. Nodes with more are preferred as leaders.
	Processors float64 `toml:"processors"`
	// MemoryMB is the memory available to this process, in MB, 0..1048576; 0 when unknown. It determines
	// how much may be buffered for callers and engines.
	MemoryMB int `toml:"memory_mb"`
	// MaxDescriptors is the number of descriptors that this process may have, 0 or 32..1048576; 0 for the limit of the
	// operating system, which bounds it in any case. It determines how many connections listeners accept.
	MaxDescriptors int `toml:"max_descriptors"`
}

// Topology maps the zones of the system to regions.
type Topology struct {
	// Zones names the region of each zone. A zone that is missing here, other than the node's own, counts
	// as remote and as outside the regions that a request is restricted to.
	Zones map[string]string `toml:"zones"`
}

// Listen holds the addresses of the listeners ("ip:port"; port 0 picks a free port).
type Listen struct {
	Callers   string `toml:"callers"`
	Peers     string `toml:"peers"`
	Operators string `toml:"operators"`
}

// Advertise holds the addresses announced to other nodes, where they differ from
// the listen addresses.
type Advertise struct {
	Peers string `toml:"peers"`
}

// Cluster configures discovery and failure detection of other nodes.
type Cluster struct {
	// Seeds are peer addresses of other nodes, contacted to join the cluster.
	Seeds []string `toml:"seeds"`
	// ProbeInterval is the time between two failure-detection probes, 50 ms..10 s.
	ProbeInterval Duration `toml:"probe_interval"`
}

// Platform holds the base URLs of the platform's services.
type Platform struct {
	Log         string `toml:"log"`
	WeightStore string `toml:"weight_store"`
	Machines    string `toml:"machines"`
	Scorer      string `toml:"scorer"`
}

// Hosted configures a node on a platform that stores all state in one partitioned
// log. When Log is set, it replaces the URLs of Platform.
type Hosted struct {
	// Log is the log's address, ip:port.
	Log string `toml:"log"`
	// Lease is how long leadership lasts after its last renewal, 500 ms..1 min.
	Lease Duration `toml:"lease"`
	// OrderQuiet is the minimum time between orders that different machines send to
	// the same engine, 0..10 min.
	OrderQuiet Duration `toml:"order_quiet"`
	// EnginesFence is true when engines reject orders with lower fencing tokens.
	EnginesFence bool `toml:"engines_fence"`
	// Partitions is the number of partitions of batch jobs, 1..1024. It must be the
	// same on all nodes and must not change while jobs are retained.
	Partitions int `toml:"partitions"`
	// RecordBytes and CallBytes are the log's size limits for a record and a call,
	// each 4 KiB..64 MiB.
	RecordBytes int `toml:"record_bytes"`
	CallBytes   int `toml:"call_bytes"`
	// ReadsPerSecond is the read rate that the log serves to all nodes together,
	// 0..10000000; 0 for no limit. Nodes poll less often in larger clusters.
	ReadsPerSecond int `toml:"reads_per_second"`
	// ReadMBPerSecond is the read throughput of the log for all nodes together, in MB/s, 0..1000000; 0 for no
	// limit. Periodic full reads of all nodes together use at most half of it where possible.
	ReadMBPerSecond float64 `toml:"read_mb_per_second"`
	// KeepJobs is how long a batch job is retained after it was accepted, 1 s..24 h.
	KeepJobs Duration `toml:"keep_jobs"`
	// Duties is the address, ip:port, of the platform service for duties: calls that
	// only one node at a time makes. Empty when there are none.
	Duties string `toml:"duties"`
	// DutyKinds is a comma-separated list of the duties to perform: DutyUsage and DutyScaler.
	DutyKinds string `toml:"duty_kinds"`
	// UsageWindow is the reporting period for tenants' usage, 100 ms..1 h, or 0 for no
	// reports; UsageDue is the deadline after its end for sending a report, 100 ms..1 h.
	UsageWindow Duration `toml:"usage_window"`
	UsageDue    Duration `toml:"usage_due"`
	// CallerStall is how long a caller may read nothing of its response before it is disconnected, 1 s..1 h.
	CallerStall Duration `toml:"caller_stall"`
	// LoadExchange is the interval at which nodes exchange the load of engines, 100 ms..10 s, or 0 for no exchange.
	LoadExchange Duration `toml:"load_exchange"`
}

// Kinds of duties.
const (
	DutyUsage  = "usage"  // usage reports
	DutyScaler = "scaler" // scaling of engines
)

// HasDuty reports whether the duty is configured.
func (h Hosted) HasDuty(kind string) bool {
	return h.Duties != "" && slices.Contains(strings.Split(h.DutyKinds, ","), kind)
}

// Scheduling configures which cell (a group of engines of one pool and zone that share a queue) and which engine
// runs a request.
type Scheduling struct {
	// Policy is "default", or one of the baselines for benchmarks: "round-robin",
	// "least-load" or "one-hop".
	Policy string `toml:"policy"`
	// JobOrder is the order in which the items of batch jobs start while more of them wait than slots are free:
	// JobOrderArrival or JobOrderDue.
	JobOrder string `toml:"job_order"`
	// EngineSpeeds is EnginesUniform, or EnginesMixed to divide the engines of each service into fast ones and others
	// by their observed pace. Requires Hosted.Log.
	EngineSpeeds string `toml:"engine_speeds"`
	// LiveWait is the longest time that a live request may wait at a node while all engines that may run it are
	// known to be full, 0..10 s; 0 for no waiting.
	LiveWait Duration `toml:"live_wait"`
}

// Values of Scheduling.JobOrder.
const (
	JobOrderArrival = "arrival" // by priority and arrival
	JobOrderDue     = "due"     // by priority and due time, see docs/design/job-order.md
)

// Values of Scheduling.EngineSpeeds.
const (
	EnginesUniform = "uniform" // engines of a service are about alike
	EnginesMixed   = "mixed"   // some engines of a service may be much faster than the others
)

// Weights configures the rollout of weight versions.
type Weights struct {
	// MaxConcurrentLoads limits how many engines load weights concurrently over all
	// models, 1..10000. The observed throughput of the weight store limits them further.
	MaxConcurrentLoads int `toml:"max_concurrent_loads"`
}

// Shutdown configures graceful shutdown.
type Shutdown struct {
	// Grace is how long requests in flight may take to finish, 1 s..1 h.
	Grace Duration `toml:"grace"`
}

// Log configures logging.
type Log struct {
	// Level is one of debug, info, warn, error.
	Level string `toml:"level"`
}

// Duration is a time.Duration with the text form of time.ParseDuration, such as "500ms".
type Duration time.Duration

// UnmarshalText parses the TOML form.
func (d *Duration) UnmarshalText(text []byte) error {
	parsed, err := time.ParseDuration(string(text))
	*d = Duration(parsed)
	return err
}

// Default values of settings.
const (
	DefaultProbeInterval      = 500 * time.Millisecond
	DefaultGrace              = 10 * time.Minute
	DefaultMaxConcurrentLoads = 4096
	DefaultPolicy             = "default"
	DefaultEngineSpeeds       = EnginesUniform
	DefaultLevel              = "info"
	DefaultLease              = 1500 * time.Millisecond
	DefaultOrderQuiet         = 3 * time.Second
	DefaultPartitions         = 4
	DefaultRecordBytes        = 256 << 10
	DefaultCallBytes          = 2 << 20
	DefaultReadMBPerSecond    = 80
	DefaultKeepJobs           = 2 * time.Minute
	DefaultUsageDue           = 10 * time.Second
	DefaultCallerStall        = 20 * time.Second
	DefaultCallersAddress     = "127.0.0.1:8080"
	DefaultPeersAddress       = "127.0.0.1:7070"
	DefaultOperatorsAddress   = "127.0.0.1:9090"
)

// Default returns the settings with every default filled in; required ones stay empty.
func Default() Settings {
	return Settings{
		Listen: Listen{
			Callers:   DefaultCallersAddress,
			Peers:     DefaultPeersAddress,
			Operators: DefaultOperatorsAddress,
		},
		Cluster: Cluster{ProbeInterval: Duration(DefaultProbeInterval)},
		Hosted: Hosted{
			Lease: Duration(DefaultLease), OrderQuiet: Duration(DefaultOrderQuiet), Partitions: DefaultPartitions,
			RecordBytes: DefaultRecordBytes, CallBytes: DefaultCallBytes, ReadMBPerSecond: DefaultReadMBPerSecond,
			KeepJobs: Duration(DefaultKeepJobs), UsageDue: Duration(DefaultUsageDue),
			CallerStall: Duration(DefaultCallerStall),
		},
		Scheduling: Scheduling{Policy: DefaultPolicy, JobOrder: JobOrderArrival, EngineSpeeds: DefaultEngineSpeeds},
		Weights:    Weights{MaxConcurrentLoads: DefaultMaxConcurrentLoads},
		Shutdown:   Shutdown{Grace: Duration(DefaultGrace)},
		Log:        Log{Level: DefaultLevel},
	}
}
