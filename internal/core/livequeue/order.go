package livequeue

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/corkpulley/corkpulley/internal/core/homes"
)

// service is the queue of one service.
type service struct {
	// classes holds the priorities that have waiting requests, or flows that are still above the virtual time, most
	// urgent first.
	classes []*priorityClass
	waiting int
	// granted counts the slots that are granted but not yet seen as requests at the engines.
	granted  regionCounts
	arrivals arrivalRates
	drain    drainRate
	retries  retryTimes
}

// priorityClass is the queue of one priority. Its flows are served by start-time fair queueing (Goyal, Vin, Cheng 1996)
// with equal weights and equal costs: the flow with the lowest tag is next, and each request that it sends advances its
// tag by one. Requests of a service cost about the same, and their length is not known in advance.
type priorityClass struct {
	priority int
	// virtualTime is the highest tag of the requests sent so far. A flow that was idle starts there: it has no credit
	// for the time in which it sent nothing.
	virtualTime float64
	flows       map[string]*flow
	waiting     int
	// regions counts the waiting requests.
	regions regionCounts
}

// flow holds the waiting requests of one tenant or route, in the order in which they are sent.
type flow struct {
	name    string
	tag     float64
	entries []*Entry
	bytes   int64
	// regions counts the entries.
	regions regionCounts
}

// compareEntries orders the requests of a flow: the earlier deadline first, then the earlier arrival.
func compareEntries(a, b *Entry) int {
	if order := a.Deadline.Compare(b.Deadline); order != 0 {
		return order
	}
	return cmp.Compare(a.sequence, b.sequence)
}

// compareFlows orders the flows of a priority.
func compareFlows(a, b *flow) int {
	if order := cmp.Compare(a.tag, b.tag); order != 0 {
		return order
	}
	return cmp.Compare(a.name, b.name)
}

func (s *service) class(priority int) *priorityClass {
	index, found := slices.BinarySearchFunc(s.classes, priority, func(class *priorityClass, wanted int) int {
		return cmp.Compare(class.priority, wanted)
	})
	if !found {
		class := &priorityClass{priority: priority, flows: make(map[string]*flow)}
		s.classes = slices.Insert(s.classes, index, class)
	}
	return s.classes[index]
}

func (s *service) insert(entry *Entry) {
	class := s.class(entry.Priority)
	f, found := class.flows[entry.Flow]
	if !found {
		f = &flow{name: entry.Flow}
		class.flows[entry.Flow] = f
	}
	if len(f.entries) == 0 {
		f.tag = max(f.tag, class.virtualTime)
	}
	index, _ := slices.BinarySearchFunc(f.entries, entry, compareEntries)
	f.entries = slices.Insert(f.entries, index, entry)
	f.bytes += entry.Bytes
	f.regions.add(entry.Regions, 1)
	class.waiting++
	class.regions.add(entry.Regions, 1)
	s.waiting++
}

func (s *service) remove(entry *Entry) {
	class := s.class(entry.Priority)
	f := class.flows[entry.Flow]
	index, _ := slices.BinarySearchFunc(f.entries, entry, compareEntries)
	f.entries = slices.Delete(f.entries, index, index+1)
	f.bytes -= entry.Bytes
	f.regions.add(entry.Regions, -1)
	class.waiting--
	class.regions.add(entry.Regions, -1)
	s.waiting--
	if class.waiting == 0 {
		// Without waiting requests nothing is shared, and what was sent before does not count any more.
		s.classes = slices.DeleteFunc(s.classes, func(each *priorityClass) bool { return each == class })
	}
}

// advance records that a flow sends a request. Flows that are idle and not above the virtual time are dropped: they
// would start there anyway.
func (p *priorityClass) advance(sent *flow) {
	p.virtualTime = max(p.virtualTime, sent.tag)
	sent.tag++
	for name, f := range p.flows {
		if len(f.entries) == 0 && f.tag <= p.virtualTime {
			delete(p.flows, name)
		}
	}
}

// inOrder returns the flows with waiting requests in the order in which they are served.
func (p *priorityClass) inOrder() []*flow {
	ordered := make([]*flow, 0, len(p.flows))
	for _, f := range p.flows {
		if len(f.entries) > 0 {
			ordered = append(ordered, f)
		}
	}
	slices.SortFunc(ordered, compareFlows)
	return ordered
}

// ahead returns the number of waiting requests that are sent to the same engines before the entry if no other request
// arrives: all of more urgent priorities, those before it in its own flow, and of each other flow as many as its tag
// allows. overtakes reports whether a request of a flow that arrives later is sent before the entry.
func (s *service) ahead(entry *Entry) (count int, overtakes func(key flowKey) bool) {
	saturated := map[flowKey]bool{{entry.Priority, entry.Flow}: true}
	for _, class := range s.classes {
		if class.priority < entry.Priority {
			count += class.regions.sharing(entry.Regions)
			continue
		}
		if class.priority > entry.Priority {
			break
		}
		own := class.flows[entry.Flow]
		position := own.position(entry)
		count += position
		for _, other := range class.flows {
			if other == own {
				continue
			}
			waiting := other.regions.sharing(entry.Regions)
			before := other.sentBefore(own.tag+float64(position), own.name, waiting)
			count += before
			saturated[flowKey{class.priority, other.name}] = before < waiting
		}
	}
	return count, func(key flowKey) bool { return key.priority <= entry.Priority && !saturated[key] }
}

// waitingFor returns the number of waiting requests that may run in any of the regions.
func (s *service) waitingFor(regions homes.Set) int {
	count := 0
	for _, class := range s.classes {
		count += class.regions.sharing(regions)
	}
	return count
}

// position returns the number of the flow's requests before the entry that share engines with it.
func (f *flow) position(entry *Entry) int {
	count := 0
	for _, each := range f.entries {
		if each == entry {
			break
		}
		if overlap(each.Regions, entry.Regions) {
			count++
		}
	}
	return count
}

// sentBefore returns how many of the given number of waiting requests of the flow precede a request with the given tag
// of the named flow.
func (f *flow) sentBefore(tag float64, name string, waiting int) int {
	turns := math.Ceil(tag - f.tag)
	if turns == tag-f.tag && f.name < name {
		turns++
	}
	return int(min(max(0, turns), float64(waiting)))
}

// next returns the first waiting entry, in the order of sending, that the filter accepts; nil if there is none. Entries
// that the filter rejects stay.
func (s *service) next(accept func(entry *Entry) bool) *Entry {
	for _, class := range s.classes {
		for _, f := range class.inOrder() {
			for _, entry := range f.entries {
				if accept(entry) {
					return entry
				}
			}
		}
	}
	return nil
}

// expired returns the waiting entries whose responses can no longer be expected before their deadlines.
func (s *service) expired(now time.Time, responseOf func(entry *Entry) time.Duration) []*Entry {
	var expired []*Entry
	for _, class := range s.classes {
		for _, f := range class.flows {
			for _, entry := range f.entries {
				if now.Add(responseOf(entry)).After(entry.Deadline) {
					expired = append(expired, entry)
				}
			}
		}
	}
	return expired
}
