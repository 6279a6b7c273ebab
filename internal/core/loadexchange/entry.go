// Package loadexchange merges the load data of the nodes: how many requests each of them has at each engine, and the
// newest load that an engine reported to any of them. It encodes the messages, limits their size, tracks the age of
// each entry, and chooses the node of a zone that merges them. It performs no I/O and reads no clock.
package loadexchange

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/corkpulley/corkpulley/internal/core/incarnation"
)

const (
	// TTL is how long an entry is used after its requests were counted or its load was reported. It equals the period
	// for which a node uses a load that an engine reported to the node itself.
	TTL = 500 * time.Millisecond
	// MaxEngines and MaxBytes limit a message. Requests go to the fullest engines only if all others are fuller, so
	// the entries of the fullest engines change most choices.
	MaxEngines = 64
	MaxBytes   = 2 << 10
	// MaxServices limits the services of a message, so that their names leave room for engines.
	MaxServices = 16
)

// Entry is the load at one incarnation of an engine, as counted by one or more nodes.
type Entry struct {
	Engine  incarnation.ID
	Service string
	// InFlight is the number of requests of the nodes at the engine, and CountedAt when the earliest of these nodes
	// counted them.
	InFlight  int
	CountedAt time.Time
	// Running and Waiting are the load that the engine reported at ReportedAt, which is zero if there is no report.
	Running    int
	Waiting    int
	ReportedAt time.Time
}

// occupied returns the number of requests known to be at the engine.
func (e Entry) occupied() int { return max(e.InFlight, e.Running+e.Waiting) }

// HasReport reports whether the entry has a load report that has not expired.
func (e Entry) HasReport(now time.Time) bool { return isFresh(e.ReportedAt, now) }

// HasCount reports whether the count of requests has not expired.
func (e Entry) HasCount(now time.Time) bool { return isFresh(e.CountedAt, now) }

func isFresh(at, now time.Time) bool { return !at.IsZero() && now.Sub(at) < TTL }

// withoutExpired returns the entry without its expired parts; false if neither requests nor a report are left.
func (e Entry) withoutExpired(now time.Time) (Entry, bool) {
	hasCount, hasReport := e.HasCount(now), e.HasReport(now)
	if !hasCount {
		e.InFlight, e.CountedAt = 0, time.Time{}
	}
	if !hasReport {
		e.Running, e.Waiting, e.ReportedAt = 0, 0, time.Time{}
	}
	return e, e.InFlight > 0 || hasReport
}

// compareFullness orders entries by occupancy, the fullest engine first. The order is total for entries of different
// engines, so that the entries of a message don't depend on the order of a map.
func compareFullness(a, b Entry) int {
	return cmp.Or(
		cmp.Compare(b.occupied(), a.occupied()), strings.Compare(a.Engine.Engine, b.Engine.Engine),
		cmp.Compare(a.Engine.StartMillis, b.Engine.StartMillis),
	)
}

// compareContent is a total order of entries by all fields. It decides between two digests of the same time, so that
// the result doesn't depend on which of them arrives first.
func compareContent(a, b Entry) int {
	return cmp.Or(
		compareFullness(a, b), strings.Compare(a.Service, b.Service), cmp.Compare(a.InFlight, b.InFlight),
		a.CountedAt.Compare(b.CountedAt), cmp.Compare(a.Running, b.Running), cmp.Compare(a.Waiting, b.Waiting),
		a.ReportedAt.Compare(b.ReportedAt),
	)
}

// moreRecentReport returns the entry with the report of other if that one is newer, or at the same time the higher
// one.
func (e Entry) moreRecentReport(other Entry) Entry {
	newer := cmp.Or(
		other.ReportedAt.Compare(e.ReportedAt), cmp.Compare(other.Running, e.Running),
		cmp.Compare(other.Waiting, e.Waiting),
	)
	if newer > 0 {
		e.Running, e.Waiting, e.ReportedAt = other.Running, other.Waiting, other.ReportedAt
	}
	return e
}

func sameReport(a, b Entry) bool {
	return a.Running == b.Running && a.Waiting == b.Waiting && a.ReportedAt.Equal(b.ReportedAt)
}

// Services returns the services of the entries, sorted.
func Services(entries []Entry) []string {
	var services []string
	for _, entry := range entries {
		services = append(services, entry.Service)
	}
	slices.Sort(services)
	return slices.Compact(services)
}
