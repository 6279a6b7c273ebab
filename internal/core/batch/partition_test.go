package batch

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

var now = time.Unix(1000, 0)

func jobRecord(id string, items int) Record {
	record := JobRecord{ID: id}
	for i := range items {
		record.Items = append(record.Items, ItemRecord{ID: fmt.Sprintf("%s-%d", id, i)})
	}
	return Record{Job: &record}
}

func result(job string, item int, outcome Outcome) Record {
	return Record{Results: []ResultRecord{{Job: job, Item: item, Outcome: outcome}}}
}

func progressOf(chain, continues string, from, to int64) Record {
	return Record{Progress: []ProgressRecord{{
		Job: "j", Chain: chain, Continues: continues, From: from, To: to, Versions: []int64{to},
		Text: Span{First: to, Count: 1}, TextBytes: 1,
	}}}
}

func TestFirstRecordOfAJobAndOfAResultWins(t *testing.T) {
	p := NewPartition()
	p.Apply(jobRecord("j", 2), now)
	p.Apply(result("j", 1, Completed), now)
	p.Apply(jobRecord("j", 5), now)
	p.Apply(result("j", 1, Expired), now)
	p.Apply(result("j", 0, Expired), now)
	p.Apply(result("j", 7, Completed), now)
	p.Apply(result("other", 0, Completed), now)
	job := p.Job("j")
	assert.Equal(t, len(job.Items), 2)
	assert.Equal(t, len(job.Results), 2)
	assert.Equal(t, job.Results[0].Item, 1)
	assert.Equal(t, job.Results[0].Outcome, Completed)
	assert.Equal(t, job.Results[1].Outcome, Expired)
	assert.Assert(t, !job.Open())
}

func TestProgressFormsOneChain(t *testing.T) {
	p := NewPartition()
	p.Apply(jobRecord("j", 1), now)
	for _, step := range []struct {
		record Record
		chain  string
		to     int64
	}{
		{progressOf("a", "", 0, 3), "a", 3},
		{progressOf("a", "", 0, 3), "a", 3},  // duplicate
		{progressOf("a", "", 3, 5), "a", 5},  // same run continues
		{progressOf("b", "x", 5, 8), "a", 5}, // continues an unknown chain
		{progressOf("b", "a", 3, 8), "a", 5}, // continues from an outdated event
		{progressOf("c", "a", 5, 9), "c", 9}, // continues the chain from its last event
		{progressOf("a", "", 5, 7), "c", 9},  // superseded run continues
		{progressOf("a", "", 9, 11), "c", 9}, // superseded run has reached the same event
		{progressOf("d", "", 0, 2), "d", 2},  // restarts from the first event
	} {
		p.Apply(step.record, now)
		saved, _ := p.Job("j").Progress(0)
		assert.Equal(t, saved.Chain, step.chain)
		assert.Equal(t, saved.To, step.to)
	}
	saved, _ := p.Job("j").Progress(0)
	assert.DeepEqual(t, saved.Versions, []int64{2})
	p.Apply(result("j", 0, Completed), now)
	_, found := p.Job("j").Progress(0)
	assert.Assert(t, !found)
}

func TestPartWithoutEventsMarksOutputComplete(t *testing.T) {
	p := NewPartition()
	p.Apply(jobRecord("j", 1), now)
	p.Apply(progressOf("a", "", 0, 3), now)
	end := progressOf("a", "", 3, 3)
	end.Progress[0].Complete = true
	end.Progress[0].Text = Span{}
	p.Apply(end, now)
	saved, _ := p.Job("j").Progress(0)
	assert.Assert(t, saved.Complete)
	assert.DeepEqual(t, saved.Parts, []Span{{First: 3, Count: 1}})
}

func TestResultKeepsTheFirstScore(t *testing.T) {
	p := NewPartition()
	p.Apply(jobRecord("j", 1), now)
	for _, score := range []string{"first", "second"} {
		scored := result("j", 0, Completed)
		scored.Results[0].Score = score
		p.Apply(scored, now)
	}
	assert.Equal(t, p.Job("j").Results[0].Score, "first")
}

func TestPayloadOffsetAcrossSpans(t *testing.T) {
	job := Job{JobRecord: JobRecord{Payloads: []Span{{First: 10, Count: 2}, {First: 40, Count: 1}}}}
	assert.Equal(t, job.PayloadOffset(1), int64(11))
	assert.Equal(t, job.PayloadOffset(2), int64(40))
	assert.Equal(t, job.PayloadOffset(3), int64(-1))
}

func TestForgetDropsOnlyOldJobsThatAreNotOpen(t *testing.T) {
	p := NewPartition()
	p.Apply(jobRecord("open", 1), now)
	p.Apply(jobRecord("ended", 1), now)
	p.Apply(jobRecord("young", 1), now.Add(time.Hour))
	p.Apply(Record{End: "ended"}, now)
	p.Apply(Record{End: "young"}, now)
	assert.Equal(t, p.Forget(now.Add(time.Minute)), 1)
	assert.Assert(t, p.Job("open") != nil && p.Job("young") != nil && p.Job("ended") == nil)
}

// recorder is an Observer that records its notifications.
type recorder struct{ added, results, ended []string }

func (r *recorder) JobAdded(job *Job)           { r.added = append(r.added, job.ID) }
func (r *recorder) ResultAdded(job *Job, _ int) { r.results = append(r.results, job.ID) }
func (r *recorder) JobEnded(job *Job)           { r.ended = append(r.ended, job.ID) }

func TestObserverIsNotifiedOfOpenJobsAndChanges(t *testing.T) {
	p := NewPartition()
	p.Apply(jobRecord("old", 1), now)
	p.Apply(Record{End: "old"}, now)
	p.Apply(jobRecord("open", 2), now)
	var notified recorder
	p.Observe(&notified)
	p.Apply(jobRecord("new", 1), now)
	p.Apply(result("open", 0, Completed), now)
	p.Apply(Record{End: "new"}, now)
	p.Apply(Record{End: "new"}, now)
	p.Unobserve(&notified)
	p.Apply(Record{End: "open"}, now)
	assert.DeepEqual(t, notified.added, []string{"open", "new"})
	assert.DeepEqual(t, notified.results, []string{"open"})
	assert.DeepEqual(t, notified.ended, []string{"new"})
}

// Guards against readers that disagree on the results, and against result positions that change.
func TestReadersAgreeAndPositionsNeverChange(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		one, two := NewPartition(), NewPartition()
		seen := map[string][]Result{}
		for range rapid.IntRange(1, 50).Draw(t, "records") {
			record := drawRecord(t)
			raw, err := record.Encode()
			if err != nil {
				t.Fatal(err)
			}
			decoded, err := Decode(raw)
			if err != nil {
				t.Fatal(err)
			}
			one.Apply(record, now)
			two.Apply(decoded, now.Add(time.Hour))
			for id, job := range one.jobs {
				for position, before := range seen[id] {
					if job.Results[position].Item != before.Item || job.Results[position].Outcome != before.Outcome {
						t.Fatalf("result at position %d of job %s changed", position, id)
					}
				}
				seen[id] = append([]Result(nil), job.Results...)
				other := two.Job(id)
				if other == nil || len(other.Results) != len(job.Results) || other.Ended != job.Ended {
					t.Fatalf("readers disagree on job %s", id)
				}
				items := map[int]bool{}
				for _, each := range job.Results {
					if items[each.Item] {
						t.Fatalf("item %d of job %s has two result positions", each.Item, id)
					}
					items[each.Item] = true
				}
			}
		}
	})
}

func drawRecord(t *rapid.T) Record {
	id := rapid.SampledFrom([]string{"a", "b", "j"}).Draw(t, "job")
	switch rapid.IntRange(0, 4).Draw(t, "kind") {
	case 0:
		return jobRecord(id, rapid.IntRange(1, 4).Draw(t, "items"))
	case 1:
		return Record{End: id}
	case 2:
		from := rapid.Int64Range(0, 3).Draw(t, "from")
		return progressOf(rapid.SampledFrom([]string{"x", "y"}).Draw(t, "chain"), "", from, from+1)
	default:
		return result(id, rapid.IntRange(-1, 5).Draw(t, "item"), Outcome(rapid.IntRange(1, 2).Draw(t, "outcome")))
	}
}

func FuzzDecode(f *testing.F) {
	raw, err := jobRecord("j", 2).Encode()
	if err != nil {
		f.Fatal(err)
	}
	f.Add(raw)
	f.Add([]byte{0xdf, 0xff, 0xff, 0xff, 0xff})
	f.Fuzz(func(_ *testing.T, raw []byte) {
		if record, err := Decode(raw); err == nil {
			NewPartition().Apply(record, now)
		}
	})
}

// BenchmarkApply decodes and applies the records of one job of 100 items.
func BenchmarkApply(b *testing.B) {
	const items = 100
	var encoded [][]byte
	add := func(record Record) {
		raw, err := record.Encode()
		if err != nil {
			b.Fatal(err)
		}
		encoded = append(encoded, raw)
	}
	add(jobRecord("j", items))
	for i := range items {
		add(result("j", i, Completed))
	}
	b.ReportAllocs()
	for b.Loop() {
		p := NewPartition()
		for _, raw := range encoded {
			record, err := Decode(raw)
			if err != nil {
				b.Fatal(err)
			}
			p.Apply(record, now)
		}
	}
}

// Guards against a gap in the log that closes open jobs, or that marks jobs incomplete which it cannot have affected.
func TestSkippedRecordsMakeOnlyJobsWithMissingResultsIncomplete(t *testing.T) {
	p := NewPartition()
	p.Apply(jobRecord("complete", 1), now)
	p.Apply(result("complete", 0, Completed), now)
	p.Apply(jobRecord("open", 2), now)
	p.Apply(result("open", 1, Completed), now)
	p.SkipTo(9)
	assert.Equal(t, p.Next, int64(9))
	p.Apply(jobRecord("later", 1), now)
	assert.Assert(t, !p.Job("complete").Incomplete)
	assert.Assert(t, p.Job("open").Incomplete)
	assert.Assert(t, !p.Job("later").Incomplete)
	assert.Assert(t, p.Job("open").Open())
	p.Apply(result("open", 0, Completed), now)
	assert.Assert(t, p.Job("open").Incomplete)
	assert.Assert(t, !p.Job("open").Open())
}

// Guards against due times that count from the restart of the process that reads the record, and against clocks of other
// nodes that are evidently wrong.
func TestAcceptedAtIsTheRecordedTimeUnlessItIsImplausible(t *testing.T) {
	for offset, wanted := range map[time.Duration]time.Duration{
		-3 * time.Second: -3 * time.Second, time.Second: 0, -time.Hour: 0,
		-maxAcceptedAge: -maxAcceptedAge, -maxAcceptedAge - time.Millisecond: 0,
	} {
		record := jobRecord("j", 1)
		record.Job.AcceptedMs = now.Add(offset).UnixMilli()
		p := NewPartition()
		p.Apply(record, now)
		assert.Assert(t, p.Job("j").AcceptedAt().Equal(now.Add(wanted)), "%s", offset)
	}
	p := NewPartition()
	p.Apply(jobRecord("j", 1), now)
	assert.Assert(t, p.Job("j").AcceptedAt().Equal(now), "a record of an earlier build has no time")
}

// Guards against a new leader that orders retained jobs by other times than the old one, because it reads their records
// minutes after they were accepted.
func TestAcceptedAtOfRetainedJobsDoesNotDependOnTheReader(t *testing.T) {
	record := jobRecord("j", 1)
	record.Job.AcceptedMs = now.UnixMilli()
	for _, delay := range []time.Duration{0, 31 * time.Second, 2 * time.Minute, 5 * time.Minute} {
		p := NewPartition()
		p.Apply(record, now.Add(delay))
		assert.Assert(t, p.Job("j").AcceptedAt().Equal(now), "%s", delay)
	}
}
