package hosted

import (
	"context"
	"net/http"
	"time"

	"github.com/go-faster/errors"

	"github.com/corkpulley/corkpulley/internal/batchjobs"
	"github.com/corkpulley/corkpulley/internal/core/batch"
	"github.com/corkpulley/corkpulley/internal/core/errkind"
	"github.com/corkpulley/corkpulley/internal/core/homes"
	"github.com/corkpulley/corkpulley/internal/core/routes"
	"github.com/corkpulley/corkpulley/internal/ingress"
)

const (
	// acceptTimeout bounds the write that accepts a batch job, endTimeout the write that ends one.
	acceptTimeout = 2500 * time.Millisecond
	endTimeout    = 3 * time.Second
	// minWriteTime is the time that must be left in a planned stop for such a write to begin.
	minWriteTime = 500 * time.Millisecond
	// queryReserve is the time from the end of a query's wait to the end of a planned stop, in which it is answered.
	queryReserve = 300 * time.Millisecond
	// maxConfigurationAge is the age beyond which the configuration may be out of date: a read of the log waits for
	// up to a second, and its response may take another.
	maxConfigurationAge = 3 * time.Second
	// maxResultsWait bounds how long a request for results may wait for new ones.
	maxResultsWait = 5 * time.Second
)

var _ CallerService = (*node)(nil)

// Relay implements CallerService.
func (n *node) Relay(w http.ResponseWriter, ctx context.Context, request *ingress.Request) *errkind.Error {
	if !n.controlFollower.IsLoaded() {
		return errkind.New(errkind.NotReady, "it is not known yet which zones are evacuated")
	}
	if !n.crashesKnown() {
		return errkind.New(errkind.NotReady, "it is not known yet which requests end their engines")
	}
	return n.relay.Serve(w, ctx, request)
}

// IsJob implements CallerService.
func (n *node) IsJob(method, host, path string) bool {
	table := n.state.table()
	if table == nil {
		return false
	}
	route := table.Match(host, path)
	return route != nil && route.AcceptsJob(method)
}

// AuthorizeJob implements CallerService.
func (n *node) AuthorizeJob(host, path string, credentials routes.Credentials) error {
	if _, _, failure := n.submitter(credentials, batch.JobRecord{Host: host, Path: path}); failure != nil {
		return failure
	}
	return nil
}

// SubmitJob implements CallerService.
func (n *node) SubmitJob(ctx context.Context, credentials routes.Credentials, submission batchjobs.Submission) error {
	began := time.Now()
	sender, config, failure := n.submitter(credentials, submission.Job)
	if failure != nil {
		return failure
	}
	submission.Job.Tenant, submission.Job.Priority = sender.Tenant, sender.Priority
	submission.Job.ID = batch.QualifiedID(sender.Tenant, submission.Job.ID)
	submission.Job.Homes, submission.Job.Config = sender.Homes.Regions(), config
	ctx, cancel, failure := n.beginWrite(homes.NewContext(ctx, sender.Homes), acceptTimeout)
	if failure != nil {
		return failure
	}
	defer cancel()
	err := n.acceptWithin(ctx, submission, sender.Homes)
	n.logger.Info().Err(err).Str("job", submission.Job.ID).Int64("step", submission.Job.Step).
		Stringer("homes", sender.Homes).
		Str("model", submission.Job.Model).Int64("min_version", submission.Job.MinVersion).
		Int("items", len(submission.Job.Items)).Dur("took_ms", time.Since(began)).Msg("job submitted")
	n.metrics.jobSubmitted(err)
	return err
}

// beginWrite returns the context of a write to the log, which goes on if the caller leaves and ends before a planned stop
// does. It returns an error if too little time is left.
func (n *node) beginWrite(
	ctx context.Context, timeout time.Duration,
) (context.Context, context.CancelFunc, *errkind.Error) {
	limit := n.state.limitToStop(timeout)
	if limit < minWriteTime {
		return nil, nil, errkind.New(errkind.ShuttingDown, "this node stops in %s", limit)
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), limit)
	return ctx, cancel, nil
}

// stopError returns ShuttingDown for a query that the end of a planned stop has canceled, and err otherwise.
func stopError(ctx context.Context, err error) error {
	if err != nil && errors.Is(context.Cause(ctx), ingress.ErrStopEnds) {
		return errkind.New(errkind.ShuttingDown, "the planned stop of this node ends")
	}
	return err
}

// submitter returns the tenant that submits a job, and the version of the configuration that identified it.
func (n *node) submitter(credentials routes.Credentials, job batch.JobRecord) (routes.Sender, int64, *errkind.Error) {
	table := n.state.table()
	if table == nil {
		return routes.Sender{}, 0, errkind.New(errkind.NotReady, "no configuration is known yet")
	}
	route := table.Match(job.Host, job.Path)
	if route == nil {
		return routes.Sender{}, 0, errkind.New(errkind.UnknownService, "no route for %s%s", job.Host, job.Path)
	}
	if route.Kind != routes.Batch {
		// The request, resent, is served as a live one.
		return routes.Sender{}, 0, errkind.New(errkind.NotReady, "%s became a live route while the job arrived", route.Name)
	}
	sender, failure := table.SenderOf(route, credentials, n.isCurrent())
	return sender, table.Version, failure
}

// jobQuery is a query for a job under one of its possible qualified IDs.
type jobQuery struct {
	id string
	// homes are the regions whose nodes may answer.
	homes homes.Set
}

// queries returns the queries for a job, one for each tenant that the caller may act for, the likeliest first.
// Jobs of other tenants cannot be queried.
func (n *node) queries(job JobReference) ([]jobQuery, error) {
	table := n.state.table()
	if table == nil {
		return nil, errkind.New(errkind.NotReady, "no configuration is known yet")
	}
	tenants, failure := table.OwnersOf(job.Host, job.Credentials, n.isCurrent())
	if failure != nil {
		return nil, failure
	}
	queries := make([]jobQuery, len(tenants))
	for i, tenant := range tenants {
		queries[i] = jobQuery{batch.QualifiedID(tenant, job.ID), table.QueryHomes(job.Host, tenant)}
	}
	return queries, nil
}

// queryJob calls run for each possible qualified ID of the job until one is found.
func queryJob[Answer any](
	ctx context.Context, n *node, job JobReference, run func(ctx context.Context, id string) (Answer, error),
) (Answer, error) {
	queries, err := n.queries(job)
	if err != nil {
		var none Answer
		return none, err
	}
	return firstFound(queries, func(query jobQuery) (Answer, error) {
		return run(homes.NewContext(ctx, query.homes), query.id)
	})
}

// firstFound calls run for each query until one finds the job. A query that fails with HistoryLost does not hide a
// later match; without a match, its error is returned in place of NotFound.
func firstFound[Query, Answer any](
	queries []Query, run func(query Query) (Answer, error),
) (answer Answer, err error) {
	var historyLost error
	for _, query := range queries {
		answer, err = run(query)
		switch {
		case errkind.Is(err, errkind.HistoryLost):
			historyLost = err
		case !errkind.Is(err, errkind.NotFound):
			return answer, err
		}
	}
	if historyLost != nil {
		return answer, historyLost
	}
	return answer, err
}

// isCurrent reports whether the configuration in force is the newest one, to within maxConfigurationAge.
func (n *node) isCurrent() bool { return n.controlFollower.Age() < maxConfigurationAge }

// Results implements CallerService.
func (n *node) Results(ctx context.Context, job JobReference, from int, wait time.Duration) (batchjobs.Results, error) {
	wait = max(0, n.state.limitToStop(min(wait, maxResultsWait)+queryReserve)-queryReserve)
	results, err := queryJob(ctx, n, job, func(ctx context.Context, id string) (batchjobs.Results, error) {
		return n.jobRelay.Results(ctx, id, from, wait)
	})
	return results, stopError(ctx, err)
}

// Body implements CallerService.
func (n *node) Body(ctx context.Context, job JobReference, itemID string) ([]byte, error) {
	body, err := queryJob(ctx, n, job, func(ctx context.Context, id string) ([]byte, error) {
		return n.jobRelay.Body(ctx, id, itemID)
	})
	return body, stopError(ctx, err)
}

// End implements CallerService.
func (n *node) End(ctx context.Context, job JobReference) error {
	ctx, cancel, failure := n.beginWrite(ctx, endTimeout)
	if failure != nil {
		return failure
	}
	defer cancel()
	_, err := queryJob(ctx, n, job, func(ctx context.Context, id string) (struct{}, error) {
		err := n.jobRelay.End(ctx, id)
		n.logger.Info().Err(err).Str("job", id).Msg("job end requested")
		return struct{}{}, err
	})
	return err
}

// IsStopping implements CallerService.
func (n *node) IsStopping() bool { return n.state.isStopping() }

// MaxBodyBytes implements CallerService.
func (n *node) MaxBodyBytes() (limit int64, configured bool) {
	table := n.state.table()
	if table == nil {
		return defaultMaxBodyBytes, false
	}
	if table.Limits.MaxBodyBytes <= 0 {
		return defaultMaxBodyBytes, true
	}
	return table.Limits.MaxBodyBytes, true
}

// MaxRecordBytes implements CallerService.
func (n *node) MaxRecordBytes() int { return n.config.Hosted.RecordBytes }

// RecordRefusal implements CallerService.
func (n *node) RecordRefusal(id string, failure *errkind.Error) {
	n.metrics.refused.WithLabelValues(failure.Kind.String()).Inc()
	n.logger.Warn().Str("id", id).Str("kind", failure.Kind.String()).Str("error", failure.Message).
		Int("status", failure.Kind.Response().Status).Msg("request refused")
}

// ready returns nil if this node accepts new work, otherwise an *errkind.Error with the reason.
func (n *node) ready() error {
	switch {
	case n.state.isStopping():
		return errkind.New(errkind.ShuttingDown, "this node is stopping")
	case n.state.table() == nil:
		return errkind.New(errkind.NotReady, "no configuration is known yet")
	case !n.controlFollower.IsLoaded():
		return errkind.New(errkind.NotReady, "it is not known yet which zones are evacuated")
	case !n.engineFollower.IsLoaded():
		return errkind.New(errkind.NotReady, "the engine list is not read yet")
	case !n.hasUsableEngine(n.state.table()):
		return errkind.New(errkind.NotReady, "no engine is known yet")
	case !n.crashesKnown():
		return errkind.New(errkind.NotReady, "it is not known yet which requests end their engines")
	}
	return nil
}
