// Package httpapi holds what all HTTP handlers share: bounded, strict decoding
// of JSON bodies and error answers from the table of error kinds.
package httpapi

import (
	"encoding/json"
	"io"
	"math"
	"mime"
	"net/http"
	"os"
	"strconv"
	"time"

	"github.com/go-faster/errors"

	"github.com/corkpulley/corkpulley/internal/api"
	"github.com/corkpulley/corkpulley/internal/core/errkind"
)

// BodyTimeout bounds how long a caller may take to send a request's body.
const BodyTimeout = 15 * time.Second

// DecodeJSON reads one JSON object of at most limit bytes into a pointer.
// Unknown fields, trailing data, a wrong content type, an oversized or a slow
// body each give an *errkind.Error of their own kind.
func DecodeJSON(w http.ResponseWriter, r *http.Request, limit int64, into any) error {
	if err := checkContentType(r); err != nil {
		return err
	}
	// Not every ResponseWriter supports deadlines (tests' recorders do not).
	controller := http.NewResponseController(w)
	if controller.SetReadDeadline(time.Now().Add(BodyTimeout)) == nil {
		defer func() { _ = controller.SetReadDeadline(time.Time{}) }()
	}
	decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, limit))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(into); err != nil {
		return decodeError(err, limit)
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return errkind.New(errkind.InvalidRequest, "body has data after the JSON object")
	}
	return nil
}

func checkContentType(r *http.Request) error {
	header := r.Header.Get("Content-Type")
	mediaType, _, err := mime.ParseMediaType(header)
	if err != nil || mediaType != "application/json" {
		return errkind.New(errkind.UnsupportedMediaType, "Content-Type is %q, expected application/json", header)
	}
	return nil
}

func decodeError(err error, limit int64) error {
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return errkind.New(errkind.PayloadTooLarge, "body is larger than %d bytes", limit)
	case errors.Is(err, os.ErrDeadlineExceeded):
		return errkind.New(errkind.RequestTimeout, "body was not received within %s", BodyTimeout)
	case errors.Is(err, io.EOF):
		return errkind.New(errkind.InvalidRequest, "body is empty, expected a JSON object")
	default:
		return errkind.New(errkind.InvalidRequest, "body is not the expected JSON object: %v", err)
	}
}

// WriteJSON answers with a JSON body.
func WriteJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

// ErrorDetail returns the wire form of an error.
func ErrorDetail(err error) api.ErrorDetail {
	known := errkind.From(err)
	answer := known.Kind.Answer()
	return api.ErrorDetail{
		Code:         answer.Code,
		Message:      known.Message,
		Executed:     string(answer.Execution),
		Retryable:    answer.Retryable,
		RetryAfterMS: known.Delay().Milliseconds(),
	}
}

// WriteError answers with the status, headers and body for the error's kind.
func WriteError(w http.ResponseWriter, err error) {
	WriteErrorDetail(w, errkind.KindOf(err), ErrorDetail(err))
}

// WriteErrorDetail is WriteError for a detail that carries more than the kind
// does, such as the rows in conflict.
func WriteErrorDetail(w http.ResponseWriter, kind errkind.Kind, detail api.ErrorDetail) {
	w.Header().Set(api.HeaderExecuted, detail.Executed)
	if detail.RetryAfterMS > 0 {
		seconds := math.Ceil(float64(detail.RetryAfterMS) / 1000)
		w.Header().Set("Retry-After", strconv.Itoa(int(seconds)))
	}
	WriteJSON(w, kind.Answer().Status, api.ErrorBody{Error: detail})
}

// NotFound answers an unknown path with the error table's form.
func NotFound(w http.ResponseWriter, r *http.Request) {
	WriteError(w, errkind.New(errkind.NotFound, "no resource at %s", r.URL.Path))
}

// MethodNotAllowed answers a known path asked with the wrong method.
func MethodNotAllowed(w http.ResponseWriter, r *http.Request) {
	WriteError(w, errkind.New(errkind.MethodNotAllowed, "method %s is not allowed at %s", r.Method, r.URL.Path))
}
