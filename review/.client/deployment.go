package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"sync"
	"syscall"
	"time"

	benchprocess "github.com/corkpulley/corkpulley/internal/bench/process"
	standin "github.com/corkpulley/corkpulley/internal/standin/platform"
)

const (
	daemon       = "target/corkpulleyd"
	templateFile = "deploy/corkpulleyd.toml.template"
	routeHost    = "ficu95.example"
	model        = "daka510000"
	region       = "pnw"
	// Bounds of the small deployments.
	grace       = 8 * time.Second
	contact     = 3 * time.Second
	startLimit  = 15 * time.Second
	heartbeat   = 1200 * time.Millisecond
	pollPeriod  = time.Second
	missesToOut = 2
)

// deployment is a small deployment: the platform's stand-in, engines and nodes.
type deployment struct {
	record  *record
	trouble bool
	folder  string
	store   *standin.Store
	server  *http.Server
	address string
	zones   map[string]string
	nodes   []*node
	ctx     context.Context
	cancel  context.CancelFunc
	closers []func()
}

// onClose adds a function that close calls.
func (d *deployment) onClose(closer func()) { d.closers = append(d.closers, closer) }

func newDeployment(recordPath string, trouble bool) (*deployment, error) {
	if _, err := os.Stat(daemon); err != nil {
		return nil, fmt.Errorf("%s is not built: %w", daemon, err)
	}
	notes, err := newRecord(recordPath)
	if err != nil {
		return nil, err
	}
	folder, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	store := standin.NewStore(standin.DefaultLimits())
	server := &http.Server{Handler: store, ReadHeaderTimeout: time.Minute}
	go func() { _ = server.Serve(listener) }()
	ctx, cancel := context.WithCancel(context.Background())
	return &deployment{
		record: notes, trouble: trouble, folder: folder, store: store, server: server,
		address: listener.Addr().String(), zones: make(map[string]string), ctx: ctx, cancel: cancel,
	}, nil
}

// close ends all processes that the case started.
func (d *deployment) close() {
	d.cancel()
	for _, n := range d.nodes {
		n.kill()
	}
	for _, closer := range d.closers {
		closer()
	}
	_ = d.server.Close()
	_ = os.RemoveAll(d.folder)
	d.record.close()
}

// sleep waits, and returns false if the case is over.
func (d *deployment) sleep(duration time.Duration) bool {
	select {
	case <-d.ctx.Done():
		return false
	case <-time.After(duration):
		return true
	}
}

// configure writes a configuration into the store, as the operator does.
func (d *deployment) configure(version int, routes []map[string]any, services []map[string]any) error {
	raw, err := json.Marshal(map[string]any{
		"version": version, "routes": routes, "services": services,
		"limits": map[string]any{
			"maxHeaderBytes": 16384, "maxBodyBytes": 33554432, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000,
		},
	})
	if err != nil {
		return err
	}
	d.store.Log.Put("keyed.op", "config", raw)
	d.record.note("configuration %d: %s", version, raw)
	return nil
}

// node is one machine of the system: its process is started again after it ended.
type node struct {
	deployment *deployment
	name, zone string
	settings   string
	front      string
	ready      string

	mu      sync.Mutex
	command *exec.Cmd
	ended   chan struct{}
	// stopped is the time of the last SIGTERM, disturbed those of all SIGTERMs and starts.
	stopped   time.Time
	disturbed []time.Time
	closed    bool
	// misses counts the readiness questions in a row without a 200.
	misses int
}

// addNode writes the settings of a node from the project's template and starts it.
func (d *deployment) addNode(name, zone string) error {
	addresses := make([]string, 3)
	for i := range addresses {
		address, err := benchprocess.FreeAddress()
		if err != nil {
			return err
		}
		addresses[i] = address
	}
	host, port, err := net.SplitHostPort(addresses[2])
	if err != nil {
		return err
	}
	internal, err := strconv.Atoi(port)
	if err != nil {
		return err
	}
	template, err := os.ReadFile(templateFile)
	if err != nil {
		return err
	}
	text := render(string(template), fields{
		"nodeName": name, "zone": zone, "region": region, "zones": d.zones, "ip": host,
		"limits":        fields{"cpuShare": 0.8, "memoryMb": 344},
		"listen":        fields{"front": addresses[0], "ready": addresses[1]},
		"internalPorts": []int{internal},
		"platform": fields{
			"address": d.address, "record_bytes": 262144, "call_bytes": 2097152, "readsPerS": 2000,
		},
		"bounds": fields{"leaseMs": 3000, "fencing": true, "statusIntervalS": 120, "graceS": 8},
	})
	n := &node{
		deployment: d, name: name, zone: zone, front: addresses[0], ready: addresses[1],
		settings: filepath.Join(d.folder, name+".toml"),
	}
	if err := os.WriteFile(n.settings, []byte(text), 0o600); err != nil {
		return err
	}
	d.nodes = append(d.nodes, n)
	return n.start()
}

// start starts the node's process with the command of the deploy file.
func (n *node) start() error {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.closed {
		return nil
	}
	logs, err := os.OpenFile(filepath.Join(n.deployment.folder, n.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	command := exec.Command(daemon)
	command.Env = []string{
		"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=" + os.Getenv("LANG"),
		"CORKPULLEY_NODE_FILE=" + n.settings, "CORKPULLEY_ENGINE_SPEEDS=mixed",
	}
	command.Stdout, command.Stderr = logs, logs
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := command.Start(); err != nil {
		return err
	}
	n.command, n.ended = command, make(chan struct{})
	n.disturbed = append(n.disturbed, time.Now())
	n.deployment.record.note("node %s started", n.name)
	go func(ended chan struct{}) {
		err := command.Wait()
		_ = logs.Close()
		close(ended)
		n.deployment.record.note("node %s ended: %v", n.name, err)
		if n.deployment.sleep(500 * time.Millisecond) {
			_ = n.start()
		}
	}(n.ended)
	return nil
}

// terminate sends SIGTERM, and SIGKILL after the grace period, as the platform does.
func (n *node) terminate() {
	n.mu.Lock()
	command, ended := n.command, n.ended
	n.stopped = time.Now()
	n.disturbed = append(n.disturbed, n.stopped)
	n.mu.Unlock()
	n.deployment.record.note("SIGTERM to %s", n.name)
	_ = command.Process.Signal(syscall.SIGTERM)
	go func() {
		select {
		case <-ended:
		case <-time.After(grace):
			n.deployment.record.note("SIGKILL to %s", n.name)
			_ = command.Process.Kill()
		}
	}()
}

// inTouch reports whether a machine whose process runs was in touch at a time: its process was not stopped or started
// in the contact time before. The store and the links are undisturbed in all cases that ask.
func (n *node) inTouch(at time.Time) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, disturbed := range n.disturbed {
		if since := at.Sub(disturbed); since >= 0 && since <= contact {
			return false
		}
	}
	return true
}

func (n *node) lastStop() time.Time {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.stopped
}

func (n *node) kill() {
	n.mu.Lock()
	n.closed = true
	command, ended := n.command, n.ended
	n.mu.Unlock()
	if command == nil {
		return
	}
	_ = command.Process.Kill()
	<-ended
}

var readyClient = &http.Client{
	Timeout: 900 * time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true},
}

func (n *node) isReady() bool {
	response, err := readyClient.Get("http://" + n.ready + "/readyz")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// awaitReady waits until all nodes are ready.
func (d *deployment) awaitReady() error {
	until := time.Now().Add(startLimit)
	for _, n := range d.nodes {
		for !n.isReady() {
			if time.Now().After(until) {
				return errors.New("node " + n.name + " is not ready in time")
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	d.record.note("all nodes are ready")
	return nil
}

// watchReadiness asks each node once a second whether it is ready, as the platform does.
func (d *deployment) watchReadiness() {
	for d.sleep(pollPeriod) {
		for _, n := range d.nodes {
			ready := n.isReady()
			n.mu.Lock()
			if ready {
				n.misses = 0
			} else {
				n.misses++
			}
			n.mu.Unlock()
		}
	}
}

// choose returns the node for a new connection of a client in a zone: among the nodes that are in, by a hash of the
// client; if fewer than half of the zone's nodes are in, among all of them.
func (d *deployment) choose(zone string, client int) *node {
	var all, in []*node
	for _, n := range d.nodes {
		if n.zone != zone {
			continue
		}
		all = append(all, n)
		n.mu.Lock()
		if n.misses < missesToOut {
			in = append(in, n)
		}
		n.mu.Unlock()
	}
	if 2*len(in) < len(all) {
		in = all
	}
	return in[client%len(in)]
}

// addEngine starts an engine at a free address; it starts again with a new ID after each crash.
func (d *deployment) addEngine(options standin.EngineOptions, restartAfter time.Duration) (*standin.EngineHost, error) {
	address, err := benchprocess.FreeAddress()
	if err != nil {
		return nil, err
	}
	return standin.NewEngineHost(d.store, address, options, restartAfter, 3*heartbeat)
}
