package demo

import (
	"fmt"
	"io"
	"sync"
	"time"
)

// reportInterval is the time between two progress lines.
const reportInterval = time.Second

// progress prints lines with the time since the start.
type progress struct {
	mu      sync.Mutex
	output  io.Writer
	started time.Time
}

func (p *progress) say(format string, arguments ...any) {
	p.mu.Lock()
	defer p.mu.Unlock()
	line := fmt.Sprintf(format, arguments...)
	_, _ = fmt.Fprintf(p.output, "%6.1fs  %s\n", time.Since(p.started).Seconds(), line)
}

// reportEvery prints a report at each interval until the returned function is
// called; no line follows after it returns.
func (p *progress) reportEvery(report func() string) func() {
	stop := make(chan struct{})
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		ticker := time.NewTicker(reportInterval)
		defer ticker.Stop()
		for {
			select {
			case <-ticker.C:
				p.say("%s", report())
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
