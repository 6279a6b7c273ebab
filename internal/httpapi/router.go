package httpapi

import (
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/gorilla/mux"

	"github.com/corkpulley/corkpulley/internal/core/errkind"
)

// routedMethods are the methods that routes are registered for.
var routedMethods = []string{
	http.MethodDelete, http.MethodGet, http.MethodPatch, http.MethodPost, http.MethodPut,
}

// NewRouter returns a router whose unknown paths and methods are answered from
// the table of error kinds. Paths are taken as they are: a redirect to a
// cleaned path would turn a POST into a GET.
func NewRouter() *mux.Router {
	router := mux.NewRouter().SkipClean(true)
	router.NotFoundHandler = http.HandlerFunc(NotFound)
	router.MethodNotAllowedHandler = MethodNotAllowed(router)
	return router
}

// NewHandler wraps a router with what holds for every request of a listener:
// its body must arrive within BodyTimeout, and HEAD is answered like GET.
func NewHandler(router *mux.Router) http.Handler {
	return boundBody(BodyTimeout, allowHead(router))
}

// boundBody bounds the wait for a request's body, also where no handler reads
// it: before an answer net/http reads what is left of a body. DecodeJSON lifts
// the bound once it has the whole body.
func boundBody(timeout time.Duration, next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.ContentLength != 0 {
			// Every connection of net/http supports deadlines.
			_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(timeout))
		}
		next.ServeHTTP(w, r)
	})
}

// allowHead answers HEAD where GET is allowed; net/http drops the body.
func allowHead(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method != http.MethodHead {
			next.ServeHTTP(w, r)
			return
		}
		// A shallow copy: net/http looks at the method of the original.
		get := *r
		get.Method = http.MethodGet
		next.ServeHTTP(w, &get)
	})
}

// NotFound answers an unknown path with the error table's form.
func NotFound(w http.ResponseWriter, r *http.Request) {
	WriteError(w, errkind.New(errkind.NotFound, "no resource at %s", r.URL.Path))
}

// MethodNotAllowed answers a known path asked with another method, and OPTIONS.
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
	for _, method := range routedMethods {
		asked := *r
		asked.Method = method
		var match mux.RouteMatch
		if !router.Match(&asked, &match) || match.MatchErr != nil {
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
