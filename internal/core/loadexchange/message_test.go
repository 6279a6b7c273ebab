package loadexchange

import (
	"strings"
	"testing"
	"time"

	"github.com/vmihailenco/msgpack/v5"
	"gotest.tools/v3/assert"

	"github.com/corkpulley/corkpulley/internal/core/incarnation"
	"github.com/corkpulley/corkpulley/internal/core/msgpackguard"
)

func encoded(t *testing.T, message Message) []byte {
	t.Helper()
	raw, err := msgpack.Marshal(&message)
	assert.NilError(t, err)
	assert.NilError(t, msgpackguard.Check(raw))
	return raw
}

// loadedEntries returns entries of engines with requests and a report each; higher numbers are fuller.
func loadedEntries(engines int) []Entry {
	var entries []Entry
	for number := range engines {
		entry := counted(number, number, after(-90))
		entry.Running, entry.Waiting, entry.ReportedAt = 8, number, after(-400)
		entries = append(entries, entry)
	}
	return entries
}

// Guards against messages that grow with the number of engines, and against leaving out the fullest ones.
func TestMessagesAreBounded(t *testing.T) {
	entries := loadedEntries(1000)
	message, err := NewMessage(Message{Node: "node-0001"}, entries, start)
	assert.NilError(t, err)
	assert.Equal(t, len(message.Engines), MaxEngines, "IDs of usual length leave room for all of them")
	assert.Assert(t, len(encoded(t, message)) <= MaxBytes, "%d bytes", len(encoded(t, message)))
	assert.Equal(t, message.Engines[0], "engine-0999")
	assert.Equal(t, message.Engines[MaxEngines-1], "engine-0936")

	for number := range entries {
		entries[number].Engine.Engine += strings.Repeat("x", 60)
	}
	message, err = NewMessage(Message{Node: "node-0001"}, entries, start)
	assert.NilError(t, err)
	assert.Assert(t, len(encoded(t, message)) <= MaxBytes)
	assert.Assert(t, len(message.Engines) >= 20 && len(message.Engines) < MaxEngines, "%d", len(message.Engines))
	assert.Assert(t, strings.HasPrefix(message.Engines[0], "engine-0999"))
}

// Guards against names of services that take the room of engines, or make a message larger than the limit.
func TestServicesOfMessagesAreBounded(t *testing.T) {
	var entries []Entry
	var services []string
	for number := range 100 {
		entry := counted(number, 1, start)
		entry.Service = strings.Repeat("x", 200) + entry.Engine.Engine
		services = append(services, entry.Service)
		entries = append(entries, entry)
	}
	message, err := NewMessage(Message{Node: "n", Services: services}, entries, start)
	assert.NilError(t, err)
	assert.Assert(t, len(encoded(t, message)) <= MaxBytes)
	assert.Assert(t, len(message.Services) > 0 && len(message.Services) < MaxServices)
	_, err = NewMessage(Message{Node: strings.Repeat("n", MaxBytes)}, nil, start)
	assert.ErrorIs(t, err, errSenderName)
}

func TestEntriesSurviveEncoding(t *testing.T) {
	entries := []Entry{
		{
			Engine: engineID(3), Service: "t", InFlight: 7, CountedAt: after(-20),
			Running: 8, Waiting: 2, ReportedAt: after(-300),
		},
		counted(2, 5, after(0)), reported(1, 4, after(-499)),
		{Engine: incarnation.ID{Engine: "without-start"}, Service: "t", InFlight: 1, CountedAt: after(-1)},
	}
	message, err := NewMessage(Message{Node: "n", Services: []string{"s", "u"}}, entries, start)
	assert.NilError(t, err)
	var decoded Message
	assert.NilError(t, msgpack.Unmarshal(encoded(t, message), &decoded))
	got, err := decoded.Entries(start)
	assert.NilError(t, err)
	assert.DeepEqual(t, got, entries)
	assert.DeepEqual(t, decoded.Services, []string{"s", "u", "t"})
}

// Guards against entries that get younger by rounding, and against expired entries in messages.
func TestAgesAreRoundedUpAndExpiredEntriesAreNotSent(t *testing.T) {
	entries := []Entry{
		counted(1, 1, start.Add(-1500*time.Microsecond)), counted(2, 1, start.Add(-TTL)), reported(3, 1, start.Add(-TTL)),
		counted(4, 0, start),
	}
	message, err := NewMessage(Message{Node: "n"}, entries, start)
	assert.NilError(t, err)
	assert.DeepEqual(t, message.Engines, []string{"engine-0001"})
	assert.DeepEqual(t, message.CountAges, []int{2})
	got, err := message.Entries(start)
	assert.NilError(t, err)
	assert.DeepEqual(t, got, []Entry{counted(1, 1, after(-2))})
}

// Guards against a crash of the receiver, and against use of the valid part of a message whose lists don't match.
func TestInvalidMessagesAreRejected(t *testing.T) {
	valid, err := NewMessage(Message{Node: "n"}, loadedEntries(3), start)
	assert.NilError(t, err)
	short := valid
	short.InFlight = short.InFlight[1:]
	_, err = short.Entries(start)
	assert.ErrorIs(t, err, errColumns)
	for name, damage := range map[string]func(m *Message){
		"service":        func(m *Message) { m.ServiceOf = []int{0, 9, 0} },
		"negative":       func(m *Message) { m.InFlight = []int{1, -1, 1} },
		"negative start": func(m *Message) { m.Starts = []int{1, -1, 1} },
		"expired": func(m *Message) {
			m.CountAges, m.ReportAges = []int{0, 1 << 40, 0}, []int{0, 500, 0}
		},
	} {
		damaged := valid
		damage(&damaged)
		got, err := damaged.Entries(start)
		assert.NilError(t, err, name)
		assert.Equal(t, len(got), 2, name)
	}
	large := Message{Node: "n", Services: []string{"s"}}
	for range 10 * MaxEngines {
		large.addEntry(counted(1, 1, start), 0, start)
	}
	got, err := large.Entries(start)
	assert.NilError(t, err)
	assert.Equal(t, len(got), MaxEngines)
}

// Guards against a message of a later build that this build can't decode.
func TestUnknownFieldsAreIgnored(t *testing.T) {
	message, err := NewMessage(Message{Node: "n"}, loadedEntries(2), start)
	assert.NilError(t, err)
	var fields map[string]any
	assert.NilError(t, msgpack.Unmarshal(encoded(t, message), &fields))
	fields["future"] = []map[string]int{{"a": 1}}
	raw, err := msgpack.Marshal(fields)
	assert.NilError(t, err)
	var decoded Message
	assert.NilError(t, msgpack.Unmarshal(raw, &decoded))
	assert.DeepEqual(t, decoded, message)
}
