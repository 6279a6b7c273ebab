package hosted

import (
	"context"
	"net/http"
	"time"

	"github.com/corkpulley/corkpulley/internal/batchjobs"
	"github.com/corkpulley/corkpulley/internal/core/batch"
	"github.com/corkpulley/corkpulley/internal/core/errkind"
	"github.com/corkpulley/corkpulley/internal/core/homes"
	"github.com/corkpulley/corkpulley/internal/core/routes"
	"github.com/corkpulley/corkpulley/internal/ingress"
)

const (
	// defaultMaxBody holds until a configuration is known.
	defaultMaxBody  = 1 << 20
	defaultIdleTime = time.Minute
	// acceptTimeout bounds the writing of a batch job, endTimeout of its end.
	acceptTimeout = 2500 * time.Millisecond
	endTimeout    = 3 * time.Second
	// configurationAge is the age beyond which the configuration may be an old one: a
	// read waits a second at most, its answer takes another.
	configurationAge = 3 * time.Second
	// maxWait bounds how long a reader of results is held.
	maxWait = 5 * time.Second
)

var _ Callers = (*node)(nil)

// Relay implements Callers.
func (n *node) Relay(w http.ResponseWriter, ctx context.Context, request *ingress.Request) *errkind.Error {
	if !n.control.IsLoaded() {
		return errkind.New(errkind.NotReady, "it is not known yet which zones are evacuated")
	}
	if !n.knowsCrashes() {
		return errkind.New(errkind.NotReady, "it is not known yet which requests end their engines")
	}
	return n.relay.Serve(w, ctx, request)
}

// TakesBatch implements Callers.
func (n *node) TakesBatch(host, path string) bool {
	table := n.state.table()
	if table == nil {
		return false
	}
	route := table.Match(host, path)
	return route != nil && route.Kind == routes.Batch
}

// Accept implements Callers.
func (n *node) Accept(ctx context.Context, credentials routes.Credentials, submission batchjobs.Submission) error {
	began := time.Now()
	sender, config, failure := n.submitter(credentials, submission.Job)
	if failure != nil {
		return failure
	}
	submission.Job.Tenant, submission.Job.Priority = sender.Tenant, sender.Priority
	submission.Job.ID = batch.QualifiedID(sender.Tenant, submission.Job.ID)
	submission.Job.Homes, submission.Job.Config = sender.Homes.Regions(), config
	ctx, cancel := context.WithTimeout(homes.NewContext(context.WithoutCancel(ctx), sender.Homes), acceptTimeout)
	defer cancel()
	err := n.acceptAtHome(ctx, submission, sender.Homes)
	n.logger.Info().Err(err).Str("job", submission.Job.ID).Int64("step", submission.Job.Step).
		Stringer("homes", sender.Homes).
		Str("model", submission.Job.Model).Int64("min_version", submission.Job.MinVersion).
		Int("items", len(submission.Job.Items)).Dur("took_ms", time.Since(began)).Msg("job handed in")
	n.metrics.jobHandedIn(err)
	return err
}

// submitter returns who hands a job in, and the version of the configuration that says so.
func (n *node) submitter(credentials routes.Credentials, job batch.JobRecord) (routes.Sender, int64, *errkind.Error) {
	table := n.state.table()
	if table == nil {
		return routes.Sender{}, 0, errkind.New(errkind.NotReady, "no configuration is known yet")
	}
	route := table.Match(job.Host, job.Path)
	if route == nil {
		return routes.Sender{}, 0, errkind.New(errkind.UnknownService, "no route for %s%s", job.Host, job.Path)
	}
	sender, failure := table.SenderOf(route, credentials, n.isCurrent())
	return sender, table.Version, failure
}

// jobQuestion is a question about a job by one of the names that it may have.
type jobQuestion struct {
	id string
	// homes are the regions in which other nodes may answer.
	homes homes.Set
}

// questions returns by which names a job may be asked for, the likeliest first. Jobs of
// other tenants have no name that the caller could ask for.
func (n *node) questions(job JobName) ([]jobQuestion, error) {
	table := n.state.table()
	if table == nil {
		return nil, errkind.New(errkind.NotReady, "no configuration is known yet")
	}
	tenants, failure := table.OwnersOf(job.Host, job.Credentials, n.isCurrent())
	if failure != nil {
		return nil, failure
	}
	questions := make([]jobQuestion, len(tenants))
	for i, tenant := range tenants {
		questions[i] = jobQuestion{batch.QualifiedID(tenant, job.ID), table.QuestionHomes(job.Host, tenant)}
	}
	return questions, nil
}

// askOf asks about the job by each of its names until one is that of a job.
func askOf[Answer any](
	ctx context.Context, n *node, job JobName, ask func(ctx context.Context, id string) (Answer, error),
) (Answer, error) {
	questions, err := n.questions(job)
	if err != nil {
		var none Answer
		return none, err
	}
	return askFirst(questions, func(question jobQuestion) (Answer, error) {
		return ask(homes.NewContext(ctx, question.homes), question.id)
	})
}

// askFirst asks by each name until one is that of a job. A name of which this node is not sure does
// not hide the job that another one is of; where there is none, nobody is told that there is no job.
func askFirst[Question, Answer any](
	questions []Question, ask func(question Question) (Answer, error),
) (answer Answer, err error) {
	var unsure error
	for _, question := range questions {
		answer, err = ask(question)
		switch {
		case errkind.Is(err, errkind.HistoryLost):
			unsure = err
		case !errkind.Is(err, errkind.NotFound):
			return answer, err
		}
	}
	if unsure != nil {
		return answer, unsure
	}
	return answer, err
}

// isCurrent tells whether the configuration in force is known to be the newest one,
// but for a few seconds.
func (n *node) isCurrent() bool { return n.control.Age() < configurationAge }

// Results implements Callers.
func (n *node) Results(ctx context.Context, job JobName, from int, wait time.Duration) (batchjobs.Results, error) {
	return askOf(ctx, n, job, func(ctx context.Context, id string) (batchjobs.Results, error) {
		return n.askedJobs.Results(ctx, id, from, min(wait, maxWait))
	})
}

// Body implements Callers.
func (n *node) Body(ctx context.Context, job JobName, itemID string) ([]byte, error) {
	return askOf(ctx, n, job, func(ctx context.Context, id string) ([]byte, error) {
		return n.askedJobs.Body(ctx, id, itemID)
	})
}

// End implements Callers.
func (n *node) End(ctx context.Context, job JobName) error {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), endTimeout)
	defer cancel()
	_, err := askOf(ctx, n, job, func(ctx context.Context, id string) (struct{}, error) {
		err := n.askedJobs.End(ctx, id)
		n.logger.Info().Err(err).Str("job", id).Msg("job end asked")
		return struct{}{}, err
	})
	return err
}

// Stopping implements Callers.
func (n *node) Stopping() bool { return n.state.isStopping() }

// MaxBodyBytes implements Callers.
func (n *node) MaxBodyBytes() int64 {
	table := n.state.table()
	if table == nil || table.Limits.MaxBodyBytes <= 0 {
		return defaultMaxBody
	}
	return table.Limits.MaxBodyBytes
}

// MaxHeaderBytes implements Callers.
func (n *node) MaxHeaderBytes() int {
	table := n.state.table()
	if table == nil || table.Limits.MaxHeaderBytes <= 0 {
		return maxHeaderBytes
	}
	return min(table.Limits.MaxHeaderBytes, maxHeaderBytes)
}

// idleTime is how long a connection may stay open without a request.
func (n *node) idleTime() time.Duration {
	table := n.state.table()
	if table == nil || table.Limits.IdleTimeout <= 0 {
		return defaultIdleTime
	}
	return table.Limits.IdleTimeout
}

// Refused implements Callers.
func (n *node) Refused(id string, failure *errkind.Error) {
	n.metrics.refused.WithLabelValues(failure.Kind.String()).Inc()
	n.logger.Warn().Str("id", id).Str("kind", failure.Kind.String()).Str("error", failure.Message).
		Int("status", failure.Kind.Answer().Status).Msg("request refused")
}

// ready returns nil, or why this node takes no new work.
func (n *node) ready() error {
	switch {
	case n.state.isStopping():
		return errkind.New(errkind.ShuttingDown, "this node is stopping")
	case n.state.table() == nil:
		return errkind.New(errkind.NotReady, "no configuration is known yet")
	case !n.control.IsLoaded():
		return errkind.New(errkind.NotReady, "it is not known yet which zones are evacuated")
	case !n.knowsEngine(n.state.table()):
		return errkind.New(errkind.NotReady, "no engine is known yet")
	case !n.knowsCrashes():
		return errkind.New(errkind.NotReady, "it is not known yet which requests end their engines")
	}
	return nil
}
