// Command client-2 runs the scripted cases of the second review: it starts a stand-in of the platform (store and
// engines) and nodes as separate processes, acts as their clients, and checks one rule.
package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	standin "github.com/corkpulley/corkpulley/internal/standin/platform"
)

// Figures of the small deployments on the pages.
const (
	routeHost    = "desk.example"
	modelName    = "m0"
	heartbeat    = 1200 * time.Millisecond
	configApply  = 2 * time.Second
	retryPause   = 500 * time.Millisecond
	graceSeconds = 8
)

// record collects what was sent, answered and run.
type record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

func (r *record) logf(format string, arguments ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.file, "%8.3f  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, arguments...))
}

// nodeProcess is one node of the system.
type nodeProcess struct {
	name      string
	address   string
	callers   string
	operators string
	settings  string
	logFile   string
	command   *exec.Cmd
	done      chan struct{}
}

// engineServer is one engine with its listener.
type engineServer struct {
	*standin.Engine
	address string
	server  *http.Server
	stop    chan struct{}
	once    sync.Once
	mu      sync.Mutex
	// targets holds the target of the request line of each request, by its ID.
	targets map[string]string
}

// ServeHTTP notes the target of the request line.
func (e *engineServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	e.targets[r.Header.Get("X-Corkpulley-Attempt-Id")] = r.RequestURI
	e.mu.Unlock()
	e.Engine.ServeHTTP(w, r)
}

// target returns the target of the request line of a request.
func (e *engineServer) target(id string) string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.targets[id]
}

// deployment is the platform and the nodes of one case.
type deployment struct {
	record  *record
	folder  string
	binary  string
	store   *standin.Store
	address string
	server  *http.Server
	nodes   []*nodeProcess
	engines []*engineServer
}

func newDeployment(r *record, binary string) (*deployment, error) {
	folder, err := os.MkdirTemp("", "review-2-")
	if err != nil {
		return nil, err
	}
	d := &deployment{record: r, folder: folder, binary: binary, store: standin.NewStore(standin.DefaultLimits())}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	d.address = listener.Addr().String()
	d.server = &http.Server{Handler: d.store, ReadHeaderTimeout: time.Minute}
	go func() { _ = d.server.Serve(listener) }()
	return d, nil
}

// close ends all processes that were started.
func (d *deployment) close() {
	for _, node := range d.nodes {
		if node.command != nil && node.command.Process != nil {
			_ = node.command.Process.Signal(syscall.SIGCONT)
			_ = node.command.Process.Kill()
			<-node.done
		}
	}
	for _, engine := range d.engines {
		engine.close()
	}
	_ = d.server.Close()
	_ = os.RemoveAll(d.folder)
}

// addEngine starts an engine that writes its entry at each heartbeat.
func (d *deployment) addEngine(options standin.EngineOptions) (*engineServer, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	engine := &engineServer{
		Engine: standin.NewEngine(options), address: listener.Addr().String(), stop: make(chan struct{}),
		targets: make(map[string]string),
	}
	engine.server = &http.Server{Handler: engine, ReadHeaderTimeout: time.Minute}
	go func() { _ = engine.server.Serve(listener) }()
	d.store.ListEngine(engine.Engine, engine.address, false)
	go engine.beat(d.store)
	d.engines = append(d.engines, engine)
	return engine, nil
}

func (e *engineServer) beat(store *standin.Store) {
	ticker := time.NewTicker(heartbeat)
	defer ticker.Stop()
	for {
		select {
		case <-e.stop:
			return
		case <-ticker.C:
		}
		e.mu.Lock()
		select {
		case <-e.stop:
		default:
			store.ListEngine(e.Engine, e.address, false)
		}
		e.mu.Unlock()
	}
}

func (e *engineServer) close() {
	e.once.Do(func() { close(e.stop) })
	_ = e.server.Close()
}

// configure activates a configuration.
func (d *deployment) configure(configuration map[string]any) {
	raw, err := json.Marshal(configuration)
	if err != nil {
		panic(err) // plain values always encode
	}
	d.store.Log.Put("keyed.op", "config", raw)
	d.record.logf("operator: configuration %v is acknowledged", configuration["version"])
}

// freeAddresses returns loopback addresses with different free ports.
func freeAddresses(ip string, count int) ([]string, error) {
	var addresses []string
	for range count {
		listener, err := net.Listen("tcp", ip+":0")
		if err != nil {
			return nil, err
		}
		// Closed only at the end, so that no port is drawn twice.
		defer listener.Close()
		addresses = append(addresses, listener.Addr().String())
	}
	return addresses, nil
}

// settingsText is deploy/corkpulleyd.toml.template as the platform fills it for a small deployment. logAddress is the
// store, or a proxy before it.
func settingsText(node *nodeProcess, zone, peers, logAddress string) string {
	return fmt.Sprintf(`[node]
id = %q
zone = %q
region = "pnw"
processors = 0.8
memory_mb = 344

[listen]
callers = %q
operators = %q
peers = %q

[hosted]
log = %q
order_quiet = "3000ms"
engines_fence = true
record_bytes = 262144
call_bytes = 2097152
reads_per_second = 2000
keep_jobs = "120s"

[shutdown]
grace = "%ds"

[topology.zones]
"tumwater" = "pnw"
"hillsboro" = "pnw"
"wenatchee" = "pnw"
`, node.name, zone, node.callers, node.operators, peers, logAddress, graceSeconds)
}

// addNode writes the settings of a node and starts it.
func (d *deployment) addNode(zone, logAddress string) (*nodeProcess, error) {
	number := len(d.nodes) + 1
	node := &nodeProcess{name: fmt.Sprintf("edge-%s-%d", zone, number), address: fmt.Sprintf("127.0.0.%d", 10+number)}
	addresses, err := freeAddresses(node.address, 3)
	if err != nil {
		return nil, err
	}
	node.callers, node.operators = addresses[0], addresses[1]
	peers := addresses[2]
	node.settings = filepath.Join(d.folder, node.name+".toml")
	node.logFile = filepath.Join(d.folder, node.name+".log")
	if err := os.WriteFile(node.settings, []byte(settingsText(node, zone, peers, logAddress)), 0o600); err != nil {
		return nil, err
	}
	d.nodes = append(d.nodes, node)
	return node, d.startNode(node)
}

// startNode starts the process of a node by the command of the deploy file.
func (d *deployment) startNode(node *nodeProcess) error {
	log, err := os.OpenFile(node.logFile, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	node.command = exec.Command(d.binary)
	node.command.Env = []string{
		"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "CORKPULLEY_NODE_FILE=" + node.settings,
		"CORKPULLEY_ENGINE_SPEEDS=mixed", "CORKPULLEY_MAX_DESCRIPTORS=8200",
	}
	node.command.Stdout, node.command.Stderr = log, log
	node.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := node.command.Start(); err != nil {
		return err
	}
	node.done = make(chan struct{})
	go func() {
		_ = node.command.Wait()
		close(node.done)
	}()
	return nil
}

// awaitReady waits until all nodes call themselves ready.
func (d *deployment) awaitReady(ctx context.Context) error {
	for _, node := range d.nodes {
		for !node.isReady(ctx) {
			if ctx.Err() != nil {
				return fmt.Errorf("%s is not ready: %w", node.name, ctx.Err())
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}

func (n *nodeProcess) isReady(ctx context.Context) bool {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+n.operators+"/readyz", nil)
	if err != nil {
		return false
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// keepLogs copies the nodes' logs beside the record, if asked for.
func (d *deployment) keepLogs(folder string) {
	if folder == "" {
		return
	}
	for _, node := range d.nodes {
		content, err := os.ReadFile(node.logFile)
		if err == nil {
			_ = os.WriteFile(filepath.Join(folder, strings.ReplaceAll(node.name, "/", "_")+".log"), content, 0o600)
		}
	}
}
