// Package scorer is the boundary to the services that score samples.
// Endpoint: POST /v1/score.
package scorer

import "context"

// Request asks for the score of one finished sample.
type Request struct {
	Trainer string `json:"trainer"`
	// SampleID makes a repeated request harmless.
	SampleID string `json:"sample_id"`
	Prompt   string `json:"prompt"`
	Text     string `json:"text"`
}

// Response carries the score.
type Response struct {
	Score float64 `json:"score"`
}

// Scorer is all that corkpulley asks of a scoring service.
type Scorer interface {
	Score(ctx context.Context, request Request) (Response, error)
}
