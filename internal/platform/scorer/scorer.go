// Package scorer defines the interface to services that score samples, and its HTTP client. Endpoint: POST
// /v1/score.
package scorer

import "context"

// Request is a request for the score of one finished sample.
type Request struct {
	Trainer string `json:"trainer"`
	// SampleID makes requests idempotent.
	SampleID string `json:"sample_id"`
	Prompt   string `json:"prompt"`
	Text     string `json:"text"`
}

// Response is the score of a sample.
type Response struct {
	Score float64 `json:"score"`
}

// Scorer scores samples.
type Scorer interface {
	Score(ctx context.Context, request Request) (Response, error)
}
