package routes

import (
	"github.com/corkpulley/corkpulley/internal/core/errkind"
	"github.com/corkpulley/corkpulley/internal/core/homes"
)

// Tenant is one customer, identified by its API keys.
type Tenant struct {
	Name string
	Keys []string
	// Priority overrides that of a route, 0 first; nil for none.
	Priority *int
	// Homes are the only regions that may serve and store the tenant's requests; empty for all. The homes
	// of the route apply as well.
	Homes []string
}

// Credentials are the credentials of a request.
type Credentials struct {
	// Key is the API key; empty for none.
	Key string
	// Problem says why the credentials are malformed, without containing them; empty if they
	// are well-formed or missing.
	Problem string
}

// Sender is the sender of a request by the configuration.
type Sender struct {
	// Tenant is the tenant's name; empty if the configuration has no tenants or the route is
	// open.
	Tenant string
	// Checked is true if the configuration has tenants. The request's credentials are then
	// checked here and must not be forwarded to engines.
	Checked bool
	// Priority is that of the tenant, or else of the route; 0 is first.
	Priority int
	// Homes are the only regions that may serve and store the request: the intersection of those of the
	// route and of the tenant.
	Homes homes.Set
}

// tenants indexes the tenants by key and name.
type tenants struct {
	byKey  map[string]*Tenant
	byName map[string]*Tenant
}

// newTenants returns nil for a nil list. A key that two tenants have belongs to the first
// one.
func newTenants(list []Tenant) *tenants {
	if list == nil {
		return nil
	}
	keys := 0
	for i := range list {
		keys += len(list[i].Keys)
	}
	found := &tenants{byKey: make(map[string]*Tenant, keys), byName: make(map[string]*Tenant, len(list))}
	for i := range list {
		found.byName[list[i].Name] = &list[i]
		for _, key := range list[i].Keys {
			if _, used := found.byKey[key]; !used && key != "" {
				found.byKey[key] = &list[i]
			}
		}
	}
	return found
}

// SenderOf returns the sender of a request on a route. current is whether the table is
// known to be the newest one, up to a few seconds. An error is of the kind Unauthorized,
// or NotCurrent if a newer table may contain the key.
func (t *Table) SenderOf(route *Route, credentials Credentials, current bool) (Sender, *errkind.Error) {
	sender := Sender{Checked: t.tenants != nil, Priority: route.Priority, Homes: homes.Of(route.Homes)}
	if t.tenants == nil || route.Open {
		return sender, nil
	}
	tenant, failure := t.tenants.find(credentials, current)
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

// OwnersOf returns the tenants whose batch jobs of a host a caller may access, the
// likeliest first; an empty name stands for jobs submitted on an open route. Errors are
// those of SenderOf.
func (t *Table) OwnersOf(host string, credentials Credentials, current bool) ([]string, *errkind.Error) {
	if t.tenants == nil {
		return []string{""}, nil
	}
	open := t.hasOpenBatch(host)
	tenant, failure := t.tenants.find(credentials, current)
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

// hasOpenBatch reports whether the host accepts jobs without a tenant.
func (t *Table) hasOpenBatch(host string) bool {
	for _, route := range t.byHost[normalHost(host)] {
		if route.Kind == Batch && route.Open {
			return true
		}
	}
	return false
}

func (t *tenants) find(credentials Credentials, current bool) (*Tenant, *errkind.Error) {
	switch {
	case credentials.Problem != "":
		return nil, errkind.New(errkind.Unauthorized, "%s", credentials.Problem)
	case credentials.Key == "":
		return nil, errkind.New(errkind.Unauthorized, "the request shows no API key")
	}
	if tenant, found := t.byKey[credentials.Key]; found {
		return tenant, nil
	}
	if !current {
		return nil, errkind.New(errkind.NotCurrent, "the API key is unknown here, and the configuration may be old")
	}
	return nil, errkind.New(errkind.Unauthorized, "the API key is unknown or was taken away")
}
