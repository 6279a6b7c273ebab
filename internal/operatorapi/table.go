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
	// defaultHistoryLimit is the number of revisions listed without QueryLimit.
	defaultHistoryLimit = 20
)

// checkCaughtUp returns the NotReady error until this node has loaded the latest
// table revision. Before that, its table may come from an old snapshot, and the
// revisions reported to operators must not decrease. NotCurrent is not an error
// here: a node without contact to the log keeps the highest revision it has loaded.
func (a *API) checkCaughtUp() error {
	err := a.options.Tables.CheckCurrent()
	if errkind.Is(err, errkind.NotReady) {
		return err
	}
	return nil
}

// revision returns the active revision, or 0 until checkCaughtUp succeeds.
func (a *API) revision() int64 {
	if a.checkCaughtUp() != nil {
		return 0
	}
	return a.options.Tables.Table().Revision
}

func (a *API) getTable(w http.ResponseWriter, r *http.Request) {
	table, err := a.requestedTable(r)
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

func (a *API) requestedTable(r *http.Request) (*policy.Table, error) {
	if err := a.checkCaughtUp(); err != nil {
		return nil, err
	}
	if !r.URL.Query().Has(QueryRevision) {
		return a.options.Tables.Table(), nil
	}
	text := r.URL.Query().Get(QueryRevision)
	revision, err := strconv.ParseInt(text, 10, 64)
	if err != nil || revision < 0 {
		return nil, errkind.New(errkind.InvalidRequest, "revision is %q, expected a non-negative integer", text)
	}
	table, known := a.options.Tables.TableAt(revision)
	if !known {
		return nil, errkind.New(errkind.NotFound, "revision %d was never active or is no longer retained", revision)
	}
	return table, nil
}

func (a *API) getHistory(w http.ResponseWriter, r *http.Request) {
	limit := defaultHistoryLimit
	if r.URL.Query().Has(QueryLimit) {
		text := r.URL.Query().Get(QueryLimit)
		parsed, err := strconv.Atoi(text)
		if err != nil || parsed < 1 || parsed > policy.MaxHistory {
			httpapi.WriteError(w, errkind.New(errkind.InvalidRequest,
				"limit is %q, expected an integer from 1 to %d", text, policy.MaxHistory))
			return
		}
		limit = parsed
	}
	if err := a.checkCaughtUp(); err != nil {
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

// writeProposalError writes the error with its conflicting rows and validation errors.
func writeProposalError(w http.ResponseWriter, err error) {
	detail := httpapi.ErrorDetail(err)
	var rejected *tables.ProposalError
	if errors.As(err, &rejected) {
		detail.Conflicts = rejected.Conflicts
		detail.Problems = rejected.Problems
	}
	httpapi.WriteErrorDetail(w, errkind.KindOf(err), detail)
}
