package logstream

import (
	"context"
	"slices"
	"strconv"
	"sync"
	"time"
)

// Manager opens the streams of one process over one log service.
type Manager struct {
	options  Options
	metrics  *metrics
	failures *failureLog

	mu      sync.Mutex
	streams map[string][]*TailedStream
	// opens counts the runtimes ever started for a stream name: each one
	// writes under a writer ID of its own, so that sequences never clash.
	opens map[string]int
}

// NewManager returns a Manager without open streams.
func NewManager(options Options) *Manager {
	options = options.withDefaults()
	return &Manager{
		options:  options,
		metrics:  newMetrics(options.Registerer),
		failures: newFailureLog(options.Logger, time.Now),
		streams:  make(map[string][]*TailedStream),
		opens:    make(map[string]int),
	}
}

// Open starts to tail the stream into the reducer (a pointer, freshly made).
// Opening the same stream with the same reducer again shares the runtime and
// counts a reference; another reducer gets a runtime of its own. Each Open
// needs one Close.
func (m *Manager) Open(name string, reducer Reducer, options StreamOptions) *TailedStream {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, stream := range m.streams[name] {
		if stream.reducer == reducer && stream.share() {
			return stream
		}
	}
	stream := newTailedStream(m, name, m.nextWriter(name), reducer, options)
	m.streams[name] = append(m.streams[name], stream)
	stream.start()
	return stream
}

// nextWriter returns the plain writer ID for the first runtime of a name and a
// numbered one for each later runtime.
func (m *Manager) nextWriter(name string) string {
	m.opens[name]++
	if m.opens[name] == 1 {
		return m.options.Writer
	}
	return m.options.Writer + "~" + strconv.Itoa(m.opens[name])
}

// LastContact returns as of when a read of the open stream last reached its end: when
// the read was sent, or had waited in vain. It is the zero time when none did, or
// when the stream is not open.
func (m *Manager) LastContact(stream string) time.Time {
	m.mu.Lock()
	defer m.mu.Unlock()
	var latest time.Time
	for _, open := range m.streams[stream] {
		if contact := open.contact(); contact.After(latest) {
			latest = contact
		}
	}
	return latest
}

// Close closes all streams and waits until their proposals have verdicts. When
// ctx ends first it stops them as they are and returns ctx's error: what they
// still had to append has an unknown outcome.
func (m *Manager) Close(ctx context.Context) error {
	open := m.openStreams()
	for _, stream := range open {
		stream.closeAll()
	}
	for _, stream := range open {
		select {
		case <-stream.stopped:
		case <-ctx.Done():
		}
	}
	for _, stream := range open {
		stream.cancel()
		<-stream.stopped
	}
	return ctx.Err()
}

func (m *Manager) openStreams() []*TailedStream {
	m.mu.Lock()
	defer m.mu.Unlock()
	var open []*TailedStream
	for _, streams := range m.streams {
		open = append(open, streams...)
	}
	return open
}

// forget drops a stopped stream.
func (m *Manager) forget(stream *TailedStream) {
	m.mu.Lock()
	defer m.mu.Unlock()
	left := slices.DeleteFunc(m.streams[stream.name], func(open *TailedStream) bool {
		return open == stream
	})
	if len(left) == 0 {
		delete(m.streams, stream.name)
		return
	}
	m.streams[stream.name] = left
}
