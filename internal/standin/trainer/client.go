package trainer

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"strings"
	"sync/atomic"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/go-faster/errors"

	"github.com/corkpulley/corkpulley/internal/api"
)

const (
	// callMargin is added to a fetch's wait to bound the whole call.
	callMargin       = 20 * time.Second
	maxAnswerBytes   = 64 << 20
	minRetryDelay    = 50 * time.Millisecond
	maxRetryDelay    = 2 * time.Second
	maxIdleSeconds   = 30
	maxConnsPerHosts = 4
)

// client calls any of the nodes, with the same body until one answers: every
// call of the trainers' interface may be repeated.
type client struct {
	servers []string
	trainer string
	http    *http.Client
	// next picks the server; a failed call moves on to the next one.
	next    atomic.Uint64
	retries atomic.Int64
}

func newClient(servers []string, trainer string) *client {
	transport := &http.Transport{
		MaxIdleConnsPerHost: maxConnsPerHosts,
		IdleConnTimeout:     maxIdleSeconds * time.Second,
	}
	return &client{servers: servers, trainer: trainer, http: &http.Client{Transport: transport}}
}

func (c *client) submit(ctx context.Context, step string, request api.StepRequest) (api.StepStatus, error) {
	var status api.StepStatus
	err := c.call(ctx, http.MethodPut, c.path("steps", step), callMargin, request, &status)
	return status, err
}

func (c *client) fetch(ctx context.Context, request api.FetchRequest) (api.FetchResponse, error) {
	var response api.FetchResponse
	limit := callMargin + time.Duration(request.WaitMS)*time.Millisecond
	err := c.call(ctx, http.MethodPost, c.path("fetch"), limit, request, &response)
	return response, err
}

func (c *client) acknowledge(ctx context.Context, request api.AckRequest) (api.AckResponse, error) {
	var response api.AckResponse
	err := c.call(ctx, http.MethodPost, c.path("ack"), callMargin, request, &response)
	return response, err
}

func (c *client) path(parts ...string) string {
	path := "/v1/trainers/" + url.PathEscape(c.trainer)
	for _, part := range parts {
		path += "/" + url.PathEscape(part)
	}
	return path
}

// call repeats the same call until a node answers it, ctx ends, or a node says
// that the call itself is wrong.
func (c *client) call(ctx context.Context, method, path string, limit time.Duration, request, response any) error {
	body, err := json.Marshal(request)
	if err != nil {
		return errors.Wrap(err, "trainer: encode request")
	}
	delays := backoff.NewExponentialBackOff()
	delays.InitialInterval = minRetryDelay
	delays.MaxInterval = maxRetryDelay
	for {
		server := c.servers[c.next.Load()%uint64(len(c.servers))]
		err := c.callOnce(ctx, method, server+path, limit, body, response)
		if err == nil {
			return nil
		}
		var refused *refusedError
		if errors.As(err, &refused) && refused.final() {
			return err
		}
		c.next.Add(1)
		c.retries.Add(1)
		if !sleep(ctx, delays.NextBackOff()) {
			return errors.Wrapf(ctx.Err(), "trainer: last error: %v", err)
		}
	}
}

func (c *client) callOnce(
	ctx context.Context, method, address string, limit time.Duration, body []byte, response any,
) error {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, address, bytes.NewReader(body))
	if err != nil {
		return errors.Wrap(err, "trainer: build request")
	}
	request.Header.Set("Content-Type", "application/json")
	answer, err := c.http.Do(request)
	if err != nil {
		return errors.Wrap(err, "trainer: call")
	}
	defer func() { _ = answer.Body.Close() }()
	data, err := io.ReadAll(io.LimitReader(answer.Body, maxAnswerBytes))
	if err != nil {
		return errors.Wrap(err, "trainer: read answer")
	}
	if answer.StatusCode != http.StatusOK {
		return &refusedError{status: answer.StatusCode, message: strings.TrimSpace(string(data))}
	}
	if err := json.Unmarshal(data, response); err != nil {
		return errors.Wrap(err, "trainer: decode answer")
	}
	return nil
}

// refusedError is an error answer of a node.
type refusedError struct {
	status  int
	message string
}

func (e *refusedError) Error() string {
	return "trainer: " + http.StatusText(e.status) + ": " + e.message
}

// final reports whether the same call would be refused again. An unknown
// trainer or step (404) is not final: the node's table may lag.
func (e *refusedError) final() bool {
	switch e.status {
	case http.StatusBadRequest, http.StatusConflict, http.StatusRequestEntityTooLarge,
		http.StatusUnsupportedMediaType, http.StatusUnprocessableEntity, http.StatusMethodNotAllowed:
		return true
	default:
		return false
	}
}

// sleep waits for the duration; false when ctx ended first.
func sleep(ctx context.Context, duration time.Duration) bool {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
