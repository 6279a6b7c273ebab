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
	// Path is where other nodes send their records.
	Path = "/crashes"
	// maxMessageBytes bounds a message: writeBatch records of some 100 bytes.
	maxMessageBytes = 256 << 10
	// maxAnswerBytes bounds the answer, which is empty.
	maxAnswerBytes = 64
	// tellTimeout bounds the telling of one node, tellAtOnce the nodes that are told at
	// the same time.
	tellTimeout = 500 * time.Millisecond
	tellAtOnce  = 16
)

// message carries records that the log did not take to other nodes, encoded as msgpack.
type message struct {
	Records []eventlog.KeyedRecord `msgpack:"r"`
}

// received is the answer to a message.
type received struct{}

// Peers tells the other nodes what the log does not take.
type Peers struct {
	// addresses returns where the other nodes listen.
	addresses func() []string
	client    *http.Client
	logger    zerolog.Logger
}

// NewPeers returns the way to the other nodes.
func NewPeers(addresses func() []string, client *http.Client, logger zerolog.Logger) *Peers {
	return &Peers{addresses: addresses, client: client, logger: logger}
}

// Tell sends records to all other nodes. Whoever is not reached learns from the log.
func (p *Peers) Tell(ctx context.Context, records []eventlog.KeyedRecord) {
	addresses := p.addresses()
	var group errgroup.Group
	group.SetLimit(tellAtOnce)
	var mu sync.Mutex
	reached := 0
	for _, address := range addresses {
		group.Go(func() error {
			asking, cancel := context.WithTimeout(ctx, tellTimeout)
			defer cancel()
			err := msgpackhttp.Ask(asking, p.client, "http://"+address+Path, &message{Records: records}, &received{}, maxAnswerBytes)
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

// Handler takes the records of other nodes.
func (g *Guard) Handler() http.Handler {
	return msgpackhttp.Handle(maxMessageBytes, func(_ context.Context, told message) received {
		for _, record := range told.Records {
			g.takeFromPeer(record)
		}
		return received{}
	})
}
