package topology

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"github.com/corkpulley/corkpulley/internal/bench/faultproxy"
	"github.com/corkpulley/corkpulley/internal/bench/process"
)

// Deployment is a running deployment. Its methods are safe for concurrent use.
type Deployment struct {
	config  Config
	group   process.Group
	network *faultproxy.Network
	http    *http.Client

	// Platform holds the addresses of the platform stand-ins.
	Platform Platform

	nodeOrder   []string
	nodes       map[string]*Node
	engineOrder []string
	engines     map[string]*Engine
}

// requestTimeout bounds one request to a stand-in or a node's operator API.
const requestTimeout = 10 * time.Second

// Start starts all processes, publishes the models, waits until every node is
// ready and applies the table. On error, it kills the processes that it started.
func Start(ctx context.Context, config Config) (*Deployment, error) {
	if err := config.Validate(); err != nil {
		return nil, err
	}
	deployment := &Deployment{
		config:  config,
		network: faultproxy.NewNetwork(),
		http:    &http.Client{Timeout: requestTimeout},
		nodes:   map[string]*Node{},
		engines: map[string]*Engine{},
	}
	if err := deployment.startAll(ctx); err != nil {
		deployment.Close()
		return nil, err
	}
	return deployment, nil
}

func (d *Deployment) startAll(ctx context.Context) error {
	if err := d.startPlatform(ctx); err != nil {
		return errors.Wrap(err, "start platform")
	}
	if err := d.publishInitialModels(ctx); err != nil {
		return errors.Wrap(err, "publish models")
	}
	if err := d.startEngines(ctx); err != nil {
		return errors.Wrap(err, "start engines")
	}
	if err := d.startNodes(ctx); err != nil {
		return errors.Wrap(err, "start nodes")
	}
	if d.config.Table == "" {
		return nil
	}
	if _, err := d.ApplyTable(ctx, d.config.Table); err != nil {
		return errors.Wrap(err, "apply table")
	}
	return nil
}

func (d *Deployment) startEngines(ctx context.Context) error {
	for _, engineConfig := range d.config.Engines {
		engine, err := d.newEngine(engineConfig)
		if err != nil {
			return err
		}
		d.engines[engineConfig.ID] = engine
		d.engineOrder = append(d.engineOrder, engineConfig.ID)
	}
	return forEachParallel(d.engineOrder, func(id string) error {
		return d.engines[id].Start(ctx)
	})
}

// startNodes allocates all addresses before starting any node, because each node
// gets the addresses of all others as seeds.
func (d *Deployment) startNodes(ctx context.Context) error {
	for _, nodeConfig := range d.config.Nodes {
		node, err := d.newNode(nodeConfig)
		if err != nil {
			return err
		}
		d.nodes[nodeConfig.ID] = node
		d.nodeOrder = append(d.nodeOrder, nodeConfig.ID)
	}
	err := forEachParallel(d.nodeOrder, func(id string) error {
		return d.nodes[id].Start(ctx)
	})
	if err != nil {
		return err
	}
	return forEachParallel(d.nodeOrder, func(id string) error {
		return d.nodes[id].WaitReady(ctx)
	})
}

func forEachParallel(ids []string, do func(id string) error) error {
	errs := make([]error, len(ids))
	var group sync.WaitGroup
	for i, id := range ids {
		group.Go(func() { errs[i] = do(id) })
	}
	group.Wait()
	for _, err := range errs {
		if err != nil {
			return err
		}
	}
	return nil
}

// Node returns the node with the given ID, or nil.
func (d *Deployment) Node(id string) *Node { return d.nodes[id] }

// Nodes returns all nodes in the order of Config.Nodes.
func (d *Deployment) Nodes() []*Node {
	nodes := make([]*Node, 0, len(d.nodeOrder))
	for _, id := range d.nodeOrder {
		nodes = append(nodes, d.nodes[id])
	}
	return nodes
}

// Engine returns the engine with the given ID, or nil.
func (d *Deployment) Engine(id string) *Engine { return d.engines[id] }

// Engines returns all engines in the order of Config.Engines.
func (d *Deployment) Engines() []*Engine {
	engines := make([]*Engine, 0, len(d.engineOrder))
	for _, id := range d.engineOrder {
		engines = append(engines, d.engines[id])
	}
	return engines
}

// CallerAddresses returns the caller addresses ("ip:port") of all nodes, or
// those of their proxies where CallerLatency is set.
func (d *Deployment) CallerAddresses() []string {
	addresses := make([]string, 0, len(d.nodeOrder))
	for _, node := range d.Nodes() {
		addresses = append(addresses, node.callerAddress())
	}
	return addresses
}

// CallerURLs returns the base URLs for CallerAddresses.
func (d *Deployment) CallerURLs() []string {
	var urls []string
	for _, address := range d.CallerAddresses() {
		urls = append(urls, "http://"+address)
	}
	return urls
}

// StopNodes shuts down all running nodes gracefully (SIGTERM), one after the
// other. It returns an error if one exits with a code other than 0.
func (d *Deployment) StopNodes(ctx context.Context) error {
	for _, node := range d.Nodes() {
		if !node.Running() {
			continue
		}
		code, err := node.Terminate(ctx)
		if err != nil {
			return err
		}
		if code != 0 {
			return errors.Errorf("node %s exited with code %d, last lines %q", node.ID, code, node.Process().Logs())
		}
	}
	return nil
}

// Close kills all processes and stops the proxies. It is idempotent.
func (d *Deployment) Close() {
	d.group.KillAll()
	d.network.Close()
	d.http.CloseIdleConnections()
}
