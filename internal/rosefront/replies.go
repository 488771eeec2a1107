package rosefront

import (
	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/rosemarywell/rosemarywell/pkg/rosepool"
)

// replyReader matches the target's messages with the replies expected.
type replyReader struct {
	request *request
	conn    *rosepool.Conn
	replies []reply
	failed  bool
}

// take passes on one message of the target, ReadyForQuery excepted.
func (rr *replyReader) take(message pgproto3.BackendMessage) error {
	answer := rr.request.answer
	rr.sendLocal()
	switch m := message.(type) {
	case *pgproto3.ReadyForQuery:
		return nil
	case *pgproto3.ErrorResponse:
		rr.failed = true
		rr.replies = nil
		rr.request.noteFailure(m)
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
		return errUnexpectedReply
	}
	head := rr.replies[0]
	if !head.hidden {
		answer.send(message)
	}
	if head.endedBy(message) {
		rr.note(head)
		rr.replies = rr.replies[1:]
	}
	return nil
}

// sendLocal answers what the target wasn't asked.
func (rr *replyReader) sendLocal() {
	for len(rr.replies) > 0 && rr.replies[0].local != nil {
		rr.request.answer.send(rr.replies[0].local)
		rr.replies = rr.replies[1:]
	}
}

func (rr *replyReader) note(r reply) {
	if r.prepares != "" {
		rr.conn.AddPrepared(r.prepares)
	}
}

// endedBy reports whether message is the last one of the reply.
func (r reply) endedBy(message pgproto3.BackendMessage) bool {
	switch message.(type) {
	case *pgproto3.DataRow, *pgproto3.ParameterDescription:
		return false
	}
	return true
}

func (r *request) noteFailure(m *pgproto3.ErrorResponse) {
	failure := *m
	r.failure = &failure
}
