package homes

import "context"

// contextKey is the context key of a Set.
type contextKey struct{}

// NewContext returns a context for calls that carry request or response data, which may be sent only to machines
// within the set.
func NewContext(ctx context.Context, set Set) context.Context {
	return context.WithValue(ctx, contextKey{}, set)
}

// FromContext returns the set of a context from NewContext; otherwise the unrestricted set.
func FromContext(ctx context.Context) Set {
	set, _ := ctx.Value(contextKey{}).(Set)
	return set
}
