package ctl

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strings"
	"time"

	"github.com/go-faster/errors"

	"github.com/corkpulley/corkpulley/internal/api"
	"github.com/corkpulley/corkpulley/internal/core/errkind"
)

const (
	dialTimeout = 2 * time.Second
	// readTimeout bounds a read from one server; it exceeds a node's timeout for responses of other nodes.
	readTimeout = 8 * time.Second
	// proposeTimeout bounds a proposal to one server; it exceeds a node's timeout for the log's verdict.
	proposeTimeout = 20 * time.Second
	// evacuationTimeout bounds an evacuation order to one server; it exceeds a node's timeout for the log.
	evacuationTimeout = 5 * time.Second
	maxResponseBytes  = 64 << 20
)

// unreachableError is returned if a server did not send a complete response.
type unreachableError struct {
	server string
	// sent is false if no part of the request was sent.
	sent bool
	err  error
}

// Error implements the error interface. The server's address appears once, without that of url.Error.
func (e *unreachableError) Error() string {
	cause := e.err
	var request *url.Error
	if errors.As(cause, &request) {
		cause = request.Err
	}
	return e.server + ": " + cause.Error()
}

// Unwrap returns the wrapped error.
func (e *unreachableError) Unwrap() error { return e.err }

// serverError is an error response of a server.
type serverError struct {
	server string
	status int
	detail api.ErrorDetail
}

// Error implements the error interface.
func (e *serverError) Error() string { return e.detail.Message + " (" + e.detail.Code + ")" }

// client calls the nodes' operator interface, failing over between servers.
type client struct {
	servers []string // base URLs
	current int      // index of the current server
	http    *http.Client
}

func newClient(servers []string) *client {
	transport := &http.Transport{
		DialContext:         (&net.Dialer{Timeout: dialTimeout}).DialContext,
		TLSHandshakeTimeout: dialTimeout,
	}
	return &client{servers: servers, http: &http.Client{Transport: transport}}
}

// parseServers returns the base URLs of comma-separated lists of HOST:PORT or URLs.
func parseServers(values []string) ([]string, error) {
	var servers []string
	for _, value := range values {
		for server := range strings.SplitSeq(value, ",") {
			server = strings.TrimSpace(server)
			if server == "" {
				continue
			}
			base, err := parseServer(server)
			if err != nil {
				return nil, err
			}
			servers = append(servers, base)
		}
	}
	if len(servers) == 0 {
		return nil, exitWith(ExitUsage, "no server: give --server HOST:PORT or set CORKCTL_SERVER")
	}
	return servers, nil
}

func parseServer(server string) (string, error) {
	if !strings.Contains(server, "://") {
		server = "http://" + server
	}
	parsed, err := url.Parse(server)
	if err != nil || parsed.Host == "" || (parsed.Scheme != "http" && parsed.Scheme != "https") {
		return "", exitWith(ExitUsage, "--server %q is neither HOST:PORT nor an http URL", server)
	}
	return parsed.Scheme + "://" + parsed.Host, nil
}

// get reads a resource from the first server that answers.
func (c *client) get(ctx context.Context, path string, query url.Values, into any) error {
	var failures []string
	for range c.servers {
		err := c.read(ctx, path, query, into)
		var unreachable *unreachableError
		if !errors.As(err, &unreachable) {
			return toExitError(err)
		}
		failures = append(failures, err.Error())
		if ctx.Err() != nil {
			break
		}
		c.useNextServer()
	}
	return exitWith(ExitUnreachable, "no server could be reached: %s", strings.Join(failures, "; "))
}

func (c *client) read(ctx context.Context, path string, query url.Values, into any) error {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	return c.attempt(ctx, http.MethodGet, path, query, nil, into)
}

// useNextServer makes the following server the current one.
func (c *client) useNextServer() { c.current = (c.current + 1) % len(c.servers) }

// attempt sends one request to the current server. A failed exchange returns *unreachableError or *serverError.
func (c *client) attempt(ctx context.Context, method, path string, query url.Values, body, into any) error {
	server := c.servers[c.current]
	request, err := newRequest(ctx, method, server+path, query, body)
	if err != nil {
		return err
	}
	response, err := c.http.Do(request)
	if err != nil {
		return &unreachableError{server: server, sent: !isDialError(err), err: err}
	}
	defer response.Body.Close()
	content, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes))
	if err != nil {
		return &unreachableError{server: server, sent: true, err: err}
	}
	if response.StatusCode >= http.StatusMultipleChoices {
		return newServerError(server, response.StatusCode, content)
	}
	if err := json.Unmarshal(content, into); err != nil {
		return &unreachableError{server: server, sent: true, err: errors.Wrap(err, "response is not from corkpulley")}
	}
	return nil
}

func newRequest(ctx context.Context, method, address string, query url.Values, body any) (*http.Request, error) {
	var content io.Reader
	if body != nil {
		encoded, err := json.Marshal(body)
		if err != nil {
			return nil, errors.Wrap(err, "encode request")
		}
		content = bytes.NewReader(encoded)
	}
	request, err := http.NewRequestWithContext(ctx, method, address, content)
	if err != nil {
		return nil, errors.Wrap(err, "create request")
	}
	request.URL.RawQuery = query.Encode()
	if body != nil {
		request.Header.Set("Content-Type", "application/json")
	}
	return request, nil
}

func isDialError(err error) bool {
	var operation *net.OpError
	return errors.As(err, &operation) && operation.Op == "dial"
}

func newServerError(server string, status int, content []byte) *serverError {
	var body api.ErrorBody
	if err := json.Unmarshal(content, &body); err != nil || body.Error.Code == "" {
		body.Error = api.ErrorDetail{
			Code:     errkind.Internal.String(),
			Message:  unexpectedResponse(server, status),
			Executed: string(errkind.Unknown),
		}
	}
	return &serverError{server: server, status: status, detail: body.Error}
}

// unexpectedResponse describes an error response without an error body of corkpulley.
func unexpectedResponse(server string, status int) string {
	return fmt.Sprintf("%s answered %d %s: is it a node's operators' address?", server, status, http.StatusText(status))
}

// toExitError adds the exit code to an error of attempt.
func toExitError(err error) error {
	var unreachable *unreachableError
	if errors.As(err, &unreachable) {
		return &exitError{code: ExitUnreachable, err: err}
	}
	var serverErr *serverError
	if errors.As(err, &serverErr) {
		return &exitError{code: exitCodeOfServerError(serverErr.detail.Code), err: err, detail: &serverErr.detail}
	}
	return err
}

func exitCodeOfServerError(code string) ExitCode {
	switch code {
	case errkind.TableInvalid.String():
		return ExitInvalid
	case errkind.TableConflict.String():
		return ExitConflict
	case errkind.OutcomeUnknown.String():
		return ExitUnknown
	default:
		return ExitFailed
	}
}
