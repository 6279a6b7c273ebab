package logstream

import (
	"cmp"
	"context"
	"slices"

	"github.com/go-faster/errors"

	"github.com/corkpulley/corkpulley/internal/core/logrecord"
	"github.com/corkpulley/corkpulley/internal/platform/logservice"
)

// snapshotBody is the body of a snapshot record. A large state is split into parts, which one writer appends in
// order.
type snapshotBody struct {
	// AsOf is the offset after the last record included in the state.
	AsOf   int64  `msgpack:"o"`
	Format int    `msgpack:"f"`
	Part   int    `msgpack:"p"`
	Parts  int    `msgpack:"n"`
	State  []byte `msgpack:"s"`
}

// maxSnapshotParts bounds the size of a snapshot, in parts.
const maxSnapshotParts = 256

// decodeSnapshot decodes the body of a snapshot record; it returns false if the body is not usable.
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

// observeSnapshot records the offset and size of a snapshot read from the stream, which determine when the next one
// is due. Must be called with mu held.
func (s *TailedStream) observeSnapshot(offset int64, record logrecord.Record) {
	body, usable := s.decodeSnapshot(offset, record)
	if usable && body.Part == body.Parts-1 && body.AsOf > s.lastSnapshotOffset {
		s.resetSnapshotCounters(body.AsOf, (body.Parts-1)*snapshotPartBytes+len(body.State))
	}
}

// resetSnapshotCounters restarts the counters for the next snapshot. Must be called with mu held.
func (s *TailedStream) resetSnapshotCounters(asOf int64, size int) {
	s.lastSnapshotOffset = asOf
	s.lastSnapshotBytes = size
	s.bytesSinceSnapshot = 0
	s.acceptedSinceSnapshot = false
}

// snapshotDue reports whether enough records were applied since the latest snapshot. Must be called with mu
// held.
func (s *TailedStream) snapshotDue() bool {
	every := s.options.SnapshotEvery
	records := s.applied - s.lastSnapshotOffset
	if every <= 0 || records < every {
		return false
	}
	return s.bytesSinceSnapshot >= s.lastSnapshotBytes || records >= s.options.MaxSnapshotInterval
}

// queueSnapshot queues a snapshot for appendLoop if one is due. Must be called with mu held.
func (s *TailedStream) queueSnapshot() {
	if !s.snapshotDue() || !s.shouldWriteSnapshot() {
		return
	}
	s.resetSnapshotCounters(s.applied, s.lastSnapshotBytes)
	state, err := s.reducer.Snapshot()
	if err != nil {
		s.logger.Error().Err(err).Msg("encode snapshot failed")
		return
	}
	if state == nil {
		return
	}
	records, err := s.encodeSnapshot(s.applied, state)
	if err != nil {
		s.logger.Error().Err(err).Msg("encode snapshot failed")
		return
	}
	s.lastSnapshotBytes = len(state)
	s.queuedSnapshot = records
	s.wakeAppender()
}

func (s *TailedStream) shouldWriteSnapshot() bool {
	if s.references == 0 {
		return false
	}
	if s.options.ShouldSnapshot != nil {
		return s.options.ShouldSnapshot()
	}
	return s.acceptedSinceSnapshot
}

func (s *TailedStream) encodeSnapshot(asOf int64, state []byte) ([][]byte, error) {
	parts := slices.Collect(slices.Chunk(state, snapshotPartBytes))
	if len(parts) == 0 {
		parts = [][]byte{{}}
	}
	if len(parts) > maxSnapshotParts {
		return nil, errors.Errorf("snapshot of %d bytes exceeds %d parts", len(state), maxSnapshotParts)
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

// appendSnapshot appends the queued snapshot part by part. It does not retry: snapshots only save replay time,
// and another one follows.
func (s *TailedStream) appendSnapshot() {
	s.mu.Lock()
	records := s.queuedSnapshot
	s.queuedSnapshot = nil
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

// loadSnapshot restores the latest complete snapshot of the stream. It searches the last records, doubling the
// window until it finds one or reaches the start of the stream.
func (s *TailedStream) loadSnapshot(ctx context.Context) error {
	last, err := s.manager.options.Service.Read(ctx, s.name, -1, 1, 0)
	if err != nil {
		return err
	}
	for window := int64(initialScanWindow); ; window *= 2 {
		from := max(0, last.End-window)
		candidates, err := s.snapshotsBetween(ctx, from, last.End)
		if err != nil {
			return err
		}
		if s.restoreFirstUsable(candidates) || from == 0 {
			return nil
		}
	}
}

// restoreFirstUsable restores the first candidate that the reducer accepts.
func (s *TailedStream) restoreFirstUsable(candidates []completeSnapshot) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, candidate := range candidates {
		if err := s.reducer.Restore(candidate.state); err != nil {
			s.logger.Warn().Err(err).Int64("as_of", candidate.asOf).Msg("restore snapshot failed")
			continue
		}
		s.applied = candidate.asOf
		s.resetSnapshotCounters(candidate.asOf, len(candidate.state))
		s.releaseWaiters()
		return true
	}
	return false
}

// completeSnapshot is a snapshot joined from all its parts.
type completeSnapshot struct {
	asOf  int64
	state []byte
}

// snapshotKey identifies the parts of one snapshot.
type snapshotKey struct {
	writer string
	asOf   int64
	parts  int
}

// snapshotsBetween returns the complete snapshots in [from, end), newest first.
func (s *TailedStream) snapshotsBetween(ctx context.Context, from, end int64) ([]completeSnapshot, error) {
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

// joinSnapshots joins the parts of the complete snapshots, newest first.
func joinSnapshots(parts map[snapshotKey]map[int][]byte) []completeSnapshot {
	var complete []completeSnapshot
	for key, found := range parts {
		if len(found) != key.parts {
			continue
		}
		var state []byte
		for part := range key.parts {
			state = append(state, found[part]...)
		}
		complete = append(complete, completeSnapshot{asOf: key.asOf, state: state})
	}
	slices.SortFunc(complete, func(a, b completeSnapshot) int { return cmp.Compare(b.asOf, a.asOf) })
	return complete
}

// scan reads [from, end) in batches and calls visit for each entry.
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
			return errors.Wrapf(logservice.ErrUnavailable, "no records at offset %d, end is %d", from, end)
		}
		for _, entry := range batch.Entries {
			visit(entry)
		}
		from += int64(len(batch.Entries))
	}
	return nil
}
