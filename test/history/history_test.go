package history

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/corkpulley/corkpulley/internal/api"
	"github.com/corkpulley/corkpulley/internal/bench/live"
	"github.com/corkpulley/corkpulley/internal/standin/engine"
)

// assertViolation checks that there is exactly one violation and that it is of the given rule. With an empty rule, it
// checks that there is none.
func assertViolation(t *testing.T, violations []Violation, rule string) {
	t.Helper()
	if rule == "" {
		assert.Equal(t, Report(violations), "")
		return
	}
	assert.Equal(t, len(violations), 1, Report(violations))
	assert.Equal(t, violations[0].Rule, rule)
}

func execution(id, prompt, engineID string, startedNS int64, spans ...engine.Span) Execution {
	return Execution{Engine: engineID, RequestHistory: engine.RequestHistory{
		RequestID: id, PromptHash: PromptHash(prompt), StartedUnixNS: startedNS, Spans: spans,
	}}
}

func refused(id, prompt string) live.Outcome {
	return live.Outcome{Call: live.Call{Prompt: prompt}, RequestID: id, Code: "queue_full", Executed: "no", Done: true}
}

func TestCheckComplete(t *testing.T) {
	complete := live.Outcome{Done: true}
	interrupted := live.Outcome{TransportError: "unexpected EOF"}
	faulty := live.Outcome{Done: true, Violations: []string{"token 3 of the answer says that it is token 2"}}
	assertViolation(t, CheckComplete(Outcomes{complete, refused("r", "p"), {NotConnected: true}}, false), "")
	assertViolation(t, CheckComplete(Outcomes{interrupted}, true), "")
	assertViolation(t, CheckComplete(Outcomes{complete, interrupted}, false), RuleComplete)
	assertViolation(t, CheckComplete(Outcomes{complete, faulty}, true), RuleComplete)
}

func TestCheckOwnAnswer(t *testing.T) {
	executions := []Execution{execution("r1", "one", "e1", 1, engine.Span{Version: 3, From: 0, To: 2})}
	answered := func(prompt, text string) live.Outcome {
		return live.Outcome{Call: live.Call{Prompt: prompt}, Text: text, Done: true}
	}
	assertViolation(t, CheckOwnAnswer(Outcomes{answered("one", "0:3 1:3 ")}, executions), "")
	assertViolation(t, CheckOwnAnswer(Outcomes{answered("two", "0:3 1:3 ")}, executions), RuleComplete)
	assertViolation(t, CheckOwnAnswer(Outcomes{answered("one", "0:3 1:4 ")}, executions), RuleComplete)
	assertViolation(t, CheckOwnAnswer(Outcomes{answered("one", "hello")}, executions), RuleComplete)
}

func TestCheckNotExecuted(t *testing.T) {
	executions := []Execution{execution("r1", "one", "e1", 1)}
	assertViolation(t, CheckNotExecuted(Outcomes{refused("r2", "two")}, executions), "")
	assertViolation(t, CheckNotExecuted(Outcomes{refused("r1", "other")}, executions), RuleNotExecuted)
	assertViolation(t, CheckNotExecuted(Outcomes{refused("", "one")}, executions), RuleNotExecuted)
	// A later call with the same prompt ran.
	assertViolation(t, CheckNotExecuted(Outcomes{refused("r0", "one"), {Call: live.Call{Prompt: "one"}, RequestID: "r1", Done: true}}, executions), "")
}

func TestCheckNotInterrupted(t *testing.T) {
	executions := []Execution{execution("r1", "one", "e1", 1)}
	closedUnread := live.Outcome{Call: live.Call{Prompt: "two"}, TransportError: "EOF"}
	cutWhileRunning := live.Outcome{Call: live.Call{Prompt: "one"}, TransportError: "EOF"}
	cutWhileAnswering := live.Outcome{Status: 200, TransportError: "unexpected EOF"}
	assertViolation(t, CheckNotInterrupted(Outcomes{closedUnread, refused("r", "three")}, executions), "")
	assertViolation(t, CheckNotInterrupted(Outcomes{closedUnread, cutWhileRunning}, executions), RuleNotInterrupted)
	assertViolation(t, CheckNotInterrupted(Outcomes{closedUnread, cutWhileAnswering}, executions), RuleNotInterrupted)
}

func TestCheckAtMostOnce(t *testing.T) {
	once := []Execution{execution("r1", "one", "e1", 1), execution("r2", "two", "e2", 2)}
	twice := append(once, execution("r3", "one", "e2", 3))
	assertViolation(t, CheckAtMostOnce([]string{"one", "one", "two"}, once), "")
	assertViolation(t, CheckAtMostOnce([]string{"two"}, twice), "")
	assertViolation(t, CheckAtMostOnce([]string{"one", "two"}, twice), RuleAtMostOnce)
}

func delivery(index int, text string, spans ...api.VersionSpan) Delivery {
	tokens, err := live.ParseTokens(text)
	if err != nil {
		panic(err)
	}
	return Delivery{
		Trainer: "t", PromptText: "p", TrainerVersion: 5, StalenessBound: 2,
		Sample: api.Sample{ID: "s1", Step: "1", Index: index, Text: text, Tokens: len(tokens), Versions: spans},
	}
}

func TestCheckExactlyOnce(t *testing.T) {
	wanted := []Slot{{"t", "1", 0, 0}, {"t", "1", 0, 1}}
	first, second, third := delivery(0, ""), delivery(1, ""), delivery(2, "")
	assertViolation(t, CheckExactlyOnce(wanted, []Delivery{first, second}), "")
	assertViolation(t, CheckExactlyOnce(wanted, []Delivery{first}), RuleExactlyOnce)
	assertViolation(t, CheckExactlyOnce(wanted, []Delivery{first, second, second}), RuleExactlyOnce)
	assertViolation(t, CheckExactlyOnce(wanted, []Delivery{first, second, third}), RuleExactlyOnce)
}

func TestCheckStaleness(t *testing.T) {
	fresh := delivery(0, "0:3 1:4 ", api.VersionSpan{Version: 3, From: 0, To: 1}, api.VersionSpan{Version: 4, From: 1, To: 2})
	stale := delivery(0, "0:2 1:4 ", api.VersionSpan{Version: 2, From: 0, To: 1}, api.VersionSpan{Version: 4, From: 1, To: 2})
	assertViolation(t, CheckStaleness([]Delivery{fresh}), "")
	assertViolation(t, CheckStaleness([]Delivery{fresh, stale}), RuleStaleness)
}

func TestCheckProvenance(t *testing.T) {
	executions := []Execution{
		execution("r", "p", "e1", 1, engine.Span{Version: 3, From: 0, To: 2}),
		execution("r", "p", "e2", 2, engine.Span{Version: 4, From: 1, To: 3}),
	}
	spans := []api.VersionSpan{{Version: 3, From: 0, To: 1}, {Version: 4, From: 1, To: 3}}
	good := delivery(0, "0:3 1:4 2:4 ", spans...)
	assertViolation(t, CheckProvenance([]Delivery{good}, executions), "")
	assertViolation(t, CheckProvenance([]Delivery{good}, executions[:1]), RuleProvenance)
	wrongVersion := delivery(0, "0:3 1:3 2:4 ", spans...)
	assertViolation(t, CheckProvenance([]Delivery{wrongVersion}, executions), RuleProvenance)
	missingSpan := delivery(0, "0:3 1:4 2:4 ", spans[0])
	assertViolation(t, CheckProvenance([]Delivery{missingSpan}, executions), RuleProvenance)
	gap := delivery(0, "0:3 2:4 ", api.VersionSpan{Version: 3, From: 0, To: 1}, api.VersionSpan{Version: 4, From: 1, To: 2})
	assertViolation(t, CheckProvenance([]Delivery{gap}, executions), RuleProvenance)
}

func TestExecutionsKeepsLongestHistoryOfProcess(t *testing.T) {
	early := engine.History{ID: "e1", Incarnation: "a", Requests: make([]engine.RequestHistory, 1)}
	late := engine.History{ID: "e1", Incarnation: "a", Requests: make([]engine.RequestHistory, 2)}
	restarted := engine.History{ID: "e1", Incarnation: "b", Requests: make([]engine.RequestHistory, 1)}
	assert.Equal(t, len(Executions(early, late, restarted)), 3)
	assert.Equal(t, len(Executions(late, early)), 2)
}

func TestCheckDrain(t *testing.T) {
	drainStart := time.Unix(100, 0)
	early := execution("r1", "p", "e1", drainStart.Add(2*time.Second).UnixNano())
	late := execution("r2", "p", "e1", drainStart.Add(4*time.Second).UnixNano())
	other := execution("r3", "p", "e2", drainStart.Add(4*time.Second).UnixNano())
	assertViolation(t, CheckDrain("e1", drainStart, 3*time.Second, []Execution{early, other}), "")
	assertViolation(t, CheckDrain("e1", drainStart, 3*time.Second, []Execution{early, late, other}), RuleDrain)
}

func observation(node string, startSecond, endSecond, revision int64) Observation {
	return Observation{node, time.Unix(startSecond, 0), time.Unix(endSecond, 0), revision}
}

func TestCheckMonotonic(t *testing.T) {
	rising := []Observation{observation("n1", 1, 2, 4), observation("n1", 3, 4, 7), observation("n2", 5, 6, 4)}
	overlapping := observation("n1", 3, 8, 4)
	reverted := observation("n1", 5, 6, 4)
	assertViolation(t, CheckMonotonic(append(rising, overlapping)), "")
	assertViolation(t, CheckMonotonic(append(rising, reverted)), RuleMonotonic)
}

func TestCheckConvergence(t *testing.T) {
	accepted, bound, nodes := time.Unix(10, 0), 5*time.Second, []string{"n1", "n2"}
	good := []Observation{observation("n1", 11, 12, 3), observation("n1", 16, 17, 4), observation("n2", 16, 17, 5)}
	assertViolation(t, CheckConvergence(4, accepted, bound, nodes, good), "")
	assertViolation(t, CheckConvergence(4, accepted, bound, nodes, good[:2]), RuleConvergence)
	assertViolation(t, CheckConvergence(4, accepted, bound, nodes, append(good, observation("n1", 18, 19, 3))), RuleConvergence)
}
