package scale

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"github.com/rs/xid"
	"golang.org/x/time/rate"

	"github.com/corkpulley/corkpulley/internal/api"
	"github.com/corkpulley/corkpulley/internal/core/ledger"
	"github.com/corkpulley/corkpulley/internal/core/policy"
	"github.com/corkpulley/corkpulley/internal/message"
	"github.com/corkpulley/corkpulley/internal/platform/machines"
	"github.com/corkpulley/corkpulley/internal/weights"
)

const (
	// trainerCount is the number of trainers, each with its ledger.
	trainerCount = 13
	seedCount    = 3
	firstVersion = 1
	noRegion     = -1
	// startPace is the pause between two starts of nodes.
	startPace = 10 * time.Millisecond
)

// World is a deployment of hollow nodes and engines in one process.
type World struct {
	settings Settings
	base     context.Context
	network  *network
	log      *memoryLog
	store    *store
	seeds    []string
	random   *rand.Rand
	// latest is the newest version of all models, orders the load orders taken.
	latest atomic.Uint64
	orders atomic.Uint64
	// noLog is a region that can't reach the log; noRegion for none.
	noLog atomic.Int64

	cells     map[message.CellID]*hollowCell
	zoneCells map[string][]*hollowCell
	nodes     []*hollowNode

	mu      sync.Mutex
	listed  map[string]machines.Machine // nodes of the machine list
	encoded []byte                      // the machine list, encoded; nil when stale
	changes uint64                      // of the machine list
}

// newWorld lays out zones, cells and engines; start starts the nodes.
func newWorld(ctx context.Context, settings Settings) *World {
	w := &World{
		settings:  settings,
		base:      ctx,
		network:   newNetwork(settings.latencies()),
		log:       newMemoryLog(),
		random:    rand.New(rand.NewPCG(settings.Seed, settings.Seed)),
		cells:     make(map[message.CellID]*hollowCell),
		zoneCells: make(map[string][]*hollowCell),
		listed:    make(map[string]machines.Machine),
	}
	w.store = &store{
		limiter:  rate.NewLimiter(rate.Limit(settings.StoreRate), max(1, int(settings.StoreRate))),
		loadTime: time.Duration(settings.LoadSeconds * float64(time.Second)),
	}
	w.latest.Store(firstVersion)
	w.noLog.Store(noRegion)
	for engine := range settings.Engines {
		w.addEngine(engine)
	}
	return w
}

// zoneAt returns the place of the index-th zone.
func (w *World) zoneAt(index int) place {
	return place{zone: fmt.Sprintf("zone-%02d", index), region: index % w.settings.Regions}
}

// addEngine puts one more engine into the cells of its zone: they fill in turn,
// and the pools take turns over the cells.
func (w *World) addEngine(engine int) {
	zone := w.zoneAt(engine % w.settings.Zones).zone
	inZone := engine / w.settings.Zones
	cellNumber := inZone / message.CellSize
	pool := (cellNumber + engine%w.settings.Zones) % w.settings.Models
	id := message.CellID{Zone: zone, Pool: poolName(pool), Index: cellNumber / w.settings.Models}
	cell := w.cells[id]
	if cell == nil {
		cell = &hollowCell{id: id, model: modelName(pool), store: w.store, orders: &w.orders}
		w.cells[id] = cell
		w.zoneCells[zone] = append(w.zoneCells[zone], cell)
	}
	cell.engines = append(cell.engines, hollowEngine{version: firstVersion})
}

func poolName(index int) string  { return fmt.Sprintf("pool-%02d", index) }
func modelName(index int) string { return fmt.Sprintf("model-%02d", index) }

func trainerName(index int) string { return fmt.Sprintf("trainer-%02d", index) }

// rows is the first table: trainers over the pools, and one live service.
func (w *World) rows() []policy.Row {
	var rows []policy.Row
	for i := range max(trainerCount, w.settings.Models) {
		pool := i % w.settings.Models
		rows = append(rows, policy.Row{
			Service: trainerName(i), Kind: policy.KindTrainer, Pool: poolName(pool), Model: modelName(pool),
			Version: policy.VersionLatest, Priority: 2, Share: 10, Staleness: 4, Repeatable: true, Floor: w.settings.Floor,
		})
	}
	return append(rows, policy.Row{
		Service: "lookup", Kind: policy.KindLive, Pool: poolName(0), Model: modelName(0),
		Version: policy.VersionLatest, Priority: 8, Share: 10, Staleness: -1, Repeatable: true, Floor: w.settings.Floor,
	})
}

// streams names the log streams that must have owners.
func (w *World) streams() []string {
	var names []string
	for i := range max(trainerCount, w.settings.Models) {
		names = append(names, ledger.StreamName(trainerName(i)))
	}
	for i := range w.settings.Models {
		names = append(names, weights.StreamName(modelName(i)))
	}
	return names
}

// start starts the nodes, one after the other over the zones, and puts the
// first table in force.
func (w *World) start() error {
	identities := make([]identity, w.settings.Nodes)
	for i := range identities {
		at := w.zoneAt(i % w.settings.Zones)
		identities[i] = identity{
			id:      fmt.Sprintf("%s-node-%02d", at.zone, i/w.settings.Zones),
			address: fmt.Sprintf("10.%d.%d.%d:7000", at.region, i%w.settings.Zones, 1+i/w.settings.Zones),
			place:   at,
		}
		w.list(identities[i], true)
	}
	for _, named := range identities[:min(seedCount, len(identities))] {
		w.seeds = append(w.seeds, named.address)
	}
	for _, named := range identities {
		w.nodes = append(w.nodes, w.startNode(named))
		if err := sleep(w.base, startPace); err != nil {
			return err
		}
	}
	_, err := w.proposeUntilReady(w.rows())
	return err
}

// proposeUntilReady proposes the first table; the log may need a moment.
func (w *World) proposeUntilReady(rows []policy.Row) (int64, error) {
	accepted, err := w.nodes[0].tables.Propose(w.base, proposalOf(w.nodes[0], rows))
	if err != nil {
		return 0, errors.Wrap(err, "propose the first table")
	}
	return accepted.Revision, nil
}

func proposalOf(at *hollowNode, rows []policy.Row) api.TableProposal {
	return api.TableProposal{
		BaseRevision: at.tables.Table().Revision,
		CSV:          policy.FormatCSV(rows),
		Operator:     "bench",
		ProposalID:   xid.New().String(),
	}
}

// stop ends all nodes at once.
func (w *World) stop() {
	var ending sync.WaitGroup
	for _, node := range w.nodes {
		ending.Go(node.crash)
	}
	ending.Wait()
}

// list puts a node on the machine list, or takes it off.
func (w *World) list(named identity, live bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.encoded = nil
	w.changes++
	if !live {
		delete(w.listed, named.id)
		return
	}
	w.listed[named.id] = machines.Machine{
		ID: named.id, Role: machines.RoleNode, Address: named.address, Zone: named.place.zone,
		Region: fmt.Sprintf("region-%d", named.place.region), State: machines.StateLive,
	}
}

// machineList returns the encoded machine list, all nodes and engines, and the
// number of its changes.
func (w *World) machineList() ([]byte, uint64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.encoded != nil {
		return w.encoded, w.changes
	}
	var list machines.List
	for _, node := range w.listed {
		list.Machines = append(list.Machines, node)
	}
	for id, cell := range w.cells {
		for i := range cell.engines {
			list.Machines = append(list.Machines, machines.Machine{
				ID:   fmt.Sprintf("engine-%s-%s-%d-%02d", id.Zone, id.Pool, id.Index, i),
				Role: machines.RoleEngine, Address: "10.128.0.1:8000", Zone: id.Zone, Pool: id.Pool,
				Region: "region-0", State: machines.StateLive,
			})
		}
	}
	encoded, err := json.Marshal(list)
	if err != nil {
		panic(err) // strings only: cannot fail
	}
	w.encoded = encoded
	return encoded, w.changes
}
