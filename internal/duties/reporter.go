package duties

import (
	"context"
	"time"

	"github.com/go-faster/errors"
	"github.com/rs/zerolog"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/corkpulley/corkpulley/internal/common/retry"
	"github.com/corkpulley/corkpulley/internal/core/lease"
	"github.com/corkpulley/corkpulley/internal/core/usage"
	"github.com/corkpulley/corkpulley/internal/eventlog"
)

const (
	// usageSubject is the subject of the permits for reports of all windows.
	usageSubject = "usage"
	// countWaitFraction is the fraction of the time until a report is due that is spent waiting for late counts. The
	// rest is a reserve for a change of leaders or an outage.
	countWaitFraction = 0.5
	// logRecoveryDelay is how long the reporter waits after the log failed, so that counters write first. It must
	// exceed the longest retry delay of a Counter.
	logRecoveryDelay = time.Second
	// maxReportAge is the age above which a window is skipped, since the log no longer holds its counts.
	maxReportAge   = 4 * time.Minute
	reportInterval = 150 * time.Millisecond
	// conflictDelay is the pause after a conflict, which means that a later leader has called the platform. After
	// maxConflicts, no more reports are sent in the term.
	conflictDelay = 5 * time.Second
	maxConflicts  = 2
	maxReadBytes  = 512 << 10
)

// ReporterOptions configure a reporter.
type ReporterOptions struct {
	Log      eventlog.Log
	Platform Platform
	Term     lease.Term
	Holder   Holder
	// Span is the length of a window. ReportDelay is how long after the end of a window its report is due.
	Span        time.Duration
	ReportDelay time.Duration
	Logger      zerolog.Logger
}

// Reporter reports the usage of all tenants during one term of leadership.
type Reporter struct {
	options ReporterOptions
	caller  caller
	ledger  *usage.Ledger
	// failedAt is when the log last failed.
	failedAt time.Time
	// lastReported is the latest window that was reported to the platform in this term.
	lastReported usage.Window
	// conflicts counts the calls that the platform answered with Conflict.
	conflicts int
}

// NewReporter returns a reporter for one term.
func NewReporter(options ReporterOptions) *Reporter {
	return &Reporter{
		options: options, caller: caller{term: options.Term, holder: options.Holder}, ledger: usage.NewLedger(),
	}
}

// Run reports windows in order as they become due, until ctx ends or after too many conflicts.
func (r *Reporter) Run(ctx context.Context) {
	startWindow := usage.WindowOf(time.Now(), r.options.Span)
	for ctx.Err() == nil && r.conflicts < maxConflicts {
		if err := r.step(ctx, startWindow); err != nil && ctx.Err() == nil {
			r.failedAt = time.Now()
			r.options.Logger.Warn().Err(err).Int64("window", int64(r.ledger.Next(startWindow))).Msg("usage not reported yet")
		}
		retry.Sleep(ctx, reportInterval)
	}
}

// step sends the latest decided report unless it was sent already. Otherwise, it decides the report of the next window
// if that is due.
func (r *Reporter) step(ctx context.Context, startWindow usage.Window) error {
	if r.ledger.NextReport == 0 {
		// The reports that earlier leaders decided must be known first.
		if err := r.readReports(ctx); err != nil {
			return err
		}
	}
	if newest, found := r.ledger.Newest(); found && newest.Window > r.lastReported {
		return r.send(ctx, newest)
	}
	next := r.ledger.Next(startWindow)
	ready := next.End(r.options.Span).Add(time.Duration(countWaitFraction * float64(r.options.ReportDelay)))
	if now := time.Now(); now.Before(ready) || now.Sub(r.failedAt) < logRecoveryDelay || !r.options.Term.Valid() {
		return nil
	}
	if err := r.readCounts(ctx); err != nil {
		return err
	}
	return r.decide(ctx, max(r.ledger.Next(startWindow), r.oldestWindow()))
}

// oldestWindow returns the first window that is not too old to be reported.
func (r *Reporter) oldestWindow() usage.Window {
	return usage.WindowOf(time.Now().Add(-maxReportAge), r.options.Span)
}

// decide appends the report of a window to the log, unless another leader has appended one.
func (r *Reporter) decide(ctx context.Context, window usage.Window) error {
	raw, err := msgpack.Marshal(r.ledger.Report(window))
	if err != nil {
		return errors.Wrap(err, "encode the usage report")
	}
	_, err = r.options.Log.AppendAt(ctx, reportPartition, r.ledger.NextReport, [][]byte{raw})
	var conflict *eventlog.ConflictError
	if err != nil && !errors.As(err, &conflict) {
		return errors.Wrap(err, "append the usage report")
	}
	return r.readReports(ctx)
}

// send sends a decided report to the platform.
func (r *Reporter) send(ctx context.Context, report usage.ReportRecord) error {
	answer, err := r.caller.call(ctx, usageSubject, func(ctx context.Context, holder Holder) (Answer, error) {
		return r.options.Platform.ReportUsage(ctx, holder, report.Window, report.Counts)
	})
	if answer == NotDone && err == nil {
		// No call was made: the lease is not valid, the quiet period is not over, or the permit has expired.
		return nil
	}
	late := time.Since(report.Window.End(r.options.Span)) - r.options.ReportDelay
	r.options.Logger.Info().Err(err).Int64("window", int64(report.Window)).Int64("requests", report.Counts.Sum()).
		Int("tenants", len(report.Counts)).Stringer("answer", answer).Bool("in_time", late <= 0).
		Int64("fence", r.caller.holder.Fence).Msg("usage report attempted")
	switch answer {
	case Done, Refused:
		r.lastReported = report.Window
	case Conflict:
		r.conflicts++
		retry.Sleep(ctx, conflictDelay)
	}
	return nil
}

func (r *Reporter) readReports(ctx context.Context) error {
	onTrim := func(first int64) {
		unreported := usage.WindowOf(time.Now(), r.options.Span)
		r.options.Logger.Warn().Int64("offset", r.ledger.NextReport).Int64("first_kept", first).
			Int64("window", int64(unreported)).Msg("usage reports were trimmed before they were read")
		r.ledger.SkipLostReports(first, unreported)
	}
	return readToEnd(ctx, r.options.Log, reportPartition, &r.ledger.NextReport, onTrim, func(raw []byte) error {
		var record usage.ReportRecord
		if err := msgpack.Unmarshal(raw, &record); err != nil {
			r.ledger.NextReport++
			return errors.Wrap(err, "decode a usage report")
		}
		r.ledger.ApplyReport(record)
		return nil
	})
}

func (r *Reporter) readCounts(ctx context.Context) error {
	onTrim := func(first int64) { r.ledger.NextCount = max(r.ledger.NextCount+1, first) }
	return readToEnd(ctx, r.options.Log, countPartition, &r.ledger.NextCount, onTrim, func(raw []byte) error {
		var record usage.CountRecord
		if err := msgpack.Unmarshal(raw, &record); err != nil {
			r.ledger.NextCount++
			return errors.Wrap(err, "decode usage counts")
		}
		if late := r.ledger.ApplyCount(record); late > 0 {
			r.options.Logger.Warn().Int64("window", int64(record.Window)).Str("source", record.Source).
				Int64("requests", late).Msg("usage counts arrived after their report was decided")
		}
		return nil
	})
}

// readToEnd reads a partition from next to its end. handle must advance next by one for each record. onTrim is called
// when records were trimmed and must set next to the first offset that the log still holds.
func readToEnd(
	ctx context.Context, log eventlog.Log, partition eventlog.Partition, next *int64,
	onTrim func(first int64), handle func(raw []byte) error,
) error {
	for {
		batch, err := log.Read(ctx, partition, *next, maxReadBytes, 0)
		var trimmed *eventlog.TrimmedError
		if errors.As(err, &trimmed) {
			onTrim(trimmed.First)
			continue
		}
		if err != nil {
			return errors.Wrapf(err, "read %s", partition)
		}
		for _, raw := range batch.Records {
			if err := handle(raw); err != nil {
				return err
			}
		}
		if *next >= batch.End {
			return nil
		}
	}
}
