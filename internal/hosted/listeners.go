package hosted

import (
	"net/http"
	"time"

	"github.com/corkpulley/corkpulley/internal/boundedhttp"
	"github.com/corkpulley/corkpulley/internal/core/bytebudget"
	"github.com/corkpulley/corkpulley/internal/core/errkind"
)

const (
	// defaultMaxBodyBytes and defaultIdleTimeout apply until a configuration has been loaded.
	defaultMaxBodyBytes = 1 << 20
	defaultIdleTimeout  = time.Minute
)

// fixedLimits are the limits of listeners for which they are not configurable.
func fixedLimits() boundedhttp.Limits {
	return boundedhttp.Limits{
		MaxHeaderBytes: boundedhttp.MaxHeaderBytes, HeaderTimeout: boundedhttp.DefaultHeaderTimeout,
		IdleTimeout: defaultIdleTimeout,
	}
}

// callerLimitsInForce returns the configured limits for the requests of callers.
func (n *node) callerLimitsInForce() boundedhttp.Limits {
	limits := fixedLimits()
	table := n.state.table()
	if table == nil {
		return limits
	}
	if table.Limits.MaxHeaderBytes > 0 {
		limits.MaxHeaderBytes = min(table.Limits.MaxHeaderBytes, boundedhttp.MaxHeaderBytes)
	}
	if table.Limits.HeaderTimeout > 0 {
		limits.HeaderTimeout = table.Limits.HeaderTimeout
	}
	if table.Limits.IdleTimeout > 0 {
		limits.IdleTimeout = table.Limits.IdleTimeout
	}
	return limits
}

// listen opens the node's listeners, whose connections share its memory and descriptors.
func (n *node) listen(peers http.Handler) error {
	listeners := boundedhttp.NewListeners(n.config.Node, n.byteBudget)
	n.metrics.connections.SetListeners(listeners)
	options := boundedhttp.Options{Set: listeners.Set, Limits: fixedLimits, OnBodyRefused: n.bodyRefused}

	var err error
	options.Address, options.Group, options.Handler = n.config.Listen.Peers, listeners.Peers, peers
	options.OnClosed = n.metrics.connections.OnClosed("peers")
	if n.peers, err = boundedhttp.Listen(options); err != nil {
		return err
	}
	options.Address, options.Group = n.config.Listen.Operators, listeners.Operators
	options.Handler = n.operatorsHandler(n.platform.OperatorsHandler(n.ready, n.metrics.handler(n.registry)))
	options.OnClosed = n.metrics.connections.OnClosed("operators")
	if n.operators, err = boundedhttp.Listen(options); err != nil {
		return err
	}
	options.Address, options.Group = n.config.Listen.Callers, listeners.Callers
	options.Handler, options.Limits = n.platform.CallersHandler(n), n.callerLimitsInForce
	options.IDHeader, options.OnRefused = n.platform.RequestIDHeader(), n.requestRefused
	options.OnClosed = n.metrics.connections.OnClosed("callers")
	n.callers, err = boundedhttp.Listen(options)
	return err
}

// requestRefused records a request that was refused before it was decoded.
func (n *node) requestRefused(id string, failure *errkind.Error) {
	if failure.Kind == errkind.NoCapacity {
		n.metrics.memoryRefused.WithLabelValues(bytebudget.Headers.String()).Inc()
	}
	n.RecordRefusal(id, failure)
}

func (n *node) bodyRefused() {
	n.metrics.memoryRefused.WithLabelValues(bytebudget.Bodies.String()).Inc()
}
