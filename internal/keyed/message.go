// Package keyed executes non-repeatable requests with an idempotency key at most once. The node that owns the key's
// shard appends an intent to the log, and runs the request only if it reads the intent back as the first one for
// the key. Correctness depends on the order of the log alone; which node owns a shard matters only for performance.
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

// Request is a keyed request, as sent to the owner of its shard.
type Request struct {
	// Key is the caller's idempotency key, unique within its Service.
	Key     string `msgpack:"k"`
	Service string `msgpack:"s"`
	// Fingerprint distinguishes different requests with the same key. If empty, Execute sets it with the function
	// Fingerprint.
	Fingerprint string     `msgpack:"f"`
	Submission  Submission `msgpack:"r"`
}

// Submission is the part of a router.Request that is sent between nodes. See there for the fields.
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

// NewSubmission returns the submission of a router.Request.
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

// routerRequest returns the request to run, which is never repeatable, whatever the row says.
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

// Fingerprint returns a digest of the caller's request. It does not depend on the table, the version or the
// expected length, which may differ in a repeat.
func Fingerprint(submission Submission) string {
	hash := sha256.New()
	for _, field := range []string{
		submission.Row.Service,
		submission.Prompt,
		strconv.Itoa(submission.MaxTokens),
		strconv.FormatInt(submission.Seed, 10),
		strconv.FormatFloat(submission.Temperature, 'g', -1, 64),
	} {
		// Length prefixes keep the boundaries of fields unambiguous.
		hash.Write([]byte(strconv.Itoa(len(field)) + ":" + field))
	}
	return hex.EncodeToString(hash.Sum(nil)[:16])
}

// answerMessage is a message of the answer stream of MethodKeyed: a piece, or the result as the last message.
type answerMessage struct {
	Piece  *router.Piece  `msgpack:"p,omitempty"`
	Result *router.Result `msgpack:"r,omitempty"`
}

// outcome is the encoded answer in a Result record.
type outcome struct {
	Pieces []router.Piece `msgpack:"p"`
	Result router.Result  `msgpack:"r"`
	// Dropped is set if the answer was too large to record.
	Dropped bool `msgpack:"d,omitempty"`
}

// encodeOutcome encodes an answer; it drops the content if that exceeds the size limit of a Result record.
func encodeOutcome(pieces []router.Piece, result router.Result) ([]byte, error) {
	data, err := msgpack.Marshal(outcome{Pieces: joinPieces(pieces), Result: result})
	if err != nil || len(data) <= idempotency.MaxOutcomeBytes {
		return data, err
	}
	return msgpack.Marshal(outcome{Dropped: true})
}

// joinPieces joins adjacent pieces of the same version.
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

// scopedKey returns the key in the log, which is unique across services.
func (r Request) scopedKey() string { return r.Service + "\x00" + r.Key }

// shardIndex returns the index of the shard of the key, in 0..shards-1.
func (r Request) shardIndex(shards int) int {
	return int(xxhash.Sum64String(r.scopedKey()) % uint64(shards))
}

// intent returns the request's intent at the given time, or an InvalidRequest error.
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
