package timeline

import (
	"cmp"
	"encoding/json"
	"slices"
	"time"
)

const (
	maxJobs        = 20000
	maxAcceptances = 64 // per job
)

// Job is a batch job, one step of a trainer. A time that was not logged is zero.
type Job struct {
	ID    string
	Model string
	Step  int64
	Items int
	// Submitted is when a node accepted the submission, EndRequested when a node accepted the call for its end.
	Submitted, EndRequested time.Time
	// Accepted holds the times at which a leader began to run it, several after takeovers.
	Accepted []time.Time
	// FirstStart is when its first item went to an engine.
	FirstStart time.Time
	// Ended is when a leader ended its runs.
	Ended         time.Time
	ItemsFinished int
	// SubmitsRefused and EndsRefused count failed calls; FirstSubmitAttempt and LastSubmitAttempt include accepted ones.
	SubmitsRefused, EndsRefused           int
	FirstEndRefused, LastEndRefused       time.Time
	FirstSubmitAttempt, LastSubmitAttempt time.Time
}

type jobRecord struct {
	Job   string `json:"job"`
	Model string `json:"model"`
	Step  int64  `json:"step"`
	Items int    `json:"items"`
	Error string `json:"error"`
}

// job returns the job that the line names, or nil if it names none or maxJobs is reached.
func (b *Builder) job(raw []byte) (*Job, jobRecord, error) {
	var record jobRecord
	if err := json.Unmarshal(raw, &record); err != nil {
		return nil, record, err
	}
	if record.Job == "" {
		return nil, record, errIncomplete
	}
	known := b.jobs[record.Job]
	if known == nil && len(b.jobs) >= maxJobs {
		b.timeline.Lines.Omitted++
		return nil, record, nil
	}
	if known == nil {
		known = &Job{ID: record.Job}
		b.jobs[record.Job] = known
	}
	if record.Model != "" {
		known.Model, known.Step, known.Items = record.Model, record.Step, record.Items
	}
	return known, record, nil
}

func (b *Builder) addJobSubmitted(line header, raw []byte) error {
	job, record, err := b.job(raw)
	if job == nil {
		return err
	}
	at := time.UnixMilli(line.Time)
	setEarliest(&job.FirstSubmitAttempt, at)
	setLatest(&job.LastSubmitAttempt, at)
	if record.Error != "" {
		job.SubmitsRefused++
		return nil
	}
	setEarliest(&job.Submitted, at)
	b.progress.add(line.Time)
	return nil
}

func (b *Builder) addJobEndRequested(line header, raw []byte) error {
	job, record, err := b.job(raw)
	if job == nil {
		return err
	}
	at := time.UnixMilli(line.Time)
	if record.Error != "" {
		job.EndsRefused++
		setEarliest(&job.FirstEndRefused, at)
		setLatest(&job.LastEndRefused, at)
		return nil
	}
	setEarliest(&job.EndRequested, at)
	b.progress.add(line.Time)
	return nil
}

func (b *Builder) addJobAccepted(line header, raw []byte) error {
	job, _, err := b.job(raw)
	if job == nil {
		return err
	}
	if len(job.Accepted) >= maxAcceptances {
		b.timeline.Lines.Omitted++
		return nil
	}
	job.Accepted = append(job.Accepted, time.UnixMilli(line.Time))
	return nil
}

func (b *Builder) addJobEnded(line header, raw []byte) error {
	job, _, err := b.job(raw)
	if job == nil {
		return err
	}
	setLatest(&job.Ended, time.UnixMilli(line.Time))
	return nil
}

func (b *Builder) addItemStarted(line header, raw []byte) error {
	job, _, err := b.job(raw)
	if job == nil {
		return err
	}
	setEarliest(&job.FirstStart, time.UnixMilli(line.Time))
	return nil
}

func (b *Builder) addItemFinished(line header, raw []byte) error {
	job, _, err := b.job(raw)
	if job == nil {
		return err
	}
	job.ItemsFinished++
	b.progress.add(line.Time)
	return nil
}

func setEarliest(known *time.Time, at time.Time) {
	if known.IsZero() || at.Before(*known) {
		*known = at
	}
}

func setLatest(known *time.Time, at time.Time) {
	if at.After(*known) {
		*known = at
	}
}

// First returns the earliest time logged for the job.
func (j *Job) First() time.Time {
	var first time.Time
	for _, at := range append([]time.Time{
		j.FirstSubmitAttempt, j.EndRequested, j.FirstEndRefused, j.FirstStart, j.Ended,
	}, j.Accepted...) {
		if !at.IsZero() {
			setEarliest(&first, at)
		}
	}
	return first
}

// sortedJobs returns the jobs in order of their first line.
func (b *Builder) sortedJobs() []Job {
	jobs := make([]Job, 0, len(b.jobs))
	for _, job := range b.jobs {
		slices.SortFunc(job.Accepted, time.Time.Compare)
		jobs = append(jobs, *job)
	}
	slices.SortFunc(jobs, func(a, b Job) int {
		return cmp.Or(a.First().Compare(b.First()), cmp.Compare(a.ID, b.ID))
	})
	return jobs
}
