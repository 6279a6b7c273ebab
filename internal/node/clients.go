package node

import (
	"net"
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"

	"github.com/corkpulley/corkpulley/internal/common/abortconn"
	"github.com/corkpulley/corkpulley/internal/engine"
	"github.com/corkpulley/corkpulley/internal/platform/enginehttp"
	"github.com/corkpulley/corkpulley/internal/platform/logservice"
	"github.com/corkpulley/corkpulley/internal/platform/machines"
	"github.com/corkpulley/corkpulley/internal/platform/scorer"
	"github.com/corkpulley/corkpulley/internal/platform/weightstore"
	"github.com/corkpulley/corkpulley/internal/settings"
)

const (
	// platformIdleConnections is the number of idle connections kept per platform service.
	platformIdleConnections = 32
	// platformIdleTimeout is how long an idle connection is kept.
	platformIdleTimeout = time.Minute
)

// platformClients are the clients of the platform's services.
type platformClients struct {
	log      logservice.Service
	weights  weightstore.Store
	machines machines.Source
	scorer   scorer.Scorer
	engines  engine.Client
}

func newPlatformClients(platform settings.Platform) platformClients {
	dialer := &net.Dialer{Control: abortconn.Control}
	client := &http.Client{Transport: &http.Transport{
		DialContext:         dialer.DialContext,
		MaxIdleConnsPerHost: platformIdleConnections,
		IdleConnTimeout:     platformIdleTimeout,
	}}
	return platformClients{
		log:      logservice.NewHTTP(platform.Log, client),
		weights:  weightstore.NewHTTP(platform.WeightStore, client),
		machines: machines.NewHTTP(platform.Machines, client),
		scorer:   scorer.NewHTTP(platform.Scorer, client),
		engines:  enginehttp.NewHTTP(&http.Client{Transport: enginehttp.NewTransport()}),
	}
}

func newMetricsRegistry() *prometheus.Registry {
	registry := prometheus.NewRegistry()
	registry.MustRegister(
		collectors.NewGoCollector(),
		collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}),
	)
	return registry
}
