package rosefront

import (
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
)

const (
	// streamThreshold is the buffered size at which an answer is sent before it
	// is complete.
	streamThreshold = 64 << 10
	// maxBufferedBytes bounds an answer that waits for the confirmation of its
	// write.
	maxBufferedBytes = 16 << 20
)

// answer buffers the messages for a client. The completion of a write is
// withheld until the write is confirmed. An incomplete answer is buffered up to
// streamThreshold, because a request can't be retried once a part of its answer
// was sent.
type answer struct {
	client *client
	bytes  []byte
	// holdCompletion withholds the messages from the first CommandComplete or
	// ErrorResponse on.
	holdCompletion bool
	// completionHeld is set while such a message is withheld.
	completionHeld bool
	// streamed is set once a part of the answer was sent.
	streamed bool
	err      error
}

// send appends a message.
func (a *answer) send(message pgproto3.BackendMessage) {
	encoded, err := message.Encode(a.bytes)
	if err != nil {
		a.err = err
		return
	}
	a.bytes = encoded
	switch message.(type) {
	case *pgproto3.CommandComplete, *pgproto3.ErrorResponse:
		a.completionHeld = a.holdCompletion
	}
	if len(a.bytes) > streamThreshold && !a.completionHeld {
		a.flush()
	}
	if len(a.bytes) > maxBufferedBytes {
		a.err = errAnswerTooLarge
	}
}

// reset discards the messages that were not sent.
func (a *answer) reset() {
	a.bytes = a.bytes[:0]
	a.completionHeld = false
}

func (a *answer) flush() {
	if len(a.bytes) == 0 || a.err != nil {
		return
	}
	_ = a.client.conn.SetWriteDeadline(time.Now().Add(writeTimeout))
	_, a.err = a.client.conn.Write(a.bytes)
	a.streamed = true
	a.reset()
}

// finish sends the remaining messages. It returns the error of an earlier send or
// flush if there was one.
func (a *answer) finish() error {
	a.flush()
	return a.err
}
