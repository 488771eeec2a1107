package rosecaller

import (
	"time"

	"github.com/rosemarywell/rosemarywell/pkg/rosemary"
)

// firstRequestTime is the time that a new session has for its first request during a drain.
const firstRequestTime = time.Second

// DrainDeadlines bounds how long sessions wait for their clients while the
// proxy shuts down. The zero value sets no limit.
type DrainDeadlines struct {
	// IdleSessions is when sessions outside a transaction are closed.
	IdleSessions time.Time
	// OpenTransactions is when open transactions are rolled back.
	OpenTransactions time.Time
}

// ReadDeadline returns the deadline for reading a client's next message; zero
// means none. An idleTimeout of zero or less isn't applied.
func (d DrainDeadlines) ReadDeadline(state rosemary.TransactionState, idleTimeout time.Duration) time.Time {
	limit := d.IdleSessions
	if state != rosemary.TransactionNone {
		limit = d.OpenTransactions
	}
	if idleTimeout <= 0 {
		return limit
	}
	idleDeadline := time.Now().Add(idleTimeout)
	if limit.IsZero() || idleDeadline.Before(limit) {
		return idleDeadline
	}
	return limit
}

// WithOpened returns the deadlines for a session that was opened at a time: it is idle for at
// least firstRequestTime before it is closed, so that a client which has just connected isn't
// cut off with its first request under way.
func (d DrainDeadlines) WithOpened(at time.Time) DrainDeadlines {
	if earliest := at.Add(firstRequestTime); !d.IdleSessions.IsZero() && d.IdleSessions.Before(earliest) {
		d.IdleSessions = earliest
	}
	return d
}
