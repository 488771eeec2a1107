// Package roserelay forwards tasks between proxies. The home proxies of a group
// hold the connections to its targets; other proxies forward statements to
// them. The session stays on the proxy that its client is connected to.
package roserelay

import (
	"context"
	"time"

	"github.com/coder/websocket"
	"github.com/fxamacker/cbor/v2"
	"github.com/gravitational/trace"

	"github.com/rosemarywell/rosemarywell/pkg/rosecaller"
	"github.com/rosemarywell/rosemarywell/pkg/rosemary"
	"github.com/rosemarywell/rosemarywell/pkg/rosewire"
)

const (
	// heartbeatInterval is the interval between heartbeats on a busy link, one
	// with pending calls or open transactions, while nothing is received on it.
	heartbeatInterval = 200 * time.Millisecond
	// silenceTimeout is how long a busy link may be silent before what can be repeated
	// is tried elsewhere.
	silenceTimeout = 500 * time.Millisecond
	// heartbeatTimeout closes a busy link on which nothing was received for
	// six heartbeat intervals.
	heartbeatTimeout = 1200 * time.Millisecond
	// sendTimeout bounds the time to send one message.
	sendTimeout = 2 * time.Second
	// maxMessageBytes bounds the size of a message. A client's message is at
	// most half as long, which leaves room for the rest of its task.
	maxMessageBytes = 2 << 20
)

// Kinds of order to a home proxy, as sent in rosewire.Order.Do.
const (
	doRun       = "Run"
	doBegin     = "Begin"
	doExecute   = "Next"
	doRollback  = "Rollback"
	doHeartbeat = "Beat"
)

// optional returns nil for a zero value, which is omitted from the message.
func optional[T comparable](value T) *T {
	var zero T
	if value == zero {
		return nil
	}
	return &value
}

func orZero[T any](value *T) T {
	var zero T
	if value == nil {
		return zero
	}
	return *value
}

func encodeStatement(s rosemary.Statement) rosewire.Statement {
	return rosewire.Statement{
		ID: optional(s.ID), Kind: uint64(s.Kind), Writes: optional(s.Writes),
		Name: optional(s.Name), Payload: optional(s.Payload),
	}
}

func decodeStatement(s *rosewire.Statement) rosemary.Statement {
	if s == nil {
		return rosemary.Statement{}
	}
	return rosemary.Statement{
		ID: orZero(s.ID), Kind: rosemary.StatementKind(s.Kind), Writes: orZero(s.Writes),
		Name: orZero(s.Name), Payload: orZero(s.Payload),
	}
}

// encodeTask encodes deadlines as remaining time, because the clocks of proxies
// differ.
func encodeTask(t rosecaller.Task) *rosewire.Task {
	task := &rosewire.Task{
		Group:       t.Route.Group,
		Class:       t.Route.Class.Name,
		MaxAgeMs:    optional(uint64(t.Route.Class.MaxAge.Milliseconds())),
		OwnWrites:   optional(t.Route.Class.ReadYourWrites),
		Priority:    optional(uint64(t.Route.Priority)),
		DeadlineMs:  time.Until(t.Deadline).Milliseconds(),
		AimMs:       time.Until(t.SoftDeadline).Milliseconds(),
		Owner:       t.SessionID,
		FloorTerm:   optional(t.MinPosition.LogTerm),
		FloorOffset: optional(t.MinPosition.Offset),
		Uncertain:   optional(t.MinPositionUnknown),
		ReadOnly:    optional(t.ReadOnly),
		Team:        optional(t.Team),
		Version:     optional(uint64(t.ConfigurationVersion)),
		Statement:   encodeStatement(t.Statement),
	}
	if t.Prepared.Kind != 0 {
		prepared := encodeStatement(t.Prepared)
		task.Prepared = &prepared
	}
	for name, text := range t.Settings {
		task.Values = append(task.Values, rosewire.Value{Name: name, Text: text})
	}
	return task
}

func decodeTask(t *rosewire.Task, receivedAt time.Time) rosecaller.Task {
	task := rosecaller.Task{
		SessionID:          t.Owner,
		Statement:          decodeStatement(&t.Statement),
		ReadOnly:           orZero(t.ReadOnly),
		Prepared:           decodeStatement(t.Prepared),
		MinPosition:        rosemary.Position{LogTerm: orZero(t.FloorTerm), Offset: orZero(t.FloorOffset)},
		MinPositionUnknown: orZero(t.Uncertain),
		Deadline:           receivedAt.Add(time.Duration(t.DeadlineMs) * time.Millisecond),
		SoftDeadline:       receivedAt.Add(time.Duration(t.AimMs) * time.Millisecond),

		Team:                 orZero(t.Team),
		ConfigurationVersion: int64(orZero(t.Version)),
	}
	task.Route.Group = t.Group
	task.Route.Priority = int(orZero(t.Priority))
	task.Route.Class = rosemary.Class{
		Name: t.Class, MaxAge: time.Duration(orZero(t.MaxAgeMs)) * time.Millisecond, ReadYourWrites: orZero(t.OwnWrites),
	}
	if len(t.Values) > 0 {
		task.Settings = make(map[string]string, len(t.Values))
	}
	for _, v := range t.Values {
		task.Settings[v.Name] = v.Text
	}
	return task
}

func encodeResult(number uint64, r rosecaller.Result) *rosewire.Result {
	result := &rosewire.Result{
		Number:      number,
		Rows:        r.Answer.Rows,
		Digest:      optional(r.Answer.Digest),
		Failure:     optional(uint64(r.Answer.Failure)),
		Code:        optional(r.Answer.Code),
		Message:     optional(r.Answer.Message),
		Block:       optional(uint64(r.Answer.TransactionState)),
		FloorTerm:   optional(r.MinPosition.LogTerm),
		FloorOffset: optional(r.MinPosition.Offset),
		Uncertain:   optional(r.MinPositionUnknown),
		Target:      optional(string(r.Target)),
		Primary:     optional(r.Primary),
		Open:        optional(r.Open),

		NewerVersion: optional(uint64(r.NewerVersion)),
		WaitMs:       optional(uint64(r.Wait.Milliseconds())),
	}
	if r.Spent != (rosecaller.Spent{}) {
		result.Spent = &rosewire.Spent{
			TargetWaitUs: uint64(r.Spent.TargetWait.Microseconds()), ConnWaitUs: uint64(r.Spent.ConnWait.Microseconds()),
			FailedUs: uint64(r.Spent.Failed.Microseconds()), TargetUs: uint64(r.Spent.Target.Microseconds()), Tries: uint64(r.Spent.Tries),
		}
	}
	if r.Refusal != nil {
		result.Refusal = &rosewire.Refusal{
			Kind: string(r.Refusal.Kind), Outcome: string(r.Refusal.Outcome), Message: r.Refusal.Message,
			Remedy: r.Refusal.Remedy, RetryAfterMs: optional(uint64(r.Refusal.RetryAfter.Milliseconds())),
		}
	}
	return result
}

func decodeResult(r *rosewire.Result) rosecaller.Result {
	result := rosecaller.Result{
		Answer: rosemary.Answer{
			Rows: r.Rows, Digest: orZero(r.Digest), Failure: rosemary.Failure(orZero(r.Failure)),
			Code: orZero(r.Code), Message: orZero(r.Message), TransactionState: rosemary.TransactionState(orZero(r.Block)),
		},
		MinPosition:        rosemary.Position{LogTerm: orZero(r.FloorTerm), Offset: orZero(r.FloorOffset)},
		MinPositionUnknown: orZero(r.Uncertain),
		Target:             rosemary.TargetID(orZero(r.Target)),
		Primary:            orZero(r.Primary),
		Open:               orZero(r.Open),
		NewerVersion:       int64(orZero(r.NewerVersion)),
		Wait:               time.Duration(orZero(r.WaitMs)) * time.Millisecond,
	}
	if s := r.Spent; s != nil {
		result.Spent = rosecaller.Spent{
			TargetWait: microseconds(s.TargetWaitUs), ConnWait: microseconds(s.ConnWaitUs),
			Failed: microseconds(s.FailedUs), Target: microseconds(s.TargetUs), Tries: int(s.Tries),
		}
	}
	if r.Refusal != nil {
		result.Refusal = &rosemary.Refusal{
			Kind: rosemary.RefusalKind(r.Refusal.Kind), Outcome: rosemary.Outcome(r.Refusal.Outcome), Message: r.Refusal.Message,
			Remedy: r.Refusal.Remedy, RetryAfter: time.Duration(orZero(r.Refusal.RetryAfterMs)) * time.Millisecond,
		}
	}
	return result
}

func microseconds(n uint64) time.Duration { return time.Duration(n) * time.Microsecond }

func send(ctx context.Context, conn *websocket.Conn, message rosewire.Message) error {
	body, err := cbor.Marshal(message)
	if err != nil {
		return trace.Wrap(err)
	}
	ctx, cancel := context.WithTimeout(ctx, sendTimeout)
	defer cancel()
	return trace.Wrap(conn.Write(ctx, websocket.MessageBinary, body))
}

func receive(ctx context.Context, conn *websocket.Conn) (rosewire.Message, error) {
	var message rosewire.Message
	_, body, err := conn.Read(ctx)
	if err != nil {
		return message, trace.Wrap(err)
	}
	return message, trace.Wrap(decoding.Unmarshal(body, &message))
}

// decoding accepts any bytes in texts, as what clients and targets send need not be UTF-8, and
// an error ends the link for all requests on it.
var decoding = func() cbor.DecMode {
	mode, err := cbor.DecOptions{UTF8: cbor.UTF8DecodeInvalid}.DecMode()
	if err != nil {
		panic(err)
	}
	return mode
}()
