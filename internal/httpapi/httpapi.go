// Package httpapi provides the router, the strict decoding of JSON bodies and the
// error responses that all HTTP interfaces share.
package httpapi

import (
	"encoding/json"
	"maps"
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
	maps.Copy(w.Header(), errorHeader(detail))
	WriteJSON(w, kind.Response().Status, api.ErrorBody{Error: detail})
}

// EncodeError returns the header and the body of an error's response, for requests that are refused before they are
// decoded.
func EncodeError(failure *errkind.Error) (header http.Header, content []byte) {
	detail := ErrorDetail(failure)
	content, err := json.Marshal(api.ErrorBody{Error: detail})
	if err != nil {
		content = nil // plain values always encode
	}
	header = errorHeader(detail)
	header.Set("Content-Type", mediaTypeJSON)
	return header, append(content, '\n')
}

func errorHeader(detail api.ErrorDetail) http.Header {
	header := http.Header{}
	header.Set(api.HeaderExecuted, detail.Executed)
	if detail.RetryAfterMS > 0 {
		seconds := math.Ceil(float64(detail.RetryAfterMS) / 1000)
		header.Set("Retry-After", strconv.Itoa(int(seconds)))
	}
	return header
}
