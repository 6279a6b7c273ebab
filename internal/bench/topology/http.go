package topology

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/go-faster/errors"

	"github.com/corkpulley/corkpulley/internal/api"
)

// StatusError is a response with a status other than 2xx.
type StatusError struct {
	Status int
	Body   string
	// Detail is set when the body is one of corkpulley's error bodies.
	Detail *api.ErrorDetail
}

// Error implements the error interface.
func (e *StatusError) Error() string {
	return fmt.Sprintf("response status %d: %s", e.Status, e.Body)
}

const maxBodyBytes = 64 << 20

// call sends one JSON request and decodes the JSON response into into, if not nil.
func (d *Deployment) call(ctx context.Context, method, address, path string, body, into any) error {
	var content io.Reader
	if body != nil {
		encoded, err := json.Marshal(body)
		if err != nil {
			return errors.Wrap(err, "encode body")
		}
		content = bytes.NewReader(encoded)
	}
	request, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, content)
	if err != nil {
		return errors.Wrap(err, "create request")
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := d.http.Do(request)
	if err != nil {
		return errors.Wrapf(err, "%s %s", method, path)
	}
	defer func() { _ = response.Body.Close() }()
	responseBody, err := io.ReadAll(io.LimitReader(response.Body, maxBodyBytes))
	if err != nil {
		return errors.Wrapf(err, "read response of %s %s", method, path)
	}
	return decodeResponse(response.StatusCode, responseBody, into)
}

func decodeResponse(status int, body []byte, into any) error {
	if status < http.StatusOK || status >= http.StatusMultipleChoices {
		statusError := &StatusError{Status: status, Body: string(body)}
		var document api.ErrorBody
		if json.Unmarshal(body, &document) == nil && document.Error.Code != "" {
			statusError.Detail = &document.Error
		}
		return statusError
	}
	if into == nil {
		return nil
	}
	if err := json.Unmarshal(body, into); err != nil {
		return errors.Wrap(err, "decode response")
	}
	return nil
}

// pollInterval is the interval at which WaitFor checks its condition.
const pollInterval = 20 * time.Millisecond

// permanent marks an error on which WaitFor stops polling.
func permanent(err error) error { return backoff.Permanent(err) }

// WaitFor polls a condition until it returns nil or a permanent error, or until
// ctx is done. The error includes what was waited for and the condition's last error.
func WaitFor(ctx context.Context, what string, condition func() error) error {
	for {
		err := condition()
		if err == nil {
			return nil
		}
		var stop *backoff.PermanentError
		if errors.As(err, &stop) {
			return errors.Wrapf(err, "wait for %s", what)
		}
		select {
		case <-ctx.Done():
			return errors.Wrapf(err, "wait for %s: %v; last error", what, ctx.Err())
		case <-time.After(pollInterval):
		}
	}
}
