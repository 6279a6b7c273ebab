package operatorapi

import (
	"net/http"
	"strconv"

	"github.com/go-faster/errors"

	"github.com/corkpulley/corkpulley/internal/api"
	"github.com/corkpulley/corkpulley/internal/core/errkind"
	"github.com/corkpulley/corkpulley/internal/core/policy"
	"github.com/corkpulley/corkpulley/internal/httpapi"
	"github.com/corkpulley/corkpulley/internal/tables"
)

const (
	// maxTableBytes bounds the JSON body of a proposal.
	maxTableBytes = 2 << 20
	// defaultHistory is the number of revisions listed when none is asked for.
	defaultHistory = 20
)

// caughtUp returns the NotReady error until this node has caught up with the
// table. Before that it may hold an old snapshot's table, and an operator who
// was told a revision must never be told a lower one. NotCurrent is no reason
// to refuse: a node that lost its contacts keeps the highest table it knew.
func (a *API) caughtUp() error {
	err := a.options.Tables.Current()
	if errkind.Is(err, errkind.NotReady) {
		return err
	}
	return nil
}

// revision returns the revision in force on this node, and 0, which claims
// none, until it has caught up.
func (a *API) revision() int64 {
	if a.caughtUp() != nil {
		return 0
	}
	return a.options.Tables.Table().Revision
}

func (a *API) getTable(w http.ResponseWriter, r *http.Request) {
	table, err := a.askedTable(r)
	if err != nil {
		httpapi.WriteError(w, err)
		return
	}
	document := api.TableDocument{Table: *table, CSV: policy.FormatCSV(table.Rows)}
	if document.Rows == nil {
		document.Rows = []policy.Row{}
	}
	httpapi.WriteJSON(w, http.StatusOK, document)
}

func (a *API) askedTable(r *http.Request) (*policy.Table, error) {
	if err := a.caughtUp(); err != nil {
		return nil, err
	}
	if !r.URL.Query().Has(QueryRevision) {
		return a.options.Tables.Table(), nil
	}
	text := r.URL.Query().Get(QueryRevision)
	revision, err := strconv.ParseInt(text, 10, 64)
	if err != nil || revision < 0 {
		return nil, errkind.New(errkind.InvalidRequest, "revision is %q, expected a number of 0 or more", text)
	}
	table, known := a.options.Tables.TableAt(revision)
	if !known {
		return nil, errkind.New(errkind.NotFound, "revision %d never was in force or is no longer remembered", revision)
	}
	return table, nil
}

func (a *API) getHistory(w http.ResponseWriter, r *http.Request) {
	limit := defaultHistory
	if r.URL.Query().Has(QueryLimit) {
		text := r.URL.Query().Get(QueryLimit)
		asked, err := strconv.Atoi(text)
		if err != nil || asked < 1 || asked > policy.MaxHistory {
			httpapi.WriteError(w, errkind.New(errkind.InvalidRequest,
				"limit is %q, expected a number from 1 to %d", text, policy.MaxHistory))
			return
		}
		limit = asked
	}
	if err := a.caughtUp(); err != nil {
		httpapi.WriteError(w, err)
		return
	}
	httpapi.WriteJSON(w, http.StatusOK, a.options.Tables.History(limit))
}

func (a *API) postTable(w http.ResponseWriter, r *http.Request) {
	var proposal api.TableProposal
	if err := httpapi.DecodeJSON(w, r, maxTableBytes, &proposal); err != nil {
		httpapi.WriteError(w, err)
		return
	}
	accepted, err := a.options.Tables.Propose(r.Context(), proposal)
	if err != nil {
		writeProposalError(w, err)
		return
	}
	a.options.Logger.Info().Int64("revision", accepted.Revision).Str("operator", proposal.Operator).
		Str("proposal_id", proposal.ProposalID).Msg("table proposal accepted")
	httpapi.WriteJSON(w, http.StatusOK, accepted)
}

// writeProposalError answers with the rows in conflict or the mistakes found.
func writeProposalError(w http.ResponseWriter, err error) {
	detail := httpapi.ErrorDetail(err)
	var rejected *tables.ProposalError
	if errors.As(err, &rejected) {
		detail.Conflicts = rejected.Conflicts
		detail.Problems = rejected.Problems
	}
	httpapi.WriteErrorDetail(w, errkind.KindOf(err), detail)
}
