package scale

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"github.com/corkpulley/corkpulley/internal/platform/logservice"
	"github.com/corkpulley/corkpulley/internal/platform/machines"
	"github.com/corkpulley/corkpulley/internal/platform/weightstore"
)

const (
	// platformRegion is the region of the log, the store and the machine list.
	platformRegion = 0
	// clientTimeout is how long a client of the platform waits for an answer.
	clientTimeout = 10 * time.Second
)

var platformPlace = place{zone: "platform", region: platformRegion}

// memoryLog is the platform's log in memory.
type memoryLog struct {
	mu      sync.Mutex
	streams map[string]*memoryStream
}

type memoryStream struct {
	records [][]byte
	grown   chan struct{} // closed and replaced with each append
}

func newMemoryLog() *memoryLog { return &memoryLog{streams: make(map[string]*memoryStream)} }

// stream returns the stream; mu is held.
func (l *memoryLog) stream(name string) *memoryStream {
	found := l.streams[name]
	if found == nil {
		found = &memoryStream{grown: make(chan struct{})}
		l.streams[name] = found
	}
	return found
}

func (l *memoryLog) append(name string, records [][]byte) int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	stream := l.stream(name)
	offset := int64(len(stream.records))
	stream.records = append(stream.records, records...)
	close(stream.grown)
	stream.grown = make(chan struct{})
	return offset
}

// read returns what there is, and a channel that is closed when more comes.
func (l *memoryLog) read(name string, from int64, limit int) (logservice.Batch, <-chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	stream := l.stream(name)
	end := int64(len(stream.records))
	if from < 0 {
		from = max(0, end+from)
	}
	batch := logservice.Batch{End: end}
	for offset := from; offset < min(end, from+int64(limit)); offset++ {
		batch.Entries = append(batch.Entries, logservice.Entry{Offset: offset, Data: stream.records[offset]})
	}
	return batch, stream.grown
}

// platformClient is one node's client of the platform: the log, the machine
// list and the weight store.
type platformClient struct {
	world    *World
	endpoint *endpoint

	mu sync.Mutex
	// tag and list are the machine list last read, for conditional reads.
	tag  uint64
	list machines.List
}

var (
	_ logservice.Service = (*platformClient)(nil)
	_ machines.Source    = (*platformClient)(nil)
	_ weightstore.Store  = (*platformClient)(nil)
)

// cutOff reports whether the platform can't be reached.
func (c *platformClient) cutOff() bool {
	at := c.endpoint.place
	return c.endpoint.silent.Load() || !c.world.network.passes(at, platformPlace) || c.world.noLog.Load() == int64(at.region)
}

// travel waits for the way to the platform and back; it fails when there is none.
func (c *platformClient) travel(ctx context.Context) error {
	network := c.world.network
	if c.cutOff() {
		ctx, cancel := context.WithTimeout(ctx, clientTimeout)
		defer cancel()
		<-ctx.Done()
		return errSilent
	}
	return sleep(ctx, 2*network.latency.between(c.endpoint.place, platformPlace))
}

// Append implements logservice.Service.
func (c *platformClient) Append(ctx context.Context, stream string, records [][]byte) (int64, error) {
	if err := c.travel(ctx); err != nil {
		return 0, errors.Wrap(logservice.ErrUnknown, err.Error())
	}
	c.world.network.traffic.platform(classLog, base64Size(records), 0)
	return c.world.log.append(stream, records), nil
}

// Read implements logservice.Service.
func (c *platformClient) Read(
	ctx context.Context, stream string, from int64, limit int, wait time.Duration,
) (logservice.Batch, error) {
	if err := c.travel(ctx); err != nil {
		return logservice.Batch{}, errors.Wrap(logservice.ErrUnavailable, err.Error())
	}
	batch, grown := c.world.log.read(stream, from, limit)
	if len(batch.Entries) == 0 && wait > 0 {
		timer := time.NewTimer(wait)
		defer timer.Stop()
		select {
		case <-grown:
		case <-timer.C:
		case <-ctx.Done():
			return logservice.Batch{}, errors.Wrap(logservice.ErrUnavailable, ctx.Err().Error())
		}
		batch, _ = c.world.log.read(stream, from, limit)
	}
	if c.cutOff() {
		return logservice.Batch{}, errors.Wrap(logservice.ErrUnavailable, errSilent.Error())
	}
	c.world.network.traffic.platform(classLog, 0, entriesSize(batch.Entries))
	return batch, nil
}

// base64Size is the size of records in JSON: base64 with some syntax.
func base64Size(records [][]byte) int {
	size := 0
	for _, record := range records {
		size += len(record)*4/3 + 8
	}
	return size
}

func entriesSize(entries []logservice.Entry) int {
	size := 0
	for _, entry := range entries {
		size += len(entry.Data)*4/3 + 32
	}
	return size
}

// List implements machines.Source. As the real client does, it asks for the
// list only if it changed; a changed list is decoded anew.
func (c *platformClient) List(ctx context.Context) (machines.List, error) {
	if err := c.travel(ctx); err != nil {
		return machines.List{}, err
	}
	encoded, tag := c.world.machineList()
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.tag == tag {
		c.world.network.traffic.platform(classMachines, 0, 0)
		return c.list, nil
	}
	c.world.network.traffic.platform(classMachines, 0, len(encoded))
	var list machines.List
	if err := json.Unmarshal(encoded, &list); err != nil {
		return machines.List{}, err
	}
	c.tag, c.list = tag, list
	return list, nil
}

// Info implements weightstore.Store.
func (c *platformClient) Info(ctx context.Context, model string) (weightstore.ModelInfo, error) {
	if err := c.travel(ctx); err != nil {
		return weightstore.ModelInfo{}, err
	}
	info := weightstore.ModelInfo{Model: model, Latest: c.world.latest.Load()}
	const infoSize = 40
	c.world.network.traffic.platform(classStore, 0, infoSize)
	return info, nil
}

// Publish implements weightstore.Store; the bench publishes by itself.
func (c *platformClient) Publish(context.Context, string, weightstore.PublishRequest) error {
	return errors.New("publishing is not part of this bench")
}
