// Package msgpackhttp makes calls between nodes with msgpack over HTTP POST. Requests and
// responses are bounded, and checked before they are decoded.
package msgpackhttp

import (
	"bytes"
	"context"
	"io"
	"maps"
	"net/http"

	"github.com/go-faster/errors"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/corkpulley/corkpulley/internal/core/msgpackguard"
)

// Ask sends a request to a URL and decodes the response, of at most maxBytes, into answer.
// It does not retry; after an error the request may have taken effect.
func Ask(ctx context.Context, client *http.Client, url string, question, answer any, maxBytes int64) error {
	return ask(ctx, client, url, nil, question, answer, maxBytes)
}

// AskOnceHeard is Ask with "Expect: 100-continue": the body is sent only when the peer requests it, which
// takes a round trip. A peer that resumes after a suspension thus receives no request whose sender has given
// up meanwhile. The client's transport needs an ExpectContinueTimeout that exceeds ctx, since the body is sent
// unrequested after it.
func AskOnceHeard(ctx context.Context, client *http.Client, url string, question, answer any, maxBytes int64) error {
	return ask(ctx, client, url, http.Header{"Expect": {"100-continue"}}, question, answer, maxBytes)
}

func ask(
	ctx context.Context, client *http.Client, url string, header http.Header, question, answer any, maxBytes int64,
) error {
	raw, err := msgpack.Marshal(question)
	if err != nil {
		return errors.Wrap(err, "encode the question")
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(raw))
	if err != nil {
		return errors.Wrap(err, "build the question")
	}
	maps.Copy(request.Header, header)
	// Without GetBody the transport cannot resend the request.
	request.GetBody = nil
	response, err := client.Do(request)
	if err != nil {
		return errors.Wrap(err, "ask")
	}
	defer response.Body.Close()
	content, err := io.ReadAll(io.LimitReader(response.Body, maxBytes))
	if err != nil {
		return errors.Wrap(err, "read the answer")
	}
	if response.StatusCode != http.StatusOK {
		return errors.Errorf("status %d", response.StatusCode)
	}
	return decode(content, answer)
}

// Handle returns a handler that decodes requests of at most maxBytes and encodes the
// responses. Unreadable requests are answered with status 400.
func Handle[Question, Answer any](maxBytes int64, answer func(context.Context, Question) Answer) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		raw, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBytes))
		var question Question
		if err == nil {
			err = decode(raw, &question)
		}
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		encoded, err := msgpack.Marshal(answer(r.Context(), question))
		if err != nil {
			http.Error(w, err.Error(), http.StatusInternalServerError)
			return
		}
		// A caller that has left retries at another node.
		_, _ = w.Write(encoded)
	})
}

func decode(raw []byte, into any) error {
	if err := msgpackguard.Check(raw); err != nil {
		return errors.Wrap(err, "check the message")
	}
	if err := msgpack.Unmarshal(raw, into); err != nil {
		return errors.Wrap(err, "decode the message")
	}
	return nil
}
