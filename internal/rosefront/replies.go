package rosefront

import (
	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/rosemarywell/rosemarywell/pkg/rosepool"
)

// replyReader matches the target's messages with the expected replies.
type replyReader struct {
	request *request
	conn    *rosepool.Conn
	replies []reply
	failed  bool
}

// receive adds one message from the target to the answer, unless it is
// ReadyForQuery or belongs to a hidden reply.
func (rr *replyReader) receive(message pgproto3.BackendMessage) error {
	answer := rr.request.answer
	rr.sendLocal()
	switch m := message.(type) {
	case *pgproto3.ReadyForQuery:
		return nil
	case *pgproto3.ErrorResponse:
		rr.failed = true
		rr.replies = nil
		rr.request.recordTargetError(m)
		answer.send(m)
		return nil
	case *pgproto3.CopyInResponse, *pgproto3.CopyOutResponse, *pgproto3.CopyBothResponse:
		return refuseCopy()
	case *pgproto3.NoticeResponse, *pgproto3.NotificationResponse, *pgproto3.ParameterStatus:
		answer.send(message)
		return nil
	}
	if rr.request.batch.simple != nil {
		answer.send(message)
		return nil
	}
	if len(rr.replies) == 0 {
		return errUnexpectedMessage
	}
	head := rr.replies[0]
	if !head.hidden {
		answer.send(message)
	}
	if head.endsWith(message) {
		rr.recordPrepared(head)
		rr.replies = rr.replies[1:]
	}
	return nil
}

// sendLocal sends the replies that the proxy gives itself, up to the next one
// expected from the target.
func (rr *replyReader) sendLocal() {
	for len(rr.replies) > 0 && rr.replies[0].local != nil {
		rr.request.answer.send(rr.replies[0].local)
		rr.replies = rr.replies[1:]
	}
}

func (rr *replyReader) recordPrepared(r reply) {
	if r.prepares != "" {
		rr.conn.AddPrepared(r.prepares)
	}
}

// endsWith reports whether message is the last one of the reply.
func (r reply) endsWith(message pgproto3.BackendMessage) bool {
	switch message.(type) {
	case *pgproto3.DataRow, *pgproto3.ParameterDescription:
		return false
	}
	return true
}

func (r *request) recordTargetError(m *pgproto3.ErrorResponse) {
	failure := *m
	r.targetError = &failure
}
