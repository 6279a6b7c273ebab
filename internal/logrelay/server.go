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
	// Path is where other nodes send their calls.
	Path = "/log"
	// maxRequestBytes bounds a call; a call of the log may have 2 MiB.
	maxRequestBytes = 4 << 20
	// maxWait bounds how long a read of another node is held.
	maxWait = 2 * time.Second
)

// Replicas are the followed topics that a node hands to others.
type Replicas interface {
	// Replica returns what the node has read of a topic itself; false when it reads it
	// through another node or not at all.
	Replica(topic string) (Replica, bool)
}

// Replica is what a node has read of a topic; see follow.Replica.
type Replica interface {
	Newest(leftOut []string) (eventlog.KeyedBatch, time.Duration, bool)
	Read(
		ctx context.Context, from int64, wait time.Duration, leftOut []string,
	) (eventlog.KeyedBatch, time.Duration, error)
}

// NewHandler serves calls of other nodes with the node's own connection to the
// log, never by way of a third one. While able is false it tells them at once to
// ask another node.
func NewHandler(direct eventlog.Log, able func() bool, replicas Replicas) http.Handler {
	router := mux.NewRouter()
	router.HandleFunc(Path, func(w http.ResponseWriter, r *http.Request) {
		began := boottime.Now()
		msgpackhttp.Handle(maxRequestBytes, func(ctx context.Context, call request) response {
			if call.writes() && isLate(ctx, call, boottime.Now().Sub(began)) {
				return response{Outcome: notDone, Detail: "its sender has left"}
			}
			return answer(ctx, direct, able, replicas, call)
		}).ServeHTTP(w, r)
	}).Methods(http.MethodPost)
	return router
}

// isLate tells whether the sender of a call has left. It waited still when it was asked for the
// call, but this node may have stood still since.
func isLate(ctx context.Context, call request, age time.Duration) bool {
	return ctx.Err() != nil || call.Patience > 0 && age > call.Patience
}

func answer(
	ctx context.Context, direct eventlog.Log, able func() bool, replicas Replicas, call request,
) response {
	switch {
	case call.Operation == opReplicaNewest || call.Operation == opReplicaRead:
		return serveReplica(ctx, replicas, call)
	case !able():
		return response{Outcome: noWay}
	default:
		return serve(ctx, direct, call)
	}
}

// serveReplica answers from what the node has read itself.
func serveReplica(ctx context.Context, replicas Replicas, call request) response {
	replica, found := replicas.Replica(call.Topic)
	if !found {
		return response{Outcome: noWay}
	}
	if call.Operation == opReplicaNewest {
		batch, age, known := replica.Newest(call.LeftOut)
		if !known {
			return response{Outcome: noWay}
		}
		return response{Outcome: done, Offset: batch.Next, Keyed: batch.Records, Age: age}
	}
	batch, age, err := replica.Read(ctx, call.Offset, min(call.Wait, maxWait), call.LeftOut)
	if err != nil {
		return failed(err)
	}
	return response{Outcome: done, Offset: batch.Next, Keyed: batch.Records, Age: age}
}

func serve(ctx context.Context, direct eventlog.Log, call request) response {
	wait := min(call.Wait, maxWait)
	switch call.Operation {
	case opAppend:
		// The call goes on when its sender leaves: half a call would have no outcome.
		return appended(direct.Append(context.WithoutCancel(ctx), call.partition(), call.Records))
	case opAppendAt:
		return appended(direct.AppendAt(context.WithoutCancel(ctx), call.partition(), call.Offset, call.Records))
	case opPutKeyed:
		err := direct.PutKeyed(context.WithoutCancel(ctx), call.Topic, call.Keyed)
		return appended(0, err)
	case opRead:
		batch, err := direct.Read(ctx, call.partition(), call.Offset, call.Limit, wait)
		if err != nil {
			return failed(err)
		}
		return response{Outcome: done, Offset: batch.First, End: batch.End, Records: batch.Records}
	case opNewest:
		return keyed(direct.Newest(ctx, call.Topic))
	case opReadKeyed:
		return keyed(direct.ReadKeyed(ctx, call.Topic, call.Offset, wait))
	default:
		return response{Outcome: notDone, Detail: "unknown operation"}
	}
}

func appended(offset int64, err error) response {
	if err != nil {
		return failed(err)
	}
	return response{Outcome: done, Offset: offset}
}

func keyed(batch eventlog.KeyedBatch, err error) response {
	if err != nil {
		return failed(err)
	}
	return response{Outcome: done, Offset: batch.Next, Keyed: batch.Records}
}
