package hosted

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"

	standin "github.com/corkpulley/corkpulley/internal/standin/platform"
)

const (
	leaseTopic = "corkpulley.lease"
	appendPath = "/log-append"
	readPath   = "/log-read"
)

// logProxy is one node's proxy to the log. It can fail the node's lease appends or lease reads
// while all other calls pass.
type logProxy struct {
	address string
	store   *standin.Store

	mu sync.Mutex
	// leaseAppendsRefused answers appends to the lease with 503.
	leaseAppendsRefused bool
	// leaseReadsHang leaves reads of the lease unanswered until the node cancels them.
	leaseReadsHang bool
}

func (d *deployment) newLogProxy(t *testing.T) *logProxy {
	t.Helper()
	proxy := &logProxy{store: d.store}
	server := httptest.NewServer(proxy)
	t.Cleanup(server.Close)
	proxy.address = strings.TrimPrefix(server.URL, "http://")
	return proxy
}

func (l *logProxy) refuseLeaseAppends(refused bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.leaseAppendsRefused = refused
}

func (l *logProxy) hangLeaseReads(hang bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.leaseReadsHang = hang
}

// ServeHTTP implements http.Handler.
func (l *logProxy) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	l.mu.Lock()
	isLease := r.URL.Query().Get("topic") == leaseTopic
	refused := isLease && l.leaseAppendsRefused && r.URL.Path == appendPath
	hangs := isLease && l.leaseReadsHang && r.URL.Path == readPath
	l.mu.Unlock()
	switch {
	case refused:
		w.WriteHeader(http.StatusServiceUnavailable)
	case hangs:
		<-r.Context().Done()
	default:
		l.store.ServeHTTP(w, r)
	}
}
