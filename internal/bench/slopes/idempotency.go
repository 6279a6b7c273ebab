package slopes

import (
	"context"
	"fmt"

	"github.com/go-faster/errors"

	"github.com/corkpulley/corkpulley/internal/core/idempotency"
	"github.com/corkpulley/corkpulley/internal/core/logrecord"
)

func idempotencySweeps() []sweep {
	return []sweep{
		{
			name: "keyed requests' intents applied", role: RoleLogClient,
			size: "records", unit: UnitMicroseconds, sizes: []int{2048, 4096, 8192, 16384}, repetitions: 2,
			measure: func(_ context.Context, size int) (float64, error) {
				encoded, err := intentRecords(size)
				if err != nil {
					return 0, err
				}
				return processorMicroseconds(func() error { _, err := keysOf(encoded); return err })
			},
		},
		{
			name: "bytes of a keyed shard's snapshot", role: RoleLogClient,
			size: "keys", unit: UnitBytes, sizes: []int{4096, 8192, 16384, 32768}, repetitions: 1,
			measure: func(_ context.Context, size int) (float64, error) {
				snapshot, err := keysSnapshot(size)
				return float64(len(snapshot)), err
			},
		},
		{
			name: "keyed shard restored from a snapshot", role: RoleLogClient,
			size: "keys", unit: UnitMicroseconds, sizes: []int{2048, 4096, 8192, 16384}, repetitions: 2,
			measure: func(_ context.Context, size int) (float64, error) {
				snapshot, err := keysSnapshot(size)
				if err != nil {
					return 0, err
				}
				return processorMicroseconds(func() error { return idempotency.NewReducer().Restore(snapshot) })
			},
		},
		{
			name: "memory of idempotency keys", role: RoleLogClient,
			size: "keys", unit: UnitBytes, sizes: []int{2048, 4096, 8192, 16384}, repetitions: 2,
			measure: func(_ context.Context, size int) (float64, error) {
				return bytesHeld(func() (any, error) {
					encoded, err := intentRecords(size)
					if err != nil {
						return nil, err
					}
					return keysOf(encoded)
				})
			},
		},
	}
}

func hollowKey(index int) string {
	return fmt.Sprintf("permit-desk/0b7c1d9e-4f4e-4d5c-9d1c-%012d", index)
}

func intentRecords(count int) ([][]byte, error) {
	writer := &recordWriter{}
	for index := range count {
		writer.add(idempotency.KindIntent, 0, idempotency.Intent{
			Key: hollowKey(index), Fingerprint: "0123456789abcdef0123456789abcdef", UnixMS: epoch.UnixMilli(),
		})
	}
	return writer.records, writer.err
}

func keysSnapshot(keys int) ([]byte, error) {
	encoded, err := intentRecords(keys)
	if err != nil {
		return nil, err
	}
	reducer, err := keysOf(encoded)
	if err != nil {
		return nil, err
	}
	return reducer.Snapshot()
}

// keysOf returns the reducer after the records.
func keysOf(encoded [][]byte) (*idempotency.Reducer, error) {
	reducer := idempotency.NewReducer()
	for offset, data := range encoded {
		record, err := logrecord.Decode(data)
		if err != nil {
			return nil, err
		}
		if verdict := reducer.Apply(int64(offset), record); verdict != logrecord.Accepted {
			return nil, errors.Errorf("intent %d is %s", offset, verdict)
		}
	}
	return reducer, nil
}
