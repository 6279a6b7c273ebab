package homes

import "context"

// contextKey is the key of a call's homes in its context.
type contextKey struct{}

// NewContext returns a context for calls that carry bodies or texts: whatever passes them on to
// other machines does so only within the set.
func NewContext(ctx context.Context, set Set) context.Context {
	return context.WithValue(ctx, contextKey{}, set)
}

// FromContext returns the homes of a call; every region where none were given.
func FromContext(ctx context.Context) Set {
	set, _ := ctx.Value(contextKey{}).(Set)
	return set
}
