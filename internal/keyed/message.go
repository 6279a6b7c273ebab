// Package keyed runs requests that carry an idempotency key and are not
// repeatable. The node that owns the key's shard appends an intent, reads it
// back as the first for the key, and only then submits the request, once. The
// order of the log decides; which node owns a shard is a matter of speed only.
package keyed

import (
	"crypto/sha256"
	"encoding/hex"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/corkpulley/corkpulley/internal/core/errkind"
	"github.com/corkpulley/corkpulley/internal/core/idempotency"
	"github.com/corkpulley/corkpulley/internal/core/policy"
	"github.com/corkpulley/corkpulley/internal/router"
)

// Request is one keyed request, as sent to the owner of its shard.
type Request struct {
	// Key is the caller's idempotency key; it counts within one Service.
	Key     string `msgpack:"k"`
	Service string `msgpack:"s"`
	// Fingerprint tells apart different requests with the same key; when it is
	// empty, Execute computes it with Fingerprint.
	Fingerprint string     `msgpack:"f"`
	Submission  Submission `msgpack:"r"`
}

// Submission is the part of a router.Request that travels between nodes. See
// there for the fields.
type Submission struct {
	ID             string        `msgpack:"id"`
	Row            policy.Row    `msgpack:"row"`
	TableRevision  int64         `msgpack:"tr"`
	MinVersion     uint64        `msgpack:"mv"`
	Prompt         string        `msgpack:"p"`
	MaxTokens      int           `msgpack:"mt"`
	ExpectedTokens int           `msgpack:"et"`
	Seed           int64         `msgpack:"sd"`
	Temperature    float64       `msgpack:"t"`
	QueueTimeout   time.Duration `msgpack:"q"`
}

// NewSubmission copies a router.Request.
func NewSubmission(request router.Request) Submission {
	return Submission{
		ID:             request.ID,
		Row:            request.Row,
		TableRevision:  request.TableRevision,
		MinVersion:     request.MinVersion,
		Prompt:         request.Prompt,
		MaxTokens:      request.MaxTokens,
		ExpectedTokens: request.ExpectedTokens,
		Seed:           request.Seed,
		Temperature:    request.Temperature,
		QueueTimeout:   request.QueueTimeout,
	}
}

// routerRequest returns the request to run: never repeatable, whatever the row says.
func (s Submission) routerRequest() router.Request {
	row := s.Row
	row.Repeatable = false
	return router.Request{
		ID:             s.ID,
		Row:            row,
		TableRevision:  s.TableRevision,
		MinVersion:     s.MinVersion,
		Prompt:         s.Prompt,
		MaxTokens:      s.MaxTokens,
		ExpectedTokens: s.ExpectedTokens,
		Seed:           s.Seed,
		Temperature:    s.Temperature,
		Urgent:         func() bool { return false },
		QueueTimeout:   s.QueueTimeout,
	}
}

// Fingerprint returns a digest of what the caller asked for: the same for a
// repeat, whatever the table, version or expected length is by then.
func Fingerprint(submission Submission) string {
	hash := sha256.New()
	for _, field := range []string{
		submission.Row.Service,
		submission.Prompt,
		strconv.Itoa(submission.MaxTokens),
		strconv.FormatInt(submission.Seed, 10),
		strconv.FormatFloat(submission.Temperature, 'g', -1, 64),
	} {
		// The length before each field keeps neighbors apart.
		hash.Write([]byte(strconv.Itoa(len(field)) + ":" + field))
	}
	return hex.EncodeToString(hash.Sum(nil)[:16])
}

// progress is one message of a MethodKeyed answer stream: a piece, or at the
// end the result.
type progress struct {
	Piece  *router.Piece  `msgpack:"p,omitempty"`
	Result *router.Result `msgpack:"r,omitempty"`
}

// outcome is what a Result record holds: the whole answer.
type outcome struct {
	Pieces []router.Piece `msgpack:"p"`
	Result router.Result  `msgpack:"r"`
	// Dropped is set when the answer was too large to keep.
	Dropped bool `msgpack:"d,omitempty"`
}

// encodeOutcome encodes the answer within the bounds of a Result record.
func encodeOutcome(pieces []router.Piece, result router.Result) ([]byte, error) {
	data, err := msgpack.Marshal(outcome{Pieces: joinPieces(pieces), Result: result})
	if err != nil || len(data) <= idempotency.MaxOutcomeBytes {
		return data, err
	}
	return msgpack.Marshal(outcome{Dropped: true})
}

// joinPieces joins neighbors of the same version.
func joinPieces(pieces []router.Piece) []router.Piece {
	var joined []router.Piece
	for _, piece := range pieces {
		last := len(joined) - 1
		if last >= 0 && joined[last].Version == piece.Version {
			joined[last].Tokens = append(joined[last].Tokens, piece.Tokens...)
			continue
		}
		piece.Tokens = append([]string(nil), piece.Tokens...)
		joined = append(joined, piece)
	}
	return joined
}

// scopedKey returns the key within its service, as it stands in the log.
func (r Request) scopedKey() string { return r.Service + "\x00" + r.Key }

// shard returns the shard of the key, 0..shards-1. All nodes must be set to the
// same number of shards.
func (r Request) shard(shards int) int {
	return int(xxhash.Sum64String(r.scopedKey()) % uint64(shards))
}

// intent returns the request's intent at the time, or why it is invalid.
func (r Request) intent(now time.Time) (idempotency.Intent, error) {
	intent := idempotency.Intent{
		Key:         r.scopedKey(),
		Fingerprint: r.Fingerprint,
		UnixMS:      now.UnixMilli(),
	}
	if r.Key == "" || r.Service == "" {
		return intent, errkind.New(errkind.InvalidRequest, "a keyed request needs a key and a service")
	}
	if err := intent.Validate(); err != nil {
		return intent, errkind.New(errkind.InvalidRequest, "idempotency key: %v", err)
	}
	return intent, nil
}
