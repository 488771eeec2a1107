package rosecaller_test

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/rosemarywell/rosemarywell/pkg/roseadmit"
	"github.com/rosemarywell/rosemarywell/pkg/rosecaller"
	"github.com/rosemarywell/rosemarywell/pkg/rosefleet"
	"github.com/rosemarywell/rosemarywell/pkg/rosemary"
)

// countedUsage admits a number of operations.
type countedUsage struct{ left int }

func (u *countedUsage) Admit(string) (before time.Time, retryAfter time.Duration, ok bool) {
	if u.left == 0 {
		return time.Time{}, time.Second, false
	}
	u.left--
	return time.Now().Add(time.Minute), 0, true
}

func (u *countedUsage) Return(string, time.Time) { u.left++ }

// TestUnsentOperationIsNotCounted has operations passed on between homes that have no target
// for them, as in a zone that is cut off from the primary. None uses up the team's cap.
func TestUnsentOperationIsNotCounted(t *testing.T) {
	c := qt.New(t)
	usage := &countedUsage{left: 1}
	e := rosecaller.NewLocalExecutor(rosecaller.LocalExecutorConfig{
		Group:       func(string) (*rosefleet.Group, bool) { return nil, false },
		RetryBudget: roseadmit.NewRetryBudget(), Usage: usage,
	})
	task := rosecaller.Task{Team: "blue", Deadline: time.Now().Add(time.Second)}
	for range 3 {
		result := e.Run(context.Background(), task)
		c.Assert(result.Refusal, qt.IsNotNil)
		c.Check(result.Refusal.Kind, qt.Not(qt.Equals), rosemary.KindOverCap)
		_, result = e.Begin(context.Background(), task)
		c.Check(result.Refusal.Kind, qt.Not(qt.Equals), rosemary.KindOverCap)
	}
	c.Check(usage.left, qt.Equals, 1)
}
