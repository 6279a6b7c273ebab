package gateway

import (
	"encoding/json"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/corkpulley/corkpulley/internal/api"
	_ "github.com/corkpulley/corkpulley/internal/common/fixedseed"
	"github.com/corkpulley/corkpulley/internal/router"
)

// Tokens are arbitrary bytes, including split characters and invalid UTF-8.
func TestEventTemplateMatchesEncodingJSON(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		template := completionTemplate{
			id:      rapid.String().Draw(t, "id"),
			created: rapid.Int64().Draw(t, "created"),
			service: rapid.String().Draw(t, "service"),
		}
		tokens := make([]string, 0)
		for _, token := range rapid.SliceOf(rapid.SliceOf(rapid.Byte())).Draw(t, "tokens") {
			tokens = append(tokens, string(token))
		}
		if rapid.Bool().Draw(t, "split") {
			tokens = append(tokens, "\xc3", "\x93 Dálaigh")
		}
		piece := router.Piece{
			FirstToken: rapid.IntRange(0, 1<<40).Draw(t, "first"),
			Tokens:     tokens,
			Version:    rapid.Uint64().Draw(t, "version"),
		}
		span := api.VersionSpan{Version: piece.Version, From: piece.FirstToken, To: piece.FirstToken + len(tokens)}
		wanted, err := json.Marshal(template.body(strings.Join(tokens, ""), nil, []api.VersionSpan{span}))
		assert.NilError(t, err)

		pieceEvent, err := newEventTemplate(&template)
		assert.NilError(t, err)
		event, err := pieceEvent.appendEvent(nil, &piece)
		assert.NilError(t, err)
		assert.Equal(t, string(event), "data: "+string(wanted)+"\n\n")
	})
}
