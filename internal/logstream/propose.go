package logstream

import (
	"context"
	"time"

	"github.com/go-faster/errors"

	"github.com/corkpulley/corkpulley/internal/core/logrecord"
)

// proposal is a proposed record that awaits its verdict.
type proposal struct {
	// Sequence and Base are set when the record is added to a batch.
	record     logrecord.Record
	proposedAt time.Time
	// done is buffered; the outcome is sent at most once.
	done   chan Outcome
	onLate func(Outcome)
	// resolved and abandoned are guarded by the stream's mu.
	resolved  bool
	abandoned bool
}

// Propose implements Stream.
func (s *TailedStream) Propose(ctx context.Context, requested Proposal) (Outcome, error) {
	return s.ProposeWithCallback(ctx, requested, nil)
}

// ProposeWithCallback implements Stream. onLate runs in its own goroutine. If the error wraps ErrNotProposed, the
// proposal has no effect and onLate is not called; nor is it called after the Manager was stopped.
func (s *TailedStream) ProposeWithCallback(
	ctx context.Context, requested Proposal, onLate func(Outcome),
) (Outcome, error) {
	if err := ctx.Err(); err != nil {
		return Outcome{}, errors.Wrapf(ErrNotProposed, "%v", err)
	}
	proposed, err := s.newProposal(requested, onLate)
	if err != nil {
		return Outcome{}, err
	}
	if err := s.enqueue(proposed); err != nil {
		return Outcome{}, err
	}
	select {
	case outcome := <-proposed.done:
		return outcome, nil
	case <-s.ctx.Done():
		return s.abandon(proposed, context.Canceled)
	case <-ctx.Done():
		return s.abandon(proposed, ctx.Err())
	}
}

func (s *TailedStream) newProposal(requested Proposal, onLate func(Outcome)) (*proposal, error) {
	body, err := logrecord.EncodeBody(requested.Body)
	if err != nil {
		return nil, errors.Wrapf(ErrBadProposal, "%v", err)
	}
	if len(body) > MaxBodyBytes {
		return nil, errors.Wrapf(ErrBadProposal, "body has %d bytes, limit is %d", len(body), MaxBodyBytes)
	}
	record := logrecord.Record{
		Writer:   s.writer,
		Sequence: 1, // placeholder; nextBatch assigns the sequence number
		Epoch:    requested.Epoch,
		Kind:     requested.Kind,
		Body:     body,
	}
	if _, err := logrecord.Encode(record); err != nil {
		return nil, errors.Wrapf(ErrBadProposal, "%v", err)
	}
	return &proposal{record: record, proposedAt: time.Now(), done: make(chan Outcome, 1), onLate: onLate}, nil
}

func (s *TailedStream) enqueue(proposed *proposal) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.references == 0 || s.ctx.Err() != nil {
		return ErrClosed
	}
	if len(s.queue)+len(s.pending) >= maxBacklog {
		return ErrBacklogFull
	}
	s.queue = append(s.queue, proposed)
	s.wakeAppender()
	return nil
}

// wakeAppender wakes appendLoop.
func (s *TailedStream) wakeAppender() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// abandon stops waiting for the proposal, unless its verdict arrived at the same time.
func (s *TailedStream) abandon(proposed *proposal, cause error) (Outcome, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if proposed.resolved {
		return <-proposed.done, nil
	}
	proposed.abandoned = true
	return Outcome{}, cause
}

// resolve resolves the pending proposal that the record belongs to, if any. The first copy in offset order
// determines the verdict; later copies are ignored. Must be called with mu held.
func (s *TailedStream) resolve(offset int64, record logrecord.Record, verdict logrecord.Verdict) {
	proposed, ok := s.pending[record.Sequence]
	if !ok || record.Writer != s.writer {
		return
	}
	delete(s.pending, record.Sequence)
	s.manager.metrics.verdict(s.class, verdict)
	if verdict == logrecord.Expired {
		s.requeue(proposed)
		return
	}
	if verdict == logrecord.Accepted {
		s.acceptedSinceSnapshot = true
	}
	s.manager.metrics.readBackLag.WithLabelValues(s.class).Observe(time.Since(proposed.proposedAt).Seconds())
	outcome := Outcome{Offset: offset, Verdict: verdict}
	proposed.resolved = true
	proposed.done <- outcome
	if proposed.abandoned && proposed.onLate != nil {
		go proposed.onLate(outcome)
	}
}

// requeue queues an expired proposal again, to be appended with a new sequence number. It cannot take effect twice:
// copies of the expired record have no effect, and an earlier copy would have been read first. Must be called with mu
// held.
func (s *TailedStream) requeue(proposed *proposal) {
	s.queue = append([]*proposal{proposed}, s.queue...)
	s.wakeAppender()
}
