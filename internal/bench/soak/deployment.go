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
	// orderedEngines are as many that the leader, which has a few load at a time, does not
	// order some for longer than the quiet time.
	orderedEngines = 10
	startTimeout   = 30 * time.Second
)

// deployment is the whole system of a soak: real nodes, each behind a proxy to
// the store, and the stand-ins of the store and the engines.
type deployment struct {
	history *History
	network *faultproxy.Network
	store   *storeFaults
	duties  *standin.Duties
	// dutiesFront is where the nodes find duties.
	dutiesFront *front
	nodes       []*node
	places      []*place
	// senders tells the nodes apart at the engines.
	senders *senders
	// leader is the node that leads.
	leader *leaderSeen
	// evacuated counts the evacuations under way.
	evacuated *evacuated
	// strayAddress is where entries that name no engine point to.
	strayAddress string
	// placement is true under a schedule of placement faults, restartsUnderID where engines that
	// end under a request start again under their ID.
	placement       bool
	restartsUnderID bool
	// enginesFence is true where the engines, and what takes the platform's calls,
	// refuse lower fencing tokens than one seen.
	enginesFence bool

	closers []func()
	wait    sync.WaitGroup
}

// deploy starts everything and waits until the nodes are ready.
func deploy(ctx context.Context, plan plan, directory string, history *History) (*deployment, error) {
	binaries, err := topology.Find(ctx, directory)
	if err != nil {
		return nil, err
	}
	d := &deployment{
		history: history, network: faultproxy.NewNetwork(), store: newStoreFaults(), duties: standin.NewDuties(),
		leader: newLeaderSeen(), enginesFence: plan.enginesFence, senders: &senders{unknown: newWay(anyNode)},
		evacuated: newEvacuated(), placement: plan.placement(), restartsUnderID: plan.placement() && plan.has(Incarnations),
	}
	if !plan.enginesFence {
		d.duties.IgnoreFences()
	}
	d.closers = append(d.closers, d.network.Close)
	dutiesAddress, err := d.serveDuties()
	if err != nil {
		return d, err
	}
	if d.strayAddress, err = d.serve(http.HandlerFunc(history.takeStray)); err != nil {
		return d, err
	}
	for number := range plan.lookups() + plan.drafts() {
		service := standin.ServiceLookup
		if number >= plan.lookups() {
			service = standin.ServiceDrafts
		}
		if err := d.addPlace(ctx, number, service); err != nil {
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
	if err := d.openFronts(); err != nil {
		return d, err
	}
	d.wait.Go(func() { d.store.releaseLate(ctx) })
	for _, each := range d.nodes {
		d.wait.Go(func() { each.run(ctx) })
	}
	return d, nil
}

// serveDuties serves what takes the platform's calls behind a front, and returns its
// address.
func (d *deployment) serveDuties() (string, error) {
	upstream, err := d.serve(d.duties)
	if err != nil {
		return "", err
	}
	listed, err := process.FreeAddress()
	if err != nil {
		return "", err
	}
	d.dutiesFront = newFront(listed, upstream, d.senders.wayOf)
	d.closers = append(d.closers, d.dutiesFront.cut)
	return listed, nil
}

// openFronts has all fronts take connections, once the nodes are known.
func (d *deployment) openFronts() error {
	fronts := []*front{d.dutiesFront}
	for _, each := range d.places {
		fronts = append(fronts, each.front)
	}
	for _, each := range fronts {
		if err := each.listen(); err != nil {
			return err
		}
	}
	return nil
}

// serve serves a stand-in and returns its address.
func (d *deployment) serve(handler http.Handler) (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", errors.Wrap(err, "listen for a stand-in")
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: time.Minute}
	go func() { _ = server.Serve(listener) }()
	d.closers = append(d.closers, func() { _ = server.Close() })
	return listener.Addr().String(), nil
}

func (d *deployment) addPlace(ctx context.Context, number int, service string) error {
	listen, err := process.FreeAddress()
	if err != nil {
		return err
	}
	listed, err := process.FreeAddress()
	if err != nil {
		return err
	}
	p := &place{
		number: number, service: service, store: d.store.store, history: d.history, listen: listen, checkFences: d.enginesFence,
		front: newFront(listed, listen, d.senders.wayOf),
	}
	if d.placement {
		p.coldFor = coldStart
	}
	p.crashed = func(run standin.Run) { d.crashUnder(ctx, p, run) }
	if err := p.start(); err != nil {
		return err
	}
	d.places = append(d.places, p)
	if d.placement {
		d.wait.Go(func() { p.writeOnAndOn(ctx) })
	}
	d.closers = append(d.closers, p.stop, p.front.cut)
	return nil
}

func (d *deployment) addNode(ctx context.Context, number int, daemons []string, directory, dutiesAddress string) error {
	store := newNodeStore(d.store, d.leader.wrote)
	if d.placement {
		store.gave = func(answer []byte) { d.history.addBodies(number, answer) }
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
		number: number, callers: addresses[0], operators: addresses[1], directory: directory, link: link, store: store,
		enginesFence: d.enginesFence,
	}
	text := n.settingsText(link.Address(), dutiesAddress, addresses[2])
	for i, daemon := range daemons {
		file := filepath.Join(directory, fmt.Sprintf("node-%d.build-%d.toml", number, i))
		build, err := newBuild(ctx, daemon, file, text, topologyTable())
		if err != nil {
			return err
		}
		n.builds = append(n.builds, build)
	}
	d.nodes = append(d.nodes, n)
	d.senders.nodes = append(d.senders.nodes, n)
	d.senders.ways = append(d.senders.ways, newWay(number))
	return nil
}

// awaitReady waits until every node is ready.
func (d *deployment) awaitReady(parent context.Context) error {
	ctx, cancel := context.WithTimeout(parent, startTimeout)
	defer cancel()
	for _, each := range d.nodes {
		for !each.ready(ctx) {
			if parent.Err() != nil {
				return errors.Wrap(parent.Err(), "wait for the nodes")
			}
			if ctx.Err() != nil {
				return errors.Errorf("node %d is not ready after %s", each.number, startTimeout)
			}
			retry.Sleep(ctx, 50*time.Millisecond)
		}
	}
	return nil
}

// engines returns what every engine saw.
func (d *deployment) engines() []EngineSeen {
	var all []EngineSeen
	for _, each := range d.places {
		all = append(all, each.seen()...)
	}
	return all
}

// unplannedEnds returns the ends of nodes that the soak did not cause.
func (d *deployment) unplannedEnds() []string {
	var all []string
	for _, each := range d.nodes {
		each.mu.Lock()
		all = append(all, each.unplanned...)
		each.mu.Unlock()
	}
	return all
}

// close ends the nodes, which nobody restarts any more, and the stand-ins.
func (d *deployment) close() {
	for _, each := range d.nodes {
		each.kill()
	}
	d.wait.Wait()
	for i := len(d.closers) - 1; i >= 0; i-- {
		d.closers[i]()
	}
}
