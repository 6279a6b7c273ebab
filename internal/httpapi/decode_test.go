package httpapi

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/corkpulley/corkpulley/internal/core/errkind"
)

const bodyLimit = 64

type body struct {
	Model  string `json:"model"`
	Tokens int    `json:"max_tokens"`
}

func decode(content string, header http.Header) (body, error) {
	request := httptest.NewRequest(http.MethodPost, "/", strings.NewReader(content))
	request.Header = header
	var into body
	err := DecodeJSON(httptest.NewRecorder(), request, bodyLimit, &into)
	return into, err
}

func jsonHeader() http.Header {
	return http.Header{"Content-Type": {"application/json"}}
}

func TestDecodeJSONAcceptsObject(t *testing.T) {
	into, err := decode(" {\"model\":\"a\",\"max_tokens\":3}\n", jsonHeader())
	assert.NilError(t, err)
	assert.Equal(t, into, body{Model: "a", Tokens: 3})

	header := http.Header{"Content-Type": {"application/json; charset=UTF-8"}, "Content-Encoding": {"identity"}}
	_, err = decode("{}", header)
	assert.NilError(t, err)
}

func TestDecodeJSONErrorMessages(t *testing.T) {
	for _, test := range []struct{ content, kind, message string }{
		{"", "invalid_request", "empty"},
		{"null", "invalid_request", "expected a JSON object"},
		{"[1]", "invalid_request", "expected a JSON object"},
		{`{"model":1}`, "invalid_request", `field "model" is a number, expected a string`},
		{`{"max_tokens":"x"}`, "invalid_request", `field "max_tokens" is a string, expected a whole number`},
		{`{"max_tokens":1.5}`, "invalid_request", `field "max_tokens" is a number 1.5, expected a whole number`},
		{`{"n":1}`, "invalid_request", `unknown field "n"`},
		{`{"model":"a"`, "invalid_request", "ends too early"},
		{`{"model":"a"} {}`, "invalid_request", "data after the JSON object"},
		{`{"model":a}`, "invalid_request", "not valid JSON"},
		{"{\"model\":\"\xff\xfe\"}", "invalid_request", "UTF-8"},
		{strings.Repeat(" ", bodyLimit) + "{}", "payload_too_large", "64 bytes"},
		{strings.Repeat("x", bodyLimit+1), "payload_too_large", "64 bytes"},
	} {
		_, err := decode(test.content, jsonHeader())
		assert.Assert(t, err != nil, test.content)
		assert.Equal(t, errkind.KindOf(err).String(), test.kind, "%q: %v", test.content, err)
		assert.Assert(t, strings.Contains(err.Error(), test.message), "%q: %v", test.content, err)
		assert.Assert(t, !strings.Contains(err.Error(), "Go "), "%q exposes Go types: %v", test.content, err)
	}
}

func TestDecodeJSONRejectsUnsupportedEncodings(t *testing.T) {
	for _, header := range []http.Header{
		{},
		{"Content-Type": {"text/plain"}},
		{"Content-Type": {"application/json; charset=latin1"}},
		{"Content-Type": {"application/json"}, "Content-Encoding": {"gzip"}},
	} {
		_, err := decode("{}", header)
		assert.Assert(t, errkind.Is(err, errkind.UnsupportedMediaType), "%v: %v", header, err)
	}
}

func TestCountElementsIgnoresText(t *testing.T) {
	for content, expected := range map[string]int64{
		`{}`: 1, `{"a":[{},{},{}]}`: 7, `{"a":"[{,","b":"\",{"}`: 2, `"a,b`: 0, `"\`: 0,
	} {
		assert.Equal(t, countElements([]byte(content)), expected, content)
	}
}
