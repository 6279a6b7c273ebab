package topology

import (
	"context"
	"net/http"

	"github.com/go-faster/errors"

	"github.com/corkpulley/corkpulley/internal/api"
	"github.com/corkpulley/corkpulley/internal/bench/faultproxy"
	"github.com/corkpulley/corkpulley/internal/bench/process"
)

// Node is one daemon of a deployment.
type Node struct {
	machine
	// Callers, Peers and Operators are the addresses ("ip:port") that the daemon listens on.
	Callers   string
	Peers     string
	Operators string
	// Advertised is the peer address advertised to other nodes: the proxy's, if any.
	Advertised string
	// PeerLink is the proxy for peer traffic to this node; nil without
	// Config.FaultProxies and Config.PeerLatency.
	PeerLink *faultproxy.Link
	// LogLink is the proxy for this node's traffic to the log; nil without Config.FaultProxies.
	LogLink *faultproxy.Link
	// CallerLink is the proxy for caller traffic; nil without Config.CallerLatency.
	CallerLink *faultproxy.Link
}

func (d *Deployment) newNode(config NodeConfig) (*Node, error) {
	node := &Node{machine: machine{ID: config.ID, Zone: config.Zone, deployment: d}}
	for _, address := range []*string{&node.Callers, &node.Peers, &node.Operators} {
		free, err := process.FreeAddress()
		if err != nil {
			return nil, err
		}
		*address = free
	}
	node.Advertised = node.Peers
	return node, node.addLinks()
}

func (n *Node) addLinks() error {
	config := &n.deployment.config
	var err error
	if config.CallerLatency > 0 {
		n.CallerLink, err = n.deployment.addLink("callers-"+n.ID, n.Callers, config.CallerLatency)
		if err != nil {
			return err
		}
	}
	if config.FaultProxies || config.PeerLatency > 0 {
		n.PeerLink, err = n.deployment.addLink("peer-"+n.ID, n.Peers, config.PeerLatency)
		if err != nil {
			return err
		}
		n.Advertised = n.PeerLink.Address()
	}
	if config.FaultProxies {
		n.LogLink, err = n.deployment.addLink("log-"+n.ID, n.deployment.Platform.Log, 0)
	}
	return err
}

// callerAddress returns the address that callers connect to: the proxy's, if any.
func (n *Node) callerAddress() string {
	if n.CallerLink != nil {
		return n.CallerLink.Address()
	}
	return n.Callers
}

// Start starts or restarts the daemon and waits until it listens.
func (n *Node) Start(ctx context.Context) error {
	return n.launch(ctx, n.deployment.config.Binaries.Daemon, n.arguments(), isDaemonListeningLine)
}

func (n *Node) arguments() []string {
	config := n.deployment.config
	platform := n.deployment.Platform
	logAddress := platform.Log
	if n.LogLink != nil {
		logAddress = n.LogLink.Address()
	}
	arguments := []string{
		"--node-id", n.ID,
		"--zone", n.Zone,
		"--region", config.Region,
		"--listen-callers", n.Callers,
		"--listen-peers", n.Peers,
		"--listen-operators", n.Operators,
		"--advertise-peers", n.Advertised,
		"--platform-log", "http://" + logAddress,
		"--platform-weight-store", "http://" + platform.WeightStore,
		"--platform-machines", "http://" + platform.Machines,
		"--platform-scorer", "http://" + platform.Scorer,
	}
	for _, seed := range n.deployment.seeds() {
		arguments = append(arguments, "--seed", seed)
	}
	if config.Policy != "" {
		arguments = append(arguments, "--policy", config.Policy)
	}
	return append(arguments, config.NodeArguments...)
}

func (d *Deployment) seeds() []string {
	var seeds []string
	for _, node := range d.Nodes() {
		seeds = append(seeds, node.Advertised)
	}
	return seeds
}

// WaitReady waits until the node's readiness check passes.
func (n *Node) WaitReady(ctx context.Context) error {
	return WaitFor(ctx, "node "+n.ID+" to be ready", func() error {
		if !n.Running() {
			return permanent(errors.Errorf("node %s exited with code %d", n.ID, n.Process().ExitCode()))
		}
		return n.deployment.call(ctx, http.MethodGet, n.Operators, "/readyz", nil, nil)
	})
}

// Status returns the node's response to GET /v1/status.
func (n *Node) Status(ctx context.Context) (api.Status, error) {
	var status api.Status
	err := n.deployment.call(ctx, http.MethodGet, n.Operators, "/v1/status", nil, &status)
	return status, err
}

// Table returns the policy table that is active on the node.
func (n *Node) Table(ctx context.Context) (api.TableDocument, error) {
	var document api.TableDocument
	err := n.deployment.call(ctx, http.MethodGet, n.Operators, "/v1/table", nil, &document)
	return document, err
}

// ProposeTable sends a table proposal to this node without retrying.
func (n *Node) ProposeTable(ctx context.Context, proposal api.TableProposal) (api.TableAccepted, error) {
	var accepted api.TableAccepted
	err := n.deployment.call(ctx, http.MethodPost, n.Operators, "/v1/table", proposal, &accepted)
	return accepted, err
}
