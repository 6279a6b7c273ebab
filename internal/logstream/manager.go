package logstream

import (
	"context"
	"slices"
	"strconv"
	"sync"
	"time"
)

// Manager opens the streams of one process on one log service. It is safe for concurrent use.
type Manager struct {
	options  Options
	metrics  *metrics
	failures *failureLog

	mu      sync.Mutex
	streams map[string][]*TailedStream
	// openCounts counts the TailedStreams started for each stream name. Each appends under its own writer ID, so
	// that their sequence numbers do not collide.
	openCounts map[string]int
}

// NewManager returns a Manager without open streams.
func NewManager(options Options) *Manager {
	options = options.withDefaults()
	return &Manager{
		options:    options,
		metrics:    newMetrics(options.Registerer),
		failures:   newFailureLog(options.Logger, time.Now),
		streams:    make(map[string][]*TailedStream),
		openCounts: make(map[string]int),
	}
}

// Open starts tailing the stream into the reducer, which must be a new pointer. Opening the same stream with the
// same reducer again returns the same TailedStream and adds a reference; another reducer gets its own. Each Open
// needs one Close.
func (m *Manager) Open(name string, reducer Reducer, options StreamOptions) *TailedStream {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, stream := range m.streams[name] {
		if stream.reducer == reducer && stream.addReference() {
			return stream
		}
	}
	stream := newTailedStream(m, name, m.nextWriter(name), reducer, options)
	m.streams[name] = append(m.streams[name], stream)
	stream.start()
	return stream
}

// nextWriter returns the process's writer ID for the first TailedStream of a name, and a numbered one for later ones.
func (m *Manager) nextWriter(name string) string {
	m.openCounts[name]++
	if m.openCounts[name] == 1 {
		return m.options.Writer
	}
	return m.options.Writer + "~" + strconv.Itoa(m.openCounts[name])
}

// LastContact returns the time as of which a read last reached the end of the open stream: when the read was
// sent, or when its wait ended without records. It is the zero time if there was none, or if the stream is not
// open.
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

// Close closes all streams and waits until their proposals are resolved. If ctx ends first, it stops them and
// returns ctx's error; unresolved proposals then have an unknown outcome.
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

// remove removes a stopped stream.
func (m *Manager) remove(stream *TailedStream) {
	m.mu.Lock()
	defer m.mu.Unlock()
	remaining := slices.DeleteFunc(m.streams[stream.name], func(open *TailedStream) bool {
		return open == stream
	})
	if len(remaining) == 0 {
		delete(m.streams, stream.name)
		return
	}
	m.streams[stream.name] = remaining
}
