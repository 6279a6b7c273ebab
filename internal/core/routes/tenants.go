package routes

import (
	"github.com/corkpulley/corkpulley/internal/core/errkind"
	"github.com/corkpulley/corkpulley/internal/core/homes"
)

// Tenant is one customer, known by its API keys.
type Tenant struct {
	Name string
	Keys []string
	// Priority goes before that of a route, 0 first; nil where the tenant has none.
	Priority *int
	// Homes are the regions that alone may serve and keep the tenant's requests; none for all. Where
	// its route has homes too, both bind.
	Homes []string
}

// Credentials are what a request shows of its sender.
type Credentials struct {
	// Key is the API key; empty where the request shows none.
	Key string
	// Problem says why what the request shows is no key, and never holds it; empty
	// where it is one or where nothing is shown.
	Problem string
}

// Sender is who sent a request, as the configuration says.
type Sender struct {
	// Tenant is the tenant's name; empty where the configuration knows no tenants or
	// the route is open.
	Tenant string
	// Checked is true where the configuration knows tenants. What the request shows of
	// its sender is then this system's own affair, and no engine sees it.
	Checked bool
	// Priority is the rank of the request, 0 first: the tenant's, or else the route's.
	Priority int
	// Homes are the regions that alone may serve and keep the request: those of the route and of the
	// tenant, where both have some those that both name.
	Homes homes.Set
}

// tenants finds the tenant of a key.
type tenants struct {
	byKey  map[string]*Tenant
	byName map[string]*Tenant
}

// newTenants returns nil for a nil list. A key that stands at two tenants is that of
// the first one.
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
			if _, taken := found.byKey[key]; !taken && key != "" {
				found.byKey[key] = &list[i]
			}
		}
	}
	return found
}

// SenderOf returns who sent a request on a route. Current tells whether the table is
// known to be the newest one, but for a few seconds. An error is of the kind Unauthorized,
// or NotCurrent where the key may have been added in a newer table.
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

// OwnersOf returns the tenants whose batch jobs a call for one of a host may see, the
// likeliest first; empty stands for jobs that were handed in on an open route. Such a
// call names no route. Errors are those of SenderOf.
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

// hasOpenBatch tells whether jobs without a tenant may be handed in at the host.
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
