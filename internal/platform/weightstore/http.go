package weightstore

import (
	"context"
	"net/http"
	"net/url"
	"strconv"
	"strings"

	"github.com/go-faster/errors"

	"github.com/corkpulley/corkpulley/internal/platform/httpjson"
)

// maxResponseBytes bounds a response of the store.
const maxResponseBytes = 64 << 10

// HTTPStore implements Store over HTTP. It is safe for concurrent use.
type HTTPStore struct {
	baseURL string
	client  httpjson.Client
}

// NewHTTP returns a client for the weight store at baseURL ("http://host:port"). A nil client selects
// http.DefaultClient. Calls are bounded by their context.
func NewHTTP(baseURL string, client *http.Client) Store {
	return &HTTPStore{
		baseURL: strings.TrimSuffix(baseURL, "/"),
		client:  httpjson.Client{Service: "weight store", HTTP: client, MaxResponseBytes: maxResponseBytes},
	}
}

// ModelURL returns the URL of a model for a store's base URL.
func ModelURL(baseURL, model string) string {
	return strings.TrimSuffix(baseURL, "/") + "/v1/models/" + url.PathEscape(model)
}

// VersionURL returns the download URL of one version of a model.
func VersionURL(baseURL, model string, version uint64) string {
	return ModelURL(baseURL, model) + "/versions/" + strconv.FormatUint(version, 10)
}

// Info implements Store.
func (s *HTTPStore) Info(ctx context.Context, model string) (ModelInfo, error) {
	var info ModelInfo
	err := s.client.Call(ctx, http.MethodGet, ModelURL(s.baseURL, model), nil, &info)
	if err != nil {
		return ModelInfo{}, errors.Wrapf(err, "get info of model %q", model)
	}
	return info, nil
}

// Publish implements Store.
func (s *HTTPStore) Publish(ctx context.Context, model string, request PublishRequest) error {
	err := s.client.Call(ctx, http.MethodPost, ModelURL(s.baseURL, model), request, nil)
	if err != nil {
		return errors.Wrapf(err, "publish version %d of model %q", request.Version, model)
	}
	return nil
}
