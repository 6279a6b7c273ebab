package scorer

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

func TestDecodeResponseRejectsMissingScore(t *testing.T) {
	response, err := decodeResponse(strings.NewReader(`{"score":0}`))
	assert.NilError(t, err)
	assert.Equal(t, response.Score, 0.0)
	for _, body := range []string{`{}`, `{"score":null}`, `{"score":"1"}`, ``, `[]`} {
		_, err := decodeResponse(strings.NewReader(body))
		assert.Assert(t, err != nil, "body %q", body)
	}
}
