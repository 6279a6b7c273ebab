package demo

import (
	"fmt"
	"io"
	"sync"
	"time"
)

// reportInterval is the interval between progress reports.
const reportInterval = time.Second

// progress prints lines prefixed with the time since the start. It is safe for concurrent use.
type progress struct {
	mu      sync.Mutex
	output  io.Writer
	started time.Time
}

func (p *progress) printLine(format string, arguments ...any) {
	p.mu.Lock()
	defer p.mu.Unlock()
	line := fmt.Sprintf(format, arguments...)
	_, _ = fmt.Fprintf(p.output, "%6.1fs  %s\n", time.Since(p.started).Seconds(), line)
}

// startReporting prints a report every reportInterval until the returned function
// is called. No report is printed after that function returns.
func (p *progress) startReporting(report func() string) func() {
	stop := make(chan struct{})
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		ticker := time.NewTicker(reportInterval)
		defer ticker.Stop()
		for {
			select {
			case <-ticker.C:
				p.printLine("%s", report())
			case <-stop:
				return
			}
		}
	}()
	return func() {
		close(stop)
		<-stopped
	}
}
