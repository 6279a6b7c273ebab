package routes

import (
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

func TestMatchReturnsLongestPrefixOfHost(t *testing.T) {
	table := NewTable(Definition{Version: 1, Routes: []Route{
		{Name: "short", Host: "a.example", Prefix: "/x/"}, {Name: "long", Host: "a.example", Prefix: "/x/y/"},
		{Name: "other", Host: "b.example", Prefix: "/"},
	}})
	for _, test := range []struct{ host, path, want string }{
		{"a.example", "/x/y/z", "long"}, {"a.example:8080", "/x/z", "short"}, {"A.Example", "/x/", "short"},
		{"b.example", "/anything", "other"}, {"a.example", "/x", ""}, {"c.example", "/x/", ""},
	} {
		got := ""
		if route := table.Match(test.host, test.path); route != nil {
			got = route.Name
		}
		assert.Equal(t, got, test.want, "%s%s", test.host, test.path)
	}
}

// Guards against requests that all go to one part for long after weights of another scale have come into force.
func TestSplitterFollowsChangedWeights(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		splitter := NewSplitter(rapid.Uint64().Draw(t, "seed"))
		before := rapid.IntRange(1, 5000).Draw(t, "weight before")
		for range rapid.IntRange(0, 20).Draw(t, "requests before") {
			splitter.Pick(&Route{Name: "r", Parts: []Part{{"a", before}, {"b", 3 * before}}})
		}
		counts := map[string]int{}
		for range 100 {
			counts[splitter.Pick(&Route{Name: "r", Parts: []Part{{"a", 1}, {"b", 1}}})]++
		}
		if counts["a"] < 48 || counts["a"] > 52 {
			t.Fatalf("%v of 100 requests at equal weights", counts)
		}
	})
}

// Guards against shares that count picks where each stands for many requests.
func TestSplitterCountsRequestsOfPicks(t *testing.T) {
	splitter := NewSplitter(0)
	parts := []Part{{"a", 1}, {"b", 3}}
	counts := map[string]int{}
	for _, requests := range []int{4, 40, 8, 4, 16, 8, 40, 4, 4, 32, 16, 8} {
		counts[splitter.PickFor("r", parts, requests)] += requests
	}
	assert.Assert(t, counts["a"] > 20 && counts["a"] < 80, "%v of 184 requests, a quarter of them for a", counts)
}

// Guards against accepted jobs that are lost to a live route with a longer prefix, or run by a live route.
func TestMatchJobReturnsBatchRoute(t *testing.T) {
	table := NewTable(Definition{Version: 1, Routes: []Route{
		{Name: "jobs", Host: "a.example", Prefix: "/x/", Kind: Batch}, {Name: "live", Host: "a.example", Prefix: "/x/y/", Kind: Safe},
		{Name: "other", Host: "b.example", Prefix: "/", Kind: Safe},
	}})
	assert.Equal(t, table.MatchJob("A.example:80", "/x/y/z").Name, "jobs")
	assert.Equal(t, table.MatchJob("a.example", "/x/z").Name, "jobs")
	assert.Assert(t, table.MatchJob("b.example", "/x") == nil)
	_, known := table.JobHomesOf("b.example", "/x", "")
	assert.Assert(t, !known)
}

func TestRepeatable(t *testing.T) {
	assert.Assert(t, (&Route{Kind: Safe}).Repeatable())
	assert.Assert(t, !(&Route{Kind: Unsafe}).Repeatable())
	assert.Assert(t, !(&Route{Kind: Streaming}).Repeatable())
	assert.Assert(t, (&Route{Kind: Streaming, Resumable: true}).Repeatable())
}

// Guards against a part whose number of requests deviates from its exact share by more than three.
func TestSplitterFollowsWeights(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		route := &Route{Name: "r"}
		total := 0
		for i := range rapid.IntRange(2, 4).Draw(t, "parts") {
			weight := rapid.IntRange(0, 100).Draw(t, "weight")
			route.Parts = append(route.Parts, Part{Service: string(rune('a' + i)), Weight: weight})
			total += weight
		}
		splitter := NewSplitter(rapid.Uint64().Draw(t, "seed"))
		counts := map[string]int{}
		requests := rapid.IntRange(1, 400).Draw(t, "requests")
		for range requests {
			counts[splitter.Pick(route)]++
		}
		if total == 0 {
			if counts[""] != requests {
				t.Fatal("a part was picked on a route without weights")
			}
			return
		}
		for _, part := range route.Parts {
			exact := float64(requests*part.Weight) / float64(total)
			if difference := float64(counts[part.Service]) - exact; difference > 3 || difference < -3 {
				t.Fatalf("%s got %d of %d requests, exact share %.1f", part.Service, counts[part.Service], requests, exact)
			}
		}
	})
}
