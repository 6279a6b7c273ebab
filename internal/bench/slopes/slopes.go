// Package slopes measures what one more unit of load costs a node: processor
// time, memory, bytes and messages against the number of requests, chunks,
// records, members, engines, slots, rows and so on. It drives the real core,
// the real runtimes and the real peer transport; callers, engines, members and
// the platform are hollow and share the process.
//
// Each sweep measures at four sizes or more, several times each, and fits a
// line to the medians. docs/CAPACITY.md multiplies the slopes out.
package slopes

import (
	"context"
	"runtime"
	"slices"
	"strings"
	"time"

	"github.com/go-faster/errors"
)

// Role names the part of a node that a slope belongs to.
type Role string

// The roles of docs/CAPACITY.md.
const (
	RoleGateway            Role = "gateway"
	RoleDispatcher         Role = "dispatcher"
	RoleTrainerCoordinator Role = "trainer coordinator"
	RoleWeightCoordinator  Role = "weight coordinator"
	RoleMember             Role = "member"
	RoleTable              Role = "table"
	RoleLogClient          Role = "log client"
)

// Unit is the unit of a measured value.
type Unit string

// Units of values.
const (
	UnitMicroseconds      Unit = "us"
	UnitBytes             Unit = "B"
	UnitBytesPerSecond    Unit = "B/s"
	UnitMessagesPerSecond Unit = "messages/s"
	UnitMillicores        Unit = "millicores"
)

// Report is the result of Run.
type Report struct {
	Machine      Machine       `json:"machine"`
	Seconds      float64       `json:"seconds"`
	Measurements []Measurement `json:"measurements"`
}

// Machine describes where the measurements ran.
type Machine struct {
	Processors int    `json:"processors"`
	GoVersion  string `json:"go_version"`
	System     string `json:"system"`
}

// Options selects what Run measures.
type Options struct {
	// Only keeps the sweeps whose name contains the text; empty keeps all.
	Only string
	// Progress, when set, is called before each sweep with its name.
	Progress func(name string)
}

// Run measures all selected sweeps, one after the other, so that each has the
// process to itself. It is meant to take less than a minute.
func Run(ctx context.Context, options Options) (Report, error) {
	started := time.Now()
	report := Report{Machine: Machine{
		Processors: runtime.GOMAXPROCS(0),
		GoVersion:  runtime.Version(),
		System:     runtime.GOOS + "/" + runtime.GOARCH,
	}}
	selected := slices.DeleteFunc(allSweeps(), func(candidate sweep) bool {
		return !strings.Contains(candidate.name, options.Only)
	})
	for _, each := range selected {
		if options.Progress != nil {
			options.Progress(each.name)
		}
		measured, err := each.run(ctx)
		if err != nil {
			return Report{}, errors.Wrapf(err, "measure %s", each.name)
		}
		report.Measurements = append(report.Measurements, measured)
	}
	traffic, err := runTraffic(ctx, options)
	if err != nil {
		return Report{}, errors.Wrap(err, "measure control traffic")
	}
	report.Measurements = append(report.Measurements, traffic...)
	if len(report.Measurements) == 0 {
		return Report{}, errors.Errorf("no sweep has %q in its name", options.Only)
	}
	report.Seconds = time.Since(started).Seconds()
	return report, nil
}

// allSweeps returns the sweeps that measure one thing at a time. Those without
// connections come first: what connections leave behind for a while would
// blur the memory of small things.
func allSweeps() []sweep {
	return slices.Concat(
		schedulerSweeps(),
		routingSweeps(),
		ledgerSweeps(),
		recordSizeSweeps(),
		idempotencySweeps(),
		policySweeps(),
		memberSweeps(),
		streamMemorySweeps(),
		pathSweeps(),
		adapterSweeps(),
		weightSweeps(),
		coordinatorSweeps(),
		logSweeps(),
		idleSweeps(),
	)
}
