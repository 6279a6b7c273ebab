package trainer

import (
	"context"
	"encoding/json"
	"net/http"
	"net/url"
	"strings"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"

	"github.com/corkpulley/corkpulley/internal/api"
	"github.com/corkpulley/corkpulley/internal/common/retry"
	"github.com/corkpulley/corkpulley/internal/platform/httpjson"
)

const (
	// callTimeoutMargin is the part of a call's timeout that exceeds its requested wait.
	callTimeoutMargin      = 20 * time.Second
	maxResponseBytes       = 64 << 20
	idleConnTimeoutSeconds = 30
	maxIdleConnsPerHost    = 4
)

// retryPolicy sets the delays between attempts of a call.
var retryPolicy = retry.Policy{First: 50 * time.Millisecond, Longest: 2 * time.Second}

// client calls any of the nodes, with the same body until one responds: every call of the trainer API is idempotent.
type client struct {
	servers []string
	trainer string
	http    httpjson.Client
	// next selects the server; a failed call advances it.
	next    atomic.Uint64
	retries atomic.Int64
}

func newClient(servers []string, trainer string) *client {
	transport := &http.Transport{
		MaxIdleConnsPerHost: maxIdleConnsPerHost,
		IdleConnTimeout:     idleConnTimeoutSeconds * time.Second,
	}
	return &client{servers: servers, trainer: trainer, http: httpjson.Client{
		Service: "node", HTTP: &http.Client{Transport: transport}, MaxResponseBytes: maxResponseBytes,
	}}
}

func (c *client) submit(ctx context.Context, step string, request api.StepRequest) (api.StepStatus, error) {
	var status api.StepStatus
	err := c.call(ctx, http.MethodPut, c.path("steps", step), callTimeoutMargin, request, &status)
	return status, err
}

func (c *client) fetch(ctx context.Context, request api.FetchRequest) (api.FetchResponse, error) {
	var response api.FetchResponse
	timeout := callTimeoutMargin + time.Duration(request.WaitMS)*time.Millisecond
	err := c.call(ctx, http.MethodPost, c.path("fetch"), timeout, request, &response)
	return response, err
}

func (c *client) acknowledge(ctx context.Context, request api.AckRequest) (api.AckResponse, error) {
	var response api.AckResponse
	err := c.call(ctx, http.MethodPost, c.path("ack"), callTimeoutMargin, request, &response)
	return response, err
}

func (c *client) path(parts ...string) string {
	path := "/v1/trainers/" + url.PathEscape(c.trainer)
	for _, part := range parts {
		path += "/" + url.PathEscape(part)
	}
	return path
}

// call repeats a call until a node responds, ctx ends, or a node rejects it permanently.
func (c *client) call(ctx context.Context, method, path string, timeout time.Duration, request, response any) error {
	body, err := json.Marshal(request)
	if err != nil {
		return errors.Wrap(err, "trainer: encode request")
	}
	delays := retryPolicy.Delays()
	for {
		server := c.servers[c.next.Load()%uint64(len(c.servers))]
		err := c.callOnce(ctx, method, server+path, timeout, body, response)
		if err == nil {
			return nil
		}
		var refused *statusError
		if errors.As(err, &refused) && refused.permanent() {
			return err
		}
		c.next.Add(1)
		c.retries.Add(1)
		if !retry.Sleep(ctx, delays.NextBackOff()) {
			return errors.Wrapf(ctx.Err(), "trainer: last error: %v", err)
		}
	}
}

func (c *client) callOnce(
	ctx context.Context, method, address string, timeout time.Duration, body json.RawMessage, response any,
) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	answer, err := c.http.Send(ctx, method, address, nil, body)
	if err != nil {
		return errors.Wrap(err, "trainer: call")
	}
	if answer.StatusCode != http.StatusOK {
		return &statusError{status: answer.StatusCode, message: strings.TrimSpace(string(answer.Content))}
	}
	if err := answer.Decode(response); err != nil {
		return errors.Wrap(err, "trainer")
	}
	return nil
}

// statusError is an error response of a node.
type statusError struct {
	status  int
	message string
}

func (e *statusError) Error() string {
	return "trainer: " + http.StatusText(e.status) + ": " + e.message
}

// permanent reports whether a retry would fail as well. An unknown trainer or step (404) is not permanent,
// because the node's policy table may be out of date.
func (e *statusError) permanent() bool {
	switch e.status {
	case http.StatusBadRequest, http.StatusConflict, http.StatusRequestEntityTooLarge,
		http.StatusUnsupportedMediaType, http.StatusUnprocessableEntity, http.StatusMethodNotAllowed:
		return true
	default:
		return false
	}
}
