package scale

import (
	"cmp"
	"context"
	"math"
	"slices"
	"sync"
	"time"

	"github.com/corkpulley/corkpulley/internal/cluster"
	"github.com/corkpulley/corkpulley/internal/core/errkind"
	"github.com/corkpulley/corkpulley/internal/core/routing"
	"github.com/corkpulley/corkpulley/internal/message"
	"github.com/corkpulley/corkpulley/internal/peer"
)

const (
	// dispatchInterval is the time between two looks at the cells, and
	// announceInterval between two announcements of one.
	dispatchInterval = 250 * time.Millisecond
	announceInterval = time.Second
	// loadSwing and loadPeriod shape the load of a cell over time.
	loadSwing  = 0.25
	loadPeriod = 40.0
)

// hollowDispatcher owns cells as the real one does, and runs no requests.
type hollowDispatcher struct {
	world   *World
	id      string
	zone    string
	cluster *cluster.Cluster

	mu         sync.Mutex
	owned      map[message.CellID]bool
	directives map[message.CellID]message.Directive
	sequence   uint64
}

func newHollowDispatcher(world *World, id, zone string, registry peer.Registry) *hollowDispatcher {
	d := &hollowDispatcher{
		world: world, id: id, zone: zone,
		owned:      make(map[message.CellID]bool),
		directives: make(map[message.CellID]message.Directive),
	}
	registry.HandleCall(peer.MethodDirective, d.handleDirective)
	return d
}

func (d *hollowDispatcher) run(ctx context.Context) {
	announced := time.Time{}
	for sleep(ctx, dispatchInterval) == nil {
		d.reconcile()
		now := time.Now()
		if now.Sub(announced) >= announceInterval {
			announced = now
			d.announce(now)
		}
		d.followDirectives()
	}
}

// reconcile finds the cells that this node owns among the zone's members.
func (d *hollowDispatcher) reconcile() {
	candidates := d.cluster.Candidates(d.zone)
	members := make([]string, len(candidates))
	for i, member := range candidates {
		members[i] = member.ID
	}
	owned := make(map[message.CellID]bool)
	for _, cell := range d.world.zoneCells[d.zone] {
		if routing.CellOwner(cell.id, members) == d.id {
			owned[cell.id] = true
		}
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.owned = owned
	for id := range d.directives {
		if !owned[id] {
			delete(d.directives, id)
		}
	}
}

func (d *hollowDispatcher) announce(now time.Time) {
	for _, cell := range d.ownedCells() {
		d.mu.Lock()
		d.sequence++
		sequence := d.sequence
		d.mu.Unlock()
		phase := float64(cell.id.Index) + float64(now.UnixMilli())/1000*2*math.Pi/loadPeriod
		digest := cell.digest(0.5 + loadSwing*math.Sin(phase))
		digest.Sequence = sequence
		d.cluster.AnnounceCell(digest)
	}
}

func (d *hollowDispatcher) ownedCells() []*hollowCell {
	d.mu.Lock()
	defer d.mu.Unlock()
	var cells []*hollowCell
	for _, cell := range d.world.zoneCells[d.zone] {
		if d.owned[cell.id] {
			cells = append(cells, cell)
		}
	}
	return cells
}

func (d *hollowDispatcher) owns(id message.CellID) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.owned[id]
}

func (d *hollowDispatcher) followDirectives() {
	for _, cell := range d.ownedCells() {
		d.mu.Lock()
		wanted, directed := d.directives[cell.id]
		d.mu.Unlock()
		if directed {
			cell.follow(wanted, d.world.settings.Floor)
		}
	}
}

func (d *hollowDispatcher) handleDirective(_ context.Context, request peer.Request) (any, error) {
	var received message.Directive
	if err := request.Decode(&received); err != nil {
		return nil, errkind.New(errkind.InvalidRequest, "directive: %v", err)
	}
	cell := d.world.cells[received.Cell]
	if cell == nil || !d.owns(received.Cell) {
		return nil, errkind.New(errkind.NotOwner, "cell is not owned by %s", d.id)
	}
	d.mu.Lock()
	if held, found := d.directives[received.Cell]; found && held.Epoch > received.Epoch {
		d.mu.Unlock()
		return message.DirectiveResult{StaleEpoch: held.Epoch}, nil
	}
	d.directives[received.Cell] = received
	d.mu.Unlock()
	return cell.follow(received, d.world.settings.Floor), nil
}

func sortModels(models []message.ModelCount) {
	slices.SortFunc(models, func(a, b message.ModelCount) int { return cmp.Compare(a.Version, b.Version) })
}
