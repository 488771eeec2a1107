package rosefront

import (
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
)

const (
	// streamAfter is the size at which an answer starts to be passed on.
	streamAfter = 64 << 10
	// maxHeldBytes bounds an answer that is held for its confirmation.
	maxHeldBytes = 16 << 20
)

// answer collects what is sent to a caller. It holds back what would tell
// that a write succeeded until the write is confirmed, and everything while
// the request may still be run again.
type answer struct {
	caller *caller
	bytes  []byte
	// hold keeps everything from the first CommandComplete on.
	hold     bool
	complete bool
	streamed bool
	err      error
}

// send encodes a message for the caller.
func (a *answer) send(message pgproto3.BackendMessage) {
	encoded, err := message.Encode(a.bytes)
	if err != nil {
		a.err = err
		return
	}
	a.bytes = encoded
	switch message.(type) {
	case *pgproto3.CommandComplete, *pgproto3.ErrorResponse:
		a.complete = a.hold
	}
	if len(a.bytes) > streamAfter && !a.complete {
		a.flush()
	}
	if len(a.bytes) > maxHeldBytes {
		a.err = errAnswerTooLarge
	}
}

// reset forgets what wasn't passed on yet.
func (a *answer) reset() {
	a.bytes = a.bytes[:0]
	a.complete = false
}

func (a *answer) flush() {
	if len(a.bytes) == 0 || a.err != nil {
		return
	}
	_ = a.caller.conn.SetWriteDeadline(time.Now().Add(writeTimeout))
	_, a.err = a.caller.conn.Write(a.bytes)
	a.streamed = true
	a.reset()
}

// finish passes on the rest. The error is that of the caller's connection.
func (a *answer) finish() error {
	a.flush()
	return a.err
}
