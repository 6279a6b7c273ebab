// Package settings defines the daemon's settings, which come from a TOML file
// and from flags (flags win), and checks them all before anything starts.
package settings

import (
	"slices"
	"strings"
	"time"
)

// Settings are the checked settings of one daemon.
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

// Node says who and where this daemon is.
type Node struct {
	// ID is unique over all nodes: 1..63 of a-z, 0-9, '-' and '.'.
	ID string `toml:"id"`
	// Zone and Region are names of 1..63 of a-z, 0-9 and '-'.
	Zone   string `toml:"zone"`
	Region string `toml:"region"`
	// Processors is the share of processors that this machine may use, 0..1024; 0
	// when it is not known. Able machines lead rather than others.
	Processors float64 `toml:"processors"`
	// MemoryMB is the memory that this process may use, in MB, 0..1048576; 0 when it is not known. A part of it
	// may be held for callers and engines.
	MemoryMB int `toml:"memory_mb"`
}

// Topology says where the zones of the whole system lie.
type Topology struct {
	// Zones names the region of each zone. Zones that are not named, but for the node's own, count as
	// far away, and as outside of whatever regions a request is bound to.
	Zones map[string]string `toml:"zones"`
}

// Listen holds the addresses ("ip:port"; port 0 picks a free one) of the three listeners.
type Listen struct {
	Callers   string `toml:"callers"`
	Peers     string `toml:"peers"`
	Operators string `toml:"operators"`
}

// Advertise holds the addresses that others are told, where they differ from
// the listening ones.
type Advertise struct {
	Peers string `toml:"peers"`
}

// Cluster says how other nodes are found.
type Cluster struct {
	// Seeds are peer addresses of some other nodes, tried at start.
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

// Hosted says how the node runs on a platform that keeps everything in one
// partitioned log. It is used when Log is set; the URLs of Platform are then not.
type Hosted struct {
	// Log is the log's address, ip:port.
	Log string `toml:"log"`
	// Lease is how long a leader leads after its last renewal, 500 ms..1 min.
	Lease Duration `toml:"lease"`
	// OrderQuiet is the least time between orders to engines from two machines,
	// 0..1 min.
	OrderQuiet Duration `toml:"order_quiet"`
	// EnginesFence is true when engines refuse orders with lower fencing tokens.
	EnginesFence bool `toml:"engines_fence"`
	// Partitions is the number of partitions of batch jobs, 1..1024. It is the
	// same on all nodes and never changes while jobs are kept.
	Partitions int `toml:"partitions"`
	// RecordBytes and CallBytes are the log's limits for a record and a call.
	RecordBytes int `toml:"record_bytes"`
	CallBytes   int `toml:"call_bytes"`
	// ReadsPerSecond is what the log serves to all nodes together; they read less
	// often than they would where they are many. 0 for no bound, ..10000000.
	ReadsPerSecond int `toml:"reads_per_second"`
	// ReadMBPerSecond is the megabytes a second that the log's reads bring to all nodes together; periodic full
	// reads of all nodes together stay within half of it where they can. 0 for no bound, ..1000000.
	ReadMBPerSecond float64 `toml:"read_mb_per_second"`
	// KeepJobs is how long a batch job can be read after it was accepted, 1 s..24 h.
	KeepJobs Duration `toml:"keep_jobs"`
	// Duties is the address, ip:port, of the platform's calls that one node at a time
	// makes; empty when there are none.
	Duties string `toml:"duties"`
	// DutyKinds lists the kinds of those calls, separated by commas: DutyUsage, the
	// reports of use, and DutyScaler, the orders of engines.
	DutyKinds string `toml:"duty_kinds"`
	// UsageWindow is the span of time for which the tenants' use is reported, 0 for no
	// reports, ..1 h; UsageDue the time after its end by which the report is due, ..1 h.
	UsageWindow Duration `toml:"usage_window"`
	UsageDue    Duration `toml:"usage_due"`
	// CallerStall is how long a caller may take no byte of its answer before it is cut off, 1 s..1 h.
	CallerStall Duration `toml:"caller_stall"`
}

// The kinds of duties that nodes know.
const (
	DutyUsage  = "usage"
	DutyScaler = "scaler"
)

// Duty tells whether a kind of duty is among the settings.
func (h Hosted) Duty(kind string) bool {
	return h.Duties != "" && slices.Contains(strings.Split(h.DutyKinds, ","), kind)
}

// Scheduling chooses how cells and engines are chosen.
type Scheduling struct {
	// Policy is "default", or a baseline for experiments: "round-robin",
	// "least-load" or "one-hop".
	Policy string `toml:"policy"`
}

// Weights bounds weight changes.
type Weights struct {
	// MaxConcurrentLoads bounds how many engines load at once over all models, 1..10000;
	// what the weight store was seen to feed bounds them further.
	MaxConcurrentLoads int `toml:"max_concurrent_loads"`
}

// Shutdown bounds a planned stop.
type Shutdown struct {
	// Grace is how long requests in hand may take to finish, 1 s..1 h.
	Grace Duration `toml:"grace"`
}

// Log chooses what is logged.
type Log struct {
	// Level is one of debug, info, warn, error.
	Level string `toml:"level"`
}

// Duration is a time.Duration written as "500ms" or "10s".
type Duration time.Duration

// UnmarshalText parses the TOML form.
func (d *Duration) UnmarshalText(text []byte) error {
	parsed, err := time.ParseDuration(string(text))
	*d = Duration(parsed)
	return err
}

// Default settings, where the file and the flags say nothing.
const (
	DefaultProbeInterval      = 500 * time.Millisecond
	DefaultGrace              = 10 * time.Minute
	DefaultMaxConcurrentLoads = 4096
	DefaultPolicy             = "default"
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

// Default returns settings with every default filled in.
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
		Scheduling: Scheduling{Policy: DefaultPolicy},
		Weights:    Weights{MaxConcurrentLoads: DefaultMaxConcurrentLoads},
		Shutdown:   Shutdown{Grace: Duration(DefaultGrace)},
		Log:        Log{Level: DefaultLevel},
	}
}
