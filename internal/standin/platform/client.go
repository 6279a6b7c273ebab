package platform

import (
	"bytes"
	"context"
	"encoding/base64"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/go-faster/errors"

	"github.com/corkpulley/corkpulley/internal/sse"
)

const (
	headerDeadline = "X-Corkpulley-Deadline-Ms"
	headerTokens   = "X-Corkpulley-Token-Count"
	headerWait     = "X-Corkpulley-Wait-Ms"

	headerRetryAfter = "Retry-After"
	headerLengthHint = "X-Corkpulley-Length-Hint"
	// Token counts declared for each item: its prompt and its maximum output.
	itemPromptTokens = 10
	itemOutputTokens = 90
)

// Client calls nodes as live callers and trainers do. Each call uses a new connection.
type Client struct {
	http *http.Client
	// key is the API key sent with each call, if not empty.
	key string
}

// WithKey returns a copy of the client that sends an API key.
func (c *Client) WithKey(key string) *Client { return &Client{http: c.http, key: key} }

// NewClient returns a client with a timeout for each call.
func NewClient(timeout time.Duration) *Client {
	return &Client{http: &http.Client{
		Timeout: timeout, Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true},
	}}
}

// NewKeepingClient returns a client that keeps its connections open for further calls.
func NewKeepingClient(timeout time.Duration) *Client {
	return &Client{http: &http.Client{Timeout: timeout, Transport: &http.Transport{DisableCompression: true}}}
}

// LiveResponse is the response to a live request.
type LiveResponse struct {
	Status int
	// ID is the request ID in the response. Stamped reports whether the response carries an engine's stamp.
	ID      string
	Stamped bool
	Body    string
	// RetryAfter is the value of the Retry-After header; empty if there was none.
	RetryAfter string
	// Events and EventIDs are the data and the IDs of a stream's events, in order.
	Events   []string
	EventIDs []int64
}

// GuaranteesNotExecuted reports whether the status guarantees that the request is never executed.
func GuaranteesNotExecuted(status int) bool {
	switch status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout,
		http.StatusMisdirectedRequest:
		return true
	default:
		return false
	}
}

func (c *Client) do(ctx context.Context, method, address, path string, body []byte, headers map[string]string) (*http.Response, error) {
	request, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		return nil, errors.Wrap(err, "build request")
	}
	request.Host = RouteHost
	for name, value := range headers {
		request.Header.Set(name, value)
	}
	if c.key != "" {
		request.Header.Set(headerCredentials, "Bearer "+c.key)
	}
	return c.http.Do(request)
}

// SendLive sends a live request to a node. An error means that no complete response was received.
func (c *Client) SendLive(ctx context.Context, address, path, id, body string, deadline time.Duration) (LiveResponse, error) {
	response, err := c.do(ctx, http.MethodPost, address, path, []byte(body), map[string]string{
		headerRequestID: id, headerDeadline: strconv.FormatInt(deadline.Milliseconds(), 10), headerModel: ModelDrafts,
	})
	if err != nil {
		return LiveResponse{}, err
	}
	defer response.Body.Close()
	result := LiveResponse{
		Status: response.StatusCode, ID: response.Header.Get(headerRequestID),
		Stamped: response.Header.Get(headerStamp) != "", RetryAfter: response.Header.Get(headerRetryAfter),
	}
	if response.Header.Get("Content-Type") == "text/event-stream" {
		err := result.readEvents(response.Body)
		return result, err
	}
	raw, err := io.ReadAll(response.Body)
	result.Body = string(raw)
	return result, err
}

// readEvents reads events until the stream is complete.
func (r *LiveResponse) readEvents(body io.Reader) error {
	reader := sse.NewReader(body)
	for {
		event, err := reader.Next()
		if errors.Is(err, io.EOF) && !errors.Is(err, io.ErrUnexpectedEOF) {
			return nil
		}
		if err != nil {
			return err
		}
		r.Events = append(r.Events, string(event.Data))
		r.EventIDs = append(r.EventIDs, event.ID)
	}
}

// Job is a batch job as a trainer submits it.
type Job struct {
	ID         string
	Step       int64
	MinVersion int64
	Items      []JobItem
}

// JobItem is one item of a job.
type JobItem struct {
	ID    string
	Group string
	Body  string
	// ScoringID is the ID of the item's scoring call below PrefixScoring; empty for none.
	ScoringID string
	// LengthHint is the number of events that the trainer expects; zero for no hint.
	LengthHint int
}

func ScoringPath(id string) string { return PrefixScoring + id }

func (i JobItem) ScoringBody() string { return "score " + i.ID }

type wireScoring struct {
	ID   string `json:"id"`
	Host string `json:"host"`
	Path string `json:"path"`
	Body string `json:"body"`
}

func (i JobItem) scoring() *wireScoring {
	if i.ScoringID == "" {
		return nil
	}
	return &wireScoring{
		ID: i.ScoringID, Host: RouteHost, Path: ScoringPath(i.ScoringID),
		Body: base64.StdEncoding.EncodeToString([]byte(i.ScoringBody())),
	}
}

// ItemPath returns the path at which engines receive an item.
func ItemPath(id string) string { return PrefixDrafts + "x/" + id }

type wireItem struct {
	ID      string            `json:"id"`
	Path    string            `json:"path"`
	Headers map[string]string `json:"headers"`
	Body    string            `json:"body"`
	Tokens  int               `json:"tokenCount"`
	Group   string            `json:"group"`
	Scoring *wireScoring      `json:"scoringCall,omitempty"`
}

func (j Job) encode() ([]byte, error) {
	items := make([]wireItem, len(j.Items))
	for i, item := range j.Items {
		headers := map[string]string{
			headerModel: ModelDrafts, headerTokens: fmt.Sprintf("%d,%d", itemPromptTokens, itemOutputTokens),
		}
		if item.LengthHint > 0 {
			headers[headerLengthHint] = strconv.Itoa(item.LengthHint)
		}
		items[i] = wireItem{
			ID: item.ID, Path: ItemPath(item.ID), Group: item.Group, Tokens: itemPromptTokens + itemOutputTokens,
			Headers: headers,
			Body:    base64.StdEncoding.EncodeToString([]byte(item.Body)), Scoring: item.scoring(),
		}
	}
	raw, err := json.Marshal(map[string]any{
		"step": j.Step, "model": ModelDrafts, "minVersion": j.MinVersion, "desiredCount": len(items), "requests": items,
	})
	if err != nil {
		return nil, errors.Wrap(err, "encode job")
	}
	return raw, nil
}

// SubmitResponse is the response to the submission of a job.
type SubmitResponse struct {
	Status int
	// RetryAfter is the value of the Retry-After header; empty if there was none.
	RetryAfter string
}

// Submit submits a job; an error means that there was no response.
func (c *Client) Submit(ctx context.Context, address string, job Job) (SubmitResponse, error) {
	raw, err := job.encode()
	if err != nil {
		return SubmitResponse{}, err
	}
	response, err := c.do(ctx, http.MethodPost, address, PrefixDrafts+job.ID, raw, map[string]string{headerRequestID: job.ID})
	status, err := statusOf(response, err)
	if err != nil {
		return SubmitResponse{}, err
	}
	return SubmitResponse{Status: status, RetryAfter: response.Header.Get(headerRetryAfter)}, nil
}

// EndJob ends a job and returns the response status.
func (c *Client) EndJob(ctx context.Context, address, jobID string) (int, error) {
	response, err := c.do(ctx, http.MethodDelete, address, "/lots/"+jobID, nil, nil)
	return statusOf(response, err)
}

func statusOf(response *http.Response, err error) (int, error) {
	if err != nil {
		return 0, err
	}
	_, err = io.Copy(io.Discard, response.Body)
	_ = response.Body.Close()
	return response.StatusCode, err
}

// ItemResult is the result at one position of a job.
type ItemResult struct {
	ID       string  `json:"id"`
	State    string  `json:"state"`
	Text     string  `json:"text"`
	Versions []int64 `json:"versions"`
	// Score is the stamp on the response to the scoring call.
	Score string `json:"score"`
}

// StateCompleted is the state of an item whose result holds its whole output.
const StateCompleted = "completed"

// JobResults is one page of a job's results.
type JobResults struct {
	Total   int          `json:"total"`
	Next    int          `json:"nextToken"`
	Results []ItemResult `json:"results"`
}

// Results reads a job's results, beginning at a position, and waits up to wait for the first one.
// The status is zero, with an error, if no complete response was received.
func (c *Client) Results(ctx context.Context, address, jobID string, from int, wait time.Duration) (JobResults, int, error) {
	headers := map[string]string{}
	if wait > 0 {
		headers[headerWait] = strconv.FormatInt(wait.Milliseconds(), 10)
	}
	response, err := c.do(ctx, http.MethodGet, address, fmt.Sprintf("/lots/%s?afterRev=%d", jobID, from), nil, headers)
	if err != nil {
		return JobResults{}, 0, err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return JobResults{}, response.StatusCode, nil
	}
	var results JobResults
	if err := json.NewDecoder(response.Body).Decode(&results); err != nil {
		return JobResults{}, 0, errors.Wrap(err, "decode job results")
	}
	return results, response.StatusCode, nil
}
