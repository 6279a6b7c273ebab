package machines

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"strings"
	"sync"

	"github.com/go-faster/errors"
)

// maxAnswerBytes bounds an answer of the machine list.
const maxAnswerBytes = 16 << 20

// HTTPSource implements Source over HTTP, and the changes that machines make
// to their own entry. It is safe for concurrent use.
type HTTPSource struct {
	baseURL string
	client  *http.Client

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
	if client == nil {
		client = http.DefaultClient
	}
	return &HTTPSource{baseURL: strings.TrimSuffix(baseURL, "/"), client: client}
}

// List implements Source. The list must not be changed: a list that stays the
// same is answered again.
func (s *HTTPSource) List(ctx context.Context) (List, error) {
	tag, known := s.last()
	response, content, err := s.send(ctx, http.MethodGet, "/v1/machines", nil, tag)
	if err != nil {
		return List{}, errors.Wrap(err, "list machines")
	}
	if tag != "" && response.StatusCode == http.StatusNotModified {
		return known, nil
	}
	if err := checkAnswer(response, content); err != nil {
		return List{}, errors.Wrap(err, "list machines")
	}
	var list List
	if err := json.Unmarshal(content, &list); err != nil {
		return List{}, errors.Wrap(err, "list machines: decode answer")
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.tag, s.list = response.Header.Get("ETag"), list
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
	err := s.do(ctx, http.MethodPut, machinePath(machine.ID), machine, nil)
	if err != nil {
		return errors.Wrapf(err, "register machine %q", machine.ID)
	}
	return nil
}

// Remove deletes the entry of a machine; an unknown one is no error.
func (s *HTTPSource) Remove(ctx context.Context, id string) error {
	err := s.do(ctx, http.MethodDelete, machinePath(id), nil, nil)
	if err != nil {
		return errors.Wrapf(err, "remove machine %q", id)
	}
	return nil
}

func machinePath(id string) string { return "/v1/machines/" + url.PathEscape(id) }

func (s *HTTPSource) do(ctx context.Context, method, path string, message, answer any) error {
	response, content, err := s.send(ctx, method, path, message, "")
	if err != nil {
		return err
	}
	if err := checkAnswer(response, content); err != nil {
		return err
	}
	if answer == nil {
		return nil
	}
	if err := json.Unmarshal(content, answer); err != nil {
		return errors.Wrap(err, "decode answer")
	}
	return nil
}

// send makes one exchange and returns the answer with its whole body. A tag
// asks for an answer only when there is a newer one.
func (s *HTTPSource) send(
	ctx context.Context, method, path string, message any, tag string,
) (*http.Response, []byte, error) {
	var body io.Reader
	if message != nil {
		encoded, err := json.Marshal(message)
		if err != nil {
			return nil, nil, errors.Wrap(err, "encode")
		}
		body = bytes.NewReader(encoded)
	}
	request, err := http.NewRequestWithContext(ctx, method, s.baseURL+path, body)
	if err != nil {
		return nil, nil, errors.Wrap(err, "build request")
	}
	request.Header.Set("Content-Type", "application/json")
	if tag != "" {
		request.Header.Set("If-None-Match", tag)
	}
	response, err := s.client.Do(request)
	if err != nil {
		return nil, nil, err
	}
	defer func() { _ = response.Body.Close() }()
	content, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes))
	if err != nil {
		return nil, nil, errors.Wrap(err, "read answer")
	}
	return response, content, nil
}

func checkAnswer(response *http.Response, content []byte) error {
	if response.StatusCode/100 != 2 {
		return errors.Errorf("machine list answered %s: %s", response.Status, bytes.TrimSpace(content))
	}
	return nil
}
