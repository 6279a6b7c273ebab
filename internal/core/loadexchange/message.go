package loadexchange

import (
	"slices"
	"time"

	"github.com/go-faster/errors"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/corkpulley/corkpulley/internal/core/incarnation"
)

// noReport is the age of a report that there is none of.
const noReport = -1

// Message carries entries between nodes. Its lists hold one value for each entry: with the field names in each entry,
// 64 engines would take more than MaxBytes. Other builds ignore fields that they don't know.
type Message struct {
	// Node is the sending node. Zone is set if the entries are those of a whole zone.
	Node string `msgpack:"f"`
	Zone string `msgpack:"z,omitempty"`
	// Services are the services of the sender's requests, and of the entries.
	Services []string `msgpack:"s"`
	Engines  []string `msgpack:"i"`
	// Starts are the start times of the engines in milliseconds after BaseStart, plus 1; 0 if the engine reported
	// none. A start time itself takes nine bytes, a difference mostly five.
	BaseStart int64 `msgpack:"o"`
	Starts    []int `msgpack:"b"`
	// ServiceOf are indexes into Services.
	ServiceOf []int `msgpack:"k"`
	InFlight  []int `msgpack:"n"`
	// CountAges and ReportAges are in milliseconds, rounded up; noReport without a report.
	CountAges  []int `msgpack:"a"`
	Running    []int `msgpack:"r"`
	Waiting    []int `msgpack:"w"`
	ReportAges []int `msgpack:"l"`
}

// errSenderName means that the sender's name leaves no room for entries.
var errSenderName = errors.New("load exchange: name of the sender too long")

// errColumns means that the lists of a message differ in length.
var errColumns = errors.New("load exchange: lists of different lengths")

// NewMessage returns a message with the entries of the fullest engines that have not expired, at most MaxEngines and
// MaxBytes.
func NewMessage(sender Message, entries []Entry, now time.Time) (Message, error) {
	sorted := make([]Entry, 0, len(entries))
	for _, entry := range entries {
		if fresh, left := entry.withoutExpired(now); left {
			sorted = append(sorted, fresh)
		}
	}
	slices.SortFunc(sorted, compareFullness)
	sorted = sorted[:min(len(sorted), MaxEngines)]
	for {
		message := sender.withEntries(sorted, now)
		raw, err := msgpack.Marshal(&message)
		if err != nil {
			return Message{}, errors.Wrap(err, "encode load exchange")
		}
		switch {
		case len(raw) <= MaxBytes:
			return message, nil
		case len(sorted) > 0:
			sorted = sorted[:min(len(sorted)-1, len(sorted)*MaxBytes/len(raw))]
		case len(sender.Services) > 0:
			sender.Services = sender.Services[:min(len(sender.Services), MaxServices)-1]
		default:
			return Message{}, errSenderName
		}
	}
}

// withEntries returns the message with the given entries. Entries of services beyond MaxServices are left out.
func (m Message) withEntries(entries []Entry, now time.Time) Message {
	m.Services = slices.Clone(m.Services[:min(len(m.Services), MaxServices)])
	for _, entry := range entries {
		if start := entry.Engine.StartMillis; start != 0 && (m.BaseStart == 0 || start < m.BaseStart) {
			m.BaseStart = start
		}
	}
	for _, entry := range entries {
		service := slices.Index(m.Services, entry.Service)
		if service < 0 {
			if len(m.Services) == MaxServices {
				continue
			}
			m.Services, service = append(m.Services, entry.Service), len(m.Services)
		}
		m.addEntry(entry, service, now)
	}
	return m
}

func (m *Message) addEntry(entry Entry, service int, now time.Time) {
	start := 0
	if entry.Engine.StartMillis != 0 {
		start = int(entry.Engine.StartMillis-m.BaseStart) + 1
	}
	m.Engines = append(m.Engines, entry.Engine.Engine)
	m.Starts = append(m.Starts, start)
	m.ServiceOf = append(m.ServiceOf, service)
	m.InFlight = append(m.InFlight, entry.InFlight)
	m.CountAges = append(m.CountAges, ageMillis(entry.CountedAt, now))
	m.Running = append(m.Running, entry.Running)
	m.Waiting = append(m.Waiting, entry.Waiting)
	m.ReportAges = append(m.ReportAges, ageMillis(entry.ReportedAt, now))
}

// ageMillis rounds up, so that an entry doesn't become younger with each hop.
func ageMillis(at, now time.Time) int {
	if at.IsZero() {
		return noReport
	}
	return int(max(0, (now.Sub(at) + time.Millisecond - 1).Milliseconds()))
}

// Entries returns the entries of a received message, without expired and invalid ones. The ages count from sentAfter, a
// time of the receiver's clock before the message was sent: entries may seem older than they are, but never younger.
func (m Message) Entries(sentAfter time.Time) ([]Entry, error) {
	count := len(m.Engines)
	for _, column := range [][]int{
		m.Starts, m.ServiceOf, m.InFlight, m.CountAges, m.Running, m.Waiting, m.ReportAges,
	} {
		if len(column) != count {
			return nil, errColumns
		}
	}
	var entries []Entry
	for i := range min(count, MaxEngines) {
		if min(m.Starts[i], m.ServiceOf[i], m.InFlight[i], m.Running[i], m.Waiting[i]) < 0 ||
			m.ServiceOf[i] >= len(m.Services) {
			continue
		}
		entry := Entry{
			Engine: incarnation.ID{Engine: m.Engines[i]}, Service: m.Services[m.ServiceOf[i]],
			InFlight: m.InFlight[i], CountedAt: timeOf(m.CountAges[i], sentAfter),
			Running: m.Running[i], Waiting: m.Waiting[i], ReportedAt: timeOf(m.ReportAges[i], sentAfter),
		}
		if m.Starts[i] > 0 {
			entry.Engine.StartMillis = m.BaseStart + int64(m.Starts[i]) - 1
		}
		if fresh, left := entry.withoutExpired(sentAfter); left {
			entries = append(entries, fresh)
		}
	}
	return entries, nil
}

func timeOf(ageMillis int, sentAfter time.Time) time.Time {
	if ageMillis < 0 || ageMillis >= int(TTL.Milliseconds()) {
		return time.Time{}
	}
	return sentAfter.Add(-time.Duration(ageMillis) * time.Millisecond)
}
