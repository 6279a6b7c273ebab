package duties

import (
	"context"
	"maps"
	"sync"

	"github.com/corkpulley/corkpulley/internal/core/usage"
)

// fakePlatform checks fencing tokens like the platform and records the accepted calls.
type fakePlatform struct {
	mu sync.Mutex
	// answer, if set, overrides the answer when it returns true.
	answer  func() (Answer, bool)
	fence   map[string]int64
	reports map[usage.Window]usage.Counts
	// calls counts the received reports. changed counts those that differ from an earlier report of the window.
	calls   int
	changed int
	orders  []EngineOrder
}

func newFakePlatform() *fakePlatform {
	return &fakePlatform{fence: make(map[string]int64), reports: make(map[usage.Window]usage.Counts)}
}

// accept returns the answer to a call and whether the call takes effect. Must be called with mu held.
func (p *fakePlatform) accept(subject string, holder Holder) (Answer, bool) {
	if p.answer != nil {
		if answer, given := p.answer(); given {
			return answer, answer == Unanswered
		}
	}
	if holder.Fence < p.fence[subject] {
		return Conflict, false
	}
	p.fence[subject] = holder.Fence
	return Done, true
}

func (p *fakePlatform) ReportUsage(
	_ context.Context, holder Holder, window usage.Window, counts usage.Counts,
) (Answer, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.calls++
	answer, takesEffect := p.accept(usageSubject, holder)
	if takesEffect {
		if known, found := p.reports[window]; found && !maps.Equal(known, counts) {
			p.changed++
		}
		p.reports[window] = maps.Clone(counts)
	}
	return answer, nil
}

func (p *fakePlatform) OrderEngines(_ context.Context, holder Holder, order EngineOrder) (Answer, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	answer, takesEffect := p.accept(order.Service+"/"+order.Zone, holder)
	if takesEffect {
		p.orders = append(p.orders, order)
	}
	return answer, nil
}

func (p *fakePlatform) reported(window usage.Window) (usage.Counts, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	counts, found := p.reports[window]
	return counts, found
}
