package gateway

import (
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"github.com/corkpulley/corkpulley/internal/api"
	"github.com/corkpulley/corkpulley/internal/core/errkind"
	"github.com/corkpulley/corkpulley/internal/core/policy"
)

// Any input must be refused as not executed or become a request for a live service within all limits.
func FuzzCompletionBody(f *testing.F) {
	f.Add(`{"model":"lookup","prompt":"Parcel 7?"}`, "")
	f.Add(`{"model":"permit","prompt":"p","max_tokens":1,"temperature":0,"seed":-1,"stream":true,"user":"u"}`, "key-1")
	f.Add(`{"model":"comparables","prompt":"p"}`, "")
	f.Add(`{"model":"lookup","prompt":"p","max_tokens":0}`, "")
	f.Add(`{"model":"lookup","prompt":"p"} {}`, "\x7f")
	f.Add(`[]`, "")
	f.Fuzz(func(t *testing.T, body, key string) {
		gateway := New(Options{NodeID: "node-1", Tables: &fakeTables{}, Logger: zerolog.Nop()})
		request := httptest.NewRequest("POST", "/v1/completions", strings.NewReader(body))
		request.Header.Set("Content-Type", "application/json")
		if key != "" {
			request.Header.Set(api.HeaderIdempotencyKey, key)
		}
		parsed, err := gateway.parse(httptest.NewRecorder(), request, "request-1")
		if err != nil {
			assert.Equal(t, errkind.KindOf(err).Response().Execution, errkind.NotExecuted, "%v", err)
			return
		}
		assert.Equal(t, parsed.request.Row.Kind, policy.KindLive)
		assert.Assert(t, parsed.request.Prompt != "" && len(parsed.request.Prompt) <= MaxPromptBytes)
		assert.Assert(t, parsed.request.MaxTokens >= 1 && parsed.request.MaxTokens <= MaxTokensLimit)
		assert.Assert(t, parsed.request.Temperature >= 0 && parsed.request.Temperature <= MaxTemperature)
		assert.Assert(t, len(parsed.key) <= MaxKeyBytes)
	})
}
