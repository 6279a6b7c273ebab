package engine

import (
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/rs/xid"

	"github.com/corkpulley/corkpulley/internal/engine"
)

// Server is a simulated engine. One mutex guards its state. Goroutines run only while there is work, so a Server
// whose Handler is used without Run needs no shutdown.
type Server struct {
	config Config
	// configError is the validation error that Run returns.
	configError error
	incarnation string
	ready       chan struct{}
	crashed     chan struct{}
	// stopped is closed to end the watch streams once Run has drained.
	stopped chan struct{}

	mu      sync.Mutex
	id      string
	address string
	models  map[string]*modelState
	loads   []*load
	// fences is the highest fencing token seen for each model; "" is the key of role orders.
	fences    map[string]int64
	sequences map[sequenceKey]*sequence
	running   []*sequence
	// waiting is sorted by descending priority, then by arrival.
	waiting  []*sequence
	stepping bool
	draining bool
	stalled  bool
	// repeatChunks is Control.RepeatChunks.
	repeatChunks bool
	hasCrashed   bool
	// failNextLoads is the number of following loads that fail.
	failNextLoads int
	random        *rand.Rand
	cache         *prefixCache
	imports       *importedKV

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

// loadReport is a snapshot of the numbers of running and waiting requests and of cached tokens.
type loadReport struct {
	at                            time.Time
	running, waiting, cacheTokens int
}

// New returns an engine. Run returns an error if the config is invalid; Handler serves with its valid models.
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
		imports:      newImportedKV(),
		stateChanged: make(chan struct{}),
		watchers:     make(map[*watcher]struct{}),
	}
	models, _ := parseModels(config.Models)
	for _, model := range models {
		server.models[model.Model] = &modelState{version: model.Version}
	}
	return server
}

// Address returns the address that Run listens on. It is empty before Ready.
func (s *Server) Address() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.address
}

// Ready returns a channel that is closed once Run listens.
func (s *Server) Ready() <-chan struct{} { return s.ready }

// Status returns the response to GET /v1/status: the current state and versions, and load figures up to
// Config.ReportInterval old.
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
		Models:        s.loadedModels(),
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

// refreshReport updates the load figures if they are older than Config.ReportInterval.
func (s *Server) refreshReport() {
	now := time.Now()
	if now.Sub(s.report.at) < s.config.ReportInterval {
		return
	}
	s.report = loadReport{
		at:          now,
		running:     len(s.running),
		waiting:     len(s.waiting),
		cacheTokens: s.cache.cachedTokens(),
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

// notifyStateChange wakes the watchers after a change of state or versions.
func (s *Server) notifyStateChange() {
	close(s.stateChanged)
	s.stateChanged = make(chan struct{})
}

// setDraining sets whether the engine refuses new requests.
func (s *Server) setDraining(draining bool) {
	if s.draining == draining {
		return
	}
	s.draining = draining
	s.notifyStateChange()
}

// crash aborts all streams and connections, as a killed process would.
func (s *Server) crash() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.hasCrashed {
		return
	}
	s.hasCrashed = true
	for _, current := range s.sequences {
		s.endSequence(current, engine.FinishError, true)
	}
	s.waiting = nil
	s.notifyStateChange()
	close(s.crashed)
}

// abortConnection closes the connection without a response.
func abortConnection() { panic(http.ErrAbortHandler) }
