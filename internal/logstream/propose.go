package logstream

import (
	"context"
	"time"

	"github.com/go-faster/errors"

	"github.com/corkpulley/corkpulley/internal/core/logrecord"
)

// proposal is one proposed record on its way to a verdict.
type proposal struct {
	// record has its Sequence and Base once it was put into a batch.
	record logrecord.Record
	began  time.Time
	// done has room for the outcome, which is sent at most once.
	done chan Outcome
	late func(Outcome)
	// decided and abandoned are guarded by the stream's lock.
	decided   bool
	abandoned bool
}

// Propose implements Stream.
func (s *TailedStream) Propose(ctx context.Context, wanted Proposal) (Outcome, error) {
	return s.ProposeWithLate(ctx, wanted, nil)
}

// ProposeWithLate implements Stream. late runs on a goroutine of its own. When
// the error wraps ErrNotProposed, the proposal certainly has no effect and late
// is not called; it is not called either once the Manager was stopped.
func (s *TailedStream) ProposeWithLate(
	ctx context.Context, wanted Proposal, late func(Outcome),
) (Outcome, error) {
	if err := ctx.Err(); err != nil {
		return Outcome{}, errors.Wrapf(ErrNotProposed, "%v", err)
	}
	proposed, err := s.newProposal(wanted, late)
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

func (s *TailedStream) newProposal(wanted Proposal, late func(Outcome)) (*proposal, error) {
	body, err := logrecord.EncodeBody(wanted.Body)
	if err != nil {
		return nil, errors.Wrapf(ErrBadProposal, "%v", err)
	}
	if len(body) > MaxBodyBytes {
		return nil, errors.Wrapf(ErrBadProposal, "body of %d bytes, at most %d allowed", len(body), MaxBodyBytes)
	}
	record := logrecord.Record{
		Writer:   s.writer,
		Sequence: 1, // a placeholder until it is put into a batch
		Epoch:    wanted.Epoch,
		Kind:     wanted.Kind,
		Body:     body,
	}
	if _, err := logrecord.Encode(record); err != nil {
		return nil, errors.Wrapf(ErrBadProposal, "%v", err)
	}
	return &proposal{record: record, began: time.Now(), done: make(chan Outcome, 1), late: late}, nil
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
	s.signal()
	return nil
}

// signal wakes the appender.
func (s *TailedStream) signal() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// abandon leaves the proposal to the background, unless its verdict came in
// the same moment.
func (s *TailedStream) abandon(proposed *proposal, cause error) (Outcome, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if proposed.decided {
		return <-proposed.done, nil
	}
	proposed.abandoned = true
	return Outcome{}, cause
}

// settle ends the proposal that the own record belongs to; mu is held. The
// first copy read in offset order gives the verdict, later copies have none.
func (s *TailedStream) settle(offset int64, record logrecord.Record, verdict logrecord.Verdict) {
	proposed, ok := s.pending[record.Sequence]
	if !ok || record.Writer != s.writer {
		return
	}
	delete(s.pending, record.Sequence)
	s.manager.metrics.verdict(s.class, verdict)
	if verdict == logrecord.Expired {
		s.proposeAgain(proposed)
		return
	}
	if verdict == logrecord.Accepted {
		s.acceptedSince = true
	}
	s.manager.metrics.readBackLag.WithLabelValues(s.class).Observe(time.Since(proposed.began).Seconds())
	outcome := Outcome{Offset: offset, Verdict: verdict}
	proposed.decided = true
	proposed.done <- outcome
	if proposed.abandoned && proposed.late != nil {
		go proposed.late(outcome)
	}
}

// proposeAgain queues an expired proposal for a new sequence; mu is held. That
// is safe: no copy of the expired record has an effect at any offset, since
// an earlier copy would have been read first.
func (s *TailedStream) proposeAgain(proposed *proposal) {
	s.queue = append([]*proposal{proposed}, s.queue...)
	s.signal()
}
