package explain

import (
	"fmt"
	"strings"

	homeset "github.com/corkpulley/corkpulley/internal/core/homes"
)

// Values of the fields "refusal" and "stop_reason" as nodes log them, in the words of a
// sentence. Others are told as they are.
var (
	refusals = map[string]string{
		"not_executed": "not run", "wrong_engine": "another engine at the address", "failed": "the run failed",
		"held_back": "held back before it left",
	}
	stopReasons = map[string]string{"moved": "moved to a faster engine", "engine_ended": "its engine started again"}
)

// answered is the value of "verdict" for a try that ended a request, notHeld that of "held_back" for one
// that was not held back.
const (
	answered = "answered"
	notHeld  = "none"
)

func inWords(words map[string]string, value string) string {
	if told, found := words[value]; found {
		return told
	}
	return value
}

// cause says in a sentence how the way ended and why.
func cause(way *Way) string {
	switch {
	case way.last(usageReported) != nil || way.last(usageDelayed) != nil:
		return windowCause(way)
	case way.last(enginesOrdered) != nil:
		return orderCause(way)
	case way.isJob():
		return jobCause(way)
	case way.last("item started") != nil || way.last("item finished") != nil:
		return itemCause(way)
	default:
		return requestCause(way)
	}
}

// isJob tells whether the ID is that of a batch job.
func (w *Way) isJob() bool {
	for _, line := range w.Lines {
		if isJobID(line.text("job"), w.ID) {
			return true
		}
	}
	return false
}

func requestCause(way *Way) string {
	var tries []string
	for _, line := range way.Lines {
		if line.Message == "engine tried" && line.text("verdict") != answered {
			reason := line.text("error")
			if reason == "" {
				reason = fmt.Sprintf("status %.0f", line.number("status"))
			}
			if held := line.text("held_back"); held != "" && held != notHeld {
				reason = "held back before it left: " + held
			}
			tries = append(tries, fmt.Sprintf("%s after %.0f ms (%s)", line.text("engine"), line.number("took_ms"), reason))
		}
	}
	failed := ""
	if len(tries) > 0 {
		failed = " Tries that failed: " + strings.Join(tries, "; ") + "."
	}
	if refused := way.last("request refused"); refused != nil {
		return fmt.Sprintf("Refused by %s with %.0f %s: %s.%s%s", refused.Node, refused.number("status"),
			refused.text("kind"), refused.text("error"), failed, way.contextNotes())
	}
	if ended := way.last("request ended"); ended != nil {
		left := ""
		if callerLeft, _ := ended.Fields["caller_left"].(bool); callerLeft {
			left = ", the caller had left"
		}
		return fmt.Sprintf("Ended at %s with status %.0f after %.0f ms%s.%s%s", ended.Node, ended.number("status"),
			ended.number("took_ms"), left, failed, way.contextNotes())
	}
	return "No line tells its end: the node ended or lost lines." + failed + way.contextNotes()
}

// isBound tells whether the field "homes" of a line names regions.
func isBound(homes string) bool { return homes != "" && homes != (homeset.Set{}).String() }

func jobCause(way *Way) string {
	handed, taken, ended := way.last("job handed in"), way.last("job taken up"), way.last("job ended")
	switch {
	case taken == nil && handed != nil && handed.text("error") != "":
		return fmt.Sprintf("Not accepted by %s: %s.%s", handed.Node, handed.text("error"), way.contextNotes())
	case taken == nil && handed != nil && isBound(handed.text("homes")):
		return fmt.Sprintf("Handed in, but no node in %s, which alone may run it, took it up.%s", handed.text("homes"), way.contextNotes())
	case taken == nil:
		return "Handed in, but no leader took it up." + way.contextNotes()
	case ended == nil:
		return fmt.Sprintf("Taken up by %s %d times; no end was asked.%s", taken.Node, way.count("job taken up"), way.contextNotes())
	default:
		return fmt.Sprintf("Ended by its submitter after %.0f ms with %.0f items unfinished, taken up %d times.%s",
			ended.number("after_ms"), ended.number("unfinished"), way.count("job taken up"), way.contextNotes())
	}
}

func itemCause(way *Way) string {
	var breaks []string
	for _, line := range way.Lines {
		if line.Message != "run ended early" {
			continue
		}
		why := inWords(refusals, line.text("refusal"))
		if held := line.text("held_back"); held != "" && held != notHeld {
			why += ": " + held
		}
		if reason := line.text("stop_reason"); reason != "" {
			why = inWords(stopReasons, reason)
		}
		breaks = append(breaks, fmt.Sprintf("%s after %.0f ms at event %.0f (%s)",
			line.text("engine"), line.number("ran_ms"), line.number("after_event"), why))
	}
	text := fmt.Sprintf("Started %d times", way.count("item started"))
	if first := firstStart(way); first != nil {
		text += fmt.Sprintf(", first after %.0f ms of waiting", first.number("waited_ms"))
	}
	if len(breaks) > 0 {
		text += "; runs ended early: " + strings.Join(breaks, "; ")
	}
	text += scoringNotes(way)
	if finished := way.last("item finished"); finished != nil {
		text += fmt.Sprintf("; finished by %s after %.0f ms (%s, %.0f events)", finished.Node,
			finished.number("after_ms"), finished.text("reason"), finished.number("events"))
	} else {
		text += "; not finished"
	}
	return text + "." + jobEnds(way) + way.contextNotes()
}

// scoringNotes tells how the item's scoring calls went.
func scoringNotes(way *Way) string {
	last := way.last("scoring call ended")
	if last == nil {
		return ""
	}
	if last.text("score") == "" {
		return fmt.Sprintf("; not scored in %.0f tries (%s)", last.number("tries"), last.text("detail"))
	}
	return fmt.Sprintf("; scored at try %.0f, %.0f ms after its output was whole",
		last.number("tries"), last.number("waited_ms")+last.number("took_ms"))
}

// jobEnds tells when the item's jobs were ended, which ends its runs: it may have
// come again in a later job.
func jobEnds(way *Way) string {
	text := ""
	for _, line := range way.Lines {
		if line.Message == "job ended" {
			text += fmt.Sprintf(" Its job %s was ended by its submitter after %.0f ms with %.0f items unfinished.",
				line.text("job"), line.number("after_ms"), line.number("unfinished"))
		}
	}
	return text
}

func firstStart(way *Way) *Line {
	for i := range way.Lines {
		if way.Lines[i].Message == "item started" {
			return &way.Lines[i]
		}
	}
	return nil
}
