package homes

import "context"

// contextKey is the key of a call's homes in its context.
type contextKey struct{}

// NewContext returns a context for calls that carry bodies or texts. These may be sent only to
// machines within the set.
func NewContext(ctx context.Context, set Set) context.Context {
	return context.WithValue(ctx, contextKey{}, set)
}

// FromContext returns the homes of a call; all regions if none were set.
func FromContext(ctx context.Context) Set {
	set, _ := ctx.Value(contextKey{}).(Set)
	return set
}
