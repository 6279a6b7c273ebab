package engine

import (
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/rs/xid"

	"github.com/corkpulley/corkpulley/internal/engine"
)

// Server is one stand-in engine. Its state has one lock, as an engine has one
// step loop. Goroutines run only while there is work, so a Server whose Handler
// is used without Run needs no stop.
type Server struct {
	config Config
	// configError is why Run refuses to start.
	configError error
	incarnation string
	ready       chan struct{}
	crashed     chan struct{}
	// stopped ends the watch streams once Run has drained.
	stopped chan struct{}

	mu      sync.Mutex
	id      string
	address string
	models  map[string]*modelState
	loads   []*load
	// fences holds the highest fence seen for each model; "" is the role's.
	fences    map[string]int64
	sequences map[sequenceKey]*sequence
	running   []*sequence
	// waiting is sorted by priority, then by arrival.
	waiting  []*sequence
	stepping bool
	draining bool
	stalled  bool
	// repeatChunks: see Control.RepeatChunks.
	repeatChunks bool
	dead         bool
	// failNextLoads counts loads that fail on demand.
	failNextLoads int
	random        *rand.Rand
	cache         *prefixCache
	imports       *importedCaches

	// stateChanged is closed and replaced on each change of state or versions.
	stateChanged chan struct{}
	report       loadReport
	watchers     map[*watcher]struct{}
	cacheEvents  uint64

	requests []*sequence
	// historyFile is nil without Config.HistoryFile.
	historyFile *historyFile
	orders      []*OrderHistory
}

// loadReport holds the load figures as last reported.
type loadReport struct {
	at                            time.Time
	running, waiting, cacheTokens int
}

// New returns an engine. A config that is not valid is reported by Run; Handler
// then serves with what could be read of it.
func New(config Config) *Server {
	configError := config.Validate()
	config = config.withDefaults()
	server := &Server{
		config:       config,
		configError:  configError,
		id:           config.ID,
		incarnation:  xid.New().String(),
		ready:        make(chan struct{}),
		crashed:      make(chan struct{}),
		stopped:      make(chan struct{}),
		models:       make(map[string]*modelState),
		fences:       make(map[string]int64),
		sequences:    make(map[sequenceKey]*sequence),
		random:       rand.New(rand.NewPCG(uint64(config.Seed), 0)),
		cache:        newPrefixCache(config.CacheTokens),
		imports:      newImportedCaches(),
		stateChanged: make(chan struct{}),
		watchers:     make(map[*watcher]struct{}),
	}
	models, _ := parseModels(config.Models)
	for _, model := range models {
		server.models[model.Model] = &modelState{version: model.Version}
	}
	return server
}

// Address returns the address that Run listens on; empty before Ready.
func (s *Server) Address() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.address
}

// Ready returns a channel that is closed once Run listens.
func (s *Server) Ready() <-chan struct{} { return s.ready }

// Status returns what GET /v1/status answers: state and versions as of now, the
// load figures as of up to Config.ReportInterval ago.
func (s *Server) Status() engine.Status {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.statusLocked()
}

func (s *Server) statusLocked() engine.Status {
	s.refreshReport()
	status := engine.Status{
		ID:            s.id,
		Pool:          s.config.Pool,
		Zone:          s.config.Zone,
		State:         s.stateLocked(),
		Models:        s.wholeModels(),
		MaxBatch:      s.config.MaxBatch,
		Running:       s.report.running,
		Waiting:       s.report.waiting,
		CacheTokens:   s.report.cacheTokens,
		CacheCapacity: s.config.CacheTokens,
		Incarnation:   s.incarnation,
	}
	if len(s.loads) > 0 {
		loading := s.loads[0].target()
		status.Loading = &loading
	}
	status.Fences = make(map[string]int64, len(s.fences))
	for model, fence := range s.fences {
		status.Fences[model] = fence
		status.Fence = max(status.Fence, fence)
	}
	return status
}

// refreshReport takes new load figures once the last ones are old enough.
func (s *Server) refreshReport() {
	now := time.Now()
	if now.Sub(s.report.at) < s.config.ReportInterval {
		return
	}
	s.report = loadReport{
		at:          now,
		running:     len(s.running),
		waiting:     len(s.waiting),
		cacheTokens: s.cache.tokens(),
	}
}

func (s *Server) stateLocked() engine.State {
	for _, model := range s.models {
		if model.broken {
			return engine.StateBroken
		}
	}
	if s.draining {
		return engine.StateDraining
	}
	return engine.StateServing
}

// announce tells the watchers that state or versions changed.
func (s *Server) announce() {
	close(s.stateChanged)
	s.stateChanged = make(chan struct{})
}

// setDraining changes the role.
func (s *Server) setDraining(draining bool) {
	if s.draining == draining {
		return
	}
	s.draining = draining
	s.announce()
}

// crash drops all streams and connections, as the end of a process would.
func (s *Server) crash() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.dead {
		return
	}
	s.dead = true
	for _, current := range s.sequences {
		s.end(current, engine.FinishError, true)
	}
	s.waiting = nil
	s.announce()
	close(s.crashed)
}

// abort ends a connection without an answer.
func abort() { panic(http.ErrAbortHandler) }
