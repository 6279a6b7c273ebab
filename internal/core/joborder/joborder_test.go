package joborder

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

var now = time.Unix(1000, 0)

const dueAfter = 7500 * time.Millisecond

// pace lets an item of 100 tokens take 3 s on a fast engine and 6 s on the median one.
var pace = Pace{Best: 30 * time.Millisecond, Median: 60 * time.Millisecond}

// jobOf returns a job of submitter that was accepted the given time ago, with one group for each length.
func jobOf(id, submitter string, age time.Duration, lengths ...int) Job {
	created := Job{ID: id, Submitter: submitter, Model: submitter, Accepted: now.Add(-age), DueAfter: dueAfter}
	for i, length := range lengths {
		created.Items = append(created.Items, Item{Group: fmt.Sprint(i), Length: length})
	}
	return created
}

// orderOf returns the IDs of the jobs in start order.
func orderOf(order *Order) []string {
	var ids []string
	for _, each := range order.ranked {
		ids = append(ids, each.ID)
	}
	return ids
}

// refreshed returns the start order of jobs that are added in the given order.
func refreshed(at time.Time, jobs ...Job) []string {
	order := New()
	for _, each := range jobs {
		order.Add(each)
	}
	order.Refresh(at, pace)
	return orderOf(order)
}

func TestPriorityComesFirst(t *testing.T) {
	urgent := jobOf("urgent", "a", 0, 10)
	urgent.Priority = 1
	normal := jobOf("normal", "b", 5*time.Second, 80)
	normal.Priority = 2
	assert.DeepEqual(t, refreshed(now, normal, urgent), []string{"urgent", "normal"})
}

// Guards against long items that start too late because a job with more time was accepted earlier.
func TestLeastSlackStartsFirst(t *testing.T) {
	short, long := jobOf("short", "a", time.Second, 20), jobOf("long", "b", 0, 100)
	assert.DeepEqual(t, refreshed(now, short, long), []string{"long", "short"})
}

// Guards against a job that is lost anyway delaying others until they are lost as well.
func TestJobsThatCanBeInTimePrecedeOthers(t *testing.T) {
	lost, open := jobOf("lost", "a", 5*time.Second, 100), jobOf("open", "b", 0, 20)
	assert.DeepEqual(t, refreshed(now, lost, open), []string{"open", "lost"})
}

// Guards against a late job that waits for as long as new jobs arrive.
func TestLateJobGainsRankWhileItWaits(t *testing.T) {
	lost, open := jobOf("lost", "a", 0, 300), jobOf("open", "b", 0, 20)
	open.Accepted = now.Add(8 * time.Second)
	assert.DeepEqual(t, refreshed(now.Add(8*time.Second), lost, open), []string{"open", "lost"})
	later := now.Add(time.Duration(promotionAge * float64(dueAfter)))
	open.Accepted = later
	assert.DeepEqual(t, refreshed(later, lost, open), []string{"lost", "open"})
}

// Guards against a submitter that stays behind because its next steps are ordered like those of others.
func TestSubmitterThatIsBehindPrecedesOthers(t *testing.T) {
	missed, next := jobOf("missed", "behind", dueAfter+10*time.Second, 20), jobOf("next", "behind", 0, 20)
	missed.Step, next.Step = 4, 5
	other := jobOf("other", "punctual", time.Second, 20)
	assert.DeepEqual(t, refreshed(now, other, next, missed), []string{"missed", "next", "other"})
	assert.DeepEqual(t, refreshed(now, other, next), []string{"other", "next"})
}

// Guards against jobs that pass earlier steps of their model, for which the submitter waits first.
func TestEarlierStepsStartFirst(t *testing.T) {
	early, late := jobOf("step-4", "a", 0, 20), jobOf("step-5", "a", 0, 100)
	early.Step, late.Step = 4, 5
	between := jobOf("between", "b", 0, 60)
	assert.DeepEqual(t, refreshed(now, late, between, early), []string{"step-4", "step-5", "between"})
}

// Guards against one submitter bearing a shortage because of its name or the time of its jobs.
func TestSubmitterBelowItsSharePrecedesOthers(t *testing.T) {
	order := New()
	order.Add(jobOf("a1", "a", 100*time.Millisecond, 20, 20, 20, 20))
	order.Add(jobOf("b1", "b", 0, 20, 20, 20, 20))
	order.Refresh(now, pace)
	assert.DeepEqual(t, orderOf(order), []string{"a1", "b1"})
	order.Started("a1", 0, now)
	order.Started("a1", 1, now)
	order.Refresh(now.Add(RefreshInterval), pace)
	assert.DeepEqual(t, orderOf(order), []string{"b1", "a1"})
	order.Started("b1", 0, now.Add(RefreshInterval))
	order.Started("b1", 1, now.Add(RefreshInterval))
	order.Started("b1", 2, now.Add(RefreshInterval))
	order.Refresh(now.Add(2*RefreshInterval), pace)
	assert.DeepEqual(t, orderOf(order), []string{"a1", "b1"})
}

// Guards against work of long ago that still counts, and against restarts of one item that count again.
func TestStartedWorkDecaysAndCountsOnce(t *testing.T) {
	order := New()
	order.Add(jobOf("a1", "a", 0, 1000))
	for range 3 {
		order.Started("a1", 0, now)
	}
	started := order.shares.started[order.jobs["a1"].shareKey()]
	assert.Equal(t, started.decayed(now), 1000.0)
	assert.Equal(t, started.decayed(now.Add(shareHalfLife)), 500.0)
	order.Forget("a1")
	order.Refresh(now.Add(time.Minute), pace)
	assert.Equal(t, len(order.shares.started), 0)
}

// surplusOf returns the indices of the groups that count as surplus.
func surplusOf(added Job, at time.Time) []int {
	order := New()
	entry := order.Add(added)
	order.Refresh(at, pace)
	var surplus []int
	for item := range added.Items {
		if entry.IsSurplus(item) {
			surplus = append(surplus, item)
		}
	}
	return surplus
}

// Guards against items that nobody waits for taking the slots of awaited ones, and against leaving them out forever.
func TestGroupsBeyondTheWantedNumberAreSurplus(t *testing.T) {
	wanted := jobOf("j", "a", 0, 150, 20, 140, 30, 0, 10)
	wanted.Wanted = 4
	assert.DeepEqual(t, surplusOf(wanted, now), []int{0, 2})
	wanted.CarriedOver = 1
	assert.DeepEqual(t, surplusOf(wanted, now), []int{2, 4}) // group 0 is carried over
	wanted.Items[1].Done = true
	assert.DeepEqual(t, surplusOf(wanted, now), []int{2, 4}) // group 1 is complete and counts toward the wanted number
	wanted.Wanted = 0
	assert.Equal(t, len(surplusOf(wanted, now)), 0)
	wanted.Wanted = 4
	assert.Equal(t, len(surplusOf(wanted, now.Add(surplusAge*dueAfter))), 0)
}

// Guards against surplus items that precede awaited ones of another job.
func TestSurplusFollowsAwaitedItemsOfAllJobsOfThePriority(t *testing.T) {
	first, second, lower := jobOf("first", "a", 0, 50, 60), jobOf("second", "b", 0, 10, 20), jobOf("lower", "c", 0, 50)
	first.Wanted, second.Wanted, lower.Priority = 1, 1, 1
	order := New()
	var entries []*Entry
	for _, each := range []Job{first, second, lower} {
		entries = append(entries, order.Add(each))
	}
	order.Refresh(now, pace)
	assert.DeepEqual(t, entries[0].Positions(), Positions{Awaited: 0, Surplus: 2})
	assert.DeepEqual(t, entries[1].Positions(), Positions{Awaited: 1, Surplus: 3})
	assert.DeepEqual(t, entries[2].Positions(), Positions{Awaited: 4, Surplus: 5})
}

// Guards against one wrong hint, or one unknown length, that changes when the whole job starts.
func TestOneWrongHintHardlyChangesTheRank(t *testing.T) {
	lengths := make([]int, 40)
	for i := range lengths {
		lengths[i] = 20
	}
	rankOf := func(length int) rank {
		order := New()
		entry := order.Add(jobOf("j", "a", 0, append(slices.Clone(lengths), length)...))
		order.Refresh(now, pace)
		return entry.rank
	}
	right := rankOf(20)
	for _, wrong := range []int{0, 1, 100_000} {
		assert.Equal(t, rankOf(wrong), right, "length %d", wrong)
	}
}

// Guards against a job that counts as lost because its hints are somewhat too long.
func TestOverestimatedLengthsDoNotMakeAJobLate(t *testing.T) {
	order := New()
	entry := order.Add(jobOf("j", "a", 0, 40, 40, 40, 300))
	order.Refresh(now, pace)
	assert.Equal(t, entry.rank.class, inTime)
}

// Guards against a job that is reported late repeatedly, only after its due time, or without the reason.
func TestLateJobIsReportedOnceAndEarly(t *testing.T) {
	order := New()
	order.Add(jobOf("lost", "a", 5*time.Second, 100))
	order.Add(jobOf("open", "b", 0, 100))
	order.Refresh(now, pace)
	decisions := order.TakeDecisions()
	assert.Equal(t, len(decisions), 1)
	assert.Equal(t, decisions[0].Kind, Late)
	assert.Equal(t, decisions[0].Job, "lost")
	assert.Equal(t, decisions[0].Reason, "waiting items need longer")
	assert.Equal(t, decisions[0].Needed, 6*time.Second)
	assert.Equal(t, decisions[0].Slack, -3500*time.Millisecond)
	order.Refresh(now.Add(time.Second), pace)
	assert.Equal(t, len(order.TakeDecisions()), 0)
}

// Guards against decisions that are reported while slots are free, or for each refresh.
func TestOutrankedJobIsReportedOnceWhileContended(t *testing.T) {
	order := New()
	short, long := order.Add(jobOf("short", "a", time.Second, 20)), order.Add(jobOf("long", "b", 0, 100))
	order.Refresh(now, pace)
	assert.Equal(t, len(order.TakeDecisions()), 0)
	short.SetContended(now)
	long.SetContended(now)
	order.Refresh(now.Add(RefreshInterval), pace)
	decisions := order.TakeDecisions()
	assert.Equal(t, len(decisions), 1)
	assert.Equal(t, decisions[0].Kind, Outranked)
	assert.Equal(t, decisions[0].Job, "short")
	assert.Equal(t, decisions[0].Ahead, "long")
	short.SetContended(now.Add(2 * RefreshInterval))
	long.SetContended(now.Add(2 * RefreshInterval))
	order.Refresh(now.Add(2*RefreshInterval), pace)
	assert.Equal(t, len(order.TakeDecisions()), 0)
}

// Guards against a slack that overflows when it is not known when a job was accepted.
func TestJobOfUnknownAgeCountsFromItsFirstRanking(t *testing.T) {
	unknown, older := jobOf("unknown", "a", 0, 20), jobOf("older", "b", time.Second, 20)
	unknown.Accepted = time.Time{}
	assert.DeepEqual(t, refreshed(now, unknown, older), []string{"older", "unknown"})
}

// Guards against ranks that are computed more than a few times a second, and against a new job that waits for them.
func TestRanksAreComputedPeriodically(t *testing.T) {
	order := New()
	entry := order.Add(jobOf("first", "a", 0, 100))
	order.Refresh(now, pace)
	assert.Equal(t, entry.rank.slack, 1500*time.Millisecond)
	order.Add(jobOf("second", "b", 5*time.Second, 20))
	order.Refresh(now.Add(RefreshInterval-1), pace)
	assert.Equal(t, entry.rank.slack, 1500*time.Millisecond)
	assert.DeepEqual(t, orderOf(order), []string{"second", "first"})
	order.Refresh(now.Add(RefreshInterval), pace)
	assert.Equal(t, entry.rank.slack, 1500*time.Millisecond-RefreshInterval)
}

// drawJobs draws open jobs of a few submitters.
func drawJobs(t *rapid.T) []Job {
	jobs := make([]Job, rapid.IntRange(1, 12).Draw(t, "jobs"))
	for i := range jobs {
		lengths := rapid.SliceOfN(rapid.IntRange(0, 200), 1, 12).Draw(t, "lengths")
		age := time.Duration(rapid.IntRange(0, 20_000).Draw(t, "age")) * time.Millisecond
		jobs[i] = jobOf(fmt.Sprint("job-", i), fmt.Sprint(rapid.IntRange(0, 3).Draw(t, "submitter")), age, lengths...)
		jobs[i].Step = int64(rapid.IntRange(0, 5).Draw(t, "step"))
		jobs[i].Priority = rapid.IntRange(0, 1).Draw(t, "priority")
		jobs[i].Wanted = rapid.IntRange(0, len(lengths)).Draw(t, "wanted")
		jobs[i].CarriedOver = jobs[i].Wanted / 2
		for item := range jobs[i].Items {
			jobs[i].Items[item].Done = rapid.IntRange(0, 4).Draw(t, "done") == 0
		}
		if rapid.IntRange(0, 4).Draw(t, "without due time") == 0 {
			jobs[i].DueAfter = 0
		}
	}
	return jobs
}

// Guards against an order that depends on the order in which jobs are added, on earlier refreshes, or on whether the
// results of a job were known when it was added: a new leader must reach the same order from the same records.
func TestOrderDependsOnlyOnRecords(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		jobs := drawJobs(t)
		expected := New()
		for _, each := range jobs {
			expected.Add(each)
		}
		expected.Refresh(now, pace)

		other := New()
		for _, each := range rapid.Permutation(jobs).Draw(t, "order") {
			items := slices.Clone(each.Items)
			for i := range each.Items {
				items[i].Done = false
			}
			earlier := each
			earlier.Items = items
			other.Add(earlier)
			other.Refresh(now.Add(-3*RefreshInterval), pace)
		}
		for _, each := range jobs {
			for i, item := range each.Items {
				if item.Done {
					other.Done(each.ID, i)
				}
			}
		}
		other.Refresh(now, pace)
		assert.DeepEqual(t, orderOf(other), orderOf(expected))
		for _, each := range jobs {
			assert.DeepEqual(t, other.jobs[each.ID].positions, expected.jobs[each.ID].positions)
			for item := range each.Items {
				assert.Equal(t, other.jobs[each.ID].IsSurplus(item), expected.jobs[each.ID].IsSurplus(item))
			}
		}
	})
}

// Guards against a job that never becomes the first of its submitter and priority, however long it waits, and against one
// that never precedes those of others: it may be behind them only while work of its submitter at its own priority, which
// it precedes, starts beyond the submitter's share.
func TestEachJobComesFirstEventually(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		order := New()
		old := drawJobs(t)
		for _, each := range old {
			order.Add(each)
		}
		newest := now.Add(10 * time.Minute)
		var fresh []*Entry
		for priority := range 2 {
			for submitter := range 5 {
				length := rapid.SampledFrom([]int{1, 20, 100, 190}).Draw(t, "length")
				job := jobOf(fmt.Sprint("fresh-", priority, submitter), fmt.Sprint(submitter), now.Sub(newest), length)
				job.Priority, job.Model = priority, "another model" // the order of steps does not apply
				fresh = append(fresh, order.Add(job))
			}
		}
		started := rapid.SliceOf(rapid.SampledFrom(fresh)).Draw(t, "started")
		if greedy := rapid.IntRange(-1, 3).Draw(t, "above its share"); greedy >= 0 {
			name := fmt.Sprint(greedy)
			started = slices.DeleteFunc(slices.Clone(fresh), func(each *Entry) bool { return each.Submitter != name })
		}
		for _, each := range started {
			order.Started(each.ID, 0, newest)
			order.Waiting(each.ID, 0, "", 0)
		}
		order.Refresh(newest, pace)
		for _, job := range old {
			waited := order.jobs[job.ID]
			for _, other := range fresh {
				if other.Priority != waited.Priority {
					continue
				}
				yields := order.shares.exceeded(waited.shareKey()) && other.Submitter != waited.Submitter
				assert.Assert(t, yields || waited.positions.Awaited < other.positions.Awaited, "%s %s", waited.ID, other.ID)
				assert.Assert(t, !slices.ContainsFunc(waited.groups, func(g group) bool { return g.surplus }))
			}
		}
	})
}

// Guards against an old job that gains no rank for as long as its submitter works at another priority.
func TestWorkOfAnotherPriorityDoesNotHoldBackAnOldJob(t *testing.T) {
	order := New()
	order.Add(jobOf("old", "a", time.Minute, 100))
	order.Add(jobOf("other", "b", 0, 190))
	urgent := jobOf("urgent", "a", 0, 100)
	urgent.Priority = -1
	order.Add(urgent)
	order.Started("urgent", 0, now)
	order.Refresh(now, pace)
	assert.DeepEqual(t, orderOf(order), []string{"urgent", "old", "other"})
}

// Guards against a submitter that submits more than it can be given: its old jobs must precede its own other ones, and
// must not delay the jobs of others.
func TestOldJobsOfASubmitterAboveItsShareDoNotDelayOthers(t *testing.T) {
	order := New()
	old, tight := jobOf("old", "greedy", time.Minute, 20), jobOf("tight", "greedy", 0, 150)
	order.Add(old)
	order.Add(jobOf("older", "greedy", 2*time.Minute, 20))
	order.Add(tight)
	order.Add(jobOf("modest-tight", "modest", 0, 200))
	order.Add(jobOf("modest", "modest", 0, 20))
	order.Started("tight", 0, now)
	order.Waiting("tight", 0, "", 0)
	order.Refresh(now, pace)
	order.SetDueAfter("tight", 30*time.Second)
	order.Refresh(now.Add(RefreshInterval), pace)
	assert.DeepEqual(t, orderOf(order), []string{"modest-tight", "older", "old", "modest", "tight"})
	order.SetDueAfter("tight", dueAfter)
	order.Refresh(now.Add(2*RefreshInterval), pace)
	assert.DeepEqual(t, orderOf(order), []string{"modest-tight", "older", "old", "tight", "modest"})
}

// Guards against positions that two jobs share, and against surplus items that precede awaited ones.
func TestPositionsAreUnique(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		order := New()
		for _, each := range drawJobs(t) {
			order.Add(each)
		}
		order.Refresh(now, pace)
		taken := make(map[int]bool)
		for _, each := range order.ranked {
			assert.Assert(t, !taken[each.positions.Awaited] && !taken[each.positions.Surplus])
			taken[each.positions.Awaited], taken[each.positions.Surplus] = true, true
			for _, other := range order.ranked {
				assert.Assert(t, each.Priority != other.Priority || each.positions.Awaited < other.positions.Surplus)
			}
		}
		assert.Equal(t, len(taken), 2*len(order.ranked))
	})
}

// Guards against a job that is open only because its submitter has not ended it yet, or because of surplus groups, and
// that makes the submitter's later jobs precede those of others.
func TestCompleteJobLeavesItsSubmitterNotBehind(t *testing.T) {
	withSurplus := jobOf("complete", "a", 2*dueAfter-time.Second, 100, 100)
	withSurplus.Wanted, withSurplus.Items[0].Done = 1, true
	old := withSurplus
	old.Accepted = now.Add(-surplusAge*dueAfter - time.Second)
	finished := jobOf("complete", "a", 2*dueAfter, 100)
	finished.Items[0].Done = true
	for _, complete := range []Job{withSurplus, old, finished} {
		order := New()
		order.Add(complete)
		entry := order.Add(jobOf("next", "a", 500*time.Millisecond, 50))
		earlier := order.Add(jobOf("earlier", "b", 3*time.Second, 50))
		order.Refresh(now, pace)
		assert.Equal(t, entry.rank.behind, time.Duration(0))
		assert.Assert(t, earlier.Positions().Awaited < entry.Positions().Awaited)
	}
}

// Guards against a submitter that no longer counts as behind while a group that it waits for is unfinished.
func TestIncompleteJobPutsItsSubmitterBehind(t *testing.T) {
	carried := jobOf("carried", "a", dueAfter+time.Second, 100, 100)
	carried.Wanted, carried.CarriedOver, carried.Items[1].Done = 1, 1, true
	wanted := jobOf("wanted", "a", dueAfter+time.Second, 100, 100, 100)
	wanted.Wanted, wanted.Items[0].Done = 2, true
	all := jobOf("all", "a", dueAfter+time.Second, 100, 100)
	all.Items[0].Done = true
	for _, incomplete := range []Job{carried, wanted, all} {
		order := New()
		order.Add(incomplete)
		entry := order.Add(jobOf("next", "a", 0, 50))
		order.Refresh(now, pace)
		assert.Equal(t, entry.rank.behind, time.Second, "%s", incomplete.ID)
		assert.Equal(t, len(order.TakeDecisions()), 1, "%s", incomplete.ID)
	}
}

// Guards against the report that a job cannot be complete in time although its submitter waits for none of its items.
func TestCompleteJobIsNotReportedLate(t *testing.T) {
	complete := jobOf("complete", "a", 0, 100, 100)
	complete.Wanted, complete.Items[0].Done = 1, true
	order := New()
	order.Add(complete)
	for _, age := range []time.Duration{time.Second, dueAfter + time.Second, surplusAge*dueAfter + time.Second} {
		order.Refresh(now.Add(age), pace)
		assert.Equal(t, len(order.TakeDecisions()), 0, "%s", age)
	}
}

// Guards against an item that counts with its whole length again after a move, a retry or a change of leader, so that its
// job loses its slack and is reported as one that cannot be complete in time.
func TestContinuedItemCountsWithTheRestOfItsLength(t *testing.T) {
	paceOfEvents := Pace{Best: pace.Best, Median: pace.Median, TokensPerEvent: 2}
	moved := New()
	entry := moved.Add(jobOf("j", "a", 0, 100))
	moved.Waiting("j", 0, "s", 0)
	moved.Started("j", 0, now)
	at := now.Add(5 * time.Second)
	moved.RecordEvents("j", 0, 40)
	moved.Refresh(at, paceOfEvents)
	assert.Equal(t, entry.rank.needed, 1200*time.Millisecond)
	moved.Waiting("j", 0, "s", 40)
	at = at.Add(RefreshInterval)
	moved.Refresh(at, paceOfEvents)
	assert.Equal(t, entry.rank.needed, 1200*time.Millisecond)
	moved.Started("j", 0, at)
	moved.RecordEvents("j", 0, 45)
	at = at.Add(time.Second)
	moved.Refresh(at, paceOfEvents)
	assert.Equal(t, entry.rank.needed, 600*time.Millisecond)

	successor := New()
	taken := successor.Add(jobOf("j", "a", 0, 100))
	successor.Waiting("j", 0, "s", 45)
	successor.Refresh(at, paceOfEvents)
	assert.Equal(t, taken.rank, entry.rank)
	assert.Equal(t, len(moved.TakeDecisions())+len(successor.TakeDecisions()), 0)

	moved.Waiting("j", 0, "s", 0)
	moved.Refresh(at.Add(RefreshInterval), paceOfEvents)
	assert.Equal(t, entry.rank.needed, 6*time.Second, "an item whose output was dropped starts anew")
}

// Guards against a running item that counts with its whole length until its events can be converted to tokens.
func TestRunningItemWithoutEventsCountsFromItsStart(t *testing.T) {
	order := New()
	entry := order.Add(jobOf("j", "a", 0, 100))
	order.Started("j", 0, now)
	for _, each := range []struct {
		events int32
		pace   Pace
	}{{0, Pace{Best: pace.Best, Median: pace.Median, TokensPerEvent: 2}}, {20, pace}} {
		order.RecordEvents("j", 0, each.events)
		order.refreshedAt = time.Time{}
		order.Refresh(now.Add(2*time.Second), each.pace)
		assert.Equal(t, entry.rank.needed, 4*time.Second)
	}
}
