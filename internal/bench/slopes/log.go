package slopes

import (
	"context"
	"net/http"
	"net/http/httptest"

	"github.com/go-faster/errors"
	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	"github.com/corkpulley/corkpulley/internal/core/ledger"
	"github.com/corkpulley/corkpulley/internal/core/logrecord"
	"github.com/corkpulley/corkpulley/internal/logstream"
	"github.com/corkpulley/corkpulley/internal/platform/logservice"
	standin "github.com/corkpulley/corkpulley/internal/standin/logservice"
)

// appendConcurrency is how many proposals of one stream wait at once, which
// group commit puts into one append.
const appendConcurrency = 64

func logSweeps() []sweep {
	return []sweep{
		{
			name: "log append and read back", role: RoleLogClient,
			size: "records", unit: UnitMicroseconds, sizes: []int{512, 1024, 1536, 2048}, repetitions: 2,
			measure: logAppend,
		},
		{
			name: "log replay", role: RoleLogClient,
			size: "records", unit: UnitMicroseconds, sizes: []int{256, 512, 1024, 2048}, repetitions: 2,
			measure: logReplay,
		},
	}
}

// hollowLog is the log's stand-in behind the real HTTP adapter. The stand-in's
// processor time counts too: an upper bound.
type hollowLog struct {
	closers
	service logservice.Service
}

func openHollowLog() *hollowLog {
	opened := &hollowLog{}
	server := httptest.NewServer(standin.New(standin.Config{}).Handler())
	opened.add(server.Close)
	opened.service = logservice.NewHTTP(server.URL, &http.Client{})
	return opened
}

// logAppend returns the processor time to propose so many filled samples to a
// ledger's stream and to read each back.
func logAppend(ctx context.Context, records int) (float64, error) {
	log := openHollowLog()
	defer log.close()
	manager := logstream.NewManager(logstream.Options{Service: log.service, Writer: hollowWriter, Logger: zerolog.Nop()})
	defer closeManager(manager)
	stream := manager.Open(ledger.StreamName(hollowTrainer), ledger.New(), logstream.StreamOptions{})
	epochInForce, err := claimLedger(ctx, stream, records)
	if err != nil {
		return 0, err
	}
	return processorMicroseconds(func() error { return proposeSamples(ctx, stream, epochInForce, records) })
}

// claimLedger claims the stream and submits a step with enough slots.
func claimLedger(ctx context.Context, stream logstream.Stream, slots int) (int64, error) {
	claimed, err := propose(ctx, stream, logstream.Proposal{
		Kind: logrecord.KindClaim, Body: logrecord.Claim{Node: "node-001", Address: "10.0.0.1:7400"},
	})
	if err != nil {
		return 0, err
	}
	epochInForce := logrecord.EpochOfClaim(claimed.Offset)
	_, err = propose(ctx, stream, logstream.Proposal{
		Kind: ledger.KindStepSubmitted, Epoch: epochInForce, Body: hollowStepSubmitted(slots),
	})
	return epochInForce, err
}

func proposeSamples(ctx context.Context, stream logstream.Stream, epochInForce int64, count int) error {
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(appendConcurrency)
	for slot := range count {
		group.Go(func() error {
			_, err := propose(ctx, stream, logstream.Proposal{
				Kind: ledger.KindSampleFilled, Epoch: epochInForce, Body: hollowSample(slot, sampleTextBytes),
			})
			return err
		})
	}
	return group.Wait()
}

// propose fails unless the record is accepted.
func propose(ctx context.Context, stream logstream.Stream, proposal logstream.Proposal) (logstream.Outcome, error) {
	outcome, err := stream.Propose(ctx, proposal)
	if err != nil {
		return outcome, errors.Wrapf(err, "propose %s", proposal.Kind)
	}
	if outcome.Verdict != logrecord.Accepted {
		return outcome, errors.Errorf("%s at %d is %s", proposal.Kind, outcome.Offset, outcome.Verdict)
	}
	return outcome, nil
}

// logReplay returns the processor time of a new owner that reads so many
// records of filled samples without a snapshot.
func logReplay(ctx context.Context, records int) (float64, error) {
	const recordsPerAppend = 256
	log := openHollowLog()
	defer log.close()
	encoded, err := ledgerRecords(records)
	if err != nil {
		return 0, err
	}
	name := ledger.StreamName(hollowTrainer)
	for first := 0; first < len(encoded); first += recordsPerAppend {
		part := encoded[first:min(first+recordsPerAppend, len(encoded))]
		if _, err := log.service.Append(ctx, name, part); err != nil {
			return 0, err
		}
	}
	return processorMicroseconds(func() error {
		manager := logstream.NewManager(logstream.Options{Service: log.service, Writer: "node-002-reader", Logger: zerolog.Nop()})
		defer closeManager(manager)
		stream := manager.Open(name, ledger.New(), logstream.StreamOptions{})
		if err := stream.CatchUp(ctx); err != nil {
			return errors.Wrap(err, "catch up")
		}
		if stream.Applied() != int64(len(encoded)) {
			return errors.Errorf("%d records applied, expected %d", stream.Applied(), len(encoded))
		}
		return nil
	})
}

func closeManager(manager *logstream.Manager) {
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	_ = manager.Close(ctx)
}
