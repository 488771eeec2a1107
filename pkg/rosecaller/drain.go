package rosecaller

import (
	"time"

	"github.com/rosemarywell/rosemarywell/pkg/rosemary"
)

// DrainDeadlines tells how long sessions may still wait for their callers while the
// proxy shuts down. The zero Drain sets no limit.
type DrainDeadlines struct {
	// Idle is when sessions outside a transaction end.
	IdleSessions time.Time
	// Blocks is when open transactions end.
	OpenTransactions time.Time
}

// ReadDeadline returns when the wait for a caller's next message ends; zero means
// never. A transaction may rest for idleLimit.
func (d DrainDeadlines) ReadDeadline(block rosemary.TransactionState, idleLimit time.Duration) time.Time {
	limit := d.IdleSessions
	if block != rosemary.TransactionNone {
		limit = d.OpenTransactions
	}
	if idleLimit <= 0 {
		return limit
	}
	rest := time.Now().Add(idleLimit)
	if limit.IsZero() || rest.Before(limit) {
		return rest
	}
	return limit
}
