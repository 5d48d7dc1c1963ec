package serve

import (
	"log/slog"
	"sync/atomic"
	"time"

	"shedkeel.org/shedkeel"
)

// endProof describes the search for a proof that a close-delimited answer is complete.
type endProof struct {
	server   shedkeel.InstanceID
	began    time.Duration // when the answer had ended
	asked    string        // what the server was asked for last; "": nothing yet
	answered string        // what came of it; "": nothing yet
	checks   int           // that were asked for
}

// attr returns the description for logs.
func (proof *endProof) attr(now time.Duration) slog.Attr {
	return slog.Group("proof", slog.String("server", string(proof.server)), slog.String("asked", proof.asked), slog.String("answered", proof.answered),
		slog.Int("checks", proof.checks), slog.Duration("waited", now-proof.began))
}

// circumstances is what a request's log lines tell about why it ended without a complete answer.
type circumstances struct {
	proof   atomic.Pointer[endProof] // the latest, which does not change; nil: no answer was close-delimited
	heardAt atomic.Int64             // when a server of the request was heard last, as a time.Duration; 0: never
}

// hear records that a server of the request has sent an event or the head of an answer.
func (circumstances *circumstances) hear(now time.Duration) { circumstances.heardAt.Store(int64(now)) }

// circumstanceAttrs returns what lay beside a failure, for logs: how much time was left, how long the servers
// had been silent, which proof was missing, and whether this process was stopping or had got another
// configuration since the request was received.
func (exchange *exchange) circumstanceAttrs() []slog.Attr {
	now := exchange.handler.Timers.Now()
	attrs := []slog.Attr{slog.Duration("left", exchange.callerDeadline-now)}
	if heardAt := time.Duration(exchange.heardAt.Load()); heardAt != 0 {
		attrs = append(attrs, slog.Duration("silent", now-heardAt))
	}
	if proof := exchange.proof.Load(); proof != nil {
		attrs = append(attrs, proof.attr(now))
	}
	if since := time.Duration(exchange.handler.stoppingSince.Load()); since != 0 {
		attrs = append(attrs, slog.Duration("stopping", now-since))
		attrs = append(attrs, exchange.leaveAttrs()...)
	}
	if current := exchange.handler.CurrentConfig().View; exchange.view != nil && current != nil && current.Config.Version != exchange.view.Config.Version {
		attrs = append(attrs, slog.Int64("config_now", current.Config.Version))
	}
	return attrs
}
