package settings

import (
	"fmt"
	"maps"
	"net/netip"
	"net/url"
	"regexp"
	"slices"
	"strings"
	"time"

	"github.com/corkpulley/corkpulley/internal/core/lease"
)

// Problem is an invalid setting.
type Problem struct {
	Key      string `json:"key"`
	Value    string `json:"value"`
	Expected string `json:"expected"`
}

// String returns a one-line description.
func (p Problem) String() string {
	return fmt.Sprintf("%s = %q: expected %s", p.Key, p.Value, p.Expected)
}

// Ranges of the numeric settings.
const (
	MinProbeInterval   = 50 * time.Millisecond
	MaxProbeInterval   = 10 * time.Second
	MinGrace           = time.Second
	MaxGrace           = time.Hour
	MinConcurrentLoads = 1
	MaxConcurrentLoads = 10_000
	MinLease           = 500 * time.Millisecond
	MaxLease           = time.Minute
	MaxOrderQuiet      = lease.MaxBetweenMachines // the lease retains orders for longer than this
	MaxPartitions      = 1024
	MaxProcessors      = 1024
	MaxMemoryMB        = 1 << 20
	MinDescriptors     = 32
	MaxDescriptors     = 1 << 20
	MaxReadsPerSecond  = 10_000_000
	MaxReadMBPerSecond = 1_000_000
	MinRecordBytes     = 4 << 10
	MaxRecordBytes     = 64 << 20
	MinKeepJobs        = time.Second
	MaxKeepJobs        = 24 * time.Hour
	MinUsageWindow     = 100 * time.Millisecond
	MaxUsageWindow     = time.Hour
	MinCallerStall     = time.Second
	MaxCallerStall     = time.Hour
	MinLoadExchange    = 100 * time.Millisecond
	MaxLoadExchange    = 10 * time.Second
	MaxLiveWait        = 10 * time.Second
)

// Allowed values of scheduling.policy, scheduling.job_order, scheduling.engine_speeds and log.level.
var (
	Policies  = []string{"default", "round-robin", "least-load", "one-hop"}
	JobOrders = []string{JobOrderArrival, JobOrderDue}
	Speeds    = []string{EnginesUniform, EnginesMixed}
	Levels    = []string{"debug", "info", "warn", "error"}
)

var (
	nodeIDPattern = regexp.MustCompile(`^[a-z0-9][a-z0-9.-]{0,62}$`)
	namePattern   = regexp.MustCompile(`^[a-z0-9][a-z0-9-]{0,62}$`)
)

type checker struct {
	problems []Problem
}

// Check returns all invalid settings, or none when the settings are usable.
func Check(settings Settings) []Problem {
	var c checker
	c.pattern("node.id", settings.Node.ID, nodeIDPattern, "1..63 of a-z, 0-9, '-' and '.'")
	c.pattern("node.zone", settings.Node.Zone, namePattern, "1..63 of a-z, 0-9 and '-'")
	c.pattern("node.region", settings.Node.Region, namePattern, "1..63 of a-z, 0-9 and '-'")
	if p := settings.Node.Processors; !(p >= 0 && p <= MaxProcessors) {
		c.add("node.processors", fmt.Sprint(p), fmt.Sprintf("0..%d", MaxProcessors))
	}
	c.number("node.memory_mb", settings.Node.MemoryMB, 0, MaxMemoryMB)
	if settings.Node.MaxDescriptors != 0 {
		c.number("node.max_descriptors", settings.Node.MaxDescriptors, MinDescriptors, MaxDescriptors)
	}
	c.topology(settings.Topology, settings.Node)
	c.listenAddresses(settings.Listen)
	c.advertiseAddress(settings.Listen.Peers, settings.Advertise.Peers)
	for i, seed := range settings.Cluster.Seeds {
		c.dialAddress(fmt.Sprintf("cluster.seeds[%d]", i), seed)
	}
	c.duration("cluster.probe_interval", settings.Cluster.ProbeInterval, MinProbeInterval, MaxProbeInterval)
	if settings.Hosted.Log != "" {
		c.hosted(settings.Hosted)
	} else {
		c.url("platform.log", settings.Platform.Log)
		c.url("platform.weight_store", settings.Platform.WeightStore)
		c.url("platform.machines", settings.Platform.Machines)
		c.url("platform.scorer", settings.Platform.Scorer)
		if interval := time.Duration(settings.Hosted.LoadExchange); interval != 0 {
			c.add("hosted.load_exchange", interval.String(), "0, because hosted.log is not set")
		}
	}
	c.oneOf("scheduling.policy", settings.Scheduling.Policy, Policies)
	c.oneOf("scheduling.job_order", settings.Scheduling.JobOrder, JobOrders)
	if settings.Scheduling.JobOrder == JobOrderDue && settings.Hosted.Log == "" {
		c.add("scheduling.job_order", JobOrderDue, JobOrderArrival+" unless hosted.log is set")
	}
	c.oneOf("scheduling.engine_speeds", settings.Scheduling.EngineSpeeds, Speeds)
	if settings.Scheduling.EngineSpeeds == EnginesMixed && settings.Hosted.Log == "" {
		c.add("scheduling.engine_speeds", EnginesMixed, EnginesUniform+" unless hosted.log is set")
	}
	c.duration("scheduling.live_wait", settings.Scheduling.LiveWait, 0, MaxLiveWait)
	if settings.Scheduling.LiveWait > 0 && settings.Hosted.Log == "" {
		c.add("hosted.log", "", "ip:port of the platform's log, because scheduling.live_wait is set")
	}
	c.concurrentLoads(settings.Weights.MaxConcurrentLoads)
	c.duration("shutdown.grace", settings.Shutdown.Grace, MinGrace, MaxGrace)
	c.oneOf("log.level", settings.Log.Level, Levels)
	return c.problems
}

func (c *checker) add(key, value, expected string) {
	c.problems = append(c.problems, Problem{Key: key, Value: value, Expected: expected})
}

func (c *checker) pattern(key, value string, pattern *regexp.Regexp, expected string) {
	if !pattern.MatchString(value) {
		c.add(key, value, expected)
	}
}

// topology checks zone and region names, and that the node's own zone has the node's region.
func (c *checker) topology(topology Topology, node Node) {
	for _, zone := range slices.Sorted(maps.Keys(topology.Zones)) {
		region := topology.Zones[zone]
		key := "topology.zones." + zone
		switch {
		case !namePattern.MatchString(zone):
			c.add(key, zone, "the name of a zone, 1..63 of a-z, 0-9 and '-'")
		case zone == node.Zone && region != node.Region:
			c.add(key, region, fmt.Sprintf("the region of this node, which is in that zone: %q", node.Region))
		default:
			c.pattern(key, region, namePattern, "the name of a region, 1..63 of a-z, 0-9 and '-'")
		}
	}
}

// listenAddresses checks the addresses that this node binds.
func (c *checker) listenAddresses(listen Listen) {
	bound := make(map[netip.AddrPort]string)
	for _, listener := range []struct{ key, value string }{
		{"listen.callers", listen.Callers},
		{"listen.peers", listen.Peers},
		{"listen.operators", listen.Operators},
	} {
		address, err := netip.ParseAddrPort(listener.value)
		if err != nil {
			c.add(listener.key, listener.value, "ip:port, port 0..65535")
			continue
		}
		if other, taken := bound[address]; taken && address.Port() != 0 {
			c.add(listener.key, listener.value, "an address different from that of "+other)
		}
		bound[address] = listener.key
	}
}

// advertiseAddress checks the peer address announced to other nodes. An unspecified
// address such as 0.0.0.0 can be bound, but not connected to.
func (c *checker) advertiseAddress(listen, advertise string) {
	if advertise != "" {
		c.dialAddress("advertise.peers", advertise)
		return
	}
	if bound, err := netip.ParseAddrPort(listen); err == nil && bound.Addr().IsUnspecified() {
		c.add("advertise.peers", advertise, "an address that other nodes can reach, because listen.peers is "+listen)
	}
}

// dialAddress checks an address that nodes connect to.
func (c *checker) dialAddress(key, value string) {
	address, err := netip.ParseAddrPort(value)
	if err != nil || address.Addr().IsUnspecified() || address.Port() == 0 {
		c.add(key, value, "ip:port with a specific IP address, port 1..65535")
	}
}

func (c *checker) url(key, value string) {
	parsed, err := url.Parse(value)
	// Paths are appended to the URL, so it must not have a query or a fragment.
	valid := err == nil && parsed.Host != "" && (parsed.Scheme == "http" || parsed.Scheme == "https") &&
		parsed.RawQuery == "" && parsed.Fragment == ""
	if !valid {
		c.add(key, value, "a URL http://ip:port or https://ip:port, without a query")
	}
}

func (c *checker) duration(key string, value Duration, low, high time.Duration) {
	if time.Duration(value) < low || time.Duration(value) > high {
		c.add(key, time.Duration(value).String(), fmt.Sprintf("%s..%s", low, high))
	}
}

func (c *checker) oneOf(key, value string, allowed []string) {
	if !slices.Contains(allowed, value) {
		c.add(key, value, "one of "+strings.Join(allowed, ", "))
	}
}

func (c *checker) hosted(hosted Hosted) {
	c.dialAddress("hosted.log", hosted.Log)
	c.duration("hosted.lease", hosted.Lease, MinLease, MaxLease)
	c.duration("hosted.order_quiet", hosted.OrderQuiet, 0, MaxOrderQuiet)
	c.number("hosted.partitions", hosted.Partitions, 1, MaxPartitions)
	c.number("hosted.record_bytes", hosted.RecordBytes, MinRecordBytes, MaxRecordBytes)
	c.number("hosted.call_bytes", hosted.CallBytes, MinRecordBytes, MaxRecordBytes)
	c.number("hosted.reads_per_second", hosted.ReadsPerSecond, 0, MaxReadsPerSecond)
	if rate := hosted.ReadMBPerSecond; !(rate >= 0 && rate <= MaxReadMBPerSecond) {
		c.add("hosted.read_mb_per_second", fmt.Sprint(rate), fmt.Sprintf("0..%d", MaxReadMBPerSecond))
	}
	c.duration("hosted.keep_jobs", hosted.KeepJobs, MinKeepJobs, MaxKeepJobs)
	c.duration("hosted.caller_stall", hosted.CallerStall, MinCallerStall, MaxCallerStall)
	if hosted.LoadExchange != 0 {
		c.duration("hosted.load_exchange", hosted.LoadExchange, MinLoadExchange, MaxLoadExchange)
	}
	c.duties(hosted)
}

// duties checks the settings of the duties and of usage reports.
func (c *checker) duties(hosted Hosted) {
	if hosted.Duties != "" {
		c.dialAddress("hosted.duties", hosted.Duties)
	} else if hosted.DutyKinds != "" {
		c.add("hosted.duties", "", "ip:port of the platform service for duties, because hosted.duty_kinds is set")
	}
	if hosted.UsageWindow != 0 || hosted.HasDuty(DutyUsage) {
		c.duration("hosted.usage_window", hosted.UsageWindow, MinUsageWindow, MaxUsageWindow)
	}
	c.duration("hosted.usage_due", hosted.UsageDue, MinUsageWindow, MaxUsageWindow)
}

func (c *checker) concurrentLoads(value int) {
	c.number("weights.max_concurrent_loads", value, MinConcurrentLoads, MaxConcurrentLoads)
}

func (c *checker) number(key string, value, low, high int) {
	if value < low || value > high {
		c.add(key, fmt.Sprint(value), fmt.Sprintf("%d..%d", low, high))
	}
}
