package serve

import (
	"context"
	"errors"
	"log/slog"
	"net/http"
	"slices"
	"strconv"
	"time"

	"shedkeel.org/shedkeel"
	"shedkeel.org/shedkeel/event"
	"shedkeel.org/shedkeel/retry"
)

// updateBuffer is the number of updates of an attempt, one for each event, that are buffered for a
// caller that reads slowly. ReaderBudget may allow fewer.
const updateBuffer = 4

// stream forwards a stream of events to its caller. Each attempt is a source. A source that fails
// is replaced by one that resumes after the last forwarded event. Beside a stalled source, a hedge
// is started, and the first to deliver the next event is kept. mayFailOver and the retry budget
// limit both; other limits apply if a source did not run (failOver).
//
// A source is live from startSource until drop. Updates are received from live sources only, so that
// nothing of a dropped one has an effect, and a stream without a live source ends.
type stream struct {
	*exchange
	sources    []*source // the live sources, at most maxSources
	lastNumber int64     // number of the last forwarded event whose ID is a number; at first that of the event after which the caller resumes; 0: none
	lastID     string    // ID of the last forwarded event that has an ID; at first that of the event after which the caller resumes; "": none
	lastErr    error     // error of the source that failed last
	noResume   bool      // the last forwarded event with data has no ID, so no server can resume after it
	timing     timing
}

// timing records when a stream's events were forwarded.
type timing struct {
	firstDelay   time.Duration // from the request to the first event
	latest       time.Duration // when the latest event was forwarded; 0: none yet
	longestPause time.Duration // between two forwarded events
	hedges       int           // how often a second source was started beside a stalled one
}

// observe records that an event is forwarded now. The request started at began.
func (timing *timing) observe(began, now time.Duration) {
	if timing.latest == 0 {
		timing.firstDelay = now - began
	} else {
		timing.longestPause = max(timing.longestPause, now-timing.latest)
	}
	timing.latest = now
}

// maxSources is how many sources of a stream may be live.
const maxSources = 2

// run serves the stream until it is complete, cannot be completed or its context ends. It
// returns nil if the stream is complete or the error status of a server was forwarded.
func (stream *stream) run(ctx context.Context) error {
	defer stream.keepOnly(nil)
	if stream.call.LastEventID != "" {
		stream.lastID = stream.call.LastEventID
		if number, err := strconv.ParseInt(stream.lastID, 10, 64); err == nil {
			stream.lastNumber = number
		}
	}
	if err := stream.startSource(ctx); err != nil {
		return stream.failure(ctx, err)
	}
	for len(stream.sources) > 0 {
		updates := stream.updates()
		var received update
		select {
		case <-ctx.Done():
			return stream.finish(ctx, firstError(stream.lastErr, ctx.Err()))
		case received = <-updates[0]:
		case received = <-updates[1]:
		case <-stream.stallSignal():
			stream.hedge(ctx)
			continue
		}
		complete, err := stream.handle(ctx, received)
		stream.unread.release(int64(len(received.event)))
		if complete || err != nil {
			return err
		}
	}
	return stream.finish(ctx, stream.lastErr)
}

// updates returns the channels of the live sources. A receive from the others, which are nil, blocks
// forever.
func (stream *stream) updates() (updates [maxSources]<-chan update) {
	for index, source := range stream.sources {
		updates[index] = source.updates
	}
	return updates
}

// stallSignal returns the channel that signals that the only source has stalled. It returns
// nil, from which a receive blocks forever, if the number of sources is not one, if the source
// was hedged since its last forwarded event, or if mayFailOver does not allow another
// source.
func (stream *stream) stallSignal() <-chan struct{} {
	if len(stream.sources) != 1 || stream.sources[0].hedged || !stream.mayFailOver() {
		return nil
	}
	return stream.sources[0].choice.Stalled
}

// mayFailOver reports whether the route, MaxRuns and the guard allow the stream to run on
// another server too.
func (stream *stream) mayFailOver() bool { return stream.mayRepeat() && stream.guardAllows() }

// mayRepeat reports whether the route, MaxRuns and the IDs of the events allow the stream to run on
// another server too. A quarantined stream may run on one server only. Every source counts
// towards MaxRuns unless its server refused the stream or was not reached: a server whose source
// was canceled may already have started to run the stream.
func (stream *stream) mayRepeat() bool {
	return stream.route.Repeatable() && !stream.noResume && stream.runs < stream.route.MaxRuns && !stream.onTrial.Load()
}

// hedge starts a second source beside the only source, which has stalled. If no server can be
// chosen now, the next stall signal triggers another try.
func (stream *stream) hedge(ctx context.Context) {
	stalled := stream.sources[0]
	outcome := "begun at another server"
	stream.retryReason = retry.Silent
	if err := stream.startSource(ctx); err != nil {
		outcome = err.Error()
	} else {
		stalled.hedged = true
		stream.timing.hedges++
		count(stream.handler.meter().hedges)
	}
	// This event is also logged if no second source was started; outcome is then the reason.
	stream.log(event.StreamMoved, slog.String("from", string(stalled.choice.Instance)), slog.Int64("after", stream.lastNumber), slog.String("outcome", outcome))
}

// startSource starts a source at a server that the stream has not tried yet. The server resumes
// after the event with lastID, or starts at the beginning if there is none. The error is that
// of choose.
func (stream *stream) startSource(ctx context.Context) error {
	attempt, err := stream.choose(ctx)
	if err != nil {
		return err
	}
	attempt.resumeAfter = stream.lastID
	source := &source{stream: stream, attempt: attempt, choice: attempt.Choice, updates: make(chan update, updateBuffer), dropped: make(chan struct{})}
	source.context, source.cancel = context.WithCancel(ctx)
	stream.sources = append(stream.sources, source)
	stream.runs++
	go source.loop()
	return nil
}

// handle processes an update of a live source. It forwards the event and drops the other source,
// unless the caller already has an event with the same or a higher number. It returns true when
// the stream is complete, and errAborted if the caller's connection failed.
func (stream *stream) handle(ctx context.Context, update update) (bool, error) {
	if update.err != nil {
		return stream.sourceEnded(ctx, update), nil
	}
	if update.number <= stream.lastNumber && update.number > 0 {
		stream.logDropped(update.source, 1, update.number, "the caller has it already")
		return false, nil
	}
	stream.keepOnly(update.source)
	if !stream.answerStarted.Swap(true) {
		stream.writeHead(update.source.response, -1)
	}
	if err := stream.write(update.event); err != nil {
		return false, errAborted
	}
	now := stream.handler.Timers.Now()
	stream.timing.observe(stream.startedAt, now)
	if update.source.firstAt == 0 {
		update.source.firstAt = now
	}
	if now-update.source.firstAt >= harmlessAfter {
		stream.reportHarmless()
	}
	stream.lastNumber = max(stream.lastNumber, update.number)
	if update.id != "" {
		stream.lastID = update.id
	}
	if update.hasData {
		stream.noResume = update.id == ""
	}
	return false, nil
}

// logDropped logs events of a source that were not forwarded, the first of which has the number.
func (stream *stream) logDropped(source *source, events int, number int64, reason string) {
	add(stream.handler.meter().eventsDropped, events)
	stream.log(event.StreamEventDropped, slog.String("server", string(source.choice.Instance)), slog.Int("events", events), slog.Int64("number", number), slog.String("reason", reason))
}

// write forwards an event to the caller and flushes it.
func (stream *stream) write(message []byte) error {
	if _, err := stream.writer.Write(message); err != nil {
		return err
	}
	return http.NewResponseController(stream.writer).Flush()
}

// keepOnly drops all live sources except kept, which has delivered an event and may be hedged again.
// nil drops all.
func (stream *stream) keepOnly(kept *source) {
	for _, source := range slices.Clone(stream.sources) {
		if source != kept {
			stream.drop(source)
		}
	}
	if kept != nil {
		kept.hedged = false
	}
}

// drop cancels a live source. Nothing is received from it any more.
func (stream *stream) drop(dropped *source) {
	stream.sources = slices.DeleteFunc(stream.sources, func(source *source) bool { return source == dropped })
	dropped.cancel()
	close(dropped.dropped)
}

// sourceEnded processes the end of a live source. It returns true when the stream is complete.
// Otherwise the source has failed, and sourceEnded calls failOver.
func (stream *stream) sourceEnded(ctx context.Context, update update) bool {
	stream.drop(update.source)
	if !errors.Is(update.err, errStreamEnd) {
		stream.failOver(ctx, update)
		return false
	}
	if !stream.answerStarted.Load() {
		stream.writeHead(update.source.response, -1)
	}
	// A resumed attempt may end before its server does.
	if update.source.attempt.resumeAfter == "" {
		stream.reportAnswer()
		stream.reportHarmless()
	}
	stream.complete(update.source)
	return true
}

// complete records the end of a complete stream.
func (stream *stream) complete(source *source) {
	stream.recordAnswer()
	record(stream.handler.meter().firstEvent, stream.timing.firstDelay)
	record(stream.handler.meter().longestPause, stream.timing.longestPause)
	stream.answerAttrs = []slog.Attr{
		slog.Duration("first", stream.timing.firstDelay), slog.Duration("pause", stream.timing.longestPause), slog.Int("moves", stream.timing.hedges),
		slog.String("server", string(source.choice.Instance)), slog.String("group", string(source.choice.Group.Group)),
	}
}

// failOver records the failure of a source, in lastErr too, and starts another source if none is live
// and a further attempt is allowed and possible. After a source that did not run, mayRepeat does not
// apply, but the guard and maxServersTried do.
func (stream *stream) failOver(ctx context.Context, update update) {
	stream.lastErr = update.err
	stream.retryReason = retryReasonOf(update.err)
	stream.uncountUnsent(update.source.attempt, update.err)
	var notRun *shedkeel.NotRunError
	if errors.As(update.err, &notRun) {
		stream.runs--
	} else {
		stream.mayHaveRun = true
	}
	count(stream.handler.meter().failedAttempts)
	fields := []slog.Attr{slog.String("server", string(update.source.choice.Instance)), slog.Int64("after", stream.lastNumber), slog.String("reason", update.err.Error())}
	stream.log(event.AttemptFailed, append(fields, stream.circumstanceAttrs()...)...)
	if len(stream.sources) > 0 {
		stream.replaceHedge(ctx)
		return
	}
	if ctx.Err() != nil || notRun == nil && !stream.mayRepeat() || notRun != nil && notRun.NoPath || len(stream.tried) >= maxServersTried || !stream.guardAdmits(ctx) {
		return
	}
	if err := stream.startSource(ctx); err != nil {
		stream.lastErr = errors.Join(err, update.err)
	}
}

// replaceHedge starts another hedge if the live source is one that has stalled, and its hedge has failed.
func (stream *stream) replaceHedge(ctx context.Context) {
	stalled := stream.sources[0]
	if !stalled.hedged {
		return
	}
	stalled.hedged = false
	if ctx.Err() == nil && len(stream.tried) < maxServersTried && stream.mayFailOver() {
		stream.hedge(ctx)
	}
}

// guardAdmits reports whether the guard allows another attempt, if need be as a trial: the servers that
// have ended may have done so under a part of the prompt that is harmless. A stream whose digest is
// quarantined gets no trial, as it would end a second server.
func (stream *stream) guardAdmits(ctx context.Context) bool {
	if !stream.handler.guardActive() {
		return true
	}
	ruling := stream.handler.Guard.Judge(stream.guarded())
	if stream.permits(ruling) {
		return true
	}
	_, _, isPart := ruling.Subject.Part()
	return isPart && ruling.Judgment == shedkeel.Quarantined && !stream.onTrial.Load() && stream.acquireTrial(ctx)
}

// finish ends a stream that cannot be completed. If events were forwarded, it returns
// errAborted, so that the connection is aborted. If the reason is a statusError, it forwards
// the server's status and header, without the body, and returns nil. Otherwise it returns the
// error of the method failure.
func (stream *stream) finish(ctx context.Context, reason error) error {
	if stream.answerStarted.Load() {
		return errors.Join(errAborted, reason)
	}
	var status *statusError
	if errors.As(reason, &status) {
		stream.writeHead(status.response, 0)
		return nil
	}
	if len(stream.sources) > 0 { // their servers may run the stream
		stream.mayHaveRun = true
	}
	return stream.failure(ctx, reason)
}
