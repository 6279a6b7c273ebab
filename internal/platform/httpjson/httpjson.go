// Package httpjson sends single HTTP requests with JSON bodies for the clients of platform services. It does not
// retry.
package httpjson

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"

	"github.com/go-faster/errors"
)

// Client calls one service. It is safe for concurrent use.
type Client struct {
	// Service is the name of the service in errors.
	Service string
	// HTTP sends the requests; nil selects http.DefaultClient. Calls are bounded by their context.
	HTTP *http.Client
	// MaxResponseBytes bounds how much of a response body is read.
	MaxResponseBytes int64
}

// Response is a response whose body has been read.
type Response struct {
	// Service is the name of the service that responded.
	Service string
	// StatusCode and Status are the HTTP status, as in http.Response.
	StatusCode int
	Status     string
	Header     http.Header
	Content    []byte
}

// Call sends message, unless it is nil, and decodes the response into result, unless it is nil. A status other
// than 2xx is an error.
func (c *Client) Call(ctx context.Context, method, target string, message, result any) error {
	answer, err := c.Send(ctx, method, target, nil, message)
	if err != nil {
		return err
	}
	return answer.Decode(result)
}

// Send sends message, unless it is nil, with additional header fields, which may be nil. It returns responses of
// any status; an error means that there was no complete response.
func (c *Client) Send(
	ctx context.Context, method, target string, header http.Header, message any,
) (*Response, error) {
	request, err := newRequest(ctx, method, target, header, message)
	if err != nil {
		return nil, err
	}
	response, err := c.client().Do(request)
	if err != nil {
		return nil, err
	}
	defer func() { _ = response.Body.Close() }()
	content, err := io.ReadAll(io.LimitReader(response.Body, c.MaxResponseBytes))
	if err != nil {
		return nil, errors.Wrap(err, "read response")
	}
	return &Response{
		Service:    c.Service,
		StatusCode: response.StatusCode,
		Status:     response.Status,
		Header:     response.Header,
		Content:    content,
	}, nil
}

func (c *Client) client() *http.Client {
	if c.HTTP == nil {
		return http.DefaultClient
	}
	return c.HTTP
}

func newRequest(
	ctx context.Context, method, target string, header http.Header, message any,
) (*http.Request, error) {
	var body io.Reader
	if message != nil {
		encoded, err := json.Marshal(message)
		if err != nil {
			return nil, errors.Wrap(err, "encode request")
		}
		body = bytes.NewReader(encoded)
	}
	request, err := http.NewRequestWithContext(ctx, method, target, body)
	if err != nil {
		return nil, errors.Wrap(err, "build request")
	}
	if header != nil {
		request.Header = header.Clone()
	}
	request.Header.Set("Content-Type", "application/json")
	return request, nil
}

// Decode decodes the response's body into result, unless it is nil. A status other than 2xx is an error.
func (r *Response) Decode(result any) error {
	if r.StatusCode/100 != 2 {
		return errors.Errorf("%s answered %s: %s", r.Service, r.Status, bytes.TrimSpace(r.Content))
	}
	if result == nil {
		return nil
	}
	if err := json.Unmarshal(r.Content, result); err != nil {
		return errors.Wrap(err, "decode response")
	}
	return nil
}
