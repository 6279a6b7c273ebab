package jobrelay

import (
	"context"
	"net/http"
	"time"

	"github.com/rs/zerolog"

	"github.com/corkpulley/corkpulley/internal/batchjobs"
	"github.com/corkpulley/corkpulley/internal/common/msgpackhttp"
	"github.com/corkpulley/corkpulley/internal/common/pauses"
	"github.com/corkpulley/corkpulley/internal/core/errkind"
	"github.com/corkpulley/corkpulley/internal/core/homes"
)

const (
	// answerTimeout bounds a replica's answer beyond the time that it may wait: a megabyte
	// of results takes it some 0.3 s, and a caller waits 1.5 s longer than it allows.
	answerTimeout = 1300 * time.Millisecond
	// brokenPause leaves a replica alone that did not answer, otherPause one that says
	// that it is none.
	brokenPause = 3 * time.Second
	otherPause  = time.Second
	// directoryWait bounds the wait of a node that has just started for what it knows of
	// the others: about as long as a caller waits.
	directoryWait = 1200 * time.Millisecond
	// maxResponseBytes bounds an answer; results come a megabyte at a time.
	maxResponseBytes = 4 << 20
)

// Relay asks replicas about jobs, and the node itself where there are none. Where there
// are some, and none answers, the caller is told to ask another node: if all nodes read
// the index when a few are slow, the log would be too slow for all. It implements Jobs.
type Relay struct {
	own Jobs
	// sources returns the replicas within the regions to ask, the first choice first; known is
	// closed once the node has read of the others.
	sources func(within homes.Set) []string
	known   <-chan struct{}
	client  *http.Client
	logger  zerolog.Logger
	paused  *pauses.Pauses
}

var _ Jobs = (*Relay)(nil)

// NewRelay returns a relay that asks the sources over the client, or else own. A question whose context
// names homes is asked only of replicas there, and the node itself answers where there are none.
func NewRelay(
	own Jobs, sources func(within homes.Set) []string, known <-chan struct{}, client *http.Client, logger zerolog.Logger,
) *Relay {
	return &Relay{
		own: own, sources: sources, known: known, client: client, logger: logger, paused: pauses.New(),
	}
}

// Results implements Jobs.
func (r *Relay) Results(
	ctx context.Context, jobID string, from int, wait time.Duration,
) (batchjobs.Results, error) {
	within := homes.FromContext(ctx)
	replicas, err := r.replicas(ctx, within)
	if err != nil {
		return batchjobs.Results{}, err
	}
	if len(replicas) == 0 {
		return r.own.Results(ctx, jobID, from, wait)
	}
	answer, err := r.ask(ctx, replicas, request{Operation: opResults, Job: jobID, From: from, Wait: wait, Homes: within.Regions()})
	if err != nil {
		return batchjobs.Results{}, err
	}
	return answer.results(), nil
}

// Body implements Jobs.
func (r *Relay) Body(ctx context.Context, jobID, itemID string) ([]byte, error) {
	within := homes.FromContext(ctx)
	replicas, err := r.replicas(ctx, within)
	if err != nil {
		return nil, err
	}
	if len(replicas) == 0 {
		return r.own.Body(ctx, jobID, itemID)
	}
	answer, err := r.ask(ctx, replicas, request{Operation: opBody, Job: jobID, Item: itemID, Homes: within.Regions()})
	return answer.Body, err
}

// End implements Jobs. An end may be recorded twice, so it is asked of the next replica
// after a lost answer.
func (r *Relay) End(ctx context.Context, jobID string) error {
	// An end tells nothing of what the job holds.
	replicas, err := r.replicas(ctx, homes.Set{})
	if err != nil {
		return err
	}
	if len(replicas) == 0 {
		return r.own.End(ctx, jobID)
	}
	_, err = r.ask(ctx, replicas, request{Operation: opEnd, Job: jobID})
	return err
}

// replicas returns the replicas within the regions to ask; none where the node is one, or the cluster is
// small. Before the node has read of the others it can't know.
func (r *Relay) replicas(ctx context.Context, within homes.Set) ([]string, error) {
	// First without a wait: of several channels that are ready, select takes any.
	select {
	case <-r.known:
		return r.sources(within), nil
	default:
	}
	timer := time.NewTimer(directoryWait)
	defer timer.Stop()
	select {
	case <-r.known:
		return r.sources(within), nil
	case <-ctx.Done():
	case <-timer.C:
	}
	return nil, errkind.New(errkind.LogUnavailable, "this node has just started and has not read of the others yet")
}

// ask asks the replicas in turn until one has answered and is sure.
func (r *Relay) ask(ctx context.Context, replicas []string, question request) (response, error) {
	lost := false
	var unsure error
	for _, address := range replicas {
		if r.paused.Active(address) {
			continue
		}
		answer, err := r.call(ctx, address, question)
		switch {
		case ctx.Err() != nil:
			// The caller has left; the replica is not to blame.
			return response{}, errkind.New(errkind.Canceled, "the caller has left")
		case err != nil:
			r.logger.Warn().Err(err).Str("replica", address).Str("job", question.Job).Msg("replica did not answer")
			r.paused.Begin(address, brokenPause)
			lost = true
		case answer.NoReplica:
			r.paused.Begin(address, otherPause)
		case errkind.Is(answer.err(), errkind.HistoryLost):
			unsure = answer.err()
		default:
			return answer, answer.err()
		}
		// The time that the caller allows has passed with the first replica.
		question.Wait = 0
	}
	if lost && question.Operation == opEnd {
		return response{}, errkind.New(errkind.OutcomeUnknownRepeatable, "no replica told how the end was taken")
	}
	if unsure != nil {
		return response{}, unsure
	}
	return response{}, errkind.New(errkind.LogUnavailable, "none of %d replicas answers", len(replicas))
}

func (r *Relay) call(ctx context.Context, address string, question request) (response, error) {
	ctx, cancel := context.WithTimeout(ctx, question.Wait+answerTimeout)
	defer cancel()
	var answer response
	err := msgpackhttp.Ask(ctx, r.client, "http://"+address+Path, &question, &answer, maxResponseBytes)
	return answer, err
}
