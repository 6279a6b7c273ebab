package gateway

import (
	"encoding/json"
	"strconv"
	"strings"

	"github.com/corkpulley/corkpulley/internal/router"
)

// emptyText is the text field in an encoded event without text.
const emptyText = `"text":""`

// eventTemplate is an encoded piece event without its text and version span. Everything else is the
// same for all pieces of an answer, so it is encoded only once.
type eventTemplate struct {
	before string
	after  string
}

// newEventTemplate encodes an event with encoding/json and splits it at the text.
func newEventTemplate(template *completionTemplate) (eventTemplate, error) {
	body, err := json.Marshal(template.body("", nil, nil))
	if err != nil {
		return eventTemplate{}, err
	}
	// The text field follows all fields set by callers or operators, so its last occurrence is the right one.
	encoded := string(body)
	cut := strings.LastIndex(encoded, emptyText) + len(emptyText) - len(`""`)
	return eventTemplate{
		before: "data: " + encoded[:cut],
		after:  strings.TrimSuffix(encoded[cut+len(`""`):], "}"),
	}, nil
}

// appendEvent appends the event of a piece. The result equals that of encoding/json.
func (t *eventTemplate) appendEvent(event []byte, piece *router.Piece) ([]byte, error) {
	event = append(event, t.before...)
	event, err := appendText(event, piece.Tokens)
	if err != nil {
		return event, err
	}
	event = append(event, t.after...)
	event = append(event, `,"weight_versions":[{"version":`...)
	event = strconv.AppendUint(event, piece.Version, 10)
	event = append(event, `,"from":`...)
	event = strconv.AppendInt(event, int64(piece.FirstToken), 10)
	event = append(event, `,"to":`...)
	event = strconv.AppendInt(event, int64(piece.FirstToken+len(piece.Tokens)), 10)
	return append(event, "}]}\n\n"...), nil
}

// appendText appends the tokens as one JSON string. If any token needs escaping, all are joined first
// because a UTF-8 character may be split across tokens.
func appendText(event []byte, tokens []string) ([]byte, error) {
	for _, token := range tokens {
		if !isPlainText(token) {
			quoted, err := json.Marshal(strings.Join(tokens, ""))
			return append(event, quoted...), err
		}
	}
	event = append(event, '"')
	for _, token := range tokens {
		event = append(event, token...)
	}
	return append(event, '"'), nil
}

// isPlainText reports whether JSON encodes the text without escaping.
func isPlainText(text string) bool {
	for index := range len(text) {
		switch character := text[index]; {
		case character < ' ', character > '~':
			return false
		case character == '"', character == '\\', character == '<', character == '>', character == '&':
			return false
		}
	}
	return true
}
