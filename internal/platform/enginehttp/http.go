// Package enginehttp calls engines over HTTP/1.1. Streams are newline-delimited JSON.
//
// Endpoints: POST /v1/generate (GenerateRequest; responds with a stream of Chunk), POST /v1/cancel, GET
// /v1/status, GET /v1/watch (a stream of Event), POST /v1/orders, POST /v1/kv/export, POST /v1/kv/import.
package enginehttp

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"

	"github.com/corkpulley/corkpulley/internal/common/abortconn"
	"github.com/corkpulley/corkpulley/internal/engine"
)

// Limits of the HTTP client.
const (
	// maxLineBytes bounds one line of a stream.
	maxLineBytes = 4 << 20
	// maxResponseBytes bounds a response that is not a stream; a KV export is the largest.
	maxResponseBytes = 64 << 20
	// maxRefusalBytes bounds the body of a response whose status is not 200, and how much closeBody drains.
	maxRefusalBytes = 64 << 10
	// maxIdleConnections bounds the idle connections of one transport.
	maxIdleConnections = 4096
	// maxIdleConnectionsPerEngine keeps a connection for each stream of a busy engine.
	maxIdleConnectionsPerEngine = 256
	// idleTimeout closes idle connections before servers usually do.
	idleTimeout = 30 * time.Second
	// dialTimeout bounds one TCP connect.
	dialTimeout = 2 * time.Second
	// maxHeadBytes bounds the head of a response together with the interim responses before it.
	maxHeadBytes = 64 << 10
	// keepAlive is the interval of TCP keepalive probes.
	keepAlive = 15 * time.Second
)

// Paths of the engine's endpoints.
const (
	PathGenerate = "/v1/generate"
	PathCancel   = "/v1/cancel"
	PathStatus   = "/v1/status"
	PathWatch    = "/v1/watch"
	PathOrders   = "/v1/orders"
	PathKVExport = "/v1/kv/export"
	PathKVImport = "/v1/kv/import"
)

// QueryInterval is the watch query parameter for the status interval in milliseconds.
const QueryInterval = "interval_ms"

// HTTPClient implements engine.Client over HTTP/1.1 and newline-delimited JSON. It is safe for concurrent use.
type HTTPClient struct {
	client http.Client
}

var _ engine.Client = (*HTTPClient)(nil)

// NewHTTP returns a client that sends its requests with client; nil selects an http.Client with a transport of
// NewTransport. It never follows redirects, as a request must not be sent twice.
func NewHTTP(client *http.Client) *HTTPClient {
	if client == nil {
		client = &http.Client{Transport: NewTransport()}
	}
	c := &HTTPClient{client: *client}
	c.client.CheckRedirect = func(*http.Request, []*http.Request) error {
		return http.ErrUseLastResponse
	}
	return c
}

// NewTransport returns a pooled transport for hundreds of streams to each of many engines. It uses HTTP/1.1
// only: each stream has its own connection, so a slow reader does not block other streams.
func NewTransport() *http.Transport {
	dialer := &net.Dialer{Timeout: dialTimeout, KeepAlive: keepAlive, Control: abortconn.Control}
	return &http.Transport{
		DialContext:         dialer.DialContext,
		MaxIdleConns:        maxIdleConnections,
		MaxIdleConnsPerHost: maxIdleConnectionsPerEngine,
		IdleConnTimeout:     idleTimeout,
		DisableCompression:  true,

		MaxResponseHeaderBytes: maxHeadBytes,
	}
}

// Generate implements engine.Client.
func (c *HTTPClient) Generate(ctx context.Context, address string, request engine.GenerateRequest) (engine.Stream, error) {
	streamContext, cancel := context.WithCancel(ctx)
	response, err := c.send(streamContext, address, PathGenerate, request)
	if err != nil {
		cancel()
		return nil, err
	}
	return newHTTPStream(response.Body, cancel, request.RequestID, request.Attempt), nil
}

// Cancel implements engine.Client. A stream unknown to the engine counts as canceled.
func (c *HTTPClient) Cancel(ctx context.Context, address string, request engine.CancelRequest) error {
	err := c.call(ctx, address, PathCancel, request, nil)
	var failure *engine.SendError
	if errors.As(err, &failure) && failure.Refusal != nil && failure.Refusal.Code == engine.CodeUnknownStream {
		return nil
	}
	return err
}

// Status implements engine.Client.
func (c *HTTPClient) Status(ctx context.Context, address string) (engine.Status, error) {
	var status engine.Status
	response, err := c.get(ctx, address, PathStatus, nil)
	if err != nil {
		return status, err
	}
	defer closeBody(response.Body)
	if err := decodeResponse(response.Body, &status); err != nil {
		return engine.Status{}, errors.Wrap(err, "decode engine status")
	}
	return status, nil
}

// Watch implements engine.Client. It returns ctx's error once ctx has ended, otherwise why the stream failed;
// io.ErrUnexpectedEOF if the engine closed it.
func (c *HTTPClient) Watch(ctx context.Context, address string, interval time.Duration, handle func(engine.Event)) error {
	query := url.Values{QueryInterval: {strconv.FormatInt(interval.Milliseconds(), 10)}}
	response, err := c.get(ctx, address, PathWatch, query)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	lines := newLineReader(response.Body)
	defer lines.release()
	for {
		var event engine.Event
		if err := lines.decode(&event); err != nil {
			return watchError(ctx, err)
		}
		handle(event)
	}
}

func watchError(ctx context.Context, err error) error {
	if ctx.Err() != nil {
		return ctx.Err()
	}
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return errors.Wrap(err, "watch engine")
}

// Order implements engine.Client.
func (c *HTTPClient) Order(ctx context.Context, address string, order engine.Order) error {
	return c.call(ctx, address, PathOrders, order, nil)
}

// KVExport implements engine.Client.
func (c *HTTPClient) KVExport(ctx context.Context, address string, request engine.CancelRequest) (engine.KVExport, error) {
	var export engine.KVExport
	err := c.call(ctx, address, PathKVExport, request, &export)
	return export, err
}

// KVImport implements engine.Client.
func (c *HTTPClient) KVImport(ctx context.Context, address string, export engine.KVExport) (engine.KVHandle, error) {
	var handle engine.KVHandle
	err := c.call(ctx, address, PathKVImport, export, &handle)
	return handle, err
}

// call sends a POST request and decodes the body of the answer into response, unless that is nil.
func (c *HTTPClient) call(ctx context.Context, address, path string, request, response any) error {
	answer, err := c.send(ctx, address, path, request)
	if err != nil {
		return err
	}
	defer closeBody(answer.Body)
	if response == nil {
		return nil
	}
	if err := decodeResponse(answer.Body, response); err != nil {
		return &engine.SendError{Sent: true, Err: errors.Wrap(err, "decode engine response")}
	}
	return nil
}

// send sends a POST request. It returns a response with status 200 or a *engine.SendError.
func (c *HTTPClient) send(ctx context.Context, address, path string, message any) (*http.Response, error) {
	body, err := json.Marshal(message)
	if err != nil {
		return nil, &engine.SendError{Err: errors.Wrap(err, "encode engine request")}
	}
	var delivery deliveryTrace
	request, err := http.NewRequestWithContext(delivery.withTrace(ctx), http.MethodPost, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		return nil, &engine.SendError{Err: errors.Wrap(err, "build engine request")}
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := c.client.Do(request)
	if err != nil {
		return nil, &engine.SendError{Sent: delivery.sent.Load(), Err: err}
	}
	if response.StatusCode != http.StatusOK {
		return nil, refusalError(response)
	}
	return response, nil
}

func (c *HTTPClient) get(ctx context.Context, address, path string, query url.Values) (*http.Response, error) {
	target := url.URL{Scheme: "http", Host: address, Path: path, RawQuery: query.Encode()}
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, target.String(), nil)
	if err != nil {
		return nil, errors.Wrap(err, "build engine request")
	}
	response, err := c.client.Do(request)
	if err != nil {
		return nil, errors.Wrap(err, "query engine")
	}
	if response.StatusCode != http.StatusOK {
		defer closeBody(response.Body)
		return nil, errors.Errorf("engine answered %s to %s", response.Status, path)
	}
	return response, nil
}

// deliveryTrace records whether any byte of a request may have been sent.
//
// sent is set when the transport obtains a connection, before it may start writing; setting it later (headers
// written) would race with a context that ends meanwhile. The transport obtains another connection only if it
// has written nothing of a POST, so GetConn resets sent.
type deliveryTrace struct {
	sent atomic.Bool
}

func (d *deliveryTrace) withTrace(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GetConn: func(string) { d.sent.Store(false) },
		GotConn: func(httptrace.GotConnInfo) { d.sent.Store(true) },
	})
}

// refusalBody distinguishes an absent "ran" from false: only false guarantees that the request did not run.
type refusalBody struct {
	engine.Refusal
	Ran *bool `json:"ran"`
}

// refusalError converts a response whose status is not 200 to a *engine.SendError and closes its body.
func refusalError(response *http.Response) error {
	defer closeBody(response.Body)
	failure := &engine.SendError{Sent: true, Err: errors.Errorf("engine answered %s", response.Status)}
	var body refusalBody
	err := json.NewDecoder(io.LimitReader(response.Body, maxRefusalBytes)).Decode(&body)
	if err != nil || body.Code == "" {
		return failure
	}
	refusal := body.Refusal
	refusal.Ran = body.Ran == nil || *body.Ran
	failure.Refusal = &refusal
	return failure
}

func decodeResponse(body io.Reader, target any) error {
	return json.NewDecoder(io.LimitReader(body, maxResponseBytes)).Decode(target)
}

// closeBody drains up to maxRefusalBytes, so that the connection can be reused.
func closeBody(body io.ReadCloser) {
	_, _ = io.CopyN(io.Discard, body, maxRefusalBytes)
	_ = body.Close()
}
