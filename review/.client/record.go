package main

import (
	"bufio"
	"fmt"
	"os"
	"sync"
	"time"
)

// record is the log of a case: what was sent, answered and run, with the seconds since its start.
type record struct {
	mu      sync.Mutex
	began   time.Time
	file    *os.File
	writer  *bufio.Writer
	brokenN int
}

func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{began: time.Now(), file: file, writer: bufio.NewWriter(file)}, nil
}

func (r *record) note(format string, arguments ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.line(format, arguments...)
}

// line must be called with mu held.
func (r *record) line(format string, arguments ...any) {
	_, _ = fmt.Fprintf(r.writer, "%8.3f  %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, arguments...))
}

// violation records a breach of the rule under test.
func (r *record) violation(format string, arguments ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.brokenN++
	r.line("BROKEN: "+format, arguments...)
}

func (r *record) violations() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.brokenN
}

func (r *record) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.writer.Flush()
	_ = r.file.Close()
}
