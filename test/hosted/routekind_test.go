package hosted

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/corkpulley/corkpulley/internal/settings"
	standin "github.com/corkpulley/corkpulley/internal/standin/platform"
	"github.com/corkpulley/corkpulley/internal/testwait"
)

// pendingPost is a POST whose body the node has begun to read, but which has not arrived yet.
type pendingPost struct {
	t          *testing.T
	connection net.Conn
	source     *bufio.Reader
	body       string
}

// beginPost sends the header of a POST and returns once the node asks for the body.
func (n *testNode) beginPost(t *testing.T, path, id, body string) *pendingPost {
	t.Helper()
	connection, err := net.Dial("tcp", strings.TrimPrefix(n.callerURL, "http://"))
	assert.NilError(t, err)
	t.Cleanup(func() { _ = connection.Close() })
	_, err = fmt.Fprintf(connection, "POST %s HTTP/1.1\r\nHost: %s\r\nX-Corkpulley-Attempt-Id: %s\r\n"+
		"Expect: 100-continue\r\nContent-Length: %d\r\n\r\n", path, host, id, len(body))
	assert.NilError(t, err)
	source := bufio.NewReader(connection)
	interim, err := http.ReadResponse(source, nil)
	assert.NilError(t, err)
	assert.Equal(t, interim.StatusCode, http.StatusContinue)
	return &pendingPost{t: t, connection: connection, source: source, body: body}
}

// beginChunkedPost is beginPost for a body of one chunk.
func (n *testNode) beginChunkedPost(t *testing.T, path, id, body string) *pendingPost {
	t.Helper()
	connection, err := net.Dial("tcp", strings.TrimPrefix(n.callerURL, "http://"))
	assert.NilError(t, err)
	t.Cleanup(func() { _ = connection.Close() })
	_, err = fmt.Fprintf(connection, "POST %s HTTP/1.1\r\nHost: %s\r\nX-Corkpulley-Attempt-Id: %s\r\n"+
		"Transfer-Encoding: chunked\r\n\r\n", path, host, id)
	assert.NilError(t, err)
	body = fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", len(body), body)
	return &pendingPost{t: t, connection: connection, source: bufio.NewReader(connection), body: body}
}

// finish sends the body and returns the response's status.
func (p *pendingPost) finish() int {
	p.t.Helper()
	// The node may answer and close before it has read all.
	_, _ = p.connection.Write([]byte(p.body))
	response, err := http.ReadResponse(p.source, nil)
	assert.NilError(p.t, err)
	_ = response.Body.Close()
	return response.StatusCode
}

// liveModelRoute is a live route to the engines that run items.
func liveModelRoute(prefix string) route {
	live := batchRoute(prefix)
	live["routeKind"] = "streaming"
	return live
}

// reconfigure publishes a configuration and returns once it is in force at the node.
func (d *deployment) reconfigure(n *testNode, routes ...route) {
	d.t.Helper()
	marker := fmt.Sprintf("/marker%d/", d.config)
	d.configure(append(routes, safeRoute(marker))...)
	testwait.Until(d.t, "the configuration to be in force", func() bool {
		return n.call(http.MethodGet, marker+"x", "marker", "").status == http.StatusOK
	})
}

// Guards against a batch job that is relayed to an engine as a live request, since its route was not known yet when its
// header arrived.
func TestJobThatBeginsBeforeItsRouteIsKnownIsAccepted(t *testing.T) {
	t.Parallel()
	for name, before := range map[string][]route{
		"no configuration": nil,
		"route is added":   {safeRoute("/desk/")},
		"route was live":   {liveModelRoute("/batch/")},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			d := deploy(t)
			d.addModelEngine("e1", 1, 4, 0)
			d.addEngine(standin.EngineOptions{ID: "d1", Service: "desk"})
			node := d.startUnready(settings.Node{ID: "n1", Zone: "z1", Region: "r1"}, d.address)
			testwait.Until(t, "the node to listen", func() bool {
				return node.call(http.MethodGet, "/x", "", "").err == nil
			})
			if before != nil {
				d.reconfigure(node, before...)
			}
			ids := itemIDs(3)
			post := node.beginPost(t, "/batch/x", "job1", jobBody(1, ids...))
			d.reconfigure(node, batchRoute("/batch/"))
			assert.Equal(t, post.finish(), http.StatusAccepted)
			assertAllCompleted(t, d.awaitResults(node, "job1", len(ids)), ids, 4)
			assert.Equal(t, d.runCount("job1"), 0)
		})
	}
}

// Guards against a batch job that is accepted for a route that became a live route while the job arrived.
func TestJobIsRefusedIfItsRouteBecomesLive(t *testing.T) {
	t.Parallel()
	d := deploy(t)
	d.addModelEngine("e1", 1, 4, 0)
	d.addEngine(standin.EngineOptions{ID: "d1", Service: "desk"})
	d.configure(batchRoute("/batch/"))
	node := d.start("n1")
	post := node.beginPost(t, "/batch/x", "job1", jobBody(1, itemIDs(3)...))
	d.reconfigure(node, liveModelRoute("/batch/"))
	assert.Equal(t, post.finish(), http.StatusServiceUnavailable)
	_, status := node.readResults("job1", 0)
	assert.Equal(t, status, http.StatusNotFound)
	assert.Equal(t, d.runCount("job1"), 0)
	for _, id := range itemIDs(3) {
		assert.Equal(t, d.runCount(id), 0)
	}
}

// Guards against a body that is refused for good by the limit that applies before the first configuration is known.
func TestLargeBodyIsNotRefusedForGoodWithoutConfiguration(t *testing.T) {
	t.Parallel()
	d := deploy(t)
	node := d.startUnready(settings.Node{ID: "n1", Zone: "z1", Region: "r1"}, d.address)
	testwait.Until(t, "the node to listen", func() bool {
		return node.call(http.MethodGet, "/x", "", "").err == nil
	})
	body := strings.Repeat("x", 3<<20)
	connection, err := net.Dial("tcp", strings.TrimPrefix(node.callerURL, "http://"))
	assert.NilError(t, err)
	defer connection.Close()
	_, err = fmt.Fprintf(connection, "POST /batch/x HTTP/1.1\r\nHost: %s\r\nContent-Length: %d\r\n\r\n", host, len(body))
	assert.NilError(t, err)
	response, err := http.ReadResponse(bufio.NewReader(connection), nil)
	assert.NilError(t, err)
	assert.Equal(t, response.StatusCode, http.StatusServiceUnavailable)

	post := node.beginChunkedPost(t, "/batch/x", "job1", body)
	assert.Equal(t, post.finish(), http.StatusServiceUnavailable)
}

// Guards against a path that selects one route by its escaped form and another one by its decoded form.
func TestEscapedPathSelectsOneRoute(t *testing.T) {
	t.Parallel()
	d := deploy(t)
	d.addModelEngine("e1", 1, 4, 0)
	d.addEngine(standin.EngineOptions{ID: "d1", Service: "desk"})
	d.configure(batchRoute("/batch%20jobs/"), safeRoute("/desk/"))
	node := d.start("n1")
	ids := itemIDs(3)
	assert.Equal(t, node.call(http.MethodPost, "/batch%20jobs/x", "job1", jobBody(1, ids...)).status, http.StatusAccepted)
	assertAllCompleted(t, d.awaitResults(node, "job1", len(ids)), ids, 4)
	assert.Equal(t, node.call(http.MethodPost, "/%64esk/x", "live1", "{}").status, http.StatusNotFound)
	assert.Equal(t, d.runCount("job1"), 0)
}
