package httpapi

import (
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/gorilla/mux"

	"github.com/corkpulley/corkpulley/internal/core/errkind"
)

// candidateMethods are the methods that routes may be registered for.
var candidateMethods = []string{
	http.MethodDelete, http.MethodGet, http.MethodPatch, http.MethodPost, http.MethodPut,
}

// NewRouter returns a router that responds to unknown paths and methods with an
// api.ErrorBody. It does not redirect to cleaned paths, because clients
// repeat a redirected POST as a GET.
func NewRouter() *mux.Router {
	router := mux.NewRouter().SkipClean(true)
	router.NotFoundHandler = http.HandlerFunc(NotFound)
	router.MethodNotAllowedHandler = MethodNotAllowed(router)
	return router
}

// NewHandler wraps a router so that request bodies must arrive within BodyTimeout
// and HEAD is handled like GET.
func NewHandler(router *mux.Router) http.Handler {
	return withBodyTimeout(BodyTimeout, serveHeadAsGet(router))
}

// withBodyTimeout sets a read deadline for request bodies. It also applies when
// no handler reads the body, because net/http reads the rest of it before
// responding. DecodeJSON clears the deadline once the body is complete.
func withBodyTimeout(timeout time.Duration, next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.ContentLength != 0 {
			// No error occurs here: connections of net/http support deadlines.
			_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(timeout))
		}
		next.ServeHTTP(w, r)
	})
}

// serveHeadAsGet handles HEAD with the handler for GET; net/http discards the body.
func serveHeadAsGet(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method != http.MethodHead {
			next.ServeHTTP(w, r)
			return
		}
		// The original request keeps its method, from which net/http decides to discard the body.
		get := *r
		get.Method = http.MethodGet
		next.ServeHTTP(w, &get)
	})
}

// NotFound responds to requests for unknown paths.
func NotFound(w http.ResponseWriter, r *http.Request) {
	WriteError(w, errkind.New(errkind.NotFound, "no resource at %s", r.URL.Path))
}

// MethodNotAllowed responds to requests with an unsupported method for a known
// path, and to OPTIONS.
func MethodNotAllowed(router *mux.Router) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Allow", strings.Join(allowedMethods(router, r), ", "))
		if r.Method == http.MethodOptions {
			w.WriteHeader(http.StatusNoContent)
			return
		}
		WriteError(w, errkind.New(errkind.MethodNotAllowed, "method %s is not allowed at %s", r.Method, r.URL.Path))
	})
}

func allowedMethods(router *mux.Router, r *http.Request) []string {
	allowed := []string{http.MethodOptions}
	for _, method := range candidateMethods {
		candidate := *r
		candidate.Method = method
		var match mux.RouteMatch
		if !router.Match(&candidate, &match) || match.MatchErr != nil {
			continue
		}
		allowed = append(allowed, method)
		if method == http.MethodGet {
			allowed = append(allowed, http.MethodHead)
		}
	}
	slices.Sort(allowed)
	return allowed
}
