package engine

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/go-faster/errors"

	"github.com/corkpulley/corkpulley/internal/platform/machines"
)

// ErrCrashed is returned by Run after a crash requested through POST /v1/control.
var ErrCrashed = errors.New("engine stand-in crashed on request")

const (
	// drainPollInterval is the interval at which a stopping engine checks for remaining requests.
	drainPollInterval = 10 * time.Millisecond
	// registrationTimeout limits one call to the machine list.
	registrationTimeout = 2 * time.Second
	// shutdownTimeout limits the wait for open connections after the last request.
	shutdownTimeout   = 5 * time.Second
	readHeaderTimeout = 10 * time.Second
)

// Run listens, registers the engine in the machine list and serves until ctx ends. It then drains: it refuses new
// requests, is listed as leaving, and finishes accepted requests within Config.DrainTimeout.
func (s *Server) Run(ctx context.Context) error {
	if s.configError != nil {
		return errors.Wrap(s.configError, "engine stand-in")
	}
	listener, err := net.Listen("tcp", s.config.Listen)
	if err != nil {
		return errors.Wrap(err, "engine stand-in listen")
	}
	s.setAddress(listener.Addr().String())
	if err := s.startHistoryFile(); err != nil {
		_ = listener.Close()
		return err
	}
	defer s.historyFile.close()
	close(s.ready)
	server := &http.Server{Handler: s.Handler(), ReadHeaderTimeout: readHeaderTimeout}
	served := make(chan error, 1)
	go func() { served <- server.Serve(listener) }()

	registration := s.startRegistration()
	defer registration.stop()
	select {
	case err := <-served:
		return errors.Wrap(err, "engine stand-in serve")
	case <-s.crashed:
		_ = server.Close()
		return ErrCrashed
	case err := <-s.historyFile.failure():
		_ = server.Close()
		return err
	case <-ctx.Done():
		return s.stop(server, registration)
	}
}

// setAddress sets the address, and the ID derived from it if none is configured.
func (s *Server) setAddress(address string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.address = address
	if s.id == "" {
		s.id = "engine-" + address
	}
}

// startHistoryFile opens Config.HistoryFile, if set.
func (s *Server) startHistoryFile() error {
	if s.config.HistoryFile == "" {
		return nil
	}
	opened, err := openHistoryFile(s.config.HistoryFile, s.id, s.incarnation)
	if err != nil {
		return errors.Wrap(err, "engine stand-in")
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.historyFile = opened
	return nil
}

// stop drains the engine and shuts the server down.
func (s *Server) stop(server *http.Server, registration *registration) error {
	s.mu.Lock()
	s.setDraining(true)
	s.mu.Unlock()
	registration.renew()
	if err := s.waitIdle(); err != nil {
		_ = server.Close()
		return err
	}
	registration.remove()
	ctx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	close(s.stopped)
	if err := server.Shutdown(ctx); err != nil {
		_ = server.Close()
	}
	return nil
}

// waitIdle waits until no request is running, waiting or being read.
func (s *Server) waitIdle() error {
	deadline := time.NewTimer(s.config.DrainTimeout)
	defer deadline.Stop()
	ticker := time.NewTicker(drainPollInterval)
	defer ticker.Stop()
	for !s.idle() {
		select {
		case <-ticker.C:
		case <-s.crashed:
			return ErrCrashed
		case <-deadline.C:
			return errors.Errorf("engine stand-in: requests still running after %s", s.config.DrainTimeout)
		}
	}
	return nil
}

func (s *Server) idle() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, current := range s.sequences {
		if !current.finished || current.readers > 0 {
			return false
		}
	}
	return true
}

// machine returns the engine's machine list entry.
func (s *Server) machine() machines.Machine {
	s.mu.Lock()
	defer s.mu.Unlock()
	entry := machines.Machine{
		ID:      s.id,
		Role:    machines.RoleEngine,
		Address: s.address,
		Zone:    s.config.Zone,
		Pool:    s.config.Pool,
		State:   machines.StateLive,
	}
	if s.config.Advertise != "" {
		entry.Address = s.config.Advertise
	}
	if s.draining {
		entry.State = machines.StateLeaving
	}
	return entry
}

// registration renews the engine's machine list entry. A failed call is retried at the next heartbeat.
type registration struct {
	server *Server
	list   *machines.HTTPSource // nil without a machine list
	quit   chan struct{}
	ended  chan struct{}
}

func (s *Server) startRegistration() *registration {
	started := &registration{server: s, quit: make(chan struct{}), ended: make(chan struct{})}
	if s.config.Machines == "" {
		close(started.ended)
		return started
	}
	started.list = machines.NewHTTP(s.config.Machines, nil)
	go started.run()
	return started
}

func (r *registration) run() {
	defer close(r.ended)
	ticker := time.NewTicker(r.server.config.Heartbeat)
	defer ticker.Stop()
	for {
		r.renew()
		select {
		case <-ticker.C:
		case <-r.quit:
			return
		}
	}
}

// renew sends the current entry.
func (r *registration) renew() {
	if r.list == nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), registrationTimeout)
	defer cancel()
	_ = r.list.Register(ctx, r.server.machine())
}

// stop stops the heartbeats.
func (r *registration) stop() {
	select {
	case <-r.quit:
	default:
		close(r.quit)
	}
	<-r.ended
}

// remove stops the heartbeats and deletes the entry.
func (r *registration) remove() {
	r.stop()
	if r.list == nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), registrationTimeout)
	defer cancel()
	_ = r.list.Remove(ctx, r.server.id)
}
