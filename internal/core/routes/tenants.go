package routes

import (
	"github.com/corkpulley/corkpulley/internal/core/errkind"
	"github.com/corkpulley/corkpulley/internal/core/homes"
)

// Tenant is one customer, identified by its API keys.
type Tenant struct {
	Name string
	Keys []string
	// Priority overrides that of the route; nil to keep it. 0 is the highest priority.
	Priority *int
	// Homes lists the regions that may serve and store the tenant's requests; empty for all. The homes of the
	// route apply as well.
	Homes []string
}

// Credentials are the credentials of a request.
type Credentials struct {
	// Key is the API key; empty for none.
	Key string
	// Problem describes why the credentials are malformed, without containing them; empty if they are
	// well-formed or missing.
	Problem string
}

// Sender describes the sender of a request according to the configuration.
type Sender struct {
	// Tenant is the tenant's name; empty if the configuration has no tenants or the route is open.
	Tenant string
	// TenantsConfigured is true if the configuration has tenants. The request's credentials are then for this
	// proxy and must not be forwarded to engines.
	TenantsConfigured bool
	// Priority is that of the tenant or, if it has none, of the route. 0 is the highest priority.
	Priority int
	// Homes is the set of regions that may serve and store the request: the intersection of the homes of the
	// route and of the tenant.
	Homes homes.Set
}

// tenants indexes the tenants by key and name.
type tenants struct {
	byKey  map[string]*Tenant
	byName map[string]*Tenant
}

// newTenants returns the index of a list, nil for a nil list. A duplicate key belongs to the first tenant with it.
func newTenants(list []Tenant) *tenants {
	if list == nil {
		return nil
	}
	keys := 0
	for i := range list {
		keys += len(list[i].Keys)
	}
	index := &tenants{byKey: make(map[string]*Tenant, keys), byName: make(map[string]*Tenant, len(list))}
	for i := range list {
		index.byName[list[i].Name] = &list[i]
		for _, key := range list[i].Keys {
			if _, used := index.byKey[key]; !used && key != "" {
				index.byKey[key] = &list[i]
			}
		}
	}
	return index
}

// SenderOf authenticates a request on a route and returns its sender. current is whether the table was the newest
// one within the last few seconds. An error is of kind Unauthorized, or NotCurrent if a newer table may contain the
// key.
func (t *Table) SenderOf(route *Route, credentials Credentials, current bool) (Sender, *errkind.Error) {
	sender := Sender{TenantsConfigured: t.tenants != nil, Priority: route.Priority, Homes: homes.Of(route.Homes)}
	if t.tenants == nil || route.Open {
		return sender, nil
	}
	tenant, failure := t.tenants.authenticate(credentials, current)
	if failure != nil {
		return Sender{}, failure
	}
	sender.Tenant = tenant.Name
	sender.Homes = sender.Homes.Intersect(homes.Of(tenant.Homes))
	if tenant.Priority != nil {
		sender.Priority = *tenant.Priority
	}
	return sender, nil
}

// OwnersOf returns the tenants whose batch jobs on a host the caller may access: its own tenant first, then the
// empty name for jobs submitted on open routes. It returns the same errors as SenderOf.
func (t *Table) OwnersOf(host string, credentials Credentials, current bool) ([]string, *errkind.Error) {
	if t.tenants == nil {
		return []string{""}, nil
	}
	open := t.hasOpenBatchRoute(host)
	tenant, failure := t.tenants.authenticate(credentials, current)
	switch {
	case failure != nil && open:
		return []string{""}, nil
	case failure != nil:
		return nil, failure
	case open:
		return []string{tenant.Name, ""}, nil
	default:
		return []string{tenant.Name}, nil
	}
}

// hasOpenBatchRoute reports whether the host has a batch route that requires no API key.
func (t *Table) hasOpenBatchRoute(host string) bool {
	for _, route := range t.byHost[normalizeHost(host)] {
		if route.Kind == Batch && route.Open {
			return true
		}
	}
	return false
}

// authenticate returns the tenant with the credentials. Parameters and errors are those of SenderOf.
func (t *tenants) authenticate(credentials Credentials, current bool) (*Tenant, *errkind.Error) {
	switch {
	case credentials.Problem != "":
		return nil, errkind.New(errkind.Unauthorized, "%s", credentials.Problem)
	case credentials.Key == "":
		return nil, errkind.New(errkind.Unauthorized, "the request has no API key")
	}
	if tenant, found := t.byKey[credentials.Key]; found {
		return tenant, nil
	}
	if !current {
		return nil, errkind.New(errkind.NotCurrent, "the API key is unknown, but the configuration here may be out of date")
	}
	return nil, errkind.New(errkind.Unauthorized, "the API key is unknown or was taken away")
}
