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
	// maxResponseBytes bounds an answer of the scoring service.
	maxResponseBytes = 1 << 16
	// maxErrorBytes bounds the part of an error answer that is reported.
	maxErrorBytes = 512
)

// httpScorer is the HTTP adapter.
type httpScorer struct {
	url    string
	client httpjson.Client
}

// NewHTTP returns a Scorer that calls the scoring service at the base URL
// ("http://ip:port"). Timeouts are the context's and the client's.
func NewHTTP(baseURL string, client *http.Client) Scorer {
	return &httpScorer{
		url:    strings.TrimSuffix(baseURL, "/") + scorePath,
		client: httpjson.Client{Service: "scorer", HTTP: client, MaxAnswerBytes: maxResponseBytes},
	}
}

// Score implements Scorer. Any error means that there is no score; the call
// may be repeated.
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

// decodeResponse refuses an answer without a score: a missing one must not
// count as zero.
func decodeResponse(body io.Reader) (Response, error) {
	var answer struct {
		Score *float64 `json:"score"`
	}
	if err := json.NewDecoder(body).Decode(&answer); err != nil {
		return Response{}, errors.Wrap(err, "scorer: decode answer")
	}
	if answer.Score == nil || math.IsNaN(*answer.Score) || math.IsInf(*answer.Score, 0) {
		return Response{}, errors.New("scorer: answer has no score")
	}
	return Response{Score: *answer.Score}, nil
}
