package serve

import (
	"context"
	"errors"
	"log/slog"
	"net/http"
	"strconv"
	"time"

	"shedkeel.org/shedkeel"
	"shedkeel.org/shedkeel/event"
)

// newsBuffer is how many events may wait for a caller that reads slowly.
const newsBuffer = 4

// stream passes a stream on to its caller. When the server goes silent or
// breaks off, the stream goes on at another one from its last whole event;
// whichever delivers the next event first is followed.
type stream struct {
	*exchange
	news    chan news
	sources []*source
	last    int64 // number of the last event passed on; 0: none
	lastID  string
	reason  error // why the last source failed
	timing  timing
}

// timing is when a stream's events were passed on.
type timing struct {
	first   time.Duration // from the request to the first event
	latest  time.Duration // when the latest one was passed on
	longest time.Duration // the longest pause between two
	moves   int           // how often it was begun at another server
}

func (timing *timing) note(began, now time.Duration) {
	if timing.latest == 0 {
		timing.first = now - began
	} else {
		timing.longest = max(timing.longest, now-timing.latest)
	}
	timing.latest = now
}

func (stream *stream) run(ctx context.Context) error {
	defer stream.stopAll()
	if stream.call.LastEvent != "" {
		stream.lastID = stream.call.LastEvent
		if number, err := strconv.ParseInt(stream.lastID, 10, 64); err == nil {
			stream.last = number
		}
	}
	if err := stream.start(ctx); err != nil {
		return stream.failed(ctx, err)
	}
	for {
		select {
		case <-ctx.Done():
			return stream.finish(ctx, firstOf(stream.reason, ctx.Err()))
		case news := <-stream.news:
			done, err := stream.take(ctx, news)
			if done || err != nil {
				return err
			}
		case <-stream.stall():
			stream.hedge(ctx)
		}
	}
}

// stall returns the channel that tells that the only source is silent, or nil
// when nothing could be done about it.
func (stream *stream) stall() <-chan struct{} {
	if len(stream.sources) != 1 || stream.sources[0].stalled || !stream.mayMove() {
		return nil
	}
	return stream.sources[0].choice.Stalled
}

// mayMove reports whether the stream may run on another server too. Every
// server that it was sent to and that did not refuse it counts as having run
// it, for nothing tells whether one that was given up had begun.
func (stream *stream) mayMove() bool {
	return stream.route.Repeatable() && stream.runs < stream.route.MaxRuns && !stream.alone && stream.mayGoOn()
}

// hedge begins another source beside one that went silent. Where none can be
// begun now, it is tried again when the silence is told again.
func (stream *stream) hedge(ctx context.Context) {
	silent := stream.sources[0]
	outcome := "begun at another server"
	if err := stream.start(ctx); err != nil {
		outcome = err.Error()
	} else {
		silent.stalled = true
		stream.timing.moves++
		count(stream.front.meter().moves)
	}
	stream.log(event.StreamMoved, slog.String("from", string(silent.choice.Instance)), slog.Int64("after", stream.last), slog.String("outcome", outcome))
}

// start sends the stream to another server, from after the last event.
func (stream *stream) start(ctx context.Context) error {
	choice, err := stream.choose(ctx)
	if err != nil {
		return err
	}
	source := &source{stream: stream, choice: choice, resumed: stream.lastID, last: stream.last}
	source.context, source.cancel = context.WithCancel(ctx)
	stream.sources = append(stream.sources, source)
	stream.runs++
	go source.loop()
	return nil
}

// take takes what a source tells. It returns true when the stream has ended
// whole.
func (stream *stream) take(ctx context.Context, news news) (bool, error) {
	if news.err != nil {
		return stream.ended(ctx, news)
	}
	if news.number <= stream.last && news.number > 0 {
		return false, nil // passed on already, from another source
	}
	news.source.last = news.number
	stream.keepOnly(news.source)
	if !stream.begun.Swap(true) {
		stream.writeHead(news.source.response, -1)
	}
	if err := stream.write(news.event); err != nil {
		return false, errBroken
	}
	stream.timing.note(stream.began, stream.front.Timers.Now())
	stream.last = max(stream.last, news.number)
	if news.id != "" {
		stream.lastID = news.id
	}
	return false, nil
}

func (stream *stream) write(message []byte) error {
	if _, err := stream.writer.Write(message); err != nil {
		return err
	}
	return http.NewResponseController(stream.writer).Flush()
}

// keepOnly gives up all sources but the one that delivered.
func (stream *stream) keepOnly(kept *source) {
	for _, source := range stream.sources {
		if source != kept {
			source.cancel()
		}
	}
	stream.sources = append(stream.sources[:0], kept)
	kept.stalled = false
}

// ended takes the end of a source.
func (stream *stream) ended(ctx context.Context, news news) (bool, error) {
	active := false
	for index, source := range stream.sources {
		if source == news.source {
			active = true
			stream.sources = append(stream.sources[:index:index], stream.sources[index+1:]...)
			break
		}
	}
	news.source.cancel()
	if !active {
		return false, nil
	}
	whole := errors.Is(news.err, errStreamEnd) && news.source.last == stream.last
	if whole {
		if !stream.begun.Load() {
			stream.writeHead(news.source.response, -1)
		}
		stream.answered()
		record(stream.front.meter().first, stream.timing.first)
		record(stream.front.meter().pause, stream.timing.longest)
		stream.outcome = []slog.Attr{
			slog.Duration("first", stream.timing.first), slog.Duration("pause", stream.timing.longest), slog.Int("moves", stream.timing.moves),
			slog.String("server", string(news.source.choice.Instance)), slog.String("group", string(news.source.choice.Group.Group)),
		}
		return true, nil
	}
	return false, stream.replace(ctx, news)
}

// replace begins another source in the place of one that failed, if that may
// help.
func (stream *stream) replace(ctx context.Context, news news) error {
	stream.reason = news.err
	stream.notSent(news.err)
	var notRun *shedkeel.NotRunError
	if errors.As(news.err, &notRun) {
		stream.runs--
	} else {
		stream.mayRun = true
	}
	count(stream.front.meter().sendingFailed)
	stream.log(event.SendingFailed, slog.String("server", string(news.source.choice.Instance)), slog.Int64("after", stream.last), slog.String("reason", news.err.Error()))
	if len(stream.sources) > 0 {
		return nil
	}
	if ctx.Err() != nil || notRun == nil && !stream.mayMove() || !stream.mayGoOn() || len(stream.tried) >= maxDials {
		return stream.finish(ctx, news.err)
	}
	if err := stream.start(ctx); err != nil {
		return stream.finish(ctx, errors.Join(err, news.err))
	}
	return nil
}

// finish ends a stream that can't be completed.
func (stream *stream) finish(ctx context.Context, reason error) error {
	if stream.begun.Load() {
		return errors.Join(errBroken, reason)
	}
	var status *statusError
	if errors.As(reason, &status) {
		stream.writeHead(status.response, 0)
		return nil
	}
	if len(stream.sources) > 0 {
		stream.mayRun = true
	}
	return stream.failed(ctx, reason)
}

func (stream *stream) stopAll() {
	for _, source := range stream.sources {
		source.cancel()
	}
}
