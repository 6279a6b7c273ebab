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

// hop is a listening server on a route to the engine.
type hop struct {
	address string
	close   func()
}

// serveHTTP starts an HTTP server on a free loopback port.
func serveHTTP(handler http.Handler) (*hop, error) {
	listener, err := net.Listen("tcp", loopback)
	if err != nil {
		return nil, errors.Wrap(err, "listen")
	}
	server := &http.Server{Handler: handler}
	go func() { _ = server.Serve(listener) }()
	return &hop{address: listener.Addr().String(), close: func() { _ = server.Close() }}, nil
}

// newReverseProxy starts the baseline: the standard library's reverse proxy with
// the dispatcher's type of transport. It flushes after each chunk.
func newReverseProxy(engineAddress string) (*hop, error) {
	handler := httputil.NewSingleHostReverseProxy(&url.URL{Scheme: "http", Host: engineAddress})
	handler.Transport = enginehttp.NewTransport()
	handler.FlushInterval = -1
	return serveHTTP(bufferRequestBody(handler))
}

// bufferRequestBody reads the request body before calling next. net/http closes
// the request body once the response starts, and the engine responds at once, so
// a proxy that was still reading the body would fail.
func bufferRequestBody(next http.Handler) http.Handler {
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

// newGateway starts the first hop: gateway, router and peer transport.
func newGateway(dispatcherAddress string, logs io.Writer) (*hop, error) {
	logger := zerolog.New(logs)
	registry := prometheus.NewRegistry()
	static := &staticCluster{self: gatewayID, dispatcher: dispatcherAddress}
	transport := peer.New(peer.Options{
		NodeID: gatewayID, ListenAddress: loopback, Logger: logger, Registerer: registry,
	})
	if err := transport.Start(); err != nil {
		return nil, err
	}
	requestRouter := router.New(router.Options{
		NodeID: gatewayID, Zone: zone, Caller: transport, View: static, Announcer: static,
		Tables: static, Logger: logger, Registerer: registry,
	})
	callers := mux.NewRouter()
	gateway.New(gateway.Options{
		NodeID: gatewayID, Router: requestRouter, Tables: static, Logger: logger, Registerer: registry,
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

// newDispatcher starts the second hop: peer transport, dispatcher and engine
// client. It returns once the engine is serving.
func newDispatcher(ctx context.Context, engineAddress string, logs io.Writer) (*hop, error) {
	logger := zerolog.New(logs)
	registry := prometheus.NewRegistry()
	transport := peer.New(peer.Options{
		NodeID: dispatcherID, ListenAddress: loopback, Logger: logger, Registerer: registry,
	})
	if err := transport.Listen(); err != nil {
		return nil, err
	}
	static := &staticCluster{self: dispatcherID, dispatcher: transport.Address(), engine: engineAddress}
	localDispatcher := dispatcher.New(dispatcher.Options{
		NodeID: dispatcherID, PeerAddress: transport.Address(), Zone: zone, Registry: transport,
		View: static, Announcer: static, EngineList: static, EngineClient: enginehttp.NewHTTP(nil),
		Tables: static, Logger: logger, Registerer: registry,
	})
	if err := transport.Start(); err != nil {
		return nil, err
	}
	runContext, stop := context.WithCancel(ctx)
	go func() { _ = localDispatcher.Run(runContext) }()
	engineServing := func() bool {
		engines := localDispatcher.EngineStatuses()
		return len(engines) == 1 && engines[0].State == string(engine.StateServing)
	}
	served := &hop{address: transport.Address(), close: func() {
		stop()
		closeTransport(transport)
	}}
	if err := waitUntil(ctx, engineServing); err != nil {
		served.close()
		return nil, errors.Wrap(err, "wait for the engine to be serving")
	}
	return served, nil
}

// closeTimeout bounds the wait for open streams when a transport is closed.
const closeTimeout = time.Second

func closeTransport(transport *peer.Transport) {
	ctx, cancel := context.WithTimeout(context.Background(), closeTimeout)
	defer cancel()
	_ = transport.Close(ctx)
}
