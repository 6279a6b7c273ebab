package coordinator

import (
	"context"
	"time"

	"github.com/go-faster/errors"

	"github.com/corkpulley/corkpulley/internal/api"
	"github.com/corkpulley/corkpulley/internal/cluster"
	"github.com/corkpulley/corkpulley/internal/common/retry"
	"github.com/corkpulley/corkpulley/internal/core/errkind"
	"github.com/corkpulley/corkpulley/internal/core/ledger"
	"github.com/corkpulley/corkpulley/internal/core/logrecord"
	"github.com/corkpulley/corkpulley/internal/core/policy"
	"github.com/corkpulley/corkpulley/internal/logstream"
	"github.com/corkpulley/corkpulley/internal/peer"
)

const (
	// ownerTimeout limits how long a call is retried while no owner responds.
	ownerTimeout = 10 * time.Second
	// ownerRetryDelay is the delay between attempts.
	ownerRetryDelay = 100 * time.Millisecond
)

// SubmitStep submits a step to the ledger's owner. It is idempotent; it fails with
// StepMismatch if the ID was submitted with a different request, and with
// PayloadTooLarge if the request does not fit into a log record.
func (c *Coordinator) SubmitStep(
	ctx context.Context, trainer, step string, request api.StepRequest,
) (api.StepStatus, error) {
	call := SubmitCall{Step: step, Request: request}
	if err := checkRecordSize(call); err != nil {
		return api.StepStatus{}, err
	}
	return c.statusCall(ctx, Call{Trainer: trainer, Submit: &call})
}

func checkRecordSize(call SubmitCall) error {
	body, err := newStepSubmitted(call)
	if err != nil {
		return err
	}
	encoded, err := logrecord.EncodeBody(body)
	if err != nil {
		return errkind.New(errkind.InvalidRequest, "step request: %v", err)
	}
	if len(encoded) > logstream.MaxBodyBytes {
		return errkind.New(errkind.PayloadTooLarge,
			"step record has %d bytes, at most %d allowed", len(encoded), logstream.MaxBodyBytes)
	}
	return nil
}

// StepStatus returns the status of a step, or NotFound.
func (c *Coordinator) StepStatus(ctx context.Context, trainer, step string) (api.StepStatus, error) {
	return c.statusCall(ctx, Call{Trainer: trainer, Status: &StatusCall{Step: step}})
}

func (c *Coordinator) statusCall(ctx context.Context, call Call) (api.StepStatus, error) {
	response, err := c.call(ctx, call)
	if err != nil {
		return api.StepStatus{}, err
	}
	if response.Status == nil {
		return api.StepStatus{}, errkind.New(errkind.Internal, "owner answered without a step status")
	}
	return *response.Status, nil
}

// AbandonStep stops running, scoring and delivering a step's samples. For a
// finished or abandoned step it only returns the status; it fails with NotFound
// if the step is unknown.
func (c *Coordinator) AbandonStep(ctx context.Context, trainer, step string) (api.StepStatus, error) {
	return c.statusCall(ctx, Call{Trainer: trainer, Abandon: &AbandonCall{Step: step}})
}

// Fetch waits for deliverable samples and returns them with a delivery token.
func (c *Coordinator) Fetch(
	ctx context.Context, trainer string, request api.FetchRequest,
) (api.FetchResponse, error) {
	response, err := c.call(ctx, Call{Trainer: trainer, Fetch: &request})
	if err != nil {
		return api.FetchResponse{}, err
	}
	if response.Fetch == nil {
		return api.FetchResponse{}, errkind.New(errkind.Internal, "owner answered without samples")
	}
	return *response.Fetch, nil
}

// Acknowledge records which delivered samples the trainer has durably received.
func (c *Coordinator) Acknowledge(
	ctx context.Context, trainer string, request api.AckRequest,
) (api.AckResponse, error) {
	response, err := c.call(ctx, Call{Trainer: trainer, Acknowledge: &request})
	if err != nil {
		return api.AckResponse{}, err
	}
	if response.Acknowledge == nil {
		return api.AckResponse{}, errkind.New(errkind.Internal, "owner answered without an acknowledgement")
	}
	return *response.Acknowledge, nil
}

// call sends the call to the owner and retries while no owner responds. Retrying
// is safe because every call is idempotent.
func (c *Coordinator) call(ctx context.Context, call Call) (Response, error) {
	if _, err := trainerRow(c.options.Tables.Table(), call.Trainer); err != nil {
		return Response{}, err
	}
	var failingSince time.Time
	maybeExecuted := false
	for attempt := 0; ; attempt++ {
		startedAt := time.Now()
		response, err := c.callOnce(ctx, call, attempt)
		if err == nil || !ownerMissing(err) {
			return response, err
		}
		maybeExecuted = maybeExecuted || mayHaveExecuted(err)
		if failingSince.IsZero() || time.Since(startedAt) > ownerTimeout {
			failingSince = time.Now()
		}
		if time.Since(failingSince) > ownerTimeout || !retry.Sleep(ctx, ownerRetryDelay) {
			return Response{}, noOwnerError(call, err, maybeExecuted)
		}
	}
}

// callOnce sends the call to the presumed owner. Odd attempts go to the preferred
// owner, in case the announced owner is outdated.
func (c *Coordinator) callOnce(ctx context.Context, call Call, attempt int) (Response, error) {
	if t := c.tenure(call.Trainer); t != nil {
		return t.handleCall(ctx, call)
	}
	target, found := c.presumedOwner(call.Trainer, attempt)
	if !found || target.ID == c.options.NodeID {
		return Response{}, errkind.New(errkind.NotReady, "no node owns the ledger of trainer %q yet", call.Trainer)
	}
	var response Response
	err := c.options.Caller.Call(ctx, target.Address, peer.MethodTrainer, &call, &response)
	return response, err
}

func (c *Coordinator) presumedOwner(trainer string, attempt int) (cluster.Member, bool) {
	announced, _, known := c.options.View.Owner(ledger.StreamName(trainer))
	if known && announced.State != cluster.StateDead && attempt%2 == 0 {
		return announced, true
	}
	row, err := trainerRow(c.options.Tables.Table(), trainer)
	if err != nil {
		return cluster.Member{}, false
	}
	return preferredOwner(c.options.View, row)
}

// handleTrainer handles a call forwarded by another node; it fails with NotOwner
// unless this node owns the ledger.
func (c *Coordinator) handleTrainer(ctx context.Context, request peer.Request) (any, error) {
	var call Call
	if err := request.Decode(&call); err != nil {
		return nil, errkind.New(errkind.InvalidRequest, "trainer call: %v", err)
	}
	t := c.tenure(call.Trainer)
	if t == nil {
		return nil, errkind.New(errkind.NotOwner, "node %s does not own the ledger of %q", c.options.NodeID, call.Trainer)
	}
	response, err := t.handleCall(ctx, call)
	if err != nil {
		return nil, errkind.From(err)
	}
	return &response, nil
}

func (c *Coordinator) handleStepStatus(context.Context, peer.Request) (any, error) {
	return &StatusList{Steps: c.Statuses()}, nil
}

// ownerMissing reports whether the node that was called is unreachable or does not
// own the ledger, so that the call should be retried.
func ownerMissing(err error) bool {
	var delivery *peer.DeliveryError
	if errors.As(err, &delivery) {
		return true
	}
	switch errkind.KindOf(err) {
	case errkind.NotOwner, errkind.NotReady, errkind.ShuttingDown, errkind.Draining:
		return true
	default:
		return false
	}
}

// mayHaveExecuted reports whether the owner may have executed the call.
func mayHaveExecuted(err error) bool {
	var delivery *peer.DeliveryError
	return errors.As(err, &delivery) && delivery.Sent
}

// noOwnerError returns the error for a call that no owner answered.
func noOwnerError(call Call, last error, maybeExecuted bool) error {
	modifiesLedger := call.Submit != nil || call.Acknowledge != nil || call.Abandon != nil
	if modifiesLedger && maybeExecuted {
		return errkind.New(errkind.OutcomeUnknownRepeatable, "the owner's response was lost; repeat the same call: %v", last)
	}
	return errkind.New(errkind.NotReady, "no owner of trainer %q answered: %v", call.Trainer, last)
}

func trainerRow(table *policy.Table, trainer string) (policy.Row, error) {
	row, found := table.Row(trainer)
	if !found || row.Kind != policy.KindTrainer {
		return policy.Row{}, errkind.New(errkind.UnknownService,
			"no trainer %q in table revision %d", trainer, table.Revision)
	}
	return row, nil
}
