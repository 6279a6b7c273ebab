package routes

import (
	"maps"
	"slices"

	"github.com/corkpulley/corkpulley/internal/core/homes"
)

// HomesOf returns the only regions that may serve and store a tenant's request for a path of a host. The
// tenant is empty for requests without one. known is false if the route or the tenant is not in the table;
// the returned homes are then incomplete.
func (t *Table) HomesOf(host, path, tenant string) (set homes.Set, known bool) {
	route := t.Match(host, path)
	ofTenant, found := t.homesOfTenant(tenant)
	if route == nil {
		return ofTenant, false
	}
	return homes.Of(route.Homes).Intersect(ofTenant), found
}

// homesOfTenant returns the homes of a tenant, and false if the tenant is not in the table.
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

// BatchHomes returns the distinct sets of regions to which batch jobs are bound, by batch route and tenant.
// Empty sets are excluded, since no node may run such jobs.
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

// QuestionHomes returns the regions in which other nodes may answer queries about a tenant's jobs at a host.
// Such a query names no route, so the homes of all batch routes of the host apply.
func (t *Table) QuestionHomes(host, tenant string) homes.Set {
	set, _ := t.homesOfTenant(tenant)
	for _, route := range t.byHost[normalHost(host)] {
		if route.Kind == Batch {
			set = set.Intersect(homes.Of(route.Homes))
		}
	}
	return set
}

// NamedHomes returns all regions that occur in the homes of routes and tenants, sorted.
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
