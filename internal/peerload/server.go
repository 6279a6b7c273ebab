package peerload

import (
	"context"
	"net/http"
	"time"

	"github.com/corkpulley/corkpulley/internal/common/msgpackhttp"
	"github.com/corkpulley/corkpulley/internal/core/loadexchange"
)

// Handler serves the messages of other nodes and zones.
func (e *Exchange) Handler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		// The sender computes the ages once the body is requested, which is after this time, so that
		// entries may seem older than they are, but never younger.
		began := e.now()
		msgpackhttp.Handle(maxMessageBytes, func(ctx context.Context, request loadexchange.Message) loadexchange.Message {
			return e.serve(ctx, request, began)
		}).ServeHTTP(w, r)
	})
}

func (e *Exchange) serve(ctx context.Context, request loadexchange.Message, began time.Time) loadexchange.Message {
	kind := NodeCall
	if request.Zone != "" {
		kind = ZoneCall
	}
	received, err := request.Entries(began)
	if err != nil || ctx.Err() != nil || request.Zone == e.options.Zone || request.Node == "" {
		e.options.Observe(kind, Rejected)
		return loadexchange.Message{Node: e.options.Node}
	}
	sender := loadexchange.Message{Node: e.options.Node}
	e.mu.Lock()
	now := e.now()
	var entries []loadexchange.Entry
	if kind == ZoneCall {
		e.state.MergeZone(request.Zone, received, began)
		e.swappedAt[request.Zone] = e.ticks
		entries, sender.Zone = e.state.ZoneEntries(now), e.options.Zone
	} else {
		e.state.MergeNode(request.Node, received, began)
		entries = e.state.View(request.Node, request.Services, now)
	}
	e.mu.Unlock()
	response, err := loadexchange.NewMessage(sender, entries, now)
	if err != nil {
		e.options.Observe(kind, Rejected)
		return loadexchange.Message{Node: e.options.Node}
	}
	e.options.Observe(kind, Served)
	return response
}
