package fleet

import (
	"fmt"
	"testing"
	"time"

	"github.com/corkpulley/corkpulley/internal/core/incarnation"
	"github.com/corkpulley/corkpulley/internal/core/loadexchange"
)

// benchmarkEngines is the number of engines of one service among which a benchmark chooses.
const benchmarkEngines = 1000

// benchmarkFleet returns a fleet of benchmarkEngines engines in five zones, a third of them with requests in flight
// and a third with a recently reported load.
func benchmarkFleet() *Fleet {
	f := New()
	for number := range benchmarkEngines {
		engine := Engine{
			ID: fmt.Sprintf("engine-%04d", number), StartMillis: 1700000000000 + int64(number), Service: "s",
			Zone: fmt.Sprint("z", number%5), Region: "r", Slots: 8, Versions: map[string]int64{"m": 1},
		}
		f.Put(engine)
		for range number % 3 {
			f.RequestStarted(engine.Incarnation())
		}
		if number%3 == 2 {
			f.RequestEnded(engine.Incarnation(), Outcome{
				At: now, Load: &Load{Running: number % 8, Slots: 8}, Latency: 20 * time.Millisecond,
			})
		}
	}
	return f
}

func BenchmarkChooseAmong1000(b *testing.B) {
	f := benchmarkFleet()
	query := Query{Service: "s", Zone: "z1", Region: "r", Model: "m", MinVersion: 1, Now: now.Add(100 * time.Millisecond)}
	var chosen incarnation.ID
	for b.Loop() {
		choice, _ := f.Choose(query)
		chosen = choice.Engine.Incarnation()
	}
	_ = chosen
}

func BenchmarkSaturationOf1000(b *testing.B) {
	f := benchmarkFleet()
	for b.Loop() {
		f.Saturation(Query{Service: "s", Zone: "z1", Now: now.Add(100 * time.Millisecond)})
	}
}

// BenchmarkChooseAmong1000WithPeerLoad has load data of other nodes for the 64 engines of a message.
func BenchmarkChooseAmong1000WithPeerLoad(b *testing.B) {
	f := benchmarkFleet()
	var entries []loadexchange.Entry
	for number := range loadexchange.MaxEngines {
		id := incarnation.ID{Engine: fmt.Sprintf("engine-%04d", number), StartMillis: 1700000000000 + int64(number)}
		entries = append(entries, loadexchange.Entry{
			Engine: id, Service: "s", InFlight: 3, CountedAt: now, Running: 5, ReportedAt: now,
		})
	}
	f.SetPeerLoad(entries)
	query := Query{Service: "s", Zone: "z1", Region: "r", Model: "m", MinVersion: 1, Now: now.Add(100 * time.Millisecond)}
	var chosen incarnation.ID
	for b.Loop() {
		choice, _ := f.Choose(query)
		chosen = choice.Engine.Incarnation()
	}
	_ = chosen
}
