package slopes

import (
	"context"
	"slices"
	"strings"
	"time"

	"github.com/corkpulley/corkpulley/internal/common/retry"
)

const (
	// trafficSettle lets the news of the joins run out before the measurement.
	trafficSettle = 7 * time.Second
	// trafficWindow is one repetition of the measurement, trafficRounds how many.
	trafficWindow = 2 * time.Second
	trafficRounds = 3
	// calmWindow is how long the processor time of calm members is measured.
	calmWindow = time.Second
	// calmEvery is how many groups end between two of them.
	calmEvery = 3
	// zoneSizeOfZones is the size of each zone where the number of zones varies,
	// zoneSizeOfServices where the number of services does.
	zoneSizeOfZones    = 4
	zoneSizeOfServices = 8
)

// trafficGroup is one set of hollow members that know only each other.
type trafficGroup struct {
	zones, zoneSize, models int
	members                 []*hollowClusterMember
	closers
}

func (g *trafficGroup) size() int { return g.zones * g.zoneSize }

// trafficSweep names the groups that one sweep compares.
type trafficSweep struct {
	name   string
	size   string
	sizes  []int
	group  func(size int) *trafficGroup
	groups []*trafficGroup
}

func trafficSweeps() []*trafficSweep {
	return []*trafficSweep{
		{
			name: "zone size", size: "members of the one zone", sizes: []int{6, 12, 18, 24},
			group: func(size int) *trafficGroup { return &trafficGroup{zones: 1, zoneSize: size, models: 1} },
		},
		{
			name: "zones", size: "zones of 4 members", sizes: []int{2, 6, 12, 17},
			group: func(size int) *trafficGroup {
				return &trafficGroup{zones: size, zoneSize: zoneSizeOfZones, models: 1}
			},
		},
		{
			name: "services", size: "models of each cell, in one zone of 8 members", sizes: []int{1, 16, 64, 128},
			group: func(size int) *trafficGroup {
				return &trafficGroup{zones: 1, zoneSize: zoneSizeOfServices, models: size}
			},
		},
	}
}

// runTraffic measures what hollow members send each second. All groups run at
// once: bytes and messages are counted by each member's own transport. The
// processor time of members is measured as group after group ends.
func runTraffic(ctx context.Context, options Options) ([]Measurement, error) {
	if !strings.Contains(trafficName, options.Only) {
		return nil, nil
	}
	if options.Progress != nil {
		options.Progress(trafficName)
	}
	sweeps := trafficSweeps()
	defer closeTraffic(sweeps)
	for _, each := range sweeps {
		if err := each.start(); err != nil {
			return nil, err
		}
	}
	if err := pause(ctx, trafficSettle); err != nil {
		return nil, err
	}
	rounds, err := trafficValues(ctx, sweeps)
	if err != nil {
		return nil, err
	}
	var measured []Measurement
	for index, each := range sweeps {
		measured = append(measured, each.measurements(rounds[index])...)
	}
	calm, err := endTraffic(ctx, sweeps)
	if err != nil {
		return nil, err
	}
	return append(measured, calm...), nil
}

// trafficName is the common beginning of the names of the traffic sweeps.
const trafficName = "control traffic of a member"

// traffic is what one member sends each second on average.
type traffic struct{ bytes, messages float64 }

// trafficValues returns for each sweep, round and size the members' traffic.
func trafficValues(ctx context.Context, sweeps []*trafficSweep) ([][][]traffic, error) {
	values := make([][][]traffic, len(sweeps))
	for range trafficRounds {
		before := countTraffic(sweeps)
		started := time.Now()
		if err := pause(ctx, trafficWindow); err != nil {
			return nil, err
		}
		after := countTraffic(sweeps)
		seconds := time.Since(started).Seconds()
		for index, each := range sweeps {
			round := make([]traffic, len(each.groups))
			for at, group := range each.groups {
				share := seconds * float64(group.size())
				round[at] = traffic{
					bytes:    (after[index][at].bytes - before[index][at].bytes) / share,
					messages: (after[index][at].messages - before[index][at].messages) / share,
				}
			}
			values[index] = append(values[index], round)
		}
	}
	return values, nil
}

// countTraffic returns what each group has sent since its start.
func countTraffic(sweeps []*trafficSweep) [][]traffic {
	counts := make([][]traffic, len(sweeps))
	for index, each := range sweeps {
		for _, group := range each.groups {
			counts[index] = append(counts[index], group.sent())
		}
	}
	return counts
}

func (g *trafficGroup) sent() traffic {
	var sum traffic
	for _, member := range g.members {
		for _, stats := range member.transport.Stats() {
			sum.bytes += float64(stats.BytesSent)
			sum.messages += float64(stats.MessagesSent)
		}
	}
	return sum
}

// measurements fits bytes and messages; rounds has for each round the traffic at each size.
func (t *trafficSweep) measurements(rounds [][]traffic) []Measurement {
	bytes := make([][]float64, len(rounds))
	messages := make([][]float64, len(rounds))
	for index, round := range rounds {
		for _, value := range round {
			bytes[index] = append(bytes[index], value.bytes)
			messages[index] = append(messages[index], value.messages)
		}
	}
	described := sweep{name: trafficName + " against " + t.name, role: RoleMember, size: t.size, sizes: t.sizes}
	described.unit = UnitBytesPerSecond
	inBytes := described.fit(bytes)
	described.unit = UnitMessagesPerSecond
	return []Measurement{inBytes, described.fit(messages)}
}

// start starts the groups of all sizes.
func (t *trafficSweep) start() error {
	for _, size := range t.sizes {
		group := t.group(size)
		t.groups = append(t.groups, group)
		if err := group.start(); err != nil {
			return err
		}
	}
	return nil
}

// endTraffic ends group after group, the largest first, and returns the
// processor time against the members that run, and for each sweep the memory
// of a member.
func endTraffic(ctx context.Context, sweeps []*trafficSweep) ([]Measurement, error) {
	processor := sweep{
		name: "processor time of calm members", role: RoleMember,
		size: "members that run", unit: UnitMillicores,
	}
	var load []float64
	held := make(map[*trafficGroup]float64)
	groups := allGroups(sweeps)
	running := 0
	for _, group := range groups {
		running += group.size()
	}
	for index, group := range groups {
		if index%calmEvery == 0 {
			used, err := millicores(ctx)
			if err != nil {
				return nil, err
			}
			processor.sizes, load = append(processor.sizes, running), append(load, used)
		}
		running -= group.size()
		held[group] = endGroup(group)
	}
	measured := []Measurement{processor.fit([][]float64{load})}
	for _, each := range sweeps {
		measured = append(measured, each.memory(held))
	}
	return measured, nil
}

// endGroup ends a group and returns the bytes that each member held, its
// transport included.
func endGroup(group *trafficGroup) float64 {
	members := float64(group.size())
	before := liveBytes()
	group.close()
	group.members = nil
	return (before - liveBytes()) / members
}

func (t *trafficSweep) memory(held map[*trafficGroup]float64) Measurement {
	described := sweep{
		name: "memory of a calm member against " + t.name, role: RoleMember,
		size: t.size, unit: UnitBytes, sizes: t.sizes,
	}
	var values []float64
	for _, group := range t.groups {
		values = append(values, held[group])
	}
	return described.fit([][]float64{values})
}

// millicores returns the processor time of the process over a window.
func millicores(ctx context.Context) (float64, error) {
	started := time.Now()
	used, err := processorMicroseconds(func() error { return pause(ctx, calmWindow) })
	return used / float64(time.Since(started).Microseconds()) * 1000, err
}

func allGroups(sweeps []*trafficSweep) []*trafficGroup {
	var groups []*trafficGroup
	for _, each := range sweeps {
		groups = append(groups, each.groups...)
	}
	slices.SortFunc(groups, func(a, b *trafficGroup) int { return b.size() - a.size() })
	return groups
}

func closeTraffic(sweeps []*trafficSweep) {
	for _, group := range allGroups(sweeps) {
		group.close()
	}
}

func pause(ctx context.Context, duration time.Duration) error {
	if !retry.Sleep(ctx, duration) {
		return ctx.Err()
	}
	return nil
}
