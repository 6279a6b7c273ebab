package timeline

import "fmt"

// neverLogged describes events that no node logs.
var neverLogged = []string{
	"why an item waited: its lines have only the duration",
	"when an item's completed run at its engine ended: \"item finished\" is logged after scoring, so occupied slots can't be counted",
	"weights that an engine loads without an order",
	"when a killed or frozen process stopped",
	"each failed call of the log: nodes log sums by topic every 10 s while calls fail (\"log calls failed, usage by topic\"), which this page does not draw",
	"lines that a node dropped because their reader was slow; only its metrics count them",
}

// missingMessageNotes describes what cannot be shown if a message is missing from the logs.
var missingMessageNotes = []struct{ message, note string }{
	{messageLeadershipGained, "who led: no node in these logs gained the leadership"},
	{messageJobSubmitted, "submissions of batch jobs"},
	{messageJobEndRequested, "ends of batch jobs"},
	{messageJobAccepted, "when a leader began to run a job: the leader's lines are missing, or none accepted one"},
	{messageItemStarted, "when a job's first item went to an engine"},
	{messageRequestEnded, "answers to live requests"},
	{messageEngineTried, "engine tries"},
	{messageTopicRead, "full reads of topics"},
	{messageTopicReachability, "losses and returns of contact with topics"},
	{messageConfiguration, "configurations put in force"},
	{messageNodeStarted, "starts of nodes: all ran before these lines begin, or the lines of the starts are missing"},
}

// notInLogs lists what is missing from the lines read, then what no node logs.
func (b *Builder) notInLogs() []string {
	var notes []string
	for _, absent := range missingMessageNotes {
		if b.messageCounts[absent.message] == 0 {
			notes = append(notes, fmt.Sprintf("%s (no line %q)", absent.note, absent.message))
		}
	}
	if count := b.timeline.countJobs(func(job *Job) bool { return job.Submitted.IsZero() }); count > 0 {
		notes = append(notes, fmt.Sprintf("the accepted submission of %d jobs that other lines name", count))
	}
	if count := b.timeline.countJobs(func(job *Job) bool { return job.EndRequested.IsZero() }); count > 0 {
		notes = append(notes, fmt.Sprintf("the accepted end of %d jobs: they ran on, or the line is missing", count))
	}
	if count := b.timeline.Lines.Suppressed; count > 0 {
		notes = append(notes, fmt.Sprintf("%d lines that nodes suppressed above their limit per message: rates are lower bounds", count))
	}
	return append(notes, neverLogged...)
}

func (t *Timeline) countJobs(matches func(*Job) bool) int {
	count := 0
	for i := range t.Jobs {
		if matches(&t.Jobs[i]) {
			count++
		}
	}
	return count
}
