// Package scorer simulates the platform's scoring service. The score of a text is in [0, 1) and depends only on the
// seed, the prompt and the text. Calls can be delayed, and a share of them can fail.
package scorer

import (
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/gorilla/mux"

	"github.com/corkpulley/corkpulley/internal/core/errkind"
	"github.com/corkpulley/corkpulley/internal/httpapi"
	"github.com/corkpulley/corkpulley/internal/platform/scorer"
)

// maxBodyBytes is the maximum size of a request body.
const maxBodyBytes = 8 << 20

// Config configures a Server.
type Config struct {
	Listen    string        `arg:"--listen" default:"127.0.0.1:0" help:"address to listen on (ip:port)"`
	Seed      int64         `arg:"--seed" default:"1" help:"seed of the scores and of the failures"`
	Latency   time.Duration `arg:"--latency" default:"5ms" help:"time that each call takes"`
	FailShare float64       `arg:"--fail-share" default:"0" help:"share of the calls that fail with status 503, 0..1"`
}

// Server is a simulated scoring service.
type Server struct {
	config Config

	mutex  sync.Mutex
	random *rand.Rand
	calls  int64
}

func New(config Config) *Server {
	seed := uint64(config.Seed)
	return &Server{config: config, random: rand.New(rand.NewPCG(seed, seed))}
}

// Handler returns the HTTP API: POST /v1/score.
func (s *Server) Handler() http.Handler {
	router := mux.NewRouter()
	router.NotFoundHandler = http.HandlerFunc(httpapi.NotFound)
	router.MethodNotAllowedHandler = httpapi.MethodNotAllowed(router)
	router.HandleFunc("/v1/score", s.score).Methods(http.MethodPost)
	return router
}

// Calls returns the number of calls so far, including failed ones.
func (s *Server) Calls() int64 {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.calls
}

func (s *Server) score(w http.ResponseWriter, r *http.Request) {
	var request scorer.Request
	if err := httpapi.DecodeJSON(w, r, maxBodyBytes, &request); err != nil {
		httpapi.WriteError(w, err)
		return
	}
	select {
	case <-time.After(s.config.Latency):
	case <-r.Context().Done():
		return
	}
	if s.drawFailure() {
		httpapi.WriteError(w, errkind.New(errkind.NotReady, "the stand-in was told to fail this call"))
		return
	}
	httpapi.WriteJSON(w, http.StatusOK, scorer.Response{Score: Score(s.config.Seed, request.Prompt, request.Text)})
}

func (s *Server) drawFailure() bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.calls++
	return s.random.Float64() < s.config.FailShare
}

// Score returns the score in [0, 1) that a Server with the seed gives.
func Score(seed int64, prompt, text string) float64 {
	digest := xxhash.New()
	for _, part := range []string{strconv.FormatInt(seed, 10), prompt, text} {
		_, _ = digest.WriteString(part)
		_, _ = digest.Write([]byte{0})
	}
	const mantissaBits = 53
	return float64(digest.Sum64()>>(64-mantissaBits)) / (1 << mantissaBits)
}
