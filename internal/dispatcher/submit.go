package dispatcher

import (
	"context"

	"github.com/corkpulley/corkpulley/internal/core/errkind"
	"github.com/corkpulley/corkpulley/internal/core/policy"
	"github.com/corkpulley/corkpulley/internal/engine"
	"github.com/corkpulley/corkpulley/internal/message"
	"github.com/corkpulley/corkpulley/internal/peer"
)

// maximumSubmitAttempt keeps engine attempt numbers within 32 bits.
const maximumSubmitAttempt = 1 << 27

// handleSubmit starts a submission, or attaches to a running one, and relays its answer.
func (d *Dispatcher) handleSubmit(ctx context.Context, request peer.Request, sender peer.Sender) error {
	var submit message.Submit
	if err := request.Decode(&submit); err != nil {
		return errkind.New(errkind.InvalidRequest, "submit: %s", err)
	}
	if err := validate(&submit); err != nil {
		return err
	}
	if !submit.Attach && submit.MaxTokens == len(submit.Generated) {
		last := completedProgress(&submit)
		return sender.Send(&last)
	}
	t, from, err := d.admit(submit)
	if err != nil {
		return err
	}
	if err := t.addReader(from); err != nil {
		return err
	}
	defer t.removeReader()
	return t.relay(ctx, from, sender)
}

// validate returns an InvalidRequest error if the submission is malformed.
func validate(submit *message.Submit) error {
	switch {
	case submit.RequestID == "":
		return errkind.New(errkind.InvalidRequest, "submit needs a request ID")
	case submit.Attempt < 1 || submit.Attempt > maximumSubmitAttempt:
		return errkind.New(errkind.InvalidRequest, "attempt %d is out of range 1..%d", submit.Attempt, maximumSubmitAttempt)
	case submit.Attach && submit.ResumeFrom < 0:
		return errkind.New(errkind.InvalidRequest, "resume index %d is negative", submit.ResumeFrom)
	case !submit.Attach && submit.Model == "":
		return errkind.New(errkind.InvalidRequest, "submit needs a model")
	case !submit.Attach && (submit.MaxTokens < 1 || submit.MaxTokens < len(submit.Generated)):
		return errkind.New(errkind.InvalidRequest,
			"max tokens is %d with %d generated", submit.MaxTokens, len(submit.Generated))
	default:
		return nil
	}
}

// completedProgress returns the final message for a continued request that already has all its tokens.
func completedProgress(submit *message.Submit) message.Progress {
	return message.Progress{
		Attempt:      submit.Attempt,
		FirstToken:   len(submit.Generated),
		Finished:     true,
		FinishReason: engine.FinishLength,
	}
}

// admit returns the task of a submission and the token index to relay from.
func (d *Dispatcher) admit(submit message.Submit) (*task, int, error) {
	if submit.Attach {
		return d.attach(&submit)
	}
	if err := d.options.Tables.CheckCurrent(); err != nil {
		return nil, 0, err
	}
	target, err := d.cell(submit.Cell)
	if err != nil {
		return nil, 0, err
	}
	row, err := d.row(&submit)
	if err != nil {
		return nil, 0, err
	}
	inFlightCap, err := d.inFlightCap(&row, submit.Cell)
	if err != nil {
		return nil, 0, err
	}
	t, err := target.submit(submit, row, inFlightCap)
	return t, len(submit.Generated), err
}

// attach returns the task of an earlier submission. An unknown task may have run here before, so its
// outcome is unknown.
func (d *Dispatcher) attach(submit *message.Submit) (*task, int, error) {
	if target := d.find(submit.Cell); target != nil {
		if t := target.lookup(taskID(submit)); t != nil {
			return t, submit.ResumeFrom, nil
		}
	}
	return nil, 0, errkind.New(errkind.OutcomeUnknown,
		"node %s does not have request %s, attempt %d", d.options.NodeID, submit.RequestID, submit.Attempt)
}

// row returns the policy row of a submission's service. A service that may exist only in a newer
// table gets the least privileges until this node has that table.
func (d *Dispatcher) row(submit *message.Submit) (policy.Row, error) {
	table := d.options.Tables.Table()
	row, ok := table.Row(submit.Service)
	if ok {
		return row, nil
	}
	if table.Revision >= submit.TableRevision {
		return row, errkind.New(errkind.UnknownService,
			"service %q is not in table revision %d", submit.Service, table.Revision)
	}
	return policy.Row{Service: submit.Service, Kind: policy.KindTrainer, Share: 1}, nil
}

// inFlightCap returns the number of requests that the service may have in flight in the cell; 0 for no
// cap.
func (d *Dispatcher) inFlightCap(row *policy.Row, cell message.CellID) (int, error) {
	if row.Cap == 0 {
		return 0, nil
	}
	d.mutex.Lock()
	part := d.poolCells.cellCap(row, cell)
	d.mutex.Unlock()
	if part == 0 {
		// NoCapacity rather than CapReached: other cells may have a part of the cap.
		return 0, errkind.New(errkind.NoCapacity,
			"the cap of service %s (%d) leaves no requests for cell %s", row.Service, row.Cap, cellName(cell))
	}
	return part, nil
}

// relay sends the answer from a token index on, each token once and in order.
func (t *task) relay(ctx context.Context, from int, sender peer.Sender) error {
	next := from
	first := true
	var read readResult
	for {
		read = t.buffer.readFrom(next, read.pieces)
		for index := range read.pieces {
			piece := &read.pieces[index]
			trimBefore(piece, next)
			if first {
				piece.Load = t.cellLoad()
				first = false
			}
			// Send keeps no reference to the message, so the buffer may be reused.
			if err := sender.Send(piece); err != nil {
				return err
			}
			next = piece.FirstToken + len(piece.Tokens)
		}
		if read.finished != nil {
			last := *read.finished
			last.Load = t.cellLoad()
			return sender.Send(&last)
		}
		if read.err != nil {
			return read.err
		}
		if len(read.pieces) > 0 {
			// The next read acknowledges these pieces to the buffer.
			continue
		}
		select {
		case <-read.changed:
		case <-ctx.Done():
			return errkind.New(errkind.Canceled, "the caller closed the stream")
		}
	}
}

// cellLoad returns the cell's digest, which is attached to the first and the last message.
func (t *task) cellLoad() *message.CellDigest {
	digest := t.cell.digest()
	return &digest
}

// trimBefore removes the tokens of a piece before an index.
func trimBefore(piece *message.Progress, from int) {
	if skip := from - piece.FirstToken; skip > 0 {
		piece.Tokens = piece.Tokens[skip:]
		piece.FirstToken = from
	}
}
