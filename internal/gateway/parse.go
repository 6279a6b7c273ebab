package gateway

import (
	"net/http"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"github.com/corkpulley/corkpulley/internal/api"
	"github.com/corkpulley/corkpulley/internal/core/errkind"
	"github.com/corkpulley/corkpulley/internal/core/policy"
	"github.com/corkpulley/corkpulley/internal/httpapi"
	"github.com/corkpulley/corkpulley/internal/router"
)

// Limits and defaults of a request.
const (
	MaxBodyBytes       = 1 << 20
	MaxPromptBytes     = 256 << 10
	DefaultMaxTokens   = 256
	MaxTokensLimit     = 32768
	DefaultTemperature = 1.0
	MaxTemperature     = 2.0
	MaxKeyBytes        = 128
)

// completionBody is api.CompletionRequest with max_tokens as a pointer, to distinguish 0 from a
// missing value.
type completionBody struct {
	api.CompletionRequest
	MaxTokens *int `json:"max_tokens"`
}

// call is a validated request.
type call struct {
	request router.Request
	// key is the idempotency key; empty if the caller sent none.
	key         string
	fingerprint string
	stream      bool
}

// parse decodes and validates a request. Errors are *errkind.Error of a kind that means not executed.
func (g *Gateway) parse(w http.ResponseWriter, r *http.Request, requestID string) (*call, error) {
	key, err := idempotencyKey(r.Header)
	if err != nil {
		return nil, err
	}
	var body completionBody
	if err := httpapi.DecodeJSON(w, r, MaxBodyBytes, &body); err != nil {
		return nil, err
	}
	if err := validateBody(&body); err != nil {
		return nil, err
	}
	table := g.options.Tables.Table()
	row, err := liveRow(table, body.Model)
	if err != nil {
		return nil, err
	}
	return &call{
		request:     newRequest(requestID, row, table.Revision, &body),
		key:         key,
		fingerprint: fingerprint(&body),
		stream:      body.Stream,
	}, nil
}

func newRequest(requestID string, row policy.Row, revision int64, body *completionBody) router.Request {
	request := router.Request{
		ID:            requestID,
		Row:           row,
		TableRevision: revision,
		Prompt:        body.Prompt,
		MaxTokens:     *body.MaxTokens,
		Temperature:   *body.Temperature,
	}
	if body.Seed != nil {
		request.Seed = *body.Seed
		return request
	}
	// A seed derived from the request ID gives a continuation the same random sequence.
	request.Seed = int64(xxhash.Sum64String(requestID) >> 1)
	return request
}

// validateBody validates the body and sets the defaults of missing fields.
func validateBody(body *completionBody) error {
	if body.Model == "" {
		return errkind.New(errkind.InvalidRequest, "model is missing, expected a service's name")
	}
	if size := len(body.Prompt); size < 1 || size > MaxPromptBytes {
		return errkind.New(errkind.InvalidRequest, "prompt has %d bytes, expected 1 to %d", size, MaxPromptBytes)
	}
	if body.MaxTokens == nil {
		body.MaxTokens = new(DefaultMaxTokens)
	}
	if tokens := *body.MaxTokens; tokens < 1 || tokens > MaxTokensLimit {
		return errkind.New(errkind.InvalidRequest, "max_tokens is %d, expected 1 to %d", tokens, MaxTokensLimit)
	}
	if body.Temperature == nil {
		body.Temperature = new(DefaultTemperature)
	}
	if temperature := *body.Temperature; temperature < 0 || temperature > MaxTemperature {
		return errkind.New(errkind.InvalidRequest, "temperature is %g, expected 0 to %g", temperature, MaxTemperature)
	}
	return nil
}

func liveRow(table *policy.Table, service string) (policy.Row, error) {
	row, found := table.Row(service)
	if !found {
		return policy.Row{}, errkind.New(errkind.UnknownService, "no service %q in the table", service)
	}
	if row.Kind != policy.KindLive {
		return policy.Row{}, errkind.New(errkind.UnknownService, "service %q is of kind %q and takes no live requests", service, row.Kind)
	}
	return row, nil
}

// idempotencyKey returns the caller's key; empty if there is none.
func idempotencyKey(header http.Header) (string, error) {
	values := header.Values(api.HeaderIdempotencyKey)
	if len(values) == 0 {
		return "", nil
	}
	if len(values) > 1 {
		return "", errkind.New(errkind.InvalidRequest, "%s is given %d times", api.HeaderIdempotencyKey, len(values))
	}
	key := values[0]
	if len(key) < 1 || len(key) > MaxKeyBytes || !isVisibleASCII(key) {
		return "", errkind.New(errkind.InvalidRequest,
			"%s is not 1 to %d visible ASCII characters", api.HeaderIdempotencyKey, MaxKeyBytes)
	}
	return key, nil
}

func isVisibleASCII(text string) bool {
	for _, character := range []byte(text) {
		if character < '!' || character > '~' {
			return false
		}
	}
	return true
}

// fingerprint identifies the request's content, to detect reuse of an idempotency key for a different
// request. stream and user are not included.
func fingerprint(body *completionBody) string {
	seed := "none"
	if body.Seed != nil {
		seed = strconv.FormatInt(*body.Seed, 10)
	}
	digest := xxhash.New()
	for _, field := range []string{
		body.Model,
		strconv.Itoa(*body.MaxTokens),
		strconv.FormatFloat(*body.Temperature, 'g', -1, 64),
		seed,
		body.Prompt,
	} {
		// The length prefix keeps adjacent fields distinct.
		_, _ = digest.WriteString(strconv.Itoa(len(field)) + ":" + field)
	}
	return strconv.FormatUint(digest.Sum64(), 16)
}
