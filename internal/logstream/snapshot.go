package logstream

import (
	"cmp"
	"context"
	"slices"

	"github.com/go-faster/errors"

	"github.com/corkpulley/corkpulley/internal/core/logrecord"
	"github.com/corkpulley/corkpulley/internal/platform/logservice"
)

// snapshotBody is the body of a snapshot record. A large state is cut into
// parts, which are appended in order by one writer.
type snapshotBody struct {
	// AsOf is the offset after the last record that the state includes.
	AsOf   int64  `msgpack:"o"`
	Format int    `msgpack:"f"`
	Part   int    `msgpack:"p"`
	Parts  int    `msgpack:"n"`
	State  []byte `msgpack:"s"`
}

// maxSnapshotParts bounds the state that a reader puts together, in parts.
const maxSnapshotParts = 256

// decodeSnapshot returns the body of a usable snapshot record.
func (s *TailedStream) decodeSnapshot(offset int64, record logrecord.Record) (snapshotBody, bool) {
	var body snapshotBody
	if err := logrecord.DecodeBody(record, &body); err != nil {
		return snapshotBody{}, false
	}
	usable := body.Format == s.options.SnapshotFormat &&
		body.AsOf >= 0 && body.AsOf <= offset &&
		body.Parts >= 1 && body.Parts <= maxSnapshotParts &&
		body.Part >= 0 && body.Part < body.Parts
	return body, usable
}

// noteSnapshot remembers how far the latest snapshot in the stream reaches, so
// that another one is not written too soon; mu is held.
func (s *TailedStream) noteSnapshot(offset int64, record logrecord.Record) {
	body, usable := s.decodeSnapshot(offset, record)
	if usable && body.Part == body.Parts-1 && body.AsOf > s.lastSnapshot {
		s.latestSnapshotIs(body.AsOf, (body.Parts-1)*snapshotPartBytes+len(body.State))
	}
}

// latestSnapshotIs counts towards the next snapshot anew; mu is held.
func (s *TailedStream) latestSnapshotIs(asOf int64, size int) {
	s.lastSnapshot = asOf
	s.snapshotBytes = size
	s.bytesSince = 0
	s.acceptedSince = false
}

// snapshotDue reports whether enough was applied since the latest snapshot; mu
// is held.
func (s *TailedStream) snapshotDue() bool {
	every := s.options.SnapshotEvery
	records := s.applied - s.lastSnapshot
	if every <= 0 || records < every {
		return false
	}
	return s.bytesSince >= s.snapshotBytes || records >= s.options.SnapshotAtLatest
}

// queueSnapshot hands the appender a snapshot when one is due; mu is held.
func (s *TailedStream) queueSnapshot() {
	if !s.snapshotDue() || !s.mayWriteSnapshot() {
		return
	}
	s.latestSnapshotIs(s.applied, s.snapshotBytes)
	state, err := s.reducer.Snapshot()
	if err != nil {
		s.logger.Error().Err(err).Msg("snapshot not encoded")
		return
	}
	if state == nil {
		return
	}
	records, err := s.encodeSnapshot(s.applied, state)
	if err != nil {
		s.logger.Error().Err(err).Msg("snapshot not encoded")
		return
	}
	s.snapshotBytes = len(state)
	s.pendingSnapshots = records
	s.signal()
}

func (s *TailedStream) mayWriteSnapshot() bool {
	if s.references == 0 {
		return false
	}
	if s.options.SnapshotWhen != nil {
		return s.options.SnapshotWhen()
	}
	return s.acceptedSince
}

func (s *TailedStream) encodeSnapshot(asOf int64, state []byte) ([][]byte, error) {
	parts := slices.Collect(slices.Chunk(state, snapshotPartBytes))
	if len(parts) == 0 {
		parts = [][]byte{{}}
	}
	if len(parts) > maxSnapshotParts {
		return nil, errors.Errorf("state of %d bytes is over %d parts", len(state), maxSnapshotParts)
	}
	var records [][]byte
	for i, part := range parts {
		body, err := logrecord.EncodeBody(snapshotBody{
			AsOf: asOf, Format: s.options.SnapshotFormat, Part: i, Parts: len(parts), State: part,
		})
		if err != nil {
			return nil, err
		}
		record := logrecord.Record{Writer: s.writer, Base: asOf, Kind: logrecord.KindSnapshot, Body: body}
		data, err := logrecord.Encode(record)
		if err != nil {
			return nil, err
		}
		records = append(records, data)
	}
	return records, nil
}

// appendSnapshot appends the queued snapshot, part by part. It tries once: a
// snapshot serves speed only, and the next one comes soon.
func (s *TailedStream) appendSnapshot() {
	s.mu.Lock()
	records := s.pendingSnapshots
	s.pendingSnapshots = nil
	s.mu.Unlock()
	if len(records) == 0 {
		return
	}
	var err error
	for _, record := range records {
		if err = s.tryAppend([][]byte{record}); err != nil {
			break
		}
	}
	s.manager.metrics.snapshots.WithLabelValues(s.class, outcomeLabel(err)).Inc()
}

// loadSnapshot restores the latest whole snapshot of the stream. It looks
// through the last records, a window that doubles until it finds one or
// reaches the start of the stream.
func (s *TailedStream) loadSnapshot(ctx context.Context) error {
	last, err := s.manager.options.Service.Read(ctx, s.name, -1, 1, 0)
	if err != nil {
		return err
	}
	for window := int64(firstWindow); ; window *= 2 {
		from := max(0, last.End-window)
		candidates, err := s.snapshotsBetween(ctx, from, last.End)
		if err != nil {
			return err
		}
		if s.restoreFirst(candidates) || from == 0 {
			return nil
		}
	}
}

// restoreFirst restores the first candidate that the reducer takes.
func (s *TailedStream) restoreFirst(candidates []wholeSnapshot) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, candidate := range candidates {
		if err := s.reducer.Restore(candidate.state); err != nil {
			s.logger.Warn().Err(err).Int64("as_of", candidate.asOf).Msg("snapshot not restored")
			continue
		}
		s.applied = candidate.asOf
		s.latestSnapshotIs(candidate.asOf, len(candidate.state))
		s.releaseWaiters()
		return true
	}
	return false
}

// wholeSnapshot is a snapshot with all its parts.
type wholeSnapshot struct {
	asOf  int64
	state []byte
}

type snapshotKey struct {
	writer string
	asOf   int64
	parts  int
}

// snapshotsBetween returns the whole snapshots in [from, end), newest first.
func (s *TailedStream) snapshotsBetween(ctx context.Context, from, end int64) ([]wholeSnapshot, error) {
	parts := make(map[snapshotKey]map[int][]byte)
	err := s.scan(ctx, from, end, func(entry logservice.Entry) {
		record, err := logrecord.Decode(entry.Data)
		if err != nil || record.Kind != logrecord.KindSnapshot {
			return
		}
		body, usable := s.decodeSnapshot(entry.Offset, record)
		if !usable {
			return
		}
		key := snapshotKey{writer: record.Writer, asOf: body.AsOf, parts: body.Parts}
		if parts[key] == nil {
			parts[key] = make(map[int][]byte)
		}
		parts[key][body.Part] = body.State
	})
	if err != nil {
		return nil, err
	}
	return joinSnapshots(parts), nil
}

func joinSnapshots(parts map[snapshotKey]map[int][]byte) []wholeSnapshot {
	var whole []wholeSnapshot
	for key, found := range parts {
		if len(found) != key.parts {
			continue
		}
		var state []byte
		for part := range key.parts {
			state = append(state, found[part]...)
		}
		whole = append(whole, wholeSnapshot{asOf: key.asOf, state: state})
	}
	slices.SortFunc(whole, func(a, b wholeSnapshot) int { return cmp.Compare(b.asOf, a.asOf) })
	return whole
}

// scan reads [from, end) in bounded reads and visits each entry.
func (s *TailedStream) scan(ctx context.Context, from, end int64, visit func(logservice.Entry)) error {
	limit := readLimit
	for from < end {
		batch, err := s.manager.options.Service.Read(ctx, s.name, from, limit, 0)
		if errors.Is(err, logservice.ErrTooLarge) && limit > 1 {
			limit /= 2
			continue
		}
		if err != nil {
			return err
		}
		if len(batch.Entries) == 0 {
			return errors.Wrapf(logservice.ErrUnavailable, "no records at %d, end is %d", from, end)
		}
		for _, entry := range batch.Entries {
			visit(entry)
		}
		from += int64(len(batch.Entries))
	}
	return nil
}
