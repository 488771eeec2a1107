package roseclock_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/rosemarywell/rosemarywell/pkg/roseclock"
)

func TestIdleTimeout(t *testing.T) {
	const first, next = 500 * time.Millisecond, 300 * time.Millisecond
	tests := []struct {
		name string
		// progress are the times of progress, in milliseconds, and end when the context ends.
		progress []int
		end      time.Duration
	}{
		{"none", nil, first},
		{"goes on", []int{400, 600, 800}, 800*time.Millisecond + next},
		{"stops", []int{100}, 100*time.Millisecond + next},
		{"too late", []int{600}, first},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				started := time.Now()
				ctx, cancel := roseclock.WithIdleTimeout(t.Context(), first, next)
				defer cancel()
				for _, at := range test.progress {
					time.Sleep(time.Duration(at)*time.Millisecond - time.Since(started))
					roseclock.Progress(ctx)
				}
				<-ctx.Done()
				qt.Check(t, context.Cause(ctx), qt.Equals, context.DeadlineExceeded)
				if test.name != "too late" {
					qt.Check(t, time.Since(started), qt.Equals, test.end)
				}
			})
		})
	}
}
