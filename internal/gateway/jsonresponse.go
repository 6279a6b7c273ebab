package gateway

import (
	"encoding/json"
	"net/http"
	"strconv"
	"strings"

	"github.com/corkpulley/corkpulley/internal/api"
	"github.com/corkpulley/corkpulley/internal/httpapi"
	"github.com/corkpulley/corkpulley/internal/router"
)

// HeaderWeightVersions lists the weight versions of a JSON answer's tokens as comma-separated
// "version:from-to" spans.
const HeaderWeightVersions = "X-Corkpulley-Weight-Versions"

// jsonResponder sends a complete answer as one JSON body.
type jsonResponder struct {
	writer   *deadlineWriter
	template completionTemplate
	text     strings.Builder
}

func (j *jsonResponder) piece(piece router.Piece) error {
	for _, token := range piece.Tokens {
		j.text.WriteString(token)
	}
	return nil
}

func (j *jsonResponder) finish(result router.Result) error {
	body, err := json.Marshal(j.template.finalBody(j.text.String(), result))
	if err != nil {
		return err
	}
	header := j.writer.Header()
	header.Set(HeaderWeightVersions, formatSpans(result.Versions))
	header.Set("Content-Type", "application/json")
	j.writer.extend()
	j.writer.WriteHeader(http.StatusOK)
	if _, err := j.writer.Write(append(body, '\n')); err != nil {
		return callerWriteError(err)
	}
	return j.writer.flush()
}

func (j *jsonResponder) fail(err error) {
	j.writer.extend()
	httpapi.WriteError(j.writer, err)
	_ = j.writer.flush()
}

func formatSpans(spans []api.VersionSpan) string {
	var text []byte
	for index, span := range spans {
		if index > 0 {
			text = append(text, ',')
		}
		text = strconv.AppendUint(text, span.Version, 10)
		text = append(text, ':')
		text = strconv.AppendInt(text, int64(span.From), 10)
		text = append(text, '-')
		text = strconv.AppendInt(text, int64(span.To), 10)
	}
	return string(text)
}
