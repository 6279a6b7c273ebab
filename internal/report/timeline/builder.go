package timeline

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"
	"time"

	"github.com/go-faster/errors"
)

// maxNodes bounds the nodes counted.
const maxNodes = 50000

// ErrNoLines is returned when no line could be used.
var ErrNoLines = errors.New("no log line of a node")

// Builder reads log lines into a Timeline. Sources may come in any order; the lines of one process come
// in the order in which it wrote them.
type Builder struct {
	options  Options
	timeline *Timeline
	nodes    map[string]bool
	// starting holds the nodes that have put no configuration in force since they started.
	starting   map[string]bool
	jobs       map[string]*Job
	versions   map[int64]*Version
	leadership []leadershipEvent
	progress   *progressLog
	seen       map[string]int
	// first and last bound the times of all readable lines, those out of range too.
	first, last int64
}

// NewBuilder returns a Builder that has read nothing yet.
func NewBuilder(options Options) *Builder {
	return &Builder{
		options: options,
		timeline: &Timeline{
			Requests: newRates(), Tries: newRates(), Contact: newRates(), Topics: newRates(), Processes: newRates(),
		},
		nodes: map[string]bool{}, starting: map[string]bool{}, jobs: map[string]*Job{},
		versions: map[int64]*Version{}, progress: newProgressLog(), seen: map[string]int{},
	}
}

// Read adds the lines of one source. Unreadable ones are counted; the error is the source's.
func (b *Builder) Read(name string, source io.Reader) error {
	summary := Source{Name: name}
	reader, buffer := bufio.NewReader(source), []byte(nil)
	for {
		line, cut, err := readLine(reader, buffer)
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			return errors.Wrap(err, "read the log lines")
		}
		buffer = line
		if line = bytes.TrimSpace(line); len(line) == 0 {
			continue
		}
		summary.note(b.addLine(line, cut))
	}
	b.timeline.Lines.Read += summary.Lines
	b.timeline.Lines.Unreadable += summary.Unreadable
	b.timeline.Sources = append(b.timeline.Sources, summary)
	return nil
}

// note counts a line that was applied, or not because of err.
func (s *Source) note(err error) {
	s.Lines++
	if err == nil {
		return
	}
	s.Unreadable++
	if s.Unreadable == 1 {
		s.FirstUnreadable, s.Reason = s.Lines, err.Error()
	}
}

func (b *Builder) addLine(raw []byte, cut bool) error {
	if cut {
		return errTooLong
	}
	line, object, err := parseHeader(raw)
	if err != nil {
		return err
	}
	if b.first == 0 || line.Time < b.first {
		b.first = line.Time
	}
	b.last = max(b.last, line.Time)
	if b.isOutOfRange(time.UnixMilli(line.Time)) {
		b.timeline.Lines.OutOfRange++
		return nil
	}
	if len(b.nodes) < maxNodes {
		b.nodes[line.Node] = true
	}
	apply, used := handlers[line.Message]
	if !used {
		return nil
	}
	b.seen[line.Message]++
	return apply(b, line, object)
}

func (b *Builder) isOutOfRange(at time.Time) bool {
	return !b.options.From.IsZero() && at.Before(b.options.From) ||
		!b.options.Until.IsZero() && at.After(b.options.Until)
}

type suppressedRecord struct {
	Lines int `json:"lines"`
}

func (b *Builder) addSuppressed(_ header, raw []byte) error {
	var record suppressedRecord
	if err := json.Unmarshal(raw, &record); err != nil {
		return err
	}
	b.timeline.Lines.Suppressed += record.Lines
	return nil
}

// Timeline returns what was read; ErrNoLines if no line could be used.
func (b *Builder) Timeline() (*Timeline, error) {
	if len(b.nodes) == 0 {
		return nil, ErrNoLines
	}
	built := b.timeline
	built.First, built.Last = b.bounds()
	built.Nodes = len(b.nodes)
	built.Jobs = b.sortedJobs()
	built.Terms = b.terms(built.Last)
	built.Takeovers = takeovers(built.Terms)
	built.Versions = b.sortedVersions()
	gaps := b.progress.gaps(built.First, built.Last, b.options.MinimumGap)
	built.GapsFound, built.Gaps = len(gaps), longestGaps(gaps)
	for i := range built.Gaps {
		built.Gaps[i].describe(built)
	}
	built.NotInLogs = b.notInLogs()
	return built, nil
}

// bounds returns the requested range as far as lines reach.
func (b *Builder) bounds() (first, last time.Time) {
	first, last = time.UnixMilli(b.first), time.UnixMilli(b.last)
	if b.options.From.After(first) {
		first = b.options.From
	}
	if until := b.options.Until; !until.IsZero() && until.Before(last) {
		last = until
	}
	return first, last
}
