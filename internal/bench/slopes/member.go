package slopes

import (
	"context"
	"fmt"

	"github.com/go-faster/errors"
	"github.com/rs/zerolog"

	"github.com/corkpulley/corkpulley/internal/cluster"
	"github.com/corkpulley/corkpulley/internal/core/membership"
	"github.com/corkpulley/corkpulley/internal/peer"
)

func memberSweeps() []sweep {
	cellCounts := []int{48, 96, 192, 384}
	return []sweep{
		{
			name: "probe in the core against zone size", role: RoleMember,
			size: "members of the zone", unit: UnitMicroseconds, sizes: []int{8, 16, 24, 48},
			measure: func(_ context.Context, size int) (float64, error) { return probeCost(size) },
		},
		{
			name: "peer calls of 256 bytes", role: RoleMember,
			size: "calls", unit: UnitMicroseconds, sizes: []int{250, 500, 1000, 2000},
			measure: peerCalls,
		},
		{
			name: "digest taken in against known cells", role: RoleMember,
			size: "known cells", unit: UnitMicroseconds, sizes: cellCounts,
			measure: func(_ context.Context, size int) (float64, error) { return digestCost(size) },
		},
		{
			name: "view of all cells", role: RoleGateway,
			size: "known cells", unit: UnitMicroseconds, sizes: cellCounts,
			measure: func(_ context.Context, size int) (float64, error) { return viewCost(size) },
		},
		{
			name: "memory of members", role: RoleMember,
			size: "members of the zone", unit: UnitBytes, sizes: []int{250, 500, 1000, 2000},
			measure: func(_ context.Context, size int) (float64, error) {
				return bytesHeld(func() (any, error) { return membershipOf(0, size) })
			},
		},
		{
			name: "memory of cell digests", role: RoleMember,
			size: "known cells", unit: UnitBytes, sizes: []int{250, 500, 1000, 2000},
			measure: func(_ context.Context, size int) (float64, error) {
				return bytesHeld(func() (any, error) {
					known, stop, err := clusterWithCells(size)
					if err == nil {
						stop()
					}
					return known, err
				})
			},
		},
	}
}

// membershipOf returns the state machine of one member that knows all others.
func membershipOf(self, size int) (*membership.Node, error) {
	node, err := membership.New(membership.DefaultConfig(hollowUpdate(self), uint64(self)))
	if err != nil {
		return nil, errors.Wrap(err, "membership")
	}
	for other := range size {
		if other != self {
			node.Merge([]membership.Update{hollowUpdate(other)})
		}
	}
	node.Ready()
	if known := len(node.Members()); known != size {
		return nil, errors.Errorf("the member knows %d of %d", known, size)
	}
	return node, nil
}

func hollowUpdate(index int) membership.Update {
	return membership.Update{
		ID: hollowNodeID(index), Writer: hollowNodeID(index) + "-d0e1f2g3h4",
		Address: fmt.Sprintf("10.0.%d.%d:7400", index/250, index%250), Incarnation: 1, State: membership.Alive,
	}
}

// probeCost returns the processor time of one probe in a calm zone: the state
// machines of both sides, without codec and transport.
func probeCost(size int) (float64, error) {
	const periods = 1200
	zone := make(map[string]*membership.Node, size)
	config := membership.DefaultConfig(hollowUpdate(0), 0)
	for index := range size {
		node, err := membershipOf(index, size)
		if err != nil {
			return 0, err
		}
		zone[hollowNodeID(index)] = node
	}
	probes := 0
	total, err := processorMicroseconds(func() error {
		for range periods * config.ProbeTicks / size {
			for _, node := range zone {
				node.Tick()
				probes += deliver(zone, node.Ready().Messages)
			}
		}
		return nil
	})
	if err == nil && probes == 0 {
		return 0, errors.New("no member probed another")
	}
	return total / float64(max(probes, 1)), err
}

// deliver hands messages and their answers over until none is left, and
// returns the number of pings.
func deliver(zone map[string]*membership.Node, messages []membership.Message) int {
	pings := 0
	for len(messages) > 0 {
		next := messages[0]
		messages = messages[1:]
		if next.Kind == membership.Ping {
			pings++
		}
		receiver := zone[next.To]
		receiver.Step(next)
		messages = append(messages, receiver.Ready().Messages...)
	}
	return pings
}

// peerCalls returns the processor time of so many calls, both sides.
func peerCalls(ctx context.Context, calls int) (float64, error) {
	far, err := startTransport("node-far", func(transport *peer.Transport) {
		transport.HandleCall(peer.MethodProbe, func(_ context.Context, request peer.Request) (any, error) {
			var body []byte
			err := request.Decode(&body)
			return body, err
		})
	})
	if err != nil {
		return 0, err
	}
	defer far.close()
	near, err := startTransport("node-near", func(*peer.Transport) {})
	if err != nil {
		return 0, err
	}
	defer near.close()
	body := make([]byte, 256)
	return processorMicroseconds(func() error {
		for range calls {
			var answer []byte
			if err := near.Call(ctx, far.Address(), peer.MethodProbe, body, &answer); err != nil {
				return errors.Wrap(err, "call")
			}
		}
		return nil
	})
}

// digestCost returns the processor time to take in one fresh digest.
func digestCost(cells int) (float64, error) {
	const digests = 4000
	known, stop, err := clusterWithCells(cells)
	if err != nil {
		return 0, err
	}
	defer stop()
	next := 0
	return microsecondsEach(digests, func() error {
		digest := hollowDigest(next%cells, 1)
		digest.Sequence = uint64(2 + next/cells)
		known.ObserveCell(digest)
		next++
		return nil
	})
}

// viewCost returns the processor time to read all digests, as the router does
// for each request.
func viewCost(cells int) (float64, error) {
	const reads = 2000
	known, stop, err := clusterWithCells(cells)
	if err != nil {
		return 0, err
	}
	defer stop()
	return microsecondsEach(reads, func() error {
		if read := len(known.Cells()); read != cells {
			return errors.Errorf("%d cells, expected %d", read, cells)
		}
		return nil
	})
}

// clusterWithCells returns a cluster that knows digests and does not run.
func clusterWithCells(cells int) (*cluster.Cluster, func(), error) {
	var known *cluster.Cluster
	transport, err := startTransport("node-near", func(transport *peer.Transport) {
		known = cluster.New(cluster.Options{
			Self: hollowMember("node-near", transport.Address(), hollowZone), Caller: transport, Registry: transport,
			Logger: zerolog.Nop(),
		})
	})
	if err != nil {
		return nil, nil, err
	}
	for index := range cells {
		known.ObserveCell(hollowDigest(index, 1))
	}
	return known, transport.close, nil
}
