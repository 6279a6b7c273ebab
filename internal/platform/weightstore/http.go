package weightstore

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"

	"github.com/go-faster/errors"
)

// maxAnswerBytes bounds an answer of the store.
const maxAnswerBytes = 64 << 10

// HTTPStore implements Store over HTTP. It is safe for concurrent use.
type HTTPStore struct {
	baseURL string
	client  *http.Client
}

// NewHTTP returns the Store at baseURL ("http://host:port"). A nil client takes
// http.DefaultClient; callers bound each call by its context.
func NewHTTP(baseURL string, client *http.Client) Store {
	if client == nil {
		client = http.DefaultClient
	}
	return &HTTPStore{baseURL: strings.TrimSuffix(baseURL, "/"), client: client}
}

// ModelURL returns the URL of a model under a store's base URL.
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
	err := s.do(ctx, http.MethodGet, ModelURL(s.baseURL, model), nil, &info)
	if err != nil {
		return ModelInfo{}, errors.Wrapf(err, "info of model %q", model)
	}
	return info, nil
}

// Publish implements Store.
func (s *HTTPStore) Publish(ctx context.Context, model string, request PublishRequest) error {
	err := s.do(ctx, http.MethodPost, ModelURL(s.baseURL, model), request, nil)
	if err != nil {
		return errors.Wrapf(err, "publish version %d of model %q", request.Version, model)
	}
	return nil
}

func (s *HTTPStore) do(ctx context.Context, method, target string, message, answer any) error {
	var body io.Reader
	if message != nil {
		encoded, err := json.Marshal(message)
		if err != nil {
			return errors.Wrap(err, "encode")
		}
		body = bytes.NewReader(encoded)
	}
	request, err := http.NewRequestWithContext(ctx, method, target, body)
	if err != nil {
		return errors.Wrap(err, "build request")
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := s.client.Do(request)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	content, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes))
	if err != nil {
		return errors.Wrap(err, "read answer")
	}
	if response.StatusCode/100 != 2 {
		return errors.Errorf("weight store answered %s: %s", response.Status, bytes.TrimSpace(content))
	}
	if answer == nil {
		return nil
	}
	if err := json.Unmarshal(content, answer); err != nil {
		return errors.Wrap(err, "decode answer")
	}
	return nil
}
