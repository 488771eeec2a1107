package rosecaller

import (
	"time"

	"github.com/rosemarywell/rosemarywell/pkg/rosemary"
)

// Drain tells how long sessions may still wait for their callers while the
// proxy shuts down. The zero Drain sets no limit.
type Drain struct {
	// Idle is when sessions outside a transaction end.
	Idle time.Time
	// Blocks is when open transactions end.
	Blocks time.Time
}

// Deadline returns when the wait for a caller's next message ends; zero means
// never. A transaction may rest for idleLimit.
func (d Drain) Deadline(block rosemary.TransactionState, idleLimit time.Duration) time.Time {
	limit := d.Idle
	if block != rosemary.TransactionNone {
		limit = d.Blocks
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
