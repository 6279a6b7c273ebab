// Package weightstore defines the interface to the platform's rate-limited weight store, and its HTTP client.
//
// Endpoints: GET /v1/models/{model} responds with ModelInfo; POST /v1/models/{model} publishes a version; GET
// /v1/models/{model}/versions/{version} downloads a version to an engine (429 with Retry-After above the rate
// limit).
package weightstore

import "context"

// ModelInfo describes the versions of a model in the store.
type ModelInfo struct {
	Model string `json:"model"`
	// Latest is the highest published version; 0 if there is none.
	Latest uint64 `json:"latest"`
}

// PublishRequest publishes a version of a model. Versions must increase; publishing a version again has no
// effect.
type PublishRequest struct {
	Version uint64 `json:"version"`
	// SizeBytes is the size of the weights.
	SizeBytes int64 `json:"size_bytes"`
}

// Store is the weight store, without the downloads by engines.
type Store interface {
	Info(ctx context.Context, model string) (ModelInfo, error)
	Publish(ctx context.Context, model string, request PublishRequest) error
}
