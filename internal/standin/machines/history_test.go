package machines

import (
	"net/http/httptest"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/corkpulley/corkpulley/internal/platform/machines"
)

var startTime = time.Unix(1_000_000, 0)

func at(seconds int) time.Time { return startTime.Add(time.Duration(seconds) * time.Second) }

// Guards against changes visible before the lag has passed, and against machines that never expire.
func TestHistoryLagAndExpiry(t *testing.T) {
	list := newHistory(10*time.Second, 30*time.Second)
	live := machines.Machine{ID: "e1", Address: "127.0.0.1:1", State: machines.StateLive}
	leaving := live
	leaving.State = machines.StateLeaving
	list.put(live, at(0))
	list.put(live, at(3))
	list.put(leaving, at(5))
	assert.Equal(t, len(list.list(at(9)).Machines), 0)
	assert.DeepEqual(t, list.list(at(10)).Machines, []machines.Machine{live})
	assert.DeepEqual(t, list.list(at(15)).Machines, []machines.Machine{leaving})
	assert.DeepEqual(t, list.list(at(36)).Machines, []machines.Machine{leaving})
	assert.Equal(t, len(list.list(at(46)).Machines), 0)
	list.put(live, at(50))
	list.remove("e1", at(52))
	list.remove("unknown", at(53))
	assert.Equal(t, len(list.list(at(61)).Machines), 1)
	assert.Equal(t, len(list.list(at(62)).Machines), 0)
}

func TestServerRegistersListsAndRemovesMachines(t *testing.T) {
	server := New(Config{})
	listener := httptest.NewServer(server.Handler())
	defer listener.Close()
	source := machines.NewHTTP(listener.URL, nil)
	machine := machines.Machine{ID: "e1", Role: machines.RoleEngine, Address: "127.0.0.1:1", Zone: "z", Pool: "p", State: machines.StateLive}
	assert.NilError(t, source.Register(t.Context(), machine))
	list, err := source.List(t.Context())
	assert.NilError(t, err)
	assert.DeepEqual(t, list.Machines, []machines.Machine{machine})
	assert.NilError(t, source.Remove(t.Context(), "e1"))
	list, err = source.List(t.Context())
	assert.NilError(t, err)
	assert.Equal(t, len(list.Machines), 0)
	server.down = true
	_, err = source.List(t.Context())
	assert.ErrorContains(t, err, "503")
}
