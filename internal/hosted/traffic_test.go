package hosted

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/prometheus/client_golang/prometheus"
	"gotest.tools/v3/assert"

	"github.com/corkpulley/corkpulley/internal/batchrun"
	"github.com/corkpulley/corkpulley/internal/core/batch"
	"github.com/corkpulley/corkpulley/internal/core/fleet"
	"github.com/corkpulley/corkpulley/internal/core/routes"
	"github.com/corkpulley/corkpulley/internal/core/topology"
	"github.com/corkpulley/corkpulley/internal/ingress"
)

// echoEngines answers every request with five bytes.
type echoEngines struct{ Engines }

func (echoEngines) Send(context.Context, fleet.Engine, ingress.Call) (*ingress.Answer, error) {
	return &ingress.Answer{Body: io.NopCloser(strings.NewReader("bytes"))}, nil
}

func (echoEngines) Stream(context.Context, fleet.Engine, batchrun.Call) (batchrun.Stream, error) {
	return &singleEventStream{}, nil
}

// singleEventStream is a stream of one event of four bytes.
type singleEventStream struct{ sent bool }

func (o *singleEventStream) Next() (batchrun.Event, error) {
	if o.sent {
		return batchrun.Event{}, io.EOF
	}
	o.sent = true
	return batchrun.Event{Data: []byte("data")}, nil
}

func (*singleEventStream) Close() {}

// counterValues returns the values of a counter by kind and distance.
func counterValues(t *testing.T, registry *prometheus.Registry, name string) map[string]float64 {
	t.Helper()
	families, err := registry.Gather()
	assert.NilError(t, err)
	found := make(map[string]float64)
	for _, family := range families {
		if family.GetName() != name {
			continue
		}
		for _, metric := range family.GetMetric() {
			labels := make(map[string]string)
			for _, label := range metric.GetLabel() {
				labels[label.GetName()] = label.GetValue()
			}
			found[labels["kind"]+" "+labels["distance"]] = metric.GetCounter().GetValue()
		}
	}
	return found
}

func TestTrafficByKindAndDistance(t *testing.T) {
	registry := prometheus.NewRegistry()
	traffic := newTraffic(registry)
	engines := &countedEngines{echoEngines{}, traffic, topology.Place{Zone: "a1", Region: "a"}}
	near, far := fleet.Engine{Zone: "a2", Region: "a"}, fleet.Engine{Zone: "b1", Region: "b"}
	for _, call := range []ingress.Call{
		{Request: &ingress.Request{Body: []byte("abc")}},
		{Request: &ingress.Request{Body: []byte("abc"), Sender: &routes.Sender{}}},
	} {
		answer, err := engines.Send(t.Context(), near, call)
		assert.NilError(t, err)
		_, err = io.ReadAll(answer.Body)
		assert.NilError(t, err)
	}
	stream, err := engines.Stream(t.Context(), far, batchrun.Call{Payload: batch.Payload{Body: []byte("ab")}})
	assert.NilError(t, err)
	for err == nil {
		_, err = stream.Next()
	}
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("1234567")) }))
	defer server.Close()
	client := &http.Client{Transport: &countedTransport{
		http.DefaultTransport, traffic, logTraffic, func(string) topology.Distance { return topology.SameZone },
	}}
	response, err := client.Post(server.URL, "", strings.NewReader("123"))
	assert.NilError(t, err)
	_, err = io.ReadAll(response.Body)
	assert.NilError(t, err)
	assert.NilError(t, response.Body.Close())

	assert.DeepEqual(t, counterValues(t, registry, "corkpulley_hosted_messages_total"), map[string]float64{
		"live same_region": 1, "scoring same_region": 1, "item other_region": 1, "log_call same_zone": 1,
	})
	assert.DeepEqual(t, counterValues(t, registry, "corkpulley_hosted_message_bytes_total"), map[string]float64{
		"live same_region": 8, "scoring same_region": 8, "item other_region": 6, "log_call same_zone": 10,
	})
}
