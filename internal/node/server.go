package node

import (
	"time"

	"github.com/gorilla/mux"

	"github.com/corkpulley/corkpulley/internal/boundedhttp"
	"github.com/corkpulley/corkpulley/internal/core/connections"
	"github.com/corkpulley/corkpulley/internal/httpapi"
)

// idleTimeout is how long an idle connection is kept. There is no write timeout, since streamed answers may take long; the
// gateway sets a write deadline for each event.
const idleTimeout = 2 * time.Minute

func limits() boundedhttp.Limits {
	return boundedhttp.Limits{
		MaxHeaderBytes: boundedhttp.MaxHeaderBytes, HeaderTimeout: boundedhttp.DefaultHeaderTimeout, IdleTimeout: idleTimeout,
	}
}

// listen opens a listener of the node for a router, wrapped in the checks common to all requests.
func (n *node) listen(
	name, address string, group *connections.Group, router *mux.Router,
) (*boundedhttp.Server, error) {
	return boundedhttp.Listen(boundedhttp.Options{
		Address: address, Handler: httpapi.NewHandler(router), Set: n.listeners.Set, Group: group, Limits: limits,
		OnClosed: n.connectionMetrics.OnClosed(name), EncodeRefusal: httpapi.EncodeError,
	})
}
