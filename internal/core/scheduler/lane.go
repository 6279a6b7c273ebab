package scheduler

import (
	"container/heap"
	"strings"
)

// laneKey is the set of item properties that determine its eligible engines. If no
// engine can run the head of a lane, none can run the rest of the lane.
type laneKey struct {
	service    string
	model      string
	minVersion uint64
	excluded   string
}

func laneKeyOf(item *Item) laneKey {
	return laneKey{
		service:    item.Service,
		model:      item.Model,
		minVersion: item.MinVersion,
		excluded:   strings.Join(item.Excluded, ","),
	}
}

// lane is a heap of the queued entries of one flow with the same key.
type lane struct {
	key     laneKey
	entries laneHeap
}

func (l *lane) push(queued *entry) {
	queued.lane = l
	heap.Push(&l.entries, queued)
}

func (l *lane) remove(queued *entry) {
	heap.Remove(&l.entries, queued.laneIndex)
	queued.lane = nil
}

func (l *lane) head() *entry { return l.entries.list[0] }

func (l *lane) empty() bool { return len(l.entries.list) == 0 }

// laneHeap implements heap.Interface.
type laneHeap struct {
	list            []*entry
	firstInFirstOut bool
}

func (h *laneHeap) Len() int { return len(h.list) }

func (h *laneHeap) Less(i, j int) bool {
	return entryBefore(h.list[i], h.list[j], h.firstInFirstOut)
}

func (h *laneHeap) Swap(i, j int) {
	h.list[i], h.list[j] = h.list[j], h.list[i]
	h.list[i].laneIndex = i
	h.list[j].laneIndex = j
}

func (h *laneHeap) Push(value any) {
	queued := value.(*entry)
	queued.laneIndex = len(h.list)
	h.list = append(h.list, queued)
}

func (h *laneHeap) Pop() any {
	last := len(h.list) - 1
	queued := h.list[last]
	h.list[last] = nil
	h.list = h.list[:last]
	return queued
}

// entryBefore orders the entries of a service: requeued first, then urgent, then for
// trainers by descending expected length (a long request started late leaves the
// trainer idle), then by arrival.
func entryBefore(a, b *entry, firstInFirstOut bool) bool {
	if firstInFirstOut {
		return a.sequence < b.sequence
	}
	if a.item.Requeued != b.item.Requeued {
		return a.item.Requeued
	}
	if a.item.Urgent != b.item.Urgent {
		return a.item.Urgent
	}
	if !a.item.Live && a.expectedTokens() != b.expectedTokens() {
		return a.expectedTokens() > b.expectedTokens()
	}
	return a.sequence < b.sequence
}

// deadlineHeap orders queued entries by deadline. It implements heap.Interface.
type deadlineHeap []*entry

func (h deadlineHeap) Len() int { return len(h) }

func (h deadlineHeap) Less(i, j int) bool {
	return h[i].item.Deadline.Before(h[j].item.Deadline)
}

func (h deadlineHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].deadlineIndex = i
	h[j].deadlineIndex = j
}

func (h *deadlineHeap) Push(value any) {
	queued := value.(*entry)
	queued.deadlineIndex = len(*h)
	*h = append(*h, queued)
}

func (h *deadlineHeap) Pop() any {
	last := len(*h) - 1
	queued := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	return queued
}
