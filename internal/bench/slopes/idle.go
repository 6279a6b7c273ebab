package slopes

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/go-faster/errors"

	"github.com/corkpulley/corkpulley/internal/engine"
)

// idleSweeps measure what a node does all the time, also without requests.
func idleSweeps() []sweep {
	return []sweep{
		{
			name: "load reports of engines", role: RoleDispatcher,
			size: "reports", unit: UnitMicroseconds, sizes: []int{250, 500, 1000, 2000}, repetitions: 3,
			measure: watchReports,
		},
		{
			name: "idle polls of the log", role: RoleLogClient,
			size: "polls", unit: UnitMicroseconds, sizes: []int{25, 50, 100, 200}, repetitions: 2,
			measure: idlePolls,
		},
	}
}

// errEnoughReports ends a watch stream.
var errEnoughReports = errors.New("the engine reported often enough")

// watchReports returns the processor time to receive so many load reports on
// one watch stream; the hollow engine that writes and flushes each counts too.
func watchReports(ctx context.Context, reports int) (float64, error) {
	adapter := newEngineAdapter()
	defer adapter.close()
	adapter.set(answerShape{chunks: reports})
	received := 0
	return processorMicroseconds(func() error {
		ctx, cancel := context.WithCancelCause(ctx)
		defer cancel(nil)
		err := adapter.client.Watch(ctx, adapter.address, time.Second, func(engine.Event) {
			received++
			if received == reports {
				cancel(errEnoughReports)
			}
		})
		if received < reports {
			return errors.Errorf("%d reports of %d: %v", received, reports, err)
		}
		return nil
	})
}

// watch writes as many status events as the shape has chunks, then waits.
func (a *engineAdapter) watch(writer http.ResponseWriter, request *http.Request) {
	status := hollowStatus(hollowEngineID(1))
	line, err := json.Marshal(engine.Event{Kind: engine.EventStatus, Status: &status})
	if err != nil {
		panic(err) // a status always encodes
	}
	line = append(line, '\n')
	controller := http.NewResponseController(writer)
	for range a.get().chunks {
		if _, err := writer.Write(line); err != nil {
			return
		}
		if err := controller.Flush(); err != nil {
			return
		}
	}
	<-request.Context().Done()
}

// idlePolls returns the processor time of so many reads that wait in vain.
func idlePolls(ctx context.Context, polls int) (float64, error) {
	const shortWait = time.Millisecond
	log := openHollowLog()
	defer log.close()
	return processorMicroseconds(func() error {
		for range polls {
			batch, err := log.service.Read(ctx, "config", 0, 1, shortWait)
			if err != nil {
				return errors.Wrap(err, "poll")
			}
			if len(batch.Entries) > 0 {
				return errors.Errorf("%d records in an empty stream", len(batch.Entries))
			}
		}
		return nil
	})
}
