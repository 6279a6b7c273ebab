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

	"github.com/corkpulley/corkpulley/internal/eventstream"
)

const (
	headerDeadline = "X-Corkpulley-Deadline-Ms"
	headerTokens   = "X-Corkpulley-Token-Count"
	headerWait     = "X-Corkpulley-Wait-Ms"
	// itemPromptTokens and itemOutputTokens are the size of each item, in the prompt
	// and at most out.
	itemPromptTokens = 10
	itemOutputTokens = 90
)

// Client calls nodes as live callers and trainers do, each call on a connection
// of its own.
type Client struct {
	http *http.Client
	// key is the API key that it shows; empty for none.
	key string
}

// WithKey returns a client that shows an API key.
func (c *Client) WithKey(key string) *Client { return &Client{http: c.http, key: key} }

// NewClient returns a client whose calls end after the timeout.
func NewClient(timeout time.Duration) *Client {
	return &Client{http: &http.Client{
		Timeout: timeout, Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true},
	}}
}

// LiveAnswer is what a live caller got.
type LiveAnswer struct {
	Status int
	// ID is the request's ID as the answer names it, Stamped tells whether an
	// engine's stamp came with it.
	ID      string
	Stamped bool
	Body    string
	// Events are the data of a stream's events, in order; Numbers are theirs.
	Events  []string
	Numbers []int64
}

// Refused tells whether the status promises that the request never runs.
func Refused(status int) bool {
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
		return nil, errors.Wrap(err, "build the call")
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

// Live sends a live request to a node. An error means that no whole answer came.
func (c *Client) Live(ctx context.Context, address, path, id, body string, deadline time.Duration) (LiveAnswer, error) {
	response, err := c.do(ctx, http.MethodPost, address, path, []byte(body), map[string]string{
		headerRequestID: id, headerDeadline: strconv.FormatInt(deadline.Milliseconds(), 10), headerModel: ModelDrafts,
	})
	if err != nil {
		return LiveAnswer{}, err
	}
	defer response.Body.Close()
	answer := LiveAnswer{
		Status: response.StatusCode, ID: response.Header.Get(headerRequestID),
		Stamped: response.Header.Get(headerStamp) != "",
	}
	if response.Header.Get("Content-Type") == "text/event-stream" {
		err := answer.readEvents(response.Body)
		return answer, err
	}
	raw, err := io.ReadAll(response.Body)
	answer.Body = string(raw)
	return answer, err
}

// readEvents reads the events of a stream until it ends whole.
func (a *LiveAnswer) readEvents(body io.Reader) error {
	reader := eventstream.NewReader(body)
	for {
		event, err := reader.Next()
		if errors.Is(err, io.EOF) && !errors.Is(err, io.ErrUnexpectedEOF) {
			return nil
		}
		if err != nil {
			return err
		}
		a.Events = append(a.Events, string(event.Data))
		a.Numbers = append(a.Numbers, event.ID)
	}
}

// Job is a batch job as a trainer hands it in.
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
	// ScoringID names the item's scoring call under PrefixScoring; empty for none.
	ScoringID string
}

// ScoringPath is the path of a scoring call.
func ScoringPath(id string) string { return PrefixScoring + id }

// ScoringBody is the body of the item's scoring call.
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

// ItemPath is the path under which engines get an item.
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
		items[i] = wireItem{
			ID: item.ID, Path: ItemPath(item.ID), Group: item.Group, Tokens: itemPromptTokens + itemOutputTokens,
			Headers: map[string]string{
				headerModel: ModelDrafts, headerTokens: fmt.Sprintf("%d,%d", itemPromptTokens, itemOutputTokens),
			},
			Body: base64.StdEncoding.EncodeToString([]byte(item.Body)), Scoring: item.scoring(),
		}
	}
	raw, err := json.Marshal(map[string]any{
		"step": j.Step, "model": ModelDrafts, "minVersion": j.MinVersion, "desiredCount": len(items), "requests": items,
	})
	if err != nil {
		return nil, errors.Wrap(err, "encode the job")
	}
	return raw, nil
}

// Submit hands a job in and returns the status; an error means that none came.
func (c *Client) Submit(ctx context.Context, address string, job Job) (int, error) {
	raw, err := job.encode()
	if err != nil {
		return 0, err
	}
	response, err := c.do(ctx, http.MethodPost, address, PrefixDrafts+job.ID, raw, map[string]string{headerRequestID: job.ID})
	return statusOf(response, err)
}

// End ends a job and returns the status.
func (c *Client) End(ctx context.Context, address, jobID string) (int, error) {
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
	// Score is the stamp of the answer to the scoring call.
	Score string `json:"score"`
}

// StateCompleted is the state of an item whose whole output is listed.
const StateCompleted = "completed"

// JobResults is the answer to a read of a job.
type JobResults struct {
	Total   int          `json:"total"`
	Next    int          `json:"nextToken"`
	Results []ItemResult `json:"results"`
}

// Results reads a job from a position on, held for up to wait until there is a
// result. The status is zero, with an error, when no whole answer came.
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
		return JobResults{}, 0, errors.Wrap(err, "read the results")
	}
	return results, response.StatusCode, nil
}
