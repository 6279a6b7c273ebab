package scorer

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"math"
	"net/http"
	"strings"

	"github.com/go-faster/errors"

	"github.com/corkpulley/corkpulley/internal/platform/httpjson"
)

const (
	scorePath = "/v1/score"
	// maxResponseBytes bounds a response of the scoring service.
	maxResponseBytes = 1 << 16
	// maxErrorBytes bounds the part of an error response included in the error.
	maxErrorBytes = 512
)

// httpScorer implements Scorer over HTTP.
type httpScorer struct {
	url    string
	client httpjson.Client
}

// NewHTTP returns a Scorer for the scoring service at the base URL ("http://ip:port"). Calls are bounded by
// their context and the client's timeout.
func NewHTTP(baseURL string, client *http.Client) Scorer {
	return &httpScorer{
		url:    strings.TrimSuffix(baseURL, "/") + scorePath,
		client: httpjson.Client{Service: "scorer", HTTP: client, MaxResponseBytes: maxResponseBytes},
	}
}

// Score implements Scorer. After any error the call may be repeated.
func (s *httpScorer) Score(ctx context.Context, request Request) (Response, error) {
	answer, err := s.client.Send(ctx, http.MethodPost, s.url, nil, request)
	if err != nil {
		return Response{}, errors.Wrap(err, "scorer: call")
	}
	if answer.StatusCode != http.StatusOK {
		message := answer.Content[:min(len(answer.Content), maxErrorBytes)]
		return Response{}, errors.Errorf("scorer: status %d: %s", answer.StatusCode, bytes.TrimSpace(message))
	}
	return decodeResponse(bytes.NewReader(answer.Content))
}

// decodeResponse rejects a response without a score, which must not be taken for zero.
func decodeResponse(body io.Reader) (Response, error) {
	var answer struct {
		Score *float64 `json:"score"`
	}
	if err := json.NewDecoder(body).Decode(&answer); err != nil {
		return Response{}, errors.Wrap(err, "scorer: decode response")
	}
	if answer.Score == nil || math.IsNaN(*answer.Score) || math.IsInf(*answer.Score, 0) {
		return Response{}, errors.New("scorer: response has no score")
	}
	return Response{Score: *answer.Score}, nil
}
