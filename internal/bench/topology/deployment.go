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

// Deployment is a running deployment. Its methods are safe for use by several
// goroutines.
type Deployment struct {
	config  Config
	group   process.Group
	network *faultproxy.Network
	http    *http.Client

	// Platform holds the addresses of the platform's stand-ins.
	Platform Platform

	nodeOrder   []string
	nodes       map[string]*Node
	engineOrder []string
	engines     map[string]*Engine
}

// requestTimeout bounds one call to a stand-in or an operators' interface.
const requestTimeout = 10 * time.Second

// Start starts all processes, publishes the models, waits until every node is
// ready and applies the table. Whatever was started is ended when it fails.
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
	if err := d.publishModels(ctx); err != nil {
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
	return inParallel(d.engineOrder, func(id string) error {
		return d.engines[id].Start(ctx)
	})
}

// startNodes allocates all addresses first: each node's seeds name the others.
func (d *Deployment) startNodes(ctx context.Context) error {
	for _, nodeConfig := range d.config.Nodes {
		node, err := d.newNode(nodeConfig)
		if err != nil {
			return err
		}
		d.nodes[nodeConfig.ID] = node
		d.nodeOrder = append(d.nodeOrder, nodeConfig.ID)
	}
	err := inParallel(d.nodeOrder, func(id string) error {
		return d.nodes[id].Start(ctx)
	})
	if err != nil {
		return err
	}
	return inParallel(d.nodeOrder, func(id string) error {
		return d.nodes[id].WaitReady(ctx)
	})
}

func inParallel(ids []string, do func(id string) error) error {
	failures := make([]error, len(ids))
	var group sync.WaitGroup
	for i, id := range ids {
		group.Go(func() { failures[i] = do(id) })
	}
	group.Wait()
	for _, err := range failures {
		if err != nil {
			return err
		}
	}
	return nil
}

// Node returns a node by its ID, or nil.
func (d *Deployment) Node(id string) *Node { return d.nodes[id] }

// Nodes returns all nodes in the order of the description.
func (d *Deployment) Nodes() []*Node {
	nodes := make([]*Node, 0, len(d.nodeOrder))
	for _, id := range d.nodeOrder {
		nodes = append(nodes, d.nodes[id])
	}
	return nodes
}

// Engine returns an engine by its ID, or nil.
func (d *Deployment) Engine(id string) *Engine { return d.engines[id] }

// Engines returns all engines in the order of the description.
func (d *Deployment) Engines() []*Engine {
	engines := make([]*Engine, 0, len(d.engineOrder))
	for _, id := range d.engineOrder {
		engines = append(engines, d.engines[id])
	}
	return engines
}

// CallerAddresses returns where callers reach the nodes, through the proxies of
// the callers' links if there are any.
func (d *Deployment) CallerAddresses() []string {
	addresses := make([]string, 0, len(d.nodeOrder))
	for _, node := range d.Nodes() {
		addresses = append(addresses, node.callerAddress())
	}
	return addresses
}

// CallerURLs returns the callers' base URLs of all nodes.
func (d *Deployment) CallerURLs() []string {
	var urls []string
	for _, address := range d.CallerAddresses() {
		urls = append(urls, "http://"+address)
	}
	return urls
}

// StopNodes stops all running nodes by plan (SIGTERM), one after the other, and
// fails when one does not exit with code 0.
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

// Close ends all processes at once and stops the proxies. It is harmless to
// call it twice.
func (d *Deployment) Close() {
	d.group.KillAll()
	d.network.Close()
	d.http.CloseIdleConnections()
}
