// Package roseclock holds waits on the runtime's clock that end early.
package roseclock

import (
	"context"
	"time"
)

// Sleep waits for d and reports true, or false when ctx ended first.
func Sleep(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
