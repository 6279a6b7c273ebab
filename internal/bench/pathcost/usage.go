package pathcost

import (
	"context"
	"encoding/json"
	"net/http"
	"runtime"
	"syscall"
	"time"

	"github.com/go-faster/errors"
)

// Usage is the CPU time and heap allocations of a process since its start.
type Usage struct {
	CPUTime     time.Duration `json:"processor"`
	Allocations uint64        `json:"allocations"`
	Bytes       uint64        `json:"bytes"`
}

// ownUsage returns the usage of the current process.
func ownUsage() (Usage, error) {
	var resources syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &resources); err != nil {
		return Usage{}, errors.Wrap(err, "getrusage")
	}
	var memory runtime.MemStats
	runtime.ReadMemStats(&memory)
	cpuTime := time.Duration(resources.Utime.Nano() + resources.Stime.Nano())
	return Usage{CPUTime: cpuTime, Allocations: memory.Mallocs, Bytes: memory.TotalAlloc}, nil
}

func (u Usage) minus(other Usage) Usage {
	return Usage{
		CPUTime:     u.CPUTime - other.CPUTime,
		Allocations: u.Allocations - other.Allocations,
		Bytes:       u.Bytes - other.Bytes,
	}
}

// handleUsage responds with ownUsage as JSON.
func handleUsage(writer http.ResponseWriter, _ *http.Request) {
	usage, err := ownUsage()
	if err != nil {
		http.Error(writer, err.Error(), http.StatusInternalServerError)
		return
	}
	_ = json.NewEncoder(writer).Encode(usage)
}

// readUsage gets the usage from the endpoint of a process started by this command.
func readUsage(ctx context.Context, address string) (Usage, error) {
	var usage Usage
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address, nil)
	if err != nil {
		return usage, errors.Wrap(err, "build usage request")
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return usage, errors.Wrap(err, "get usage")
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return usage, errors.Errorf("get usage: status %s", response.Status)
	}
	if err := json.NewDecoder(response.Body).Decode(&usage); err != nil {
		return usage, errors.Wrap(err, "decode usage")
	}
	return usage, nil
}
