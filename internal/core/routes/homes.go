package routes

import (
	"maps"
	"slices"

	"github.com/corkpulley/corkpulley/internal/core/homes"
)

// HomesOf returns the set of regions that may serve and store a tenant's request for a path on a host. The
// tenant is empty for requests without one. known is false if the route or the tenant is not in the table; the
// set may then be too large.
func (t *Table) HomesOf(host, path, tenant string) (set homes.Set, known bool) {
	return t.homesOn(t.Match(host, path), tenant)
}

// JobHomesOf is HomesOf for a batch job that was submitted at the path.
func (t *Table) JobHomesOf(host, path, tenant string) (set homes.Set, known bool) {
	return t.homesOn(t.MatchJob(host, path), tenant)
}

// homesOn returns the homes of a tenant's request on a route, which is nil for an unknown one.
func (t *Table) homesOn(route *Route, tenant string) (set homes.Set, known bool) {
	tenantSet, found := t.tenantHomes(tenant)
	if route == nil {
		return tenantSet, false
	}
	return homes.Of(route.Homes).Intersect(tenantSet), found
}

// tenantHomes returns the homes of a tenant; false if the tenant is not in the table.
func (t *Table) tenantHomes(name string) (homes.Set, bool) {
	if name == "" || t.tenants == nil {
		return homes.Set{}, name == ""
	}
	tenant, found := t.tenants.byName[name]
	if !found {
		return homes.Set{}, false
	}
	return homes.Of(tenant.Homes), true
}

// BatchHomes returns the distinct sets of regions to which batch jobs are restricted, over all pairs of batch route
// and tenant. Empty sets are excluded, since no node may run such jobs.
func (t *Table) BatchHomes() []homes.Set {
	tenantSets := map[homes.Set]bool{{}: true}
	if t.tenants != nil {
		for _, tenant := range t.tenants.byName {
			tenantSets[homes.Of(tenant.Homes)] = true
		}
	}
	routeSets := make(map[homes.Set]bool)
	for _, route := range t.BatchRoutes() {
		routeSets[homes.Of(route.Homes)] = true
	}
	seen := make(map[homes.Set]bool)
	var sets []homes.Set
	for routeSet := range routeSets {
		for tenantSet := range tenantSets {
			set := routeSet.Intersect(tenantSet)
			if set.IsRestricted() && !set.IsEmpty() && !seen[set] {
				seen[set] = true
				sets = append(sets, set)
			}
		}
	}
	return sets
}

// QueryHomes returns the regions in which other nodes may answer queries about a tenant's jobs on a host. Such a
// query does not identify a route, so the homes of all batch routes of the host apply.
func (t *Table) QueryHomes(host, tenant string) homes.Set {
	set, _ := t.tenantHomes(tenant)
	for _, route := range t.byHost[normalizeHost(host)] {
		if route.Kind == Batch {
			set = set.Intersect(homes.Of(route.Homes))
		}
	}
	return set
}

// HomeRegions returns the sorted regions that occur in the homes of any route or tenant.
func (t *Table) HomeRegions() []string {
	seen := make(map[string]bool)
	for _, routes := range t.byHost {
		for _, route := range routes {
			addNames(seen, route.Homes)
		}
	}
	if t.tenants != nil {
		for _, tenant := range t.tenants.byName {
			addNames(seen, tenant.Homes)
		}
	}
	return slices.Sorted(maps.Keys(seen))
}

func addNames(set map[string]bool, names []string) {
	for _, name := range names {
		set[name] = true
	}
}
