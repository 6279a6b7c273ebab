package loadexchange

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/corkpulley/corkpulley/internal/core/incarnation"
)

var start = time.Unix(1000, 0)

func after(millis int) time.Time { return start.Add(time.Duration(millis) * time.Millisecond) }

func engineID(number int) incarnation.ID {
	return incarnation.ID{Engine: fmt.Sprintf("engine-%04d", number), StartMillis: 1700000000000 + int64(number)}
}

// counted returns an entry of an engine with requests in flight and no report.
func counted(number, inFlight int, at time.Time) Entry {
	return Entry{Engine: engineID(number), Service: "s", InFlight: inFlight, CountedAt: at}
}

// reported returns an entry of an engine with a reported load and no requests in flight.
func reported(number, running int, at time.Time) Entry {
	return Entry{Engine: engineID(number), Service: "s", Running: running, ReportedAt: at}
}

// arrival is a digest in the order in which it arrives.
type arrival struct {
	zone    bool
	source  string
	entries []Entry
	at      time.Time
}

func stateOf(arrivals []arrival) *State {
	s := NewState()
	for _, each := range arrivals {
		if each.zone {
			s.MergeZone(each.source, each.entries, each.at)
		} else {
			s.MergeNode(each.source, each.entries, each.at)
		}
	}
	return s
}

// randomArrivals returns digests of a few nodes and zones, some of them of the same source and time.
func randomArrivals(random *rand.Rand) []arrival {
	var arrivals []arrival
	for range 30 {
		each := arrival{zone: random.IntN(3) == 0, source: fmt.Sprint("x", random.IntN(4)), at: after(random.IntN(4) * 100)}
		for range random.IntN(5) {
			entry := counted(random.IntN(6), random.IntN(4), each.at)
			if random.IntN(2) == 0 {
				entry.Running, entry.ReportedAt = random.IntN(3), after(random.IntN(2)*100)
			}
			entry.Service = []string{"s", "t"}[random.IntN(2)]
			each.entries = append(each.entries, entry)
		}
		arrivals = append(arrivals, each)
	}
	return arrivals
}

// Guards against views that depend on the order or the repetition of messages: two exchange nodes would tell nodes
// different things.
func TestMergingIsCommutativeAndIdempotent(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	for range 300 {
		arrivals := randomArrivals(random)
		now := after(450)
		services := []string{"s", "t"}
		wanted := stateOf(arrivals)
		shuffled := append([]arrival{}, arrivals...)
		shuffled = append(shuffled, arrivals[:10]...)
		random.Shuffle(len(shuffled), func(i, j int) { shuffled[i], shuffled[j] = shuffled[j], shuffled[i] })
		got := stateOf(shuffled)
		for _, node := range []string{"x0", "x1", "other"} {
			assert.DeepEqual(t, got.View(node, services, now), wanted.View(node, services, now))
		}
		assert.DeepEqual(t, got.ZoneEntries(now), wanted.ZoneEntries(now))
	}
}

// Guards against requests that stay counted after their node said that they ended.
func TestNewerDigestReplacesAllOfTheEarlierOne(t *testing.T) {
	s := NewState()
	s.MergeNode("a", []Entry{counted(1, 3, after(0)), counted(2, 2, after(0))}, after(0))
	s.MergeNode("a", []Entry{counted(2, 1, after(100))}, after(100))
	s.MergeNode("a", []Entry{counted(1, 9, after(50))}, after(50))
	assert.DeepEqual(t, s.View("b", []string{"s"}, after(100)), []Entry{counted(2, 1, after(100))})
}

// Guards against a node that counts its own requests twice: it knows them more exactly than the exchange node.
func TestViewSumsTheOtherNodesAndZones(t *testing.T) {
	s := NewState()
	s.MergeNode("a", []Entry{counted(1, 3, after(0))}, after(0))
	s.MergeNode("b", []Entry{counted(1, 2, after(10))}, after(10))
	s.MergeNode("c", []Entry{counted(1, 1, after(20))}, after(20))
	// A zone may have the name of a node.
	s.MergeZone("a", []Entry{counted(1, 4, after(30)), reported(2, 1, after(30))}, after(30))
	other := reported(2, 1, after(30))
	assert.DeepEqual(t, s.View("a", []string{"s"}, after(40)), []Entry{counted(1, 7, after(10)), other})
	assert.DeepEqual(t, s.View("b", []string{"s"}, after(40)), []Entry{counted(1, 8, after(0)), other})
	// Entries of other zones are not passed on.
	assert.DeepEqual(t, s.ZoneEntries(after(40)), []Entry{counted(1, 6, after(0))})
}

// Guards against a wrong sum when a node's newer digest arrives while merged entries with its earlier one are reused.
func TestReusedSumsExcludeTheDigestThatTheyContain(t *testing.T) {
	s := NewState()
	s.MergeNode("a", []Entry{counted(1, 3, after(0))}, after(0))
	s.MergeNode("b", []Entry{counted(1, 2, after(0))}, after(0))
	s.View("c", []string{"s"}, after(0))
	s.MergeNode("a", []Entry{counted(1, 5, after(10))}, after(10))
	assert.DeepEqual(t, s.View("a", []string{"s"}, after(10)), []Entry{counted(1, 2, after(0))})
}

func TestViewCoversOnlyTheServicesOfTheNode(t *testing.T) {
	s := NewState()
	other := counted(2, 5, after(0))
	other.Service = "t"
	s.MergeNode("a", []Entry{counted(1, 3, after(0)), other}, after(0))
	assert.DeepEqual(t, s.View("b", []string{"s"}, after(0)), []Entry{counted(1, 3, after(0))})
	assert.Equal(t, len(s.View("b", nil, after(0))), 0)
}

// Guards against an older report that hides a newer one of another node.
func TestNewestReportWins(t *testing.T) {
	for _, order := range [][]string{{"a", "b"}, {"b", "a"}} {
		s := NewState()
		for _, node := range order {
			entry := reported(1, 8, after(100))
			if node == "b" {
				entry = reported(1, 2, after(200))
			}
			s.MergeNode(node, []Entry{entry}, after(200))
		}
		assert.DeepEqual(t, s.View("c", []string{"s"}, after(300)), []Entry{reported(1, 2, after(200))})
	}
}

// Guards against old load data: an entry must expire TTL after the requests were counted or the engine reported, although
// its digest arrived later, and also in merged entries that are reused, where it may expire up to maxAggregateAge earlier.
func TestEntriesExpire(t *testing.T) {
	s := NewState()
	s.MergeNode("a", []Entry{counted(1, 3, after(0)), reported(2, 5, after(100))}, after(200))
	s.MergeNode("b", []Entry{counted(1, 1, after(200))}, after(200))
	view := func(at int) []Entry { return s.View("c", []string{"s"}, after(at)) }
	all := []Entry{reported(2, 5, after(100)), counted(1, 4, after(0))}
	withoutFirst := []Entry{reported(2, 5, after(100)), counted(1, 1, after(200))}
	assert.DeepEqual(t, view(474), all)
	assert.DeepEqual(t, view(474+24), all) // the merged entries are reused
	assert.DeepEqual(t, view(500), withoutFirst)
	assert.DeepEqual(t, s.ZoneEntries(after(499)), all) // zones get what is left at the time
	assert.DeepEqual(t, s.ZoneEntries(after(500)), withoutFirst)
	assert.DeepEqual(t, view(574), withoutFirst)
	assert.DeepEqual(t, view(600), []Entry{counted(1, 1, after(200))})
	assert.Equal(t, len(view(700)), 0)
	assert.Assert(t, !s.HasNodes(after(700)))
	assert.Equal(t, len(s.nodes), 0, "digests of nodes that left are dropped")
}

// Guards against a sum that contains an expired count because merged entries are reused, and against the loss of the
// counts that have not expired.
func TestReusedSumsContainNoExpiredCount(t *testing.T) {
	for age := range 2 * int(maxAggregateAge.Milliseconds()) {
		s := NewState()
		s.MergeNode("a", []Entry{counted(1, 3, after(0))}, after(0))
		s.MergeNode("b", []Entry{counted(1, 1, after(300))}, after(300))
		mergedAt := 500 - 2*int(maxAggregateAge.Milliseconds()) + age
		s.View("c", []string{"s"}, after(mergedAt))
		for now := mergedAt; now < mergedAt+40; now++ {
			view := s.View("c", []string{"s"}, after(now))
			assert.Equal(t, len(view), 1, "merged at %d, used at %d", mergedAt, now)
			assert.Assert(t, view[0].InFlight == 1 || view[0].InFlight == 4 && now < 500, "merged at %d, used at %d", mergedAt, now)
		}
	}
}

// Guards against an entry that becomes younger on its way over several nodes, the clocks of which have nothing in common.
func TestEntriesKeepTheirAgeThroughEveryHop(t *testing.T) {
	const hops, hopMillis = 5, 100
	entries := []Entry{reported(1, 5, after(0)), counted(2, 1, after(0))}
	for hop := 1; hop <= hops; hop++ {
		sentAt := after(hop * hopMillis)
		senderClock, receiverClock := time.Duration(hop-1)*time.Hour, time.Duration(hop)*time.Hour
		assert.Equal(t, len(entries), 2, "before hop %d", hop)
		message, err := NewMessage(Message{Node: "n", Zone: "z"}, entries, sentAt.Add(senderClock))
		assert.NilError(t, err)
		received, err := message.Entries(sentAt.Add(receiverClock))
		assert.NilError(t, err)
		s := NewState()
		s.MergeZone("z", received, sentAt.Add(receiverClock))
		entries = s.View("n", []string{"s"}, sentAt.Add(receiverClock))
	}
	assert.Equal(t, len(entries), 0, "reported and counted 500 ms ago")
}

// Guards against a view that grows with the number of nodes, or misses nodes: 87 nodes with requests at 49 engines, one
// at the first engine, two at the second and so on.
func TestViewOf87Nodes(t *testing.T) {
	const nodes, engines = 87, 49
	s := NewState()
	for node := range nodes {
		var entries []Entry
		for number := range engines {
			entry := counted(number, number+1, after(node))
			entry.Running, entry.ReportedAt = 8, after(node)
			entries = append(entries, entry)
		}
		name := fmt.Sprint("node-", node)
		message, err := NewMessage(Message{Node: name, Services: []string{"s"}}, entries, after(node))
		assert.NilError(t, err)
		assert.Equal(t, len(message.Engines), engines)
		received, err := message.Entries(after(node))
		assert.NilError(t, err)
		s.MergeNode(name, received, after(node))
	}
	view, err := NewMessage(Message{Node: "exchange"}, s.View("node-0", []string{"s"}, after(100)), after(100))
	assert.NilError(t, err)
	assert.Assert(t, len(encoded(t, view)) <= MaxBytes, "%d bytes", len(encoded(t, view)))
	assert.Equal(t, len(view.Engines), engines)
	for position := range engines {
		assert.Equal(t, view.InFlight[position], (nodes-1)*(engines-position), "the fullest engine first")
		assert.Equal(t, view.CountAges[position], 99, "counted by node-1")
		assert.Equal(t, view.ReportAges[position], 14, "reported to node-86")
	}
}
