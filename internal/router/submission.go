package router

import (
	"slices"

	"github.com/corkpulley/corkpulley/internal/core/policy"
	"github.com/corkpulley/corkpulley/internal/message"
)

// currentRow returns the request's row and revision from the current table. The request keeps its own
// row if the service changed its model, pool or kind, because an answer must not mix tokens of two
// models. A request that is not repeatable stays so.
func (r *CellRouter) currentRow(request *Request) (policy.Row, int64) {
	table := r.options.Tables.Table()
	if table == nil || table.Revision <= request.TableRevision {
		return request.Row, request.TableRevision
	}
	row, found := table.Row(request.Row.Service)
	same := row.Model == request.Row.Model && row.Pool == request.Row.Pool && row.Kind == request.Row.Kind
	if !found || !same {
		return request.Row, request.TableRevision
	}
	row.Repeatable = row.Repeatable && request.Row.Repeatable
	return row, table.Revision
}

// submit builds the submission of a new attempt.
func (a *attempts) submit(row policy.Row, revision int64, chosen choice) message.Submit {
	request := a.request
	return message.Submit{
		RequestID:      request.ID,
		Attempt:        a.number,
		Cell:           chosen.cell,
		Service:        row.Service,
		TableRevision:  revision,
		Model:          row.Model,
		MinVersion:     chosen.minVersion,
		Prompt:         request.Prompt,
		Generated:      slices.Clone(a.tokens),
		MaxTokens:      request.MaxTokens,
		ExpectedTokens: request.ExpectedTokens,
		Seed:           request.Seed,
		Temperature:    request.Temperature,
		Priority:       row.Priority,
		Urgent:         request.Urgent != nil && request.Urgent(),
		Repeatable:     row.Repeatable,
		Continued:      a.mayHaveStarted(),
		QueueTimeout:   request.QueueTimeout,
	}
}

// attach converts a submission to one that attaches to the same attempt. The prompt is omitted because
// the dispatcher already has it.
func attach(submit message.Submit, resumeFrom int) message.Submit {
	submit.Attach = true
	submit.ResumeFrom = resumeFrom
	submit.Prompt = ""
	submit.Generated = nil
	return submit
}
