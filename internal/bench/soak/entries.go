package soak

import (
	"fmt"
	"net/http"
	"time"

	standin "github.com/corkpulley/corkpulley/internal/standin/platform"
)

// strayID names an entry of another writer.
func strayID(number int) string { return fmt.Sprintf("stray-%d", number) }

// badEntries returns entries of the list of engines that name no engine to use. All that
// can be read in them points to an address where no engine is.
func badEntries(service, address string) [][]byte {
	entry := func(fields string) []byte {
		return fmt.Appendf(nil, `{"address":%q,%s}`, address, fields)
	}
	rest := `"zone":"z1","version":"v1","slots":4,"coldLeftMs":0,"models":[],"seqNo":1`
	return [][]byte{
		[]byte("\xff\xfe\x00 unreadable"),
		entry(fmt.Sprintf(`"service":%q,"state":"ready",%s`, service, rest))[1:],
		[]byte(`[]`),
		[]byte(`null`),
		[]byte(`7`),
		entry(`"state":"ready",` + rest),
		entry(fmt.Sprintf(`"service":%q,%s`, service, rest)),
		entry(`"service":"no-such-service","state":"ready",` + rest),
		entry(fmt.Sprintf(`"service":%q,"state":"resting",%s`, service, rest)),
		entry(`"service":7,"state":"ready",` + rest),
		entry(fmt.Sprintf(`"service":%q,"state":["ready"],%s`, service, rest)),
		entry(fmt.Sprintf(`"service":%q,"service":%q,"state":"ready",%s`, service, service, rest)),
		entry(fmt.Sprintf(`"service":%q,"state":"ready","born":"today",%s`, service, rest)),
		entry(fmt.Sprintf(`"service":%q,"state":"ready","zone":"z1","version":"v1","slots":"many","seqNo":1`, service)),
		entry(fmt.Sprintf(`"service":%q,"state":"ready","zone":"z1","version":"v1","slots":-4,"seqNo":1`, service)),
		entry(fmt.Sprintf(`"service":%q,"state":"ready","zone":"z1","version":"v1","slots":4,"seqNo":1e300`, service)),
	}
}

// StraySeen is a call at the address of an entry that names no engine.
type StraySeen struct {
	// Entry is the key of the entry that the call is meant for; empty where it tells none.
	Entry string
	Call  string
	At    time.Time
}

// takeStray takes the calls at that address.
func (h *History) takeStray(w http.ResponseWriter, r *http.Request) {
	h.update(func() {
		h.Strays = append(h.Strays, StraySeen{Entry: standin.ExpectedEngine(r), Call: r.Method + " " + r.URL.Path, At: time.Now()})
	})
	w.WriteHeader(http.StatusNotFound)
}

// checkSpoiled: an engine whose entry has given way to one that cannot be understood gets
// nothing new after a while.
func checkSpoiled(h *History, bounds Bounds) []string {
	var found []string
	for i := range h.Engines {
		engine := &h.Engines[i]
		for _, spoiled := range engine.Spoiled {
			for _, arrival := range engine.Arrivals {
				late := arrival.At.Sub(spoiled.From)
				node := senderOfArrival(arrival)
				if late > bounds.Drain && arrival.At.Before(spoiled.To) && h.inTouch(node, arrival.At, arrival.At, bounds.Contact) {
					found = append(found, fmt.Sprintf("engine %s got %s from node %d, %s after its entry had given way to one that names no engine",
						engine.ID, arrival.ID, node, late))
				}
			}
		}
	}
	return found
}

// checkEntries: an entry that cannot be understood names no engine to use.
func checkEntries(h *History, _ Bounds) []string {
	var found []string
	for _, stray := range h.Strays {
		found = append(found, fmt.Sprintf("%s came at %s to the address of entry %s, which names no engine",
			stray.Call, stray.At.Format(clockFormat), stray.Entry))
	}
	return found
}
