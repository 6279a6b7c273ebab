package hosted

import (
	"context"
	"io"
	"net/http"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/corkpulley/corkpulley/internal/batchrun"
	"github.com/corkpulley/corkpulley/internal/core/fleet"
	"github.com/corkpulley/corkpulley/internal/core/topology"
	"github.com/corkpulley/corkpulley/internal/ingress"
)

// trafficKind is the purpose of a message to another machine.
type trafficKind string

// Kinds of traffic to engines and to other nodes.
const (
	liveTraffic    trafficKind = "live"
	scoringTraffic trafficKind = "scoring"
	itemTraffic    trafficKind = "item"
	replicaTraffic trafficKind = "replica_read"
	jobTraffic     trafficKind = "job_question"
	logTraffic     trafficKind = "log_call"
	loadTraffic    trafficKind = "load_exchange"
)

// traffic counts messages and bytes exchanged with other machines, by kind and distance.
type traffic struct {
	messages *prometheus.CounterVec
	bytes    *prometheus.CounterVec
}

func newTraffic(registry *prometheus.Registry) *traffic {
	labels := []string{"kind", "distance"}
	t := &traffic{
		messages: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "corkpulley_hosted_messages_total", Help: "Messages to engines and other nodes, by kind and distance.",
		}, labels),
		bytes: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "corkpulley_hosted_message_bytes_total", Help: "Bytes of these messages and of their answers, without headers.",
		}, labels),
	}
	registry.MustRegister(t.messages, t.bytes)
	return t
}

// countMessage counts a message with its bytes, and returns a function that counts further bytes of it.
func (t *traffic) countMessage(kind trafficKind, distance topology.Distance, bytes int) func(bytes int) {
	t.messages.WithLabelValues(string(kind), distance.String()).Inc()
	counter := t.bytes.WithLabelValues(string(kind), distance.String())
	counter.Add(float64(bytes))
	return func(bytes int) { counter.Add(float64(bytes)) }
}

// countedBody counts the bytes of a response body.
type countedBody struct {
	io.ReadCloser
	count func(bytes int)
}

// Read implements io.Reader.
func (b *countedBody) Read(into []byte) (int, error) {
	count, err := b.ReadCloser.Read(into)
	b.count(count)
	return count, err
}

// countedEngines counts the traffic to engines. It implements Engines.
type countedEngines struct {
	Engines
	traffic *traffic
	own     topology.Place
}

func (e *countedEngines) distance(engine fleet.Engine) topology.Distance {
	return topology.Between(e.own, topology.Place{Zone: engine.Zone, Region: engine.Region})
}

// Send implements ingress.Engines.
func (e *countedEngines) Send(ctx context.Context, engine fleet.Engine, call ingress.Call) (*ingress.Answer, error) {
	kind := liveTraffic
	if call.Request.Sender != nil {
		kind = scoringTraffic
	}
	count := e.traffic.countMessage(kind, e.distance(engine), len(call.Request.Body))
	answer, err := e.Engines.Send(ctx, engine, call)
	if err == nil {
		answer.Body = &countedBody{answer.Body, count}
	}
	return answer, err
}

// Stream implements batchrun.Engines.
func (e *countedEngines) Stream(
	ctx context.Context, engine fleet.Engine, call batchrun.Call,
) (batchrun.Stream, error) {
	count := e.traffic.countMessage(itemTraffic, e.distance(engine), len(call.Payload.Body))
	stream, err := e.Engines.Stream(ctx, engine, call)
	if err != nil {
		return nil, err
	}
	return &countedStream{stream, count}, nil
}

// countedStream counts the bytes of stream events.
type countedStream struct {
	batchrun.Stream
	count func(bytes int)
}

// Next implements batchrun.Stream.
func (s *countedStream) Next() (batchrun.Event, error) {
	event, err := s.Stream.Next()
	s.count(len(event.Data))
	return event, err
}

// countedTransport counts calls to other nodes. It implements http.RoundTripper.
type countedTransport struct {
	http.RoundTripper
	traffic *traffic
	kind    trafficKind
	// distanceOf returns the distance to the node at an address.
	distanceOf func(address string) topology.Distance
}

// RoundTrip implements http.RoundTripper.
func (c *countedTransport) RoundTrip(request *http.Request) (*http.Response, error) {
	count := c.traffic.countMessage(c.kind, c.distanceOf(request.URL.Host), int(max(0, request.ContentLength)))
	if request.ContentLength <= 0 && request.Body != nil && request.Body != http.NoBody {
		// The length is not known: the request is encoded when it is read.
		request = request.Clone(request.Context())
		request.Body = &countedBody{request.Body, count}
	}
	response, err := c.RoundTripper.RoundTrip(request)
	if err == nil {
		response.Body = &countedBody{response.Body, count}
	}
	return response, err
}

// countTraffic makes a client count the traffic of its calls, and returns the client.
func (n *node) countTraffic(client *http.Client, kind trafficKind) *http.Client {
	client.Transport = &countedTransport{client.Transport, n.metrics.traffic, kind, n.directory.DistanceOf}
	return client
}
