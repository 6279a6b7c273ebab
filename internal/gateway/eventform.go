package gateway

import (
	"encoding/json"
	"strconv"
	"strings"

	"github.com/corkpulley/corkpulley/internal/router"
)

// emptyText stands in the encoded body of an event without text.
const emptyText = `"text":""`

// eventForm is the encoded event of a piece without its text and its span. It
// is the same for all pieces of an answer, which are encoded often and are
// small, so it is encoded once.
type eventForm struct {
	before string
	after  string
}

// newEventForm encodes the event of an answer's pieces by encoding/json and
// cuts it at the text.
func newEventForm(template *completionTemplate) (eventForm, error) {
	body, err := json.Marshal(template.body("", nil, nil))
	if err != nil {
		return eventForm{}, err
	}
	// The text comes after all that callers and operators name.
	encoded := string(body)
	cut := strings.LastIndex(encoded, emptyText) + len(emptyText) - len(`""`)
	return eventForm{
		before: "data: " + encoded[:cut],
		after:  strings.TrimSuffix(encoded[cut+len(`""`):], "}"),
	}, nil
}

// appendEvent appends the event of a piece, as encoding/json would encode it.
func (f *eventForm) appendEvent(event []byte, piece *router.Piece) ([]byte, error) {
	event = append(event, f.before...)
	event, err := appendText(event, piece.Tokens)
	if err != nil {
		return event, err
	}
	event = append(event, f.after...)
	event = append(event, `,"weight_versions":[{"version":`...)
	event = strconv.AppendUint(event, piece.Version, 10)
	event = append(event, `,"from":`...)
	event = strconv.AppendInt(event, int64(piece.FirstToken), 10)
	event = append(event, `,"to":`...)
	event = strconv.AppendInt(event, int64(piece.FirstToken+len(piece.Tokens)), 10)
	return append(event, "}]}\n\n"...), nil
}

// appendText appends the tokens as one JSON string. Those that are not all plain
// are joined first, as a character may be split over two of them.
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

// isPlainText reports a text that JSON holds as it is.
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
