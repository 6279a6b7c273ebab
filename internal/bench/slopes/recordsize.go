package slopes

import (
	"context"

	"github.com/corkpulley/corkpulley/internal/core/idempotency"
	"github.com/corkpulley/corkpulley/internal/core/ledger"
	"github.com/corkpulley/corkpulley/internal/core/logrecord"
)

// recordSizeSweeps measure the bytes of log records; they have no noise.
func recordSizeSweeps() []sweep {
	terms := ledger.Terms{TrainerVersion: 12, Bound: 2, TableRevision: 3900}
	return []sweep{
		recordSize("bytes of a sample's record", RoleTrainerCoordinator, "bytes of text", ledger.KindSampleFilled,
			[]int{256, 1024, 4096, 16384}, func(size int) any { return hollowSample(1000, size) }),
		recordSize("bytes of a step's record", RoleTrainerCoordinator, "slots", ledger.KindStepSubmitted,
			[]int{256, 1024, 4096, 16384}, func(size int) any { return hollowStepSubmitted(size) }),
		recordSize("bytes of a delivery's record", RoleTrainerCoordinator, "samples", ledger.KindDelivered,
			[]int{1, 16, 64, 256}, func(size int) any { return ledger.Delivered{Samples: hollowKeys(size), Terms: terms} }),
		recordSize("bytes of an acknowledgement's record", RoleTrainerCoordinator, "samples", ledger.KindAcknowledged,
			[]int{1, 16, 64, 256}, func(size int) any {
				return ledger.Acknowledged{Token: 1 << 20, Samples: hollowKeys(size), Terms: terms}
			}),
		recordSize("bytes of a keyed request's result", RoleLogClient, "bytes of the outcome", idempotency.KindResult,
			[]int{256, 1024, 4096, 16384}, func(size int) any {
				return idempotency.Result{Key: hollowKey(1), IntentOffset: 1 << 20, Outcome: make([]byte, size), UnixMS: epoch.UnixMilli()}
			}),
		{
			name: "bytes of a ledger's snapshot", role: RoleTrainerCoordinator,
			size: "slots", unit: UnitBytes, sizes: []int{512, 1024, 2048, 4096}, repetitions: 1,
			measure: func(_ context.Context, size int) (float64, error) {
				filled, err := filledLedger(size)
				if err != nil {
					return 0, err
				}
				snapshot, err := filled.Snapshot()
				return float64(len(snapshot)), err
			},
		},
	}
}

func recordSize(name string, role Role, size string, kind logrecord.Kind, sizes []int, body func(size int) any) sweep {
	return sweep{
		name: name, role: role, size: size, unit: UnitBytes, sizes: sizes, repetitions: 1,
		measure: func(_ context.Context, size int) (float64, error) {
			writer := &recordWriter{}
			writer.add(kind, 1<<20, body(size))
			if writer.err != nil {
				return 0, writer.err
			}
			return float64(len(writer.records[0])), nil
		},
	}
}
