package process

import (
	"bytes"
	"io"
	"os"
	"path/filepath"
	"sync"
)

// Bounds of the output buffered in memory for one process. The log is truncated
// to minKeptLines when it exceeds twice that number.
const (
	minKeptLines = 4096
	maxLineBytes = 64 << 10
)

// lineLog buffers the last output lines of a process and appends all lines to
// a file, if one is set.
type lineLog struct {
	mu   sync.Mutex
	file *os.File
	// first is the line number of kept[0]; lines are numbered from 0.
	first   int
	kept    []string
	changed chan struct{}
}

func newLineLog(path string) (*lineLog, error) {
	log := &lineLog{changed: make(chan struct{})}
	if path == "" {
		return log, nil
	}
	if err := os.MkdirAll(filepath.Dir(path), 0o755); err != nil {
		return nil, err
	}
	file, err := os.OpenFile(path, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return nil, err
	}
	log.file = file
	return log, nil
}

// writer returns a new writer that splits its input into lines and appends
// them to the log.
func (l *lineLog) writer() io.Writer { return &lineWriter{log: l} }

func (l *lineLog) append(line string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.file != nil {
		_, _ = l.file.WriteString(line + "\n")
	}
	l.kept = append(l.kept, line)
	if len(l.kept) > 2*minKeptLines {
		dropped := len(l.kept) - minKeptLines
		l.first += dropped
		l.kept = append([]string(nil), l.kept[dropped:]...)
	}
	close(l.changed)
	l.changed = make(chan struct{})
}

// since returns the buffered lines from line number next on, the number of the
// line that will follow them, and a channel that is closed when it is appended.
func (l *lineLog) since(next int) ([]string, int, <-chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	from := max(next-l.first, 0)
	lines := append([]string(nil), l.kept[min(from, len(l.kept)):]...)
	return lines, l.first + len(l.kept), l.changed
}

func (l *lineLog) lines() []string {
	lines, _, _ := l.since(0)
	return lines
}

func (l *lineLog) close() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.file != nil {
		_ = l.file.Close()
		l.file = nil
	}
}

// lineWriter splits its input into lines. It must not be used concurrently.
type lineWriter struct {
	log     *lineLog
	partial []byte
}

// Write implements io.Writer. Lines longer than maxLineBytes are split.
func (w *lineWriter) Write(data []byte) (int, error) {
	w.partial = append(w.partial, data...)
	for {
		end := bytes.IndexByte(w.partial, '\n')
		if end < 0 {
			break
		}
		w.log.append(string(w.partial[:end]))
		w.partial = w.partial[end+1:]
	}
	if len(w.partial) > maxLineBytes {
		w.log.append(string(w.partial))
		w.partial = nil
	}
	return len(data), nil
}
