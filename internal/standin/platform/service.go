package platform

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"golang.org/x/sync/errgroup"

	"github.com/corkpulley/corkpulley/internal/standin/memlog"
)

// Config configures a platform in one process: a store with an active configuration, and the engines of two services.
type Config struct {
	Listen             string        `arg:"--listen" default:"127.0.0.1:0" placeholder:"IP:PORT" help:"address of the store"`
	Zone               string        `arg:"--zone" default:"z1" help:"zone of the engines"`
	LookupEngines      int           `arg:"--lookup-engines" default:"2" help:"engines of the service lookup, with plain answers"`
	DraftEngines       int           `arg:"--draft-engines" default:"3" help:"engines of the service drafts, with event streams"`
	Slots              int           `arg:"--slots" default:"8" help:"requests that an engine runs at once"`
	Events             int           `arg:"--events" default:"16" help:"events of an item"`
	EventTime          time.Duration `arg:"--event-time" default:"40ms" help:"time for each event"`
	LoadTime           time.Duration `arg:"--load-time" default:"900ms" help:"time of a change of weights"`
	ResponseDelay      time.Duration `arg:"--slow" help:"time before each answer of the store"`
	RefuseShare        float64       `arg:"--refuse" help:"share of the store's calls that are refused, 0 to 1"`
	LostResponseShare  float64       `arg:"--lose-answers" help:"share of appends that are done and not answered, 0 to 1"`
	DelayedAppendShare float64       `arg:"--late" help:"share of appends that are done seconds later and not answered, 0 to 1"`
	Seed               uint64        `arg:"--seed" default:"1" help:"seed of the faults"`
}

// Names used in the configuration.
const (
	ServiceLookup = "lookup"
	ServiceDrafts = "drafts"
	ModelDrafts   = "drafts-model"
	RouteHost     = "desk.example"
	PrefixLookup  = "/lookup/"
	PrefixDrafts  = "/drafts/"
	PrefixScoring = "/scoring/"
)

// delayedAppendInterval is the interval at which all delayed appends are performed.
const delayedAppendInterval = 3 * time.Second

// Service is a platform that Run serves.
type Service struct {
	config   Config
	store    *Store
	listener net.Listener
	ready    chan struct{}
}

// NewService returns a platform that listens once Run is called.
func NewService(config Config) *Service {
	return &Service{config: config, store: NewStore(DefaultLimits()), ready: make(chan struct{})}
}

// Ready returns a channel that is closed once the platform listens and its configuration is active.
func (s *Service) Ready() <-chan struct{} { return s.ready }

// Address returns the store's address. Valid once the platform is ready.
func (s *Service) Address() string { return s.listener.Addr().String() }

// validate returns an error that lists every invalid option.
func (c Config) validate() error {
	var invalid []string
	for name, share := range map[string]float64{
		"refuse": c.RefuseShare, "lose-answers": c.LostResponseShare, "late": c.DelayedAppendShare,
	} {
		if share < 0 || share > 1 {
			invalid = append(invalid, fmt.Sprintf("--%s is %g, expected 0 to 1", name, share))
		}
	}
	for name, count := range map[string]int{
		"lookup-engines": c.LookupEngines, "draft-engines": c.DraftEngines, "slots": c.Slots, "events": c.Events,
	} {
		if count < 1 {
			invalid = append(invalid, fmt.Sprintf("--%s is %d, expected 1 or more", name, count))
		}
	}
	if len(invalid) > 0 {
		return errors.New(strings.Join(invalid, "; "))
	}
	return nil
}

// Run serves until ctx ends.
func (s *Service) Run(ctx context.Context) error {
	if err := s.config.validate(); err != nil {
		return err
	}
	var err error
	if s.listener, err = net.Listen("tcp", s.config.Listen); err != nil {
		return errors.Wrap(err, "listen")
	}
	group, ctx := errgroup.WithContext(ctx)
	serve := func(listener net.Listener, handler http.Handler) {
		server := &http.Server{Handler: handler, ReadHeaderTimeout: time.Minute}
		group.Go(func() error {
			if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
				return err
			}
			return nil
		})
		group.Go(func() error {
			<-ctx.Done()
			return server.Close()
		})
	}
	if err := s.startEngines(serve); err != nil {
		return err
	}
	s.store.Configure(s.configuration())
	s.store.SetDelay(s.config.ResponseDelay)
	s.store.Log.SetFault(s.newFaultFunc())
	serve(s.listener, s.store)
	group.Go(func() error {
		s.releaseDelayedAppends(ctx)
		return nil
	})
	close(s.ready)
	return group.Wait()
}

func (s *Service) startEngines(serve func(net.Listener, http.Handler)) error {
	for i := range s.config.LookupEngines + s.config.DraftEngines {
		options := EngineOptions{
			ID: fmt.Sprintf("i-%d", i), Service: ServiceLookup, Zone: s.config.Zone, Slots: s.config.Slots,
			LoadTime: s.config.LoadTime, EventTime: s.config.EventTime, CheckFences: true,
			Events: func(string) int { return s.config.Events },
		}
		if i >= s.config.LookupEngines {
			options.Service, options.Versions = ServiceDrafts, map[string]int64{ModelDrafts: 1}
		}
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return errors.Wrap(err, "listen on the engine's address")
		}
		engine := NewEngine(options)
		serve(listener, engine)
		s.store.ListEngine(engine, listener.Addr().String(), false)
	}
	return nil
}

func (s *Service) configuration() Configuration {
	return Configuration{Version: 1, Routes: []Route{
		{Name: "lookup", Prefix: PrefixLookup, Kind: RouteSafe, Service: ServiceLookup},
		{Name: "drafts", Prefix: PrefixDrafts, Kind: RouteBatch, Service: ServiceDrafts},
		{Name: "scoring", Prefix: PrefixScoring, Kind: RouteSafe, Service: ServiceLookup},
	}}
}

// newFaultFunc returns a function that selects the fault of each call, seeded by Config.Seed.
func (s *Service) newFaultFunc() func(memlog.Call) memlog.Fault {
	var mu sync.Mutex
	random := rand.New(rand.NewPCG(s.config.Seed, 0))
	return func(call memlog.Call) memlog.Fault {
		mu.Lock()
		defer mu.Unlock()
		draw := random.Float64()
		switch {
		case draw < s.config.RefuseShare:
			return memlog.Refused
		case !call.Append:
			return memlog.None
		case draw < s.config.RefuseShare+s.config.LostResponseShare:
			return memlog.LostResponse
		case draw < s.config.RefuseShare+s.config.LostResponseShare+s.config.DelayedAppendShare:
			return memlog.DelayedEffect
		default:
			return memlog.None
		}
	}
}

func (s *Service) releaseDelayedAppends(ctx context.Context) {
	ticker := time.NewTicker(delayedAppendInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			s.store.Log.ReleaseDelayed()
		}
	}
}
