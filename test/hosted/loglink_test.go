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

// logLink is one node's way to the log. It can take the node's appends to the lease or
// its reads of the lease away, each alone, while all other calls work.
type logLink struct {
	address string
	store   *standin.Store

	mu sync.Mutex
	// refusesAppends: the log does not take appends to the lease.
	refusesAppends bool
	// readsHang: reads of the lease are never answered, until their caller gives up.
	readsHang bool
}

func (d *deployment) newLogLink(t *testing.T) *logLink {
	t.Helper()
	link := &logLink{store: d.store}
	server := httptest.NewServer(link)
	t.Cleanup(server.Close)
	link.address = strings.TrimPrefix(server.URL, "http://")
	return link
}

func (l *logLink) refuseAppends(refused bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.refusesAppends = refused
}

func (l *logLink) hangReads(hang bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.readsHang = hang
}

// ServeHTTP implements http.Handler.
func (l *logLink) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	l.mu.Lock()
	ofLease := r.URL.Query().Get("topic") == leaseTopic
	refused := ofLease && l.refusesAppends && r.URL.Path == appendPath
	hangs := ofLease && l.readsHang && r.URL.Path == readPath
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
