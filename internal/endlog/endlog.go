// Package endlog logs, at the debug level, the steps by which the ends of calls are delivered to their callers. Nothing is computed or
// allocated while that level is off.
package endlog

import (
	"context"
	"log/slog"
)

// Log messages for the steps of a call, of a dispatcher and of a connection from callers.
const (
	CallMessage             = "step of a call"                    // attributes: step, id
	DispatcherMessage       = "step of a dispatcher"              // step, server
	CallerConnectionMessage = "step of a connection from callers" // step, connection
)

// Messages returns all messages of this package, for a handler that limits their rate.
func Messages() []string { return []string{CallMessage, DispatcherMessage, CallerConnectionMessage} }

// Keys of the attributes.
const (
	StepKey       = "step"
	IDKey         = "id"
	ServerKey     = "server"
	ConnectionKey = "connection" // the number of a connection, counted from 1 separately for dispatchers and for callers
	StateKey      = "state"
	AttemptKey    = "attempt"
	ReasonKey     = "reason"
	ResultKey     = "result"
)

// Step is an event in the life of a call or a connection.
type Step string

// Steps of a call, in the order in which they occur.
const (
	RepeatedAnswer             Step = "answer ignored: the call is established there"
	AnswerOfEarlierAttempt     Step = "answer ignored: it is an earlier attempt's"
	UnexpectedAnswer           Step = "answer that nobody waits for: released at the dispatcher"
	UndeliverableAnswer        Step = "answer that cannot be passed on: released at the dispatcher"
	AnswerOnDrainingConnection Step = "answer on a connection that was given up: released at the dispatcher"
	AnswerQueued               Step = "answer queued to the caller"
	Established                Step = "established"

	ReleaseSent           Step = "release sent to the dispatcher"
	ReleaseWaits          Step = "release to the dispatcher waits for a connection"
	ReleasedWithoutAnswer Step = "released at the dispatcher: its connection ended without an answer"

	ReleaseRead             Step = "release read from the dispatcher"
	EndReceived             Step = "end received" // with the result, as in the metrics
	Terminated              Step = "over"
	EndOfEarlierAttempt     Step = "ambiguous end is an earlier attempt's: a reply came on the connection of the later one"
	EndOfEstablishedCall    Step = "ambiguous end counts as that of the established call: no reply came on its connection"
	TerminatedWithoutAnswer Step = "over without its answer"
	TerminatedByCaller      Step = "ended by its caller"
	TransferredIn           Step = "taken over from another controller"
	TransferredOut          Step = "given to another controller"
	Recovered               Step = "taken up from an earlier process" // with the action
	Resumed                 Step = "its caller came back"             // with the state of the call
	EndHandedToSuccessor    Step = "end handed to the successor"
	EndQueued               Step = "end queued to the caller"
	EndWrittenToKernel      Step = "end with the kernel"
	EndWaits                Step = "end waits for a connection"
	EndPresumedRead         Step = "end counts as read: its connection ended later"
	EndUnconfirmed          Step = "end may be unread as its connection ended: told again"
	EndOnTestConnection     Step = "end told on a connection for tests: told again"
	EndDropped              Step = "end given up"
	Orphaned                Step = "counts as cut: another dispatcher has the address, and no connection is left of those that there were"
	EndUncertain            Step = "end in doubt: a connection to the dispatcher was given up"
)

// Steps of a dispatcher.
const (
	ConnectionOpened        Step = "connection opened"
	ConnectionAbandoned     Step = "connection given up"
	ConnectionEvicted       Step = "given-up connection closed to make room"
	ConnectionEnded         Step = "connection ended"
	InputDiscarded          Step = "bytes on a closed connection discarded"
	AllConnectionsAbandoned Step = "all connections given up"
	DispatcherStopped       Step = "nothing listens: it counts as stopped"
	RenewalRequested        Step = "new connection asked for"
	RenewalStarted          Step = "new connection begun"
	RenewalFailed           Step = "new connection failed"
	DispatcherPresumedGone  Step = "counts as gone: its calls are over"
)

// CallerConnectionEnded is the end of a connection from callers.
const CallerConnectionEnded Step = "connection ended"

// Enabled reports whether steps are logged.
func Enabled(log *slog.Logger) bool {
	return log != nil && log.Enabled(context.Background(), slog.LevelDebug)
}

// Call logs a step of a call.
func Call(log *slog.Logger, step Step, id string, more ...slog.Attr) {
	if Enabled(log) {
		write(log, CallMessage, step, slog.String(IDKey, id), more)
	}
}

// Dispatcher logs a step of a dispatcher, by its name.
func Dispatcher(log *slog.Logger, step Step, server string, more ...slog.Attr) {
	if Enabled(log) {
		write(log, DispatcherMessage, step, slog.String(ServerKey, server), more)
	}
}

// CallerConnection logs a step of a connection from callers, by its number.
func CallerConnection(log *slog.Logger, step Step, connection uint64, more ...slog.Attr) {
	if Enabled(log) {
		write(log, CallerConnectionMessage, step, Connection(connection), more)
	}
}

// write logs a step with the attribute that identifies its call, dispatcher or connection.
func write(log *slog.Logger, message string, step Step, subject slog.Attr, more []slog.Attr) {
	attributes := append([]slog.Attr{slog.String(StepKey, string(step)), subject}, more...)
	log.LogAttrs(context.Background(), slog.LevelDebug, message, attributes...)
}

// Server returns the attribute with the name of a dispatcher.
func Server[T ~string](id T) slog.Attr { return slog.String(ServerKey, string(id)) }

// Connection returns the attribute with the number of a connection.
func Connection(number uint64) slog.Attr { return slog.Uint64(ConnectionKey, number) }

// Attempt returns the attribute with the number of an attempt; -1 for none.
func Attempt(number int) slog.Attr { return slog.Int(AttemptKey, number) }

// Reason returns the attribute with the error that caused a step. Without an error, it returns an empty attribute, which is not logged.
func Reason(err error) slog.Attr {
	if err == nil {
		return slog.Attr{}
	}
	return slog.Any(ReasonKey, err)
}
