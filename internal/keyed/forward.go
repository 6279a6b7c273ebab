package keyed

import (
	"context"
	"io"
	"slices"

	"github.com/cespare/xxhash/v2"
	"github.com/dgryski/go-rendezvous"
	"github.com/go-faster/errors"

	"github.com/corkpulley/corkpulley/internal/cluster"
	"github.com/corkpulley/corkpulley/internal/core/errkind"
	"github.com/corkpulley/corkpulley/internal/peer"
	"github.com/corkpulley/corkpulley/internal/router"
)

// owner returns the node that all nodes with the same view pick for the
// request's shard, among those of the row's zones; any node when there is none.
func (e *Executor) owner(request Request) (cluster.Member, bool) {
	all := e.options.View.Candidates("")
	zones := request.Submission.Row.Zones
	candidates := slices.DeleteFunc(slices.Clone(all), func(member cluster.Member) bool {
		return len(zones) > 0 && !slices.Contains(zones, member.Zone)
	})
	if len(candidates) == 0 {
		candidates = all
	}
	if len(candidates) == 0 {
		return cluster.Member{}, false
	}
	ids := make([]string, len(candidates))
	for i, member := range candidates {
		ids[i] = member.ID
	}
	stream := streamName(request.shard(e.options.Shards))
	picked := rendezvous.New(ids, xxhash.Sum64String).Lookup(stream)
	return candidates[slices.Index(ids, picked)], true
}

// forward sends the request to the owner and relays its answer. sent is false
// when the owner certainly saw nothing; otherwise the request is never sent
// again, and a broken delivery is OutcomeUnknown.
func (e *Executor) forward(
	ctx context.Context, owner cluster.Member, request Request, onPiece func(router.Piece) error,
) (result router.Result, sent bool, err error) {
	stream, err := e.options.Caller.OpenStream(ctx, owner.Address, peer.MethodKeyed, request)
	if err != nil {
		return router.Result{}, !undelivered(err), forwardError(ctx, err)
	}
	defer stream.Close()
	for first := true; ; first = false {
		var message progress
		if err := stream.Receive(&message); err != nil {
			return router.Result{}, !(first && undelivered(err)), forwardError(ctx, err)
		}
		if message.Piece != nil {
			if err := onPiece(*message.Piece); err != nil {
				return router.Result{}, true, errkind.New(errkind.Canceled, "the caller left: %v", err)
			}
		}
		if message.Result != nil {
			return *message.Result, true, nil
		}
	}
}

// undelivered reports whether no byte of the request left this process.
func undelivered(err error) bool {
	var delivery *peer.DeliveryError
	return errors.As(err, &delivery) && !delivery.Sent
}

// forwardError maps a failure between the nodes to what is known of the request.
func forwardError(ctx context.Context, err error) error {
	var known *errkind.Error
	switch {
	case errors.As(err, &known):
		return known
	case ctx.Err() != nil:
		return errkind.New(errkind.Canceled, "the caller left: %v", ctx.Err())
	case errors.Is(err, io.EOF):
		return errkind.New(errkind.OutcomeUnknown, "the shard's owner ended the answer early")
	default:
		return errkind.New(errkind.OutcomeUnknown, "lost the shard's owner: %v", err)
	}
}

// handle answers MethodKeyed. It never forwards again: when two nodes differ in
// their views, either may run the request, and the log decides.
func (e *Executor) handle(ctx context.Context, incoming peer.Request, sender peer.Sender) error {
	var request Request
	if err := incoming.Decode(&request); err != nil {
		return errkind.New(errkind.InvalidRequest, "keyed request: %v", err)
	}
	result, err := e.executeHere(ctx, request, func(piece router.Piece) error {
		return sender.Send(progress{Piece: &piece})
	})
	if err != nil {
		return err
	}
	return sender.Send(progress{Result: &result})
}
