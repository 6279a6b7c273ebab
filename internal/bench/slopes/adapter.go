package slopes

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"

	"github.com/go-faster/errors"

	"github.com/corkpulley/corkpulley/internal/engine"
	"github.com/corkpulley/corkpulley/internal/platform/enginehttp"
)

// engineAdapter is the real HTTP client for engines before a hollow engine
// that writes its chunks line by line. The engine's part counts too: an upper bound.
type engineAdapter struct {
	closers
	shapes
	client  *enginehttp.HTTPClient
	address string
	// lines caches the encoded answer of each shape.
	mutex sync.Mutex
	lines map[answerShape][][]byte
}

func openEngineAdapter() (path, error) { return newEngineAdapter(), nil }

func newEngineAdapter() *engineAdapter {
	opened := &engineAdapter{lines: make(map[answerShape][][]byte)}
	handler := http.NewServeMux()
	handler.HandleFunc(enginehttp.PathGenerate, opened.generate)
	handler.HandleFunc(enginehttp.PathOrders, opened.order)
	handler.HandleFunc(enginehttp.PathWatch, opened.watch)
	server := httptest.NewServer(handler)
	opened.add(server.Close)
	transport := enginehttp.NewTransport()
	opened.add(transport.CloseIdleConnections)
	opened.client = enginehttp.NewHTTP(&http.Client{Transport: transport})
	opened.address = server.Listener.Addr().(*net.TCPAddr).String()
	return opened
}

// generate writes and flushes each chunk, as an engine does for each step of its batch.
func (a *engineAdapter) generate(writer http.ResponseWriter, request *http.Request) {
	_, _ = io.Copy(io.Discard, request.Body)
	controller := http.NewResponseController(writer)
	for _, line := range a.encoded(a.get()) {
		if _, err := writer.Write(line); err != nil {
			return
		}
		if err := controller.Flush(); err != nil {
			return
		}
	}
}

// order accepts any order.
func (a *engineAdapter) order(writer http.ResponseWriter, request *http.Request) {
	_, _ = io.Copy(io.Discard, request.Body)
	writer.WriteHeader(http.StatusOK)
	_, _ = writer.Write([]byte("{}"))
}

func (a *engineAdapter) encoded(shape answerShape) [][]byte {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	lines, known := a.lines[shape]
	if known {
		return lines
	}
	request := engine.GenerateRequest{RequestID: hollowRequestID, Attempt: 1}
	for index := range shape.chunks {
		line, err := json.Marshal(hollowChunk(request, shape, index))
		if err != nil {
			panic(err) // a chunk always encodes
		}
		lines = append(lines, append(line, '\n'))
	}
	a.lines[shape] = lines
	return lines
}

const hollowRequestID = "node-near-00000000000000000001"

func (a *engineAdapter) request(ctx context.Context, shape answerShape) error {
	a.set(shape)
	stream, err := a.client.Generate(ctx, a.address, engine.GenerateRequest{
		RequestID: hollowRequestID, Attempt: 1, Service: "service-00000", Model: hollowModel,
		Prompt: hollowPrompt(1), MaxTokens: shape.tokens(),
	})
	if err != nil {
		return errors.Wrap(err, "generate")
	}
	defer func() { _ = stream.Close() }()
	tokens := 0
	for {
		chunk, err := stream.Receive()
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			return errors.Wrap(err, "receive chunk")
		}
		tokens += len(chunk.Tokens)
	}
	if tokens != shape.tokens() {
		return errors.Errorf("%d tokens, expected %d", tokens, shape.tokens())
	}
	return nil
}

func adapterSweeps() []sweep {
	return []sweep{{
		name: "orders to engines", role: RoleWeightCoordinator,
		size: "orders", unit: UnitMicroseconds, sizes: []int{100, 200, 400, 800},
		measure: func(ctx context.Context, size int) (float64, error) {
			adapter := newEngineAdapter()
			defer adapter.close()
			return processorMicroseconds(func() error {
				for index := range size {
					order := engine.Order{Fence: int64(index + 1), Kind: engine.OrderLoad, Model: hollowModel, Version: 1}
					if err := adapter.client.Order(ctx, adapter.address, order); err != nil {
						return errors.Wrap(err, "order")
					}
				}
				return nil
			})
		},
	}}
}
