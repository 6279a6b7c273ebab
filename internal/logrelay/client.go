package logrelay

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"time"

	"github.com/go-faster/errors"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/corkpulley/corkpulley/internal/core/msgpackguard"
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
	raw, err := msgpack.Marshal(&call)
	if err != nil {
		return response{}, errors.Wrap(err, "encode the call")
	}
	target := "http://" + p.address + Path
	sent, err := http.NewRequestWithContext(ctx, http.MethodPost, target, bytes.NewReader(raw))
	if err != nil {
		return response{}, errors.Wrap(err, "build the call")
	}
	// Without GetBody the transport never sends the call a second time.
	sent.GetBody = nil
	answer, err := p.client.Do(sent)
	if err != nil {
		return response{}, errors.Wrap(eventlog.ErrOutcomeUnknown, err.Error())
	}
	defer answer.Body.Close()
	content, err := io.ReadAll(io.LimitReader(answer.Body, maxResponseBytes))
	if err == nil && answer.StatusCode != http.StatusOK {
		err = errors.Errorf("status %d", answer.StatusCode)
	}
	if err == nil {
		err = msgpackguard.Check(content)
	}
	var decoded response
	if err == nil {
		err = msgpack.Unmarshal(content, &decoded)
	}
	if err != nil {
		return response{}, errors.Wrap(eventlog.ErrOutcomeUnknown, "answer of "+p.address+": "+err.Error())
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
