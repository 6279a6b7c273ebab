package explain

import "fmt"

// Messages that a node logs about live requests while all engines that may run them are full.
const (
	waitedForSlot  = "live request waited for a slot"
	refusedByQueue = "live request refused by the queue"
)

// queuePhrases describe values of the log field "decision". Other values are printed as logged.
var queuePhrases = map[string]string{
	"hopeless": "refused because its response was not expected in time", "refused": "refused",
	"evicted": "refused for another tenant while the queue was full", "caller_left": "its caller left",
	"configuration_changed": "refused by a new configuration", "stopping": "refused because the node was stopping",
	"engines_unknown": "refused because the node had not read the engine list again after a suspension",
	"quarantined":     "refused because engines ended under the same request during the wait",
}

// queueReasonPhrases describe values of the log field "reason" of a refusal that the decision does not tell.
var queueReasonPhrases = map[string]string{
	"timed_out": " after the longest wait", "queue_full": " because the queue was full",
}

// queueNotes describes the request's waits for a slot, with what determined the decisions.
func queueNotes(trace *Trace) string {
	notes := ""
	for _, line := range trace.Lines {
		decision := ""
		switch line.Message {
		case waitedForSlot:
			decision = "sent after the wait"
		case refusedByQueue:
			decision = phraseFor(queuePhrases, line.text("decision")) + queueReasonPhrases[line.text("reason")]
		default:
			continue
		}
		notes += fmt.Sprintf(" Waited %.0f ms at %s for a slot with priority %.0f, %.0f requests ahead of it, and "+
			"%.0f requests known at %.0f slots (slot expected in %.0f ms, response %.0f ms, %.0f ms left): %s.",
			line.number("waited_ms"), line.Node,
			line.number("priority"), line.number("ahead"), line.number("occupied"), line.number("slots"),
			line.number("expected_ms"), line.number("response_ms"), line.number("remaining_ms"), decision)
	}
	return notes
}
