// Package httpapi provides the router, the strict decoding of JSON bodies and the
// error responses that all HTTP interfaces share.
package httpapi

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"

	"github.com/corkpulley/corkpulley/internal/api"
	"github.com/corkpulley/corkpulley/internal/core/errkind"
)

// WriteJSON writes a response with a JSON body.
func WriteJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", mediaTypeJSON)
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

// ErrorDetail returns the wire form of an error.
func ErrorDetail(err error) api.ErrorDetail {
	known := errkind.From(err)
	answer := known.Kind.Response()
	return api.ErrorDetail{
		Code:         answer.Code,
		Message:      known.Message,
		Executed:     string(answer.Execution),
		Retryable:    answer.Retryable,
		RetryAfterMS: known.Delay().Milliseconds(),
	}
}

// WriteError writes the response for the error's kind: status, headers and body.
func WriteError(w http.ResponseWriter, err error) {
	WriteErrorDetail(w, errkind.KindOf(err), ErrorDetail(err))
}

// WriteErrorDetail is WriteError with a given detail, for errors with more than
// ErrorDetail sets, such as conflicting rows.
func WriteErrorDetail(w http.ResponseWriter, kind errkind.Kind, detail api.ErrorDetail) {
	w.Header().Set(api.HeaderExecuted, detail.Executed)
	if detail.RetryAfterMS > 0 {
		seconds := math.Ceil(float64(detail.RetryAfterMS) / 1000)
		w.Header().Set("Retry-After", strconv.Itoa(int(seconds)))
	}
	WriteJSON(w, kind.Response().Status, api.ErrorBody{Error: detail})
}
