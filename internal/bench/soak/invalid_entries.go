package soak

import (
	"fmt"
	"net/http"
	"time"

	standin "github.com/corkpulley/corkpulley/internal/standin/platform"
)

// invalidEntryID returns the key of an invalid entry in the engine list.
func invalidEntryID(number int) string { return fmt.Sprintf("stray-%d", number) }

// invalidEntries returns entries of the engine list that nodes must ignore. Those that hold an address point
// to the given one, where no engine listens.
func invalidEntries(service, address string) [][]byte {
	entry := func(fields string) []byte {
		return fmt.Appendf(nil, `{"address":%q,%s}`, address, fields)
	}
	otherFields := `"zone":"z1","version":"v1","slots":4,"coldLeftMs":0,"models":[],"seqNo":1`
	return [][]byte{
		[]byte("\xff\xfe\x00 unreadable"),
		entry(fmt.Sprintf(`"service":%q,"state":"ready",%s`, service, otherFields))[1:],
		[]byte(`[]`),
		[]byte(`null`),
		[]byte(`7`),
		entry(`"state":"ready",` + otherFields),
		entry(fmt.Sprintf(`"service":%q,%s`, service, otherFields)),
		entry(`"service":"no-such-service","state":"ready",` + otherFields),
		entry(fmt.Sprintf(`"service":%q,"state":"resting",%s`, service, otherFields)),
		entry(`"service":7,"state":"ready",` + otherFields),
		entry(fmt.Sprintf(`"service":%q,"state":["ready"],%s`, service, otherFields)),
		entry(fmt.Sprintf(`"service":%q,"service":%q,"state":"ready",%s`, service, service, otherFields)),
		entry(fmt.Sprintf(`"service":%q,"state":"ready","born":"today",%s`, service, otherFields)),
		entry(fmt.Sprintf(`"service":%q,"state":"ready","zone":"z1","version":"v1","slots":"many","seqNo":1`, service)),
		entry(fmt.Sprintf(`"service":%q,"state":"ready","zone":"z1","version":"v1","slots":-4,"seqNo":1`, service)),
		entry(fmt.Sprintf(`"service":%q,"state":"ready","zone":"z1","version":"v1","slots":4,"seqNo":1e300`, service)),
	}
}

// InvalidEntryCall is a call to the address of invalid entries.
type InvalidEntryCall struct {
	// Entry is the key of the entry that the call is addressed to; empty if it states none.
	Entry string
	Call  string
	At    time.Time
}

// recordInvalidEntryCall is the handler at the address of invalid entries.
func (h *History) recordInvalidEntryCall(w http.ResponseWriter, r *http.Request) {
	h.update(func() {
		h.InvalidEntryCalls = append(h.InvalidEntryCalls, InvalidEntryCall{Entry: standin.ExpectedEngine(r), Call: r.Method + " " + r.URL.Path, At: time.Now()})
	})
	w.WriteHeader(http.StatusNotFound)
}

// checkInvalidatedEngines reports engines that got requests although an invalid entry had replaced their
// own for longer than the bound.
func checkInvalidatedEngines(h *History, bounds Bounds) []string {
	var found []string
	for i := range h.Engines {
		engine := &h.Engines[i]
		for _, period := range engine.EntryInvalid {
			for _, arrival := range engine.Arrivals {
				delay := arrival.At.Sub(period.From)
				node := arrivalSender(arrival)
				if delay > bounds.Drain && arrival.At.Before(period.To) && h.undisturbed(node, arrival.At, arrival.At, bounds.Settle) {
					found = append(found, fmt.Sprintf("engine %s got %s from node %d, %s after an invalid entry replaced its own",
						engine.ID, arrival.ID, node, delay))
				}
			}
		}
	}
	return found
}

// checkInvalidEntriesUnused reports calls to the address of invalid entries.
func checkInvalidEntriesUnused(h *History, _ Bounds) []string {
	var found []string
	for _, call := range h.InvalidEntryCalls {
		found = append(found, fmt.Sprintf("%s arrived at %s at the address of invalid entry %s",
			call.Call, call.At.Format(clockFormat), call.Entry))
	}
	return found
}
