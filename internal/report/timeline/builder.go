package timeline

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"
	"time"

	"github.com/go-faster/errors"
)

const maxNodes = 50000

// ErrNoLines is returned when the sources hold no usable line.
var ErrNoLines = errors.New("no log line of a node")

// Builder builds a Timeline from log lines. Sources may be read in any order; the lines of one process must be in the
// order in which it wrote them.
type Builder struct {
	options  Options
	timeline *Timeline
	nodes    map[string]bool
	// starting holds the nodes that have applied no configuration since they started.
	starting      map[string]bool
	jobs          map[string]*Job
	versions      map[int64]*Version
	leadership    []leadershipEvent
	progress      *progressBuckets
	messageCounts map[string]int
	// first and last bound the times of all readable lines, those out of range too.
	first, last int64
}

// NewBuilder returns an empty Builder.
func NewBuilder(options Options) *Builder {
	return &Builder{
		options: options,
		timeline: &Timeline{
			Requests: newRates(), Tries: newRates(), Contact: newRates(), Topics: newRates(), Processes: newRates(),
		},
		nodes: map[string]bool{}, starting: map[string]bool{}, jobs: map[string]*Job{},
		versions: map[int64]*Version{}, progress: newProgressBuckets(), messageCounts: map[string]int{},
	}
}

// Read adds the lines of one source. Unreadable lines are counted; the error is that of reading the source.
func (b *Builder) Read(name string, source io.Reader) error {
	summary := Source{Name: name}
	reader, buffer := bufio.NewReader(source), []byte(nil)
	for {
		line, truncated, err := readLine(reader, buffer)
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
		summary.count(b.addLine(line, truncated))
	}
	b.timeline.Lines.Read += summary.Lines
	b.timeline.Lines.Unreadable += summary.Unreadable
	b.timeline.Sources = append(b.timeline.Sources, summary)
	return nil
}

// count counts a line, as unreadable if err is not nil.
func (s *Source) count(err error) {
	s.Lines++
	if err == nil {
		return
	}
	s.Unreadable++
	if s.Unreadable == 1 {
		s.FirstUnreadable, s.Reason = s.Lines, err.Error()
	}
}

func (b *Builder) addLine(raw []byte, truncated bool) error {
	if truncated {
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
	b.messageCounts[line.Message]++
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

// Timeline returns the timeline of the lines read, or ErrNoLines if none could be used.
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

// bounds returns the requested range, clipped to the times of the lines.
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
