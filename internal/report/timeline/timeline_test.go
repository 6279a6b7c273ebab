package timeline

import (
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// readRecorded reads the logs in testdata, of four nodes that were each killed and restarted.
func readRecorded(t *testing.T, options Options, reorder func([]string)) *Timeline {
	t.Helper()
	names, err := filepath.Glob(filepath.Join("testdata", "*.log"))
	assert.NilError(t, err)
	reorder(names)
	builder := NewBuilder(options)
	for _, name := range names {
		file, err := os.Open(name)
		assert.NilError(t, err)
		assert.NilError(t, builder.Read(name, file))
		assert.NilError(t, file.Close())
	}
	built, err := builder.Timeline()
	assert.NilError(t, err)
	return built
}

func inListedOrder([]string) {}

// readLines reads lines of one source.
func readLines(t *testing.T, options Options, lines ...string) *Timeline {
	t.Helper()
	builder := NewBuilder(options)
	assert.NilError(t, builder.Read("lines", strings.NewReader(strings.Join(lines, "\n"))))
	built, err := builder.Timeline()
	assert.NilError(t, err)
	return built
}

// line writes a log line; fields are further JSON fields, each followed by a comma.
func line(at int64, node, fields, message string) string {
	return fmt.Sprintf(`{"level":"info","node":%q,"zone":"z",%s"time":%d,"message":%q}`, node, fields, at, message)
}

// Guards against events lost or counted twice.
func TestTimelineOfRecordedLogs(t *testing.T) {
	built := readRecorded(t, Options{MinimumGap: time.Second}, inListedOrder)
	assert.Equal(t, built.Nodes, 4)
	assert.DeepEqual(t, built.Lines, LineCounts{Read: 629, Unreadable: 2})
	assert.Equal(t, built.Requests.Total(Answered), 68)
	assert.Equal(t, built.Requests.Total("no_capacity"), 12)
	assert.Equal(t, built.Tries.Total(Answered), 69)
	assert.Equal(t, built.Tries.Total(TryNext), 1)
	assert.Equal(t, built.Contact.Total(ContactLost), 49)
	assert.Equal(t, built.Contact.Total(ContactRegained), 86)
	assert.Equal(t, built.Contact.Total(PathThroughPeer), 17)
	assert.Equal(t, built.Topics.Total(), 24)
	assert.Equal(t, built.Processes.Total(NodeStarted), 8)
	assert.Equal(t, len(built.Jobs), 9)
	assert.Equal(t, built.GapsFound, 0)
}

// Guards against job times taken from calls that were not accepted.
func TestJobTimesOfRecordedLogs(t *testing.T) {
	built := readRecorded(t, Options{MinimumGap: time.Second}, inListedOrder)
	at := slices.IndexFunc(built.Jobs, func(job Job) bool { return job.ID == "trainer-0/job-0-5" })
	assert.Assert(t, at >= 0)
	job := built.Jobs[at]
	assert.Equal(t, job.Model, "drafts-model")
	assert.Equal(t, job.Step, int64(5))
	assert.Equal(t, job.Items, 48)
	assert.Equal(t, job.Submitted.UnixMilli(), int64(1796283503722))
	assert.Equal(t, job.EndRequested.UnixMilli(), int64(1796283511421))
	assert.Equal(t, len(job.Accepted), 2)
	assert.Equal(t, job.Accepted[1].UnixMilli(), int64(1796283509971))
}

// Guards against a result that depends on the order in which files are listed.
func TestTimelineIsIndependentOfFileOrder(t *testing.T) {
	forward := readRecorded(t, Options{MinimumGap: time.Second}, inListedOrder)
	backward := readRecorded(t, Options{MinimumGap: time.Second}, slices.Reverse[[]string])
	assert.DeepEqual(t, forward.Jobs, backward.Jobs)
	assert.DeepEqual(t, forward.Terms, backward.Terms)
	assert.DeepEqual(t, forward.Takeovers, backward.Takeovers)
	assert.DeepEqual(t, forward.Versions, backward.Versions)
	assert.DeepEqual(t, forward.Gaps, backward.Gaps)
	assert.DeepEqual(t, forward.NotInLogs, backward.NotInLogs)
	assert.DeepEqual(t, forward.Requests.Labels(), backward.Requests.Labels())
}

// Guards against a malformed line that aborts the report or is not counted.
func TestUnreadableLinesAreCountedAndSkipped(t *testing.T) {
	good := line(1000, "n1", "", messageNodeStarted)
	built := readLines(t, Options{MinimumGap: time.Second},
		good, "", "panic: runtime error", good[:40], `{"time":5,"message":"no node"}`,
		line(1100, "n1", `"config":"seven",`, messageConfiguration),
		`{"node":"`+strings.Repeat("x", maxLineBytes)+`"}`,
		"  53.4190 n1 "+line(1200, "n1", `"config":7,`, messageConfiguration))
	assert.DeepEqual(t, built.Lines, LineCounts{Read: 7, Unreadable: 5})
	assert.Equal(t, built.Sources[0].FirstUnreadable, 2)
	assert.Equal(t, built.Sources[0].Reason, errNoJSON.Error())
	assert.Equal(t, len(built.Versions), 1)
}

// Guards against an empty report for files without log lines of nodes.
func TestTimelineWithoutLinesReturnsError(t *testing.T) {
	builder := NewBuilder(Options{MinimumGap: time.Second})
	assert.NilError(t, builder.Read("foreign", strings.NewReader("a line of another program\n")))
	_, err := builder.Timeline()
	assert.ErrorIs(t, err, ErrNoLines)
}

// Guards against events outside the requested range in the timeline.
func TestLinesOutOfRangeAreExcluded(t *testing.T) {
	options := Options{From: time.UnixMilli(2000), Until: time.UnixMilli(9000), MinimumGap: time.Second}
	built := readLines(t, options,
		line(1000, "n1", "", messageNodeStarted), line(3000, "n1", "", messageRequestEnded),
		line(10000, "n1", "", messageNodeStarted))
	assert.Equal(t, built.Lines.OutOfRange, 2)
	assert.Equal(t, built.Processes.Total(), 0)
	assert.Equal(t, built.First.UnixMilli(), int64(2000))
	assert.Equal(t, built.Last.UnixMilli(), int64(9000))
	assert.Equal(t, built.GapsFound, 2)
}

// Guards against a request counted both as answered and as refused.
func TestRequestIsCountedOnceByItsOutcome(t *testing.T) {
	built := readLines(t, Options{MinimumGap: time.Second},
		line(1000, "n1", `"status":200,`, messageRequestEnded),
		line(1001, "n1", `"status":0,"kind":"no_capacity",`, messageRequestEnded),
		line(1001, "n1", `"status":503,"kind":"no_capacity",`, messageRequestRefused),
		line(1002, "n1", `"status":503,"kind":"made_up",`, messageRequestRefused))
	assert.DeepEqual(t, built.Requests.totals, map[string]int{Answered: 1, "no_capacity": 1, otherLabel: 1})
}

// Guards against attempts that were never sent counted as engine failures.
func TestHeldBackAttemptIsNotCountedAsFailure(t *testing.T) {
	built := readLines(t, Options{MinimumGap: time.Second},
		line(1000, "n1", `"verdict":"answered",`, messageEngineTried),
		line(1000, "n1", `"verdict":"try_next","held_back":"none",`, messageEngineTried),
		line(1000, "n1", `"verdict":"try_next","held_back":"evacuated",`, messageEngineTried),
		line(1000, "n1", `"verdict":"give_up",`, messageEngineTried))
	assert.DeepEqual(t, built.Tries.totals, map[string]int{Answered: 1, TryNext: 1, TryNotSent: 1, GiveUp: 1})
}

// Guards against suppressed lines that the report does not mention.
func TestLinesSuppressedByNodesAreReported(t *testing.T) {
	built := readLines(t, Options{MinimumGap: time.Second},
		line(1000, "n1", `"left_out":"request ended","lines":120,`, messageLinesSuppressed),
		line(1000, "n2", `"left_out":["a"],`, "engine list loaded"))
	assert.Equal(t, built.Lines.Suppressed, 120)
	assert.Equal(t, built.Lines.Unreadable, 0)
	assert.Assert(t, strings.Contains(strings.Join(built.NotInLogs, "\n"), "120 lines that nodes suppressed"))
}

// Guards against missing log lines presented as an absence of events, and the reverse.
func TestMissingMessagesAreListed(t *testing.T) {
	built := readLines(t, Options{MinimumGap: time.Second},
		line(1000, "n1", `"status":200,`, messageRequestEnded),
		line(1000, "n1", `"epoch":1,`, messageLeadershipGained))
	listed := strings.Join(built.NotInLogs, "\n")
	for _, absent := range missingMessageNotes {
		isPresent := absent.message == messageRequestEnded || absent.message == messageLeadershipGained
		assert.Equal(t, strings.Contains(listed, fmt.Sprintf("no line %q", absent.message)), !isPresent, absent.message)
	}
	for _, never := range neverLogged {
		assert.Assert(t, strings.Contains(listed, never), never)
	}
}
