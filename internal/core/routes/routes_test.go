package routes

import (
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

func TestLongestPrefixOfTheHostWins(t *testing.T) {
	table := NewTable(Definition{Version: 1, Routes: []Route{
		{Name: "short", Host: "a.example", Prefix: "/x/"}, {Name: "long", Host: "a.example", Prefix: "/x/y/"},
		{Name: "other", Host: "b.example", Prefix: "/"},
	}})
	for _, try := range []struct{ host, path, want string }{
		{"a.example", "/x/y/z", "long"}, {"a.example:8080", "/x/z", "short"}, {"A.Example", "/x/", "short"},
		{"b.example", "/anything", "other"}, {"a.example", "/x", ""}, {"c.example", "/x/", ""},
	} {
		got := ""
		if route := table.Match(try.host, try.path); route != nil {
			got = route.Name
		}
		assert.Equal(t, got, try.want, "%s%s", try.host, try.path)
	}
}

func TestOnlySafeAndResumableRoutesAreRepeatable(t *testing.T) {
	assert.Assert(t, (&Route{Kind: Safe}).Repeatable())
	assert.Assert(t, !(&Route{Kind: Unsafe}).Repeatable())
	assert.Assert(t, !(&Route{Kind: Streaming}).Repeatable())
	assert.Assert(t, (&Route{Kind: Streaming, Resumable: true}).Repeatable())
}

// TestSplitFollowsTheWeights: over any sequence of requests each part is within two
// of its exact share.
func TestSplitFollowsTheWeights(t *testing.T) {
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
				t.Fatal("a route without weights has picked a part")
			}
			return
		}
		for _, part := range route.Parts {
			exact := float64(requests*part.Weight) / float64(total)
			if difference := float64(counts[part.Service]) - exact; difference > 3 || difference < -3 {
				t.Fatalf("%s got %d of %d, exact %.1f", part.Service, counts[part.Service], requests, exact)
			}
		}
	})
}
