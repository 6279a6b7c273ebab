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
	client *http.Client
}

// NewHTTP returns a Scorer that calls the scoring service at the base URL
// ("http://ip:port"). Timeouts are the context's and the client's.
func NewHTTP(baseURL string, client *http.Client) Scorer {
	return &httpScorer{url: strings.TrimSuffix(baseURL, "/") + scorePath, client: client}
}

// Score implements Scorer. Any error means that there is no score; the call
// may be repeated.
func (s *httpScorer) Score(ctx context.Context, request Request) (Response, error) {
	body, err := json.Marshal(request)
	if err != nil {
		return Response{}, errors.Wrap(err, "scorer: encode request")
	}
	call, err := http.NewRequestWithContext(ctx, http.MethodPost, s.url, bytes.NewReader(body))
	if err != nil {
		return Response{}, errors.Wrap(err, "scorer: build request")
	}
	call.Header.Set("Content-Type", "application/json")
	answer, err := s.client.Do(call)
	if err != nil {
		return Response{}, errors.Wrap(err, "scorer: call")
	}
	defer func() { _ = answer.Body.Close() }()
	if answer.StatusCode != http.StatusOK {
		message, _ := io.ReadAll(io.LimitReader(answer.Body, maxErrorBytes))
		return Response{}, errors.Errorf("scorer: status %d: %s", answer.StatusCode, strings.TrimSpace(string(message)))
	}
	return decodeResponse(answer.Body)
}

// decodeResponse refuses an answer without a score: a missing one must not
// count as zero.
func decodeResponse(body io.Reader) (Response, error) {
	var answer struct {
		Score *float64 `json:"score"`
	}
	if err := json.NewDecoder(io.LimitReader(body, maxResponseBytes)).Decode(&answer); err != nil {
		return Response{}, errors.Wrap(err, "scorer: decode answer")
	}
	if answer.Score == nil || math.IsNaN(*answer.Score) || math.IsInf(*answer.Score, 0) {
		return Response{}, errors.New("scorer: answer has no score")
	}
	return Response{Score: *answer.Score}, nil
}
