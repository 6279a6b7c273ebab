package explain

import (
	"fmt"
	"strings"

	homeset "github.com/corkpulley/corkpulley/internal/core/homes"
)

// refusalPhrases and stopReasonPhrases describe values of the log fields "refusal" and "stop_reason". Other values are
// printed as logged.
var (
	refusalPhrases = map[string]string{
		"not_executed": "not executed", "wrong_engine": "a different engine answered at the address", "failed": "the run failed",
		"held_back": "held back before it was sent",
	}
	stopReasonPhrases = map[string]string{"moved": "moved to a faster engine", "engine_ended": "its engine restarted"}
	// moveReasonPhrases describes values of the log field "move_reason", which older builds don't log.
	moveReasonPhrases = map[string]string{
		"draining_engine": "moved, its engine drains", "slow_engine": "moved, its engine was slower than others with free slots",
	}
	// waitPhrases describes values of the log field "wait_reason" of an item that has no engine.
	waitPhrases = map[string]string{
		"state_unknown":    "its runner had not read the engines or the saved output yet",
		"retry_delay":      "a failed run is retried after a delay",
		"no_usable_engine": "no engine of its service accepted work",
		"no_version":       "no usable engine had a weight version that may run it",
		"no_slot":          "all engines that may run it were full",
		"no_memory":        "no engine with a free slot had the memory for it",
		"cold_start":       "only cold engines had free slots, and no start was permitted there",
		"engine_avoided":   "only the engine of its failed run could take it",
		"engine_failing":   "all engines that may run it had recently failed",
		"engine_reserved":  "the engines that could take it were reserved for items that had waited for longer",
		"faster_engine":    "it was expected to end sooner at a faster engine",
	}
	// dropPhrases describes values of the log field "reason" of output that an item lost.
	dropPhrases = map[string]string{
		"version_gone":        "no engine had their weight version any more",
		"version_unavailable": "no engine with their weight version took it",
		"mixed_versions":      "the weight version changed",
		"version_too_old":     "the engine's weight version was too old",
		"too_long":            "the engine sent more than the item can have",
	}
)

const (
	// verdictAnswered is the value of the log field "verdict" of an attempt that completed its request.
	verdictAnswered = "answered"
	// heldBackNone is the value of the log field "held_back" of an attempt that was sent.
	heldBackNone = "none"
)

func phraseFor(phrases map[string]string, value string) string {
	if phrase, found := phrases[value]; found {
		return phrase
	}
	return value
}

// cause describes how the subject of the trace, such as a request or a batch job, ended and why.
func cause(trace *Trace) string {
	switch {
	case trace.last(usageReported) != nil || trace.last(usageDelayed) != nil:
		return windowCause(trace)
	case trace.last(enginesOrdered) != nil:
		return orderCause(trace)
	case trace.isJob():
		return jobCause(trace)
	case trace.last("item started") != nil || trace.last("item finished") != nil || trace.last("item waits for an engine") != nil:
		return itemCause(trace)
	default:
		return requestCause(trace)
	}
}

// isJob reports whether the ID is that of a batch job.
func (t *Trace) isJob() bool {
	for _, line := range t.Lines {
		if isJobID(line.text("job"), t.ID) {
			return true
		}
	}
	return false
}

func requestCause(trace *Trace) string {
	var failures []string
	for _, line := range trace.Lines {
		if line.Message == "engine tried" && line.text("verdict") != verdictAnswered {
			reason := line.text("error")
			if reason == "" {
				reason = fmt.Sprintf("status %.0f", line.number("status"))
			}
			if heldBack := line.text("held_back"); heldBack != "" && heldBack != heldBackNone {
				reason = "held back before it was sent: " + heldBack
			}
			failures = append(failures, fmt.Sprintf("%s after %.0f ms (%s)", line.text("engine"), line.number("took_ms"), reason))
		}
	}
	failed := ""
	if len(failures) > 0 {
		failed = " Failed attempts: " + strings.Join(failures, "; ") + "."
	}
	failed = queueNotes(trace) + failed
	if refused := trace.last("request refused"); refused != nil {
		return fmt.Sprintf("Refused by %s with %.0f %s: %s.%s%s", refused.Node, refused.number("status"),
			refused.text("kind"), refused.text("error"), failed, trace.contextNotes())
	}
	if ended := trace.last("request ended"); ended != nil {
		ending := ""
		// Older builds do not log whether the answer was complete.
		if complete, logged := ended.Fields["complete"].(bool); logged && !complete && ended.number("status") != 0 {
			ending = ", the answer was cut off"
		}
		if callerLeft, _ := ended.Fields["caller_left"].(bool); callerLeft {
			ending += ", the caller had disconnected"
		}
		return fmt.Sprintf("Ended at %s with status %.0f after %.0f ms%s.%s%s", ended.Node, ended.number("status"),
			ended.number("took_ms"), ending, failed, trace.contextNotes())
	}
	return "No log line records its end: the node stopped or log lines were lost." + failed + trace.contextNotes()
}

// isBoundToRegions reports whether the log field "homes" names home regions.
func isBoundToRegions(homes string) bool { return homes != "" && homes != (homeset.Set{}).String() }

func jobCause(trace *Trace) string {
	submitted, accepted, ended := trace.last("job submitted"), trace.last("job accepted by its runner"), trace.last("job ended")
	switch {
	case accepted == nil && submitted != nil && submitted.text("error") != "":
		return fmt.Sprintf("Not accepted by %s: %s.%s", submitted.Node, submitted.text("error"), trace.contextNotes())
	case accepted == nil && submitted != nil && isBoundToRegions(submitted.text("homes")):
		return fmt.Sprintf("Submitted, but no node in %s, the only regions that may run it, accepted it.%s",
			submitted.text("homes"), trace.contextNotes())
	case accepted == nil:
		return "Submitted, but no leader accepted it." + trace.contextNotes()
	case ended == nil:
		return fmt.Sprintf("Accepted by %s %d times; its end was not requested.%s%s",
			accepted.Node, trace.count("job accepted by its runner"), orderNotes(trace), trace.contextNotes())
	default:
		return fmt.Sprintf("Ended by its submitter after %.0f ms with %.0f items unfinished, accepted %d times.%s%s",
			ended.number("after_ms"), ended.number("unfinished"), trace.count("job accepted by its runner"), orderNotes(trace),
			trace.contextNotes())
	}
}

func itemCause(trace *Trace) string {
	var interruptions []string
	for _, line := range trace.Lines {
		if line.Message != "run ended early" {
			continue
		}
		reason := phraseFor(refusalPhrases, line.text("refusal"))
		if heldBack := line.text("held_back"); heldBack != "" && heldBack != heldBackNone {
			reason += ": " + heldBack
		}
		if stopReason := line.text("stop_reason"); stopReason != "" {
			reason = phraseFor(stopReasonPhrases, stopReason)
		}
		switch moveReason := line.text("move_reason"); moveReason {
		case "":
		case "fast_engine":
			reason = fmt.Sprintf("moved to the fast engine %s, expected to end %.0f ms sooner there",
				line.text("move_to"), line.number("gain_ms"))
		default:
			reason = phraseFor(moveReasonPhrases, moveReason)
		}
		interruptions = append(interruptions, fmt.Sprintf("%s after %.0f ms at event %.0f (%s)",
			line.text("engine"), line.number("ran_ms"), line.number("after_event"), reason))
	}
	text := fmt.Sprintf("Started %d times", trace.count("item started"))
	if first := firstStart(trace); first != nil {
		text += fmt.Sprintf(", first after waiting %.0f ms", first.number("waited_ms"))
	}
	if len(interruptions) > 0 {
		text += "; runs ended early: " + strings.Join(interruptions, "; ")
	}
	text += waitNotes(trace) + droppedOutputNotes(trace) + scoringNotes(trace)
	if finished := trace.last("item finished"); finished != nil {
		text += fmt.Sprintf("; finished by %s after %.0f ms (%s, %.0f events)", finished.Node,
			finished.number("after_ms"), finished.text("reason"), finished.number("events"))
	} else {
		text += "; not finished"
	}
	return text + "." + orderNotes(trace) + jobEndNotes(trace) + trace.contextNotes()
}

// waitNotes describes why the item waited for an engine, as far as its runner logged it.
func waitNotes(trace *Trace) string {
	notes := ""
	for _, line := range trace.Lines {
		if line.Message == "item waits for an engine" {
			notes += fmt.Sprintf("; without an engine for %.0f ms, %.0f of %.0f slots free (%s)", line.number("idle_ms"),
				line.number("free_slots"), line.number("slots"), phraseFor(waitPhrases, line.text("wait_reason")))
		}
	}
	return notes
}

// droppedOutputNotes describes the output that the item lost.
func droppedOutputNotes(trace *Trace) string {
	notes := ""
	for _, line := range trace.Lines {
		if line.Message == "item output dropped" {
			notes += fmt.Sprintf("; started over without its %.0f events (%s)",
				line.number("events"), phraseFor(dropPhrases, line.text("reason")))
		}
	}
	return notes
}

// scoringNotes describes the outcome of the item's scoring calls.
func scoringNotes(trace *Trace) string {
	last := trace.last("scoring call ended")
	if last == nil {
		return ""
	}
	if last.text("score") == "" {
		return fmt.Sprintf("; not scored in %.0f attempts (%s)", last.number("tries"), last.text("detail"))
	}
	return fmt.Sprintf("; scored on attempt %.0f, %.0f ms after its output was complete",
		last.number("tries"), last.number("waited_ms")+last.number("took_ms"))
}

// jobEndNotes describes when the item's jobs were ended, which ends its runs. An item resubmitted in a later job has
// more than one.
func jobEndNotes(trace *Trace) string {
	text := ""
	for _, line := range trace.Lines {
		if line.Message == "job ended" {
			text += fmt.Sprintf(" Its job %s was ended by its submitter after %.0f ms with %.0f items unfinished.",
				line.text("job"), line.number("after_ms"), line.number("unfinished"))
		}
	}
	return text
}

func firstStart(trace *Trace) *Line {
	for i := range trace.Lines {
		if trace.Lines[i].Message == "item started" {
			return &trace.Lines[i]
		}
	}
	return nil
}
