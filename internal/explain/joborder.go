package explain

import "fmt"

// Messages that the runner of a job logs about its place in the order of jobs by due times.
const (
	jobOutranked = "items wait for a job that was accepted later"
	jobLate      = "job cannot be complete in time"
)

// orderNotes describes the decisions of the order of jobs by due times about the item or its jobs.
func orderNotes(trace *Trace) string {
	text := ""
	for i := range trace.Lines {
		line := &trace.Lines[i]
		switch line.Message {
		case jobOutranked:
			text += fmt.Sprintf(" Items of job %s waited while those of %s, which was accepted later, started (%s).",
				line.text("job"), line.text("ahead"), orderInputs(line))
		case jobLate:
			text += fmt.Sprintf(" Job %s could not be complete in time: %s (%s).",
				line.text("job"), line.text("reason"), orderInputs(line))
		case "item started":
			if surplus, _ := line.Fields["surplus"].(bool); surplus && line.text("item") == trace.ID {
				text += " It yielded to other items, since its submitter did not wait for its group."
			}
		}
	}
	return text
}

// orderInputs describes what determined a decision.
func orderInputs(line *Line) string {
	return fmt.Sprintf("slack %.0f ms, its longest items need %.0f ms, submitter behind by %.0f ms, share correction %.0f ms",
		line.number("slack_ms"), line.number("needed_ms"), line.number("behind_ms"), line.number("share_ms"))
}
