package routes

import (
	"maps"
	"slices"

	"github.com/corkpulley/corkpulley/internal/core/homes"
)

// HomesOf returns the regions that alone may serve and keep a tenant's request on a path of a host.
// The tenant is empty for requests of none. Known is false where the route or the tenant is not in the
// table, which then does not tell of all that binds the request.
func (t *Table) HomesOf(host, path, tenant string) (set homes.Set, known bool) {
	route := t.Match(host, path)
	ofTenant, found := t.homesOfTenant(tenant)
	if route == nil {
		return ofTenant, false
	}
	return homes.Of(route.Homes).Intersect(ofTenant), found
}

// homesOfTenant returns the homes of a tenant, if the table has it. Where the configuration knows no
// tenants, and for requests of none, nothing is missing.
func (t *Table) homesOfTenant(name string) (homes.Set, bool) {
	if name == "" || t.tenants == nil {
		return homes.Set{}, name == ""
	}
	tenant, found := t.tenants.byName[name]
	if !found {
		return homes.Set{}, false
	}
	return homes.Of(tenant.Homes), true
}

// BatchHomes returns the different sets of regions that batch jobs are bound to: those of each batch
// route with those of each tenant. Sets without regions are left out, since nobody may run such jobs.
func (t *Table) BatchHomes() []homes.Set {
	ofTenants := map[homes.Set]bool{{}: true}
	if t.tenants != nil {
		for _, tenant := range t.tenants.byName {
			ofTenants[homes.Of(tenant.Homes)] = true
		}
	}
	ofRoutes := make(map[homes.Set]bool)
	for _, route := range t.Batch() {
		ofRoutes[homes.Of(route.Homes)] = true
	}
	seen := make(map[homes.Set]bool)
	var sets []homes.Set
	for ofRoute := range ofRoutes {
		for ofTenant := range ofTenants {
			set := ofRoute.Intersect(ofTenant)
			if set.Bound() && !set.Nowhere() && !seen[set] {
				seen[set] = true
				sets = append(sets, set)
			}
		}
	}
	return sets
}

// QuestionHomes returns regions in which questions about a tenant's jobs at a host may be answered by
// other nodes: such a call names no route, so it is bound by the homes of all batch routes there.
func (t *Table) QuestionHomes(host, tenant string) homes.Set {
	set, _ := t.homesOfTenant(tenant)
	for _, route := range t.byHost[normalHost(host)] {
		if route.Kind == Batch {
			set = set.Intersect(homes.Of(route.Homes))
		}
	}
	return set
}

// NamedHomes returns all regions that routes and tenants name.
func (t *Table) NamedHomes() []string {
	seen := make(map[string]bool)
	for _, routes := range t.byHost {
		for _, route := range routes {
			addAll(seen, route.Homes)
		}
	}
	if t.tenants != nil {
		for _, tenant := range t.tenants.byName {
			addAll(seen, tenant.Homes)
		}
	}
	return slices.Sorted(maps.Keys(seen))
}

func addAll(to map[string]bool, names []string) {
	for _, name := range names {
		to[name] = true
	}
}
