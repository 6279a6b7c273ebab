//go:build linux

package clients

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/corkpulley/corkpulley/internal/testwait"
)

// checkSurvives checks a daemon while a crowd keeps its connections open.
func checkSurvives(t *testing.T, d *daemon, address string, payload func(member int) string) {
	t.Helper()
	gather(t, address, crowdSize, payload)
	d.checkServesCaller()
	d.checkWithinLimits()
}

func TestHeadersOfShortLinesWithoutEnd(t *testing.T) {
	d := startHosted(t, smallMemory())
	payload := startLine + shortLines(endlessBytes)
	checkSurvives(t, d, d.callers, func(int) string { return payload })
}

func TestHeadersOfRepeatedLinesWithoutEnd(t *testing.T) {
	d := startHosted(t, smallMemory())
	payload := startLine + strings.Repeat("a:\r\n", endlessBytes/4)
	gather(t, d.callers, 2*crowdSize, func(int) string { return payload })
	d.checkServesCaller()
	d.checkWithinLimits()
}

func TestHeaderLinesWithoutEnd(t *testing.T) {
	d := startHosted(t, smallMemory())
	payload := startLine + "a: " + strings.Repeat("x", endlessBytes)
	gather(t, d.callers, 4*crowdSize, func(int) string { return payload })
	d.checkServesCaller()
	d.checkWithinLimits()
}

func TestLegalHeadersWhoseBodyNeverComes(t *testing.T) {
	d := startHosted(t, smallMemory())
	gather(t, d.callers, 2*crowdSize, func(member int) string {
		return legalHeader(fmt.Sprintf("legal%d", member), maxHeaderBytes-16, 100)
	})
	d.checkServesCaller()
	d.checkWithinLimits()
}

// Headers of several sizes leave no memory for the smallest request, unless silent clients make room.
func TestLegalHeadersThatFillTheMemory(t *testing.T) {
	d := startHosted(t, smallMemory())
	sizes := []int{maxHeaderBytes - 16, 2000, 300, 300, 120, 120, 120, 120, 120, 120}
	gather(t, d.callers, 2*crowdSize, func(member int) string {
		return legalHeader(fmt.Sprintf("fill%d", member), sizes[member*len(sizes)/(2*crowdSize)], 100)
	})
	d.awaitSteadyUsage()
	status := d.call(http.MethodPost, "/lookup/x", "ordinary", "a parcel")
	assert.Equal(t, status, http.StatusOK)
	d.checkWithinLimits()
}

func TestHeadersOfShortLinesAtOperators(t *testing.T) {
	d := startHosted(t, smallMemory())
	payload := "GET /metrics HTTP/1.1\r\nHost: x\r\n" + shortLines(endlessBytes)
	checkSurvives(t, d, d.operators, func(int) string { return payload })
}

func TestHeadersOfShortLinesAtPeers(t *testing.T) {
	d := startHosted(t, smallMemory())
	payload := "POST /log HTTP/1.1\r\nHost: x\r\n" + shortLines(endlessBytes)
	checkSurvives(t, d, d.peers, func(int) string { return payload })
}

// Bodies at the listener of peers are read before any check of their sender.
func TestBodiesAtPeersWithoutEnd(t *testing.T) {
	d := startHosted(t, smallMemory())
	payload := "POST /log HTTP/1.1\r\nHost: x\r\nContent-Length: 4000000\r\n\r\n" + strings.Repeat("\x90", 3_900_000)
	gather(t, d.peers, crowdSize/4, func(int) string { return payload })
	d.checkServesCaller()
	d.checkWithinLimits()
}

// A client that comes back at once takes the place of each connection that the daemon closes.
func TestCrowdThatReconnectsAtOnce(t *testing.T) {
	d := startHosted(t, smallMemory())
	payload := legalHeader("legal", maxHeaderBytes-16, 100)
	stop := gatherAgain(t, d.callers, 2*crowdSize, payload)
	for range 10 {
		d.checkServesCaller()
	}
	stop()
	d.checkWithinLimits()
}

// Only the reservation of a body that arrives may keep other bodies out.
func TestAnnouncedBodiesThatNeverCome(t *testing.T) {
	d := startHosted(t, smallMemory())
	// Bodies of several sizes fill all of the memory that bodies may take.
	sizes := []int{1_000_000, 100_000, 10_000, 1_000}
	gather(t, d.callers, crowdSize, func(member int) string {
		size := sizes[member*len(sizes)/crowdSize]
		return fmt.Sprintf("%sX-Corkpulley-Attempt-Id: a%d\r\nContent-Length: %d\r\n\r\n", startLine, member, size)
	})
	d.awaitSteadyUsage()
	status := d.call(http.MethodPost, "/lookup/x", "ordinary", strings.Repeat("x", 40_000))
	assert.Equal(t, status, http.StatusOK)
	d.checkWithinLimits()
}

// Bodies that stop short of their end hold the memory that they have filled.
func TestBodiesThatStopShort(t *testing.T) {
	d := startHosted(t, smallMemory())
	partial := strings.Repeat("x", 900_000)
	gather(t, d.callers, crowdSize/2, func(member int) string {
		return fmt.Sprintf("%sX-Corkpulley-Attempt-Id: a%d\r\nContent-Length: 1000000\r\n\r\n%s", startLine, member, partial)
	})
	d.checkServesCaller()
	d.checkWithinLimits()
}

// What arrives behind a request that waits is held by the kernel for the daemon.
func TestPipelinedRequestsBehindOneThatWaits(t *testing.T) {
	limits := smallMemory()
	limits.responseTime = 4 * time.Second
	d := startHosted(t, limits)
	payload := startLine + "X-Corkpulley-Attempt-Id: %d\r\nContent-Length: 0\r\n\r\n"
	next := strings.Repeat("GET / HTTP/1.1\r\nHost: x\r\n\r\n", (1<<20)/27)
	gather(t, d.callers, 2*crowdSize, func(member int) string { return fmt.Sprintf(payload, member) + next })
	d.checkWithinLimits()
	d.checkServesCaller()
	d.checkWithinLimits()
}

// Responses that are not read wait in buffers of the daemon and of the kernel.
func TestPipelinedRequestsWhoseAnswersAreNotRead(t *testing.T) {
	d := startHosted(t, smallMemory())
	payload := strings.Repeat("GET / HTTP/1.1\r\nHost: x\r\n\r\n", 10_000)
	gather(t, d.callers, crowdSize, func(int) string { return payload })
	d.checkServesCaller()
	d.checkWithinLimits()
}

// postJob submits a body as a batch job and returns the status; zero without an answer.
func (d *daemon) postJob(id, body string) int { return d.call(http.MethodPost, "/batch/x", id, body) }

func TestBatchJobOfEmptyItems(t *testing.T) {
	d := startHosted(t, smallMemory())
	body := `{"requests":[` + strings.Repeat(`{},`, (8<<20)/3) + `{}]}`
	status := d.postJob("job1", body)
	assert.Equal(t, status, http.StatusBadRequest)
	d.checkServesCaller()
	d.checkWithinLimits()
}

func TestBatchJobOfManyHeaderFields(t *testing.T) {
	d := startHosted(t, smallMemory())
	var fields strings.Builder
	for number := 0; fields.Len() < 8<<20; number++ {
		fmt.Fprintf(&fields, `"%s":"",`, shortName(number))
	}
	body := `{"requests":[{"id":"a","path":"/batch/a","headers":{` + strings.TrimSuffix(fields.String(), ",") + `}}]}`
	d.postJob("job1", body)
	d.checkServesCaller()
	d.checkWithinLimits()
}

func TestBatchJobOfManySmallItems(t *testing.T) {
	d := startHosted(t, smallMemory())
	var items strings.Builder
	for number := 0; items.Len() < 8<<20; number++ {
		fmt.Fprintf(&items, `{"id":"%s","path":"/"},`, shortName(number))
	}
	d.postJob("job1", `{"requests":[`+strings.TrimSuffix(items.String(), ",")+`]}`)
	d.checkServesCaller()
	d.checkWithinLimits()
}

func TestBatchJobOfUnknownFields(t *testing.T) {
	d := startHosted(t, smallMemory())
	nested := strings.Repeat(`[`, 5000) + strings.Repeat(`]`, 5000)
	body := `{"other":[` + strings.Repeat(nested+",", 800) + `0],"requests":[{"id":"a","path":"/batch/a"}]}`
	d.postJob("job1", body)
	d.checkServesCaller()
	d.checkWithinLimits()
}

// Several jobs at once are decoded within the same memory.
func TestBatchJobsAtOnce(t *testing.T) {
	d := startHosted(t, smallMemory())
	var items strings.Builder
	for number := 0; items.Len() < 2<<20; number++ {
		fmt.Fprintf(&items, `{"id":"%s","path":"/"},`, shortName(number))
	}
	body := `{"requests":[` + strings.TrimSuffix(items.String(), ",") + `]}`
	gather(t, d.callers, 20, func(member int) string {
		return fmt.Sprintf("POST /batch/x HTTP/1.1\r\nHost: %s\r\nX-Corkpulley-Attempt-Id: j%d\r\nContent-Length: %d\r\n\r\n%s",
			callerHost, member, len(body), body)
	})
	d.checkServesCaller()
	d.checkWithinLimits()
}

// exchange sends bytes on a new connection and returns the status of the response; zero without one.
func exchange(t *testing.T, address, request string) int {
	t.Helper()
	connection, err := net.Dial("tcp", address)
	assert.NilError(t, err)
	defer connection.Close()
	_, err = io.WriteString(connection, request)
	assert.NilError(t, err)
	assert.NilError(t, connection.SetReadDeadline(time.Now().Add(20*time.Second)))
	response, err := http.ReadResponse(bufio.NewReader(connection), nil)
	if err != nil {
		return 0
	}
	_ = response.Body.Close()
	return response.StatusCode
}

// A single request within the limits is served in calm, however its lines are cut.
func TestLargestLegalHeaderIsServed(t *testing.T) {
	d := startHosted(t, smallMemory())
	header := legalHeader("legal", 0, 0)
	for _, size := range []int{15_503, maxHeaderBytes} {
		request := legalHeader("legal", size-6, 0)
		request = strings.Replace(request, "Host: ", "Host: "+strings.Repeat(" ", size-len(request)), 1)
		assert.Equal(t, len(request), size)
		assert.Equal(t, exchange(t, d.callers, request), http.StatusOK, "header of %d bytes", size)
	}
	blanks := strings.Replace(header, "Host: ", "Host: "+strings.Repeat(" ", maxHeaderBytes+1-len(header)), 1)
	assert.Equal(t, exchange(t, d.callers, blanks), http.StatusRequestHeaderFieldsTooLarge)
}

// A header beyond the limit is refused before it is read to its end, and one without end is closed by the
// configuration's time-out.
func TestHeaderLimitsOfConfigurationAreApplied(t *testing.T) {
	limits := smallMemory()
	limits.headerTimeoutMs = 300
	d := startHosted(t, limits)
	status := exchange(t, d.callers, startLine+shortLines(maxHeaderBytes))
	assert.Equal(t, status, http.StatusRequestHeaderFieldsTooLarge)
	connection, err := net.Dial("tcp", d.callers)
	assert.NilError(t, err)
	defer connection.Close()
	send(connection, startLine)
	const defaultTimeout = 10 * time.Second
	assert.NilError(t, connection.SetReadDeadline(time.Now().Add(defaultTimeout-time.Second)))
	_, err = io.Copy(io.Discard, connection)
	assert.NilError(t, err, "the connection is closed by the daemon")
}

// What can never be served is refused before it is sent.
func TestAnnouncedLengthAboveTheLimitIsRefusedAtOnce(t *testing.T) {
	limits := smallMemory()
	d := startHosted(t, limits)
	request := fmt.Sprintf("%sContent-Length: %d\r\n\r\n", startLine, limits.maxBodyBytes+1)
	assert.Equal(t, exchange(t, d.callers, request), http.StatusRequestEntityTooLarge)
}

func TestHeadersOfShortLinesAtStandaloneDaemon(t *testing.T) {
	for _, listener := range []string{"callers", "operators"} {
		t.Run(listener, func(t *testing.T) {
			d := startStandalone(t, smallMemory())
			address := map[string]string{"callers": d.callers, "operators": d.operators}[listener]
			payload := "POST /v1/completions HTTP/1.1\r\nHost: x\r\n" + shortLines(endlessBytes)
			gather(t, address, crowdSize, func(int) string { return payload })
			d.checkAnswersStandalone()
			d.checkWithinLimits()
		})
	}
}

// checkAnswersStandalone checks that the daemon answers callers and operators.
func (d *daemon) checkAnswersStandalone() {
	d.t.Helper()
	for _, target := range []string{d.callers + "/v1/completions", d.operators + "/metrics"} {
		testwait.Until(d.t, "an answer of "+target, func() bool {
			request, err := http.NewRequest(http.MethodGet, "http://"+target, nil)
			assert.NilError(d.t, err)
			return statusOf(request) != 0
		})
	}
}

// A peer frame that is announced and never sent reserves no memory for it.
func TestAnnouncedPeerFramesThatNeverCome(t *testing.T) {
	d := startStandalone(t, smallMemory())
	// Length of 16 MB, kind hello, stream 0, and a first part of the body.
	payload := "\x01\x00\x00\x00\x01\x00\x00\x00\x00" + strings.Repeat("\x00", 200_000)
	gather(t, d.peers, crowdSize, func(int) string { return payload })
	d.checkAnswersStandalone()
	d.checkWithinLimits()
}

// The largest body that the configuration allows is served in calm, by a machine that can hold it.
func TestLargestLegalBodyIsServed(t *testing.T) {
	limits := smallMemory()
	limits.memoryMB = 344
	d := startHosted(t, limits)
	status := d.call(http.MethodPost, "/lookup/x", "large", strings.Repeat("x", limits.maxBodyBytes))
	assert.Equal(t, status, http.StatusOK)
	d.checkServesCaller()
	d.checkWithinLimits()
}
