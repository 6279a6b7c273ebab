package gateway

import (
	"time"

	"github.com/corkpulley/corkpulley/internal/core/errkind"
	"github.com/corkpulley/corkpulley/internal/router"
)

// record holds the data of a request's log line and metrics.
type record struct {
	requestID string
	started   time.Time
	// call is nil if the request was not admitted.
	call       *call
	result     router.Result
	firstToken time.Time
	// tokens counts the tokens received so far; result is empty after an error.
	tokens int
	err    error
}

// addPiece counts the tokens of a piece.
func (r *record) addPiece(piece router.Piece) {
	if r.tokens == 0 {
		r.firstToken = time.Now()
	}
	r.tokens += len(piece.Tokens)
}

func (r *record) code() string {
	if r.err == nil {
		return codeOK
	}
	return errkind.KindOf(r.err).String()
}

func (r *record) service() string {
	if r.call == nil {
		return serviceUnknown
	}
	return r.call.request.Row.Service
}

// report logs the request and updates the metrics.
func (g *Gateway) report(record *record) {
	duration := time.Since(record.started)
	g.updateMetrics(record, duration)
	event := g.options.Logger.Info().
		Str("request_id", record.requestID).
		Str("service", record.service()).
		Str("code", record.code()).
		Dur("duration_ms", duration)
	if record.call != nil {
		event.Str("kind", string(record.call.request.Row.Kind)).
			Bool("stream", record.call.stream).
			Int64("table_revision", record.call.request.TableRevision).
			Int("prompt_tokens", promptTokens(record.call.request.Prompt)).
			Int("completion_tokens", record.tokens).
			Int("cached_tokens", record.result.CachedTokens).
			Str("weight_versions", formatSpans(record.result.Versions))
		if record.call.key != "" {
			event.Str("idempotency_key", record.call.key)
		}
	}
	if !record.firstToken.IsZero() {
		event.Dur("first_token_ms", record.firstToken.Sub(record.started))
	}
	if record.err != nil {
		event.Str("executed", string(errkind.KindOf(record.err).Response().Execution)).
			Str("error", errkind.From(record.err).Message)
	}
	event.Msg("request")
}

func (g *Gateway) updateMetrics(record *record, duration time.Duration) {
	service := record.service()
	g.metrics.requests.WithLabelValues(service, record.code()).Inc()
	if record.call == nil {
		return
	}
	g.metrics.duration.WithLabelValues(service).Observe(duration.Seconds())
	if !record.firstToken.IsZero() {
		g.metrics.timeToFirstToken.WithLabelValues(service).Observe(record.firstToken.Sub(record.started).Seconds())
	}
	g.metrics.tokens.WithLabelValues(service, tokensCompletion).Add(float64(record.tokens))
	if record.err == nil {
		g.metrics.tokens.WithLabelValues(service, tokensPrompt).Add(float64(promptTokens(record.call.request.Prompt)))
		g.metrics.tokens.WithLabelValues(service, tokensCached).Add(float64(record.result.CachedTokens))
	}
}
