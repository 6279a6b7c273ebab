package pathcost

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"sync/atomic"

	"github.com/go-faster/errors"
	"golang.org/x/sync/errgroup"

	"github.com/corkpulley/corkpulley/internal/api"
	"github.com/corkpulley/corkpulley/internal/engine"
	"github.com/corkpulley/corkpulley/internal/platform/enginehttp"
)

// requestIDs generates unique numbers for request IDs and prompts.
var requestIDs atomic.Uint64

// client sends requests over one route and parses its response format.
type client struct {
	http *http.Client
	url  string
	body func(tokens int) any
	// chunkOf parses a line of a response.
	chunkOf func(line []byte) (tokens int, last bool, err error)
}

func newClient(url string) *client {
	transport := &http.Transport{MaxIdleConnsPerHost: maxStreams, DisableCompression: true}
	return &client{http: &http.Client{Transport: transport}, url: url}
}

// prompt returns a unique prompt that makes the engine stand-in generate the given number of tokens.
func prompt(tokens int) string {
	return fmt.Sprintf("assessed value of parcel %d? [tokens=%d]", requestIDs.Add(1), tokens)
}

// newProxyClient returns a client that uses the engine's API through the reverse proxy.
func newProxyClient(address string) *client {
	created := newClient("http://" + address + enginehttp.PathGenerate)
	created.body = func(tokens int) any {
		return engine.GenerateRequest{
			RequestID: fmt.Sprint("plain-", requestIDs.Add(1)), Attempt: 1, Service: service, Model: model,
			Prompt: prompt(tokens), MaxTokens: tokens, Temperature: 1,
		}
	}
	created.chunkOf = func(line []byte) (int, bool, error) {
		var chunk engine.Chunk
		err := json.Unmarshal(line, &chunk)
		return len(chunk.Tokens), chunk.Finished, err
	}
	return created
}

// newPathClient returns a client that requests server-sent events from the gateway.
func newPathClient(address string) *client {
	created := newClient("http://" + address + "/v1/completions")
	created.body = func(tokens int) any {
		return api.CompletionRequest{Model: service, Prompt: prompt(tokens), MaxTokens: tokens, Stream: true}
	}
	created.chunkOf = func(line []byte) (int, bool, error) {
		data, isData := bytes.CutPrefix(line, []byte("data: "))
		if !isData {
			return 0, false, errors.Errorf("unexpected line %q", line)
		}
		if string(data) == "[DONE]" {
			return 0, true, nil
		}
		var event api.Completion
		if err := json.Unmarshal(data, &event); err != nil {
			return 0, false, err
		}
		if event.Usage != nil {
			return 0, false, nil
		}
		tokens := 0
		for _, span := range event.Versions {
			tokens += span.To - span.From
		}
		return tokens, false, nil
	}
	return created
}

// run sends the requests over the given number of concurrent streams and checks
// that each response is complete.
func (c *client) run(ctx context.Context, requests, streams, tokens int) error {
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(streams)
	for range requests {
		group.Go(func() error { return c.send(ctx, tokens) })
	}
	return group.Wait()
}

func (c *client) send(ctx context.Context, tokens int) error {
	body, err := json.Marshal(c.body(tokens))
	if err != nil {
		return errors.Wrap(err, "encode request")
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, c.url, bytes.NewReader(body))
	if err != nil {
		return errors.Wrap(err, "build request")
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := c.http.Do(request)
	if err != nil {
		return errors.Wrap(err, "send request")
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		detail, _ := io.ReadAll(response.Body)
		return errors.Errorf("%s responded with %s: %s", c.url, response.Status, detail)
	}
	received, err := c.read(response.Body)
	if err != nil {
		return err
	}
	if received != tokens {
		return errors.Errorf("%s returned %d tokens, expected %d", c.url, received, tokens)
	}
	return nil
}

// read reads a response to its end and returns its number of tokens.
func (c *client) read(body io.Reader) (int, error) {
	lines := bufio.NewScanner(body)
	received := 0
	complete := false
	for lines.Scan() {
		if len(lines.Bytes()) == 0 {
			continue
		}
		tokens, last, err := c.chunkOf(lines.Bytes())
		if err != nil {
			return received, errors.Wrap(err, "parse response")
		}
		received += tokens
		complete = complete || last
	}
	if err := lines.Err(); err != nil {
		return received, errors.Wrap(err, "read response")
	}
	if !complete {
		return received, errors.New("response is truncated")
	}
	return received, nil
}
