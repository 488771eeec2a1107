package rosecaller

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/rosemarywell/rosemarywell/pkg/roseadmit"
)

// TestRetryWaits checks that the backoff before a try ends with the request's
// context, and isn't begun if no further try could end in time.
func TestRetryWaits(t *testing.T) {
	tests := []struct {
		name     string
		deadline time.Duration
		cancel   time.Duration
		allowed  bool
		waits    time.Duration
	}{
		{"time enough", time.Second, time.Minute, true, 40 * time.Millisecond},
		{"deadline too near", 30 * time.Millisecond, time.Minute, false, 0},
		{"client leaves", time.Second, 10 * time.Millisecond, false, 10 * time.Millisecond},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				budget := roseadmit.NewRetryBudget()
				for range 100 {
					budget.Deposit()
				}
				j := &job{executor: NewLocalExecutor(LocalExecutorConfig{RetryBudget: budget})}
				ctx, cancel := context.WithTimeout(context.Background(), test.cancel)
				defer cancel()
				started := time.Now()
				execution := &execution{deadline: started.Add(test.deadline), tries: 2}
				qt.Check(t, j.prepareRetry(ctx, execution), qt.Equals, test.allowed)
				qt.Check(t, time.Since(started), qt.Equals, test.waits)
			})
		})
	}
}
