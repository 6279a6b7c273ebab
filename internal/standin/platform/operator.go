package platform

import (
	"encoding/json"
	"fmt"
)

// The kinds of routes.
const (
	RouteSafe   = "safe"
	RouteUnsafe = "unsafe"
	RouteStream = "streaming"
	RouteBatch  = "rollout"
)

// Limits of each route of a Configuration.
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
	stateReady       = "ready"
	stateDraining    = "draining"
	keyConfiguration = "config"
)

// Route is one route of a Configuration; its host is RouteHost.
type Route struct {
	Name      string
	Prefix    string
	Kind      string
	Service   string
	Resumable bool
}

// Tenant is one tenant of a Configuration.
type Tenant struct {
	Name string   `json:"name"`
	Keys []string `json:"apiKeys"`
}

// Configuration is what an operator puts in force.
type Configuration struct {
	Version int64
	Routes  []Route
	// Tenants is nil where requests need no key.
	Tenants []Tenant
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
	Resumable   bool   `json:"resumable,omitempty"`
}

func (r Route) wire() wireRoute {
	wire := wireRoute{
		Name: r.Name, Host: RouteHost, Prefix: r.Prefix, Kind: r.Kind, Service: r.Service, Resumable: r.Resumable,
		TimeoutMs: lookupTimeoutMs, TargetMs: targetMs, MaxAttempts: maxAttempts,
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

// encode returns the record of the configuration.
func (c Configuration) encode() []byte {
	routes := make([]wireRoute, len(c.Routes))
	for i, route := range c.Routes {
		routes[i] = route.wire()
	}
	content := map[string]any{
		"version": c.Version,
		"routes":  routes,
		"services": []map[string]any{
			{"name": ServiceLookup, "maxConns": engineConnCap},
			{"name": ServiceDrafts, "maxConns": engineConnCap, "engine": map[string]any{
				"models": []map[string]any{{"name": ModelDrafts}},
			}},
		},
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

// Configure puts a configuration in force.
func (s *Store) Configure(configuration Configuration) {
	s.Log.Put(topicControl, keyConfiguration, configuration.encode())
}

// NameVersion names a weight version of a model.
func (s *Store) NameVersion(model string, version int64) {
	s.Log.Put(topicControl, "version/"+model, fmt.Appendf(nil, `{"model":%q,"version":%d}`, model, version))
}

// ListEngine lists an engine at an address, or changes its entry.
func (s *Store) ListEngine(engine *Engine, address string, draining bool) {
	state := stateReady
	if draining {
		state = stateDraining
	}
	s.Log.Put(topicEngines, engine.ID(), engine.Entry(address, state))
}

// KeyedTopics returns the topics that the operator and the engines write, of
// which the store keeps the newest record of each key.
func KeyedTopics() []string { return []string{topicControl, topicEngines} }

// UnlistEngine takes an engine out of the list.
func (s *Store) UnlistEngine(id string) { s.Log.Put(topicEngines, id, nil) }
