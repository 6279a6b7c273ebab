package soak

import (
	"math/rand/v2"
	"time"

	standin "github.com/corkpulley/corkpulley/internal/standin/platform"
)

const (
	// prefixHomed begins the paths of a route that is bound to regions; tenantHomed is a
	// tenant of live requests and homedTrainer a trainer that are.
	prefixHomed  = "/homed/"
	tenantHomed  = "homed"
	keyHomed     = "key-homed"
	homedTrainer = 1
	// denseGap is the time between two requests of a caller with dense traffic: some ten times what
	// the cold engines bear.
	denseGap     = 25 * time.Millisecond
	denseCallers = 3
	// coldStart is how long an engine is cold after its start.
	coldStart = 2 * time.Second
)

// coldPerSecond is how many requests a second a cold engine of a service bears.
var coldPerSecond = map[string]float64{standin.ServiceLookup: 4, standin.ServiceDrafts: 2}

// Homes are the regions to which a configuration binds requests; none for all.
type Homes struct {
	// Route binds the requests under prefixHomed, Tenant those of tenantHomed, Trainer the
	// jobs of homedTrainer.
	Route   []string
	Tenant  []string
	Trainer []string
}

// homesByTurns are the homes of one configuration after the other. Two that follow each other
// have a region in common, no route is bound to r3, and no job to r1 alone.
var homesByTurns = []Homes{
	{Route: []string{"r1", "r2"}, Tenant: []string{"r2", "r3"}, Trainer: []string{"r1", "r2"}},
	{Route: []string{"r2"}, Tenant: []string{"r2"}, Trainer: []string{"r2"}},
	{Route: []string{"r1", "r2"}, Tenant: []string{"r2", "r3"}, Trainer: []string{"r2", "r3"}},
	{Route: []string{"r1"}, Tenant: []string{"r2", "r3"}, Trainer: []string{"r2"}},
}

// homesOf returns the homes of a configuration.
func (v *driver) homesOf(version int64) Homes {
	if !v.changesHomes {
		return homesByTurns[0]
	}
	return homesByTurns[version%int64(len(homesByTurns))]
}

// bindToRegions adds a route and a tenant to a configuration, binds them and a trainer to
// regions, and has engines start slowly.
func bindToRegions(configuration *standin.Configuration, homes Homes) {
	configuration.Routes = append(configuration.Routes, standin.Route{
		Name: "homed", Prefix: prefixHomed, Kind: standin.RouteSafe, Service: standin.ServiceLookup, Homes: homes.Route,
	})
	configuration.Tenants = append(configuration.Tenants, standin.Tenant{Name: tenantHomed, Keys: []string{keyHomed}, Homes: homes.Tenant})
	for i := range configuration.Tenants {
		if configuration.Tenants[i].Name == tenantOf(homedTrainer) {
			configuration.Tenants[i].Homes = homes.Trainer
		}
	}
	configuration.SlowStart = make(map[string]standin.SlowStart)
	for service, rate := range coldPerSecond {
		configuration.SlowStart[service] = standin.SlowStart{Seconds: coldStart.Seconds(), PerSecond: rate}
	}
}

// traffic is what the live callers send.
func (v *driver) traffic() []traffic {
	all := []traffic{
		{kind: standin.RouteSafe, prefix: standin.PrefixLookup, gap: callGap},
		{kind: standin.RouteUnsafe, prefix: prefixPermit, gap: callGap},
		{kind: standin.RouteStream, prefix: prefixStream, gap: callGap},
	}
	if !v.placement {
		return all
	}
	for range denseCallers {
		all = append(all, traffic{kind: standin.RouteSafe, prefix: standin.PrefixLookup, gap: denseGap})
	}
	return append(all,
		traffic{kind: standin.RouteSafe, prefix: prefixHomed, gap: callGap},
		traffic{kind: standin.RouteSafe, prefix: prefixHomed, tenant: tenantHomed, gap: callGap},
		traffic{kind: standin.RouteSafe, prefix: standin.PrefixLookup, tenant: tenantHomed, gap: callGap},
	)
}

// homedNodes is how many nodes the trainer that is bound to regions asks about a job: the
// others are to learn nothing of it.
const homedNodes = 2

// nodeFor draws a node that a trainer asks about a job.
func (v *driver) nodeFor(job *JobSeen) *node {
	at := v.anyNode()
	if v.placement && job.Tenant == tenantOf(homedTrainer) {
		nodes := v.deployment.nodes
		at = nodes[(int(job.Job.Step)+rand.IntN(homedNodes))%len(nodes)]
	}
	v.history.ask(job, at.number)
	return at
}

// bodyOf is the body of a trainer's item.
func (v *driver) bodyOf(trainer int, id string) string {
	if v.placement && trainer == homedTrainer {
		return homedBody(id)
	}
	return "body of " + id
}
