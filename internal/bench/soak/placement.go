package soak

import (
	"math/rand/v2"
	"time"

	standin "github.com/corkpulley/corkpulley/internal/standin/platform"
)

const (
	// prefixPinned is the path prefix of a route that is pinned to regions, tenantPinned a pinned tenant
	// of live requests, and pinnedTrainer a trainer whose jobs are pinned.
	prefixPinned  = "/homed/"
	tenantPinned  = "homed"
	keyPinned     = "key-homed"
	pinnedTrainer = 1
	// denseGap is the interval between two requests of each of the denseCallers: about ten times the rate
	// that a cold engine can serve.
	denseGap     = 25 * time.Millisecond
	denseCallers = 3
	// coldStart is how long an engine is cold after its start.
	coldStart = 2 * time.Second
)

// coldPerSecond is the request rate that a cold engine of a service can serve, per second.
var coldPerSecond = map[string]float64{standin.ServiceLookup: 4, standin.ServiceDrafts: 2}

// Homes are the regions to which a configuration pins requests; empty for all regions.
type Homes struct {
	// Route applies to requests under prefixPinned, Tenant to those of tenantPinned, Trainer to the jobs
	// of pinnedTrainer.
	Route   []string
	Tenant  []string
	Trainer []string
}

// homesCycle holds the homes of consecutive configurations. Consecutive ones have a region in common, no route
// is pinned to r3, and no job to r1 alone.
var homesCycle = []Homes{
	{Route: []string{"r1", "r2"}, Tenant: []string{"r2", "r3"}, Trainer: []string{"r1", "r2"}},
	{Route: []string{"r2"}, Tenant: []string{"r2"}, Trainer: []string{"r2"}},
	{Route: []string{"r1", "r2"}, Tenant: []string{"r2", "r3"}, Trainer: []string{"r2", "r3"}},
	{Route: []string{"r1"}, Tenant: []string{"r2", "r3"}, Trainer: []string{"r2"}},
}

// homesOf returns the homes of a configuration version.
func (d *driver) homesOf(version int64) Homes {
	if !d.changesHomes {
		return homesCycle[0]
	}
	return homesCycle[version%int64(len(homesCycle))]
}

// addPinnedRequests adds a route and a tenant to a configuration, pins them and a trainer to regions, and
// enables slow start.
func addPinnedRequests(configuration *standin.Configuration, homes Homes) {
	configuration.Routes = append(configuration.Routes, standin.Route{
		Name: "homed", Prefix: prefixPinned, Kind: standin.RouteSafe, Service: standin.ServiceLookup, HomeRegions: homes.Route,
	})
	configuration.Tenants = append(configuration.Tenants, standin.Tenant{Name: tenantPinned, Keys: []string{keyPinned}, Homes: homes.Tenant})
	for i := range configuration.Tenants {
		if configuration.Tenants[i].Name == tenantOf(pinnedTrainer) {
			configuration.Tenants[i].Homes = homes.Trainer
		}
	}
	configuration.SlowStart = make(map[string]standin.SlowStart)
	for service, rate := range coldPerSecond {
		configuration.SlowStart[service] = standin.SlowStart{ColdSeconds: coldStart.Seconds(), RequestsPerSecond: rate}
	}
}

// traffic returns the requests of each live caller.
func (d *driver) traffic() []traffic {
	all := []traffic{
		{kind: standin.RouteSafe, prefix: standin.PrefixLookup, gap: callGap},
		{kind: standin.RouteUnsafe, prefix: prefixPermit, gap: callGap},
		{kind: standin.RouteStream, prefix: prefixStream, gap: callGap},
	}
	if d.contention {
		for i := range all {
			all[i].gap = contentionCallGap
		}
	}
	if !d.placementFaults {
		return all
	}
	for range denseCallers {
		all = append(all, traffic{kind: standin.RouteSafe, prefix: standin.PrefixLookup, gap: denseGap})
	}
	return append(all,
		traffic{kind: standin.RouteSafe, prefix: prefixPinned, gap: callGap},
		traffic{kind: standin.RouteSafe, prefix: prefixPinned, tenant: tenantPinned, gap: callGap},
		traffic{kind: standin.RouteSafe, prefix: standin.PrefixLookup, tenant: tenantPinned, gap: callGap},
	)
}

// pinnedJobNodes is how many nodes the pinned trainer sends requests about a job to. The other nodes must not
// read the job's bodies outside its regions.
const pinnedJobNodes = 2

// nodeFor selects the node for the next request about a job.
func (d *driver) nodeFor(job *JobRecord) *node {
	target := d.randomNode()
	if d.placementFaults && job.Tenant == tenantOf(pinnedTrainer) {
		nodes := d.deployment.nodes
		target = nodes[(int(job.Job.Step)+rand.IntN(pinnedJobNodes))%len(nodes)]
	}
	d.history.recordJobRequest(job, target.number)
	return target
}

// bodyOf returns the body of a trainer's item.
func (d *driver) bodyOf(trainer int, id string) string {
	if d.placementFaults && trainer == pinnedTrainer {
		return pinnedBody(id)
	}
	return "body of " + id
}
