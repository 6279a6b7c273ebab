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
	// callTimeout bounds a call by way of another node beyond the time that it
	// may wait there.
	callTimeout = 1500 * time.Millisecond
	// maxResponseBytes bounds an answer.
	maxResponseBytes = 8 << 20
)

// peer is another node by whose way the log is called. It implements eventlog.Log.
type peer struct {
	client  *http.Client
	address string
}

var _ eventlog.Log = (*peer)(nil)

func (p *peer) call(ctx context.Context, call request) (response, error) {
	ctx, cancel := context.WithTimeout(ctx, call.Wait+callTimeout)
	defer cancel()
	ask := msgpackhttp.Ask
	if call.writes() {
		ask = msgpackhttp.AskOnceHeard
		call.Patience = callTimeout
	}
	var decoded response
	if err := ask(ctx, p.client, "http://"+p.address+Path, &call, &decoded, maxResponseBytes); err != nil {
		return response{}, errors.Wrap(eventlog.ErrOutcomeUnknown, "through "+p.address+": "+err.Error())
	}
	return decoded, decoded.err()
}

// Append implements eventlog.Log.
func (p *peer) Append(ctx context.Context, partition eventlog.Partition, records [][]byte) (int64, error) {
	answer, err := p.call(ctx, request{
		Operation: opAppend, Topic: partition.Topic, Number: partition.Number, Records: records,
	})
	return answer.Offset, err
}

// AppendAt implements eventlog.Log.
func (p *peer) AppendAt(
	ctx context.Context, partition eventlog.Partition, end int64, records [][]byte,
) (int64, error) {
	answer, err := p.call(ctx, request{
		Operation: opAppendAt, Topic: partition.Topic, Number: partition.Number, Offset: end, Records: records,
	})
	return answer.Offset, err
}

// Read implements eventlog.Log.
func (p *peer) Read(
	ctx context.Context, partition eventlog.Partition, from int64, limit int, wait time.Duration,
) (eventlog.Batch, error) {
	answer, err := p.call(ctx, request{
		Operation: opRead, Topic: partition.Topic, Number: partition.Number,
		Offset: from, Limit: limit, Wait: min(wait, maxWait),
	})
	if err != nil {
		return eventlog.Batch{}, err
	}
	return eventlog.Batch{First: answer.Offset, End: answer.End, Records: answer.Records}, nil
}

// PutKeyed implements eventlog.Log.
func (p *peer) PutKeyed(ctx context.Context, topic string, records []eventlog.KeyedRecord) error {
	_, err := p.call(ctx, request{Operation: opPutKeyed, Topic: topic, Keyed: records})
	return err
}

// Newest implements eventlog.Log.
func (p *peer) Newest(ctx context.Context, topic string) (eventlog.KeyedBatch, error) {
	answer, err := p.call(ctx, request{Operation: opNewest, Topic: topic})
	return eventlog.KeyedBatch{Records: answer.Keyed, Next: answer.Offset}, err
}

// ReadKeyed implements eventlog.Log.
func (p *peer) ReadKeyed(
	ctx context.Context, topic string, from int64, wait time.Duration,
) (eventlog.KeyedBatch, error) {
	answer, err := p.call(ctx, request{Operation: opReadKeyed, Topic: topic, Offset: from, Wait: min(wait, maxWait)})
	return eventlog.KeyedBatch{Records: answer.Keyed, Next: answer.Offset}, err
}
