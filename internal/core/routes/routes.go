// Package routes holds the routing configuration: the services, limits and tenants of
// requests. It has no input or output.
package routes

import (
	"maps"
	"slices"
	"sort"
	"strings"
	"time"

	"github.com/corkpulley/corkpulley/internal/core/scaling"
)

// Kind defines how often a route's requests may be executed.
type Kind string

// The kinds of routes.
const (
	// Safe requests may be executed more than once.
	Safe Kind = "safe"
	// Unsafe requests are executed at most once.
	Unsafe Kind = "unsafe"
	// Streaming requests are answered by event streams. They are executed at most once unless
	// resumable.
	Streaming Kind = "streaming"
	// Batch routes accept batch jobs, whose items are answered by event streams.
	Batch Kind = "batch"
)

// Part is one service of a route with its weight.
type Part struct {
	Service string
	Weight  int
}

// Route is one rule of the configuration.
type Route struct {
	Name   string
	Host   string
	Prefix string
	Kind   Kind
	Parts  []Part
	// Timeout bounds the duration of a request; zero means no bound.
	Timeout time.Duration
	// Objective is the latency objective of an answer.
	Objective time.Duration
	// ResultsDue is the time after the submission at which a job's results are due.
	ResultsDue time.Duration
	// Retention is the time after which items of a job may expire.
	Retention     time.Duration
	MaxAttempts   int
	Priority      int
	Resumable     bool
	SingleVersion bool
	// Open routes accept requests without an API key even if there are tenants.
	Open bool
	// Homes are the only regions that may serve and store the route's requests; empty for all.
	Homes []string
}

// Repeatable reports whether a request that may have run may be sent again.
func (r *Route) Repeatable() bool { return r.Kind == Safe || r.Resumable }

// Service is one service of the configuration.
type Service struct {
	Name           string
	MaxConnections int
	// EngineTokens is the memory of one engine, in tokens; zero when unknown.
	EngineTokens int
	// Models lists the models of its engines; empty for plain services.
	Models []string
	// Scaling defines how engines may be ordered; nil if they may not.
	Scaling *Scaling
	// SlowStart bounds the requests to cold engines; the zero value for no bound.
	SlowStart SlowStart
}

// SlowStart bounds the load of an engine that is cold: after its start, and whenever it reports so.
type SlowStart struct {
	// Period is how long an engine stays cold after its start.
	Period time.Duration
	// RatePerSecond bounds the requests per second of all nodes together to a cold engine; zero for no
	// bound.
	RatePerSecond float64
}

// Scaling defines how engines of a service may be ordered.
type Scaling struct {
	Bounds scaling.Bounds
	// BootTime is how long a new engine takes until it serves.
	BootTime time.Duration
	// PreemptiblePrice is the price of a preemptible engine relative to that of a regular one;
	// zero if there are none.
	PreemptiblePrice float64
}

// Limits bound what a client may send.
type Limits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int64
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
}

// Definition is the content of one version of the configuration.
type Definition struct {
	Version  int64
	Limits   Limits
	Services []Service
	Routes   []Route
	// Tenants is nil if the configuration has no tenants, so that requests need no key.
	Tenants []Tenant
}

// Table is one version of the configuration. It is immutable.
type Table struct {
	Version  int64
	Limits   Limits
	services map[string]Service
	// byHost holds each host's routes, longest prefix first.
	byHost map[string][]*Route
	// tenants is nil if the configuration has no tenants.
	tenants *tenants
}

// NewTable builds a table.
func NewTable(definition Definition) *Table {
	table := &Table{
		Version:  definition.Version,
		Limits:   definition.Limits,
		services: make(map[string]Service, len(definition.Services)),
		byHost:   make(map[string][]*Route),
		tenants:  newTenants(definition.Tenants),
	}
	for _, service := range definition.Services {
		table.services[service.Name] = service
	}
	all := definition.Routes
	for i := range all {
		host := normalHost(all[i].Host)
		table.byHost[host] = append(table.byHost[host], &all[i])
	}
	for _, routes := range table.byHost {
		sort.SliceStable(routes, func(i, j int) bool { return len(routes[i].Prefix) > len(routes[j].Prefix) })
	}
	return table
}

// Match returns the route of the host with the longest prefix of the path, nil if there
// is none.
func (t *Table) Match(host, path string) *Route {
	for _, route := range t.byHost[normalHost(host)] {
		if strings.HasPrefix(path, route.Prefix) {
			return route
		}
	}
	return nil
}

// Service returns a service by name.
func (t *Table) Service(name string) (Service, bool) {
	service, found := t.services[name]
	return service, found
}

// Scaled returns the services whose engines may be ordered.
func (t *Table) Scaled() []Service {
	var scaled []Service
	for _, service := range t.services {
		if service.Scaling != nil {
			scaled = append(scaled, service)
		}
	}
	return scaled
}

// SlowStarts returns the services with a rate bound for cold engines.
func (t *Table) SlowStarts() map[string]SlowStart {
	bounded := make(map[string]SlowStart)
	for name, service := range t.services {
		if service.SlowStart.RatePerSecond > 0 {
			bounded[name] = service.SlowStart
		}
	}
	return bounded
}

// Batch returns all batch routes.
func (t *Table) Batch() []*Route {
	var batch []*Route
	for _, routes := range t.byHost {
		for _, route := range routes {
			if route.Kind == Batch {
				batch = append(batch, route)
			}
		}
	}
	return batch
}

// BatchOnly returns the services that are used by batch routes only, sorted: nodes that run no batch items send
// nothing to their engines.
func (t *Table) BatchOnly() []string {
	live, batch := make(map[string]bool), make(map[string]bool)
	for _, routes := range t.byHost {
		for _, route := range routes {
			uses := live
			if route.Kind == Batch {
				uses = batch
			}
			for _, part := range route.Parts {
				uses[part.Service] = true
			}
		}
	}
	maps.DeleteFunc(batch, func(service string, _ bool) bool { return live[service] })
	return slices.Sorted(maps.Keys(batch))
}

// normalHost returns the host in lower case without its port.
func normalHost(host string) string {
	if colon := strings.LastIndexByte(host, ':'); colon >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:colon]
	}
	return strings.ToLower(host)
}
