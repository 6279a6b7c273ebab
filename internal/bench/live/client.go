package live

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/go-faster/errors"

	"github.com/corkpulley/corkpulley/internal/api"
)

// Limits of connections and responses.
const (
	dialTimeout        = 3 * time.Second
	maxResponseBytes   = 16 << 20
	maxIdleConnections = 256
)

// Client sends calls. It is safe for concurrent use.
type Client struct {
	http *http.Client
}

// NewClient returns a client with a separate connection pool.
func NewClient() *Client { return newClient(false) }

// NewSingleUseClient returns a client that opens a connection for each call, so
// that no call fails because the server closed an idle connection.
func NewSingleUseClient() *Client { return newClient(true) }

func newClient(singleUse bool) *Client {
	return &Client{http: &http.Client{Transport: &http.Transport{
		DialContext:         (&net.Dialer{Timeout: dialTimeout}).DialContext,
		MaxIdleConnsPerHost: maxIdleConnections,
		DisableKeepAlives:   singleUse,
		DisableCompression:  true,
	}}}
}

func isDialError(err error) bool {
	var operation *net.OpError
	return errors.As(err, &operation) && operation.Op == "dial"
}

// Close closes idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// Send sends one request without retries and returns its outcome.
func (c *Client) Send(ctx context.Context, call Call) Outcome {
	started := time.Now()
	outcome := Outcome{Call: call, Started: started.UnixNano()}
	if err := c.roundTrip(ctx, started, &outcome); err != nil {
		outcome.TransportError = err.Error()
		outcome.NotConnected = isDialError(err)
	}
	outcome.Latency = time.Since(started)
	outcome.Ended = time.Now().UnixNano()
	if outcome.Done && outcome.Code == "" {
		outcome.Violations = append(outcome.Violations, Check(&outcome)...)
	}
	return outcome
}

func (c *Client) roundTrip(ctx context.Context, started time.Time, outcome *Outcome) error {
	request, err := newRequest(ctx, outcome.Call)
	if err != nil {
		return err
	}
	response, err := c.http.Do(request)
	if err != nil {
		return errors.Wrap(err, "send")
	}
	defer func() { _ = response.Body.Close() }()
	outcome.Status = response.StatusCode
	outcome.RequestID = response.Header.Get(api.HeaderRequestID)
	body := io.LimitReader(response.Body, maxResponseBytes)
	switch {
	case response.StatusCode != http.StatusOK:
		return readError(body, response.Header, outcome)
	case outcome.Call.Stream:
		return readEvents(body, started, outcome)
	default:
		return readCompletion(body, started, outcome)
	}
}

func newRequest(ctx context.Context, call Call) (*http.Request, error) {
	body, err := json.Marshal(api.CompletionRequest{
		Model:     call.Service,
		Prompt:    call.Prompt,
		MaxTokens: call.MaxTokens,
		Seed:      &call.Seed,
		Stream:    call.Stream,
	})
	if err != nil {
		return nil, errors.Wrap(err, "encode request")
	}
	url := "http://" + call.Address + "/v1/completions"
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return nil, errors.Wrap(err, "create request")
	}
	request.Header.Set("Content-Type", "application/json")
	if call.IdempotencyKey == "" {
		return request, nil
	}
	// net/http retries requests that have this header when an idle connection
	// breaks. Without GetBody it cannot, so that one Send is one request.
	request.GetBody = nil
	request.Header.Set(api.HeaderIdempotencyKey, call.IdempotencyKey)
	return request, nil
}

func readError(body io.Reader, header http.Header, outcome *Outcome) error {
	var document api.ErrorBody
	if err := json.NewDecoder(body).Decode(&document); err != nil {
		return errors.Wrap(err, "decode error response")
	}
	setError(document.Error, outcome)
	if executed := header.Get(api.HeaderExecuted); executed != outcome.Executed {
		violation := "error header and body disagree on whether the request was executed"
		outcome.Violations = append(outcome.Violations, violation)
	}
	return nil
}

func setError(detail api.ErrorDetail, outcome *Outcome) {
	outcome.Code = detail.Code
	outcome.Executed = detail.Executed
	outcome.Done = true
}

func readCompletion(body io.Reader, started time.Time, outcome *Outcome) error {
	var completion api.Completion
	if err := json.NewDecoder(body).Decode(&completion); err != nil {
		return errors.Wrap(err, "decode completion")
	}
	outcome.TimeToFirstToken = time.Since(started)
	addCompletion(&completion, outcome)
	outcome.Done = true
	return nil
}

// addCompletion adds the body of a plain response or one event of a stream to
// the outcome. The plain body and the last event carry usage and versions of the
// whole completion.
func addCompletion(completion *api.Completion, outcome *Outcome) {
	for _, choice := range completion.Choices {
		outcome.Text += choice.Text
		if choice.FinishReason != nil {
			outcome.FinishReason = *choice.FinishReason
		}
	}
	if completion.Usage != nil {
		outcome.Usage = completion.Usage
		outcome.Versions = completion.Versions
	}
	if outcome.RequestID == "" {
		outcome.RequestID = completion.ID
	}
}
