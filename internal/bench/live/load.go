package live

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"time"

	"github.com/go-faster/errors"
)

// Load describes an open-loop load: arrivals do not wait for responses.
type Load struct {
	// Addresses are the caller addresses of the nodes, used round-robin.
	Addresses []string
	Service   string
	// Rate is the mean number of arrivals per second of a Poisson process.
	Rate float64
	// Duration and Count limit the arrivals; zero means no limit. At least one is required.
	Duration time.Duration
	Count    int
	// Seed determines arrival times and prompts.
	Seed uint64
	// MaxTokens bounds each completion. If Tokens is not zero, it sets the length
	// of each completion instead of a random length chosen by the engine, plus
	// 0 to TokenSpread tokens depending on the call's number.
	MaxTokens   int
	Tokens      int
	TokenSpread int
	// PrefixGroups is the number of distinct prompt prefixes shared between calls, each
	// of about PrefixBytes bytes.
	PrefixGroups int
	PrefixBytes  int
	// StreamShare is the fraction (0..1) of calls that request server-sent events.
	StreamShare float64
	// WithIdempotencyKeys gives each call a unique idempotency key.
	WithIdempotencyKeys bool
	// CallTimeout bounds one call; zero means one minute.
	CallTimeout time.Duration
}

const (
	defaultCallTimeout = time.Minute
	// maxInFlight limits the concurrent calls of one load to bound memory use.
	maxInFlight = 4096
)

// Validate returns an error if the load is incomplete or out of range.
func (l *Load) Validate() error {
	switch {
	case len(l.Addresses) == 0:
		return errors.New("load has no addresses")
	case l.Service == "":
		return errors.New("load has no service")
	case l.Rate <= 0:
		return errors.Errorf("rate is %g, expected more than 0", l.Rate)
	case l.Duration <= 0 && l.Count <= 0:
		return errors.New("load has neither a duration nor a count")
	case l.TokenSpread < 0:
		return errors.Errorf("token spread is %d, expected 0 or more", l.TokenSpread)
	case l.StreamShare < 0 || l.StreamShare > 1:
		return errors.Errorf("stream share is %g, expected 0..1", l.StreamShare)
	}
	return nil
}

// Run sends the load and waits for all responses. When ctx is done, it sends no
// more calls, but calls in flight continue until their own timeout, so that no
// response is truncated by the load generator.
func (l *Load) Run(ctx context.Context, client *Client, recorder *Recorder) error {
	if err := l.Validate(); err != nil {
		return err
	}
	var calls sync.WaitGroup
	defer calls.Wait()
	random := newRandom(l.Seed)
	slots := make(chan struct{}, maxInFlight)
	started := time.Now()
	due := time.Duration(0)
	for number := 0; l.Count == 0 || number < l.Count; number++ {
		due += time.Duration(random.ExpFloat64() / l.Rate * float64(time.Second))
		if l.Duration > 0 && due > l.Duration {
			return nil
		}
		call := l.call(number, random)
		if !waitUntil(ctx, started.Add(due)) {
			return nil
		}
		select {
		case slots <- struct{}{}:
		case <-ctx.Done():
			return nil
		}
		calls.Go(func() {
			defer func() { <-slots }()
			l.send(client, recorder, call)
		})
	}
	return nil
}

func waitUntil(ctx context.Context, at time.Time) bool {
	timer := time.NewTimer(time.Until(at))
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

func (l *Load) send(client *Client, recorder *Recorder, call Call) {
	timeout := l.CallTimeout
	if timeout == 0 {
		timeout = defaultCallTimeout
	}
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	recorder.Add(client.Send(ctx, call))
}

// call returns the call with the given number. Its prompt is unique, so that it
// can be found in an engine's history even if the caller received no request ID.
func (l *Load) call(number int, random *rand.Rand) Call {
	call := Call{
		Address:   l.Addresses[number%len(l.Addresses)],
		Service:   l.Service,
		Prompt:    l.prompt(number, random),
		MaxTokens: l.MaxTokens,
		Seed:      random.Int64(),
		Stream:    random.Float64() < l.StreamShare,
	}
	if l.WithIdempotencyKeys {
		call.IdempotencyKey = fmt.Sprintf("%s-%d-%d", l.Service, l.Seed, number)
	}
	return call
}

const prefixWord = "parcel "

func (l *Load) prompt(number int, random *rand.Rand) string {
	var prompt strings.Builder
	if l.PrefixGroups > 0 {
		fmt.Fprintf(&prompt, "group %d of %s: ", random.IntN(l.PrefixGroups), l.Service)
		words := max(l.PrefixBytes-prompt.Len(), 0) / len(prefixWord)
		prompt.WriteString(strings.Repeat(prefixWord, words))
	}
	fmt.Fprintf(&prompt, "request %d-%d of %s", l.Seed, number, l.Service)
	if l.Tokens > 0 {
		fmt.Fprintf(&prompt, " [tokens=%d]", l.Tokens+number%(l.TokenSpread+1))
	}
	return prompt.String()
}

func newRandom(seed uint64) *rand.Rand { return rand.New(rand.NewPCG(seed, seed)) }
