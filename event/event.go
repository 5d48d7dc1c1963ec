// Package event defines the numbered log events of the project's processes, and a logger
// for them. docs/EVENTS.md says what each event means and what operators should do; a
// test checks that the page and the code list the same events.
package event

import (
	"context"
	"io"
	"log/slog"

	"shedkeel.org/shedkeel"
)

// Event is a kind of log line.
type Event struct {
	Number int // identifies the event, whatever its text
	Level  slog.Level
	Text   string
}

// The events. The number of a removed event is never used again.
var (
	Started               = Event{100, slog.LevelInfo, "process started"}
	Stopping              = Event{101, slog.LevelInfo, "planned stop begun"}
	Stopped               = Event{102, slog.LevelInfo, "process stopped"}
	Failed                = Event{103, slog.LevelError, "process failed"}
	Reloaded              = Event{104, slog.LevelInfo, "settings read again"}
	ReloadFailed          = Event{105, slog.LevelError, "settings cannot be read again; those in force stay"}
	LinesDropped          = Event{106, slog.LevelWarn, "log lines were left out"}
	ClientsRefused        = Event{107, slog.LevelWarn, "clients were refused or their connections closed, since they met a limit"}
	AcceptFailed          = Event{108, slog.LevelError, "listener cannot accept a connection"}
	StoreUnavailable      = Event{200, slog.LevelWarn, "key-value service does not answer"}
	StoreAvailable        = Event{201, slog.LevelInfo, "key-value service answers again"}
	StoreOlder            = Event{202, slog.LevelWarn, "key-value service holds an older record than is in force"}
	StoreHealed           = Event{203, slog.LevelInfo, "record in force written back to the key-value service"}
	RecordInvalid         = Event{204, slog.LevelError, "record of the key-value service cannot be read"}
	BoxListUnavailable    = Event{205, slog.LevelWarn, "box list does not answer"}
	StoreRestored         = Event{206, slog.LevelWarn, "key-value service has come back from an older copy"}
	StoreEraInvalid       = Event{207, slog.LevelWarn, "answer of the key-value service has an era that cannot be read"}
	KeeperSynced          = Event{300, slog.LevelInfo, "keeper knows what is in force"}
	ConfigInForce         = Event{301, slog.LevelInfo, "configuration in force"}
	ConfigAccepted        = Event{302, slog.LevelInfo, "configuration accepted from an operator"}
	ConfigRefused         = Event{303, slog.LevelWarn, "configuration of an operator refused"}
	LeaseGained           = Event{400, slog.LevelInfo, "planner lease gained"}
	LeaseLost             = Event{401, slog.LevelWarn, "planner lease lost"}
	PlacementAgreed       = Event{402, slog.LevelInfo, "placement agreed"}
	PlacementFailed       = Event{403, slog.LevelWarn, "placement was not agreed"}
	PlannerDecision       = Event{404, slog.LevelInfo, "planner decided"}
	OrderFailed           = Event{405, slog.LevelWarn, "order failed"}
	OrderRefused          = Event{406, slog.LevelWarn, "order refused by a fence"}
	GroupChanged          = Event{407, slog.LevelInfo, "group found in another state"}
	ReserveUsed           = Event{409, slog.LevelWarn, "reserve takes a lost member's place in an outage"}
	PolicyFailed          = Event{408, slog.LevelError, "policy failed; the table in use stays"}
	KeeperUnavailable     = Event{500, slog.LevelWarn, "keeper does not answer"}
	KeeperAvailable       = Event{501, slog.LevelInfo, "keeper answers again"}
	StreamAborted         = Event{600, slog.LevelWarn, "stream cut off before its end"}
	StreamResumed         = Event{601, slog.LevelInfo, "stream resumed"}
	WrongAnswer           = Event{602, slog.LevelError, "backend server answered for another request"}
	RequestPanic          = Event{603, slog.LevelError, "request handler failed"}
	Answered              = Event{610, slog.LevelInfo, "request answered"}
	Refused               = Event{611, slog.LevelWarn, "request refused or failed"}
	AnswerAborted         = Event{612, slog.LevelWarn, "answer broken off, or its caller left"}
	AttemptFailed         = Event{613, slog.LevelWarn, "server did not answer a request as it should"}
	StreamMoved           = Event{614, slog.LevelWarn, "stream begun at another server because its own is silent"}
	ServerEnded           = Event{615, slog.LevelWarn, "backend server ended under a request"}
	RequestJudged         = Event{616, slog.LevelWarn, "request under which servers ended is judged anew"}
	BlameWriteFailed      = Event{617, slog.LevelWarn, "what is held against a request was not written"}
	WokenLate             = Event{668, slog.LevelWarn, "this process is woken late; it lacks processor time"}
	PartJudged            = Event{667, slog.LevelWarn, "part of prompts under which servers ended is judged anew"}
	LimitChanged          = Event{618, slog.LevelInfo, "backend server limits the rate of its requests otherwise than before"}
	LimitInvalid          = Event{619, slog.LevelWarn, "backend server states a limit that cannot be read; the former one stays"}
	ServerUnresponsive    = Event{620, slog.LevelWarn, "server or group has gone silent"}
	NoticeReceived        = Event{621, slog.LevelInfo, "another process reports a group silent or lost"}
	BackoffStated         = Event{622, slog.LevelInfo, "backend server wants no requests of this node for a while"}
	DrainingStated        = Event{623, slog.LevelInfo, "backend server says in an answer that it drains"}
	EvacuationBegun       = Event{625, slog.LevelInfo, "availability zone is evacuated; its backend servers get no requests"}
	EvacuationEnded       = Event{626, slog.LevelInfo, "availability zone is taken back; its backend servers get requests again"}
	EvacuationLost        = Event{627, slog.LevelWarn, "key-value service has lost an evacuation, which stays in force; write it again, or write and remove it to withdraw it"}
	HeaderInvalid         = Event{624, slog.LevelWarn, "answer of a backend server has a header that cannot be read; nothing is stated by it"}
	ServersChanged        = Event{630, slog.LevelInfo, "list of servers and groups changed"}
	ServingConfigInForce  = Event{631, slog.LevelInfo, "serving configuration in force"}
	NodesChanged          = Event{632, slog.LevelInfo, "list of nodes changed"}
	RecordSkipped         = Event{633, slog.LevelWarn, "record cannot be read; what was in force stays"}
	OrderSent             = Event{640, slog.LevelInfo, "order to an engine"}
	LeadGained            = Event{641, slog.LevelInfo, "this node plans replica groups now"}
	LeadLost              = Event{642, slog.LevelInfo, "this node no longer plans replica groups"}
	MemberDead            = Event{643, slog.LevelWarn, "member of a replica group does not answer"}
	MemberAlive           = Event{644, slog.LevelInfo, "member of a replica group answers again"}
	ProbeInconclusive     = Event{647, slog.LevelWarn, "probe of a member proves nothing"}
	DomainUsage           = Event{648, slog.LevelInfo, "what the backend servers of a domain are used for"}
	PaceChanged           = Event{649, slog.LevelInfo, "member of a replica group became slow or sound"}
	Demand                = Event{650, slog.LevelInfo, "what callers ask of each model"}
	LeaseRenewalFailed    = Event{645, slog.LevelWarn, "lease of this node was not renewed"}
	NodeDead              = Event{651, slog.LevelWarn, "node gives no answer; its record is removed"}
	FleetSizeWriteFailed  = Event{652, slog.LevelWarn, "size of the fleet was not written for nodes that start"}
	NodeKeptWithoutRecord = Event{654, slog.LevelInfo, "node is believed though its record went"}
	NodeStatesChanged     = Event{655, slog.LevelInfo, "nodes were found dead, have left, or live again"}
	GossipFailed          = Event{656, slog.LevelWarn, "datagram between nodes could not be used"}
	MirrorSourceChanged   = Event{657, slog.LevelInfo, "copy of another process is followed"}
	NodesRegistered       = Event{658, slog.LevelInfo, "records of nodes that follow this one were written"}
	DialsFailed           = Event{659, slog.LevelWarn, "connections to backend servers could not be opened"}
	CutOff                = Event{660, slog.LevelWarn, "this box does not reach backend servers that other nodes reach; they carry its connections"}
	CutOffEnded           = Event{661, slog.LevelInfo, "this box reaches these backend servers again"}
	NoPath                = Event{662, slog.LevelError, "neither this box nor other nodes for it reach any backend server"}
	NoPathEnded           = Event{663, slog.LevelInfo, "a backend server was reached again"}
	ShortageBegun         = Event{664, slog.LevelWarn, "model is short of capacity; requests for it are rejected"}
	ShortageEnded         = Event{665, slog.LevelInfo, "model has capacity again"}
	ActivityUnknown       = Event{666, slog.LevelInfo, "spreading node did not tell whether other nodes hear silent groups"}
	AnswerEndJudged       = Event{669, slog.LevelInfo, "end of an answer that states none was judged"}
	StreamEventDropped    = Event{670, slog.LevelInfo, "event of an attempt was not forwarded"}
	ModelGroups           = Event{671, slog.LevelInfo, "replica groups of a model"}
	ModelUnavailable      = Event{672, slog.LevelWarn, "no replica group of a model serves"}
	ModelAvailable        = Event{673, slog.LevelInfo, "a replica group of a model serves again"}
	ServiceRetries        = Event{674, slog.LevelInfo, "retries that the retry budget of a service allowed and denied"}
	WaitOverdue           = Event{653, slog.LevelWarn, "planner waits for longer than it should"}
	LoadsWriteFailed      = Event{646, slog.LevelWarn, "loads under way were not written for the next planner"}
)

// Catalog returns all events.
func Catalog() []Event {
	return []Event{
		Started, Stopping, Stopped, Failed, Reloaded, ReloadFailed, LinesDropped, ClientsRefused, AcceptFailed, StoreUnavailable, StoreAvailable, StoreOlder, StoreHealed, RecordInvalid, BoxListUnavailable, StoreRestored, StoreEraInvalid,
		KeeperSynced, ConfigInForce, ConfigAccepted, ConfigRefused, LeaseGained, LeaseLost, PlacementAgreed,
		PlacementFailed, PlannerDecision, OrderFailed, OrderRefused, GroupChanged, PolicyFailed, ReserveUsed, KeeperUnavailable, KeeperAvailable,
		StreamAborted, StreamResumed, WrongAnswer, RequestPanic,
		Answered, Refused, AnswerAborted, AttemptFailed, StreamMoved, ServerEnded, RequestJudged, PartJudged, WokenLate, BlameWriteFailed, LimitChanged, LimitInvalid, ServerUnresponsive, NoticeReceived, BackoffStated, DrainingStated, HeaderInvalid, EvacuationBegun, EvacuationEnded, EvacuationLost, ServersChanged, ServingConfigInForce,
		NodesChanged, RecordSkipped, OrderSent, LeadGained, LeadLost, MemberDead, MemberAlive, ProbeInconclusive, DomainUsage, PaceChanged, Demand, LeaseRenewalFailed, LoadsWriteFailed, NodeDead, FleetSizeWriteFailed, WaitOverdue, NodeKeptWithoutRecord, NodeStatesChanged, GossipFailed, MirrorSourceChanged, NodesRegistered, DialsFailed, CutOff, CutOffEnded, NoPath, NoPathEnded, ShortageBegun, ShortageEnded, ActivityUnknown, AnswerEndJudged, StreamEventDropped,
		ModelGroups, ModelUnavailable, ModelAvailable, ServiceRetries,
	}
}

// Log writes events as log lines. A nil Log and the zero value discard events; With
// must not be called on them.
type Log struct {
	Logger *slog.Logger

	limits *rateLimits // nil: no rate limits
	queue  *Queue      // nil: lines are written synchronously
}

// NewBoundedLog returns a log like NewLog, but with a rate limit for each event and
// a queue, so that logging never blocks on a slow writer. The caller must call
// Report about once per second, and Close at the end.
func NewBoundedLog(writer io.Writer, level string) (*Log, error) {
	queue := NewQueue(writer)
	log, err := NewLog(queue, level)
	if err != nil {
		queue.Close()
		return nil, err
	}
	log.limits = &rateLimits{}
	log.queue = queue
	return log, nil
}

// With returns a log that adds the fields to each line. It shares the rate limits
// and the queue of this log.
func (log *Log) With(fields ...any) *Log {
	extended := *log
	extended.Logger = log.Logger.With(fields...)
	return &extended
}

// Recent returns the recent lines in which the field has the value; see Queue.Recent.
// It returns none unless the log was made by NewBoundedLog.
func (log *Log) Recent(field, value string) [][]byte {
	if log == nil || log.queue == nil {
		return nil
	}
	return log.queue.Recent(field, value)
}

// Report logs how many lines were dropped since the last report, if any: one line for
// each event whose rate limit dropped lines, and one for the lines that were dropped
// because the queue was full. It does nothing unless the log was made by NewBoundedLog.
func (log *Log) Report() {
	if log == nil || log.limits == nil {
		return
	}
	for number, count := range log.limits.takeDropped() {
		log.write(LinesDropped, slog.Int("of", number), slog.Int64("count", count))
	}
	if count := log.queue.Dropped(); count > 0 {
		log.write(LinesDropped, slog.Int64("count", count))
	}
}

// Close waits until the queued lines are written. The caller must not log afterwards.
// It does nothing unless the log was made by NewBoundedLog.
func (log *Log) Close() {
	if log != nil && log.queue != nil {
		log.queue.Close()
	}
}

// NewLog returns a log that writes lines of the named level and above as JSON. It
// returns an InvalidError if the level is unknown.
func NewLog(writer io.Writer, level string) (*Log, error) {
	var minLevel slog.Level
	if err := minLevel.UnmarshalText([]byte(level)); err != nil {
		return nil, &shedkeel.InvalidError{Where: "log.level", What: err.Error(), Remedy: "write debug, info, warn or error"}
	}
	return &Log{Logger: slog.New(slog.NewJSONHandler(writer, &slog.HandlerOptions{Level: minLevel}))}, nil
}

// maxFieldBytes bounds a text in a line. Callers choose some texts, such as the IDs of requests.
const maxFieldBytes = 1 << 10

// cut returns the text, or the beginning of one that is longer than maxFieldBytes.
func cut(text string) string {
	if len(text) <= maxFieldBytes {
		return text
	}
	return text[:maxFieldBytes]
}

// Write logs an event with the given fields, unless the event is below the level of the
// log or exceeds its rate limit. It cuts texts, except stack traces, to maxFieldBytes.
func (log *Log) Write(event Event, fields ...slog.Attr) {
	if log == nil || log.Logger == nil || log.limits != nil && !log.limits.allow(event) {
		return
	}
	for index, field := range fields {
		if field.Value.Kind() == slog.KindString && field.Key != "stack" {
			fields[index].Value = slog.StringValue(cut(field.Value.String()))
		}
	}
	log.write(event, fields...)
}

// write logs an event without a rate limit.
func (log *Log) write(event Event, fields ...slog.Attr) {
	fields = append([]slog.Attr{slog.Int("event", event.Number)}, fields...)
	log.Logger.LogAttrs(context.Background(), event.Level, event.Text, fields...)
}
