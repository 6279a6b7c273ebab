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
	// Path is the endpoint for records of other nodes.
	Path = "/crashes"
	// maxMessageBytes bounds a message of maxBatch records.
	maxMessageBytes = 256 << 10
	// maxAnswerBytes bounds the answer, which is empty.
	maxAnswerBytes = 64
	// sendTimeout bounds the sending to one node, maxConcurrentSends the concurrent sends.
	sendTimeout        = 500 * time.Millisecond
	maxConcurrentSends = 16
)

// message carries unwritten records to other nodes, encoded as msgpack.
type message struct {
	Records []eventlog.KeyedRecord `msgpack:"r"`
}

// received is the answer to a message.
type received struct{}

// Peers sends unwritten records to the other nodes.
type Peers struct {
	// addresses returns the peer addresses of the other nodes.
	addresses func() []string
	client    *http.Client
	logger    zerolog.Logger
}

// NewPeers returns a sender to the nodes at the addresses.
func NewPeers(addresses func() []string, client *http.Client, logger zerolog.Logger) *Peers {
	return &Peers{addresses: addresses, client: client, logger: logger}
}

// Tell sends records to all other nodes. Unreachable nodes read them from the log later.
func (p *Peers) Tell(ctx context.Context, records []eventlog.KeyedRecord) {
	addresses := p.addresses()
	var group errgroup.Group
	group.SetLimit(maxConcurrentSends)
	var mu sync.Mutex
	reached := 0
	for _, address := range addresses {
		group.Go(func() error {
			sending, cancel := context.WithTimeout(ctx, sendTimeout)
			defer cancel()
			err := msgpackhttp.Ask(sending, p.client, "http://"+address+Path, &message{Records: records}, &received{}, maxAnswerBytes)
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
		Msg("nodes told of ended engines")
}

// Handler receives records of other nodes.
func (g *Guard) Handler() http.Handler {
	return msgpackhttp.Handle(maxMessageBytes, func(_ context.Context, sent message) received {
		for _, record := range sent.Records {
			g.applyFromPeer(record)
		}
		return received{}
	})
}
