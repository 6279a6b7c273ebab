package logservice

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/go-faster/errors"
)

// Limits of the HTTP client.
const (
	// MaxReadBytes bounds the body of a read response.
	MaxReadBytes = 32 << 20
	// MaxReadRecords bounds the number of records requested by one read.
	MaxReadRecords = 1000
	// maxAppendResponseBytes bounds the body of an append response.
	maxAppendResponseBytes = 64 << 10
	// readTimeoutMargin is how long a read may take beyond its wait time.
	readTimeoutMargin = 10 * time.Second
)

// ErrTooLarge means that a read response exceeds MaxReadBytes; read fewer records. It wraps ErrUnavailable.
var ErrTooLarge = errors.Wrap(ErrUnavailable, "response too large")

// httpService implements Service over HTTP.
type httpService struct {
	baseURL string
	client  *http.Client
}

// NewHTTP returns a client for the log service at baseURL ("http://host:port"). It never follows redirects,
// because a redirected append could reach two servers.
func NewHTTP(baseURL string, client *http.Client) Service {
	noRedirects := *client
	noRedirects.CheckRedirect = func(*http.Request, []*http.Request) error {
		return http.ErrUseLastResponse
	}
	return &httpService{baseURL: strings.TrimSuffix(baseURL, "/"), client: &noRedirects}
}

// Append implements Service. It returns ErrRefused only if the service refused the append or no request was
// sent; all other failures are ErrOutcomeUnknown.
func (s *httpService) Append(ctx context.Context, stream string, records [][]byte) (int64, error) {
	if err := ctx.Err(); err != nil {
		return 0, errors.Wrapf(ErrRefused, "not sent: %v", err)
	}
	body, err := json.Marshal(AppendRequest{Records: records})
	if err != nil {
		return 0, errors.Wrapf(ErrRefused, "encode request: %v", err)
	}
	address := s.baseURL + "/v1/append?" + url.Values{"stream": {stream}}.Encode()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, address, bytes.NewReader(body))
	if err != nil {
		return 0, errors.Wrapf(ErrRefused, "build request: %v", err)
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := s.client.Do(request)
	if err != nil {
		return 0, appendError(err)
	}
	defer closeBody(response.Body)
	return decodeAppendResponse(response)
}

// appendError converts a transport error: a failed dial has sent nothing.
func appendError(err error) error {
	var operation *net.OpError
	if errors.As(err, &operation) && operation.Op == "dial" {
		return errors.Wrapf(ErrRefused, "connect: %v", err)
	}
	return errors.Wrapf(ErrOutcomeUnknown, "%v", err)
}

func decodeAppendResponse(response *http.Response) (int64, error) {
	data, err := readBounded(response.Body, maxAppendResponseBytes)
	if err != nil {
		return 0, errors.Wrapf(ErrOutcomeUnknown, "read response: %v", err)
	}
	var answer AppendResponse
	if err := json.Unmarshal(data, &answer); err != nil {
		return 0, errors.Wrapf(ErrOutcomeUnknown, "status %d: decode response: %v", response.StatusCode, err)
	}
	switch {
	case response.StatusCode == http.StatusOK && !answer.Refused && answer.Offset >= 0:
		return answer.Offset, nil
	case answer.Refused && isRefusalStatus(response.StatusCode):
		return 0, errors.Wrapf(ErrRefused, "status %d: %s", response.StatusCode, answer.Message)
	default:
		return 0, errors.Wrapf(ErrOutcomeUnknown, "status %d: %s", response.StatusCode, answer.Message)
	}
}

func isRefusalStatus(status int) bool {
	return status == http.StatusConflict ||
		status == http.StatusRequestEntityTooLarge ||
		status == http.StatusServiceUnavailable
}

// Read implements Service. It rejects batches with gaps, as a reducer that misses a record would diverge.
func (s *httpService) Read(
	ctx context.Context, stream string, from int64, limit int, wait time.Duration,
) (Batch, error) {
	limit = min(max(limit, 1), MaxReadRecords)
	ctx, cancel := context.WithTimeout(ctx, wait+readTimeoutMargin)
	defer cancel()
	query := url.Values{
		"stream":  {stream},
		"from":    {strconv.FormatInt(from, 10)},
		"limit":   {strconv.Itoa(limit)},
		"wait_ms": {strconv.FormatInt(wait.Milliseconds(), 10)},
	}
	address := s.baseURL + "/v1/read?" + query.Encode()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, address, nil)
	if err != nil {
		return Batch{}, errors.Wrapf(ErrUnavailable, "build request: %v", err)
	}
	response, err := s.client.Do(request)
	if err != nil {
		return Batch{}, errors.Wrapf(ErrUnavailable, "%v", err)
	}
	defer closeBody(response.Body)
	batch, err := decodeReadResponse(response)
	if err != nil {
		return Batch{}, err
	}
	return batch, checkBatch(batch, from, limit)
}

func decodeReadResponse(response *http.Response) (Batch, error) {
	if response.StatusCode != http.StatusOK {
		return Batch{}, errors.Wrapf(ErrUnavailable, "status %d", response.StatusCode)
	}
	data, err := readBounded(response.Body, MaxReadBytes)
	if err != nil {
		return Batch{}, err
	}
	var batch Batch
	if err := json.Unmarshal(data, &batch); err != nil {
		return Batch{}, errors.Wrapf(ErrUnavailable, "decode response: %v", err)
	}
	return batch, nil
}

func checkBatch(batch Batch, from int64, limit int) error {
	if batch.End < 0 || len(batch.Entries) > limit {
		return errors.Wrapf(ErrUnavailable, "end %d with %d entries, requested at most %d", batch.End, len(batch.Entries), limit)
	}
	if len(batch.Entries) == 0 {
		return nil
	}
	first := batch.Entries[0].Offset
	if first < 0 || from >= 0 && first != from {
		return errors.Wrapf(ErrUnavailable, "first offset is %d, requested %d", first, from)
	}
	for i, entry := range batch.Entries {
		if entry.Offset != first+int64(i) || entry.Offset >= batch.End {
			return errors.Wrapf(ErrUnavailable, "offset %d at index %d, first offset %d, end %d", entry.Offset, i, first, batch.End)
		}
	}
	return nil
}

// readBounded reads a body of at most limit bytes.
func readBounded(body io.Reader, limit int64) ([]byte, error) {
	data, err := io.ReadAll(io.LimitReader(body, limit+1))
	if err != nil {
		return nil, errors.Wrapf(ErrUnavailable, "read response: %v", err)
	}
	if int64(len(data)) > limit {
		return nil, errors.Wrapf(ErrTooLarge, "more than %d bytes", limit)
	}
	return data, nil
}

// closeBody drains up to 64 KiB, so that the connection can be reused.
func closeBody(body io.ReadCloser) {
	_, _ = io.CopyN(io.Discard, body, maxAppendResponseBytes)
	_ = body.Close()
}
