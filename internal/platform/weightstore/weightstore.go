// Package weightstore is the boundary to the platform's rate-limited weight
// store: wire types, a small interface and one HTTP adapter.
//
// Endpoints: GET /v1/models/{model} answers ModelInfo; POST /v1/models/{model}
// publishes a version; GET /v1/models/{model}/versions/{version} is the
// download that engines use (429 with Retry-After when over the rate).
package weightstore

import "context"

// ModelInfo tells which versions of a model the store holds.
type ModelInfo struct {
	Model string `json:"model"`
	// Latest is the highest published version; 0 when there is none.
	Latest uint64 `json:"latest"`
}

// PublishRequest publishes Version of a model; versions only rise. Publishing
// the same version again is harmless.
type PublishRequest struct {
	Version uint64 `json:"version"`
	// SizeBytes is the size of the (stand-in) weights.
	SizeBytes int64 `json:"size_bytes"`
}

// Store is all that corkpulley itself asks of the weight store.
type Store interface {
	Info(ctx context.Context, model string) (ModelInfo, error)
	Publish(ctx context.Context, model string, request PublishRequest) error
}
