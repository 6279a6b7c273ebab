package slopes

import (
	"context"
	"fmt"
	"time"

	"github.com/rs/zerolog"

	"github.com/corkpulley/corkpulley/internal/cluster"
	"github.com/corkpulley/corkpulley/internal/peer"
	"github.com/corkpulley/corkpulley/internal/platform/machines"
)

const (
	// enginesOfZone is 6,100 engines over 17 zones.
	enginesOfZone = 359
	// announceEvery is how often a busy dispatcher tells of its cell.
	announceEvery = 500 * time.Millisecond
	// groupSeeds is how many members the later ones of a group know of.
	groupSeeds = 3
)

// hollowClusterMember is a real cluster on a real transport with a busy cell
// that no engine stands behind.
type hollowClusterMember struct {
	transport *runningTransport
	cluster   *cluster.Cluster
}

// hollowMachines is a machine list that does not change.
type hollowMachines struct{ list machines.List }

func (m *hollowMachines) List(context.Context) (machines.List, error) { return m.list, nil }

func newHollowMachines(zones int) *hollowMachines {
	source := &hollowMachines{}
	for zone := range zones {
		for index := range enginesOfZone {
			source.list.Machines = append(source.list.Machines, machines.Machine{
				ID: fmt.Sprintf("zone-%02d-engine-%04d", zone, index), Role: machines.RoleEngine,
				Address: fmt.Sprintf("10.1.%d.%d:8000", zone, index%250), Zone: zoneName(zone), Pool: hollowPool,
				State: machines.StateLive,
			})
		}
	}
	return source
}

func zoneName(index int) string { return fmt.Sprintf("zone-%02d", index) }

// start starts all members of the group; each announces one cell.
func (g *trafficGroup) start() error {
	source := newHollowMachines(g.zones)
	var seeds []string
	for index := range g.size() {
		zone := zoneName(index / g.zoneSize)
		member, err := startClusterMember(fmt.Sprintf("%s-node-%03d", zone, index), zone, seeds, source)
		if err != nil {
			return err
		}
		g.members = append(g.members, member)
		g.add(member.transport.close)
		g.add(runInBackground(member.cluster.Run))
		g.add(runInBackground(func(ctx context.Context) error { return member.announce(ctx, zone, index, g.models) }))
		if len(seeds) < groupSeeds {
			seeds = append(seeds, member.transport.Address())
		}
	}
	return nil
}

func startClusterMember(
	id, zone string, seeds []string, source machines.Source,
) (*hollowClusterMember, error) {
	member := &hollowClusterMember{}
	transport, err := startTransport(id, func(transport *peer.Transport) {
		member.cluster = cluster.New(cluster.Options{
			Self:  hollowMember(id, transport.Address(), zone),
			Seeds: seeds, Caller: transport, Registry: transport, Machines: source, Logger: zerolog.Nop(),
		})
	})
	member.transport = transport
	return member, err
}

// announce tells of a cell whose load moves all the time.
func (m *hollowClusterMember) announce(ctx context.Context, zone string, index, models int) error {
	digest := hollowDigest(index, models)
	digest.Cell.Zone, digest.Cell.Index = zone, index
	ticker := time.NewTicker(announceEvery)
	defer ticker.Stop()
	for {
		digest.Sequence++
		digest.Running = int(digest.Sequence*37+uint64(index)*61) % digest.Slots
		m.cluster.AnnounceCell(digest)
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return nil
		}
	}
}
