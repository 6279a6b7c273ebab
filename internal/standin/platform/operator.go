package platform

import (
	"encoding/json"
	"fmt"
)

// Kinds of routes.
const (
	RouteSafe   = "safe"
	RouteUnsafe = "unsafe"
	RouteStream = "streaming"
	RouteBatch  = "rollout"
)

// Settings of each Configuration's routes and services.
const (
	routeTimeoutMs   = 10_000
	lookupTimeoutMs  = 2_000
	targetMs         = 150
	streamTargetMs   = 400
	maxAttempts      = 2
	batchAttempts    = 3
	retentionS       = 60
	maxHeaderBytes   = 16 << 10
	maxBodyBytes     = 1 << 20
	headerTimeoutMs  = 3_000
	idleTimeoutMs    = 15_000
	engineConnCap    = 100
	stateDraining    = "draining"
	keyConfiguration = "config"
)

// StateReady is the state of an engine that accepts requests.
const StateReady = "ready"

// Route is one route of a Configuration. Its host is RouteHost.
type Route struct {
	Name      string
	Prefix    string
	Kind      string
	Service   string
	Resumable bool
	// SingleVersion requires that a single weight version generates each item.
	SingleVersion bool
	// ResultsDueMs is the time from a job's submission until its results are due; zero for none.
	ResultsDueMs int
	// HomeRegions are the only regions that may serve and store its requests; none allows all.
	HomeRegions []string
}

// Tenant is one tenant of a Configuration.
type Tenant struct {
	Name string   `json:"name"`
	Keys []string `json:"apiKeys"`
	// Homes has the meaning of Route.HomeRegions.
	Homes []string `json:"homeRegions,omitempty"`
}

// SlowStart configures the cold phase after an engine's start: its duration, and the rate of requests that a cold
// engine takes.
type SlowStart struct {
	ColdSeconds       float64
	RequestsPerSecond float64
}

// Configuration is a configuration that an operator activates.
type Configuration struct {
	Version int64
	Routes  []Route
	// Tenants is nil if requests need no key.
	Tenants []Tenant
	// SlowStart holds the services whose engines start cold.
	SlowStart map[string]SlowStart
}

type wireRoute struct {
	Name        string `json:"name"`
	Host        string `json:"host"`
	Prefix      string `json:"pathPrefix"`
	Kind        string `json:"routeKind"`
	Service     string `json:"service"`
	TimeoutMs   int    `json:"timeoutMs"`
	TargetMs    int    `json:"targetMs"`
	MaxAttempts int    `json:"maxAttempts"`
	RetentionS  int    `json:"queueTtlS,omitempty"`
	ResultsDue  int    `json:"resultDueMs,omitempty"`
	Resumable   bool   `json:"resumable,omitempty"`
	Single      bool   `json:"singleVersion,omitempty"`

	Homes []string `json:"homeRegions,omitempty"`
}

type wireService struct {
	Name           string         `json:"name"`
	MaxConnections int            `json:"maxConns"`
	ColdSeconds    float64        `json:"coldStartS"`
	ColdPerSecond  float64        `json:"coldPerS"`
	Engine         map[string]any `json:"engine,omitempty"`
}

// services returns the wire form of the services.
func (c Configuration) services() []wireService {
	lookup := wireService{Name: ServiceLookup, MaxConnections: engineConnCap}
	drafts := wireService{Name: ServiceDrafts, MaxConnections: engineConnCap, Engine: map[string]any{
		"models": []map[string]any{{"name": ModelDrafts}},
	}}
	all := []wireService{lookup, drafts}
	for i := range all {
		slowStart := c.SlowStart[all[i].Name]
		all[i].ColdSeconds, all[i].ColdPerSecond = slowStart.ColdSeconds, slowStart.RequestsPerSecond
	}
	return all
}

func (r Route) wire() wireRoute {
	wire := wireRoute{
		Name: r.Name, Host: RouteHost, Prefix: r.Prefix, Kind: r.Kind, Service: r.Service, Resumable: r.Resumable, Single: r.SingleVersion, Homes: r.HomeRegions,
		ResultsDue: r.ResultsDueMs,
		TimeoutMs:  lookupTimeoutMs, TargetMs: targetMs, MaxAttempts: maxAttempts,
	}
	switch r.Kind {
	case RouteBatch:
		wire.TimeoutMs, wire.TargetMs, wire.MaxAttempts = routeTimeoutMs, streamTargetMs, batchAttempts
		wire.RetentionS, wire.Resumable = retentionS, true
	case RouteStream:
		wire.TimeoutMs, wire.TargetMs = routeTimeoutMs, streamTargetMs
	}
	return wire
}

func (c Configuration) encode() []byte {
	routes := make([]wireRoute, len(c.Routes))
	for i, route := range c.Routes {
		routes[i] = route.wire()
	}
	content := map[string]any{
		"version":  c.Version,
		"routes":   routes,
		"services": c.services(),
		"limits": map[string]any{
			"maxHeaderBytes": maxHeaderBytes, "maxBodyBytes": maxBodyBytes,
			"headerTimeoutMs": headerTimeoutMs, "idleTimeoutMs": idleTimeoutMs,
		},
	}
	if c.Tenants != nil {
		content["tenants"] = c.Tenants
	}
	raw, err := json.Marshal(content)
	if err != nil {
		panic(err) // plain values always encode
	}
	return raw
}

// Configure activates a configuration.
func (s *Store) Configure(configuration Configuration) {
	s.Log.Put(topicControl, keyConfiguration, configuration.encode())
}

// PublishVersion publishes the current weight version of a model.
func (s *Store) PublishVersion(model string, version int64) {
	s.Log.Put(topicControl, "version/"+model, fmt.Appendf(nil, `{"model":%q,"version":%d}`, model, version))
}

// keyEvacuate is the key prefix of evacuation records.
const keyEvacuate = "evacuate/"

// Evacuate stops requests to the engines of a zone until EndEvacuation.
func (s *Store) Evacuate(zone string) { s.Log.Put(topicControl, keyEvacuate+zone, []byte("{}")) }

// EndEvacuation ends the evacuation of a zone.
func (s *Store) EndEvacuation(zone string) { s.Log.Put(topicControl, keyEvacuate+zone, nil) }

// PutEngineEntry writes an engine list entry with arbitrary content.
func (s *Store) PutEngineEntry(id string, content []byte) { s.Log.Put(topicEngines, id, content) }

// ListEngine adds an engine to the engine list, or updates its entry.
func (s *Store) ListEngine(engine *Engine, address string, draining bool) {
	state := StateReady
	if draining {
		state = stateDraining
	}
	s.Log.Put(topicEngines, engine.ID(), engine.Entry(address, state))
}

// KeyedTopics returns the topics written by the operator and the engines, in which the store
// retains the newest record of each key.
func KeyedTopics() []string { return []string{topicControl, topicEngines} }

// UnlistEngine removes an engine from the engine list.
func (s *Store) UnlistEngine(id string) { s.Log.Put(topicEngines, id, nil) }
