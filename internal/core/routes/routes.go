// Package routes holds the routing configuration: which requests go to which
// service, and within which bounds. It has no input or output.
package routes

import (
	"maps"
	"slices"
	"sort"
	"strings"
	"time"

	"github.com/corkpulley/corkpulley/internal/core/scaling"
)

// Kind says how a route's requests may be run.
type Kind string

// The kinds of routes.
const (
	// Safe requests may run more than once.
	Safe Kind = "safe"
	// Unsafe requests run at most once.
	Unsafe Kind = "unsafe"
	// Streaming answers are event streams; they run at most once unless resumable.
	Streaming Kind = "streaming"
	// Batch routes take batch jobs, whose items are event streams.
	Batch Kind = "batch"
)

// Part is one service of a route with its share of the requests.
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
	// Timeout bounds how long a request is held; zero means no bound.
	Timeout time.Duration
	// Objective is the time within which an answer earns its full worth.
	Objective time.Duration
	// ResultsDue is the time after its submission by which a job's results are due.
	ResultsDue time.Duration
	// Retention is the time after which items of a job may be given up.
	Retention     time.Duration
	MaxAttempts   int
	Priority      int
	Resumable     bool
	SingleVersion bool
	// Open routes take requests without an API key, also where there are tenants.
	Open bool
	// Homes are the regions that alone may serve and keep the route's requests; none for all.
	Homes []string
}

// Repeatable tells whether a request that may have run may be sent again.
func (r *Route) Repeatable() bool { return r.Kind == Safe || r.Resumable }

// Service is one service of the configuration.
type Service struct {
	Name           string
	MaxConnections int
	// EngineTokens is the memory of one engine, in tokens; zero when unknown.
	EngineTokens int
	// Models lists the models that its engines hold, none for plain services.
	Models []string
	// Scaling says how engines may be ordered; nil where they may not.
	Scaling *Scaling
	// SlowStart bounds what its engines take while they are cold; the zero value where they are not.
	SlowStart SlowStart
}

// SlowStart says what an engine bears while it is cold: after its start, and whenever it says so.
type SlowStart struct {
	// Period is how long an engine stays cold after its start.
	Period time.Duration
	// RatePerSecond is the requests a second that all nodes together may send to it meanwhile; zero
	// for no bound.
	RatePerSecond float64
}

// Scaling says how engines of a service may be ordered.
type Scaling struct {
	Bounds scaling.Bounds
	// BootTime is how long a new engine takes to begin to serve.
	BootTime time.Duration
	// PreemptiblePrice is what a preemptible engine costs of the price of another;
	// zero where there are none.
	PreemptiblePrice float64
}

// Limits bound what a client may send.
type Limits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int64
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
}

// Definition is what one version of the configuration says.
type Definition struct {
	Version  int64
	Limits   Limits
	Services []Service
	Routes   []Route
	// Tenants is nil where the configuration knows no tenants: requests need no key then.
	Tenants []Tenant
}

// Table is one version of the configuration. It is not changed once built.
type Table struct {
	Version  int64
	Limits   Limits
	services map[string]Service
	// byHost holds each host's routes, longest prefix first.
	byHost map[string][]*Route
	// tenants is nil where the configuration knows no tenants.
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

// Match returns the route of the host whose prefix is the longest that begins
// the path; nil when there is none.
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

// SlowStarts returns the services whose engines take a bounded rate while they are cold.
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

// BatchOnly returns the services to which batch routes alone send, in order: whoever runs no batch items sends
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

// normalHost is the host in lower case without its port.
func normalHost(host string) string {
	if colon := strings.LastIndexByte(host, ':'); colon >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:colon]
	}
	return strings.ToLower(host)
}
