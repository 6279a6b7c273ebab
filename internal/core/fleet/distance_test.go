package fleet

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// regionalFleet returns engines in the querying node's zone, in another zone of its region, and in another region.
func regionalFleet(slots int) *Fleet {
	return fleetOf(
		Engine{ID: "near", Service: "s", Zone: "a1", Region: "a", Slots: slots},
		Engine{ID: "regional", Service: "s", Zone: "a2", Region: "a", Slots: slots},
		Engine{ID: "far", Service: "s", Zone: "b1", Region: "b", Slots: slots},
	)
}

// recordAnswers sets the recent response time of the service.
func recordAnswers(f *Fleet, took time.Duration) {
	for range 50 {
		for _, id := range []string{"near", "regional", "far"} {
			f.RequestStarted(incarnationOf(id))
			f.RequestEnded(incarnationOf(id), Outcome{At: now, Latency: took})
		}
	}
}

func addRequests(f *Fleet, id string, requests int) {
	for range requests {
		f.RequestStarted(incarnationOf(id))
	}
}

var fromA1 = Query{Zone: "a1", Region: "a"}

// With answers of 25 ms, a round trip of 24 ms counts almost like occupying all slots of an engine, and one of 1 ms
// hardly at all.
func TestChoosePrefersOwnRegionForShortAnswers(t *testing.T) {
	f := regionalFleet(6)
	recordAnswers(f, 25*time.Millisecond)
	assert.Equal(t, chooseID(f, fromA1), "near")
	addRequests(f, "near", 1)
	assert.Equal(t, chooseID(f, fromA1), "regional", "the other zone of the region is about as near")
	addRequests(f, "near", 3)
	addRequests(f, "regional", 4)
	assert.Equal(t, chooseID(f, fromA1), "near")
	addRequests(f, "near", 4)
	addRequests(f, "regional", 4)
	assert.Equal(t, chooseID(f, fromA1), "far", "a remote engine is better than a full one")
}

// With answers of 2 s the round trip hardly matters.
func TestChoosePrefersFreeEngineForLongAnswers(t *testing.T) {
	f := regionalFleet(8)
	recordAnswers(f, 2*time.Second)
	assert.Equal(t, chooseID(f, fromA1), "near", "the nearest of equally busy engines")
	addRequests(f, "near", 1)
	addRequests(f, "regional", 1)
	assert.Equal(t, chooseID(f, fromA1), "far")
}

func TestChoiceReportsDistance(t *testing.T) {
	f := regionalFleet(6)
	query := Query{Service: "s", Now: now, Zone: "a1", Region: "a", Tried: []string{"near", "regional"}}
	choice, found := f.Choose(query)
	assert.Assert(t, found)
	assert.Equal(t, choice.Distance.String(), "other_region")
	assert.Equal(t, choice.Expected, defaultAnswerTime/6+choice.Distance.RoundTrip())
}
