package logrelay

import (
	"context"
	"net/http"
	"time"

	"github.com/gorilla/mux"

	"github.com/corkpulley/corkpulley/internal/common/boottime"
	"github.com/corkpulley/corkpulley/internal/common/msgpackhttp"
	"github.com/corkpulley/corkpulley/internal/eventlog"
)

const (
	// Path is the URL path of calls from other nodes.
	Path = "/log"
	// maxRequestBytes limits a request; the records of one call may take 2 MiB.
	maxRequestBytes = 4 << 20
	// maxRelayedWait limits how long a relayed read may wait for records.
	maxRelayedWait = 2 * time.Second
)

// Replicas provides the followed topics that a node serves to others.
type Replicas interface {
	// Replica returns the node's copy of a topic; false if it does not follow the topic, or does so through another
	// node.
	Replica(topic string) (Replica, bool)
}

// Replica is a node's copy of a followed topic; see follow.Replica.
type Replica interface {
	Newest(excluded []string) (eventlog.KeyedBatch, time.Duration, bool)
	Read(
		ctx context.Context, from int64, wait time.Duration, excluded []string,
	) (eventlog.KeyedBatch, time.Duration, error)
}

// NewHandler serves calls of other nodes over the node's own connection to the log, never through a third node.
// While canRelay returns false, it replies at once that the caller should try another node.
func NewHandler(direct eventlog.Log, canRelay func() bool, replicas Replicas) http.Handler {
	router := mux.NewRouter()
	router.HandleFunc(Path, func(w http.ResponseWriter, r *http.Request) {
		started := boottime.Now()
		msgpackhttp.Handle(maxRequestBytes, func(ctx context.Context, call request) response {
			if call.isWrite() && isAbandoned(ctx, call, boottime.Now().Sub(started)) {
				return response{Outcome: outcomeNotDone, Detail: "its sender has left"}
			}
			return handleRequest(ctx, direct, canRelay, replicas, call)
		}).ServeHTTP(w, r)
	}).Methods(http.MethodPost)
	return router
}

// isAbandoned reports whether the sender of a call has stopped waiting. The sender was waiting when its request was
// read, but this process may have been suspended since.
func isAbandoned(ctx context.Context, call request, age time.Duration) bool {
	return ctx.Err() != nil || call.SenderTimeout > 0 && age > call.SenderTimeout
}

func handleRequest(
	ctx context.Context, direct eventlog.Log, canRelay func() bool, replicas Replicas, call request,
) response {
	switch {
	case call.Operation == opReplicaNewest || call.Operation == opReplicaRead:
		return serveReplica(ctx, replicas, call)
	case !canRelay():
		return response{Outcome: outcomeCannotRelay}
	default:
		return callLog(ctx, direct, call)
	}
}

// serveReplica replies from the node's copy of the topic.
func serveReplica(ctx context.Context, replicas Replicas, call request) response {
	replica, found := replicas.Replica(call.Topic)
	if !found {
		return response{Outcome: outcomeCannotRelay}
	}
	if call.Operation == opReplicaNewest {
		batch, age, known := replica.Newest(call.ExcludedClasses)
		if !known {
			return response{Outcome: outcomeCannotRelay}
		}
		return response{Outcome: outcomeDone, Offset: batch.Next, Keyed: batch.Records, Age: age}
	}
	batch, age, err := replica.Read(ctx, call.Offset, min(call.Wait, maxRelayedWait), call.ExcludedClasses)
	if err != nil {
		return errorResponse(err)
	}
	return response{Outcome: outcomeDone, Offset: batch.Next, Keyed: batch.Records, Age: age}
}

func callLog(ctx context.Context, direct eventlog.Log, call request) response {
	wait := min(call.Wait, maxRelayedWait)
	switch call.Operation {
	case opAppend:
		// Writes continue after the sender disconnects, so that they are not interrupted with an unknown outcome.
		return appendResponse(direct.Append(context.WithoutCancel(ctx), call.partition(), call.Records))
	case opAppendAt:
		return appendResponse(direct.AppendAt(context.WithoutCancel(ctx), call.partition(), call.Offset, call.Records))
	case opPutKeyed:
		err := direct.PutKeyed(context.WithoutCancel(ctx), call.Topic, call.Keyed)
		return appendResponse(0, err)
	case opRead:
		batch, err := direct.Read(ctx, call.partition(), call.Offset, call.Limit, wait)
		if err != nil {
			return errorResponse(err)
		}
		return response{Outcome: outcomeDone, Offset: batch.First, End: batch.End, Records: batch.Records}
	case opNewest:
		return keyedResponse(direct.Newest(ctx, call.Topic))
	case opReadKeyed:
		return keyedResponse(direct.ReadKeyed(ctx, call.Topic, call.Offset, wait))
	default:
		return response{Outcome: outcomeNotDone, Detail: "unknown operation"}
	}
}

func appendResponse(offset int64, err error) response {
	if err != nil {
		return errorResponse(err)
	}
	return response{Outcome: outcomeDone, Offset: offset}
}

func keyedResponse(batch eventlog.KeyedBatch, err error) response {
	if err != nil {
		return errorResponse(err)
	}
	return response{Outcome: outcomeDone, Offset: batch.Next, Keyed: batch.Records}
}
