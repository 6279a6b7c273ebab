package hosted

import (
	"bytes"
	"fmt"
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/corkpulley/corkpulley/internal/eventlog"
	"github.com/corkpulley/corkpulley/internal/testwait"
)

// oddJSON returns values that no sound writer leaves, most of them variants of a sound entry. All are within the size of a
// record.
func oddJSON(sound []byte) map[string][]byte {
	entry := strings.TrimSuffix(string(sound), "}")
	values := map[string][]byte{
		"empty": {}, "null": []byte("null"), "no JSON": []byte("{"), "list": []byte("[]"), "number": []byte("1e400"),
		"not UTF-8": []byte("\xff\xfe"),
	}
	for _, depth := range []int{1000, 9000, 11_000, 40_000} {
		nested := strings.Repeat("[", depth) + strings.Repeat("]", depth)
		values[fmt.Sprint("nested ", depth)] = []byte(nested)
		values[fmt.Sprint("objects ", depth)] = []byte(strings.Repeat(`{"a":`, depth) + "1" + strings.Repeat("}", depth))
		values[fmt.Sprint("open ", depth)] = []byte(strings.Repeat("[", depth))
		values[fmt.Sprint("field nested ", depth)] = []byte(entry + `,"odd":` + nested + "}")
		values[fmt.Sprint("models nested ", depth)] = []byte(entry + `,"models":` + nested + "}")
	}
	for _, number := range []string{"1e400", "-1e400", "9223372036854775808", "-1", "1e18", "99999999999999999999999999"} {
		for _, field := range []string{"slots", "seqNo", "coldLeftMs", "startedMs", "version"} {
			values[field+" "+number] = []byte(fmt.Sprintf(`%s,%q:%s}`, entry, field, number))
		}
	}
	for _, address := range []string{"127.0.0.1:99999", "127.0.0.1:-1", "127.0.0.1:0", "127.0.0.1", ":", "[::1", "host name:1"} {
		values["address "+address] = []byte(fmt.Sprintf(`{"service":"desk","address":%q,"zone":"z1","slots":4,"state":"ready"}`, address))
	}
	return values
}

// oddMsgpack returns values whose lengths or depth no sound writer produces.
func oddMsgpack() [][]byte {
	values := [][]byte{
		{}, {0xc0}, {0xc1}, {0xdd, 0xff, 0xff, 0xff, 0xff}, {0xdf, 0xff, 0xff, 0xff, 0xff}, {0xdb, 0xff, 0xff, 0xff, 0xff},
		{0xc6, 0xff, 0xff, 0xff, 0xff}, {0x81, 0xa1, 'j', 0xdd, 0xff, 0xff, 0xff, 0xff}, []byte("{}"), []byte("not msgpack"),
	}
	for _, depth := range []int{1000, 80_000} {
		values = append(values,
			bytes.Repeat([]byte{0x91}, 3*depth),
			append([]byte{0x81, 0xa3, 'o', 'd', 'd'}, bytes.Repeat([]byte{0x91}, depth)...),
			bytes.Repeat([]byte{0x81, 0xa1, 'j'}, depth),
		)
	}
	return values
}

// Guards against nodes that end, or that stop following a topic, because of a record that another writer left there. Nodes
// that run and nodes that start read it.
func TestOddRecordsAreSkipped(t *testing.T) {
	t.Parallel()
	d := deploy(t)
	first := addDesk(d, "e1")
	d.addModelEngine("m1", 1, 4, 0)
	d.configure(safeRoute("/a/"), batchRoute("/batch/"))
	running := d.start("n1")

	number := 0
	for _, value := range oddJSON(first.Entry(d.addresses["e1"], "ready")) {
		number++
		d.store.Log.Put("keyed.servers", fmt.Sprint("odd-", number), value)
		d.store.Log.Put("keyed.op", fmt.Sprint("version/odd-", number), value)
		d.store.Log.Put("keyed.op", fmt.Sprint("odd-", number), value)
		d.store.Log.Put("keyed.op", "config", value)
	}
	for _, key := range []string{"/", "..", strings.Repeat("k", 255), "\xff", " ", "a\x00b"} {
		d.store.Log.Put("keyed.servers", key, first.Entry(d.addresses["e1"], "ready"))
		d.store.Log.Put("keyed.op", key, []byte("{}"))
		d.store.Log.Put("keyed.op", "version/"+key[:min(len(key), 100)], []byte("{}"))
	}
	for i, value := range oddMsgpack() {
		for _, topic := range []string{"keyed.corkpulley-crashes", "keyed.corkpulley-version"} {
			d.store.Log.Put(topic, fmt.Sprint("odd-", i), value)
		}
		for _, topic := range []string{"corkpulley.jobs", "corkpulley.lease", "corkpulley.nodes"} {
			_, err := d.store.Log.Append(t.Context(), eventlog.Partition{Topic: topic}, [][]byte{value})
			assert.NilError(t, err)
		}
	}

	addDesk(d, "e2")
	d.configure(safeRoute("/a/"), safeRoute("/later/"), batchRoute("/batch/"))
	started := d.start("n2")
	for _, node := range []*testNode{running, started} {
		testwait.Until(t, "the newest configuration to be in force", func() bool {
			return node.call(http.MethodPost, "/later/x", "later", "").status == http.StatusOK
		})
		testwait.Until(t, "the newest engine to be used", func() bool {
			node.call(http.MethodPost, "/a/x", "new", "")
			return len(d.engines[len(d.engines)-1].Runs()) > 0
		})
	}
	ids := itemIDs(4)
	assert.Equal(t, started.call(http.MethodPost, "/batch/x", "job1", jobBody(1, ids...)).status, http.StatusAccepted)
	assertAllCompleted(t, d.awaitResults(running, "job1", len(ids)), ids, 4)
}
