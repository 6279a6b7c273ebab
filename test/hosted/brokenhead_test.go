package hosted

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	standin "github.com/corkpulley/corkpulley/internal/standin/platform"
	"github.com/corkpulley/corkpulley/internal/testwait"
)

// streamRoute is a route of live streams.
func streamRoute(prefix string, resumable bool) route {
	stream := batchRoute(prefix)
	stream["routeKind"] = "streaming"
	stream["resumable"] = resumable
	return stream
}

func unsafeRoute(prefix string) route {
	unsafe := safeRoute(prefix)
	unsafe["routeKind"] = "unsafe"
	return unsafe
}

// brokenHeadRoutes are the routes of the live requests whose response heads break off, by the kind of request.
func brokenHeadRoutes() map[string]route {
	return map[string]route{
		"safe": safeRoute("/a/"), "unsafe": unsafeRoute("/a/"), "stream": streamRoute("/a/", false),
		"resumable stream": streamRoute("/a/", true),
	}
}

// toPosts returns a response function of a raw engine that answers other requests, such as those for reports, as usual.
func toPosts(
	respond func(connection *net.TCPConn, sound *http.Response) bool,
) func(*net.TCPConn, *http.Request, *http.Response) bool {
	return func(connection *net.TCPConn, request *http.Request, sound *http.Response) bool {
		if request.Method != http.MethodPost {
			return writeSound(connection, sound)
		}
		return respond(connection, sound)
	}
}

func engineOptionsFor(route route, id string) standin.EngineOptions {
	options := standin.EngineOptions{ID: id, Service: fmt.Sprint(route["service"]), Slots: 64}
	if options.Service == "llm" {
		options.Versions = map[string]int64{model: 1}
	}
	return options
}

// Guards against a success, empty or short, made from a response whose head broke off at any byte.
func TestBrokenResponseHeadIsNoAnswer(t *testing.T) {
	t.Parallel()
	for name, route := range brokenHeadRoutes() {
		for _, reset := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, reset %t", name, reset), func(t *testing.T) {
				t.Parallel()
				d := deploy(t)
				var cut, length atomic.Int64
				d.addRawEngine(engineOptionsFor(route, "raw"), toPosts(func(connection *net.TCPConn, sound *http.Response) bool {
					head := encodeHead(sound, map[string]string{"Content-Length": "100"})
					length.Store(int64(len(head)))
					_, _ = connection.Write(head[:min(cut.Load(), int64(len(head)-1))])
					endBy(connection, reset)
					return false
				}))
				d.configure(route)
				node := d.start("n1")
				for at := int64(0); length.Load() == 0 || at < length.Load(); at++ {
					cut.Store(at)
					got := node.call(http.MethodPost, "/a/x", fmt.Sprint("request-", at), fmt.Sprint("body ", at))
					assert.Assert(t, got.status/100 != 2 || got.err != nil, "byte %d: status %d, body %q", at, got.status, got.body)
				}
			})
		}
	}
}

// Guards against a success made from a head that ends early with its empty line: without a length the response ends with
// its connection, and one without a body is not that of an engine that has finished.
func TestEmptyResponseThatEndsWithItsConnectionIsNoAnswer(t *testing.T) {
	t.Parallel()
	for name, route := range brokenHeadRoutes() {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			d := deploy(t)
			d.addRawEngine(engineOptionsFor(route, "raw"), toPosts(func(connection *net.TCPConn, sound *http.Response) bool {
				_, _ = connection.Write(encodeHead(sound, nil))
				return false
			}))
			d.configure(route)
			node := d.start("n1")
			got := node.call(http.MethodPost, "/a/x", "request", "body")
			assert.Assert(t, got.status/100 != 2 || got.err != nil, "status %d, body %q", got.status, got.body)
		})
	}
}

// A response may have no length and end with its connection.
func TestResponseThatEndsWithItsConnectionIsRelayed(t *testing.T) {
	t.Parallel()
	for name, route := range brokenHeadRoutes() {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			d := deploy(t)
			d.addRawEngine(engineOptionsFor(route, "raw"), toPosts(func(connection *net.TCPConn, sound *http.Response) bool {
				body, err := io.ReadAll(sound.Body)
				if err == nil {
					_, _ = connection.Write(append(encodeHead(sound, nil), body...))
				}
				return false
			}))
			d.configure(route)
			got := d.start("n1").call(http.MethodPost, "/a/x", "request", "body")
			assert.NilError(t, got.err)
			assert.Equal(t, got.status, http.StatusOK)
			assert.Assert(t, got.body != "")
		})
	}
}

// headStride is the distance between the bytes at which the heads of two requests break off.
const headStride = 3

// brokenFirst breaks the head of the first response to each request off at a byte that follows from its order of
// arrival; later responses are sound.
func brokenFirst(raw **rawEngine, reset bool, empty func(order int64) bool) func(*net.TCPConn, *http.Request, *http.Response) bool {
	var order atomic.Int64
	return func(connection *net.TCPConn, request *http.Request, sound *http.Response) bool {
		if request.Method != http.MethodPost || (*raw).countRequest(request) > 1 {
			return writeSound(connection, sound)
		}
		number := order.Add(1) - 1
		if empty(number) {
			_, _ = connection.Write(encodeHead(sound, nil))
			return false
		}
		head := encodeHead(sound, map[string]string{"Content-Length": "100"})
		_, _ = connection.Write(head[:number*headStride%int64(len(head))])
		endBy(connection, reset)
		return false
	}
}

// Guards against an item, or its score, that is completed from a response whose head broke off.
func TestItemsWithBrokenResponseHeadsAreCompletedWhole(t *testing.T) {
	t.Parallel()
	const items = 120
	for _, reset := range []bool{false, true} {
		t.Run(fmt.Sprint("reset ", reset), func(t *testing.T) {
			t.Parallel()
			d := deploy(t)
			var models, scorers *rawEngine
			everyTenth := func(order int64) bool { return order%10 == 9 }
			models = d.addRawEngine(standin.EngineOptions{
				ID: "llm-1", Service: "llm", Versions: map[string]int64{model: 1}, Slots: items, EventTime: time.Millisecond,
			}, brokenFirst(&models, reset, everyTenth))
			scorers = d.addRawEngine(standin.EngineOptions{ID: "desk-1", Service: "desk", Slots: items}, brokenFirst(&scorers, reset, everyTenth))
			// Scoring calls do not wait until the broken responses of the other engine are forgotten.
			d.addEngine(standin.EngineOptions{ID: "desk-2", Service: "desk", Slots: items})
			d.configure(batchRoute("/batch/"), safeRoute("/scoring/"))
			node := d.start("n1")
			var ids []string
			for i := range items {
				ids = append(ids, fmt.Sprint("item-", i))
			}
			body := scoredJobBody(1, ids...)
			assert.Equal(t, node.call(http.MethodPost, "/batch/x", "job1", body).status, http.StatusAccepted)
			for _, result := range d.awaitResults(node, "job1", items).Results {
				assert.Equal(t, result.State, "completed", result.ID)
				assert.Equal(t, result.Text, standin.ItemText(result.ID, 4))
			}
		})
	}
}

// Guards against a live request that lasts as long as an engine sends bytes.
func TestEndlessBodyEndsAtDeadline(t *testing.T) {
	t.Parallel()
	for name, route := range brokenHeadRoutes() {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			d := deploy(t)
			route["timeoutMs"] = 1500
			var open atomic.Int64
			d.addRawEngine(engineOptionsFor(route, "raw"), toPosts(func(connection *net.TCPConn, sound *http.Response) bool {
				open.Add(1)
				defer open.Add(-1)
				_, err := connection.Write(encodeHead(sound, nil))
				for number := 1; err == nil; number++ {
					_, err = fmt.Fprintf(connection, "id: %d\nx-corkpulley-weight-versions: 1\ndata: more\n\n", number)
				}
				return false
			}))
			d.configure(route)
			node := d.start("n1")
			began := time.Now()
			got := node.call(http.MethodPost, "/a/x", "request", "body")
			assert.Assert(t, time.Since(began) < 4*time.Second)
			assert.Assert(t, got.status/100 != 2 || got.err != nil, "status %d, %d bytes", got.status, len(got.body))
			testwait.Until(t, "the connections to the engine to be closed", func() bool { return open.Load() == 0 })
		})
	}
}

// Guards against callers that get no answer, or one that no engine gave, for a response with an invalid head. Another
// engine is asked if the request may be repeated.
func TestInvalidResponseHeadIsNoAnswer(t *testing.T) {
	t.Parallel()
	for name, spoil := range map[string]func(head string) string{
		"status 000":             func(head string) string { return strings.Replace(head, " 200 ", " 000 ", 1) },
		"status +20":             func(head string) string { return strings.Replace(head, " 200 ", " +20 ", 1) },
		"status 101":             func(head string) string { return strings.Replace(head, " 200 ", " 101 ", 1) },
		"blank in a field name":  func(head string) string { return strings.Replace(head, "\r\n", "\r\nX Odd: 1\r\n", 1) },
		"blank before the colon": func(head string) string { return strings.Replace(head, "Content-Length:", "Content-Length :", 1) },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			d := deploy(t)
			respond := toPosts(func(connection *net.TCPConn, sound *http.Response) bool {
				body, _ := io.ReadAll(sound.Body)
				head := encodeHead(sound, map[string]string{"Content-Length": fmt.Sprint(len(body))})
				_, _ = connection.Write(append([]byte(spoil(string(head))), body...))
				return false
			})
			d.addRawEngine(standin.EngineOptions{ID: "raw", Service: "desk", Slots: 8}, respond)
			d.addRawEngine(standin.EngineOptions{ID: "raw-llm", Service: "llm", Slots: 8, Versions: map[string]int64{model: 1}}, respond)
			sound := d.addEngine(standin.EngineOptions{ID: "sound", Service: "desk"})
			d.addModelEngine("sound-llm", 1, 4, 0)
			d.configure(safeRoute("/safe/"), unsafeRoute("/unsafe/"), batchRoute("/batch/"))
			node := d.start("n1")
			for i := range 12 {
				got := node.call(http.MethodPost, "/safe/x", fmt.Sprint("safe-", i), "{}")
				assert.NilError(t, got.err)
				assert.Equal(t, got.status, http.StatusOK, got.body)
				once := node.call(http.MethodPost, "/unsafe/x", fmt.Sprint("unsafe-", i), "{}")
				assert.NilError(t, once.err)
				ranSound := slices.ContainsFunc(sound.Runs(), func(run standin.Run) bool { return run.ID == fmt.Sprint("unsafe-", i) })
				if ranSound {
					assert.Equal(t, once.status, http.StatusOK)
				} else {
					assert.Equal(t, once.status, http.StatusBadGateway)
				}
			}
			ids := itemIDs(8)
			assert.Equal(t, node.call(http.MethodPost, "/batch/x", "job1", jobBody(1, ids...)).status, http.StatusAccepted)
			assertAllCompleted(t, d.awaitResults(node, "job1", len(ids)), ids, 4)
		})
	}
}
