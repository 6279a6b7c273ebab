package batch

import (
	"slices"
	"time"
)

// Result is the result at one position of a job.
type Result struct {
	Item      int
	Outcome   Outcome
	Versions  []int64
	Text      Span
	TextBytes int
	// Score is the result of the item's scoring call; empty if it has none.
	Score string
}

// Job is a batch job with its results.
type Job struct {
	JobRecord
	// Results are indexed by position.
	Results []Result
	// Ended is true once the submitter has ended the job.
	Ended bool
	// SeenAt is the time at which this process read the job's record.
	SeenAt time.Time
	// Incomplete is true if skipped records may hold results of the job, or its end. The positions
	// of later results are then unknown.
	Incomplete bool
	hasResult  []bool
	byID       map[string]int
	groups     groups
	// progress holds the saved partial output of items without a result, by item.
	progress map[int]Progress
}

// Progress is the saved partial output of an item without a result.
type Progress struct {
	// Chain identifies the run that produced the last part.
	Chain string
	// To is the number of the last event.
	To       int64
	Versions []int64
	// Parts refer to the text of the parts, in order. Events are separated by line feeds, also across parts.
	Parts     []Span
	TextBytes int
	// Complete is true if the output is complete.
	Complete bool
}

// maxAcceptedAge bounds the time between the acceptance of a job and the reading of its record above which the two
// clocks are assumed to differ. A node that starts reads the records of all retained jobs and must reach the same time as
// the nodes that read them at once, so the bound exceeds the default retention of two minutes several times.
const maxAcceptedAge = 10 * time.Minute

// AcceptedAt returns when the job was accepted. A node that reads the log only after it has started sees records late,
// so the time in the record counts, unless the clock of the node that wrote it is evidently wrong.
func (j *Job) AcceptedAt() time.Time {
	accepted := time.UnixMilli(j.AcceptedMs)
	if age := j.SeenAt.Sub(accepted); j.AcceptedMs == 0 || age < 0 || age > maxAcceptedAge {
		return j.SeenAt
	}
	return accepted
}

// Progress returns the saved partial output of an item, and whether there is any.
func (j *Job) Progress(item int) (Progress, bool) {
	progress, found := j.progress[item]
	return progress, found
}

func (j *Job) HasResult(item int) bool { return j.hasResult[item] }

// ItemIndex returns the index of the item with the given ID, and whether it exists.
func (j *Job) ItemIndex(id string) (int, bool) {
	index, found := j.byID[id]
	return index, found
}

// Open reports whether the job has items to run.
func (j *Job) Open() bool { return !j.Ended && len(j.Results) < len(j.Items) }

// Milestone returns the number of results that the job had when the submitter most recently may
// have received everything that it waits for, see groups; zero if that has not happened.
func (j *Job) Milestone() int { return j.groups.milestone }

// PayloadOffset returns the offset of the item's payload in the data topic; -1 if the item has none.
func (j *Job) PayloadOffset(item int) int64 {
	for _, span := range j.Payloads {
		if item < span.Count {
			return span.First + int64(item)
		}
		item -= span.Count
	}
	return -1
}

// Observer is notified of changes in record order. Its methods must not block.
type Observer interface {
	JobAdded(job *Job)
	ResultAdded(job *Job, item int)
	JobEnded(job *Job)
}

// Partition is the state of a partition after the records before offset Next.
type Partition struct {
	Next int64
	jobs map[string]*Job
	// observers are notified in order of registration.
	observers []Observer
}

// NewPartition returns the state before the first record.
func NewPartition() *Partition { return &Partition{jobs: make(map[string]*Job)} }

// Job returns the job with the given ID, or nil.
func (p *Partition) Job(id string) *Job { return p.jobs[id] }

// EarlierJobs returns the known jobs of the same model and host in the comparedSteps before
// the job's step.
func (p *Partition) EarlierJobs(record *JobRecord) []EarlierJob {
	var earlier []EarlierJob
	for _, job := range p.jobs {
		sameSeries := job.Model == record.Model && job.Host == record.Host
		if !sameSeries || job.Step >= record.Step || job.Step < record.Step-comparedSteps {
			continue
		}
		names := make(map[string]bool, len(job.groups.missing))
		for name := range job.groups.missing {
			names[name] = true
		}
		earlier = append(earlier, EarlierJob{Step: job.Step, Groups: names})
	}
	return earlier
}

// Observe registers an observer, if it is not registered yet, and notifies it of all open jobs.
func (p *Partition) Observe(observer Observer) {
	if !slices.Contains(p.observers, observer) {
		p.observers = append(p.observers, observer)
	}
	for _, job := range p.jobs {
		if job.Open() {
			observer.JobAdded(job)
		}
	}
}

// Unobserve unregisters the observer.
func (p *Partition) Unobserve(observer Observer) {
	p.observers = slices.DeleteFunc(p.observers, func(each Observer) bool { return each == observer })
}

// Observed reports whether an observer is registered.
func (p *Partition) Observed() bool { return len(p.observers) > 0 }

// Skip skips one unreadable record.
func (p *Partition) Skip() { p.Next++ }

// SkipTo skips records that the log has dropped, up to the given offset. Jobs with missing results
// become incomplete but stay open, so that their runner continues: a result that is recorded
// twice has no effect.
func (p *Partition) SkipTo(first int64) {
	p.Next = max(p.Next, first)
	for _, job := range p.jobs {
		if len(job.Results) < len(job.Items) {
			job.Incomplete = true
		}
	}
}

// Apply applies the record at the offset Next, read at the given time.
func (p *Partition) Apply(record Record, at time.Time) {
	p.Next++
	switch {
	case record.Job != nil:
		p.addJob(*record.Job, at)
	case record.End != "":
		p.endJob(record.End)
	}
	for _, result := range record.Results {
		p.addResult(result)
	}
	for _, progress := range record.Progress {
		p.addProgress(progress)
	}
}

// addProgress adds a part to an item's saved output. A part that starts at the first event begins
// a new chain. Any other part must continue the saved chain; otherwise it comes from a run that
// did not know the chain, and is dropped.
func (p *Partition) addProgress(record ProgressRecord) {
	job, found := p.jobs[record.Job]
	if !found || record.Item < 0 || record.Item >= len(job.Items) || job.hasResult[record.Item] || job.Ended {
		return
	}
	saved := job.progress[record.Item]
	switch {
	case record.From == 0 && record.Continues == "" && record.Chain != saved.Chain:
		saved = Progress{}
	case record.From != saved.To || record.Chain != saved.Chain && record.Continues != saved.Chain:
		return
	}
	saved.Chain, saved.To, saved.Complete = record.Chain, record.To, record.Complete
	// Copies of the job share the slices, so they are clipped to make append copy them.
	if record.To > record.From {
		saved.Parts = append(slices.Clip(saved.Parts), record.Text)
		saved.TextBytes += record.TextBytes
	}
	saved.Versions = slices.Clip(saved.Versions)
	for _, version := range record.Versions {
		if !slices.Contains(saved.Versions, version) {
			saved.Versions = append(saved.Versions, version)
		}
	}
	if job.progress == nil {
		job.progress = make(map[int]Progress)
	}
	job.progress[record.Item] = saved
}

func (p *Partition) addJob(record JobRecord, at time.Time) {
	if _, found := p.jobs[record.ID]; found {
		return
	}
	job := &Job{
		JobRecord: record,
		SeenAt:    at,
		hasResult: make([]bool, len(record.Items)),
		byID:      make(map[string]int, len(record.Items)),
		groups:    newGroups(record),
	}
	for i, item := range record.Items {
		job.byID[item.ID] = i
	}
	p.jobs[record.ID] = job
	for _, observer := range p.observers {
		observer.JobAdded(job)
	}
}

func (p *Partition) endJob(id string) {
	job, found := p.jobs[id]
	if !found || job.Ended {
		return
	}
	job.Ended = true
	job.progress = nil
	for _, observer := range p.observers {
		observer.JobEnded(job)
	}
}

// addResult adds a result unless the item already has one.
func (p *Partition) addResult(record ResultRecord) {
	job, found := p.jobs[record.Job]
	if !found || record.Item < 0 || record.Item >= len(job.Items) || job.hasResult[record.Item] {
		return
	}
	job.hasResult[record.Item] = true
	delete(job.progress, record.Item)
	job.Results = append(job.Results, Result{
		Item: record.Item, Outcome: record.Outcome, Versions: record.Versions,
		Text: record.Text, TextBytes: record.TextBytes, Score: record.Score,
	})
	job.groups.addResult(job.Items[record.Item].Group, len(job.Results))
	for _, observer := range p.observers {
		observer.ResultAdded(job, record.Item)
	}
}

// Forget removes jobs that were read before the given time and are not open, and returns
// their number.
func (p *Partition) Forget(before time.Time) int {
	dropped := 0
	for id, job := range p.jobs {
		if job.SeenAt.Before(before) && !job.Open() {
			delete(p.jobs, id)
			dropped++
		}
	}
	return dropped
}
