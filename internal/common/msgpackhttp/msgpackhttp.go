// Package msgpackhttp implements calls between nodes with msgpack over HTTP POST. The sizes of requests and
// responses are limited, and messages are validated before they are decoded.
package msgpackhttp

import (
	"bytes"
	"context"
	"io"
	"maps"
	"net/http"

	"github.com/go-faster/errors"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/corkpulley/corkpulley/internal/boundedhttp"
	"github.com/corkpulley/corkpulley/internal/core/errkind"
	"github.com/corkpulley/corkpulley/internal/core/msgpackguard"
)

// Call sends a request to a URL and decodes the response, of at most maxBytes, into response. It does not
// retry; after an error the request may have taken effect.
func Call(ctx context.Context, client *http.Client, url string, request, response any, maxBytes int64) error {
	raw, err := msgpack.Marshal(request)
	if err != nil {
		return errors.Wrap(err, "encode request")
	}
	return call(ctx, client, url, nil, bytes.NewReader(raw), response, maxBytes)
}

// CallExpectContinue is like Call with "Expect: 100-continue": the body is sent only when the peer requests it, at
// the cost of a round trip. A peer that resumes after a suspension thus receives no request whose sender has
// already given up. The ExpectContinueTimeout of the client's transport must exceed the timeout of ctx: once it
// expires, the transport sends the body without waiting for the peer any longer.
func CallExpectContinue(ctx context.Context, client *http.Client, url string, request, response any, maxBytes int64) error {
	raw, err := msgpack.Marshal(request)
	if err != nil {
		return errors.Wrap(err, "encode request")
	}
	return call(ctx, client, url, expectContinue(), bytes.NewReader(raw), response, maxBytes)
}

// CallDeferred is like CallExpectContinue, but calls encode for the request when the peer requests the body. Ages in the
// request thus count from a time after the peer received the headers, however long the way there took. encode may be
// called after CallDeferred has returned, but not more than once.
func CallDeferred(
	ctx context.Context, client *http.Client, url string, encode func() (any, error), response any, maxBytes int64,
) error {
	return call(ctx, client, url, expectContinue(), &deferredBody{encode: encode}, response, maxBytes)
}

func expectContinue() http.Header { return http.Header{"Expect": {"100-continue"}} }

// deferredBody is a request body that is encoded when it is first read.
type deferredBody struct {
	encode  func() (any, error)
	encoded *bytes.Reader
}

// Read implements io.Reader.
func (b *deferredBody) Read(into []byte) (int, error) {
	if b.encoded == nil {
		request, err := b.encode()
		if err != nil {
			return 0, err
		}
		raw, err := msgpack.Marshal(request)
		if err != nil {
			return 0, errors.Wrap(err, "encode request")
		}
		b.encoded = bytes.NewReader(raw)
	}
	return b.encoded.Read(into)
}

func call(
	ctx context.Context, client *http.Client, url string, header http.Header, body io.Reader, response any, maxBytes int64,
) error {
	httpRequest, err := http.NewRequestWithContext(ctx, http.MethodPost, url, body)
	if err != nil {
		return errors.Wrap(err, "create HTTP request")
	}
	maps.Copy(httpRequest.Header, header)
	// Without GetBody the transport cannot resend the request, which may already have taken effect.
	httpRequest.GetBody = nil
	httpResponse, err := client.Do(httpRequest)
	if err != nil {
		return errors.Wrap(err, "send request")
	}
	defer httpResponse.Body.Close()
	content, err := io.ReadAll(io.LimitReader(httpResponse.Body, maxBytes))
	if err != nil {
		return errors.Wrap(err, "read response")
	}
	if httpResponse.StatusCode != http.StatusOK {
		return errors.Errorf("unexpected HTTP status %d", httpResponse.StatusCode)
	}
	return decode(content, response)
}

// Handle returns a handler that decodes requests of at most maxBytes and encodes the responses. Requests
// that cannot be read or decoded are answered with status 400, those that there is no memory for with 503 or 413.
func Handle[Request, Response any](maxBytes int64, handle func(context.Context, Request) Response) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		var request Request
		if err := readRequest(w, r, maxBytes, &request); err != nil {
			status := http.StatusBadRequest
			if refused, ok := errors.Into[*errkind.Error](err); ok {
				status = refused.Kind.Response().Status
			}
			http.Error(w, err.Error(), status)
			return
		}
		encoded, err := msgpack.Marshal(handle(r.Context(), request))
		if err != nil {
			http.Error(w, err.Error(), http.StatusInternalServerError)
			return
		}
		// A failed write needs no handling: the caller retries at another node.
		_, _ = w.Write(encoded)
	})
}

// elementCost is the memory for a decoded value besides its bytes, in bytes.
const elementCost = 64

// readRequest reads and decodes a request, for which the listener reserves memory.
func readRequest(w http.ResponseWriter, r *http.Request, maxBytes int64, into any) error {
	raw, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBytes))
	if err != nil {
		return err
	}
	elements, err := msgpackguard.Count(raw)
	if err != nil {
		return errors.Wrap(err, "validate message")
	}
	if err := boundedhttp.ReserveMemory(r.Context(), int64(elements)*elementCost); err != nil {
		return err
	}
	return decode(raw, into)
}

func decode(raw []byte, into any) error {
	if err := msgpackguard.Check(raw); err != nil {
		return errors.Wrap(err, "validate message")
	}
	if err := msgpack.Unmarshal(raw, into); err != nil {
		return errors.Wrap(err, "decode message")
	}
	return nil
}
