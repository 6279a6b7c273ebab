// Package soak runs real nodes as they run on the users' platform, strikes them
// with faults drawn from a seed, from outside, and checks the promises from what
// callers, trainers, the operator and the engines see.
package soak

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"os"
	"slices"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"github.com/corkpulley/corkpulley/internal/common/retry"
)

// Arguments are the flags of a soak.
type Arguments struct {
	Seed         uint64   `arg:"--seed" help:"seed of the schedule of faults; 0 draws one"`
	Minutes      float64  `arg:"--minutes" default:"1" help:"length of the load (0.1..120)"`
	Nodes        int      `arg:"--nodes" default:"4" help:"nodes, each a process (1..100)"`
	Without      []int    `arg:"--without,separate" placeholder:"NUMBER" help:"leave out the fault with this number; may stand several times"`
	Seeds        string   `arg:"--seeds" placeholder:"FILE" help:"play each kept seed of this file, for its length"`
	Slack        float64  `arg:"--slack" default:"1" help:"factor for the times within which promises are to hold (1..100), for a slow machine"`
	Print        bool     `arg:"--print" help:"print the schedule and do not run it"`
	EnginesFence string   `arg:"--engines-fence" default:"drawn" placeholder:"WHETHER" help:"whether engines refuse lower fencing tokens: yes, no, or drawn from the seed"`
	Schedule     string   `arg:"--schedule" default:"drawn" placeholder:"KIND" help:"general faults, faults of the leader in series, placement faults, or drawn from the seed"`
	LeaveOut     []Family `arg:"--leave-out,separate" placeholder:"FAMILY" help:"leave out a family of placement faults: incarnations, entries, evacuations, slow-starts, home-changes; may stand several times"`
	OtherDaemon  string   `arg:"--other-daemon" placeholder:"FILE" help:"daemon of another build: half of the nodes start from it, and each node changes its build whenever it starts again"`
	JSON         bool     `arg:"--json" help:"end with one JSON object, the summary"`
	Keep         string   `arg:"--keep" placeholder:"DIR" help:"directory for the logs of the nodes; they are kept there"`
}

// Bounds of the arguments.
const (
	minMinutes = 0.1
	maxMinutes = 120
	maxNodes   = 100
	minSlack   = 1
	maxSlack   = 100
	// finishTime is what open jobs may take once all faults are over.
	finishTime = 45 * time.Second
	// progressPeriod is the time between two lines of progress.
	progressPeriod = 15 * time.Second
	// clockFormat is how a time of day is printed.
	clockFormat = "15:04:05.000"
)

// DefaultBounds are those of the users' pages, with some slack for a machine
// that has more to do.
func DefaultBounds() Bounds {
	return Bounds{
		Contact: 4 * time.Second, Apply: 3 * time.Second, Drain: 4 * time.Second,
		Cancel: 4 * time.Second, Lease: 3 * time.Second, Thaw: 300 * time.Millisecond,
		Evacuate: 5 * time.Second, Notice: 500 * time.Millisecond, Reorder: 10 * time.Second,
	}
}

// times returns the bounds multiplied by a factor.
func (b Bounds) times(factor float64) Bounds {
	stretch := func(bound time.Duration) time.Duration { return time.Duration(factor * float64(bound)) }
	return Bounds{
		Contact: stretch(b.Contact), Apply: stretch(b.Apply), Drain: stretch(b.Drain),
		Cancel: stretch(b.Cancel), Lease: stretch(b.Lease), Thaw: stretch(b.Thaw),
		Evacuate: stretch(b.Evacuate), Notice: stretch(b.Notice), Reorder: stretch(b.Reorder),
	}
}

// Summary is the outcome of a soak.
type Summary struct {
	Seed     uint64  `json:"seed"`
	Seconds  float64 `json:"seconds"`
	Faults   int     `json:"faults"`
	Calls    int     `json:"calls"`
	Answered int     `json:"answered"`
	Jobs     int     `json:"jobs"`
	Accepted int     `json:"accepted"`
	Results  int     `json:"results"`
	Probes   int     `json:"probes"`
	Runs     int     `json:"runs"`
	Orders   int     `json:"orders"`
	// Leaders counts the processes that ordered, CloseChanges the orders and reports that
	// came within the lease's time after one of another node.
	Leaders      int         `json:"leaders"`
	CloseChanges int         `json:"close_changes"`
	Violations   []Violation `json:"violations"`
}

// ErrBroken is returned when a promise was broken.
var ErrBroken = errors.New("a promise was broken")

func (a *Arguments) check() error {
	switch {
	case a.Minutes < minMinutes || a.Minutes > maxMinutes:
		return errors.Errorf("--minutes is %g, expected %g..%d", a.Minutes, minMinutes, maxMinutes)
	case a.Nodes < 1 || a.Nodes > maxNodes:
		return errors.Errorf("--nodes is %d, expected 1..%d", a.Nodes, maxNodes)
	case a.Slack < minSlack || a.Slack > maxSlack:
		return errors.Errorf("--slack is %g, expected %d..%d", a.Slack, minSlack, maxSlack)
	}
	if err := checkMode("--engines-fence", a.EnginesFence, Yes, No); err != nil {
		return err
	}
	for _, family := range a.LeaveOut {
		if !slices.Contains(families, family) {
			return errors.Errorf("--leave-out is %q, expected one of %q", family, families)
		}
	}
	return checkMode("--schedule", a.Schedule, schedules...)
}

// Run runs a soak, or one for each kept seed. Progress goes to output, and with
// JSON set the summary as its last line. It returns ErrBroken when a promise was
// broken; no process is left behind.
func Run(ctx context.Context, arguments *Arguments, output io.Writer) error {
	if err := arguments.check(); err != nil {
		return err
	}
	if arguments.Seeds == "" {
		return runOne(ctx, arguments, output)
	}
	kept, err := ReadSeeds(arguments.Seeds)
	if err != nil {
		return err
	}
	var failed error
	for _, seed := range kept {
		one := *arguments
		one.Seed, one.Minutes = uint64(seed.Number), seed.Minutes
		one.EnginesFence, one.Schedule = seed.EnginesFence, seed.Schedule
		if err := runOne(ctx, &one, output); err != nil {
			failed = errors.Wrapf(err, "seed %d", seed.Number)
		}
	}
	return failed
}

// runOne runs one soak, with a seed drawn where none is named.
func runOne(ctx context.Context, arguments *Arguments, output io.Writer) error {
	seed := arguments.Seed
	if seed == 0 {
		seed = rand.Uint64()
	}
	length := time.Duration(arguments.Minutes * float64(time.Minute))
	enginesFence, schedule := arguments.modes(seed)
	_, _ = fmt.Fprintf(output, "seed %d, %s faults, engines check fencing tokens: %t\n", seed, schedule, enginesFence)
	faults := withoutFamilies(Without(drawSchedule(schedule, seed, length), arguments.Without), arguments.LeaveOut)
	if arguments.Print {
		printSchedule(output, faults)
		return nil
	}
	directory, cleanUp, err := logDirectory(arguments.Keep)
	if err != nil {
		return err
	}
	run := plan{
		seed: seed, nodes: arguments.Nodes, length: length, faults: faults, bounds: DefaultBounds().times(arguments.Slack),
		enginesFence: enginesFence, schedule: schedule, leftOut: arguments.LeaveOut, otherDaemon: arguments.OtherDaemon,
	}
	summary, err := run.play(ctx, directory, output)
	if err != nil {
		cleanUp()
		return err
	}
	return conclude(summary, arguments.JSON, directory, cleanUp, output)
}

// logDirectory returns where the logs go, and what removes them.
func logDirectory(keep string) (string, func(), error) {
	if keep != "" {
		const mode = 0o755
		if err := os.MkdirAll(keep, mode); err != nil {
			return "", nil, errors.Wrap(err, "make the directory for logs")
		}
		return keep, func() {}, nil
	}
	directory, err := os.MkdirTemp("", "corkpulley-soak-")
	if err != nil {
		return "", nil, errors.Wrap(err, "make the directory for logs")
	}
	return directory, func() { _ = os.RemoveAll(directory) }, nil
}

// conclude prints the outcome. The logs of a soak that broke a promise stay.
func conclude(summary Summary, asJSON bool, directory string, cleanUp func(), output io.Writer) error {
	for _, violation := range summary.Violations {
		_, _ = fmt.Fprintf(output, "BROKEN %s: %s\n", violation.Rule, violation.Detail)
	}
	_, _ = fmt.Fprintf(output, "seed %d: %d faults in %.0f s; %d of %d calls answered whole, %d of %d jobs accepted, %d results, %d runs, %d orders of %d processes, %d within 3 s after another node, %d probes; %d promises broken\n",
		summary.Seed, summary.Faults, summary.Seconds, summary.Answered, summary.Calls, summary.Accepted, summary.Jobs,
		summary.Results, summary.Runs, summary.Orders, summary.Leaders, summary.CloseChanges, summary.Probes, len(summary.Violations))
	if asJSON {
		raw, err := json.Marshal(summary)
		if err != nil {
			return errors.Wrap(err, "encode the summary")
		}
		_, _ = fmt.Fprintln(output, string(raw))
	}
	if len(summary.Violations) > 0 {
		_, _ = fmt.Fprintln(output, "logs:", directory)
		return ErrBroken
	}
	cleanUp()
	return nil
}

// plan is what one soak is to do.
type plan struct {
	seed         uint64
	nodes        int
	length       time.Duration
	faults       []Fault
	bounds       Bounds
	enginesFence bool
	schedule     string
	leftOut      []Family
	// otherDaemon is the daemon of another build; empty for none.
	otherDaemon string
}

// placement tells whether placement faults are played.
func (p plan) placement() bool { return p.schedule == PlacementFaults }

// has tells whether a family of placement faults is played.
func (p plan) has(family Family) bool { return !slices.Contains(p.leftOut, family) }

// lookups is the number of engines that are not ordered, one in each zone under placement
// faults.
func (p plan) lookups() int {
	if p.placement() {
		return zones
	}
	return lookupEngines
}

// drafts is the number of engines that are ordered.
func (p plan) drafts() int {
	switch p.schedule {
	case LeaderFaults:
		return orderedEngines
	case PlacementFaults:
		return zones
	default:
		return draftEngines
	}
}

// play runs the load and the faults, waits until open jobs are done, and checks.
func (p plan) play(ctx context.Context, directory string, output io.Writer) (Summary, error) {
	history := &History{EnginesFence: p.enginesFence}
	lasting, stop := context.WithCancel(ctx)
	defer stop()
	d, err := deploy(lasting, p, directory, history)
	if d != nil {
		defer func() {
			stop()
			d.close()
		}()
	}
	if err != nil {
		return Summary{}, err
	}
	driver := newDriver(d)
	driver.crashes = p.schedule != LeaderFaults
	driver.placement, driver.changesHomes = p.placement(), p.has(HomeChanges)
	driver.configure()
	if err := d.awaitReady(ctx); err != nil {
		return Summary{}, err
	}
	began := time.Now()
	_, _ = fmt.Fprintln(output, "load began at", began.Format(clockFormat))
	loaded, cancel := context.WithDeadline(ctx, began.Add(p.length))
	defer cancel()
	driver.run(loaded, lasting)
	if p.schedule == LeaderFaults {
		driver.callers.Go(func() { driver.nameVersions(loaded) })
	}
	var progress sync.Mutex
	go reportProgress(loaded, history, &progress, output)
	d.inject(loaded, p.faults, func(fault Fault) {
		progress.Lock()
		defer progress.Unlock()
		_, _ = fmt.Fprintln(output, fault)
	})
	<-loaded.Done()
	if ctx.Err() != nil {
		return Summary{}, errors.Wrap(ctx.Err(), "the soak was ended before its time")
	}
	driver.callers.Wait()
	waitAtMost(driver.jobs.Wait, finishTime)
	if err := d.awaitReady(ctx); err != nil {
		return Summary{}, err
	}
	driver.readAll(ctx)
	if ctx.Err() != nil {
		return Summary{}, errors.Wrap(ctx.Err(), "the soak was ended before its checks")
	}
	return p.summarize(time.Since(began), d), nil
}

// waitAtMost waits for what must end, but not beyond the limit: what has not
// ended by then shows in the checks.
func waitAtMost(wait func(), limit time.Duration) {
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		wait()
	}()
	select {
	case <-ended:
	case <-time.After(limit):
	}
}

func reportProgress(ctx context.Context, history *History, progress *sync.Mutex, output io.Writer) {
	for retry.Sleep(ctx, progressPeriod) {
		progress.Lock()
		history.update(func() {
			_, _ = fmt.Fprintf(output, "     %d calls, %d jobs, %d configurations, %d probes\n",
				len(history.Calls), len(history.Jobs), len(history.Configs), len(history.Probes))
		})
		progress.Unlock()
	}
}

// summarize checks the history and counts what was done.
func (p plan) summarize(took time.Duration, d *deployment) Summary {
	history := d.history
	history.mu.Lock()
	defer history.mu.Unlock()
	history.Engines = d.engines()
	history.Usage = d.duties.Usage()
	summary := Summary{
		Seed: p.seed, Seconds: took.Seconds(), Faults: len(p.faults), Calls: len(history.Calls), Jobs: len(history.Jobs),
		Probes: len(history.Probes), Violations: Check(history, p.bounds),
	}
	for _, end := range d.unplannedEnds() {
		summary.Violations = append(summary.Violations, Violation{Rule: "FAULT", Detail: end})
	}
	for _, call := range history.Calls {
		if call.Whole && call.Answer.Status == statusOK {
			summary.Answered++
		}
	}
	for _, job := range history.Jobs {
		if job.Accepted {
			summary.Accepted++
		}
		summary.Results += len(job.Positions)
	}
	leaders := make(map[string]bool)
	for _, engine := range history.Engines {
		for _, order := range engine.Orders {
			leaders[order.Holder] = true
		}
		summary.Runs += len(engine.Runs)
		summary.Orders += len(engine.Orders)
	}
	summary.Leaders, summary.CloseChanges = len(leaders), closeChanges(history, p.bounds)
	return summary
}
