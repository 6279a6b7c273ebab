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
	// maxAnswerBytes bounds an answer of the machine list.
	maxAnswerBytes = 16 << 20
)

// HTTPSource implements Source over HTTP, and the changes that machines make
// to their own entry. It is safe for concurrent use.
type HTTPSource struct {
	baseURL string
	client  httpjson.Client

	mu sync.Mutex
	// tag and list are the list last read: with thousands of machines, it is
	// read whole only when the service says that it changed (ETag).
	tag  string
	list List
}

var _ Source = (*HTTPSource)(nil)

// NewHTTP returns the machine list at baseURL ("http://host:port"). A nil
// client takes http.DefaultClient; callers bound each call by its context.
func NewHTTP(baseURL string, client *http.Client) *HTTPSource {
	return &HTTPSource{
		baseURL: strings.TrimSuffix(baseURL, "/"),
		client:  httpjson.Client{Service: "machine list", HTTP: client, MaxAnswerBytes: maxAnswerBytes},
	}
}

// List implements Source. The list must not be changed: a list that stays the
// same is answered again.
func (s *HTTPSource) List(ctx context.Context) (List, error) {
	tag, known := s.last()
	var header http.Header
	if tag != "" {
		header = http.Header{"If-None-Match": {tag}}
	}
	answer, err := s.client.Send(ctx, http.MethodGet, s.baseURL+machinesPath, header, nil)
	if err != nil {
		return List{}, errors.Wrap(err, "list machines")
	}
	if tag != "" && answer.StatusCode == http.StatusNotModified {
		return known, nil
	}
	var list List
	if err := answer.Decode(&list); err != nil {
		return List{}, errors.Wrap(err, "list machines")
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.tag, s.list = answer.Header.Get("ETag"), list
	return list, nil
}

// last returns the list last read and its tag; the tag is empty without one.
func (s *HTTPSource) last() (string, List) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.tag, s.list
}

// Register adds or renews the entry of a machine.
func (s *HTTPSource) Register(ctx context.Context, machine Machine) error {
	err := s.client.Call(ctx, http.MethodPut, s.machineURL(machine.ID), machine, nil)
	if err != nil {
		return errors.Wrapf(err, "register machine %q", machine.ID)
	}
	return nil
}

// Remove deletes the entry of a machine; an unknown one is no error.
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
