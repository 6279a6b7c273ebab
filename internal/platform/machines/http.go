package machines

import (
	"context"
	"net/http"
	"net/url"
	"strings"
	"sync"

	"github.com/go-faster/errors"

	"github.com/corkpulley/corkpulley/internal/platform/httpjson"
)

const (
	machinesPath = "/v1/machines"
	// maxResponseBytes bounds a response of the machine list service.
	maxResponseBytes = 16 << 20
)

// HTTPSource implements Source over HTTP, and the changes that machines make to their own entry. It is safe for
// concurrent use.
type HTTPSource struct {
	baseURL string
	client  httpjson.Client

	mu sync.Mutex
	// etag and list cache the last response. With thousands of machines, the list is downloaded only when its
	// ETag changes.
	etag string
	list List
}

var _ Source = (*HTTPSource)(nil)

// NewHTTP returns a client for the machine list at baseURL ("http://host:port"). A nil client selects
// http.DefaultClient. Calls are bounded by their context.
func NewHTTP(baseURL string, client *http.Client) *HTTPSource {
	return &HTTPSource{
		baseURL: strings.TrimSuffix(baseURL, "/"),
		client:  httpjson.Client{Service: "machine list", HTTP: client, MaxResponseBytes: maxResponseBytes},
	}
}

// List implements Source. Callers must not modify the list: an unchanged list is returned again.
func (s *HTTPSource) List(ctx context.Context) (List, error) {
	etag, known := s.cached()
	var header http.Header
	if etag != "" {
		header = http.Header{"If-None-Match": {etag}}
	}
	answer, err := s.client.Send(ctx, http.MethodGet, s.baseURL+machinesPath, header, nil)
	if err != nil {
		return List{}, errors.Wrap(err, "list machines")
	}
	if etag != "" && answer.StatusCode == http.StatusNotModified {
		return known, nil
	}
	var list List
	if err := answer.Decode(&list); err != nil {
		return List{}, errors.Wrap(err, "list machines")
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.etag, s.list = answer.Header.Get("ETag"), list
	return list, nil
}

// cached returns the last list and its ETag, which is empty if there is none.
func (s *HTTPSource) cached() (string, List) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.etag, s.list
}

// Register adds or replaces the entry of a machine.
func (s *HTTPSource) Register(ctx context.Context, machine Machine) error {
	err := s.client.Call(ctx, http.MethodPut, s.machineURL(machine.ID), machine, nil)
	if err != nil {
		return errors.Wrapf(err, "register machine %q", machine.ID)
	}
	return nil
}

// Remove deletes the entry of a machine; an unknown ID is not an error.
func (s *HTTPSource) Remove(ctx context.Context, id string) error {
	err := s.client.Call(ctx, http.MethodDelete, s.machineURL(id), nil, nil)
	if err != nil {
		return errors.Wrapf(err, "remove machine %q", id)
	}
	return nil
}

func (s *HTTPSource) machineURL(id string) string {
	return s.baseURL + machinesPath + "/" + url.PathEscape(id)
}
