package hosted

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"gotest.tools/v3/assert"

	"github.com/corkpulley/corkpulley/internal/core/loadexchange"
	"github.com/corkpulley/corkpulley/internal/core/topology"
)

// Guards against ages that change with the clock in which times are expressed.
func TestConvertTimesKeepsAges(t *testing.T) {
	from, to := time.Unix(1000, 0), time.Unix(77, 0)
	converted := convertTimes([]loadexchange.Entry{
		{CountedAt: from.Add(-time.Second), ReportedAt: from.Add(-2 * time.Second)}, {CountedAt: from},
	}, from, to)
	assert.DeepEqual(t, converted, []loadexchange.Entry{
		{CountedAt: to.Add(-time.Second), ReportedAt: to.Add(-2 * time.Second)}, {CountedAt: to},
	})
}

// Guards against an exchange, or its handler, in a node whose settings have none.
func TestNoLoadExchangeByDefault(t *testing.T) {
	n := &node{}
	assert.Assert(t, n.newLoadExchange() == nil)
	assert.NilError(t, n.exchangeLoad(t.Context()))
}

// Guards against bytes that are missing in the metrics because a request's length is not known beforehand.
func TestTrafficCountsRequestsOfUnknownLength(t *testing.T) {
	registry := prometheus.NewRegistry()
	traffic := newTraffic(registry)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(w, r.Body)
	}))
	defer server.Close()
	client := &http.Client{Transport: &countedTransport{
		http.DefaultTransport, traffic, loadTraffic, func(string) topology.Distance { return topology.SameZone },
	}}
	// Without the type strings.Reader, the client does not know the length.
	response, err := client.Post(server.URL, "", io.MultiReader(strings.NewReader("1234567")))
	assert.NilError(t, err)
	content, err := io.ReadAll(response.Body)
	assert.NilError(t, err)
	assert.NilError(t, response.Body.Close())
	assert.Equal(t, string(content), "1234567")
	assert.DeepEqual(t, counterValues(t, registry, "corkpulley_hosted_message_bytes_total"), map[string]float64{
		"load_exchange same_zone": 14,
	})
}
