package topology

import (
	"context"
	"net/http"
	"time"

	"github.com/go-faster/errors"
	"github.com/rs/xid"

	"github.com/corkpulley/corkpulley/internal/api"
)

// applyTimeout bounds ApplyTable.
const applyTimeout = 30 * time.Second

// ApplyTable replaces the policy table through the first running node, waits
// until every running node has it active, and returns the revision. The same
// proposal is retried after an unknown outcome.
func (d *Deployment) ApplyTable(ctx context.Context, csv string) (int64, error) {
	ctx, cancel := context.WithTimeout(ctx, applyTimeout)
	defer cancel()
	node, err := d.firstRunning()
	if err != nil {
		return 0, err
	}
	current, err := node.Table(ctx)
	if err != nil {
		return 0, errors.Wrap(err, "read table")
	}
	proposal := api.TableProposal{
		BaseRevision: current.Revision,
		CSV:          csv,
		Operator:     "corkbench",
		ProposalID:   xid.New().String(),
	}
	var accepted api.TableAccepted
	err = WaitFor(ctx, "table to be accepted", func() error {
		var failure error
		accepted, failure = node.ProposeTable(ctx, proposal)
		return markRejectionPermanent(failure)
	})
	if err != nil {
		return 0, err
	}
	return accepted.Revision, d.WaitRevision(ctx, accepted.Revision)
}

// markRejectionPermanent marks a rejection of the proposal as permanent, since
// a retry would be rejected again.
func markRejectionPermanent(err error) error {
	var statusError *StatusError
	if !errors.As(err, &statusError) {
		return err
	}
	switch statusError.Status {
	case http.StatusConflict, http.StatusUnprocessableEntity, http.StatusBadRequest:
		return permanent(err)
	default:
		return err
	}
}

func (d *Deployment) firstRunning() (*Node, error) {
	for _, node := range d.Nodes() {
		if node.Running() {
			return node, nil
		}
	}
	return nil, errors.New("no node is running")
}

// WaitRevision waits until the given table revision or a later one is active on
// every running node.
func (d *Deployment) WaitRevision(ctx context.Context, revision int64) error {
	return WaitFor(ctx, "table revision to be active on all nodes", func() error {
		for _, node := range d.Nodes() {
			if !node.Running() {
				continue
			}
			document, err := node.Table(ctx)
			if err != nil {
				return errors.Wrapf(err, "node %s", node.ID)
			}
			if document.Revision < revision {
				return errors.Errorf("node %s is at revision %d", node.ID, document.Revision)
			}
		}
		return nil
	})
}
