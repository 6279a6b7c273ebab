package logrelay

import (
	"context"
	"net/http"
	"time"

	"github.com/go-faster/errors"

	"github.com/corkpulley/corkpulley/internal/common/msgpackhttp"
	"github.com/corkpulley/corkpulley/internal/eventlog"
)

const (
	// callTimeout limits a relayed call, in addition to the time that a read may wait.
	callTimeout      = 1500 * time.Millisecond
	maxResponseBytes = 8 << 20
)

// relayClient calls the log through one other node. It implements eventlog.Log.
type relayClient struct {
	client  *http.Client
	address string
}

var _ eventlog.Log = (*relayClient)(nil)

func (c *relayClient) call(ctx context.Context, call request) (response, error) {
	ctx, cancel := context.WithTimeout(ctx, call.Wait+callTimeout)
	defer cancel()
	post := msgpackhttp.Call
	if call.isWrite() {
		post = msgpackhttp.CallExpectContinue
		call.SenderTimeout = callTimeout
	}
	var decoded response
	if err := post(ctx, c.client, "http://"+c.address+Path, &call, &decoded, maxResponseBytes); err != nil {
		return response{}, errors.Wrap(eventlog.ErrOutcomeUnknown, "call relayed by "+c.address+": "+err.Error())
	}
	return decoded, decoded.err()
}

// Append implements eventlog.Log.
func (c *relayClient) Append(ctx context.Context, partition eventlog.Partition, records [][]byte) (int64, error) {
	answer, err := c.call(ctx, request{
		Operation: opAppend, Topic: partition.Topic, Number: partition.Number, Records: records,
	})
	return answer.Offset, err
}

// AppendAt implements eventlog.Log.
func (c *relayClient) AppendAt(
	ctx context.Context, partition eventlog.Partition, end int64, records [][]byte,
) (int64, error) {
	answer, err := c.call(ctx, request{
		Operation: opAppendAt, Topic: partition.Topic, Number: partition.Number, Offset: end, Records: records,
	})
	return answer.Offset, err
}

// Read implements eventlog.Log.
func (c *relayClient) Read(
	ctx context.Context, partition eventlog.Partition, from int64, limit int, wait time.Duration,
) (eventlog.Batch, error) {
	answer, err := c.call(ctx, request{
		Operation: opRead, Topic: partition.Topic, Number: partition.Number,
		Offset: from, Limit: limit, Wait: min(wait, maxRelayedWait),
	})
	if err != nil {
		return eventlog.Batch{}, err
	}
	return eventlog.Batch{First: answer.Offset, End: answer.End, Records: answer.Records}, nil
}

// PutKeyed implements eventlog.Log.
func (c *relayClient) PutKeyed(ctx context.Context, topic string, records []eventlog.KeyedRecord) error {
	_, err := c.call(ctx, request{Operation: opPutKeyed, Topic: topic, Keyed: records})
	return err
}

// Newest implements eventlog.Log.
func (c *relayClient) Newest(ctx context.Context, topic string) (eventlog.KeyedBatch, error) {
	answer, err := c.call(ctx, request{Operation: opNewest, Topic: topic})
	return eventlog.KeyedBatch{Records: answer.Keyed, Next: answer.Offset}, err
}

// ReadKeyed implements eventlog.Log.
func (c *relayClient) ReadKeyed(
	ctx context.Context, topic string, from int64, wait time.Duration,
) (eventlog.KeyedBatch, error) {
	answer, err := c.call(ctx, request{
		Operation: opReadKeyed, Topic: topic, Offset: from, Wait: min(wait, maxRelayedWait),
	})
	return eventlog.KeyedBatch{Records: answer.Keyed, Next: answer.Offset}, err
}
