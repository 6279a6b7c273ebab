package slopes

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"

	"github.com/go-faster/errors"
	"github.com/gorilla/mux"
	"github.com/rs/zerolog"

	"github.com/corkpulley/corkpulley/internal/api"
	"github.com/corkpulley/corkpulley/internal/cluster"
	"github.com/corkpulley/corkpulley/internal/gateway"
	"github.com/corkpulley/corkpulley/internal/message"
	"github.com/corkpulley/corkpulley/internal/peer"
	"github.com/corkpulley/corkpulley/internal/router"
)

// hollowToken is one token of a hollow answer.
const hollowToken = "parcel "

// maxAnswerTokens exceeds all answers of the hollow engines.
const maxAnswerTokens = 32768

// gatewayPath is a real gateway, router and peer transport behind a real HTTP
// server, before a hollow dispatcher on another transport. The caller's HTTP
// client shares the process, so its cost counts too: an upper bound.
type gatewayPath struct {
	closers
	shapes
	url    string
	client *http.Client
}

func openGatewayPath() (path, error) {
	opened := &gatewayPath{}
	far, err := startTransport("node-far", func(transport *peer.Transport) {
		transport.HandleStream(peer.MethodSubmit, opened.answer)
	})
	if err != nil {
		return nil, err
	}
	opened.add(far.close)
	near, err := startTransport("node-near", func(*peer.Transport) {})
	if err != nil {
		opened.close()
		return nil, err
	}
	opened.add(near.close)
	opened.serve(near.Transport, far.Address())
	return opened, nil
}

// serve starts the gateway in front of the hollow dispatcher's address.
func (p *gatewayPath) serve(caller peer.Caller, dispatcher string) {
	node := &hollowNode{
		self:    hollowMember("node-near", "", hollowZone),
		members: []cluster.Member{hollowMember("node-far", dispatcher, hollowZone)},
		table:   hollowTable(),
	}
	for index := range cellsAtTarget {
		digest := hollowDigest(index, 1)
		digest.Node, digest.Address = "node-far", dispatcher
		node.cells = append(node.cells, digest)
	}
	served := gateway.New(gateway.Options{
		NodeID: "node-near",
		Router: router.New(router.Options{
			NodeID: "node-near", Zone: hollowZone, Caller: caller, View: node, Announcer: node,
			Tables: node, Logger: zerolog.Nop(), Seed: 1,
		}),
		Tables: node, Logger: zerolog.Nop(),
	})
	handler := mux.NewRouter()
	served.Register(handler)
	server := httptest.NewServer(handler)
	p.add(server.Close)
	p.url = server.URL + "/v1/completions"
	p.client = server.Client()
	if transport, ok := p.client.Transport.(*http.Transport); ok {
		transport.MaxIdleConnsPerHost = pathConcurrency
	}
}

// cellsAtTarget is the number of cells of 6,100 engines.
const cellsAtTarget = 382

// answer is the hollow dispatcher.
func (p *gatewayPath) answer(ctx context.Context, request peer.Request, sender peer.Sender) error {
	var submit message.Submit
	if err := request.Decode(&submit); err != nil {
		return err
	}
	shape := p.get()
	for chunk := range shape.chunks {
		progress := message.Progress{
			Attempt: submit.Attempt, EngineAttempt: 1, Engine: hollowEngineID(1),
			FirstToken: chunk * shape.tokensPerChunk, Tokens: hollowTokens(shape.tokensPerChunk), Version: hollowVersion,
		}
		if chunk == shape.chunks-1 && !shape.held {
			progress.Finished, progress.FinishReason = true, "stop"
		}
		if err := sender.Send(progress); err != nil {
			return err
		}
	}
	if shape.held {
		<-ctx.Done()
	}
	return nil
}

func hollowTokens(count int) []string {
	tokens := make([]string, count)
	for index := range tokens {
		tokens[index] = hollowToken
	}
	return tokens
}

func (p *gatewayPath) request(ctx context.Context, shape answerShape) error {
	p.set(shape)
	response, err := p.post(ctx)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	received, err := io.Copy(io.Discard, response.Body)
	if err != nil {
		return errors.Wrap(err, "read answer")
	}
	if received < int64(shape.tokens()*len(hollowToken)) {
		return errors.Errorf("the gateway answered %d bytes for %d tokens", received, shape.tokens())
	}
	return nil
}

// hold implements holder. The answer's header comes with its first token.
func (p *gatewayPath) hold(ctx context.Context) error {
	p.set(heldShape)
	response, err := p.post(ctx)
	if err != nil {
		return err
	}
	context.AfterFunc(ctx, func() { _ = response.Body.Close() })
	return nil
}

// post sends one request and returns the answer when it has begun.
func (p *gatewayPath) post(ctx context.Context) (*http.Response, error) {
	body, err := json.Marshal(api.CompletionRequest{
		Model: hollowTable().Rows[0].Service, Prompt: hollowPrompt(1), MaxTokens: maxAnswerTokens, Stream: true,
	})
	if err != nil {
		return nil, errors.Wrap(err, "encode request")
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, p.url, bytes.NewReader(body))
	if err != nil {
		return nil, errors.Wrap(err, "make request")
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := p.client.Do(request)
	if err != nil {
		return nil, errors.Wrap(err, "call gateway")
	}
	if response.StatusCode != http.StatusOK {
		_ = response.Body.Close()
		return nil, errors.Errorf("the gateway answered status %d", response.StatusCode)
	}
	return response, nil
}
