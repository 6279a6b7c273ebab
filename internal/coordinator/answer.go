package coordinator

import (
	"slices"
	"strings"

	"github.com/go-faster/errors"

	"github.com/corkpulley/corkpulley/internal/api"
	"github.com/corkpulley/corkpulley/internal/core/errkind"
	"github.com/corkpulley/corkpulley/internal/core/ledger"
	"github.com/corkpulley/corkpulley/internal/router"
)

// answerBuilder assembles an answer from streamed pieces.
type answerBuilder struct {
	text   strings.Builder
	tokens int
	spans  []api.VersionSpan
}

func (b *answerBuilder) add(piece router.Piece) error {
	if piece.FirstToken != b.tokens {
		return errkind.New(errkind.Internal, "piece begins at token %d, expected %d", piece.FirstToken, b.tokens)
	}
	if len(piece.Tokens) == 0 {
		return nil
	}
	for _, token := range piece.Tokens {
		b.text.WriteString(token)
	}
	from := b.tokens
	b.tokens += len(piece.Tokens)
	if last := len(b.spans) - 1; last >= 0 && b.spans[last].Version == piece.Version {
		b.spans[last].To = b.tokens
		return nil
	}
	b.spans = append(b.spans, api.VersionSpan{Version: piece.Version, From: from, To: b.tokens})
	return nil
}

// finish returns the sample, or an error if the answer is incomplete or the
// version of some token is unknown; the slot is then run again.
func (b *answerBuilder) finish(key ledger.SampleKey, result router.Result) (*ledger.SampleFilled, error) {
	if result.Tokens != b.tokens {
		return nil, errors.Errorf("answer incomplete: expected %d tokens, received %d", result.Tokens, b.tokens)
	}
	if !slices.Contains([]string{"stop", "length"}, result.FinishReason) {
		return nil, errors.Errorf("unexpected finish reason %q", result.FinishReason)
	}
	if _, covered := ledger.OldestVersion(b.spans, b.tokens); !covered {
		return nil, errors.Errorf("weight versions %v do not cover %d tokens", b.spans, b.tokens)
	}
	return &ledger.SampleFilled{
		Sample:       key,
		Versions:     b.spans,
		Tokens:       b.tokens,
		FinishReason: result.FinishReason,
		Text:         b.text.String(),
	}, nil
}
