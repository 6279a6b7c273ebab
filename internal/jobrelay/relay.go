package jobrelay

import (
	"context"
	"net/http"
	"time"

	"github.com/rs/zerolog"

	"github.com/corkpulley/corkpulley/internal/batchjobs"
	"github.com/corkpulley/corkpulley/internal/common/cooldown"
	"github.com/corkpulley/corkpulley/internal/common/msgpackhttp"
	"github.com/corkpulley/corkpulley/internal/core/errkind"
	"github.com/corkpulley/corkpulley/internal/core/homes"
)

const (
	// answerTimeout bounds how long a response may take beyond the requested wait. It is shorter than the time that
	// callers allow beyond the wait.
	answerTimeout = 1300 * time.Millisecond
	// unresponsivePause is how long a replica is skipped after it did not answer, notReplicaPause how long a peer
	// that is not a replica.
	unresponsivePause = 3 * time.Second
	notReplicaPause   = time.Second
	// directoryTimeout bounds how long a query waits for the first read of the node directory.
	directoryTimeout = 1200 * time.Millisecond
	// maxResponseBytes bounds a response.
	maxResponseBytes = 4 << 20
)

// Relay queries replicas about jobs, or the local node if there are no replicas. It implements Jobs. If replicas
// exist but none answers, queries fail with a retryable error instead of falling back to the local node: all nodes
// reading the index would overload the log.
type Relay struct {
	local Jobs
	// replicaAddresses returns the replicas within the regions in order of preference; directoryRead is closed
	// after the first read of the node directory.
	replicaAddresses func(within homes.Set) []string
	directoryRead    <-chan struct{}
	client           *http.Client
	logger           zerolog.Logger
	paused           *cooldown.Set
}

var _ Jobs = (*Relay)(nil)

// NewRelay returns a relay that queries the replicas over the client. replicaAddresses returns the replicas within
// the regions in order of preference; directoryRead is closed after the first read of the node directory. A query
// whose context names home regions goes only to replicas there.
func NewRelay(
	local Jobs, replicaAddresses func(within homes.Set) []string, directoryRead <-chan struct{}, client *http.Client,
	logger zerolog.Logger,
) *Relay {
	return &Relay{
		local: local, replicaAddresses: replicaAddresses, directoryRead: directoryRead,
		client: client, logger: logger, paused: cooldown.New(),
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
		return r.local.Results(ctx, jobID, from, wait)
	}
	answer, err := r.queryReplicas(ctx, replicas, request{
		Operation: opResults, Job: jobID, From: from, Wait: wait, Homes: within.Regions(),
	})
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
		return r.local.Body(ctx, jobID, itemID)
	}
	answer, err := r.queryReplicas(ctx, replicas, request{
		Operation: opBody, Job: jobID, Item: itemID, Homes: within.Regions(),
	})
	return answer.Body, err
}

// End implements Jobs. Ending a job is idempotent, so the next replica is tried after a lost answer.
func (r *Relay) End(ctx context.Context, jobID string) error {
	// The request carries none of the job's data, so the homes do not apply.
	replicas, err := r.replicas(ctx, homes.Set{})
	if err != nil {
		return err
	}
	if len(replicas) == 0 {
		return r.local.End(ctx, jobID)
	}
	_, err = r.queryReplicas(ctx, replicas, request{Operation: opEnd, Job: jobID})
	return err
}

// replicas returns the replicas within the regions; none if this node is a replica or the cluster is small. It
// waits for the first read of the node directory.
func (r *Relay) replicas(ctx context.Context, within homes.Set) ([]string, error) {
	// Checked first without ctx, since select chooses at random among ready channels.
	select {
	case <-r.directoryRead:
		return r.replicaAddresses(within), nil
	default:
	}
	timer := time.NewTimer(directoryTimeout)
	defer timer.Stop()
	select {
	case <-r.directoryRead:
		return r.replicaAddresses(within), nil
	case <-ctx.Done():
	case <-timer.C:
	}
	return nil, errkind.New(errkind.LogUnavailable, "the node directory has not been read yet")
}

// queryReplicas queries the replicas in order until one gives a definite answer.
func (r *Relay) queryReplicas(ctx context.Context, replicas []string, query request) (response, error) {
	unanswered := false
	var historyLost error
	for _, address := range replicas {
		if r.paused.Active(address) {
			continue
		}
		answer, err := r.call(ctx, address, query)
		switch {
		case ctx.Err() != nil:
			// The caller canceled; the replica has not failed.
			return response{}, errkind.New(errkind.Canceled, "request canceled by the caller")
		case err != nil:
			r.logger.Warn().Err(err).Str("replica", address).Str("job", query.Job).Msg("replica did not answer")
			r.paused.Start(address, unresponsivePause)
			unanswered = true
		case answer.NotReplica:
			r.paused.Start(address, notReplicaPause)
		case errkind.Is(answer.err(), errkind.HistoryLost):
			historyLost = answer.err()
		default:
			return answer, answer.err()
		}
		// The requested wait was spent on the first replica.
		query.Wait = 0
	}
	if unanswered && query.Operation == opEnd {
		return response{}, errkind.New(errkind.OutcomeUnknownRepeatable, "no replica confirmed the end of the job")
	}
	if historyLost != nil {
		return response{}, historyLost
	}
	return response{}, errkind.New(errkind.LogUnavailable, "none of %d replicas answered", len(replicas))
}

func (r *Relay) call(ctx context.Context, address string, query request) (response, error) {
	ctx, cancel := context.WithTimeout(ctx, query.Wait+answerTimeout)
	defer cancel()
	var answer response
	err := msgpackhttp.Call(ctx, r.client, "http://"+address+Path, &query, &answer, maxResponseBytes)
	return answer, err
}
