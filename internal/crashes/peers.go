package crashes

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	"github.com/corkpulley/corkpulley/internal/common/msgpackhttp"
	"github.com/corkpulley/corkpulley/internal/eventlog"
)

const (
	// Path is the endpoint that receives records of other nodes.
	Path = "/crashes"
	// maxMessageBytes bounds a message of maxBatch records.
	maxMessageBytes = 256 << 10
	// maxAnswerBytes bounds the answer, which is empty.
	maxAnswerBytes = 64
	// sendTimeout bounds the call to one node.
	sendTimeout        = 500 * time.Millisecond
	maxConcurrentSends = 16
)

// message carries unwritten records to other nodes, encoded as msgpack.
type message struct {
	Records []eventlog.KeyedRecord `msgpack:"r"`
}

// emptyAnswer is the answer to a message.
type emptyAnswer struct{}

// Peers sends unwritten records to the other nodes.
type Peers struct {
	// addresses returns the peer addresses of the other nodes.
	addresses func() []string
	client    *http.Client
	logger    zerolog.Logger
}

// NewPeers returns a Peers. addresses returns the peer addresses of the other nodes.
func NewPeers(addresses func() []string, client *http.Client, logger zerolog.Logger) *Peers {
	return &Peers{addresses: addresses, client: client, logger: logger}
}

// Send sends records to all other nodes. A node that is not reached reads them from the log later.
func (p *Peers) Send(ctx context.Context, records []eventlog.KeyedRecord) {
	addresses := p.addresses()
	var group errgroup.Group
	group.SetLimit(maxConcurrentSends)
	var mu sync.Mutex
	reached := 0
	for _, address := range addresses {
		group.Go(func() error {
			sendContext, cancel := context.WithTimeout(ctx, sendTimeout)
			defer cancel()
			err := msgpackhttp.Call(sendContext, p.client, "http://"+address+Path, &message{Records: records}, &emptyAnswer{}, maxAnswerBytes)
			if err == nil {
				mu.Lock()
				reached++
				mu.Unlock()
			}
			return nil
		})
	}
	_ = group.Wait()
	p.logger.Info().Int("records", len(records)).Int("nodes", len(addresses)).Int("reached", reached).
		Msg("crash records sent to peers")
}

// Handler returns the handler that receives records of other nodes.
func (g *Guard) Handler() http.Handler {
	return msgpackhttp.Handle(maxMessageBytes, func(_ context.Context, sent message) emptyAnswer {
		for _, record := range sent.Records {
			g.applyFromPeer(record)
		}
		return emptyAnswer{}
	})
}
