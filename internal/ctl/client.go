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
	// dialTimeout bounds one TCP connect.
	dialTimeout = 2 * time.Second
	// readTimeout bounds one read from one server; it is longer than a node
	// waits for other nodes' answers.
	readTimeout = 8 * time.Second
	// proposeTimeout bounds one proposal at one server; it is longer than a
	// node waits for the log's verdict.
	proposeTimeout = 20 * time.Second
	// evacuationTimeout bounds one order about a zone at one server; it is longer than
	// a node waits for the log.
	evacuationTimeout = 5 * time.Second
	// maxAnswerBytes bounds an answer.
	maxAnswerBytes = 64 << 20
)

// unreachableError: a server gave no whole answer.
type unreachableError struct {
	server string
	// sent is false when no byte of the request was sent.
	sent bool
	err  error
}

// Error implements the error interface. The server stands in it once.
func (e *unreachableError) Error() string {
	cause := e.err
	var request *url.Error
	if errors.As(cause, &request) {
		cause = request.Err
	}
	return e.server + ": " + cause.Error()
}

// Unwrap returns the cause.
func (e *unreachableError) Unwrap() error { return e.err }

// answerError is an error that a server answered with.
type answerError struct {
	server string
	status int
	detail api.ErrorDetail
}

// Error implements the error interface.
func (e *answerError) Error() string { return e.detail.Message + " (" + e.detail.Code + ")" }

// client talks to the first server that can be reached.
type client struct {
	servers []string // base URLs
	next    int      // index of the server to try first
	http    *http.Client
}

func newClient(servers []string) *client {
	transport := &http.Transport{
		DialContext:         (&net.Dialer{Timeout: dialTimeout}).DialContext,
		TLSHandshakeTimeout: dialTimeout,
	}
	return &client{servers: servers, http: &http.Client{Transport: transport}}
}

// parseServers turns "host:port" or URLs, each maybe a list with commas, into
// base URLs.
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
		return "", exitWith(ExitUsage, "--server %q is no HOST:PORT and no http URL", server)
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
			return asExit(err)
		}
		failures = append(failures, err.Error())
		if ctx.Err() != nil {
			break
		}
		c.skipServer()
	}
	return exitWith(ExitUnreachable, "no server could be reached: %s", strings.Join(failures, "; "))
}

func (c *client) read(ctx context.Context, path string, query url.Values, into any) error {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	return c.attempt(ctx, http.MethodGet, path, query, nil, into)
}

// skipServer makes the next server the one to try first.
func (c *client) skipServer() { c.next = (c.next + 1) % len(c.servers) }

// attempt sends one request to the current server. Errors are
// *unreachableError or *answerError.
func (c *client) attempt(ctx context.Context, method, path string, query url.Values, body, into any) error {
	server := c.servers[c.next]
	request, err := newRequest(ctx, method, server+path, query, body)
	if err != nil {
		return err
	}
	response, err := c.http.Do(request)
	if err != nil {
		return &unreachableError{server: server, sent: !isDialError(err), err: err}
	}
	defer response.Body.Close()
	answer, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes))
	if err != nil {
		return &unreachableError{server: server, sent: true, err: err}
	}
	if response.StatusCode >= http.StatusMultipleChoices {
		return newAnswerError(server, response.StatusCode, answer)
	}
	if err := json.Unmarshal(answer, into); err != nil {
		return &unreachableError{server: server, sent: true, err: errors.Wrap(err, "answer is not from corkpulley")}
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
		return nil, errors.Wrap(err, "make request")
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

func newAnswerError(server string, status int, answer []byte) *answerError {
	var body api.ErrorBody
	if err := json.Unmarshal(answer, &body); err != nil || body.Error.Code == "" {
		body.Error = api.ErrorDetail{
			Code:     errkind.Internal.String(),
			Message:  notCorkpulley(server, status),
			Executed: string(errkind.Unknown),
		}
	}
	return &answerError{server: server, status: status, detail: body.Error}
}

// notCorkpulley describes an answer without the body that every error has.
func notCorkpulley(server string, status int) string {
	return fmt.Sprintf("%s answered %d %s: is it a node's operators' address?", server, status, http.StatusText(status))
}

// asExit gives an error of attempt its exit code.
func asExit(err error) error {
	var unreachable *unreachableError
	if errors.As(err, &unreachable) {
		return &exitError{code: ExitUnreachable, err: err}
	}
	var answer *answerError
	if errors.As(err, &answer) {
		return &exitError{code: exitCodeOfAnswer(answer.detail.Code), err: err, detail: &answer.detail}
	}
	return err
}

func exitCodeOfAnswer(code string) ExitCode {
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
