// Package httpjson makes one HTTP exchange with a JSON body on both sides, as
// the adapters of the platform's services need it. It repeats nothing.
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
	// Service names the service in errors.
	Service string
	// HTTP makes the calls; nil takes http.DefaultClient. Callers bound each
	// call by its context.
	HTTP *http.Client
	// MaxAnswerBytes bounds the part of an answer's body that is read.
	MaxAnswerBytes int64
}

// Answer is the answer to one call, with its body read.
type Answer struct {
	// Service is the one that answered.
	Service string
	// StatusCode and Status are the HTTP status, as in http.Response.
	StatusCode int
	Status     string
	Header     http.Header
	Content    []byte
}

// Call sends message, unless nil, and decodes the answer into result, unless
// nil. An answer whose status is not 2xx is an error.
func (c *Client) Call(ctx context.Context, method, target string, message, result any) error {
	answer, err := c.Send(ctx, method, target, nil, message)
	if err != nil {
		return err
	}
	return answer.Decode(result)
}

// Send makes one exchange with further header fields (nil: none). Any status is
// an answer; an error means that there was none, or that it broke off.
func (c *Client) Send(
	ctx context.Context, method, target string, header http.Header, message any,
) (*Answer, error) {
	request, err := newRequest(ctx, method, target, header, message)
	if err != nil {
		return nil, err
	}
	response, err := c.client().Do(request)
	if err != nil {
		return nil, err
	}
	defer func() { _ = response.Body.Close() }()
	content, err := io.ReadAll(io.LimitReader(response.Body, c.MaxAnswerBytes))
	if err != nil {
		return nil, errors.Wrap(err, "read answer")
	}
	return &Answer{
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
			return nil, errors.Wrap(err, "encode")
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

// Decode reads the answer's body into result, unless nil. It refuses an answer
// whose status is not 2xx.
func (a *Answer) Decode(result any) error {
	if a.StatusCode/100 != 2 {
		return errors.Errorf("%s answered %s: %s", a.Service, a.Status, bytes.TrimSpace(a.Content))
	}
	if result == nil {
		return nil
	}
	if err := json.Unmarshal(a.Content, result); err != nil {
		return errors.Wrap(err, "decode answer")
	}
	return nil
}
