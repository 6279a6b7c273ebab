package pathcost

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httputil"
	"net/url"
	"time"

	"github.com/go-faster/errors"
	"github.com/gorilla/mux"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"

	"github.com/corkpulley/corkpulley/internal/dispatcher"
	"github.com/corkpulley/corkpulley/internal/engine"
	"github.com/corkpulley/corkpulley/internal/gateway"
	"github.com/corkpulley/corkpulley/internal/peer"
	"github.com/corkpulley/corkpulley/internal/platform/enginehttp"
	"github.com/corkpulley/corkpulley/internal/router"
)

const loopback = "127.0.0.1:0"

// hop is one process's part of a way to the engine, once it listens.
type hop struct {
	address string
	close   func()
}

// serveHTTP starts an HTTP server on a port of its own.
func serveHTTP(handler http.Handler) (*hop, error) {
	listener, err := net.Listen("tcp", loopback)
	if err != nil {
		return nil, errors.Wrap(err, "listen")
	}
	server := &http.Server{Handler: handler}
	go func() { _ = server.Serve(listener) }()
	return &hop{address: listener.Addr().String(), close: func() { _ = server.Close() }}, nil
}

// newPlain is the baseline: the standard library's reverse proxy handler, on the
// same kind of transport as the dispatcher's. It flushes each chunk, as it does
// for every streamed answer.
func newPlain(engineAddress string) (*hop, error) {
	handler := httputil.NewSingleHostReverseProxy(&url.URL{Scheme: "http", Host: engineAddress})
	handler.Transport = enginehttp.NewTransport()
	handler.FlushInterval = -1
	return serveHTTP(bodyFirst(handler))
}

// bodyFirst reads the request's body before the handler runs. The engine starts
// its answer at once, and net/http closes the body of a request when its answer
// starts: the handler would lose the answer while it still reads the body.
func bodyFirst(next http.Handler) http.Handler {
	return http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		body, err := io.ReadAll(request.Body)
		if err != nil {
			http.Error(writer, err.Error(), http.StatusBadRequest)
			return
		}
		request.Body = io.NopCloser(bytes.NewReader(body))
		next.ServeHTTP(writer, request)
	})
}

// newGateway is the first hop: gateway, router and peer transport.
func newGateway(dispatcherAddress string, logs io.Writer) (*hop, error) {
	logger := zerolog.New(logs)
	registry := prometheus.NewRegistry()
	world := &standalone{self: gatewayID, dispatcher: dispatcherAddress}
	transport := peer.New(peer.Options{
		NodeID: gatewayID, ListenAddress: loopback, Logger: logger, Registerer: registry,
	})
	if err := transport.Start(); err != nil {
		return nil, err
	}
	cells := router.New(router.Options{
		NodeID: gatewayID, Zone: zone, Caller: transport, View: world, Announcer: world,
		Tables: world, Logger: logger, Registerer: registry,
	})
	callers := mux.NewRouter()
	gateway.New(gateway.Options{
		NodeID: gatewayID, Router: cells, Tables: world, Logger: logger, Registerer: registry,
	}).Register(callers)
	served, err := serveHTTP(callers)
	if err != nil {
		return nil, err
	}
	return &hop{address: served.address, close: func() {
		served.close()
		closeTransport(transport)
	}}, nil
}

// newDispatcher is the second hop: peer transport, dispatcher and engine client.
// It returns once the engine is in service.
func newDispatcher(ctx context.Context, engineAddress string, logs io.Writer) (*hop, error) {
	logger := zerolog.New(logs)
	registry := prometheus.NewRegistry()
	transport := peer.New(peer.Options{
		NodeID: dispatcherID, ListenAddress: loopback, Logger: logger, Registerer: registry,
	})
	if err := transport.Listen(); err != nil {
		return nil, err
	}
	world := &standalone{self: dispatcherID, dispatcher: transport.Address(), engine: engineAddress}
	queues := dispatcher.New(dispatcher.Options{
		NodeID: dispatcherID, PeerAddress: transport.Address(), Zone: zone, Registry: transport,
		View: world, Announcer: world, EngineList: world, EngineClient: enginehttp.NewHTTP(nil),
		Tables: world, Logger: logger, Registerer: registry,
	})
	if err := transport.Start(); err != nil {
		return nil, err
	}
	runContext, stop := context.WithCancel(ctx)
	go func() { _ = queues.Run(runContext) }()
	inService := func() bool {
		engines := queues.EngineStatuses()
		return len(engines) == 1 && engines[0].State == string(engine.StateServing)
	}
	served := &hop{address: transport.Address(), close: func() {
		stop()
		closeTransport(transport)
	}}
	if err := waitUntil(ctx, inService); err != nil {
		served.close()
		return nil, errors.Wrap(err, "wait for the engine")
	}
	return served, nil
}

// closeTimeout bounds the wait for the streams of a transport that closes.
const closeTimeout = time.Second

func closeTransport(transport *peer.Transport) {
	ctx, cancel := context.WithTimeout(context.Background(), closeTimeout)
	defer cancel()
	_ = transport.Close(ctx)
}
