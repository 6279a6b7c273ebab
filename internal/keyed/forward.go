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

// owner returns the node that owns the request's shard, chosen among those in the row's zones, or among all if
// there are none. Nodes with the same view choose the same owner.
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
	stream := streamName(request.shardIndex(e.options.Shards))
	picked := rendezvous.New(ids, xxhash.Sum64String).Lookup(stream)
	return candidates[slices.Index(ids, picked)], true
}

// forward sends the request to the owner and relays its answer. sent is false if no byte of the request was sent;
// otherwise the request must not be sent again, and a broken connection is OutcomeUnknown.
func (e *Executor) forward(
	ctx context.Context, owner cluster.Member, request Request, onPiece func(router.Piece) error,
) (result router.Result, sent bool, err error) {
	stream, err := e.options.Caller.OpenStream(ctx, owner.Address, peer.MethodKeyed, request)
	if err != nil {
		return router.Result{}, !isUndelivered(err), forwardError(ctx, err)
	}
	defer stream.Close()
	for first := true; ; first = false {
		var message answerMessage
		if err := stream.Receive(&message); err != nil {
			return router.Result{}, !(first && isUndelivered(err)), forwardError(ctx, err)
		}
		if message.Piece != nil {
			if err := onPiece(*message.Piece); err != nil {
				return router.Result{}, true, errkind.New(errkind.Canceled, "the caller disconnected: %v", err)
			}
		}
		if message.Result != nil {
			return *message.Result, true, nil
		}
	}
}

// isUndelivered reports whether no byte of the request was sent.
func isUndelivered(err error) bool {
	var delivery *peer.DeliveryError
	return errors.As(err, &delivery) && !delivery.Sent
}

// forwardError converts an error of the connection to the owner to an *errkind.Error.
func forwardError(ctx context.Context, err error) error {
	var known *errkind.Error
	switch {
	case errors.As(err, &known):
		return known
	case ctx.Err() != nil:
		return errkind.New(errkind.Canceled, "the caller disconnected: %v", ctx.Err())
	case errors.Is(err, io.EOF):
		return errkind.New(errkind.OutcomeUnknown, "the shard's owner ended the answer early")
	default:
		return errkind.New(errkind.OutcomeUnknown, "connection to the shard's owner failed: %v", err)
	}
}

// handle serves MethodKeyed. It never forwards again: if nodes have different views, either may run the request,
// and the log decides.
func (e *Executor) handle(ctx context.Context, incoming peer.Request, sender peer.Sender) error {
	var request Request
	if err := incoming.Decode(&request); err != nil {
		return errkind.New(errkind.InvalidRequest, "keyed request: %v", err)
	}
	result, err := e.executeLocal(ctx, request, func(piece router.Piece) error {
		return sender.Send(answerMessage{Piece: &piece})
	})
	if err != nil {
		return err
	}
	return sender.Send(answerMessage{Result: &result})
}
