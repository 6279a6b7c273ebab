// Package routes implements the routing configuration: routes, services, limits and tenants. It does no I/O.
package routes

import (
	"maps"
	"net/http"
	"slices"
	"sort"
	"strings"
	"time"

	"github.com/corkpulley/corkpulley/internal/core/scaling"
)

// Kind is the kind of a route. It determines how often a request may be executed.
type Kind string

// The kinds of routes.
const (
	// Safe requests may be executed more than once.
	Safe Kind = "safe"
	// Unsafe requests are executed at most once.
	Unsafe Kind = "unsafe"
	// Streaming requests are answered by event streams. They are executed at most once unless the route is
	// resumable.
	Streaming Kind = "streaming"
	// Batch routes accept batch jobs, whose items are answered by event streams.
	Batch Kind = "batch"
)

// Part is a service of a route with its share of the requests, relative to the weights of the other parts.
type Part struct {
	Service string
	Weight  int
}

// Route is a routing rule: it selects requests by host and path prefix.
type Route struct {
	Name   string
	Host   string
	Prefix string
	Kind   Kind
	Parts  []Part
	// Timeout bounds the duration of a request; zero for no bound.
	Timeout time.Duration
	// Objective is the latency objective of a response.
	Objective time.Duration
	// ResultsDueAfter is the time from a job's submission until its results are due.
	ResultsDueAfter time.Duration
	// Retention is the time after which the items of a job may expire.
	Retention   time.Duration
	MaxAttempts int
	Priority    int
	// Resumable is true if engines can continue an interrupted response after its last event.
	Resumable bool
	// SingleVersion is true if a batch item must run with a single model version from start to end.
	SingleVersion bool
	// Open routes accept requests without an API key even if there are tenants.
	Open bool
	// Homes lists the regions that may serve and store the route's requests; empty for all.
	Homes []string
}

// AcceptsJob reports whether a request with the given HTTP method submits a batch job.
func (r *Route) AcceptsJob(method string) bool { return r.Kind == Batch && method == http.MethodPost }

// Repeatable reports whether a request that may have been executed may be sent again.
func (r *Route) Repeatable() bool { return r.Kind == Safe || r.Resumable }

// Service is a set of engines that serve the same requests.
type Service struct {
	Name           string
	MaxConnections int
	// EngineTokens is the memory of one engine in tokens; zero if unknown.
	EngineTokens int
	// Models lists the models of the engines; empty for services without models.
	Models []string
	// Scaling configures autoscaling; nil if disabled.
	Scaling *Scaling
	// SlowStart limits the requests to cold engines; the zero value for no limit.
	SlowStart SlowStart
}

// SlowStart limits the load of a cold engine. An engine is cold when it reports so, after its start, and whenever it
// may have restarted; see fleet.ColdReason.
type SlowStart struct {
	// Period is how long an engine stays cold after its start.
	Period time.Duration
	// RatePerSecond limits the rate of requests to a cold engine, in total over all nodes; zero for no limit.
	RatePerSecond float64
}

// Scaling configures the autoscaling of a service.
type Scaling struct {
	Bounds scaling.Bounds
	// BootTime is the time that a new engine takes until it can serve requests.
	BootTime time.Duration
	// PreemptiblePrice is the price of a preemptible engine relative to that of a regular one; zero if none
	// are available.
	PreemptiblePrice float64
}

// Limits bounds the size and duration of client requests.
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
	// Tenants is nil if the configuration has no tenants; requests then need no API key.
	Tenants []Tenant
}

// Table is one version of the configuration, indexed for lookups. It is immutable.
type Table struct {
	Version  int64
	Limits   Limits
	services map[string]Service
	// byHost holds each host's routes, longest prefix first.
	byHost map[string][]*Route
	// tenants is nil if the configuration has no tenants.
	tenants *tenants
}

// NewTable returns the table of a definition, which must not be modified afterwards.
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
		host := normalizeHost(all[i].Host)
		table.byHost[host] = append(table.byHost[host], &all[i])
	}
	for _, routes := range table.byHost {
		sort.SliceStable(routes, func(i, j int) bool { return len(routes[i].Prefix) > len(routes[j].Prefix) })
	}
	return table
}

// Match returns the route of the host with the longest matching path prefix; nil if none matches.
func (t *Table) Match(host, path string) *Route {
	for _, route := range t.byHost[normalizeHost(host)] {
		if strings.HasPrefix(path, route.Prefix) {
			return route
		}
	}
	return nil
}

// MatchJob returns the batch route of a job that was submitted at the path: that with the longest matching prefix; nil
// if none matches. A live route with a longer prefix, which may have been added since, does not hide it.
func (t *Table) MatchJob(host, path string) *Route {
	for _, route := range t.byHost[normalizeHost(host)] {
		if route.Kind == Batch && strings.HasPrefix(path, route.Prefix) {
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

// AutoscaledServices returns the services with autoscaling, in no particular order.
func (t *Table) AutoscaledServices() []Service {
	var scaled []Service
	for _, service := range t.services {
		if service.Scaling != nil {
			scaled = append(scaled, service)
		}
	}
	return scaled
}

// SlowStarts returns the configuration of the services with a rate limit for cold engines, by service name.
func (t *Table) SlowStarts() map[string]SlowStart {
	limited := make(map[string]SlowStart)
	for name, service := range t.services {
		if service.SlowStart.RatePerSecond > 0 {
			limited[name] = service.SlowStart
		}
	}
	return limited
}

// BatchRoutes returns the batch routes, in no particular order.
func (t *Table) BatchRoutes() []*Route {
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

// BatchOnlyServices returns the sorted names of the services that only batch routes use. Nodes that run no batch items
// send no requests to their engines.
func (t *Table) BatchOnlyServices() []string {
	live, batch := make(map[string]bool), make(map[string]bool)
	for _, routes := range t.byHost {
		for _, route := range routes {
			services := live
			if route.Kind == Batch {
				services = batch
			}
			for _, part := range route.Parts {
				services[part.Service] = true
			}
		}
	}
	maps.DeleteFunc(batch, func(service string, _ bool) bool { return live[service] })
	return slices.Sorted(maps.Keys(batch))
}

// normalizeHost returns the host in lower case, without its port.
func normalizeHost(host string) string {
	if colon := strings.LastIndexByte(host, ':'); colon >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:colon]
	}
	return strings.ToLower(host)
}
