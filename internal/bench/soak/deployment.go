package soak

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"path/filepath"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"github.com/corkpulley/corkpulley/internal/bench/faultproxy"
	"github.com/corkpulley/corkpulley/internal/bench/process"
	"github.com/corkpulley/corkpulley/internal/bench/topology"
	"github.com/corkpulley/corkpulley/internal/common/retry"
	standin "github.com/corkpulley/corkpulley/internal/standin/platform"
)

const (
	lookupEngines = 2
	draftEngines  = 4
	// leaderFaultDraftEngines is the number of draft engines under leader faults. The leader lets only a few
	// engines load at a time, so that with this number some get no order for longer than the quiet period
	// between orders of two leaders.
	leaderFaultDraftEngines = 10
	startTimeout            = 30 * time.Second
)

// deployment is the system under test: real nodes, each behind a proxy to the store, and a simulated
// store, simulated engines and a simulated platform.
type deployment struct {
	history *History
	network *faultproxy.Network
	store   *storeFaults
	duties  *standin.Duties
	// dutiesProxy is the proxy between the nodes and the platform's duties service, which receives usage
	// reports.
	dutiesProxy *senderProxy
	nodes       []*node
	slots       []*engineSlot
	// pathResolver identifies the node of each connection to an engine.
	pathResolver *pathResolver
	leader       *leaderTracker
	// evacuationCounts counts the evacuations in progress.
	evacuationCounts *evacuationCounts
	// invalidEntryAddress is the address in invalid entries.
	invalidEntryAddress string
	// placementFaults is set for schedules of placement faults, restartsWithSameID if engines that a request
	// crashed restart under the same ID.
	placementFaults    bool
	restartsWithSameID bool
	itemCrashes        *itemCrashes
	// overlap is set for schedules of overlapping faults.
	overlap bool
	// enginesFence is set if the engines and the duties service reject fencing tokens lower than one that
	// they saw.
	enginesFence bool
	// memoryMB is the memory that nodes are told to have; 0 for none.
	memoryMB int
	// paces holds the pace of the engine of each slot under contention schedules; nil otherwise.
	paces []float64
	// settings are additional settings of the nodes, which builds of --other-daemon do not get.
	settings nodeSettings

	closers []func()
	wait    sync.WaitGroup
}

// deploy starts the simulated services and the nodes. If the deployment is not nil, it must be closed, even
// if an error is returned.
func deploy(ctx context.Context, plan plan, directory string, history *History) (*deployment, error) {
	binaries, err := topology.FindBinaries(ctx, directory)
	if err != nil {
		return nil, err
	}
	d := &deployment{
		history: history, network: faultproxy.NewNetwork(), store: newStoreFaults(), duties: standin.NewDuties(),
		leader: newLeaderTracker(), enginesFence: plan.enginesFence, memoryMB: plan.memoryMB(), pathResolver: &pathResolver{unknown: newNodePath(anyNode)},
		evacuationCounts: newEvacuationCounts(), placementFaults: plan.hasPlacementFaults(), overlap: plan.hasOverlap(),
		restartsWithSameID: plan.hasPlacementFaults() && plan.includes(Incarnations), itemCrashes: newItemCrashes(),
	}
	if plan.hasContention() {
		d.paces = paces(plan.seed, plan.lookupEngineCount(), plan.draftEngineCount())
		d.settings = contentionSettings()
		history.Contention = &ContentionRecord{LiveWait: d.settings.liveWait}
	}
	if !plan.enginesFence {
		d.duties.IgnoreFences()
	}
	d.closers = append(d.closers, d.network.Close)
	dutiesAddress, err := d.serveDuties()
	if err != nil {
		return d, err
	}
	if d.invalidEntryAddress, err = d.serve(http.HandlerFunc(history.recordInvalidEntryCall)); err != nil {
		return d, err
	}
	for number := range plan.lookupEngineCount() + plan.draftEngineCount() {
		service := standin.ServiceLookup
		if number >= plan.lookupEngineCount() {
			service = standin.ServiceDrafts
		}
		if err := d.addSlot(ctx, number, service); err != nil {
			return d, err
		}
	}
	daemons := []string{binaries.Daemon}
	if plan.otherDaemon != "" {
		daemons = append(daemons, plan.otherDaemon)
	}
	for number := range plan.nodes {
		if err := d.addNode(ctx, number, daemons, directory, dutiesAddress); err != nil {
			return d, err
		}
	}
	if err := d.openProxies(); err != nil {
		return d, err
	}
	d.wait.Go(func() { d.store.releaseLateWrites(ctx) })
	for _, each := range d.nodes {
		d.wait.Go(func() { each.run(ctx) })
	}
	return d, nil
}

// serveDuties serves the platform's duties behind a proxy and returns its address.
func (d *deployment) serveDuties() (string, error) {
	upstream, err := d.serve(d.duties)
	if err != nil {
		return "", err
	}
	proxyAddress, err := process.FreeAddress()
	if err != nil {
		return "", err
	}
	d.dutiesProxy = newSenderProxy(proxyAddress, upstream, d.pathResolver.pathOf)
	d.closers = append(d.closers, d.dutiesProxy.cut)
	return proxyAddress, nil
}

// openProxies makes all proxies accept connections. All nodes must have been added, since pathResolver reads
// them without a lock.
func (d *deployment) openProxies() error {
	proxies := []*senderProxy{d.dutiesProxy}
	for _, each := range d.slots {
		proxies = append(proxies, each.senderProxy)
	}
	for _, each := range proxies {
		if err := each.listen(); err != nil {
			return err
		}
	}
	return nil
}

// serve serves a simulated service on a free port and returns its address.
func (d *deployment) serve(handler http.Handler) (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", errors.Wrap(err, "listen for a simulated service")
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: time.Minute}
	go func() { _ = server.Serve(listener) }()
	d.closers = append(d.closers, func() { _ = server.Close() })
	return listener.Addr().String(), nil
}

func (d *deployment) addSlot(ctx context.Context, number int, service string) error {
	engineAddress, err := process.FreeAddress()
	if err != nil {
		return err
	}
	proxyAddress, err := process.FreeAddress()
	if err != nil {
		return err
	}
	pathOf := d.pathResolver.pathOf
	if d.paces != nil && service == standin.ServiceLookup {
		// A look-up reads the open files of all nodes. At the beginning of a burst, when nodes open many connections,
		// these delayed refusals by up to 0.4 s. No check of contention needs the sender of a live request.
		pathOf = func(net.Conn) *nodePath { return d.pathResolver.unknown }
	}
	slot := &engineSlot{
		number: number, service: service, store: d.store.store, history: d.history, listenAddress: engineAddress, checkFences: d.enginesFence,
		senderProxy: newSenderProxy(proxyAddress, engineAddress, pathOf),
		slots:       lookupSlots, eventTime: eventTime, ownPace: 1, pace: 1,
	}
	if service == standin.ServiceDrafts {
		slot.slots = draftSlots
	}
	if d.paces != nil {
		slot.useContentionOptions(d.paces[number])
	}
	if d.placementFaults {
		slot.coldFor = coldStart
	}
	if d.overlap {
		slot.useOverlapOptions()
	}
	slot.itemCrashes = d.itemCrashes
	slot.onCrash = func(run standin.Run) { d.crashDuringRun(ctx, slot, run) }
	if err := slot.start(); err != nil {
		return err
	}
	d.slots = append(d.slots, slot)
	if d.placementFaults {
		d.wait.Go(func() { slot.writeEntryPeriodically(ctx) })
	}
	d.closers = append(d.closers, slot.stop, slot.senderProxy.cut)
	return nil
}

func (d *deployment) addNode(ctx context.Context, number int, daemons []string, directory, dutiesAddress string) error {
	store := newNodeStore(d.store, d.leader.observe)
	if d.placementFaults {
		store.onRead = func(answer []byte) { d.history.recordBodyReads(number, answer) }
	}
	storeAddress, err := d.serve(store)
	if err != nil {
		return err
	}
	link, err := d.network.AddLink(fmt.Sprintf("node-%d", number), "127.0.0.1:0", storeAddress)
	if err != nil {
		return err
	}
	var addresses [3]string
	for i := range addresses {
		if addresses[i], err = process.FreeAddress(); err != nil {
			return err
		}
	}
	n := &node{
		number: number, callerAddress: addresses[0], operatorAddress: addresses[1], directory: directory, link: link, store: store,
		enginesFence: d.enginesFence, memoryMB: d.memoryMB,
	}
	for i, daemon := range daemons {
		settings := nodeSettings{}
		if i == 0 {
			settings = d.settings
		}
		text := n.settingsText(link.Address(), dutiesAddress, addresses[2], settings.hosted) + settings.tables
		file := filepath.Join(directory, fmt.Sprintf("node-%d.build-%d.toml", number, i))
		build, err := newBuild(ctx, daemon, file, text, topologyTable())
		if err != nil {
			return err
		}
		n.builds = append(n.builds, build)
	}
	d.nodes = append(d.nodes, n)
	d.pathResolver.nodes = append(d.pathResolver.nodes, n)
	d.pathResolver.paths = append(d.pathResolver.paths, newNodePath(number))
	return nil
}

// awaitReady waits until every node is ready.
func (d *deployment) awaitReady(parent context.Context) error {
	ctx, cancel := context.WithTimeout(parent, startTimeout)
	defer cancel()
	for _, each := range d.nodes {
		for !each.ready(ctx) {
			if parent.Err() != nil {
				return errors.Wrap(parent.Err(), "wait for the nodes to be ready")
			}
			if ctx.Err() != nil {
				return errors.Errorf("node %d is not ready after %s", each.number, startTimeout)
			}
			retry.Sleep(ctx, 50*time.Millisecond)
		}
	}
	return nil
}

// engineRecords returns what every incarnation of every engine observed.
func (d *deployment) engineRecords() []EngineRecord {
	var all []EngineRecord
	for _, each := range d.slots {
		all = append(all, each.records()...)
	}
	return all
}

// recordedProblems returns the unplanned exits and other failures that were recorded.
func (d *deployment) recordedProblems() []string {
	var all []string
	for _, each := range d.nodes {
		each.mu.Lock()
		all = append(all, each.problems...)
		each.mu.Unlock()
	}
	return all
}

// close stops the nodes and the simulated services. The context of deploy must have ended, so that no node
// is restarted.
func (d *deployment) close() {
	for _, each := range d.nodes {
		each.kill()
	}
	d.wait.Wait()
	for i := len(d.closers) - 1; i >= 0; i-- {
		d.closers[i]()
	}
}
