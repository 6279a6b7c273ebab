package machines

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"strings"

	"github.com/go-faster/errors"
)

// maxAnswerBytes bounds an answer of the machine list.
const maxAnswerBytes = 16 << 20

// HTTPSource implements Source over HTTP, and the changes that machines make
// to their own entry. It is safe for concurrent use.
type HTTPSource struct {
	baseURL string
	client  *http.Client
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

// List implements Source.
func (s *HTTPSource) List(ctx context.Context) (List, error) {
	var list List
	err := s.do(ctx, http.MethodGet, "/v1/machines", nil, &list)
	if err != nil {
		return List{}, errors.Wrap(err, "list machines")
	}
	return list, nil
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
	var body io.Reader
	if message != nil {
		encoded, err := json.Marshal(message)
		if err != nil {
			return errors.Wrap(err, "encode")
		}
		body = bytes.NewReader(encoded)
	}
	request, err := http.NewRequestWithContext(ctx, method, s.baseURL+path, body)
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
		return errors.Errorf("machine list answered %s: %s", response.Status, bytes.TrimSpace(content))
	}
	if answer == nil {
		return nil
	}
	if err := json.Unmarshal(content, answer); err != nil {
		return errors.Wrap(err, "decode answer")
	}
	return nil
}
